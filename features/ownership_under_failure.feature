Feature: A key has at most one owner, and is served again after a loss

  Scenario: An upstream is lost
    Given a fleet "one-zone" with callers on every key
    When the fleet loses an upstream that owns keys
    Then every key is served again by the fleet
    And the fleet's lost upstream owns no key
    And no promise of the fleet was broken

  Scenario: An upstream freezes and returns
    Given a fleet "one-zone" with callers on every key
    When the fleet's upstream that owns keys freezes
    Then every key is served again by the fleet
    When the fleet's frozen upstream returns
    Then every key is served again by the fleet
    And no promise of the fleet was broken

  Scenario: The node that sends to an upstream is lost
    Given a fleet "one-zone" with callers on every key
    When the fleet loses the sending node
    Then every key is served again by the fleet
    And no promise of the fleet was broken

  Scenario: The node that sends to an upstream is paused and returns
    Given a fleet "one-zone" with callers on every key
    When the fleet's sending node is paused
    Then every key is served again by the fleet
    When the fleet's paused node returns
    Then every key is served again by the fleet
    And no promise of the fleet was broken

  Scenario: The leader is lost
    Given a fleet "one-zone" with callers on every key
    When the fleet loses the leading node
    Then another node of the fleet leads
    And every key is served again by the fleet
    When the fleet loses an upstream that owns keys
    Then every key is served again by the fleet
    And no promise of the fleet was broken

  Scenario: The leader is paused past its lease and returns
    Given a fleet "one-zone" with callers on every key
    When the fleet's leading node is paused
    Then another node of the fleet leads
    When the fleet loses an upstream that owns keys
    Then every key is served again by the fleet
    When the fleet's paused node returns
    Then the fleet's term has risen, and never goes back
    And every key is served again by the fleet
    And no promise of the fleet was broken

  Scenario Outline: The store <goes>, for long
    Given a fleet "one-zone" with callers on every key
    When the fleet's store <goes>
    Then every key is served again by the fleet for 4 s
    When the fleet's store comes back
    Then every key is served again by the fleet
    And no promise of the fleet was broken

    Examples:
      | goes        |
      | goes down   |
      | goes silent |

  Scenario: The store is down and the node that sends to an upstream is lost
    Given a fleet "one-zone" with callers on every key
    When the fleet's store goes down
    And the fleet loses the sending node
    Then every key is served again by the fleet
    When the fleet's store comes back
    Then every key is served again by the fleet
    And no promise of the fleet was broken

  Scenario: The store is slow and answers to writes are lost
    Given a fleet "one-zone" with callers on every key
    When the fleet's store is slow and loses answers
    And the fleet loses an upstream that owns keys
    Then every key is served again by the fleet
    And no promise of the fleet was broken
