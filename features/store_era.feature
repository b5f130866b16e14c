Feature: Nothing that depends on an earlier era of the store is used after its return from a copy

  Scenario Outline: The client refuses a call that depends on an earlier era
    Given a client with a revision and a lease of era 0
    When the store returns from a copy and the client learns of it <how>
    And the client makes the call <call>
    Then the call fails since the era has changed

    Examples: the copy has the same revision, and the same lease
      | how                  | call             |
      | from another call    | watch            |
      | from another call    | commit           |
      | from another call    | commit by lease  |
      | from another call    | renew lease      |
      | from another call    | end lease        |
      | from another node    | watch            |
      | from another node    | commit           |
      | from another node    | commit by lease  |
      | from another node    | renew lease      |
      | from its own call    | watch            |
      | from its own call    | commit           |
      | from its own call    | commit by lease  |
      | from its own call    | renew lease      |

  Scenario Outline: The era of a response is read strictly
    Given a store whose responses have the headers <headers>
    When the client reads a key
    Then the read <outcome> and the client knows era <era>

    Examples: a response whose era is not known cannot be used safely
      | headers                        | outcome  | era |
      | none                           | succeeds | 0   |
      | Store-Era: 0                   | succeeds | 0   |
      | Store-Era: 7                   | succeeds | 7   |
      | store-era: 131071              | succeeds | 131071 |
      | Store-Era: 131072              | fails    | 0   |
      | Store-Era: -1                  | fails    | 0   |
      | Store-Era: 1.0                 | fails    | 0   |
      | Store-Era: x                   | fails    | 0   |
      | Store-Era: 2, Store-Era: 3     | fails    | 0   |

  Scenario: A response of an earlier era that was in flight fails its call
    Given a store that answers with era 1 first and with era 0 later
    When the client reads a key twice
    Then the second read fails since the era has changed

  Scenario Outline: Terms and tokens grow with the era and are plain numbers in era 0
    Then the term of revision <revision> in era <era> is <term>
    And after token <highest> the next one in era <era> is <token>

    Examples: the highest ones are below 2^63 and 2^53
      | era    | revision       | term                | highest     | token            |
      | 0      | 41             | 41                  | 0           | 1                |
      | 0      | 41             | 41                  | 17          | 18               |
      | 1      | 41             | 70368744177705      | 17          | 68719476737      |
      | 1      | 41             | 70368744177705      | 68719476740 | 68719476741      |
      | 2      | 3              | 140737488355331     | 68719476740 | 137438953473     |
      | 131071 | 70368744177663 | 9223372036854775807 | 17          | 9007130535264257 |

  # Guards against a key with two owners: grants of an earlier era may be in force for keys that the
  # stored table, or a copy of it, assigns to other upstreams.
  Scenario Outline: A leader continues from a table of an earlier era only if no grant can conflict
    Given a stored table of era 0 with token 5, and grants that expire at second 13
    And the new leader of era 1 holds <own> and a member holds <other>
    Then at second <moment> the leader continues from <table>

    Examples:
      | own                   | other                 | moment | table        |
      | nothing               | nothing               | 12     | nothing yet  |
      | nothing               | nothing               | 14     | token 5      |
      | token 9               | nothing               | 12     | nothing yet  |
      | token 9               | nothing               | 14     | token 9      |
      | token 9               | token 8               | 14     | token 9      |
      | token 8               | token 9               | 14     | token 9      |
      | token 4               | token 3               | 14     | token 5      |
      | last token 9          | nothing               | 0      | token 9      |
      | nothing               | last token 9          | 0      | token 9      |
      | token 8               | last token 9          | 0      | token 9      |
      | last token 9          | token 8               | 0      | token 9      |
      | nothing               | lost token 9          | 14     | token 5      |
      | token 8               | lost last token 9     | 12     | nothing yet  |
      | token 8               | lost last token 9     | 14     | token 8      |
      | last token 9 of era 2 | nothing               | 12     | nothing yet  |
      | nothing               | last token 9 of era 2 | 12     | nothing yet  |

  Scenario Outline: The last leader of an era vouches for its table only if its lease was valid
    Given a leader whose lease was renewed last at second 10
    When the store returns <count> and the leader learns of it at second <moment>
    Then it has stopped leading and its term <is> known as the last one of its era

    Examples: the lease lasts 1.2 s; the store's clock may be 2% fast
      | count | moment | is     |
      | once  | 10.4   | is     |
      | once  | 11.17  | is     |
      | once  | 11.19  | is not |
      | once  | 15     | is not |
      | twice | 10.4   | is not |

  Scenario Outline: A node that holds a table returns it to a leader that asks
    Given a node that holds the table of term 7 with token 9 and <role>
    When a node asks it for its copy and states <stated>
    Then it returns <reply>

    Examples:
      | role             | stated           | reply        |
      | does not lead    | nothing          | nothing      |
      | does not lead    | term 0, token 0  | token 9      |
      | does not lead    | term 7, token 8  | token 9      |
      | does not lead    | term 7, token 9  | nothing      |
      | led in that term | term 0, token 0  | last token 9 |
      | leads            | term 0, token 0  | nothing      |

  # Guards against a configuration that reverts, and against the operator's next write being ignored
  # because its version is lower. Records of the own format state the era of their write (1/6 is
  # version 6 of era 1). Documents of the platform state none: their versions only increase, and one
  # that is lower has been written again, or is from the copy.
  Scenario Outline: A configuration that the store shows after its return does not revert a later one
    When a node applies <configurations>
    Then version <version> of era <era> is in force

    Examples: a list or a write of a version at a revision of an era, or one from another node
      | configurations                                                            | version | era |
      | list 7 at 0.50                                                            | 7       | 0   |
      | list 7 at 0.50, write 6 at 0.51                                           | 7       | 0   |
      | list 7 at 0.50, list 5 at 1.40                                            | 7       | 0   |
      | list 7 at 0.50, list 5 at 1.40, list 5 at 1.40                            | 7       | 0   |
      | list 7 at 0.50, list nothing at 1.40                                      | 7       | 0   |
      | list 7 at 0.50, list 8 at 1.40                                            | 8       | 0   |
      | list 7 at 0.50, list 5 at 1.40, write 1/6 at 1.45                         | 6       | 1   |
      | list 7 at 0.50, list 5 at 1.40, list 1/6 at 1.45                          | 6       | 1   |
      | list 7 at 0.50, list 5 at 1.40, write 1/7 at 1.45                         | 7       | 1   |
      | list 7 at 0.50, list nothing at 1.40, list 1/1 at 1.45                    | 1       | 1   |
      | list 7 at 0.50, list 5 at 1.40, write 1/6 at 1.45, list 7 at 2.42         | 6       | 1   |
      | list 7 at 0.50, list 5 at 1.40, write 1/6 at 1.45, list 7 at 2.42, write 2/4 at 2.43 | 4 | 2   |
      | list 5 at 1.40                                                            | 5       | 0   |
      | list 5 at 1.40, other 7                                                   | 7       | 0   |
      | list 7 at 0.50, other 1/6                                                 | 6       | 1   |
      | list 7 at 0.50, list 5 at 1.40, write 1/6 at 1.45, other 9                | 6       | 1   |

    Examples: the operator writes before the node lists the era
      | configurations                                                            | version | era |
      | list 7 at 0.50, list 1/6 at 1.40                                          | 6       | 1   |
      | list 7 at 0.50, list 1/7 at 1.40                                          | 7       | 1   |
      | list 7 at 0.50, list 1/6 at 1.40, write 1/7 at 1.45                       | 7       | 1   |
      | list 1/6 at 1.45, list 2/6 at 2.42                                        | 6       | 2   |
      | list 7 at 1.40, list 9 at 2.42                                            | 9       | 0   |
      | list 7 at 1.40, write 8 at 1.45, list 9 at 2.42                           | 9       | 0   |

    Examples: the platform's operator writes again what the copy has lost
      | configurations                                                            | version | era |
      | list 7 at 0.50, list 5 at 1.40, write 6 at 1.45                           | 7       | 0   |
      | list 7 at 0.50, list 5 at 1.40, list 6 at 1.45                            | 7       | 0   |
      | list 7 at 0.50, list 5 at 1.40, write 6 at 1.45, write 7 at 1.46          | 7       | 0   |
      | list 7 at 0.50, list 5 at 1.40, write 6 at 1.45, write 9 at 1.46          | 9       | 0   |

  Scenario Outline: Nodes pass on the configuration that is later by era, then by version
    Given a follower that applies <follower> and a leader that applies <leader>
    Then the leader <sends> its configuration

    Examples:
      | follower                          | leader                            | sends         |
      | list 7 at 0.50                    | list 8 at 0.51                    | sends         |
      | list 8 at 0.51                    | list 7 at 0.50                    | does not send |
      | list 7 at 0.50                    | list 5 at 1.40, write 1/6 at 1.45 | sends         |
      | list 5 at 1.40, write 1/6 at 1.45 | list 7 at 0.50                    | does not send |
      | list 9 at 2.42                    | list 7 at 1.40, write 8 at 1.45   | does not send |

  # Guards against requests to an evacuated zone. Which of two states is later cannot be known, so a
  # zone is evacuated if either shows it, until the operator removes the entry.
  Scenario Outline: A return of the store ends no evacuation
    When a node reads these evacuations: <reads>
    Then its evacuated zones are <zones>

    Examples: a complete list, or one entry written or removed, at a revision of an era
      | reads                                                         | zones |
      | list a at 0.50, list - at 0.51                                | -     |
      | list a at 0.50, list - at 1.40                                | a     |
      | list a at 0.50, list - at 1.40, list - at 1.41                | a     |
      | list a at 0.50, list - at 1.40, written b at 1.41             | a b   |
      | list a at 0.50, list - at 1.40, written a at 1.41, removed a at 1.42 | - |
      | list a at 0.50, list - at 1.40, written a at 1.41, list - at 1.42 | - |
      | list a at 0.50, list - at 1.40, removed a at 1.41             | -     |
      | list a at 0.50, list a at 1.40, list - at 1.41                | -     |
      | list a at 0.50, list a at 1.40, removed a at 1.41             | -     |
      | list - at 0.50, list a at 1.40                                | a     |
      | list a at 0.50, list - at 1.40, list - at 2.30                | a     |
      | list - at 1.40, others a at 0.50                              | a     |
      | list - at 1.40, others a at 0.50, written b at 1.41           | a b   |
      | list - at 1.40, others a at 0.50, removed a at 1.41           | -     |
