Feature: The overload policy of a node, and what follows from it between nodes and callers

  Scenario Outline: The settings select the overload policy
    Given node settings with the interface <interface>, <policy> and <contracts>
    Then the overload policy is <effective>

    Examples: guards against new behaviour in deployments that do not ask for it
      | interface | policy  | contracts              | effective |
      | platform  | none    | none                   | by-slack  |
      | platform  | none    | null                   | by-slack  |
      | platform  | none    | []                     | by-slack  |
      | platform  | none    | ["unknown"]            | by-slack  |
      | platform  | none    | [1, null, {}]          | by-slack  |
      | platform  | none    | ["unknown","pressure"] | by-cost   |
      | platform  | by-slack| ["pressure"]           | by-slack  |
      | platform  | by-cost | none                   | by-cost   |
      | own       | none    | ["pressure"]           | by-slack  |
      | own       | by-cost | none                   | by-cost   |

  Scenario Outline: Settings that cannot be meant are rejected
    Given a settings file with <field>
    Then it is rejected with a message that names <name>

    Examples:
      | field                          | name            |
      | "overload_policy": "by-luck"   | overload_policy |
      | "contracts": "pressure"        | contracts       |

  Scenario Outline: The time until the deadline of the caller passes between nodes
    Given a request whose caller waits <waits>
    When it is sent to another node 100 ms later
    Then that node knows that the caller waits <left>

    Examples: guards against mistaking the route's timeout for it, and against earlier builds
      | waits       | left        |
      | 2543 ms     | 2443 ms     |
      | unstated ms | unstated ms |

  Scenario: A by-cost sender refuses what cannot end in time, at once and as not run
    Given a by-cost sender with 1 slot, which is in use
    When a request that has 50 ms is sent, whose caller waits 3000 ms
    Then it is refused with TOO_LATE and a Retry-After of at most 1000 ms
    And the upstream has not got it

  Scenario: A displaced request is answered as not run
    Given a request that was displaced and may return after 250 ms
    Then its caller gets 503, TOO_LATE and a Retry-After of 0.25 s
    And the detail names the reason

  Scenario Outline: A request that an upstream sheds gets a Retry-After by the policy
    Given a <policy> sender whose upstream refuses each request with "<refusal>"
    When a request that has 1000 ms is sent, whose caller waits 3000 ms
    Then it is refused with REFUSED_BY_UPSTREAM and a Retry-After of <least> to <most> ms

    Examples: guards against callers that return too late for their objective
      | policy   | refusal                                                | least | most |
      | by-slack | 503 Service Unavailable, Not-Executed: 1               | 400   | 400  |
      | by-cost  | 503 Service Unavailable, Not-Executed: 1               | 20    | 50   |
      | by-cost  | 503 Service Unavailable, Not-Executed: 1, Retry-After: 2 | 1900 | 2000 |

  Scenario Outline: A second group is tried only if the first one alone is short
    Given the groups A, B and C of a service have lately answered <outcomes>
    When A refuses a request <later> ms later
    Then another group is <tried>

    Examples: + served, - refused; guards against doubling the load of a service that is short
      | outcomes                | later | tried     |
      | nothing                 | 0     | tried     |
      | A- A- A-                | 0     | tried     |
      | A- B+ C+                | 0     | tried     |
      | A- B- C-                | 0     | not tried |
      | A- B- B+ C- C+          | 0     | not tried |
      | A- B- B+ B+ B+ C+ C+ C+ | 0     | tried     |
      | A- B- C-                | 5000  | tried     |

  Scenario Outline: The forwarder asks which groups are short
    Given a node with 12 upstreams in groups that all refuse requests, with the policy <policy>
    When 3 requests are forwarded
    Then the groups have got <attempts> requests

    Examples: the first request finds out
      | policy   | attempts |
      | by-slack | 6        |
      | by-cost  | 4        |

  Scenario: Operators see the decisions
    Given decisions about requests of 2 services
      | service | rank | decision  | count |
      | T       | 0    | admitted  | 3     |
      | T       | 1    | refused   | 2     |
      | T       | 1    | displaced | 1     |
      | L       | 2    | delayed   | 4     |
    When they are logged
    Then the metric foxtailshunt_admission_total has these counts by rank and decision
    And there is one line, for T, with the counts of each of its ranks
    And nothing is logged the next time

  Scenario: A node with the policy by-cost serves callers, and shows its decisions
    Given a node with the overload policy by-cost in front of an upstream without keys
    When 40 callers send a request at once
    Then each of them gets a response, or a refusal as not run with a Retry-After time
    And some of them get a response
    And the node's metrics count the decisions, and its log names the policy
