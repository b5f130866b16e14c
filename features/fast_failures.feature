Feature: An upstream that fails quickly gets less work, not more

  Responses with status 500 that arrive quickly counted as fast responses: the upstream was preferred
  and was assigned more keys (docs/incidents/2026-12-06-fast-failures.md).

  Scenario Outline: A sender prefers the upstream that serves requests
    Given a sender of the upstreams u1, which responds with <response> at once, and u2, which serves requests in 20 ms
    When 4 callers send 25 requests each
    Then u1 has received at most 12 of them
    And u2 has served the others

    Examples:
      | response                  |
      | 500 Internal Server Error |
      | 502 Bad Gateway           |

  Scenario: The leader estimates no more capacity for the upstream that fails
    Given a sender of the upstreams u1, which responds with 500 Internal Server Error at once, and u2, which serves requests in 20 ms
    When 4 callers send 25 requests each
    Then the leader's estimate of the capacity of u1 is at most that of u2

  Scenario: The mean latency of a route does not include responses that failed
    Given a sender of the upstreams u1, which responds with 500 Internal Server Error at once, and u2, which serves requests in 20 ms
    When 4 callers send 25 requests each
    Then the sender expects at least 18 ms for a request

  Scenario: Operators see the failures and the ejection
    # Without a line or a metric nobody knows why an upstream gets no requests.
    Given a sender of the upstreams u1, which responds with 500 Internal Server Error at once, and u2, which serves requests in 20 ms
    When 4 callers send 25 requests each
    Then the metrics count the requests that u1 has received as failures of the kind error
    And the log has an ejection of u1 with its failures and the shares of the others
    And the health of the service shows the ejection
