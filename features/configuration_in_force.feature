Feature: An accepted configuration takes effect at every node and is never reverted

  Scenario: Several operators apply configurations concurrently
    Given a fleet "one-zone" with callers on every key
    When 6 operators apply different configurations to the fleet at once
    Then each operator of the fleet has its change accepted or rejected as a conflict
    And each accepted configuration of the fleet has its own version
    And the newest configuration is in force at every node of the fleet
    And no guarantee of the fleet was violated

  Scenario: The response to an operator's write is lost
    Given a fleet "one-zone" with callers on every key
    When the fleet's store loses the response to the next write of the configuration
    And a changed configuration is applied to the fleet
    Then the changed configuration is in force at every node of the fleet
    And no guarantee of the fleet was violated

  Scenario: A restarted node does not revert to an older configuration
    Given a fleet "one-zone" with callers on every key
    When a changed configuration is applied to the fleet
    And the fleet's store goes down
    And an instance of the fleet's zone "wanaka" is replaced
    Then the changed configuration is in force at every node of the fleet
    And no guarantee of the fleet was violated
