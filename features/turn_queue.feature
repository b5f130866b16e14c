Feature: Service by rank at one upstream

  Scenario Outline: Free slots go by rank, with floors for the lower ranks
    Given a queue with 1 slot and floors of <careful> and <deferrable>
    When <waiting> wait behind one request and each takes 100 ms
    Then they are served as <served>

    Examples: letters stand for urgent, careful and deferrable work
      | careful | deferrable | waiting          | served           |
      | 0       | 0          | DDCCUU           | UUCCDD           |
      | 0.25    | 0          | CCCUUUUUUUUU     | CUUUCUUUCUUU     |
      | 0.5     | 0          | CCCUUU           | CUCUCU           |
      | 0.25    | 0.25       | DDCCUUUU         | CDUUCDUU         |
      | 0       | 0.2        | DDUUUUUUUU       | DUUUUDUUUU       |
      | 0       | 0.25       | DDDCCCCCCCCC     | DCCCDCCCDCCC     |
      | 0.25    | 0.25       | UUUU             | UUUU             |

  Scenario: A floor counts the time that work takes, not the requests
    Given a queue with 1 slot and floors of 0.5 and 0
    And careful work takes 300 ms and urgent work 100 ms
    When CCUUUUUUUU wait behind one request
    Then they are served as CUUUCUUUUU

  Scenario: A rank that used idle capacity keeps its floor
    Given a queue with 1 slot and floors of 0.25 and 0
    When 50 careful requests are served while nothing else waits
    And CCCUUUUUUUUUUUUUUUUUUUUUUUU wait behind one request and each takes 100 ms
    Then a careful request is among the first 10 served

  Scenario Outline: Requests over a bound are turned away as not run
    Given a queue with 1 slot, <length> places a rank and service times of 100 ms
    When <joining> join with <deadline> ms left while the slot is taken
    Then <rejected> are rejected as <code>

    Examples:
      | length | joining | deadline | rejected | code       |
      | 3      | UUUUU   | 60000    | 2        | QUEUE_FULL |
      | 3      | UUUCCCC | 60000    | 1        | QUEUE_FULL |
      | 50     | UUUUU   | 350      | 2        | TOO_LATE   |
      | 50     | UUUCC   | 350      | 2        | TOO_LATE   |
      | 50     | CCCUU   | 350      | 0        | TOO_LATE   |

  Scenario Outline: Urgent work that is overloaded for long waits for a part of its time only
    Given a queue with 1 slot, 50 places a rank and service times of 100 ms
    When <before> join with 60000 ms left while the slot is taken
    And <passed> ms pass
    And <joining> join with 1000 ms left while the slot is taken
    Then <rejected> are rejected as TOO_LATE

    Examples:
      | before | passed | joining | rejected |
      | UUU    | 999    | UUUU    | 0        |
      | UUU    | 1000   | UUUU    | 4        |
      | UU     | 1000   | UUUU    | 3        |
      | CCC    | 1000   | CCCC    | 0        |

  Scenario: A request whose time ran out while it waited is not sent
    Given a queue with 1 slot, 10 places a rank and service times of 100 ms
    When UU join with 250 ms left while the slot is taken
    And the slot is freed after 200 ms
    Then 2 are rejected as TOO_LATE

  Scenario: An idle upstream takes a request however slow it was before
    Given a queue with 1 slot, 10 places a rank and service times of 100 ms
    When U joins with 50 ms left while the slot is free
    Then 0 are rejected as TOO_LATE

  Scenario: A slot whose request may still be at the upstream stays taken
    Given a queue with 1 slot and floors of 0 and 0
    When the slot lingers for 500 ms while U waits
    Then U is granted after 500 ms and not after 499 ms

  Scenario Outline: The limit of requests in flight
    Given a limit of <slots> slots with a slow start of 1000 ms
    When <event> and <elapsed> ms pass
    Then the limit is <limit>

    Examples:
      | slots | event                | elapsed | limit |
      | 2     | nothing happens      | 0       | 2     |
      | 2     | the upstream starts  | 0       | 1     |
      | 2     | the upstream starts  | 999     | 1     |
      | 2     | the upstream starts  | 1000    | 2     |
      | 8     | the upstream starts  | 250     | 2     |
      | 8     | the upstream starts  | 500     | 4     |
      | 8     | the upstream starts  | 1000    | 8     |
      | 8     | a request is shed    | 0       | 4     |
      | 8     | a request is shed    | 500     | 5     |
      | 8     | a request is shed    | 2000    | 8     |
      | 8     | two requests are shed | 0      | 2     |
      | 1     | a request is shed    | 0       | 1     |
