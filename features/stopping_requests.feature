Feature: A node that is stopping answers every request that it reads

  Scenario Outline: What a node that exits at 105.5 s still sends: <case>
    Given a node that was asked to stop and exits at 105.5 s
    When at <now> s a request has the deadline <deadline> s, a mean latency of <latency> s, and is <kind>
    Then the request is <decision>

    Examples:
      | case                                | now   | deadline | latency | kind           | decision            |
      | ends before the exit                | 102.0 | 104.0    | 1.0     | not idempotent | sent until 104.0 s  |
      | own deadline is too short to run    | 102.0 | 102.1    | 1.0     | not idempotent | sent until 102.1 s  |
      | long deadline, usually short        | 102.0 | 110.0    | 0.1     | not idempotent | sent until 105.2 s  |
      | long deadline, short and repeatable | 105.0 | 110.0    | 0.1     | idempotent     | sent until 105.2 s  |
      | may be cut short and not repeated   | 103.5 | 110.0    | 1.0     | not idempotent | refused             |
      | may be cut short, but repeated      | 103.5 | 110.0    | 1.0     | idempotent     | sent until 105.2 s  |
      | cannot end in time                  | 104.5 | 110.0    | 1.0     | idempotent     | refused             |
      | arrives at the end                  | 105.2 | 106.0    | 0.1     | idempotent     | refused             |
      | body complete after the end         | 105.4 | 105.9    | 0.0     | idempotent     | refused             |

  Scenario: The upstream of a request that was cut short may still end it before the node does
    Given a node that was asked to stop and exits at 105.5 s
    Then the response to a request with the deadline 110.0 s is awaited after 105.2 s and before 105.5 s
    And the response to a request with the deadline 104.0 s is awaited until 104.0 s

  Scenario: A node whose time is over refuses a long request before it is sent
    Given a front server whose upstreams respond with "ok"
    When its node is about to exit
    And a caller sends "POST" with the id order-1
    Then the response has status 503, code 208 and the id order-1
    And 0 attempts were made

  Scenario: A request that is cut short and cannot be served in time is refused as stopping
    Given a front server whose upstreams respond with "too late"
    When its node exits in 10 s and a caller sends a request with a deadline of 20 s
    Then the upstream's deadline is that of the stopping node
    And the response has status 503, code 208 and the id order-1

  Scenario: A queued request is refused before the node exits, and a running one is not broken off
    Given a sender with a running and a queued request, both with 30 s left
    When its node is about to exit
    Then the queued request is refused as stopping and was not sent
    And the running request gets its upstream's response

  Scenario: An upstream is told to end a request before the node exits
    Given a sender whose node exits in 10 s
    When a request with 30 s left is sent
    Then the upstream was told a deadline of less than 9.8 s

  Scenario: A connection that has not yet sent its first request keeps the front server open
    Given a front server whose upstreams respond with "ok"
    When a caller connects while the front server drains, and the server accepts no more
    Then the front server counts 1 request that may still come
    And a request on that connection is answered
    And the front server becomes idle

  @known_red
  Scenario: Late requests to a stopping node are answered before it exits
    Given a node whose upstream takes 1 s for a request and has 2 slots
    When the node is asked to stop, and callers send 24 long requests 1 s later
    Then every request got a response
    And every refused request was not run, and can be sent again at once
    And no request ran more than once
    And the node has ended with code 0
