Feature: A request finds its operation, its key and the owner of the key

  Scenario Outline: <method> <target>
    Given the operations
      | service | name  | method | path            | key_query |
      | desk    | get   | GET    | /k/{key}        |           |
      | desk    | find  | GET    | /k/search       | id        |
      | desk    | line  | GET    | /k/{key}/{line} |           |
      | desk    | pay   | POST   | /k/{key}/pay    |           |
      | fees    | deep  | GET    | /fees/{a}/x/{key} |         |
      | fees    | query | POST   | /fees           | pass      |
    When a request "<method> <target>" is matched
    Then the match is "<result>"

    Examples:
      | method | target              | result                |
      | GET    | /k/a1               | desk get a1           |
      | GET    | /k/a1?x=/k/b        | desk get a1           |
      | GET    | /k/search?id=b2     | desk find b2          |
      | GET    | /k/search?x=1&id=b2 | desk find b2          |
      | GET    | /k/search           | BAD_REQUEST           |
      | GET    | /k/search?id=       | BAD_REQUEST           |
      | GET    | /k/search?id=1&id=2 | BAD_REQUEST           |
      | GET    | /k/search?id=a+b    | desk find a b         |
      | GET    | /k/a1/7             | desk line a1          |
      | POST   | /k/a1/pay           | desk pay a1           |
      | POST   | /k/a1               | NO_ROUTE              |
      | GET    | /k/                 | NO_ROUTE              |
      | GET    | /k/a1/              | NO_ROUTE              |
      | GET    | /k//7               | NO_ROUTE              |
      | GET    | /                   | NO_ROUTE              |
      | GET    | /fees/z/x/k9        | fees deep k9          |
      | GET    | /fees/z/y/k9        | NO_ROUTE              |
      | POST   | /fees?pass=P%2F1    | fees query P/1        |
      | GET    | /k/%C3%BC           | desk get ü            |
      | GET    | /k/%FF              | BAD_REQUEST           |
      | GET    | /k/a%00b            | BAD_REQUEST           |
      | PATCH  | /k/a1               | NO_ROUTE              |

  Scenario Outline: The owner of key <key> in slot <slot>
    Given the rows
      | zone | upstream | slots | pins | excluded | dispatchers |
      | z1   | u1       | 0-3   |      | hot cold | d1 d2       |
      | z1   | u2       | 4-5   | hot  |          | d2 gone d1  |
      | z2   | u3       | 6     |      |          | d3          |
    When the owner of key "<key>" in slot <slot> is looked up
    Then the routes are "<routes>"

    Examples:
      | key  | slot | routes   |
      | a    | 0    | u1:d1,d2 |
      | a    | 3    | u1:d1,d2 |
      | a    | 4    | u2:d2,d1 |
      | a    | 6    | u3:d3    |
      | a    | 7    |          |
      | hot  | 0    | u2:d2,d1 |
      | cold | 0    |          |
      | cold | 4    | u2:d2,d1 |

  Scenario: The index follows the tables
    Given the rows
      | zone | upstream | slots | pins | excluded | dispatchers |
      | z1   | u1       | 0-3   |      |          | d1          |
    When the rows change to
      | zone | upstream | slots | pins | excluded | dispatchers |
      | z1   | u2       | 2-5   |      |          | d1          |
    And the owner of key "a" in slot 2 is looked up
    Then the routes are "u2:d1"

  Scenario Outline: Request id <request_id> for an operation that must not repeat
    Given a clock at 2026-01-01T00:00:00Z and a skew of 2 s
    When the request id "<request_id>" is checked
    Then the check says "<result>"

    Examples: 019b76da-a800 is the timestamp 2026-01-01T00:00:00.000Z
      | request_id                           | result                         |
      | 019b76da-a800-7abc-8abc-0123456789ab | ok                             |
      | 019b76da-afd0-7abc-8abc-0123456789ab | ok                             |
      | 019b76da-afd1-7abc-8abc-0123456789ab | the timestamp                  |
      | 00000000-0000-7abc-8abc-0123456789ab | ok                             |
      | 019b76da-a800-4abc-8abc-0123456789ab | must be a lower-case UUID      |
      | 019b76da-a800-7abc-cabc-0123456789ab | must be a lower-case UUID      |
      | 019B76DA-A800-7ABC-8ABC-0123456789AB | must be a lower-case UUID      |
      | 019b76daa8007abc8abc0123456789ab     | must be a lower-case UUID      |
      | order-1                              | must be a lower-case UUID      |
      | a b                                  | may hold letters               |

  Scenario: Drawn request ids are UUIDs of version 7 in time order
    Given a clock at 2026-01-01T00:00:00Z and a skew of 2 s
    When 1000 request ids are drawn, one each 2 ms
    Then they differ, pass the check and sort by time
