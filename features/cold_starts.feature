Feature: A cold upstream gets no more requests than it can take, from all nodes together

  Scenario Outline: No second exceeds the bound of the fleet: guards against senders that add up
    Given 4 nodes in front of a cold upstream that sustains <rate> requests per second
    And a bound of 1.5 times its rate and 8 requests
    When <event>
    Then the upstream has got at most <limit> requests in any second
    And it has got at least <least> requests in some second

    Examples: 5.6 x 1.5 + 8 = 16.4; 50 x 1.5 + 8 = 83, of which one sender uses half
      | rate | event                                                        | limit | least |
      | 5.6  | node 0 is its sender for 5 s                                 | 6     | 5     |
      | 5.6  | no node is its sender for 5 s                                | 0     | 0     |
      | 5.6  | the sender changes from node 0 to node 1 after 1.3 s         | 7     | 5     |
      | 5.6  | the sender changes every 0.25 s                              | 6     | 1     |
      | 5.6  | node 0 is its sender and restarts every 0.3 s                | 6     | 1     |
      | 5.6  | nodes 0 and 1 believe to be its sender for 5 s               | 12    | 10    |
      | 5.6  | nodes 0 and 1 believe to be its sender and node 1 restarts every 0.3 s | 12 | 6 |
      | 5.6  | node 0 is displaced by node 1 and learns of it 1.6 s later   | 12    | 8     |
      | 5.6  | nodes 1 and 2 displace node 0 at once and it stops 1 s later | 17    | 8     |
      | 1    | nodes 0 and 1 believe to be its sender for 5 s               | 2     | 2     |
      | 50   | nodes 0 and 1 believe to be its sender for 5 s               | 83    | 70    |
      | 50   | node 0 is its sender for 5 s                                 | 41    | 36    |

  Scenario: Three nodes that believe to be the sender for a whole second: guards against more than the stated excess
    Given 4 nodes in front of a cold upstream that sustains 5.6 requests per second
    And a bound of 1.5 times its rate and 8 requests
    When nodes 0, 1 and 2 believe to be its sender for 5 s
    Then the upstream has got at most 18 requests in any second

  Scenario: A deployment without a bound gets the rate itself: guards against a limit of zero
    Given 4 nodes in front of a cold upstream that sustains 5.6 requests per second
    When node 0 is its sender for 5 s
    Then the upstream has got at most 6 requests in any second
    And it has got at least 5 requests in some second

  Scenario Outline: Only the preferred sender in contact with the leader sends: guards against several senders by outdated views
    Given 4 nodes in zone-a with the same view, and a cold upstream there <kind> keys
    When <event>
    Then <count> of the nodes count as its sender

    Examples:
      | kind    | event                                             | count |
      | with    | all have polled the leader 0.3 s ago              | 1     |
      | without | all have polled the leader 0.3 s ago              | 1     |
      | with    | all have polled the leader 1.6 s ago              | 0     |
      | without | all have polled the leader 1.6 s ago              | 0     |
      | with    | no node has polled the leader                     | 0     |
      | with    | only the others have polled the leader 0.3 s ago  | 0     |
      | without | only the others have polled the leader 0.3 s ago  | 0     |
      | with    | the preferred one leads and no node has polled    | 1     |
      | with    | the preferred one is leaving and all have polled 0.3 s ago | 1 |

  Scenario Outline: A pool promises only what a cold upstream has: guards against requests that expire in the queue
    Given a pool of one upstream with 4 slots and requests of 100 ms
    And upstream 0 is cold for 3 s, takes 5 requests per second, and this node <role> its sender
    When 60 requests arrive that have <deadline> ms
    Then all admitted requests are served before their deadline
    And between <least> and <most> requests are admitted
    And upstream 0 has started at most 5 of them in any second before it is warm
    And the others are refused on arrival with a Retry-After time

    Examples: from 3 s on, 4 slots serve 40 requests per second
      | role   | deadline | least | most |
      | is     | 1000     | 3     | 5    |
      | is     | 2000     | 7     | 10   |
      | is not | 1000     | 0     | 0    |

  Scenario: A pool uses warm upstreams first while another one is cold: guards against waiting for tokens
    Given a pool of 2 upstreams with 2 slots and requests of 100 ms
    And upstream 0 is cold for 8 s, takes 5 requests per second, and this node is its sender
    When 30 requests arrive one by one that have 1000 ms
    Then all admitted requests are served before their deadline
    And at least 20 of them are served by upstream 1

  Scenario: Two pools share the limit of an upstream: guards against one token that is taken twice
    Given a pool of one upstream with 4 slots and requests of 100 ms
    And upstream 0 is cold for 3 s, takes 5 requests per second, and this node is its sender
    And a second pool of the same upstream
    When requests arrive at both pools for 2 s
    Then upstream 0 has got at most 5 requests in any second

  Scenario Outline: The nodes of a fleet limit an upstream that joins during traffic: guards against parts that are not connected
    Given 2 nodes in front of a service <kind> keys whose upstreams take 4 requests per second while cold for 4 s
    When callers send requests to both nodes all the time and another upstream joins
    Then the new upstream gets requests, at most 14 in any second of its first 3 s
    And no caller has got an unknown result

    Examples:
      | kind    |
      | with    |
      | without |
