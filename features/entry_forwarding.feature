Feature: Each caller gets the whole answer to its own request

  Scenario Outline: <method> with dispatchers that are <dispatchers>
    Given an entry whose dispatchers are "<dispatchers>"
    When a caller sends "<method>"
    Then the answer has status <status> and code <code>
    And the dispatchers were called "<calls>" times

    Examples: what is proved not run is tried elsewhere
      | method | dispatchers            | status | code | calls |
      | GET    | ok                     | 201    | 100  | 1     |
      | POST   | ok                     | 201    | 100  | 1     |
      | GET    | not dispatcher, ok     | 201    | 100  | 1 1   |
      | POST   | not dispatcher, ok     | 201    | 100  | 1 1   |
      | POST   | no owner, ok           | 201    | 100  | 1 1   |
      | POST   | stopping, ok           | 201    | 100  | 1 1   |
      | POST   | refused, ok            | 201    | 100  | 0 1   |
      | POST   | refused, stopping, ok  | 201    | 100  | 0 1 1 |
      | POST   | refused                | 503    | 211  | 0     |
      | POST   | stopping               | 503    | 208  | some  |
      | GET    | not dispatcher         | 503    | 205  | some  |
      | POST   | queue full, ok         | 429    | 202  | 1 0   |

    Examples: what may have run is sent again only if it is idempotent
      | method | dispatchers            | status | code | calls |
      | GET    | lost, ok               | 201    | 100  | 1 1   |
      | POST   | lost, ok               | 502    | 302  | 1 0   |
      | GET    | wrong id, ok           | 201    | 100  | 1 1   |
      | POST   | wrong id, ok           | 502    | 302  | 1 0   |
      | GET    | lost, queue full       | 502    | 302  | 1 1   |
      | GET    | lost, not dispatcher   | 502    | 302  | some  |
      | GET    | lost, refused          | 502    | 302  | some  |
      | POST   | slow, ok               | 504    | 300  | 1 0   |

  Scenario Outline: A used connection goes silent before a <method>
    Given an entry whose dispatchers are "silent once"
    When a caller sends "GET"
    And a caller sends "<method>"
    Then the answer has status <status> and code <code>
    And the dispatchers were called "<calls>" times

    Examples:
      | method | status | code | calls |
      | GET    | 201    | 100  | 3     |
      | POST   | 504    | 300  | 2     |

  Scenario: A request waits for a table that names a working dispatcher
    Given an entry whose dispatchers are "stopping, ok"
    And the table names only dispatcher 1
    When a caller sends "POST" and meanwhile the table names only dispatcher 2
    Then the answer has status 201 and code 100

  Scenario: The dispatcher that accepted is asked first next time
    Given an entry whose dispatchers are "not dispatcher, ok"
    When a caller sends "POST"
    And a caller sends "POST"
    Then the dispatchers were called "1 2" times

  Scenario: Body and headers pass whole, but for those of the hop and of the system
    Given an entry whose dispatchers are "ok"
    When a caller sends a body of 65536 bytes with the headers
      | name         | value        |
      | X-Color      | blue         |
      | X-Fence      | 99.99        |
      | X-Rank       | urgent       |
      | X-Slot       | 0            |
      | TE           | gzip         |
      | Connection   | close, X-Hop |
      | X-Hop        | 1            |
    Then the dispatcher got the body and only the headers "Accept-Encoding, X-Color"
    And the dispatcher got rank "careful" and key "a b/ü"
    And the answer has the dispatcher's body and only its header "X-Kind"

  Scenario: HEAD is answered without a body
    Given an entry whose dispatchers are "ok"
    When a caller sends "HEAD"
    Then the answer has status 201 and code 100
    And the answer has no body

  Scenario: Without a configuration nothing runs
    Given an entry without a configuration
    When a caller sends "GET"
    Then the answer has status 503 and code 210
