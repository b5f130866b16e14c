Feature: No caller takes from others what they need

  Scenario Outline: A malformed request is refused: <fault>
    Given a front whose upstreams are "ok"
    When a caller sends the bytes "<bytes>"
    Then the bytes are answered with status <status> and code 201
    And nothing was sent on
    And the front still answers others

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

  Scenario: Oversized heads and chunked bodies are refused
    Given a front whose upstreams are "ok"
    When a caller sends a header of 20000 bytes
    Then the bytes are answered with status 431 and code 201
    When a caller sends a chunked body of 70000 bytes
    Then the bytes are answered with status 413 and code 201
    When a caller sends a body of 999999 bytes in one go
    Then the bytes are answered with status 413 and code 201
    And nothing was sent on

  Scenario: A request whose body ends early is not sent on
    Given a front whose upstreams are "ok"
    When a caller sends half of a body and closes its connection
    Then nothing is sent on
    And the front still answers others

  Scenario Outline: A whole request passes however it arrives: <manner>
    Given a front whose upstreams are "ok"
    When a caller sends a whole body of 40000 bytes <manner>
    Then the upstream got the body

    Examples:
      | manner                     |
      | in pieces                  |
      | chunked                    |
      | after 100 Continue         |
      | behind another request     |

  Scenario: Callers that send slowly hold nobody up
    Given a front that waits 60 s for a whole request, whose upstreams are "ok"
    When 200 callers each send half a request and wait
    Then the front still answers others
    And the callers that waited are answered once they send the other half

  Scenario: Callers that never end their request are turned away
    Given a front that waits 1 s for a whole request, whose upstreams are "ok"
    When 1 callers each send half a request and wait
    Then the bytes are answered with status 408 and code 201

  Scenario Outline: <method> with upstreams that are <upstreams>
    Given a front whose upstreams are "<upstreams>"
    When a caller sends "<method>" with the id order-1
    Then the answer has status <status>, code <code> and the id order-1
    And <calls> tries were made
    And the answer names its family, and asks to come back <when>

    Examples: what is proved not run is tried elsewhere or may be sent again
      | method | upstreams     | status | code | calls | when       |
      | GET    | ok            | 201    | 100  | 1     | never      |
      | POST   | ok            | 201    | 100  | 1     | never      |
      | POST   | moved, ok     | 201    | 100  | 2     | never      |
      | POST   | sheds, ok     | 201    | 100  | 2     | never      |
      | POST   | sheds         | 503    | 206  | 2     | after 1 s  |
      | POST   | no owner      | 503    | 204  | 1     | after 1 s  |
      | POST   | too late      | 503    | 203  | 1     | after 3 s  |

    Examples: what may have run is sent again only if it is idempotent
      | method | upstreams     | status | code | calls | when       |
      | GET    | lost, ok      | 201    | 100  | 2     | never      |
      | POST   | lost, ok      | 502    | 301  | 1     | never      |
      | GET    | foreign, ok   | 201    | 100  | 2     | never      |
      | POST   | foreign, ok   | 502    | 303  | 1     | never      |
      | GET    | silent, ok    | 504    | 300  | 1     | never      |
      | POST   | silent, ok    | 504    | 300  | 1     | never      |

  Scenario: An answer to HEAD has no body
    Given a front whose upstreams are "ok"
    When a caller sends "HEAD" with the id order-1
    Then the answer has status 201, code 100 and the id order-1

  Scenario: A front without a configuration says so
    Given a front without a configuration
    When a caller sends "GET" with the id order-1
    Then the answer has status 503, code 210 and the id order-1
    And the answer names its family, and asks to come back after 1 s

  Scenario: Nobody serves an unknown path
    Given a front whose upstreams are "ok"
    When a caller sends "PATCH" with the id order-1
    Then the answer has status 404, code 200 and the id order-1
    And 0 tries were made

  Scenario: A stop cuts no request
    Given a front whose upstreams are "slow"
    When a caller waits for an answer and the front is stopped
    Then the caller gets the whole answer and "Connection: close"
    And nobody can connect any more
