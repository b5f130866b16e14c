Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: Operators race
    Given a fleet "one-zone" with callers on every key
    When 6 operators apply different configurations to the fleet at once
    Then each operator of the fleet is told that its change was accepted or conflicts
    And the accepted configurations of the fleet have rising versions
    And the newest configuration is in force at every node of the fleet
    And no promise of the fleet was broken

  Scenario: The answer to an operator's write is lost
    Given a fleet "one-zone" with callers on every key
    When the fleet's store loses the answer to the next write of the configuration
    And a changed configuration is applied to the fleet
    Then the changed configuration is in force at every node of the fleet
    And no promise of the fleet was broken

  Scenario: A restarted process never goes back
    Given a fleet "one-zone" with callers on every key
    When a changed configuration is applied to the fleet
    And the fleet's store goes down
    And an instance of the fleet's zone "wanaka" is replaced
    Then the changed configuration is in force at every node of the fleet
    And no promise of the fleet was broken
