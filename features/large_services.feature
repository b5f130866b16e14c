Feature: Services without keys on fleets with many nodes and upstreams

  Scenario: The trace of a request tells the time at the sending node from the time on the way
    Given 3 nodes in front of a service without keys that has 2 upstreams
    When a caller sends a request to each node
    Then the traces of the forwarded requests name the sending node, its queue and the upstream's time
    And the nodes that forwarded them measured the time between the nodes

  @known_red
  Scenario: No single node sends all requests of a large service without keys
    Given 4 nodes in front of a service without keys that has 18 upstreams
    When 15 callers send a request to each node
    Then each request is answered
    And no node has sent more than half of them
