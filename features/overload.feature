Feature: A pool of slots under more demand than its capacity

  The bounds are those of docs/design/overload-and-uneven-load.md, part A.

  Scenario Outline: by-cost serves callers during and after an overload
    Given a pool of <service> with the policy by-cost, and random numbers from <seed>
    When callers demand <load> times its capacity for 8 s, and half of it before and afterwards
    Then fewer than 2% of the admitted requests expire
    And no work is done that was foreseeably too late at admission
    And the work done for callers is at least 95% of the capacity during the overload
    And the work of callers that arrive from 1 s after the overload and honour Retry-After is done
    And no kind is served less often than a less urgent one

    Examples:
      | service | load | seed |
      | T       | 2.0  | 1    |
      | T       | 2.5  | 2    |
      | T       | 3.0  | 3    |
      | L       | 2.0  | 1    |
      | L       | 2.0  | 7    |
      | L       | 2.5  | 2    |
      | L       | 2.5  | 4    |
      | L       | 3.0  | 3    |
      | L       | 3.0  | 5    |

  Scenario Outline: by-cost delays statements first, and serves them when capacity is available
    Given a pool of L with the policy by-cost, and random numbers from <seed>
    When callers demand <load> times its capacity for 8 s, and half of it before and afterwards
    Then statements are delayed, displaced or refused more often than the catalogue
    And the work done for callers is at least 95% of the capacity in the 2 s after the overload
    And admitted statements that end after the overload meet their deadline

    Examples:
      | load | seed |
      | 2.0  | 1    |
      | 2.5  | 2    |
      | 3.0  | 3    |

  Scenario Outline: by-slack admits requests that then expire
    Given a pool of <service> with the policy by-slack, and random numbers from <seed>
    When callers demand <load> times its capacity for 8 s, and half of it before and afterwards
    Then more than 2% of the admitted requests expire

    Examples:
      | service | load | seed |
      | T       | 2.5  | 1    |
      | L       | 2.5  | 2    |

  Scenario: by-slack serves a kind less often than a less urgent one
    Given a pool of T with the policy by-slack, and random numbers from 3
    When callers demand 3.0 times its capacity for 8 s, and half of it before and afterwards
    Then some kind is served less often than a less urgent one
