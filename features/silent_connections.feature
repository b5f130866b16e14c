Feature: Connections that something between the ends has lost track of

  Scenario Outline: Open connections to <what> go silent for good, <direction>
    Given a proxied fleet "two-zones" with callers on every key
    When the fleet's open connections to <what> go silent <direction>
    Then every key is served again by the fleet
    And no promise of the fleet was broken

    Examples:
      | what                          | direction       |
      | the store                     | in both ways    |
      | the store                     | for the answers |
      | an upstream that owns keys    | in both ways    |
      | an upstream that owns keys    | for the answers |
      | the sending node              | in both ways    |
      | the leading node              | for the answers |
