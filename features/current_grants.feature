Feature: Keys are granted only as the table gives them, and move only after the last grant of them

  Scenario Outline: Keys that change during a round of renewals are not renewed: <event>
    # Guards against a key with two owners: a round went on with the list that it had begun with.
    Given an upstream that owns keys 0 to 9, 10 to 19 and 20 to 29
    When <event> while a round of renewals sends its first grant
    Then the round has granted only <granted>

    Examples:
      | event                                    | granted          |
      | nothing happens                          | 0, 10 and 20     |
      | keys 20 to 29 start to move              | 0 and 10         |
      | keys 25 to 29 start to move              | 0 and 10         |
      | keys 20 to 29 get a new token            | 0 and 10         |
      | a new token is requested for 20 to 29    | 0 and 10         |
      | its renewer is stopped                   | 0                |
      | the term ends                            | 0                |

  Scenario Outline: Keys that change while a move grants them are not granted again: <event>
    # Guards against a key with two owners: a move repeated grants of keys that had moved on.
    Given keys 20 to 29 that move to an upstream
    When <event> while their grant gets no answer
    Then the move has tried to grant them <times>

    Examples: a move makes three attempts, as long as two in a row did not fail
      | event                                    | times |
      | nothing happens                          | twice |
      | keys 20 to 29 move on                    | once  |
      | a new token is requested for 20 to 29    | once  |
      | its renewer is stopped                   | once  |
      | the term ends                            | once  |

  Scenario Outline: A move waits for the last grant of its keys, and for no other: <grants>
    # Guards against a key with two owners: the end of the wait was computed when the move began.
    Given an upstream to which these grants were sent: <grants>
    Then a move of keys 20 to 29 may take them for expired at second <end>

    Examples: a grant is held for 2 s; "delayed" stands for a thread that has not sent it yet
      | grants                                   | end   |
      | none                                     | -inf  |
      | 20 to 29 at 1                            | 3     |
      | 20 to 29 at 1, 20 to 29 at 4             | 6     |
      | 20 to 29 at 1, 0 to 9 at 4               | 3     |
      | 0 to 99 at 4                             | 6     |
      | 20 to 29 at 1, 29 to 30 at 2             | 4     |
      | 20 to 29 at 1, 20 to 29 delayed at 1     | inf   |
      | 20 to 29 at 1, 0 to 9 delayed at 1       | 3     |
      | 20 to 29 at 1, 20 to 29 unsent at 2      | 3     |
      | 20 to 29 at 1, terminated at 2           | -inf  |

  Scenario: A grant whose time has passed before it is sent is not sent
    # Guards against a key with two owners: the next leader waits only for grants sent in time.
    Given an upstream that records what it receives
    When connecting for a grant takes longer than the grant may take
    Then the upstream has received nothing
    And the grant counts as not sent
