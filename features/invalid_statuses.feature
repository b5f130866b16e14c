Feature: A response of an upstream whose status is not valid does not reach the caller as a response

  Scenario Outline: A status line that is not valid is a failure of the upstream
    Given an upstream that responds with the status line <line>
    When a caller's request is passed on to it
    Then the caller gets 502
    And the response names neither the upstream's status nor its body

    Examples: numbers that are not statuses, interim statuses, and what int() reads as a number
      | line                |
      | HTTP/1.1 000 Failed |
      | HTTP/1.1 099 Failed |
      | HTTP/1.1 101 Switch |
      | HTTP/1.1 199 Other  |
      | HTTP/1.1 600 Failed |
      | HTTP/1.1 700        |
      | HTTP/1.1 999 Failed |
      | HTTP/1.1 20 OK      |
      | HTTP/1.1 2000 OK    |
      | HTTP/1.1 0200 OK    |
      | HTTP/1.1 +200 OK    |
      | HTTP/1.1 2_00 OK    |
      | HTTP/1.1 -200 OK    |
      | HTTP/1.1 20x OK     |
      | HTTP/1.1 OK         |
      | HTTP/1.1            |
      | HTTP/2 200 OK       |
      | 200 OK              |

  Scenario Outline: A valid final status reaches the caller
    Given an upstream that responds with the status line <line>
    When a caller's request is passed on to it
    Then the caller gets <status>

    Examples:
      | line                | status |
      | HTTP/1.1 200 OK     | 200    |
      | HTTP/1.0 200 OK     | 200    |
      | HTTP/1.1 404        | 404    |
      | HTTP/1.1 599 Failed | 599    |

  Scenario: An invalid status after an interim response is a failure of the upstream
    Given an upstream that responds with an interim response and the status line HTTP/1.1 600 Failed
    When a caller's request is passed on to it
    Then the caller gets 502
