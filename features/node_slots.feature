Feature: Slots go to the requests that gain most, and the rest is refused at once

  Scenario: Requests that can still meet their aim go before those that cannot
    Given a pool of one upstream with 1 slot and requests of 100 ms
    When these requests come together
      | name   | rank | aim ms | deadline ms |
      | late   | 0    | 20     | 3000        |
      | lookup | 1    | 500    | 3000        |
      | urgent | 0    | 250    | 3000        |
      | slow   | 2    | 1200   | 3000        |
    Then they are served in the order late urgent lookup slow

  Scenario: Among late requests the more urgent rank goes first
    Given a pool of one upstream with 1 slot and requests of 100 ms
    When these requests come together
      | name   | rank | aim ms | deadline ms |
      | first  | 1    | 900    | 3000        |
      | late-2 | 2    | 10     | 3000        |
      | late-0 | 0    | 10     | 3000        |
    Then they are served in the order first late-0 late-2

  Scenario: A burst is refused at once beyond what can be answered in time
    Given a pool of one upstream with 2 slots and requests of 100 ms
    When 60 requests with a deadline of 1000 ms come together
    Then between 12 and 20 of them are taken
    And all others are refused before any time has passed, with a time to come back
    And all that were taken are served in time

  Scenario: Requests that come back after the time they were told are served
    Given a pool of one upstream with 2 slots and requests of 100 ms
    When 30 requests with a deadline of 1000 ms come together
    And the refused ones come back when they were told to
    Then at least 9 in 10 of those that came back are served

  Scenario: A slow upstream gets less, and none is starved
    Given a pool of 4 upstreams with 2 slots and requests of 100 ms
    And upstream 0 takes 8 times as long
    When 300 requests come in 6 seconds
    Then upstream 0 runs at most 30 of them
    And every upstream runs at least 1 of them
    And at least 9 in 10 of them meet their aim of 250 ms

  Scenario: An upstream that fails is passed over for a while, and tried again
    Given a pool of 4 upstreams with 2 slots and requests of 100 ms
    And upstream 0 fails each request at once for 3 seconds
    When 600 requests come in 6 seconds
    Then upstream 0 fails at most 12 of them
    And upstream 0 serves some of them afterwards

  Scenario: No request is queued where no upstream is
    Given a pool of 0 upstreams with 2 slots and requests of 100 ms
    When 3 requests with a deadline of 1000 ms come together
    Then between 0 and 0 of them are taken

  Scenario: Waiting requests that more urgent ones push back are refused as soon as that shows
    Given a pool of one upstream with 2 slots and requests of 100 ms
    When 8 requests of rank 2 with a deadline of 700 ms come together
    And 16 requests of rank 0 with a deadline of 1000 ms come after 100 ms
    Then at least 17 of them are served in time
    And whoever is refused after waiting is told before 400 ms have passed, with a time to come back

  Scenario: Waiting requests are refused as soon as their upstream shows to be too slow for them
    Given a pool of one upstream with 2 slots and requests of 100 ms
    And upstream 0 takes 10 times as long from now on
    When 14 requests of rank 1 with a deadline of 1200 ms come together
    Then at least 2 of them are served in time
    And whoever is refused after waiting is told before 800 ms have passed, with a time to come back

  Scenario: Waiting requests are not refused while they can be served
    Given a pool of 3 upstreams with 2 slots and requests of 100 ms
    When 30 requests of rank 1 with a deadline of 1000 ms come together
    Then at least 30 of them are served in time

  Scenario Outline: How long requests take is known after few answers
    When <count> requests of <taken> ms have been answered
    Then a request is expected to take <expected> ms, give or take <within>

    Examples: 150 ms are assumed before the first answer
      | count | taken | expected | within |
      | 0     | 5     | 150      | 0      |
      | 1     | 100   | 125      | 1      |
      | 20    | 5     | 5        | 10     |
      | 60    | 5     | 5        | 3      |
      | 60    | 400   | 400      | 15     |
