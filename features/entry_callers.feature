Feature: No caller takes from others what they need

  Scenario Outline: A malformed request is refused: <fault>
    Given an entry whose dispatchers are "ok"
    When a caller sends the bytes "<bytes>"
    Then the bytes are answered with status <status> and code 201
    And nothing was dispatched
    And the entry still answers others

    Examples:
      | fault               | status | bytes                                                                    |
      | no protocol         | 400    | GET /k/a1\r\n\r\n                                                        |
      | bare line feeds     | 400    | GET /k/a1 HTTP/1.1\n\n                                                   |
      | bad header          | 400    | GET /k/a1 HTTP/1.1\r\nnonsense\r\n\r\n                                   |
      | negative length     | 400    | PUT /k/a1 HTTP/1.1\r\nContent-Length: -5\r\n\r\n                         |
      | word for length     | 400    | PUT /k/a1 HTTP/1.1\r\nContent-Length: five\r\n\r\n                       |
      | signed length       | 400    | PUT /k/a1 HTTP/1.1\r\nContent-Length: +1\r\n\r\nx                        |
      | length and chunked  | 400    | PUT /k/a1 HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n |
      | bad chunk           | 400    | PUT /k/a1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n       |
      | control in header   | 400    | GET /k/a1 HTTP/1.1\r\nX-A: b\rc\r\n\r\n                                  |
      | later version       | 505    | GET /k/a1 HTTP/2.0\r\n\r\n                                               |
      | lower-case method   | 400    | get /k/a1 HTTP/1.1\r\n\r\n                                               |
      | absolute form       | 400    | GET http://x/k/a1 HTTP/1.1\r\n\r\n                                       |
      | large body          | 413    | PUT /k/a1 HTTP/1.1\r\nContent-Length: 999999\r\n\r\n                     |
      | bad request id      | 400    | GET /k/a1 HTTP/1.1\r\nX-Request-Id: a b\r\n\r\n                          |
      | no UUID             | 400    | POST /k/a1/pay HTTP/1.1\r\nX-Request-Id: a1\r\n\r\n                      |

  Scenario: Oversized heads and chunked bodies are refused
    Given an entry whose dispatchers are "ok"
    When a caller sends a header of 20000 bytes
    Then the bytes are answered with status 413 and code 201
    When a caller sends a chunked body of 70000 bytes
    Then the bytes are answered with status 413 and code 201
    When a caller sends a body of 999999 bytes in one go
    Then the bytes are answered with status 413 and code 201
    And nothing was dispatched

  Scenario Outline: A whole request passes however it arrives: <manner>
    Given an entry whose dispatchers are "ok"
    When a caller sends a whole body of 40000 bytes <manner>
    Then the dispatcher got the body

    Examples:
      | manner                     |
      | in pieces                  |
      | chunked                    |
      | after 100 Continue         |
      | behind another request     |

  Scenario: Callers that send slowly hold no worker
    Given an entry whose dispatchers are "ok"
    And the entry waits 60 s for a whole request
    When 200 callers each send half a request and wait
    Then the entry still answers others
    And the callers that waited are answered once they send the other half

  Scenario: Callers that never end their request are turned away
    Given an entry whose dispatchers are "ok"
    When 1 callers each send half a request and wait
    Then the bytes are answered with status 408 and code 201

  Scenario: A flood of one rank leaves the others their workers
    Given an entry with limits urgent 4, careful 4 and deferrable 4 whose dispatchers are "slow"
    When 40 callers send requests of rank deferrable
    Then 36 of them are answered with code 209
    And a request of rank urgent reaches the dispatcher

  Scenario: Requests that wait for a worker are taken by rank
    Given an entry with limits urgent 4, careful 4 and deferrable 4 whose dispatchers are "ok"
    When the workers are busy and requests arrive in the order "report nothing pay get report get"
    Then the workers take them in the order "get get pay report report nothing"

  Scenario: Connections over the limit are refused, others go on
    Given an entry for 10 connections whose dispatchers are "ok"
    When 10 callers connect and stay
    Then one more caller is refused with status 503
    And a caller that stayed is still answered

  Scenario: A caller that hangs up has its queued work cancelled
    Given an entry whose dispatchers are "slow"
    When a caller sends a request and hangs up
    Then the dispatcher is asked to cancel it

  Scenario: A stop cuts no request
    Given an entry whose dispatchers are "slow"
    When a caller waits for an answer and the entry is stopped
    Then the entry is unhealthy
    And the caller gets the whole answer and "Connection: close"
    And nobody can connect any more
