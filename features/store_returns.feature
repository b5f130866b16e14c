Feature: A key has at most one owner and is served again after the store has returned from a copy

  # Guards against a key with two owners: the table in the copy names owners of the past, and
  # revisions and tokens that were used before are used again.
  Scenario: The leader survives the return
    Given a fleet "one-zone" with callers on every key
    When a copy of the fleet's store is taken
    And an upstream of the fleet announces that it is leaving
    Then the fleet's leaving upstream owns no key
    When the fleet's store returns from the copy
    Then the fleet has a leader in the new era of the store
    And every key is served again by the fleet
    And the fleet's leaving upstream owns no key
    And no guarantee of the fleet was violated

  Scenario: The leader stops at the same time
    Given a fleet "one-zone" with callers on every key
    When a copy of the fleet's store is taken
    And an upstream of the fleet announces that it is leaving
    Then the fleet's leaving upstream owns no key
    When the fleet loses the leading node
    And the fleet's store returns from the copy
    Then the fleet has a leader in the new era of the store
    And every key is served again by the fleet
    And no guarantee of the fleet was violated

  # The copy doesn't name the leader of the time of the return, and the only leader that it names
  # continues to renew its grants.
  Scenario: A leader that the copy names is partitioned from the store meanwhile
    Given a fleet "one-zone" with callers on every key
    When a copy of the fleet's store is taken
    And the fleet's leading node is partitioned from the store
    Then another node of the fleet becomes the leader
    When an upstream of the fleet announces that it is leaving
    Then the fleet's leaving upstream owns no key
    When the fleet's store returns from the copy
    Then the fleet has a leader in the new era of the store
    And every key is served again by the fleet
    When the fleet's partitioned node reaches the store again
    Then every key is served again by the fleet
    And no guarantee of the fleet was violated

  Scenario: The store returns twice
    Given a fleet "one-zone" with callers on every key
    When a copy of the fleet's store is taken
    And an upstream of the fleet announces that it is leaving
    Then the fleet's leaving upstream owns no key
    When the fleet's store returns from the copy
    Then every key is served again by the fleet
    When the fleet's store returns from the copy
    Then the fleet has a leader in the new era of the store
    And every key is served again by the fleet
    And no guarantee of the fleet was violated
