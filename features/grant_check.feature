Feature: No sequence of faults gives a key two owners

  Scenario: Random sequences of elections, moves, restarts, partitions and outages
    # Each fault that gave a key two owners took several events at once, which no single test had.
    When 14 random sequences of up to 16 events run in virtual time
    Then no key had two owners and no fencing token was issued twice
    And there were at least 20 elections and 50 moves
