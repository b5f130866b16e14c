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

  Scenario: An upstream that refuses connections is ejected after a few of them
    # Each refused connection cost a request, however many there were before.
    Given a sender of the upstreams u1, which responds with 200 OK at once, and u2, which serves requests in 20 ms
    And u1 has stopped
    When 4 callers send 25 requests each
    Then at most 8 of them have failed
    And u2 has served the others

  Scenario Outline: <outcome> counts as <result>
    # A failure that passes for a success attracts requests; a success or a request that was never
    # tried that passes for a failure takes capacity out of use.
    Given an outcome <outcome> of a request <kind> a key
    Then it counts as <result>

    Examples:
      | outcome                                              | kind    | result      |
      | OK with status 200                                   | with    | served      |
      | OK with status 404                                   | with    | served      |
      | OK with status 499                                   | without | served      |
      | OK with status 500                                   | with    | error       |
      | OK with status 502                                   | without | error       |
      | OK with status 599                                   | without | error       |
      | ANSWER_MISMATCH after arrival                        | with    | error       |
      | UPSTREAM_CONNECTION_LOST after arrival               | with    | no_response |
      | DEADLINE_EXCEEDED after 5 expected latencies         | with    | no_response |
      | DEADLINE_EXCEEDED after 4 expected latencies         | with    | not_rated   |
      | NO_OWNER before arrival                              | without | unreachable |
      | NO_OWNER after arrival                               | without | refused     |
      | NO_OWNER after arrival                               | with    | not_rated   |
      | REFUSED_BY_UPSTREAM after arrival                    | with    | refused     |
      | REFUSED_BY_UPSTREAM after arrival at one that leaves | with    | not_rated   |
      | CANCELLED after arrival                              | with    | not_rated   |
      | KEY_MOVED before arrival                             | with    | not_rated   |
      | STOPPING before arrival                              | with    | not_rated   |
      | BAD_REQUEST before arrival                           | with    | not_rated   |
