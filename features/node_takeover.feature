Feature: A new leader waits for the grants of earlier leaders only as long as they may be in force

  Scenario Outline: Grants of earlier leaders end
    Given an instance led until a new leader took over at second 0, as the table says
    When the new leader hears <words>
    Then at second <moment> grants of the earlier leader run until second <end>

    # An earlier leader may act for 10 s without word from the store; an order may take 0.4 s to
    # arrive, and its hold is 2.4 s, 2% more on a slow clock, and 0.1 s for the way.
    Examples:
      | words                                     | moment | end    |
      | nothing                                   | 0      | 12.948 |
      | nothing                                   | 9      | 12.948 |
      | it at 1 knowing the new term              | 1      | 3.948  |
      | it at 1 knowing the new term, again at 5  | 6      | 3.948  |
      | it at 1 knowing only its own term         | 2      | 12.948 |
      | another instance at 1 knowing the new term | 2     | 12.948 |
      | it leaving at 1 knowing the new term      | 2      | 6.09   |
      | its next process at 2 knowing the new term | 3     | 7.09   |
      | it at 11 knowing the new term             | 12     | 12.948 |

  Scenario Outline: A leader that led before
    Given the new leader's <what> led before it took over at second 0, as the table says
    Then at second 0 grants of the earlier leader run until second <end>

    Examples: the process started at second -1; leaving, one may have given grants of 4.5 s
      | what             | end    |
      | own process      | 5.09   |
      | earlier process  | 4.09   |

  Scenario: Earlier leaders stay in the table until their grants have run out
    Given an instance led until a new leader took over at second 0, as the table says
    Then at second 12 the table still names the earlier leader, for 0.948 s more
    And at second 13 the table names it no more

  Scenario Outline: Keys of a lost upstream wait for the grants that it may hold
    Given an upstream with two ranges, and earlier grants that run until second 12.948
    When the new leader renews at second 1 and the upstream <answers>
    Then at second 2 the upstream may hold keys until second <end>

    Examples: a range without the new fencing token may still be renewed by an earlier leader
      | answers                       | end    |
      | accepts both                  | 3.548  |
      | accepts the first only        | 12.948 |
      | refuses one for its fence     | 12.948 |
      | cannot be connected to        | 12.948 |
      | answers neither               | 12.948 |
      | is found to be replaced       | 1      |
