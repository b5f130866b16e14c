# Guards against a fleet that sends more retries than it may: each node took a twelfth of the fleet's
# reserve, however many nodes there were.
Feature: All nodes together send no more retries than the fleet may

  Scenario Outline: <nodes> nodes whose upstreams refuse all requests
    Given <nodes> nodes that know of each other, which may retry 0.2 of the requests and 430 more
    When callers send <requests> requests, and each node retries as many as its budget allows
    Then the fleet has sent at most 0.2 of <requests> retries and 430 more
    And it has sent at least half of them

    Examples:
      | nodes | requests |
      | 12    | 5000     |
      | 91    | 20000    |
      | 195   | 21953    |
      | 400   | 30000    |

  Scenario: A fleet that has grown holds back the retries of its nodes
    Given 12 nodes that know of each other, which may retry 0.2 of the requests and 430 more
    When the fleet grows to 195 nodes
    And callers send 21953 requests, and each node retries as many as its budget allows
    Then the fleet has sent at most 0.2 of 21953 retries and 430 more

  Scenario: A node of a fleet larger than its reserve still retries
    Given 1000 nodes that know of each other, which may retry 0.2 of the requests and 62 more
    When callers send 100000 requests, and each node retries as many as its budget allows
    Then the fleet has sent at most 0.2 of 100000 retries and 62 more
    And it has sent at least half of them

  Scenario Outline: The limit of the fleet holds in every window, however the load of <nodes> nodes comes
    Given <nodes> nodes that know of each other, which may retry 0.2 of the requests and <reserve> more
    When callers send requests in bursts for 60 s, and all that may be are sent again
    Then in every window of 10 s the fleet has sent at most 0.2 of the requests and <reserve>

    Examples: a node that saves up retries spends them in a later window
      | nodes | reserve |
      | 1     | 50      |
      | 12    | 62      |
      | 91    | 222     |
      | 300   | 430     |

  # A node of a large fleet held one or two retries and returned the failures of a short fault to
  # its callers, although the fleet had hardly used its retries.
  Scenario: A node of a large fleet saves up retries of its own requests
    Given 91 nodes that know of each other, which may retry 0.2 of the requests and 222 more
    When each node serves 7 requests a second for 10 s without failures
    Then each node may retry 4 requests that fail at once

  Scenario Outline: The number of nodes that is assumed <case>
    Given a node that knows of <before> members
    When <event>
    Then it assumes <nodes> nodes

    Examples:
      | case                                           | before | event                                           | nodes |
      | is that of the members                         | 195    | nothing changes                                 | 195   |
      | has a least, since the list may be incomplete  | 3      | nothing changes                                 | 12    |
      | does not fall when the next leader's list grows | 195   | it gets a list of 1 member                      | 195   |
      | rises at once                                  | 100    | it gets a list of 195 members                   | 195   |
      | falls once the fleet has been smaller for long | 195    | it gets a list of 20 members and 65 s go by     | 20    |
      | falls after a pause of the node                | 195    | it is paused for 90 s and gets a list of 20 members | 20 |
