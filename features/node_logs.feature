Feature: Logs explain failures without delaying requests

  Scenario Outline: The trace of a failed request contains its cause
    Given a node in front of an upstream "desk" with keys and an upstream "counter" without
    And the upstream <manner>
    When a caller sends an unsafe request
    Then the trace of the request in the log contains <result> and upstream d0

    Examples:
      | manner         | result                   |
      | loses answers  | UPSTREAM_CONNECTION_LOST |
      | sheds          | REFUSED_BY_UPSTREAM      |
      | fails          | ANSWER_MISMATCH          |

  Scenario: Tracing a request that no log contains is an error
    When a request is traced that no log contains
    Then the command exits with code 2 and prints one line

  Scenario: A stalled log reader does not block the threads that log
    Given a log whose reader has stalled
    When 20000 lines are written
    Then the queue stays within its limit and dropped lines are reported

  Scenario: A burst of requests is logged within the rate limits
    When 5000 successful and 5000 failed requests are logged at once
    Then 20 successful and 100 failed lines are written
    And the line after one second reports the rest of the 9880 suppressed lines

  Scenario: A store outage is logged once, and so is its end
    Given a node in front of an upstream "desk" with keys and an upstream "counter" without
    When the store is busy until the leader has tried 5 times to renew its lease
    Then the log reports once that the leader lost the store, and not that it regained it
    When the store responds again
    Then the log reports once that the leader regained the store
