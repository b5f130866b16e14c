Feature: An upstream that leaves is gone at once, one that only the store has lost is not

  Upstreams write their entries each second, and an entry lapses after three seconds of silence.

  # Guards against requests that reach an upstream after it has left: each failed call of the leader
  # delayed removals by 2.3 s.
  Scenario Outline: u1 leaves <moment> <fault>, read by <reader>
    Given <reader> that reads the entries of u1 and u2
    When <fault> happens, and u1 leaves <moment>
    Then u1 is gone 1.5 s after it left and could be read

    Examples: single calls
      | reader       | fault                   | moment            |
      | a leader     | a reset call            | 0.05 s before it  |
      | a leader     | a reset call            | 0.05 s after it   |
      | a leader     | a reset call            | 0.4 s after it    |
      | a leader     | a reset call            | 1.5 s after it    |
      | a leader     | a lost answer           | 0.05 s before it  |
      | a leader     | a lost answer           | 0.05 s after it   |
      | a leader     | a lost answer           | 1 s after it      |
      | a leader     | a refused call          | 0.05 s before it  |
      | a leader     | a refused call          | 0.05 s after it   |
      | a leader     | a refused call          | 1 s after it      |
      | a follower   | a reset call            | 0.05 s before it  |
      | a follower   | a reset call            | 0.05 s after it   |
      | a follower   | a lost answer           | 0.05 s after it   |
      | a follower   | a refused call          | 1 s after it      |
      | a new leader | a reset call            | 0.05 s before it  |
      | a new leader | a reset call            | 0.05 s after it   |
      | a new leader | a lost answer           | 1 s after it      |
      | a new leader | a refused call          | 0.05 s after it   |

    Examples: rows of failed calls, and outages in which no entry can lapse
      | reader       | fault                   | moment            |
      | a leader     | a row of failed calls   | 0.05 s after it   |
      | a leader     | a row of failed calls   | 2 s after it      |
      | a leader     | a row of failed calls   | 6.5 s after it    |
      | a follower   | a row of failed calls   | 2 s after it      |
      | a new leader | a row of failed calls   | 6.5 s after it    |
      | a leader     | an outage of 1.2 s      | 0.05 s before it  |
      | a leader     | an outage of 1.2 s      | 1.3 s after it    |
      | a follower   | an outage of 1.2 s      | 1.3 s after it    |
      | a new leader | an outage of 1.2 s      | 1.3 s after it    |

    Examples: outages in which entries can lapse, once the upstream has written again
      | reader       | fault                   | moment            |
      | a leader     | an outage of 5 s        | 6.5 s after it    |
      | a follower   | an outage of 5 s        | 6.5 s after it    |
      | a leader     | a return from a copy    | 1.5 s after it    |
      | a follower   | a return from a copy    | 2.6 s after it    |

  Scenario Outline: u1 registers again after <fault>, read by <reader>
    # Upstreams that only the store has lost are neither abandoned nor taken for cold.
    Given <reader> that reads the entries of u1 and u2
    When <fault> happens, in which entries lapse, and u1 registers again <late> s after it
    Then u1 is found at each read

    Examples:
      | reader       | fault                   | late |
      | a leader     | an outage of 3.2 s      | 0.5  |
      | a leader     | an outage of 5 s        | 1.9  |
      | a follower   | an outage of 3.2 s      | 0.5  |
      | a follower   | an outage of 5 s        | 1.9  |
      | a new leader | an outage of 3.2 s      | 0.5  |
      | a new leader | an outage of 5 s        | 1.9  |

  Scenario: A kept entry is gone once the leader no longer lists its upstream
    # Guards against a reader that fails at each read: an entry was dropped, but not that it is kept.
    Given a follower that reads the entries of u1 and u2
    When an outage of 5 s happens, in which entries lapse, and the leader drops u1 0.8 s after it
    Then u1 is gone 1.5 s after the outage

  Scenario Outline: u1 falls silent <moment> <fault>, read by <reader>
    Given <reader> that reads the entries of u1 and u2
    When <fault> happens, and u1 falls silent <moment>
    Then u1 is gone <end>

    Examples:
      | reader       | fault                   | moment            | end                        |
      | a leader     | a reset call            | 0.05 s before it  | 4 s after its last write   |
      | a leader     | a row of failed calls   | 0.05 s after it   | 4 s after its last write   |
      | a follower   | a lost answer           | 0.05 s after it   | 4 s after its last write   |
      | a leader     | an outage of 1.2 s      | 0.05 s before it  | 4 s after its last write   |
      | a leader     | an outage of 5 s        | 0.05 s before it  | 2.9 s after the outage     |
      | a follower   | an outage of 5 s        | 0.05 s before it  | 2.9 s after the outage     |
      | a new leader | an outage of 5 s        | 0.05 s before it  | 2.9 s after the outage     |
