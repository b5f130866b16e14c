Feature: Availability zones that are cut off go on serving what they can

  Scenario: A zone is cut off from the store
    Given a proxied fleet "two-zones" with callers on every key
    When the fleet's zone "twizel" is cut off from the store
    Then every key is served again by the fleet's zone "twizel"
    And every key is served again by the fleet's zone "wanaka"
    When the fleet's cuts are healed
    Then every key is served again by the fleet
    And no promise of the fleet was broken

  Scenario Outline: A zone is cut off from <what>
    Given a proxied fleet "two-zones" with callers on every key
    When the fleet's zone "twizel" is cut off from <what>
    Then each zone of the fleet serves "counter", which has no keys
    When the fleet's cuts are healed
    Then every key is served again by the fleet
    And no promise of the fleet was broken

    Examples:
      | what                          |
      | the other zones               |
      | the store and the other zones |

  @known_red
  Scenario: The zone that is left takes over the keys of a zone that is cut off
    Given a proxied fleet "two-zones" with callers on every key
    When the fleet's zone "twizel" is cut off from the store and the other zones
    Then every key is served again by the fleet's zone "wanaka"
    And requests for keys that zone "twizel" cannot serve are refused as not run
    When the fleet's cuts are healed
    Then every key is served again by the fleet
    And no promise of the fleet was broken

  Scenario: Only one instance of a zone reaches the store
    Given a proxied fleet "two-zones" with callers on every key
    When only one instance of the fleet's zone "twizel" reaches the store
    And the fleet loses an upstream of "twizel" that owns keys
    Then every key is served again by the fleet
    When the fleet's cuts are healed
    Then no promise of the fleet was broken

  Scenario: A configuration reaches instances that reach peers but not the store
    Given a proxied fleet "two-zones" with callers on every key
    When the fleet's zone "twizel" is cut off from the store
    And a changed configuration is applied to the fleet
    Then the changed configuration is in force at every node of the fleet
    And no promise of the fleet was broken

  Scenario: A fresh instance that reaches peers but not the store starts from its peers
    Given a proxied fleet "two-zones" with callers on every key
    When the fleet's zone "twizel" is cut off from the store
    And an instance of the fleet's zone "twizel" is replaced
    Then the replaced instance of the fleet serves every key
    When the fleet's cuts are healed
    Then every key is served again by the fleet
    And no promise of the fleet was broken
