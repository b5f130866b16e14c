Feature: Callers get the whole answer to their own request, and what must not repeat runs once

  Background:
    Given a node in front of an upstream "desk" with keys and an upstream "counter" without

  Scenario Outline: An upstream answers in a manner of its own
    Given the upstream <manner>
    When a caller sends <kind> request
    Then it gets <status> and <body>
    And the request has run <runs>

    Examples: what callers get; "at most 2 times" is the route's bound
      | manner                        | kind          | status | body             | runs            |
      | well                          | an unsafe     | 200    | its whole answer | once            |
      | well                          | an idempotent | 200    | its whole answer | once            |
      | loses answers                 | an unsafe     | 502    | no promise       | once            |
      | loses answers                 | an idempotent | 502    | no promise       | at most 2 times |
      | doubles answers               | an unsafe     | 200    | its whole answer | once            |
      | answers without a length      | an unsafe     | 200    | its whole answer | once            |
      | cuts answers                  | an unsafe     | 502    | no promise       | once            |
      | answers for another request   | an unsafe     | 504    | no promise       | once            |
      | answers without the seal      | an unsafe     | 502    | no promise       | once            |
      | sheds                         | an unsafe     | 503    | a time to return | never           |
      | fails                         | an unsafe     | 502    | no promise       | once            |

  Scenario: Doubled answers never reach the next caller
    Given the upstream doubles answers
    When 20 callers send a request one after the other
    Then each gets its whole answer

  Scenario: A request that cannot end in time is refused at once
    Given a request takes 300 ms at the upstream
    And 16 callers were answered
    And 12 callers wait for the upstream
    When a caller sends a request that it waits 1200 ms for
    Then it gets 503 and a time to return before its time is half over

  Scenario: A caller that leaves is not served on
    Given a request takes 1500 ms at the upstream
    And 2 callers wait for the upstream
    When a caller leaves while its request waits
    Then that request never runs

  Scenario: A planned stop cuts no request
    Given a request takes 1000 ms at the upstream
    When the node is asked to stop while 2 callers wait
    Then both get their whole answers
    And the node ends by itself

  Scenario: A newer configuration is in force and an older one never again
    When the operator adds a route and then writes the older configuration again
    Then the added route is served
    And it is still served after a while

  Scenario: Entries and configurations that cannot be read change nothing
    When other writers leave broken entries and a broken configuration
    Then 5 callers are answered
    And the log names each of them with its reason

  Scenario: A node without a configuration promises nothing was run
    Given another node that has no configuration
    When a caller asks that node
    Then it gets 503 and a time to return
