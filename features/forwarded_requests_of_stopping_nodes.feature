# Guards against callers without an answer: requests that waited at another node when theirs was
# asked to stop waited there beyond its exit.
Feature: A stopping node answers the requests that it has forwarded to other nodes

  Scenario Outline: A queued request of another node that <exit>
    Given a sender with a running request and a queued one of another node, both with 30 s left
    When the other node states that it <exit>
    Then the queued request is <result>
    And the running request of the other node gets its upstream's response

    Examples:
      | exit           | result                            |
      | exits at once  | refused as stopping, and not sent |
      | exits in 60 s  | still queued                      |

  Scenario: The exit of a node does not concern the requests of others
    Given a sender with a running request and a queued one of another node, both with 30 s left
    When a third node states that it exits at once
    Then the queued request is still queued

  Scenario: An upstream is told to end a request before the node that forwarded it exits
    Given a sender and another node that exits in 10 s
    When a request of the other node with 30 s left is sent
    Then the upstream was told a deadline of less than 9.8 s

  Scenario: Nodes that do not respond delay neither the notice to others nor the answers to callers
    Given a node with requests at 8 nodes that do not respond and at one that does
    When it is about to exit
    Then notices to all nodes that do not respond are under way at the same time
    And the node that responds gets the notice
    And all requests end since their connections are interrupted, not at their deadlines

  Scenario Outline: Requests that wait at a node <condition> when theirs is stopped
    Given two nodes whose upstream takes 1 s for a request and has 2 slots
    When callers send 20 long requests to one node, and they wait at a node <condition>
    And the node of the callers is asked to stop
    Then each caller got a response before the node exited
    And no response of status 503 is about a request that an upstream ran

    Examples:
      | condition                     |
      | that responds                 |
      | that does not respond any more |
