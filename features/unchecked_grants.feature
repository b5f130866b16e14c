Feature: Grants to an upstream that does not check fences

  It obeys every grant and counts its life from its arrival. Its operations last at most 0.5 s.

  Background:
    Given a dispatcher a with table 1.5 that gives the unchecked u1 the slots 0-9

  Scenario: The smaller grant waits until nothing outside it is in progress
    When these things happen to its grants
      | at  | event              | sends | serves | confirmed | lapsed | reachable |
      | 0   | ask                | none  | none   |           |        |           |
      | 0   | renew              | none  | none   | none      | no     | yes       |
      | 0   | renew              | 0-9   | 0-9    | none      | no     | yes       |
      | 0.4 | ask                | 0-9   | 0-9    | none      | no     | yes       |
      | 0.6 | renew              | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.6 | a request is at u1 | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.7 | table 1.6 with 0-4 | 0-4   | 0-9    | 1.5       | no     | yes       |
      | 0.7 | ask                | 0-4   | 0-9    | 1.5       | no     | yes       |
      | 0.8 | renew              | 0-4   | 0-9    | 1.5       | no     | yes       |
      | 0.9 | the request ends   | 0-4   | 0-9    | 1.5       | no     | yes       |
      | 0.9 | renew              | 0-4   | 0-4    | 1.6       | no     | yes       |

  Scenario: Lapsed counts from the end of the last sending, not from a reading
    When these things happen to its grants
      | at   | event          | sends | serves | confirmed | lapsed | reachable |
      | 0    | ask            | none  | none   |           |        |           |
      | 0    | renew          | none  | none   | none      | no     | yes       |
      | 0    | renew          | 0-9   | 0-9    | none      | no     | yes       |
      | 0.1  | u1 is frozen   | 0-9   | 0-9    | none      | no     | yes       |
      | 0.2  | renew          | 0-9   | 0-9    | none      | no     | yes       |
      | 0.4  | ask            | 0-9   | 0-9    | none      | no     | yes       |
      | 0.4  | renew          | 0-9   | 0-9    | none      | no     | no        |
      | 0.5  | table 1.6 with | none  | 0-9    | none      | no     | no        |
      | 0.8  | ask            | none  | 0-9    | none      | no     | no        |
      | 0.8  | renew          | none  | 0-9    | none      | no     | no        |
      | 1.2  | ask            | none  | none   | none      | no     | no        |
      | 1.2  | renew          | none  | none   | none      | no     | no        |
      | 1.43 | ask            | none  | none   | none      | no     | no        |
      | 1.45 |                | none  | none   | none      | yes    | no        |

  Scenario: A grant whose right lapsed during the sending is taken back at once
    When these things happen to its grants
      | at  | event                   | sends | serves | confirmed | lapsed | reachable |
      | 0   | ask                     | none  | none   |           |        |           |
      | 0   | renew                   | none  | none   | none      | no     | yes       |
      | 0   | renew                   | 0-9   | 0-9    | none      | no     | yes       |
      | 0.4 | renew that takes 0.25 s | none  | none   |           |        |           |
    Then the grants sent were of these slots
      | slots |
      | none  |
      | 0-9   |
      | 0-9   |
      | none  |
