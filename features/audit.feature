Feature: The audit of callers' answers against the upstreams' runs

  Scenario Outline: <case>
    Given a <kind> request that callers were told "<told>" of
    When the upstreams ran it <runs> times
    Then the audit finds "<findings>"

    Examples:
      | case                                 | kind           | told            | runs | findings      |
      | ran once                             | non-repeatable | ran             | 1    |               |
      | not run                              | non-repeatable | not run         | 0    |               |
      | unknown and not run                  | non-repeatable | unknown         | 0    |               |
      | unknown and ran                      | non-repeatable | unknown         | 1    |               |
      | told ran but did not                 | repeatable     | ran             | 0    | false ran     |
      | told not run but ran                 | repeatable     | not run         | 1    | false not run |
      | ran twice although it must not       | non-repeatable | ran             | 2    | double run    |
      | ran twice and may                    | repeatable     | ran             | 2    |               |
      | a repeat was told not run, first ran | non-repeatable | ran,not run     | 1    |               |
      | both told not run but ran            | non-repeatable | not run,not run | 1    | false not run |
      | another request's answer             | repeatable     | wrong           | 1    | wrong answer  |

  Scenario Outline: Keys held by two upstreams are found: <case>
    Given an upstream of "desk" that was granted keys 0 to 99 with fence 3
    And an upstream of "<service>" that was granted keys 50 to 149 with fence <fence> <when>
    Then <count> wrongly held runs of keys are found

    Examples: a higher fence is right only once the earlier grant has ended
      | case                        | service | fence | when              | count |
      | at the same time            | desk    | 4     | at the same time  | 1     |
      | under a fence that is lower | desk    | 2     | after its release | 1     |
      | both                        | desk    | 3     | at the same time  | 2     |
      | one after the other         | desk    | 4     | after its release | 0     |
      | keys of another service     | counter | 3     | at the same time  | 0     |
