Feature: The platform adapter converts the platform's names and formats

  Scenario: A configuration is decoded into routes, services and limits
    When this configuration is decoded
      """
      {"version": "r7", "routes": {
        "r-a": {"host": "Shop.Example", "prefix": "/a/", "route_type": "safe", "timeout": "1000ms",
                "aim": "0.5s", "priority": 1, "max_attempts": 2,
                "traffic_split": [{"service": "one", "weight": 90}, {"service": "two", "weight": 10}]},
        "r-b": {"host": "shop.example", "prefix": "/a/b/", "route_type": "unsafe", "timeout": "1.2s",
                "aim": "250ms", "priority": 0, "max_attempts": 1, "service": "two", "new_field": 4}},
       "services": {"one": {"health_path": "/h", "max_conns": 130, "sharded": true, "warm": "5s"},
                    "two": {"health_path": "/h", "max_conns": 42}},
       "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000, "header_timeout": "3000ms",
                  "idle_timeout": "15s"}}
      """
    Then its version is 7
    And the routes are
      | path    | route | idempotent | timeout s | aim s | rank | upstreams | services  |
      | /a/x    | r-a   | yes        | 1.0       | 0.5   | 1    | 2         | one, two  |
      | /a/b/x  | r-b   | no         | 1.2       | 0.25  | 0    | 1         | two       |
      | /a/bx/y | r-a   | yes        | 1.0       | 0.5   | 1    | 2         | one, two  |
      | /c/x    | none  |            |           |       |      |           |           |
    And the sharded services are one

  Scenario Outline: A malformed configuration is rejected with the name of the field
    When a configuration is decoded in which <part> is <value>
    Then the configuration is rejected at <field>

    Examples:
      | part                  | value       | field           |
      | version               | "7"         | version         |
      | version               | "r"         | version         |
      | routes                | []          | routes          |
      | routes.r-a.timeout    | 1000        | routes.r-a      |
      | routes.r-a.timeout    | "1000"      | routes.r-a      |
      | routes.r-a.timeout    | "1000000001s" | routes.r-a    |
      | routes.r-a.timeout    | "٣s"        | routes.r-a      |
      | routes.r-a.priority   | -1          | routes.r-a      |
      | routes.r-a.service    | null        | routes.r-a      |
      | limits.idle_timeout   | "soon"      | limits          |

  Scenario Outline: An entry that does not describe a usable upstream is rejected
    When an entry is decoded in which <part> is <value>
    Then the entry <result>

    Examples:
      | part        | value            | result                   |
      | seq         | 9                | is of a ready upstream   |
      | state       | "draining"       | is of a leaving upstream |
      | born        | 17.5             | is rejected              |
      | born        | 1786088844109    | is of a ready upstream   |
      | born        | -1               | is rejected              |
      | born        | true             | is rejected              |
      | warmup_left | "3s"             | is of a ready upstream   |
      | warmup_left | "3601s"          | is rejected              |
      | state       | "resting"        | is rejected              |
      | slots       | "2"              | is rejected              |
      | slots       | 0                | is rejected              |
      | slots       | true             | is rejected              |
      | slots       | 10001            | is rejected              |
      | address     | "10.0.0.1"       | is rejected              |
      | address     | "10.0.0.1:99999" | is rejected              |
      | address     | "10.0.0.1:080"   | is rejected              |
      | address     | "host:80"        | is rejected              |
      | service     | null             | is rejected              |
      | zone        | 4                | is rejected              |
      | zone        | ""               | is rejected              |

  Scenario Outline: A response of an upstream is classified by its status and headers
    When upstream u1 responds to request r1 with <status> and <headers>
    Then the response is classified as <result>

    Examples: guarantees that do not come from the upstream are not passed on
      | status | headers                                     | result    |
      | 200    | Attempt-Id: r1, Response-Seal: s            | answered  |
      | 200    | Attempt-Id: r1                              | failed    |
      | 200    | Response-Seal: s                            | failed    |
      | 200    | Attempt-Id: r2, Response-Seal: s            | foreign   |
      | 404    | Attempt-Id: r1, Response-Seal: s            | answered  |
      | 500    | Attempt-Id: r1                              | answered  |
      | 503    | Attempt-Id: r1, Not-Executed: 1             | not run   |
      | 503    | Attempt-Id: r1                              | failed    |
      | 429    | Attempt-Id: r1                              | failed    |
      | 421    | Content-Type: text/plain                    | not owner |
      | 421    | Instance-Id: u1                             | not owner |
      | 421    | Instance-Id: u2                             | replaced  |
      | 200    | Attempt-Id: r1, Response-Seal: s, Content-Encoding: gzip | failed |

  Scenario Outline: A response states that its upstream is leaving
    When upstream u1 responds to request r1 with <status> and <headers>
    Then the response states that the upstream is <state>

    Examples:
      | status | headers                  | state   |
      | 200    | Server-Leaving: 1        | leaving |
      | 200    | server-leaving: 1        | leaving |
      | 503    | Server-Leaving: 1        | leaving |
      | 421    | Server-Leaving: 1        | leaving |
      | 200    | Attempt-Id: r1           | staying |
      | 200    | Server-Leaving: 0        | staying |
      | 200    | Server-Leaving: 11       | staying |
      | 200    | Server-Leaving: true     | staying |
      | 200    | Server-Leaving:          | staying |
      | 200    | X-Server-Leaving: 1      | staying |

  Scenario Outline: A refusal states for how long its upstream wants no requests
    When upstream u1 responds to request r1 with <status> and <headers>
    Then the upstream wants no requests for <seconds> s

    Examples: only a 503 states it, and malformed values are ignored
      | status | headers                         | seconds |
      | 503    | Retry-After: 2                  | 2.0     |
      | 503    | retry-after: 0.25               | 0.25    |
      | 503    | Retry-After: 2, Not-Executed: 1 | 2.0     |
      | 503    | Retry-After: 86400              | 86400.0 |
      | 503    | Retry-After: 0                  | 0.0     |
      | 503    | Not-Executed: 1                 | no      |
      | 200    | Retry-After: 2                  | no      |
      | 421    | Retry-After: 2                  | no      |
      | 429    | Retry-After: 2                  | no      |
      | 503    | Retry-After: -1                 | no      |
      | 503    | Retry-After: soon               | no      |
      | 503    | Retry-After: nan                | no      |
      | 503    | Retry-After: inf                | no      |
      | 503    | Retry-After: 1e999              | no      |
      | 503    | Retry-After: 1_0                | no      |
      | 503    | Retry-After: ١                  | no      |
      | 503    | Retry-After: .                  | no      |
      | 503    | Retry-After:                    | no      |

  Scenario Outline: A grant or release received by another upstream reports that the intended one has terminated
    Given an upstream <kind> at the address of u1, which has terminated
    When keys are <call> u1
    Then the call reports that u1 has terminated

    Examples:
      | kind         | call          |
      | with keys    | granted to    |
      | with keys    | released from |
      | without keys | granted to    |
      | without keys | released from |

  Scenario Outline: Hop-by-hop headers and forged headers are not forwarded
    When a request goes to upstream u1 with 800 ms left and these headers
      | name            | value         |
      | Host            | shop.example  |
      | <id name>       | <id>          |
      | Shard-Key       | <key>         |
      | Deadline-Ms     | 99999         |
      | Expect-Instance | other         |
      | Connection      | close, X-Hop  |
      | X-Hop           | 1             |
      | X-Own           | 2             |
    Then the upstream receives these headers
      | name            | value        |
      | Host            | shop.example |
      | X-Own           | 2            |
      | Attempt-Id      | r1           |
      | Shard-Key       | 7            |
      | Deadline-Ms     | 800          |
      | Expect-Instance | u1           |

    Examples: the request has id r1 and key 7, regardless of its headers
      | id name    | id     | key |
      | Attempt-Id | r1     | 7   |
      | attempt-id | forged | 9   |
