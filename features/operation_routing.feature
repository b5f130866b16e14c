Feature: Requests are matched to an operation and a key

  Scenario Outline: <method> <target>
    Given the operations
      | service | name  | method | path              | key_query |
      | desk    | get   | GET    | /k/{key}          |           |
      | desk    | find  | GET    | /k/search         | id        |
      | desk    | line  | GET    | /k/{key}/{line}   |           |
      | desk    | pay   | POST   | /k/{key}/pay      |           |
      | fees    | deep  | GET    | /fees/{a}/x/{key} |           |
      | fees    | query | POST   | /fees             | pass      |
    When a request "<method> <target>" is matched
    Then the match is "<result>"

    Examples:
      | method | target              | result         |
      | GET    | /k/a1               | desk get a1    |
      | GET    | /k/a1?x=/k/b        | desk get a1    |
      | GET    | /k/search?id=b2     | desk find b2   |
      | GET    | /k/search?x=1&id=b2 | desk find b2   |
      | GET    | /k/search           | BAD_REQUEST    |
      | GET    | /k/search?id=       | BAD_REQUEST    |
      | GET    | /k/search?id=1&id=2 | BAD_REQUEST    |
      | GET    | /k/search?id=a+b    | desk find a b  |
      | GET    | /k/a1/7             | desk line a1   |
      | POST   | /k/a1/pay           | desk pay a1    |
      | POST   | /k/a1               | NO_ROUTE       |
      | GET    | /k/                 | NO_ROUTE       |
      | GET    | /k/a1/              | NO_ROUTE       |
      | GET    | /k//7               | NO_ROUTE       |
      | GET    | /                   | NO_ROUTE       |
      | GET    | /fees/z/x/k9        | fees deep k9   |
      | GET    | /fees/z/y/k9        | NO_ROUTE       |
      | POST   | /fees?pass=P%2F1    | fees query P/1 |
      | GET    | /k/%C3%BC           | desk get ü     |
      | GET    | /k/%FF              | BAD_REQUEST    |
      | GET    | /k/a%00b            | BAD_REQUEST    |
      | PATCH  | /k/a1               | NO_ROUTE       |

  Scenario Outline: Key <key> has a fixed number
    Then key "<key>" has the number <number>

    Examples: the numbers must never change, because owners are stored by key number
      | key        | number |
      | a1         | 38716  |
      | party-0001 | 21348  |
      | ü          | 40814  |
      |            | 38082  |

  Scenario Outline: Request id <request_id>
    When the request id "<request_id>" is read
    Then the validation result is "<result>"

    Examples:
      | request_id                           | result             |
      | 019b76da-a800-7abc-8abc-0123456789ab | ok                 |
      | order-1                              | ok                 |
      | a.b:c_d                              | ok                 |
      | a b                                  | may hold up to 128 |
      | a/b                                  | may hold up to 128 |
      | ü                                    | may hold up to 128 |

  Scenario: Requests without an id get unique ids
    When 1000 request ids are generated
    Then they are unique and valid as ids of callers
