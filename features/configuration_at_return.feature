Feature: What the operator wrote last is in force at every node after the store has returned from a copy

  # Guards against a configuration that the operator writes before a node lists the new era, and that
  # the node takes for one from the copy, in era 1 and later; and against one that reverts.
  Scenario Outline: <format>, in force in era <era>: the operator writes <version>
    Given a store of era <era> and a leader, a follower and a fresh node without a network
    And the operator's format is <format>, and the next version after the return is <version>
    When the store returns, and the operator writes <moment>, in every order of the nodes' reads
    Then each node has the last write in force, and none went back to an earlier one

    Examples: the operator's command counts on from the copy
      | format   | era | version    | moment                    |
      | own      | 0   | higher     | before a node lists       |
      | own      | 0   | higher     | after each node listed    |
      | own      | 0   | higher     | in both                   |
      | own      | 0   | higher     | between the reads         |
      | own      | 0   | equal      | before a node lists       |
      | own      | 0   | equal      | after each node listed    |
      | own      | 0   | equal      | in both                   |
      | own      | 0   | equal      | between the reads         |
      | own      | 0   | lower      | before a node lists       |
      | own      | 0   | lower      | after each node listed    |
      | own      | 0   | lower      | in both                   |
      | own      | 0   | lower      | between the reads         |
      | own      | 1   | higher     | before a node lists       |
      | own      | 1   | higher     | after each node listed    |
      | own      | 1   | higher     | in both                   |
      | own      | 1   | higher     | between the reads         |
      | own      | 1   | equal      | before a node lists       |
      | own      | 1   | equal      | after each node listed    |
      | own      | 1   | equal      | in both                   |
      | own      | 1   | equal      | between the reads         |
      | own      | 1   | lower      | before a node lists       |
      | own      | 1   | lower      | after each node listed    |
      | own      | 1   | lower      | in both                   |
      | own      | 1   | lower      | between the reads         |
      | own      | 2   | higher     | between the reads         |
      | own      | 2   | equal      | between the reads         |
      | own      | 2   | lower      | before a node lists       |
      | own      | 2   | lower      | after each node listed    |
      | own      | 2   | lower      | in both                   |
      | own      | 2   | lower      | between the reads         |

    Examples: versions of the platform increase; those that the copy has lost are written again
      | format   | era | version    | moment                    |
      | platform | 0   | higher     | before a node lists       |
      | platform | 0   | higher     | after each node listed    |
      | platform | 0   | higher     | in both                   |
      | platform | 0   | higher     | between the reads         |
      | platform | 0   | lost ones  | in both                   |
      | platform | 0   | lost ones  | twice after that          |
      | platform | 1   | higher     | before a node lists       |
      | platform | 1   | higher     | after each node listed    |
      | platform | 1   | higher     | in both                   |
      | platform | 1   | higher     | between the reads         |
      | platform | 1   | lost ones  | in both                   |
      | platform | 1   | lost ones  | twice after that          |
      | platform | 2   | higher     | before a node lists       |
      | platform | 2   | higher     | after each node listed    |
      | platform | 2   | higher     | in both                   |
      | platform | 2   | higher     | between the reads         |
      | platform | 2   | lost ones  | in both                   |
      | platform | 2   | lost ones  | twice after that          |

  # Guards against a node that starts after the return and goes back to the leader's version.
  Scenario: A fresh node keeps a newer version than that of a leader that cannot read the store
    Given a store of era 1 and a leader, a follower and a fresh node without a network
    And the operator's format is platform, and the next version after the return is higher
    When the store returns, the operator writes, and the fresh node lists and polls the leader
    Then the fresh node has the last write in force, and none went back to an earlier one

  # Guards against a leader that responds at once to each poll of a node that is ahead of it.
  Scenario: A leader waits for a change if the follower knows a later version
    Given a leader that has version 7 and a follower that knows version 9
    When the follower polls the leader for 0.2 s
    Then the leader did not send its configuration, and had waited for a change

  # Guards against a command that reports success while its file is in force nowhere.
  Scenario: The operator applies the content that the copy holds, while a later one is in force
    Given a store of era 0 and a leader, a follower and a fresh node without a network
    And the operator's format is own, and the next version after the return is lower
    When the store returns, and the operator applies the content of the copy
    Then each node has the content of the copy in force
    When the operator applies the same content again
    Then the store has no new version

  # Guards against an evacuation that stays in force although the operator took it back before a node
  # listed the entries again, and against the end of one whose entry is only lost.
  Scenario Outline: An evacuation ends with its removal, also before a node lists the new era
    Given a store of era <era> and a leader, a follower and a fresh node without a network
    And the operator's format is platform, and the next version after the return is higher
    When these events happen: <events>
    Then the leader and the follower evacuate <zones>

    Examples: the nodes read, the operator evacuates zone-b and takes that back, n other writes
      | era | events                                                                   | zones  |
      | 0   | evacuate, read, copy, return, take back, read                            | none   |
      | 1   | evacuate, read, copy, return, take back, read                            | none   |
      | 0   | evacuate, read, copy, return, take back, leader reads, follower polls    | none   |
      | 0   | evacuate, read, copy, 30 writes, read, return, take back, read           | none   |
      | 0   | evacuate, read, 9 writes, read, compact, copy, return, take back, read   | none   |
      | 0   | copy, evacuate, read, return, evacuate, take back, read                  | none   |
      | 0   | copy, evacuate, read, return, read, evacuate, read, take back, read      | none   |
      | 0   | evacuate, read, copy, return, read, copy, return, take back, read        | none   |
      | 0   | copy, evacuate, read, return, return, evacuate, take back, read          | none   |
      | 0   | evacuate c, copy, take back c, evacuate, read, return, 9 writes, evacuate, take back, read | zone-c |

    Examples: an entry that is lost, or written again
      | era | events                                                                   | zones  |
      | 0   | evacuate, read, copy, return, read                                       | zone-b |
      | 0   | copy, evacuate, read, return, read                                       | zone-b |
      | 0   | copy, evacuate, read, return, 9 writes, read                             | zone-b |
      | 0   | evacuate, read, copy, return, take back, evacuate, read                  | zone-b |
      | 0   | evacuate, take back, read, copy, evacuate, read, return, read            | zone-b |
      | 0   | evacuate, take back, copy, evacuate, read, return, 9 writes, read        | zone-b |
      | 0   | read, evacuate, take back, copy, evacuate, leader reads, follower polls, return, read | zone-b |

    Examples: which of both it is cannot be known without the store's history
      | era | events                                                                   | zones  |
      | 0   | evacuate, read, copy, return, take back, compact, read                   | zone-b |
      | 0   | copy, 30 writes, evacuate, read, return, evacuate, take back, read       | zone-b |
