Feature: Nodes elect a leader and follow it whatever the store responds

  Scenario: A node takes part in elections after a malformed response of the store
    Given a store without a leader whose first 3 responses are cut short
    When a node takes part in elections
    Then it becomes leader

  Scenario: A node watches the leader from the present after the store has discarded its history
    Given a store in which another node is leader
    When a node takes part in elections
    And the store discards its history
    Then the node's next watch starts from what the store still keeps
