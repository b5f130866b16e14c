Feature: Membership

  Scenario Outline: An assigner knows which members it hears
    Given a member registry
    When the member registry hears the calls "<calls>"
    Then the registered members are "<members>"

    # A call is instance:boot@time; "check@time" looks for lost members.
    Examples:
      | calls                                          | members    |
      | a:1@0                                          | a:1        |
      | a:1@0 check@0.2 check@0.4 check@0.59           | a:1        |
      | a:1@0 check@0.2 check@0.4 check@0.61           |            |
      | a:1@0 b:1@0.5 check@0.25 check@0.5 check@0.7   | b:1        |
      | a:1@0 a:2@0.1                                  | a:2        |
      | a:1@0 a:2@0.1 a:1@0.2                          | a:2        |
      | a:1@0 check@0.2 check@9                        | a:1        |
      | a:1@0 check@0.2 check@9 check@9.2 check@9.4 check@9.61 |            |
      | a:1@0 check@0.2 check@9 check@9.2 a:1@9.3 check@9.4 check@9.61 | a:1 |

  Scenario Outline: The version of the members rises with changes only
    Given a member registry
    When the member registry hears the calls "<calls>"
    Then the registered members changed <count> times

    Examples:
      | calls                                    | count |
      | a:1@0                                    | 1     |
      | a:1@0 a:1@0.1 a:1@0.2                    | 1     |
      | a:1@0 b:1@0.1                            | 2     |
      | a:1@0 a:2@0.1 a:1@0.2                    | 2     |
      | a:1@0 check@0.3 check@0.59 check@0.7     | 2     |

  Scenario: A configuration and a table spread to all assigners and only rise
    Given syncing assigners a in wanaka, b in twizel that starts from a, c in ba-ridge that starts from b
    When assigner c is given configuration 3 and table 2.1 of ba-ridge
    Then assigners a, b and c have configuration 3 and table 2.1 of ba-ridge
    When assigner a is given configuration 2 and table 1.9 of ba-ridge
    And assigner b is given configuration 4 and table 2.2 of ba-ridge
    Then assigners a, b and c have configuration 4 and table 2.2 of ba-ridge

  Scenario: A fresh assigner learns from a dispatcher what no other assigner knows
    Given a syncing assigner a in wanaka
    And a syncing dispatcher of wanaka with configuration 5 that starts from a
    Then assigner a has configuration 5

  Scenario: A dispatcher's change is reported at once and its assigners are found from one
    Given syncing assigners a in wanaka, b in twizel that starts from a, c in wanaka that starts from b
    And a syncing dispatcher of wanaka with configuration 5 that starts from a
    When assigner c holds the lease
    Then the syncing dispatcher's active assigner is c
    When the syncing dispatcher reports an upstream and wakes
    Then assigner c has the report

  Scenario: A process follows another zone while no assigner of its own answers
    Given syncing assigners a in wanaka, b in twizel that starts from a, c in wanaka that starts from b
    And a syncing dispatcher of wanaka with configuration 5 that starts from a
    And the syncing dispatcher has heard of assigners a, b and c
    When assigners a and c stop
    And assigner b is given configuration 6 and table 2.2 of ba-ridge
    Then the syncing dispatcher has configuration 6
