Feature: Calls that watch the store are few on a large fleet, and a lost response is noticed

  Scenario Outline: A node watches the configuration for longer on a larger fleet: <nodes> nodes
    Given a fleet of <nodes> nodes that watch the configuration
    When a node that is <role> watches it
    Then each call waits at least <least> s and at most <most> s

    Examples: the store allows 30 s
      | nodes | role         | least | most |
      | 9     | a follower   | 12    | 15   |
      | 91    | a follower   | 20    | 30   |
      | 195   | a follower   | 25    | 30   |
      | 9     | the leader   | 1     | 5    |
      | 195   | the leader   | 1     | 5    |

  Scenario: A node that becomes leader reads the configuration although its watch has no response
    Given a fleet of 195 nodes that watch the configuration
    And the response to the watch of a follower is lost
    When the configuration changes and the follower becomes leader
    Then it applies the new configuration
