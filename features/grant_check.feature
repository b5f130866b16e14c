Feature: No sequence of faults gives a key two owners

  Scenario: Random sequences of elections, moves, restarts, partitions and outages
    # Each fault that gave a key two owners took several events at once, which no single test had.
    When 14 random sequences of up to 16 events run in virtual time
    Then no key had two owners and no fencing token was issued twice
    And there were at least 20 elections and 50 moves

  Scenario Outline: An upstream that restarts behind a cut keeps its keys until its grants expire
    # Random sequences have not found this one: grants to a process that the leader did not know yet
    # were forgotten once it read the entry of that process.
    Given a fleet in virtual time with seed <seed>
    When an upstream restarts, cut off from the store, and 1.5 s later only from nodes
    Then no key had two owners and no fencing token was issued twice

    Examples:
      | seed |
      | 0    |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: An upstream with many ranges that leaves is not renewed from an old list
    # Guards against a key with two owners: while every second call to the upstream got no response,
    # a round of renewals took so long that it renewed ranges after their grants counted as expired.
    Given a fleet in virtual time with seed <seed>, in which each upstream owns 24 ranges
    When an upstream leaves, and 9 of 10 calls to it after an answered one get no response
    Then no key had two owners and no fencing token was issued twice

    Examples:
      | seed |
      | 1    |
      | 6    |
      | 14   |

  Scenario Outline: Grants of an upstream with many ranges don't expire while answers get lost
    # Guards against keys without an owner: a round that waits for each lost answer took longer than
    # the grants hold.
    Given a fleet in virtual time with seed <seed>, in which each upstream owns 40 ranges
    When half of the answers of an upstream that follow an answered call get lost
    Then all keys are held for 8 s

    Examples:
      | seed |
      | 0    |
      | 2    |

  @known_red
  Scenario Outline: An upstream that restarts while a grant times out gets another token
    # The leader sends the same token again after one grant has timed out, and takes the upstream
    # for restarted only if a connection is closed or refused, or two grants have timed out.
    Given a fleet in virtual time with seed <seed>
    When an upstream that is cut off from the store and for 0.45 s from all nodes restarts
    Then no key had two owners and no fencing token was issued twice

    Examples:
      | seed |
      | 0    |
      | 1    |
