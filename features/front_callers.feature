Feature: The front server handles malformed, slow and disconnected callers

  Scenario Outline: A malformed request is rejected: <fault>
    Given a front server whose upstreams respond with "ok"
    When a caller sends the bytes "<bytes>"
    Then the bytes are rejected with status <status> and code 201
    And no upstream received a request
    And other callers are still served

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

  Scenario: Oversized headers and bodies are rejected
    Given a front server whose upstreams respond with "ok"
    When a caller sends a header of 20000 bytes
    Then the bytes are rejected with status 431 and code 201
    When a caller sends a chunked body of 70000 bytes
    Then the bytes are rejected with status 413 and code 201
    When a caller sends a body of 999999 bytes in one go
    Then the bytes are rejected with status 413 and code 201
    And no upstream received a request

  Scenario: A caller that still sends the body when it is rejected gets the rejection
    Given a front server whose upstreams respond with "ok"
    When a caller sends the rest of a body of 999999 bytes after the front server has rejected it
    Then the bytes are rejected with status 413 and code 201

  Scenario: A request with an incomplete body is not sent to an upstream
    Given a front server whose upstreams respond with "ok"
    When a caller sends half of a body and closes its connection
    Then the connection ends without a request to an upstream
    And other callers are still served

  Scenario Outline: A complete request is accepted however it arrives: <manner>
    Given a front server whose upstreams respond with "ok"
    When a caller sends a complete body of 40000 bytes <manner>
    Then the upstream received the body

    Examples:
      | manner                     |
      | in pieces                  |
      | chunked                    |
      | after 100 Continue         |
      | behind another request     |

  Scenario: Slow callers do not delay other callers
    Given a front server with a header timeout of 60 s, whose upstreams respond with "ok"
    When 200 callers each send half of a request and wait
    Then other callers are still served
    And the waiting callers get a response after they send the other half

  Scenario: A request that does not arrive in time is rejected
    Given a front server with a header timeout of 1 s, whose upstreams respond with "ok"
    When 1 callers each send half of a request and wait
    Then the bytes are rejected with status 408 and code 201

  Scenario Outline: <method> with the upstream outcomes <outcomes>
    Given a front server whose upstreams respond with "<outcomes>"
    When a caller sends "<method>" with the id order-1
    Then the response has status <status>, code <code> and the id order-1
    And <attempts> attempts were made
    And the response names its result family, and its Retry-After is <retry_after>

    Examples: a request that certainly did not run may be retried
      | method | outcomes      | status | code | attempts | retry_after |
      | GET    | ok            | 201    | 100  | 1        | absent      |
      | POST   | ok            | 201    | 100  | 1        | absent      |
      | POST   | key moved, ok | 201    | 100  | 2        | absent      |
      | POST   | refused, ok   | 201    | 100  | 2        | absent      |
      | POST   | refused       | 503    | 206  | 2        | 1 s         |
      | POST   | no owner      | 503    | 204  | 1        | 1 s         |
      | POST   | too late      | 503    | 203  | 1        | 3 s         |

    Examples: a request that may have run is retried only if it is idempotent
      | method | outcomes            | status | code | attempts | retry_after |
      | GET    | connection lost, ok | 201    | 100  | 2        | absent      |
      | POST   | connection lost, ok | 502    | 301  | 1        | absent      |
      | GET    | answer mismatch, ok | 201    | 100  | 2        | absent      |
      | POST   | answer mismatch, ok | 502    | 303  | 1        | absent      |
      | GET    | no response, ok     | 504    | 300  | 1        | absent      |
      | POST   | no response, ok     | 504    | 300  | 1        | absent      |

    # Guards against a caller that is told that its request was not run, although an attempt before
    # the last one may have run it.
    Examples: a retry that was not run says nothing of the attempt before it
      | method | outcomes                     | status | code | attempts | retry_after |
      | GET    | connection lost, too late    | 502    | 301  | 2        | absent      |
      | GET    | connection lost, no owner    | 502    | 301  | 2        | absent      |
      | GET    | answer mismatch, refused     | 502    | 303  | 2        | absent      |
      | GET    | refused, connection lost     | 502    | 301  | 2        | absent      |
      | GET    | refused, too late            | 503    | 203  | 2        | 3 s         |
      | GET    | server error, too late       | 500    | 100  | 2        | absent      |

  Scenario: A response to HEAD has no body
    Given a front server whose upstreams respond with "ok"
    When a caller sends "HEAD" with the id order-1
    Then the response has status 201, code 100 and the id order-1

  Scenario: Requests are refused while there is no configuration
    Given a front server without a configuration
    When a caller sends "GET" with the id order-1
    Then the response has status 503, code 210 and the id order-1
    And the response names its result family, and its Retry-After is 1 s

  Scenario: A request without a matching route is refused
    Given a front server whose upstreams respond with "ok"
    When a caller sends "PATCH" with the id order-1
    Then the response has status 404, code 200 and the id order-1
    And 0 attempts were made

  Scenario: A request in progress completes during a shutdown
    Given a front server whose upstreams respond with "slow"
    When the front server is stopped while a caller waits for a response
    Then the caller gets the complete response with "Connection: close"
    And new connections are refused

  Scenario: Connections that wait to be accepted when the node stops are served
    Given a front server whose upstreams respond with "ok"
    When 12 callers connect while the front server accepts slowly, and it is stopped
    Then each of the 12 callers gets its complete response
