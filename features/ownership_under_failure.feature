Feature: A key has at most one owner and is served again after a failure

  Scenario: An upstream is lost
    Given a fleet "one-zone" with callers on every key
    When the fleet loses an upstream that owns keys
    Then every key is served again by the fleet
    And the fleet's lost upstream owns no key
    And no guarantee of the fleet was violated

  Scenario: An upstream freezes and returns
    Given a fleet "one-zone" with callers on every key
    When the fleet's upstream that owns keys freezes
    Then every key is served again by the fleet
    When the fleet's frozen upstream returns
    Then every key is served again by the fleet
    And no guarantee of the fleet was violated

  Scenario: The node that sends to an upstream is lost
    Given a fleet "one-zone" with callers on every key
    When the fleet loses the sending node
    Then every key is served again by the fleet
    And no guarantee of the fleet was violated

  Scenario: The node that sends to an upstream is paused and returns
    Given a fleet "one-zone" with callers on every key
    When the fleet's sending node is paused
    Then every key is served again by the fleet
    When the fleet's paused node returns
    Then every key is served again by the fleet
    And no guarantee of the fleet was violated

  Scenario: The leader is lost
    Given a fleet "one-zone" with callers on every key
    When the fleet loses the leading node
    Then another node of the fleet becomes the leader
    And every key is served again by the fleet
    When the fleet loses an upstream that owns keys
    Then every key is served again by the fleet
    And no guarantee of the fleet was violated

  Scenario: The leader is paused until its lease has expired and returns
    Given a fleet "one-zone" with callers on every key
    When the fleet's leading node is paused
    Then another node of the fleet becomes the leader
    When the fleet loses an upstream that owns keys
    Then every key is served again by the fleet
    When the fleet's paused node returns
    Then the fleet's term has increased and does not decrease
    And every key is served again by the fleet
    And no guarantee of the fleet was violated

  Scenario Outline: The store <fails> for a long time
    Given a fleet "one-zone" with callers on every key
    When the fleet's store <fails>
    Then every key is served again by the fleet for 4 s
    When the fleet's store comes back
    Then every key is served again by the fleet
    And no guarantee of the fleet was violated

    Examples:
      | fails     |
      | goes down |

    @known_red
    Examples:
      | fails            |
      | stops responding |

  Scenario: The store is down and the node that sends to an upstream is lost
    Given a fleet "one-zone" with callers on every key
    When the fleet's store goes down
    And the fleet loses the sending node
    Then every key is served again by the fleet
    When the fleet's store comes back
    Then every key is served again by the fleet
    And no guarantee of the fleet was violated

  Scenario: The store is slow and responses to writes are lost
    Given a fleet "one-zone" with callers on every key
    When the fleet's store is slow and loses responses
    And the fleet loses an upstream that owns keys
    Then every key is served again by the fleet
    And no guarantee of the fleet was violated
