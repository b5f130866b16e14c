Feature: One owner for each key on the platform

  Background:
    Given a store of the platform and 3 upstreams of a keyed service
    And 2 nodes

  Scenario: All keys are given and every request is answered by the owner
    When the nodes serve
    Then requests for 30 keys through each node are answered
    And no key was ever held by two upstreams

  Scenario: A leader is killed and another renews what was granted
    Given the nodes serve
    When the leading node is killed
    Then another node leads
    And requests for 30 keys through the other node are answered
    And no key was ever held by two upstreams

  Scenario: The store is silent for longer than any grant is held
    Given the nodes serve
    When the store is silent for 4 seconds
    Then requests for 30 keys through each node are answered while it is silent
    And no key was ever held by two upstreams

  Scenario: The leader is asked to stop while the store is silent
    Given the nodes serve
    When the store is silent for 9 seconds
    And the leading node is asked to stop
    Then the keys of the living upstreams stay held while it is silent
    And the node that led has ended by itself
    And requests for 30 keys through the other node are answered
    And no key was ever held by two upstreams

  Scenario: The store is busy for longer than any grant is held, while a move is due
    Given the nodes serve
    When the store is busy for 4 seconds
    And an upstream ends
    Then the keys of the living upstreams stay held while it is busy
    And all keys are held again by the living upstreams after it
    And no key was ever held by two upstreams

  Scenario: A leaving upstream gives its keys up and gets no new work
    Given the nodes serve
    When an upstream says that it leaves
    Then it holds no key after a while
    And requests for 30 keys through each node are answered by the others
    And no key was ever held by two upstreams

  Scenario: A lost upstream's keys wait for the end of its hold
    Given the nodes serve
    When an upstream ends
    Then all keys are held again by the living upstreams after it
    And no key was ever held by two upstreams

  Scenario: Orders are carried out but never answered
    Given the nodes serve
    When the orders of an upstream get no answer
    Then all keys are held again by the other upstreams after it
    And no key was ever held by two upstreams

  Scenario: An upstream that joins gets keys
    Given the nodes serve
    When an upstream joins
    Then it holds keys after a while
    And no key was ever held by two upstreams

  Scenario: A frozen leader comes back after another has taken the lead
    Given the nodes serve
    When the leading node is frozen until another leads
    Then requests for 30 keys through the other node are answered
    And the frozen node does not lead when it goes on
    And no key was ever held by two upstreams

  Scenario: Everything is killed at once and starts again
    Given the nodes serve
    When all nodes are killed and started again
    Then requests for 30 keys through each node are answered
    And no key was ever held by two upstreams

  Scenario: An upstream's address goes to another upstream while its entry is still there
    Given the nodes serve
    When another upstream starts at the address of one that ended
    Then all keys are held again by the living upstreams after it
    And no key was ever held by two upstreams

  Scenario: An upstream starts anew under its id and its address
    Given the nodes serve
    When an upstream starts anew under its id and its address
    Then all keys are held again by all upstreams after it
    And no key was ever held by two upstreams
