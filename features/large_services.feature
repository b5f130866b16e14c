Feature: Services without keys on fleets with many nodes and upstreams

  Scenario: The trace of a request tells the time at the sending node from the time on the way
    Given 3 nodes in front of a service without keys that has 2 upstreams
    When a caller sends a request to each node
    Then the traces of the forwarded requests name the sending node, its queue and the upstream's time
    And the nodes that forwarded them measured the time between the nodes

  Scenario: No single node sends all requests of a large service without keys
    Given 4 nodes in front of a service without keys that has 18 upstreams
    When 15 callers send a request to each node
    Then each request is answered
    And no node has sent more than half of them

  Scenario: Callers of a large service are answered in time although the links of nodes are narrow
    Given 90 nodes in 3 zones with links of 300 messages per second, and 6 upstreams in each zone
    When 190 requests per second arrive for 10 s, evenly from all zones
    Then at least 99 of 100 are answered within their latency objective of 400 ms

  Scenario: Callers of a zone with more traffic than upstreams are served by other zones
    Given 90 nodes in 3 zones with links of 300 messages per second, and 6 upstreams in each zone
    When 190 requests per second arrive for 10 s, 7 in 10 of them from one zone
    Then at least 97 of 100 are answered within their latency objective of 400 ms

  Scenario: A burst is served as far as the slots of all upstreams go
    Given 90 nodes in 3 zones with links of 600 messages per second, and 6 upstreams in each zone
    When 310 requests per second arrive for 10 s, evenly from all zones
    Then at least 90 of 100 are answered within their latency objective of 400 ms

  Scenario: Sending nodes with a small processor keep up with a large service
    Given 90 nodes in 3 zones with links of 150 messages per second, and 6 upstreams in each zone
    When 240 requests per second arrive for 10 s, evenly from all zones
    Then at least 97 of 100 are answered within their latency objective of 400 ms

  Scenario: A sending node that becomes slow gets few requests
    Given 90 nodes in 3 zones with links of 300 messages per second, and 6 upstreams in each zone
    And the link of one sending node is 10 times slower
    When 130 requests per second arrive for 10 s, evenly from all zones
    Then at least 90 of 100 are answered within their latency objective of 400 ms

  Scenario Outline: Upstreams of a service without keys are divided into groups
    Given <zones> zones with <upstreams> upstreams and 5 nodes each
    Then there are <groups> groups with as many sending nodes as possible in their zones
    And each upstream is in one group

    Examples: one group serves small services, since it knows all free slots
      | zones | upstreams | groups |
      | 3     | 0         | 1      |
      | 3     | 2         | 1      |
      | 4     | 2         | 1      |
      | 3     | 4         | 3      |
      | 3     | 6         | 6      |
      | 3     | 12        | 12     |
      | 2     | 40        | 26     |

  Scenario: Groups have similar numbers of upstreams
    Given 3 zones with 24 upstreams and 30 nodes each
    Then each group has 2 to 4 upstreams

  Scenario: A change of the fleet affects few groups
    Given 3 zones with 24 upstreams and 30 nodes each
    When a sending node leaves
    Then its group has another sending node and at most 1 other group changes
    When an upstream joins the service
    Then each group but that of the new upstream has the same upstreams as before
