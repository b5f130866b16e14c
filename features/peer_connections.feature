Feature: Idle connections between nodes are closed by the node that opened them

  A connection holds a thread at the other node, so that a node of a large fleet must not keep one
  for every pair of nodes.

  Scenario: Connections that were idle for the limit are closed
    Given a node that serves calls of other nodes
    When another node makes 8 concurrent calls and then none
    Then the node has 8 connections with a thread each
    When the idle connections of the other node reach their limit
    Then the node has 0 connections with a thread each

  Scenario: Connections within the limit stay open and are used again
    Given a node that serves calls of other nodes
    When another node makes 8 concurrent calls and then none
    And the other node closes connections that were idle for 60 s
    And another node makes 8 concurrent calls and then none
    Then the node has 8 connections with a thread each
    And the node has accepted 8 connections

  Scenario: A call that starts while idle connections are closed is not lost
    Given a node that serves calls of other nodes
    When another node makes 400 calls while its idle connections are closed all the time
    Then all 400 calls have succeeded
