Feature: Audit of callers' results against the requests that the upstreams ran

  Scenario Outline: <case>
    Given a request that is <kind> and whose callers received "<results>"
    When the upstreams ran it <runs> times
    Then the audit finds "<findings>"

    Examples:
      | case                                 | kind           | results         | runs | findings      |
      | ran once                             | not idempotent | ran             | 1    |               |
      | not run                              | not idempotent | not run         | 0    |               |
      | unknown and not run                  | not idempotent | unknown         | 0    |               |
      | unknown and ran                      | not idempotent | unknown         | 1    |               |
      | reported as ran but did not          | idempotent     | ran             | 0    | false ran     |
      | reported as not run but ran          | idempotent     | not run         | 1    | false not run |
      | ran twice but is not idempotent      | not idempotent | ran             | 2    | double run    |
      | ran twice and is idempotent          | idempotent     | ran             | 2    |               |
      | ran, and its retry was not run       | not idempotent | ran,not run     | 1    |               |
      | both reported as not run but ran     | not idempotent | not run,not run | 1    | false not run |
      | response of another request          | idempotent     | wrong           | 1    | wrong answer  |

  Scenario Outline: Conflicting grants of two upstreams are found: <case>
    Given an upstream of "desk" that was granted keys 0 to 99 with fence 3
    And an upstream of "<service>" that was granted keys 50 to 149 with fence <fence> <when>
    Then <count> conflicting ranges are found

    Examples: a higher fencing token is valid only after the earlier grant has ended
      | case                        | service | fence | when              | count |
      | at the same time            | desk    | 4     | at the same time  | 1     |
      | lower fencing token         | desk    | 2     | after its release | 1     |
      | both                        | desk    | 3     | at the same time  | 2     |
      | one after the other         | desk    | 4     | after its release | 0     |
      | keys of another service     | counter | 3     | at the same time  | 0     |
