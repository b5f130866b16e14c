Feature: Availability zones that are cut off go on serving what they can

  Scenario Outline: A zone is cut off from <what>
    Given a proxied fleet "two-zones" with callers on every key
    When the fleet's zone "twizel" is cut off from <what>
    Then each zone of the fleet serves its own keys
    When the fleet's cuts are healed
    Then every key is served again by the fleet
    And no promise of the fleet was broken

    Examples:
      | what                                |
      | the platform                        |
      | the other zones                     |
      | the platform and the other zones    |

  Scenario: Only one instance of a zone reaches the store
    Given a proxied fleet "two-zones" with callers on every key
    When only one instance of the fleet's zone "twizel" reaches the store
    And the fleet loses an upstream of "twizel" that owns keys
    Then every key is served again by the fleet
    When the fleet's cuts are healed
    Then no promise of the fleet was broken

  Scenario: A configuration reaches instances that reach peers but not the platform
    Given a proxied fleet "two-zones" with callers on every key
    When the fleet's zone "twizel" is cut off from the platform
    And a changed configuration is applied to the fleet
    Then the changed configuration is in force at every process of the fleet
    And no promise of the fleet was broken

  Scenario: A fresh instance in a cut-off zone starts from its peers
    Given a proxied fleet "two-zones" with callers on every key
    When the fleet's zone "twizel" is cut off from the platform and the other zones
    And an instance of the fleet's zone "twizel" is replaced
    Then the replaced instance of the fleet serves the keys of its zone
    When the fleet's cuts are healed
    Then every key is served again by the fleet
    And no promise of the fleet was broken
