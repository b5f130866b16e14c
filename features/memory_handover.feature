Feature: The memory of requests goes with what is handed over

  Scenario: Most witnesses name the sender before
    Given dispatchers a, b, c that list a, b, c for u1 with witnesses abc
    When these requests for assent are made
      | at   | event    | holds |
      | 0    | a asks a | none  |
      | 0    | a asks b | a     |
      | 0.75 | b asks b | none  |
      | 0.75 | b asks c | b     |
    Then the sender before dispatcher b is unknown
    When these requests for assent are made
      | at   | event    | holds |
      | 0.75 | b asks a | b     |
    Then the sender before dispatcher b is a
    When these requests for assent are made
      | at  | event    | holds |
      | 0.8 | b asks a | b     |
      | 0.8 | b asks b | b     |
    Then the sender before dispatcher b is a
    When these requests for assent are made
      | at  | event | holds |
      | 1.3 |       | none  |
    Then the sender before dispatcher b is unknown

  Scenario: A sender in between is named instead
    Given dispatchers a, b, c that list a, b, c for u1 with witnesses abc
    When these requests for assent are made
      | at   | event    | holds |
      | 0    | a asks a | none  |
      | 0    | a asks b | a     |
      | 0    | a asks c | a     |
      | 0.75 | b asks b | none  |
      | 0.75 | b asks c | b     |
      | 1.8  | c asks c | none  |
      | 1.8  | c asks a | c     |
    Then the sender before dispatcher c is unknown
    When these requests for assent are made
      | at  | event    | holds |
      | 1.8 | c asks b | c     |
    Then the sender before dispatcher c is b

  Scenario: One that asked in between without a majority does not matter
    Given dispatchers a, b, c that list a, b, c for u1 with witnesses abc
    When these requests for assent are made
      | at   | event    | holds |
      | 0    | a asks a | none  |
      | 0    | a asks b | a     |
      | 0    | a asks c | a     |
      | 0.75 | b asks c | none  |
      | 2    | c asks c | none  |
      | 2    | c asks a | c     |
    Then the sender before dispatcher c is unknown
    When these requests for assent are made
      | at | event    | holds |
      | 2  | c asks b | c     |
    Then the sender before dispatcher c is a

  Scenario Outline: Each witness set must name it
    Given dispatchers a, b, c, d, e that list a, b, c, d, e for u1 with witnesses abc
    When these requests for assent are made
      | at   | event               | holds |
      | 0    | a asks a            | none  |
      | 0    | a asks b            | a     |
      | 0    | a takes 1.6 abc+cde | none  |
      | 0    | a asks c            | none  |
      | 0    | a asks <witness>    | <now> |
      | 0    | a asks d            | a     |
      | 0.7  | b takes 1.6 abc+cde | none  |
      | 0.75 | b asks b            | none  |
      | 0.75 | b asks a            | none  |
      | 0.75 | b asks e            | none  |
      | 0.75 | b asks d            | b     |
    Then the sender before dispatcher b is <before>

    Examples:
      | witness | now  | before  |
      | e       | a    | a       |
      | b       | none | unknown |

  Scenario Outline: A repeat at the next dispatcher
    Given a dispatcher of one upstream
    When a request of issue comes
    And the upstream is handed over to the next dispatcher <how>
    Then the next dispatcher answers the same request with <code> after <sends> sends

    Examples:
      | how                             | code             | sends |
      | in order                        | OK_REPEATED      | 0     |
      | without its memory              | MEMORY_TOO_YOUNG | 0     |
      | after a gap of the right        | OK_REPEATED      | 0     |
      | after the right has lapsed      | MEMORY_TOO_YOUNG | 0     |
      | and was asked before by another | MEMORY_TOO_YOUNG | 0     |
      | with fewer witness sets         | MEMORY_TOO_YOUNG | 0     |
      | with more witness sets          | OK_REPEATED      | 0     |
      | and takes it back               | MEMORY_TOO_YOUNG | 0     |
      | with another row                | OK_REPEATED      | 0     |

  Scenario Outline: What the first request left behind
    Given a dispatcher of one upstream
    And the upstream answers <attempts> and cancellations with unknown
    When a request of issue comes
    And the upstream is handed over to the next dispatcher in order
    Then the next dispatcher answers the same request with <code> after <sends> sends

    Examples:
      | attempts  | code                     | sends |
      | ran       | OK_REPEATED              | 0     |
      | lost      | UPSTREAM_CONNECTION_LOST | 0     |
      | cancelled | OK                       | 1     |

  Scenario Outline: A request whose first attempt never came
    Given a dispatcher of one upstream
    When the upstream is handed over to the next dispatcher <how>
    Then the next dispatcher answers the same request with <code> after <sends> sends

    Examples:
      | how                             | code             | sends |
      | in order                        | OK               | 1     |
      | with more witness sets          | OK               | 1     |
      | without its memory              | MEMORY_TOO_YOUNG | 0     |
      | after a gap of the right        | MEMORY_TOO_YOUNG | 0     |
      | after the right has lapsed      | MEMORY_TOO_YOUNG | 0     |
      | and was asked before by another | MEMORY_TOO_YOUNG | 0     |
      | with fewer witness sets         | MEMORY_TOO_YOUNG | 0     |
      | and takes it back               | MEMORY_TOO_YOUNG | 0     |
      | with another row                | MEMORY_TOO_YOUNG | 0     |
      | in time for the next row        | OK               | 1     |
      | too late for the next row       | MEMORY_TOO_YOUNG | 0     |

  Scenario: Another request under a known id is refused
    Given a dispatcher of one upstream
    When a request of issue comes
    And the upstream is handed over to the next dispatcher in order
    Then the next dispatcher answers another request of its id with BAD_REQUEST after 0 sends

  Scenario: A request that has not ended is not handed over
    Given a dispatcher of one upstream
    And a request of issue is at the upstream
    When the upstream is given up
    Then its memory is refused with STILL_RUNNING

  Scenario Outline: The size of what is handed over is bounded
    Given a dispatcher of one upstream
    When <count> requests are remembered with answers of <size> bytes
    And the upstream is given up
    Then its memory is refused with <code>

    Examples:
      | count | size   | code      |
      | 2     | 900000 | ACCEPTED  |
      | 4     | 900000 | OVERSIZED |

  Scenario: A request older than the memory waits for the memory that is on its way
    Given a dispatcher of one upstream
    When a request of issue comes
    And the next dispatcher has the upstream, and the same request comes before the memory
    Then it is answered with OK_REPEATED after 0 sends

  Scenario: The wait for the memory is bounded
    Given a dispatcher of one upstream
    When a request of issue comes
    And the next dispatcher has the upstream, and the memory does not come
    Then it is answered with MEMORY_TOO_YOUNG after 0 sends

  # Seen since 1000 at u0, which has slots 0-3. The number of an event is the fence of a row.
  Scenario Outline: The memory of a slot goes with it to another upstream
    Given one dispatcher for u0 with slots 0-3 and u1 with slots 4-7
    When these events happen to slot 3: <events>
    Then the memory of slot 3 at u1 <result>

    Examples:
      | events                                              | result       |
      | u0 loses 5, u1 gains 6, arrives 5 6                 | goes on      |
      | u0 loses 5, u1 gains 6                              | starts anew  |
      | u0 loses 5, u1 changes 6, u1 gains 7, arrives 5 7   | goes on      |
      | u0 loses 5, u0 changes 7, u1 gains 6, arrives 5 6   | goes on      |
      | u0 loses 5, u1 gains 7, arrives 5 6                 | goes on      |
      | u0 loses 5, u1 gains 6, u1 changes 8, arrives 5 6   | goes on      |
      | u0 lapses, u0 loses 5, u1 gains 6, arrives 5 6      | starts anew  |
      | u0 loses 5, u0 lapses, u1 gains 6, arrives 5 6      | starts anew  |
      | u0 loses 5, u1 lapses, u1 gains 6, arrives 5 6      | goes on      |
      | u0 loses 5, u1 gains 6, u1 lapses, arrives 5 6      | starts anew  |
      | u0 loses 5, u1 pauses, u1 gains 6, arrives 5 6      | starts anew  |
      | u0 loses 5, u1 gains 6, u1 pauses, arrives 5 6      | starts anew  |
      | u0 loses 5, u0 gains 6, u1 gains 7, arrives 5 7     | starts anew  |
      | u0 loses 5, u1 gains 6, arrives 6 6                 | starts anew  |
      | u0 loses 5, u1 gains 7, u1 loses 8, u1 gains 9, arrives 5 7 | starts anew |

  Scenario Outline: The memory of a slot goes with it after its first upstream got another sender
    Given one dispatcher for u0 with slots 0-3 and u1 with slots 4-7
    When these events happen to slot 3: <events>
    Then the memory of slot 3 at u1 <result>

    Examples:
      | events                                                          | result      |
      | u0 loses 5, u0 is handed over, u1 gains 6, arrives 5 6          | goes on     |
      | u0 is handed over, u0 loses 5, u1 gains 6, arrives 5 6          | goes on     |
      | u0 is handed over across 5, u1 gains 6, arrives 5 6             | goes on     |
      | u0 loses 5, u0 is handed over across 7, u1 gains 6, arrives 5 6 | goes on     |
      | u0 loses 5, u0 lapses, u0 is handed over, u1 gains 6, arrives 5 6 | starts anew |

  Scenario Outline: The table names where slots came from
    Given a table with rows "<rows>" and transits "<transits>"
    When the next table is planned with "<events>"
    And the table after it is planned with "<then>"
    Then its arrivals are "<arrivals>"
    And its document gives the same arrivals

    Examples:
      | rows          | transits | events                 | then       | arrivals     |
      | u0: u1:4-7    | u0:0-3   | lost=u0 finished=u0    | lost=u0    | u0>u1:0-3    |
      | u0: u1:4-7    | u0:0-3   | lost=u0 finished=u0    | lost=u0 giving=2 | u0>u1:0-1 3 |
      | u0: u1:4-7    | u0:0-3   | lost=u0 finished=u0    | lost=u0 draining=u1 |  |
      | u0: u1:4-7    | u0:0-3   | lost=u0,u1 finished=u0 | lost=u0    |              |
      | u0: u1:4-7    | u0:0-3   | finished=u0            | max=1      | u0>u0:0-3    |
      | u0:0-3 u1:4-7 |          | lost=u0                | lost=u0    |              |
      | u0: u1:       |          | max=16                 | max=16     |              |

  Scenario: A table without arrivals is read
    Given a table with rows "u0:0-3 u1:4-7" and transits ""
    When the next table is planned with ""
    Then its document without arrivals gives none
