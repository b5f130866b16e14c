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

  Scenario Outline: A record of the leader that no node wrote does not end a node's part in elections
    Given a store in which the record of the leader is <record>
    When a node takes part in elections
    And the record of the leader is removed after the node has read it
    Then it becomes leader

    Examples: {[*100000} stands for 100,000 brackets
      | record                                                          |
      | {[*100000}                                                      |
      | []                                                              |
      | {"instance_id": "n2", "boot_id": "b", "at": ["127.0.0.1", 1e999]} |
      | {"instance_id": [], "boot_id": "b", "at": ["127.0.0.1", 2]}     |

  Scenario Outline: A record of the leader whose address cannot be called names no leader
    Given a store in which the record of the leader is <record>
    When a node takes part in elections
    Then the node has read the record and knows no leader

    Examples:
      | record                                                             |
      | {"instance_id": "n2", "boot_id": "b", "at": ["127.0.0.1", 99999]}  |
      | {"instance_id": "n2", "boot_id": "b", "at": ["127.0.0.1", -1]}     |
      | {"instance_id": "n2", "boot_id": "b", "at": [7, 2]}                |
      | {"instance_id": ["n2"], "boot_id": "b", "at": ["127.0.0.1", 2]}    |
