Feature: Connections whose state a device on the network path has lost

  Scenario Outline: Open connections to <what> go silent permanently <direction>
    Given a proxied fleet "two-zones" with callers on every key
    When the fleet's open connections to <what> go silent <direction>
    Then every key is served again by the fleet
    And no guarantee of the fleet was violated

    Examples:
      | what                          | direction          |
      | the store                     | in both directions |
      | the store                     | for responses      |
      | an upstream that owns keys    | in both directions |
      | an upstream that owns keys    | for responses      |
      | the sending node              | in both directions |
      | the leading node              | for responses      |
