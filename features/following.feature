Feature: Nodes follow the leader at a cost that a large fleet can bear

  Scenario: A follower gets only the upstreams that changed
    Given a leader with 140 upstreams and a follower that knows them
    When 1 upstream joins, 1 is leaving and 1 is gone
    And the follower polls
    Then the reply has 2 upstreams and the id of the one that is gone
    And the follower knows the upstreams of the leader

  Scenario: A follower that read the list from the store gets the next one in full
    Given a leader with 140 upstreams and a follower that knows them
    When the follower reads the list of upstreams from the store
    And 1 upstream joins, 1 is leaving and 1 is gone
    And the follower polls
    Then the reply has 140 upstreams
    And the follower knows the upstreams of the leader

  Scenario: A follower of a build that ignores changes of upstreams gets the list in full
    Given a leader with 140 upstreams and a follower that knows them
    When 1 upstream joins, 1 is leaving and 1 is gone
    And the follower polls without accepting changes of upstreams
    Then the reply has 140 upstreams
    And the follower knows the upstreams of the leader

  Scenario: A follower of an earlier term gets all upstreams
    Given a leader with 140 upstreams and a follower that knows them
    When another leader with 20 upstreams begins a term
    And the follower polls
    Then the reply has 20 upstreams
    And the follower knows the upstreams of the leader

  Scenario: A follower that polls at random times always ends with the leader's upstreams
    Given a leader with 40 upstreams and a follower that knows them
    When the list changes 400 times at random, and the follower polls after 1 in 6 changes
    Then the follower has known the upstreams of the leader after each poll

  Scenario: Changes that follow each other closely are combined in large fleets
    Given a fleet of 90 nodes in which the leader moves keys 100 times a second
    When all other nodes poll for 10 s
    Then each of them gets at most 113 replies, evenly in time

  Scenario: Changes reach the nodes of a small fleet without delay
    Given a fleet of 9 nodes in which the leader moves keys 100 times a second
    When all other nodes poll for 10 s
    Then each of them gets at least 990 replies

  Scenario: Large instances win elections
    Then these extra delays apply in elections
      | cores | delay ms |
      | 2.151 | 0        |
      | 1     | 0        |
      | 0.86  | 42       |
      | 0.43  | 171      |

  Scenario Outline: A list that is read after a pause is not an old one: a pause of <pause> s
    Given a store that returns at most 500 changes of 301 upstreams, which write every 0.87 s
    And a node that has read the list of upstreams
    When an upstream begins to leave <after> s later
    And the node reads the list again after <pause> s
    Then the upstream is leaving in the list
    And no list that the node has read names an upstream as ready after it began to leave

    Examples:
      | pause | after |
      | 0.6   | 0.3   |
      | 0.95  | 0.7   |
      | 2     | 1.7   |
      | 7     | 4.5   |
      | 7     | 6.8   |

  Scenario: A list that is read often is followed with few calls
    Given a store that returns at most 500 changes of 301 upstreams, which write every 0.87 s
    And a node that has read the list of upstreams
    When the node reads the list every 0.45 s for 20 s
    Then it has made at most 2 calls for each time
