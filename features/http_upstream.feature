Feature: Calls to an upstream over HTTP

  Scenario Outline: What an answer means
    Given an upstream that answers work with <answer>
    When one request is sent
    Then the upstream call ends with <result>

    Examples:
      | answer                              | result                    |
      | its whole answer                    | ran 200 hello             |
      | an answer in chunks                 | ran 200 hello             |
      | refused 409                         | refused 409               |
      | shed 503                            | shed 503                  |
      | expired 504                         | expired 504               |
      | cancelled 499                       | cancelled 499             |
      | half of its answer                  | a failure after sending   |
      | an answer without a length          | a failure after sending   |
      | an answer without an outcome        | a failure after sending   |
      | an answer without a request id      | a failure after sending   |
      | bytes that are not HTTP             | a failure after sending   |
      | a body over the limit               | a failure after sending   |
      | silence                             | a failure after sending   |
      | one byte every 50 ms                | a failure after sending   |
      | a closed connection                 | a failure after sending   |
      | a reset connection                  | a failure after sending   |

  Scenario: A refused connection is proof that nothing was sent
    Given an upstream address that nobody listens on
    When one request is sent
    Then the upstream call ends with a refusal before sending

  Scenario: A malformed request is not sent
    Given an upstream that answers work with its whole answer
    When one request with a line break in its target is sent
    Then the upstream call ends with a failure before sending
    And the upstream saw 0 requests

  Scenario: The request carries what the upstream needs
    Given an upstream that answers work with its whole answer
    When one request is sent
    Then the upstream saw these headers
      | name                  | value   |
      | X-Request-Id          | r1      |
      | X-Key                 | a%20key |
      | X-Slot                | 7       |
      | X-Fence               | 2.31    |
      | X-Boot-Id             | boot-1  |
      | X-Deadline-Reading-Ms | 5250    |
      | X-Caller              | kept    |
    And it saw the body and its headers arrive in one piece

  Scenario Outline: Which connections are used again
    Given an upstream that answers work with <first>
    When one request is sent
    And the connection stands idle for <idle> s
    And one <kind> request is sent
    Then the upstream saw <connections> connections

    Examples:
      | first                         | idle | kind           | connections |
      | its whole answer              | 0.1  | idempotent     | 1           |
      | its whole answer              | 0.1  | non-idempotent | 1           |
      | its whole answer              | 0.6  | idempotent     | 1           |
      | its whole answer              | 0.6  | non-idempotent | 2           |
      | another request's answer      | 0.1  | idempotent     | 2           |
      | an answer and a further byte  | 0.1  | idempotent     | 2           |
      | an answer, then closes        | 0.1  | idempotent     | 2           |
      | an answer that says close     | 0.1  | idempotent     | 2           |
      | half of its answer            | 0.1  | idempotent     | 2           |

  Scenario: A connection that went silent takes those that stood idle as long with it
    Given an upstream that answers work with its whole answer
    And 3 idle connections to it
    When the upstream falls silent on them, but not on new ones
    And one request is sent
    Then the upstream call ends with a failure after sending
    When one request is sent
    Then the upstream call ends with ran 200 hello

  Scenario: A timeout resets the connection
    Given an upstream that answers work with silence
    When one request is sent
    Then the upstream call ends with a failure after sending
    And the upstream's connection was reset

  Scenario: Connections are bounded and one is kept for grants
    Given an upstream of 3 connections that answers work with silence
    When 2 requests occupy its connections and 2 more are sent
    Then 2 of them fail after sending and 2 before
    And a grant sent meanwhile is answered

  Scenario Outline: Grants
    Given an upstream that answers grants with <status> <body>
    When a grant is sent
    Then the upstream call ends with <result>

    Examples:
      | status | body                                                                                                                                         | result                                          |
      | 200    | {"accepted": true, "released": false, "highest_fence": [2, 31], "reading_ms": 77, "boot_id": "b", "draining": false, "warming": true}         | accepted, not released, 2.31, b at 77, warming  |
      | 409    | {"accepted": false, "released": false, "highest_fence": [3, 1], "reading_ms": 78, "boot_id": "b", "draining": true, "warming": false}         | not accepted, not released, 3.1, b at 78, draining |
      | 500    | {"accepted": true, "released": true, "highest_fence": [2, 31], "reading_ms": 77, "boot_id": "b", "draining": false, "warming": false}         | a failure after sending                         |
      | 200    | {"accepted": true}                                                                                                                           | a failure after sending                         |
      | 200    | not JSON                                                                                                                                     | a failure after sending                         |

  Scenario: The grant's message
    Given an upstream that answers grants with 200 {}
    When a grant is sent
    Then the upstream saw the body {"fence":[2,31],"slots":[[3,5],[9,10]],"pins":["p"],"excluded":["q"],"reading_ms":5000,"boot_id":"boot-1","ttl_ms":1000,"sender":"i1"}

  Scenario Outline: Cancellations
    Given an upstream that answers cancellations with 200 <body>
    When a cancellation is sent
    Then the upstream call ends with <result>

    Examples:
      | body                     | result                  |
      | {"outcome": "cancelled"} | cancelled               |
      | {"outcome": "ran"}       | ran                     |
      | {"outcome": "unknown"}   | unknown                 |
      | {"outcome": "maybe"}     | a failure after sending |
