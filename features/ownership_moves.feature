Feature: How ownership moves between upstreams

  Scenario Outline: The next table of a zone
    Given a table with rows "<rows>" and transits "<transits>"
    When the next table is planned with "<events>"
    Then its rows are "<next rows>" and its transits "<next transits>"

    # u2=new names an upstream without slots; events change what is otherwise quiet and ready.
    Examples:
      | rows            | transits | events                      | next rows           | next transits |
      | u0:0-3 u1:4-7   |          |                             | u0:0-3 u1:4-7       |               |
      | u0:0-3 u1:4-7   |          | lost=u0                     | u1:4-7              | u0:0-3        |
      | u0:0-3 u1:4-7   | u0:      | lost=u0                     | u1:4-7              | u0:0-3        |
      | u0: u1:4-7      | u0:0-3   | lost=u0                     | u1:4-7              | u0:0-3        |
      | u0: u1:4-7      | u0:0-3   | lost=u0 finished=u0         | u1:0-7              |               |
      | u0: u1:4-7      | u0:0-3   | finished=u0                 | u0:0-3 u1:4-7       |               |
      | u0:0-3 u1:4-7   |          | lost=u0,u1                  | u0:0-3 u1:4-7       |               |
      | u0:0-3 u1:4-7   |          | draining=u0                 | u1:4-7              | u0:0-3        |
      | u0:0-3 u1:4-7   |          | draining=u0,u1              |                     | u0:0-3 u1:4-7 |
      | u0:0-7          |          | removed=u0 added=u1         |                     | u0:0-7        |
      | u0: u1:         | u0:0-7   | removed=u0 finished=u0      | u1:0-7              |               |
      | u0: u1:         |          |                             | u0:0-3 u1:4-7       |               |
      | u0: u1:         |          | new=u1                      |                     |               |
      | u0:0-3 u1:      |          | new=u1                      | u0:0-7              |               |
      | u0: u1:         |          | lost=u1                     | u0:0-7              |               |
      | u0:0-7 u1:      |          |                             | u0:0-3              | u0:4-7        |
      | u0:0-7 u1:      |          | max=1                       | u0:0-6              | u0:7          |
      | u0:0-6 u1:      | u0:7     | max=1                       | u0:0-6              | u0:7          |
      | u0:0-6 u1:      | u0:7     | max=1 finished=u0           | u0:0-6 u1:7         |               |
      | u0:0-7 u1:      |          | unsettled=u1                | u0:0-7              |               |
      | u0:0-3 u1:4-7   |          | giving=0-1,7                | u0:2-3 u1:4-6       | u0:0-1 u1:7   |
      | u0:2-4 u1:5-7   |          | giving=0-1                  | u0:2-4 u1:5-7       |               |
      | u0:2-4 u1:5-7   |          | homed=2-7                   | u0:2-4 u1:5-7       |               |
      | u0:0-7 u1:      |          | homed=unknown               | u0:0-7              |               |
      | u0: u1:         | u0:0-7   | homed=unknown finished=u0   |                     |               |

  Scenario Outline: What a row's fence follows
    Given a table with rows "u0:0-3 u1:4-7" and transits ""
    When the next table is planned with "<events>"
    Then the rows with a new fence are "<changed>"

    Examples:
      | events              | changed |
      |                     |         |
      | lost=u0             | u0      |
      | draining=u0         | u0      |
      | lost=u0 finished=u0 | u0      |
      | giving=7            | u1      |
      | dispatchers=d1      |         |
      | sets=d1             |         |

  Scenario Outline: A hot key is pinned apart from its slot, and comes back
    Given a table with rows "u0:0-3 u1:4-7 u2:" and a hot key in the slots of u0
    When the next tables are planned with "<plans>"
    Then the key is <place>

    # Each plan is one of: pin, wait, end (the transit ends), unpin, lose, rest.
    Examples:
      | plans                      | place                                            |
      | rest                       | owned by u0 in its slot                          |
      | pin                        | in transit and excluded at u0                    |
      | pin wait                   | in transit and excluded at u0                    |
      | pin end                    | pinned at u2 and excluded at u0                  |
      | pin end rest               | pinned at u2 and excluded at u0                  |
      | pin end unpin              | in transit and excluded at u0                    |
      | pin end unpin end          | owned by u0 in its slot                          |
      | pin end lose               | in transit and excluded at u0                    |
      | pin end lose end           | owned by u0 in its slot                          |
      | pin end give               | in transit and excluded nowhere                  |

  Scenario Outline: What proves that an upstream released what was taken
    Given something was taken from u0 under fence 2.5
    When its dispatcher reports "<report>"
    Then the transit <verdict>

    Examples:
      | report                              | verdict       |
      | confirmed=2.5 fence=2.5             | has ended     |
      | confirmed=2.6 fence=2.6             | has ended     |
      | confirmed=3.1 fence=3.1             | has ended     |
      | confirmed=2.4 fence=2.5             | has not ended |
      | confirmed=none fence=2.5            | has not ended |
      | confirmed=1.9 fence=2.9             | has not ended |
      | lapsed fence=2.5                    | has ended     |
      | lapsed fence=2.6                    | has ended     |
      | lapsed fence=2.4                    | has not ended |
      | lapsed confirmed=2.4 fence=2.4      | has not ended |
      | unreachable fence=2.5               | has not ended |
      | unreachable lapsed fence=2.5        | has ended     |
      | unreachable lapsed fence=2.4        | has not ended |

  Scenario Outline: Refusals of witnesses stand in for a dispatcher that reports nothing
    Given something was taken from <upstream> under fence 2.5, with witnesses "<sets>"
    When the witnesses answer "<answers>" and <time> s pass
    Then the transit <verdict>

    # Assents lapse after 0.52 s, grants after 1.04 s; an upstream that checks no fences adds the
    # travel of a grant and the longest deadline, 1.3 s.
    Examples:
      | upstream | sets      | answers                 | time | verdict       |
      | u0       | a b c     | a=yes b=yes             | 1.5  | has not ended |
      | u0       | a b c     | a=yes b=yes             | 1.6  | has ended     |
      | u0       | a b c     | a=yes b=lost            | 9.0  | has not ended |
      | u0       | a b c     | a=yes b=replaced        | 1.6  | has ended     |
      | u0       | a b c     | a=yes b=stale           | 9.0  | has not ended |
      | u0       | a b c     | a=lost b=lost           | 9.0  | has not ended |
      | u0       | a b       | a=yes                   | 1.6  | has ended     |
      | u0       | a         | a=yes                   | 1.6  | has ended     |
      | u0       | a b c d e | a=yes b=yes             | 9.0  | has not ended |
      | u0       | a b c d e | a=yes b=yes c=yes       | 1.6  | has ended     |
      | u0       | a b c, d e f | a=yes b=yes          | 9.0  | has not ended |
      | u0       | a b c, d e f | a=yes b=yes d=yes e=yes | 1.6 | has ended   |
      | u1-plain | a b c     | a=yes b=yes             | 2.8  | has not ended |
      | u1-plain | a b c     | a=yes b=yes             | 2.9  | has ended     |

  Scenario Outline: A witness set is handed over to the next
    Given a table with witnesses "<sets>" and live dispatchers "<live>"
    When the witnesses answer "<answers>" and the times "<times>" pass
    Then the witness sets are "<next>"

    Examples:
      | sets       | live    | answers           | times     | next        |
      |            | a b c   |                   | 0.1       |             |
      |            | a b c   |                   | 0.7 0.6   | a b c       |
      |            |         |                   | 0.7 0.7   |             |
      | a b c      | a b c   |                   | 9         | a b c       |
      | a b c      | a b     |                   | 1.9       | a b c       |
      | a b c      | a b     |                   | 2.1       | a b c       |
      | a b c      | a b     |                   | 2.1 0.2   | a b c       |
      | a b c      | a b     |                   | 2.1 0.4   | a b c, a b  |
      | a b c      | a b c d |                   | 0.4       | a b c, a b c d |
      | a b c      | a b c@x |                   | 0.4       | a b c, a b x |
      | a b c      | a b c@x |                   | 0.2       | a b c       |
      | a b c, a b | a b     | a=yes b=yes       | 0.1       | a b c, a b  |
      | a b c, a b | a b     | a=yes b=yes       | 0.5       | a b c, a b  |
      | a b c, a b | a b     | a=yes b=yes       | 0.53      | a b         |
      | a b c, a b | a b     | a=yes c=replaced  | 0.53      | a b         |
      | a b c, a b | a b     | a=yes b=lost      | 9         | a b c, a b  |
      | a b c      |         |                   | 9         | a b c       |

  Scenario Outline: An assigner that hears too few witnesses decides nothing, then gives way
    Given a table with witnesses "<sets>" and live dispatchers "<live>"
    When the assigner listens for <time> s
    Then it <state>

    Examples:
      | sets       | live    | time | state                     |
      | a b c      | a b c   | 9    | hears enough              |
      | a b c      | a b     | 9    | hears enough              |
      | a b c      | a       | 1    | hears too little          |
      | a b c      | a       | 3    | hears too little for long |
      | a b c      | a b@x   | 9    | hears enough              |
      | a b c, a d | a d     | 1    | hears too little          |
      | a b c d e  | a b     | 1    | hears too little          |
      | a b c d e  | a b c   | 1    | hears enough              |
      | a b        | a       | 9    | hears enough              |
      | a          | b       | 1    | hears too little          |
