Feature: Large bodies of many callers at once do not exhaust the memory of a node

  Scenario Outline: A body that the node has no memory for is refused as not run: <manner>
    Given a front server with memory for bodies of 250000 bytes, whose upstreams hold requests
    When 2 callers send bodies of 100000 bytes each
    And another caller sends a body of 100000 bytes <manner>
    Then the other caller gets status 503 and code 212 with a Retry-After time
    And 2 requests have reached the upstreams
    When the upstreams respond
    Then both callers get their responses
    And the node counts no more bytes of bodies
    And a further body of 100000 bytes is served

    Examples:
      | manner        |
      | with a length |
      | in chunks     |

  Scenario: A single body may be larger than the memory for bodies
    Given a front server with memory for bodies of 250000 bytes, whose upstreams hold requests
    When 1 callers send bodies of 400000 bytes each
    Then 1 requests have reached the upstreams

  Scenario Outline: A body that is not received completely takes no memory afterwards: <end>
    Given a front server with memory for bodies of 250000 bytes, whose upstreams hold requests
    When a caller's body of 100000 bytes <end>
    Then the node counts no more bytes of bodies
    And 0 requests have reached the upstreams

    Examples:
      | end                    |
      | ends early             |
      | has a malformed chunk  |
      | exceeds the limit      |

  # Guards against a node that runs out of memory: each received piece was kept as an object.
  Scenario: A body that arrives in small pieces takes little more memory than one in large pieces
    When a body of 500000 bytes is received in pieces of 2 bytes
    Then receiving it took at most three times its size

  Scenario: A body that no message between nodes can carry is sent by the node that received it
    Given a node that forwards requests for key 1 to another node
    When it serves a request with a body of 2000000 bytes
    Then the other node was called
    When it serves a request with a body of 5000000 bytes
    Then the node has sent it to the upstream itself

  Scenario: Connections beyond the uncounted ones need room: guards against idle connections that take the memory of bodies
    Given a front server with memory for bodies of 200000 bytes, whose upstreams hold requests
    And the server counts each connection after the first one
    When 5 callers connect one after the other
    Then 3 of them stay connected
    When these callers close their connections
    Then no bytes are counted
