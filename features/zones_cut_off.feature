Feature: Availability zones that are cut off continue to serve the keys that they can

  Scenario: A zone is cut off from the store
    Given a proxied fleet "two-zones" with callers on every key
    When the fleet's zone "twizel" is cut off from the store
    Then every key is served again by the fleet's zone "twizel"
    And every key is served again by the fleet's zone "wanaka"
    When the fleet's connectivity is restored
    Then every key is served again by the fleet
    And no guarantee of the fleet was violated

  Scenario Outline: A zone is cut off from <what>
    Given a proxied fleet "two-zones" with callers on every key
    When the fleet's zone "twizel" is cut off from <what>
    Then each zone of the fleet serves "counter", which has no keys
    When the fleet's connectivity is restored
    Then every key is served again by the fleet
    And no guarantee of the fleet was violated

    Examples:
      | what            |
      | the other zones |

    @known_red
    Examples:
      | what                          |
      | the store and the other zones |

  @known_red
  Scenario: The zone that is left takes over the keys of a zone that is cut off
    Given a proxied fleet "two-zones" with callers on every key
    When the fleet's zone "twizel" is cut off from the store and the other zones
    Then every key is served again by the fleet's zone "wanaka"
    And requests for keys that zone "twizel" cannot serve are refused as not run
    When the fleet's connectivity is restored
    Then every key is served again by the fleet
    And no guarantee of the fleet was violated

  @known_red
  Scenario: Only one instance of a zone can reach the store
    Given a proxied fleet "two-zones" with callers on every key
    When only one instance of the fleet's zone "twizel" reaches the store
    And the fleet loses an upstream of "twizel" that owns keys
    Then every key is served again by the fleet
    When the fleet's connectivity is restored
    Then no guarantee of the fleet was violated

  Scenario: A configuration reaches instances that can reach peers but not the store
    Given a proxied fleet "two-zones" with callers on every key
    When the fleet's zone "twizel" is cut off from the store
    And a changed configuration is applied to the fleet
    Then the changed configuration is in force at every node of the fleet
    And no guarantee of the fleet was violated

  Scenario: A new instance that can reach peers but not the store starts from the state of its peers
    Given a proxied fleet "two-zones" with callers on every key
    When the fleet's zone "twizel" is cut off from the store
    And an instance of the fleet's zone "twizel" is replaced
    Then the replaced instance of the fleet serves every key
    When the fleet's connectivity is restored
    Then every key is served again by the fleet
    And no guarantee of the fleet was violated
