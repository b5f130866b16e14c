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

  # No node that the new leader reaches knows the last moves of the leader before it.
  Scenario: The leader is partitioned from all nodes and then from the store
    Given a proxied fleet "one-zone" with callers on every key
    When a copy of the fleet's store is taken
    And the fleet's leading node is partitioned from the other nodes
    And an upstream of the fleet announces that it is leaving
    Then the fleet's leaving upstream owns no key
    When the fleet's leading node is partitioned from the store
    And the fleet's store returns from the copy
    Then the fleet has a leader in the new era of the store
    And every key is served again by the fleet
    When the fleet's connectivity is restored
    Then every key is served again by the fleet
    And no guarantee of the fleet was violated

  # Guards against a configuration that reverts, and against the next one being ignored.
  Scenario: The configuration in the copy is older than the one in force
    Given a fleet "one-zone" with callers on every key
    When a copy of the fleet's store is taken
    And 3 configurations of the fleet are applied one after the other
    Then version 4 of the configuration is in force at every node of the fleet
    When the fleet's store returns from the copy
    Then the fleet has a leader in the new era of the store
    And version 4 of the configuration stays in force at every node of the fleet
    When 1 configurations of the fleet are applied one after the other
    Then version 2 of the configuration is in force at every node of the fleet
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
