Feature: Lower ranks keep a minimum share of an upstream during a flood of urgent requests

  Scenario Outline: Free slots are assigned by rank, with floors for the lower ranks
    Given a pool of one upstream with 1 slot and requests of 100 ms
    And floors of <careful> for careful and <deferrable> for deferrable work
    When <waiting> requests are queued behind another request
    Then they are served as <served>

    Examples: the letters mean urgent, careful and deferrable requests
      | careful | deferrable | waiting          | served           |
      | 0       | 0          | DDCCUU           | UUCCDD           |
      | 0.25    | 0          | CCCUUUUUUUUU     | CUUUCUUUCUUU     |
      | 0.5     | 0          | CCCUUU           | CUCUCU           |
      | 0.25    | 0.25       | DDCCUUUU         | CDUUCDUU         |
      | 0       | 0.2        | DDUUUUUUUU       | DUUUUDUUUU       |
      | 0       | 0.25       | DDDCCCCCCCCC     | DCCCDCCCDCCC     |
      | 0.25    | 0.25       | UUUU             | UUUU             |

  Scenario Outline: Floors are the same with the policy by-cost
    Given a by-cost pool of one upstream with 1 slot and requests of 100 ms
    And floors of <careful> for careful and <deferrable> for deferrable work
    When <waiting> requests are queued behind another request
    Then they are served as <served>

    Examples: the letters mean urgent, careful and deferrable requests
      | careful | deferrable | waiting          | served           |
      | 0       | 0          | DDCCUU           | UUCCDD           |
      | 0.25    | 0          | CCCUUUUUUUUU     | CUUUCUUUCUUU     |
      | 0.25    | 0.25       | DDCCUUUU         | CDUUCDUU         |
      | 0       | 0.25       | DDDCCCCCCCCC     | DCCCDCCCDCCC     |

  Scenario: A floor is a share of the slot time, not of the number of requests
    Given a pool of one upstream with 1 slot and requests of 100 ms
    And floors of 0.5 for careful and 0 for deferrable work
    And careful work takes 300 ms
    When CCUUUUUUUU requests are queued behind another request
    Then they are served as CUUUCUUUUU

  Scenario: A rank that has used idle capacity keeps its floor
    Given a pool of one upstream with 1 slot and requests of 100 ms
    And floors of 0.25 for careful and 0 for deferrable work
    When 50 careful requests are served while no other request is queued
    And CCCUUUUUUUUUUUUUUUUUUUUUUUU requests are queued behind another request
    Then a careful request is among the first 10 served
