Feature: Tables over random histories

  Scenario Outline: Every table of a random history keeps the rules
    Given a random history of <steps> tables with seed <seed>
    Then no table gives a slot or a key to two upstreams
    And no slot or key leaves an upstream but into a transit
    And a row whose grant changed has the table's fence, and no other row's fence changed
    And nothing in transit is given before its transit has ended
    And no row names a dispatcher twice or a dispatcher that was not live
    And no sender is replaced for balance while slots are on their way
    And at the end of a quiet time every slot is owned and the owners are balanced

    Examples:
      | steps | seed |
      | 200   | 1    |
      | 200   | 2    |
      | 200   | 3    |
      | 200   | 4    |
      | 200   | 5    |
      | 200   | 6    |
