Feature: Checker of upstreams' records
  The promises on ownership are checked over what the upstreams recorded. Each rule is shown on
  records that keep it and on records that break it.

  Grants are written as: upstream, slots, times; runs as: upstream, slot, key, id, times. All times
  are seconds.

  Scenario Outline: One owner at any moment
    Given the records <records>
    When the records are checked
    Then the records' violations are <violations>

    Examples: slots
      | records                                                | violations        |
      | grant u1 0-9 0..10; grant u2 10-19 0..10               | none              |
      | grant u1 0-9 0..10; grant u2 0-9 10..20                | none              |
      | grant u1 0-9 0..10; grant u2 9-19 9..20                | slot 9 at u1, u2  |
      | grant u1 0-9 0..10; grant u1 0-9 8..18; grant u2 3-3 17..30 | slot 3 at u1, u2 |
      | grant u1 0-9 0..10; grant u1 0-4 5..15; grant u2 5-9 5..15  | none         |
      | grant u1 0-9 0..10; grant u1 0-4 5..15; grant u2 4-9 5..15  | slot 4 at u1, u2 |
      | grant u1 0-9 0..10; grant u2 0-0 12..20; grant u1 0-9 18..30 | slot 0 at u2, u1 |
      | grant u1 0-9 0..10; start u1 4; grant u2 0-9 5..15     | none              |
      | grant u1 0-9 0..10; start u1 6; grant u2 7-7 5..15     | slot 7 at u1, u2  |
      | grant u1 0-9 0..10; grant u1:other 0-9 0..10           | none              |

    Examples: keys of their own
      | records                                                | violations        |
      | grant u1 0-9!k 0..10; grant u2 +k 0..10                | none              |
      | grant u1 +k 0..10; grant u2 +k 9..20                   | key k at u1, u2   |
      | grant u1 0-9 0..10; grant u2 +k 2..20; run u2 3 k r1 3..4 | key k at u1, u2; key k at u1, u2 |
      | grant u1 0-9!k 0..10; grant u2 +k 0..10; run u2 3 k r1 3..4 | none         |

    Examples: work in progress
      | records                                                | violations        |
      | grant u1 0-9 0..10; grant u1 5-9 2..12; run u1 3 k r1 1..4; grant u2 3-3 4..14 | none |
      | grant u1 0-9 0..10; grant u1 5-9 2..12; run u1 3 k r1 1..5; grant u2 3-3 4..14 | key k at u1, u2 |
      | grant u1 0-9 0..10; grant u1 5-9 2..12; lost u1 3 k r1 1..5; grant u2 3-3 4..14 | none |
      | run u1 3 k r1 1..3; run u2 3 k r2 2..4                 | key k at u1, u2; r1 outside; r2 outside |
      | run u1 3 k r1 1..3; run u2 3 k r2 3..4                 | r1 outside; r2 outside |
      | run u1 3 k r1 1..3; run u2:other 3 k r2 2..4           | r1 outside; r2 outside |

  Scenario: A pinned key is compared with its slot's owner by the number of slots
    Given the records grant u1 0-9 0..10; grant u2 +k 2..20
    When the records are checked for a service of 10 slots
    Then the records' violations are key k at u1, u2

  Scenario Outline: No run outside a grant
    Given the records <records>
    When the records are checked
    Then the records' violations are <violations>

    Examples:
      | records                                               | violations     |
      | grant u1 0-9 0..10; run u1 3 k r1 1..2                | none           |
      | grant u1 0-9 0..10; run u1 10 k r1 1..2               | r1 outside     |
      | grant u1 0-9 0..10; run u1 3 k r1 9..11               | r1 outside     |
      | grant u1 0-9 0..10; grant u1 0-9 9..19; run u1 3 k r1 9..11 | none     |
      | grant u1 0-9 0..10; run u1 3 k r1 11..12              | r1 outside     |
      | grant u1 0-9 0..10; grant u1 5-9 2..12; run u1 3 k r1 1..9  | none     |
      | grant u1 0-9 0..10; grant u1 5-9 2..12; run u1 3 k r1 1..11 | r1 outside |
      | grant u1 0-9 0..10; grant u1 5-9 2..12; run u1 3 k r1 3..4  | r1 outside |
      | grant u1 0-9!k 0..10; run u1 3 k r1 1..2              | r1 outside     |
      | grant u1 +k 0..10; run u1 3 k r1 1..2                 | none           |
      | grant u1 0-9 0..10; start u1 1; run u1 3 k r1 2..3    | r1 outside     |
      | grant u1 0-9 0..10; lost u1 3 k r1 9..11              | none           |

  Scenario Outline: What must not repeat runs once
    Given the records <records>
    When the records are checked with once-* as ids that must not repeat
    Then the records' violations are <violations>

    Examples:
      | records                                                                      | violations |
      | grant u1 0-9 0..10; run u1 3 k once-1 1..2; run u1 3 k once-2 2..3           | none       |
      | grant u1 0-9 0..10; run u1 3 k once-1 1..2; run u1 3 k once-1 4..5           | once-1 ran 2 times |
      | grant u1 0-9 0..10; run u1 3 k once-1 1..2; grant u2 0-9 10..20; run u2 3 k once-1 11..12 | once-1 ran 2 times |
      | grant u1 0-9 0..10; run u1 3 k once-1 1..2; lost u1 3 k once-1 4..5          | none       |
      | grant u1 0-9 0..10; run u1 3 k free-1 1..2; run u1 3 k free-1 4..5           | none       |

  Scenario Outline: An accepted assignment survives
    Given the records <records>
    And the records' accepted assignments <accepted>
    When the records are checked
    Then the records' violations are <violations>

    Examples:
      | records                                                    | accepted               | violations        |
      | grant u1 3-3 1..10; grant u2 3-3 21..30                    | u1 3 at 0; u2 3 at 20  | none              |
      | grant u1 3-3 1..10; grant u2 3-3 11..20                    | u1 3 at 0              | slot 3 of u1 lost |
      | grant u1 3-3 1..10; grant u2 3-3 11..20                    | u1 3 at 0; u2 3 at 12  | none              |
      | grant u1 3-3 1..10; grant u1 3-3 22..23; grant u2 3-3 24..30 | u1 3 at 0; u2 3 at 20 | none            |
      | grant u1 3-3 1..10; grant u2 3-3 21..30; grant u1 3-3 31..40 | u1 3 at 0; u2 3 at 20 | slot 3 of u2 lost |
      | grant u1 3-3 1..10; grant u3 3-3 21..30                    | u1 3 at 0; u2 3 at 20  | slot 3 of u2 lost |
      | grant u1 +k 1..10; grant u2 +k 21..30                      | u1 +k at 0             | key k of u1 lost  |
      | grant u1 +k 1..10; grant u2 +k 21..30                      | u1 +k at 0; u2 +k at 20 | none             |

  Scenario: Records survive being written and read
    Given a record file with one record of each kind and a line that was cut short
    When the record file is read
    Then the records are those that were written

  Scenario Outline: The command line tells violations by its exit code
    Given a record file of <records>
    When the records command checks the file
    Then the records command's exit code is <code> and its last line is <line>

    Examples:
      | records                                  | code | line                                              |
      | grant u1 0-9 0..10; run u1 3 k r1 1..2   | 0    | 1 holdings, 1 runs with effect, 0 violations      |
      | grant u1 0-9 0..10; grant u2 0-0 1..2    | 1    | 2 holdings, 0 runs with effect, 1 violations      |
      | start u1 0                               | 2    | 0 holdings, 0 runs with effect, 0 violations      |
