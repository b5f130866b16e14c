Feature: Lower ranks keep a share of an upstream while more urgent work floods in

  Scenario Outline: Free slots go by rank, with floors for the lower ranks
    Given a pool of one upstream with 1 slot and requests of 100 ms
    And floors of <careful> for careful and <deferrable> for deferrable work
    When <waiting> wait behind one request
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
    Given a pool of one upstream with 1 slot and requests of 100 ms
    And floors of 0.5 for careful and 0 for deferrable work
    And careful work takes 300 ms
    When CCUUUUUUUU wait behind one request
    Then they are served as CUUUCUUUUU

  Scenario: A rank that used idle capacity keeps its floor
    Given a pool of one upstream with 1 slot and requests of 100 ms
    And floors of 0.25 for careful and 0 for deferrable work
    When 50 careful requests are served while nothing else waits
    And CCCUUUUUUUUUUUUUUUUUUUUUUUU wait behind one request
    Then a careful request is among the first 10 served
