Feature: Followers learn of cold upstreams, which get no more keys than they can serve

  Scenario Outline: Followers learn that an upstream has turned cold: guards against a change that is taken for noise
    Given a leader that has published an upstream with <before> s left
    When <elapsed> s later its entry states <after> s
    Then the list is <result>

    Examples:
      | before | elapsed | after | result        |
      | 0      | 10      | 3     | published     |
      | 0      | 10      | 0.1   | published     |
      | 0      | 10      | 0     | not published |
      | 3      | 1       | 2     | not published |
      | 3      | 1       | 2.4   | not published |
      | 3      | 1       | 3     | published     |
      | 3      | 3.3     | 0.1   | not published |
      | 3      | 9       | 3     | published     |

  Scenario: A follower that joins later learns the rest: guards against a warm-up that starts anew with each message
    Given a leader that has published an upstream with 3 s left
    When 2 s later a follower asks for the whole list
    Then it learns that the upstream is cold for 1 s

  Scenario: An entry that is read again has aged: guards against a warm-up that never ends without heartbeats
    Given a leader that has published an upstream with 3 s left
    When 2 s later its entry is read again unchanged
    Then the entry states 1 s

  Scenario: A cold owner gets no more demand than it may take: guards against a range of a busy upstream
    Given 8 upstreams with 4 slots and equal ranges
    And every 64th key has a demand of 0.02 slots
    And upstream 9 joins cold and may take 1.8 slots
    When moves are planned 1 times
    Then upstream 9 owns keys that have demand
    And upstream 9 has a demand of at most 1.8 slots
    When moves are planned 12 times
    Then upstream 9 has a demand of at most 1.8 slots
    And every key has exactly one owner

  Scenario: A cold owner keeps what it may take: guards against moves that a short warm-up is not worth
    Given 4 upstreams with 4 slots and equal ranges
    And every 64th key has a demand of 0.006 slots
    And upstream 0 is cold and may take 1.8 slots
    When moves are planned 12 times
    Then no keys move

  Scenario: Keys beyond the limit of a cold owner go to warm upstreams
    Given 4 upstreams with 4 slots and equal ranges
    And every 64th key has a demand of 0.01 slots
    And upstream 0 is cold and may take 1.8 slots
    When moves are planned 12 times
    Then upstream 0 has a demand of at most 1.9 slots
    And upstream 0 has a demand of at least 1.2 slots
    And every key has exactly one owner

  Scenario: The keys of an upstream that has left go to warm upstreams: guards against a range that a cold one cannot serve
    Given 4 upstreams with 4 slots and equal ranges
    And every 64th key has a demand of 0.008 slots
    And upstream 1 has left
    And upstream 0 is cold and may take 0.1 slots
    When moves are planned 1 times
    Then upstream 1 owns no keys
    And upstream 0 has a demand of at most 2.1 slots

  Scenario: An upstream that joins cold where every key is hot gets none of them
    Given 2 upstreams with 4 slots and equal ranges
    And 4 keys starting at key 100 have a total demand of 6 slots
    And upstream 9 joins cold and may take 0.5 slots
    When moves are planned 1 times
    Then upstream 9 has a demand of at most 0.5 slots
    And every key has exactly one owner
