Feature: Keys are placed on upstreams with spare capacity

  Scenario Outline: A run of hot keys is spread over upstreams with spare capacity
    Given <count> upstreams with 2 slots and equal ranges
    And every 64th key has a demand of 0.01 slots
    And <hot> keys starting at key 30000 have a total demand of <demand> slots
    When moves are planned 12 times
    Then the busiest upstream has a utilization of at most <limit>
    And every key has exactly one owner

    Examples: the hot keys need 4 to 8 slots; an upstream has 2
      | count | hot | demand | limit |
      | 8     | 200 | 4      | 1.0   |
      | 8     | 60  | 4      | 1.0   |
      | 20    | 200 | 8      | 0.75  |
      | 20    | 60  | 5      | 0.65  |

  Scenario: A single key that exceeds the capacity of an upstream does not move back and forth
    Given 4 upstreams with 2 slots and equal ranges
    And 1 keys starting at key 100 have a total demand of 3 slots
    When moves are planned 12 times
    Then key 100 has moved at most once
    And every key has exactly one owner

  Scenario: No keys move between upstreams with low utilization
    Given 6 upstreams with 2 slots and equal ranges
    And every 64th key has a demand of 0.002 slots
    When moves are planned 1 times
    Then no keys move

  Scenario: Keys move away from a slow upstream
    Given 4 upstreams with 2 slots and equal ranges
    And every 64th key has a demand of 0.004 slots
    And upstream 0 has a quarter of the capacity of the others
    When moves are planned 12 times
    Then the busiest upstream has a utilization of at most 0.75

  Scenario: The keys of an upstream that has left are assigned to the others
    Given 4 upstreams with 2 slots and equal ranges
    And every 64th key has a demand of 0.002 slots
    And upstream 1 has left
    When moves are planned 1 times
    Then upstream 1 owns no keys
    And every key has exactly one owner

  Scenario: A new upstream is assigned keys that have demand
    Given 4 upstreams with 2 slots and equal ranges
    And every 64th key has a demand of 0.002 slots
    And upstream 9 joins
    When moves are planned 1 times
    Then upstream 9 owns keys that have demand
    And every key has exactly one owner

  Scenario Outline: Plans preserve the invariants over a random history
    Given a random history of <steps> plans with seed <seed>
    Then after each plan every key had exactly one owner
    And each move went from the owner of its keys to another live upstream
    And after each plan no upstream that had left owned a key
    And after a period of even demand no upstream is overloaded

    Examples:
      | steps | seed |
      | 150   | 1    |
      | 150   | 2    |
      | 150   | 3    |
      | 150   | 4    |
      | 150   | 5    |
      | 150   | 6    |
