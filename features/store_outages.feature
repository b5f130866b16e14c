Feature: The calls of a fleet to a store that is unavailable are bounded

  Scenario Outline: A large fleet spreads its retries
    Given a fleet of <nodes> nodes whose calls to the store fail from second 0 on
    When calls that are retried after at least <least> s are retried for 8 s
    Then there are at most <most> retries, and at most <window> in any 0.5 s after the first 2 s

    Examples: about 100 a second for each kind of call, or one of each node in 1.5 s
      | nodes | least | most  | window |
      | 91    | 0.3   | 900   | 100    |
      | 91    | 0.9   | 900   | 100    |
      | 150   | 0.3   | 950   | 100    |
      | 4800  | 0.3   | 27000 | 1800   |

  Scenario Outline: A small fleet retries without additional delay
    Given a fleet of <nodes> nodes whose calls to the store fail from second 0 on
    When calls that are retried after at least <least> s are retried for 8 s
    Then each node has retried every <least> s

    Examples:
      | nodes | least |
      | 1     | 0.3   |
      | 11    | 0.3   |
      | 11    | 0.9   |

  Scenario: All parts of a node that call the store spread their retries
    Given a node of a fleet of 40 nodes whose store refuses all calls
    When the node has started
    Then its elections, configuration and list of upstreams are retried after at least 0.3, 0.4 and 0.9 s
