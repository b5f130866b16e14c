Feature: Faulty responses of upstreams never pass for complete or for those of other requests

  Scenario Outline: A refusal that is written once more is not the response to the next request
    Given an upstream that refuses the first request of each connection with <refusal>
    And writes the refusal once more when the next request arrives
    When request r1 is sent
    Then its outcome is a refusal
    When request <next> is sent
    Then the upstream has run request <next> if the outcome is not a refusal, else it has not

    Examples: a request that is sent again has the id that it had before
      | refusal                                          | next |
      | 503 Not-Executed: 1                              | r2   |
      | 503 Not-Executed: 1                              | r1   |
      | 503 Not-Executed: 1, Attempt-Id: r1              | r2   |
      | 503 Not-Executed: 1, Attempt-Id: r1              | r1   |
      | 421 Instance-Id: u1                              | r2   |
      | 421 Instance-Id: u1, Attempt-Id: r1              | r1   |
      | 429 Not-Executed: 1                              | r2   |

  Scenario: A failure without an id that is written once more is not the response to the next request
    Given an upstream that fails the first request of each connection with 500 Content-Type: text/plain
    And writes the failure once more when the next request arrives
    When request r1 is sent
    And request r2 is sent
    Then the outcome is a success with the body "body"

  Scenario: A refusal of a grant that is written once more is not the response to the next call
    Given an upstream that refuses the first request of each connection with 409 Content-Type: text/plain
    And writes the refusal once more when the next request arrives
    When keys are granted twice on one client
    Then the first grant is refused and the second one is accepted

  Scenario Outline: A response whose head is cut short is not a success
    Given an upstream that closes the connection after <part> of a response
    When request r1 is sent
    Then it is unknown whether the request was executed

    Examples: without the cut, each of them would be a success or a refusal
      | part                                                                     |
      | nothing                                                                  |
      | HTTP/1.1 200 OK                                                          |
      | HTTP/1.1 200 OK;                                                         |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: seal                       |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: seal;                      |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: seal;Content-Le            |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: seal;Content-Length: 1     |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: seal;Content-Length: 0;    |
      | HTTP/1.1 503 Busy;Attempt-Id: r1;Not-Executed: 1;                        |
      | HTTP/1.1 421 Other;Attempt-Id: r1;                                       |
      | HTTP/1.1 100 Continue;;HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;  |

  Scenario Outline: A response with an ambiguous frame is not a success
    Given an upstream that closes the connection after <response> of a response
    When request r1 is sent
    Then it is unknown whether the request was executed

    Examples:
      | response                                                                                      |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;Content-Length: 4x;;body                       |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;Content-Length: -4;;body                       |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;Content-Length: 4;Content-Length: 2;;body      |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;Transfer-Encoding: gzip;;body                  |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;garbage;Content-Length: 9;;body                |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;Transfer-Encoding: chunked;;4;body;            |
      | HTTP/1.1 103 Hints;Attempt-Id: r1;Response-Seal: s;Content-Length: 4;;body                     |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;Content-Length: <a number of 5,000 digits>;;body |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;X: y<CR>;Content-Length: 9;;body               |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;X: y<CR>Content-Length: 2;;body                |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;Transfer-Encoding: gzip, chunked;;4;body;0;;   |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;Transfer-Encoding: chunked;Transfer-Encoding: gzip;;4;body;0;; |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;Transfer-Encoding: chunked;Content-Length: 4;;4;body;0;; |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;Transfer-Encoding: chunked;;-4;body;0;;        |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;Transfer-Encoding: chunked;;+4;body;0;;        |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;Transfer-Encoding: chunked;;0x4;body;0;;       |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;Transfer-Encoding: chunked;;0_4;body;0;;       |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;Transfer-Encoding: chunked;;3;body;0;;         |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;Transfer-Encoding: chunked;;5;body;0;;         |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;Transfer-Encoding: chunked;;4;body;0;          |

  Scenario Outline: A complete chunked response is a success
    Given an upstream that closes the connection after <response> of a response
    When request r1 is sent
    Then the outcome is a success with the body "body"

    Examples:
      | response                                                                                      |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;Transfer-Encoding: chunked;;4;body;0;;        |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;Transfer-Encoding: Chunked<space>;;4;body;0;; |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;Transfer-Encoding: chunked;;1;b;03;ody;00;;   |
      | HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;Transfer-Encoding: chunked;;4<space>;body;0;X-Trailer: 1;; |

  Scenario: A response without a length that ends with its connection is complete
    Given an upstream that closes the connection after HTTP/1.1 200 OK;Attempt-Id: r1;Response-Seal: s;;body of a response
    When request r1 is sent
    Then the outcome is a success with the body "body"

  Scenario Outline: A response without end is cut off
    Given an upstream whose response has <part> without end
    When request r1 is sent
    Then it is unknown whether the request was executed
    And the upstream's connection was closed after at most 16 MB

    Examples:
      | part                  |
      | a status line         |
      | header lines          |
      | one header line       |
      | interim responses     |
      | a body without length |
      | a body of 1 TB        |
      | chunks                |
      | a chunk extension     |
      | a chunk of size -1    |
      | chunks of 1 byte      |
      | chunks of 2 bytes     |
      | trailers              |
      | short trailers        |

  # Guards against a node that runs out of memory: each small chunk was kept as an object of its own.
  Scenario Outline: A response without end takes at most twice the memory of the largest body
    When a response with <part> without end is read
    Then it is rejected
    And reading it took at most twice the memory of the largest body

    Examples:
      | part                  |
      | a status line         |
      | header lines          |
      | one header line       |
      | interim responses     |
      | a body without length |
      | chunks                |
      | chunks of 1 byte      |
      | chunks of 2 bytes     |
      | a chunk extension     |
      | trailers              |
      | short trailers        |

  # Guards against a node that is busy for seconds with a response of tiny chunks or trailers.
  Scenario Outline: A response whose framing is larger than its content is cut off early
    When a response with <part> without end is read
    Then it is rejected
    And at most 256 KB were received

    Examples:
      | part              |
      | chunks of 1 byte  |
      | chunks of 2 bytes |
      | trailers          |
      | short trailers    |

  Scenario: A response in small chunks is accepted
    When a response of 3,000 chunks of 1 byte is read
    Then it is accepted

  Scenario Outline: A response to a grant without end is cut off
    Given an upstream whose response has <part> without end
    When keys are granted
    Then the grant has failed
    And the upstream's connection was closed after at most 16 MB

    Examples:
      | part                  |
      | header lines          |
      | a body without length |
      | trailers              |

  Scenario Outline: A response that trickles in is cut off at the deadline
    Given an upstream whose response has <part> without end, one byte at a time
    When <what>
    Then <outcome>
    And the upstream's connection was closed after at most 1 MB

    Examples:
      | part            | what                | outcome                                         |
      | one header line | request r1 is sent  | it is unknown whether the request was executed  |
      | one header line | keys are granted    | the grant has failed                            |
