Feature: A failure is explained by the logs alone, and logs never slow a request

  Scenario Outline: The story of a failed request names its cause
    Given a node in front of an upstream "desk" with keys and an upstream "counter" without
    And the upstream <manner>
    When a caller sends an unsafe request
    Then the request's story from the log names <result> and upstream d0

    Examples:
      | manner         | result                   |
      | loses answers  | UPSTREAM_CONNECTION_LOST |
      | sheds          | REFUSED_BY_UPSTREAM      |
      | fails          | ANSWER_MISMATCH          |

  Scenario: A request that is in no log is said so
    When the story of a request is asked for that no line names
    Then the command ends with exit code 2 and one line

  Scenario: A stalled reader of the log delays nobody
    Given a log whose reader has stalled
    When 20000 lines are written
    Then no write waited, and the lines over the bound are counted

  Scenario: A flood of requests keeps to the budget of lines
    When 5000 ordinary and 5000 failed requests are logged at once
    Then 20 ordinary and 100 failed lines are written
    And with the line after a second all 9880 that were left out are told of

  Scenario: A store that is away is told of once, and its return once
    Given a node in front of an upstream "desk" with keys and an upstream "counter" without
    When the store is busy until the leader has tried 5 times to renew its lease
    Then the log tells once that the leader has lost the store, and not that it is back
    When the store answers again
    Then the log tells once that the leader has the store back
