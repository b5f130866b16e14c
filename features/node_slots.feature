Feature: Slots are assigned by latency objective and rank, and excess requests are refused at once

  Scenario: Requests that can still meet their latency objective are served before late ones
    Given a pool of one upstream with 1 slot and requests of 100 ms
    When these requests arrive at the same time
      | name   | rank | objective ms | deadline ms |
      | late   | 0    | 20           | 3000        |
      | lookup | 1    | 500          | 3000        |
      | urgent | 0    | 250          | 3000        |
      | slow   | 2    | 1200         | 3000        |
    Then they are served in the order late urgent lookup slow

  Scenario: Late requests are served by rank
    Given a pool of one upstream with 1 slot and requests of 100 ms
    When these requests arrive at the same time
      | name   | rank | objective ms | deadline ms |
      | first  | 1    | 900          | 3000        |
      | late-2 | 2    | 10           | 3000        |
      | late-0 | 0    | 10           | 3000        |
    Then they are served in the order first late-0 late-2

  Scenario: The part of a burst that would miss its deadline is refused at once
    Given a pool of one upstream with 2 slots and requests of 100 ms
    When 60 requests with a deadline of 1000 ms arrive at the same time
    Then between 12 and 20 of them are accepted
    And all others are refused immediately with a Retry-After time
    And all accepted requests are served before their deadline

  Scenario: Refused requests that are retried after their Retry-After time are served
    Given a pool of one upstream with 2 slots and requests of 100 ms
    When 30 requests with a deadline of 1000 ms arrive at the same time
    And the refused requests are retried after their Retry-After time
    Then at least 9 in 10 of the retried requests are served

  Scenario: A slow upstream receives fewer requests, and every upstream receives some
    Given a pool of 4 upstreams with 2 slots and requests of 100 ms
    And upstream 0 takes 8 times as long
    When 300 requests arrive within 6 seconds
    Then upstream 0 receives at most 30 of them
    And every upstream receives at least 1 of them
    And at least 9 in 10 of them meet their latency objective of 250 ms

  Scenario: A failing upstream is skipped during its backoff and probed afterwards
    Given a pool of 4 upstreams with 2 slots and requests of 100 ms
    And upstream 0 fails each request immediately for 3 seconds
    When 600 requests arrive within 6 seconds
    Then upstream 0 fails at most 12 of them
    And upstream 0 serves some of them afterwards

  Scenario: Requests are refused if there is no upstream
    Given a pool of 0 upstreams with 2 slots and requests of 100 ms
    When 3 requests with a deadline of 1000 ms arrive at the same time
    Then between 0 and 0 of them are accepted

  Scenario: Queued requests are refused early if more urgent requests would make them late
    Given a pool of one upstream with 2 slots and requests of 100 ms
    When 8 requests of rank 2 with a deadline of 700 ms arrive at the same time
    And 16 requests of rank 0 with a deadline of 1000 ms arrive after 100 ms
    Then at least 17 of them are served before their deadline
    And requests that expire in the queue are refused within 400 ms with a Retry-After time

  Scenario: Queued requests are refused early if their upstream becomes too slow
    Given a pool of one upstream with 2 slots and requests of 100 ms
    And upstream 0 takes 10 times as long from now on
    When 14 requests of rank 1 with a deadline of 1200 ms arrive at the same time
    Then at least 2 of them are served before their deadline
    And requests that expire in the queue are refused within 800 ms with a Retry-After time

  Scenario: Queued requests are not refused while they can be served before their deadline
    Given a pool of 3 upstreams with 2 slots and requests of 100 ms
    When 30 requests of rank 1 with a deadline of 1000 ms arrive at the same time
    Then at least 30 of them are served before their deadline

  Scenario: A long queue does not exhaust the processor of a node
    When 900 requests arrive within 3 seconds at 6 upstreams that process 109 a second
    Then a queue that is 4 times as long takes at most 1.5 times the work

  Scenario Outline: Latency estimates converge after a few samples
    When <count> requests with a latency of <latency> ms have been recorded
    Then the mean latency is estimated at <expected> ms within <tolerance> ms

    Examples: 150 ms are assumed without samples
      | count | latency | expected | tolerance |
      | 0     | 5       | 150      | 0         |
      | 1     | 100     | 125      | 1         |
      | 20    | 5       | 5        | 10        |
      | 60    | 5       | 5        | 3         |
      | 60    | 400     | 400      | 15        |
