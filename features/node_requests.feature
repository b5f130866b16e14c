Feature: Callers get complete responses to their own requests, and unsafe requests run at most once

  Background:
    Given a node in front of an upstream "desk" with keys and an upstream "counter" without

  Scenario Outline: Outcome for callers by behavior of the upstream
    Given the upstream <manner>
    When a caller sends <kind> request
    Then it gets <status> and <body>
    And the request was executed <runs>

    Examples: "at most 2 times" is the limit that the route sets
      | manner                      | kind          | status | body                  | runs            |
      | well                        | an unsafe     | 200    | the complete response | once            |
      | well                        | an idempotent | 200    | the complete response | once            |
      | loses answers               | an unsafe     | 502    | no Retry-After time   | once            |
      | loses answers               | an idempotent | 502    | no Retry-After time   | at most 2 times |
      | doubles answers             | an unsafe     | 200    | the complete response | once            |
      | answers without a length    | an unsafe     | 200    | the complete response | once            |
      | cuts answers                | an unsafe     | 502    | no Retry-After time   | once            |
      | answers for another request | an unsafe     | 504    | no Retry-After time   | once            |
      | answers without the seal    | an unsafe     | 502    | no Retry-After time   | once            |
      | sheds                       | an unsafe     | 503    | a Retry-After time    | never           |
      | fails                       | an unsafe     | 502    | no Retry-After time   | once            |

  Scenario: A duplicate response never reaches the next caller
    Given the upstream doubles answers
    When 20 callers send one request each in sequence
    Then each gets its complete response

  Scenario: A request that would miss its deadline is refused early
    Given a request takes 300 ms at the upstream
    And 16 callers have received responses
    And 12 callers wait for the upstream
    When a caller sends a request with a deadline of 1200 ms
    Then it gets 503 and a Retry-After time within half of its deadline

  Scenario: The queued request of a caller that disconnects is cancelled
    Given a request takes 1500 ms at the upstream
    And 2 callers wait for the upstream
    When a caller disconnects while its request is queued
    Then that request is never executed

  Scenario: A graceful shutdown completes all requests
    Given a request takes 1000 ms at the upstream
    When the node is stopped gracefully while 2 callers wait
    Then both get their complete responses
    And the node exits by itself

  Scenario: A configuration is never replaced by an older one
    When the operator adds a route and then writes the older configuration again
    Then the added route is served
    And it is still served afterwards

  Scenario: Malformed entries and configurations are ignored
    When malformed entries and a malformed configuration are written to the store
    Then 5 callers receive responses
    And the log names each of them and the reason

  Scenario: A node without a configuration refuses requests
    Given another node without a configuration
    When a caller sends a request to that node
    Then it gets 503 and a Retry-After time
