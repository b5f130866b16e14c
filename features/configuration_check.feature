Feature: check reports errors, entries without effect, contradictory limits and differences

  Scenario Outline: Findings in a file of the own format: <field> <value>
    Given a configuration file with <field> set to <value>
    When the operator runs "check FILE --json"
    Then the exit code is <code> and the findings are "<findings>"

    Examples: valid
      | field                              | value                    | code | findings |
      | fleet                              | "test"                   | 0    | |
      | services.0.floors                  | {"deferrable": 0}        | 0    | |
      | services.0.floors                  | {"careful": 0.3}         | 0    | |
      | services.0.operations.0.aim_ms     | 1000                     | 0    | |
      | services.0.operations.0.max_upstreams | 1                     | 0    | |
      | services.0.operations.2.path       | "/k/{key}/{any}"         | 0    | |

    Examples: without effect
      | field                              | value                    | code | findings |
      | services.0.operations.2.path       | "/ü/{key}"               | 5    | no-effect unmatchable-route services.desk.operations.pay |
      | services.0.operations.2.path       | "/{key}/{line"           | 5    | no-effect unclosed-placeholder services.desk.operations.pay.path |
      | services.0.floors                  | {"deferrable": 0.1}      | 5    | no-effect unused-floor services.desk.floors.deferrable |
      | zones                              | ["wanaka", "twizel"]     | 5    | no-effect unused-zone zones.twizel |
      | services.0.operations              | [{"name": "a", "method": "GET", "path": "/ü/{key}", "rank": "urgent", "idempotent": true, "deadline_ms": 10}] | 5 | no-effect unmatchable-route services.desk.operations.a, no-effect unrouted-service services.desk |

    Examples: contradictory
      | field                              | value                    | code | findings |
      | services.0.operations.0.aim_ms     | 1001                     | 5    | contradiction objective-above-timeout services.desk.operations.get.aim_ms |
      | services.0.operations.0.max_upstreams | 2                     | 5    | contradiction attempts-above-upstreams services.desk.operations.get.max_upstreams |

    Examples: invalid
      | field                              | value                    | code | findings |
      | services.0.floors                  | {"careful": 0.8, "deferrable": 0.3} | 2 | error invalid services.0.floors |
      | services.0                         | {"keyed": 1}             | 2    | error invalid services.0.name, error invalid services.0.keyed, error invalid services.0.upstreams, error invalid services.0.operations |

  Scenario Outline: Findings in a document of the platform's format: <field> <value>
    Given a platform configuration with <field> set to <value>
    When the operator runs "check FILE --json"
    Then the exit code is <code> and the findings are "<findings>"

    Examples: valid
      | field                         | value          | code | findings |
      | version                       | "r7"           | 0    | |
      | routes.r-a.prefix             | "/b/c/"        | 0    | |
      | routes.r-a.aim                | "1s"           | 0    | |
      | routes.r-a.allowed_regions    | ["north"]      | 0    | |
      | services.one.warmup           | "3s"           | 0    | |

    Examples: without effect
      | field                         | value          | code | findings |
      | routes.r-a.prefix             | "/b/"          | 5    | no-effect hidden-route routes.r-a, no-effect unrouted-service services.one |
      | routes.r-b.host               | "SHOP.example:80" | 5 | no-effect unmatchable-route routes.r-b, no-effect unrouted-service services.two |
      | routes.r-b.prefix             | "/b"           | 5    | no-effect unmatchable-route routes.r-b, no-effect unrouted-service services.two |
      | routes.r-b.prefix             | "b/"           | 5    | no-effect unmatchable-route routes.r-b, no-effect unrouted-service services.two |
      | routes.r-b.prefix             | "/b?/"         | 5    | no-effect unmatchable-route routes.r-b, no-effect unrouted-service services.two |
      | services.three                | {}             | 5    | no-effect unrouted-service services.three |
      | routes.r-b.traffic_split      | [{"service": "one", "weight": 1}, {"service": "two", "weight": 0}] | 5 | no-effect ignored-value routes.r-b.service, no-effect unrouted-service services.two |
      | routes.r-a.allowed_regions    | [""]           | 5    | no-effect ignored-value routes.r-a.allowed_regions, no-effect unknown-region routes.r-a.allowed_regions |
      | services.one.warmup_per_s     | "5"            | 5    | no-effect ignored-value services.one.warmup_per_s |

    Examples: contradictory
      | field                         | value          | code | findings |
      | routes.r-a.aim                | "1001ms"       | 5    | contradiction objective-above-timeout routes.r-a.aim |
      | routes.r-a.timeout            | "0s"           | 5    | contradiction zero-timeout routes.r-a.timeout |
      | limits.idle_timeout           | "0s"           | 5    | contradiction zero-timeout limits.idle_timeout |
      | services.one.warmup_per_s     | 5              | 5    | contradiction rate-without-warmup services.one |
      | routes.r-a.service            | "four"         | 5    | no-effect unrouted-service services.one, contradiction undefined-service routes.r-a |
      | routes.r-a                    | {"host": "h", "prefix": "/", "route_type": "safe", "timeout": "1s", "aim": "1s", "priority": 0, "max_attempts": 1, "traffic_split": [{"service": "one", "weight": 0}]} | 5 | contradiction no-weight routes.r-a |

    Examples: invalid
      | field                         | value          | code | findings |
      | version                       | "7"            | 2    | error invalid version |
      | routes                        | -              | 2    | error invalid routes |
      | routes.r-a.service            | -              | 2    | error invalid routes.r-a |
      | routes.r-a                    | {"timeout": 1, "host": "h", "prefix": "/", "route_type": "safe", "aim": "1s", "priority": -1, "max_attempts": 1} | 2 | error invalid routes.r-a.timeout, error invalid routes.r-a.priority |

  Scenario Outline: Regions are checked against those of the settings: <regions>
    Given a store and a valid configuration file
    And settings of a node in the region "north" with the zone "lake" in "south"
    And a platform configuration with routes.r-a.allowed_regions set to <regions>
    When the operator runs "check FILE --settings SETTINGS --json"
    Then the exit code is <code> and the findings are "<findings>"

    Examples:
      | regions            | code | findings                                                |
      | ["north", "south"] | 0    |                                                         |
      | ["south", "west"]  | 5    | no-effect unknown-region routes.r-a.allowed_regions     |

  Scenario Outline: The router does not use routes that are reported as hidden or unmatchable: <field> <value>
    Given a platform configuration with <field> set to <value>
    Then a request of "<host>" for "<target>" is routed to <route>

    Examples: guards against a check that differs from the router
      | field             | value             | host            | target | route |
      | version           | "r7"              | shop.example    | /a/x   | r-a   |
      | routes.r-a.prefix | "/b/"             | shop.example    | /b/x   | r-b   |
      | routes.r-a.host   | "SHOP.example"    | shop.example    | /a/x   | r-a   |
      | routes.r-b.host   | "shop.example:80" | shop.example:80 | /b/x   | none  |
      | routes.r-b.prefix | "/b"              | shop.example    | /b     | none  |
      | routes.r-b.prefix | "b/"              | shop.example    | /b/    | none  |
      | routes.r-b.prefix | "/b?/"            | shop.example    | /b?/x  | none  |

  Scenario: A name that occurs twice in an object is found, since only the last value is used
    Given a platform configuration in which the route r-b has the name r-a
    When the operator runs "check FILE --json"
    Then the exit code is 5 and the findings are "no-effect repeated-name routes.r-a, no-effect unrouted-service services.one"

  Scenario Outline: Differences from the version in force, own format: <field> <value>
    Given a store with version 1 and a valid configuration file
    And a configuration file with <field> set to <value>
    When the operator runs "check FILE --store STORE"
    Then the output ends with the lines "<lines>"

    Examples:
      | field                     | value                | lines |
      | fleet                     | "test"               | no differences from version 1, read from store |
      | services.0.connections    | 40                   | no differences from version 1, read from store |
      | services.0.connections    | 3                    | differences from version 1, read from store: /   changed services.desk.connections: 40 -> 3 |
      | zones                     | ["wanaka", "twizel"] | differences from version 1, read from store: /   added zones.twizel: "twizel" |
      | services.0.upstreams.0.id | "u9"                 | differences from version 1, read from store: /   removed services.desk.upstreams.u1: {"zone": "wanaka", "address": "127.0.0.1:1001"} /   added services.desk.upstreams.u9: {"zone": "wanaka", "address": "127.0.0.1:1001"} |

  Scenario Outline: Differences from the version in force, platform's format: <field> <value>
    Given a store and a valid configuration file
    And the store holds the platform configuration
    And a platform configuration with <field> set to <value>
    When the operator runs "check FILE --store STORE --json"
    Then the exit code is <code> and the findings are "<findings>"
    And the differences from version 7 are <differences>

    Examples: a changed configuration needs a higher version
      | field              | value     | code | findings | differences |
      | version            | "r6"      | 0    |          | [] |
      | routes.r-a.timeout | "1000ms"  | 0    |          | [] |
      | routes.r-a.timeout | "2s"      | 5    | contradiction outdated-version version | [["changed", "routes.r-a.timeout", "1s", "2s"]] |
      | routes.r-a.allowed_regions | ["b", "a"] | 5 | contradiction outdated-version version | [["changed", "routes.r-a.allowed_regions", null, ["a", "b"]]] |
      | routes.r-b         | -         | 5    | no-effect unrouted-service services.two, contradiction outdated-version version | [["removed", "routes.r-b", {"host": "shop.example", "prefix": "/b/", "route_type": "safe", "timeout": "1s", "aim": "0.5s", "priority": 1, "max_attempts": 2, "allowed_regions": null, "service": "two"}, null]] |

  Scenario Outline: The version in force is read from the first source that responds: <arguments>
    Given a store and a valid configuration file
    And the store holds the platform configuration
    And a node at NODE that has the platform configuration, and one at EMPTY without
    And a platform configuration with version set to "r8"
    When the operator runs "check FILE <arguments>"
    Then the exit code is <code>
    And the last line of the output contains "<text>"

    Examples: with an exit code for a version that cannot be read
      | arguments                            | code | text                                   |
      | --store STORE --node NODE            | 0    | version 7, read from store           |
      | --node CLOSED --node NODE            | 0    | version 7, read from 127.            |
      | --store CLOSED --node NODE           | 0    | version 7, read from 127.            |
      | --node EMPTY                         | 0    | no version is in force                 |
      | --store CLOSED                       | 1    | cannot be read: [408 STORE_UNAVAILABLE] |
      | --node CLOSED                        | 1    | cannot be read: [211 NODE_UNREACHABLE] |

  Scenario Outline: A malformed version in force is not an error of the file: <arguments>
    Given a store and a valid configuration file
    And the store holds a malformed record
    And a node at NODE that has the platform configuration, and one at EMPTY without
    When the operator runs "check FILE <arguments>"
    Then the exit code is <code>
    And the error contains "<message>" and the output has no traceback

    Examples: the file has the own format; the node has the other
      | arguments            | code | message                                                    |
      | --store STORE        | 1    | the version in force at store: record foxtailshunt/config  |
      | --node NODE          | 1    | record foxtailshunt/config                                 |
      | --interface platform | 2    | services: Input should be                                  |

  # Guards against differences from a version that is no longer in force: the store may show an older
  # one after its return from a copy.
  Scenario Outline: check compares with the later one of the store and a node after a return
    Given a store of era <era> that holds <stored>, and a node at NODE that has <in force>
    And a configuration file of the format of <stored>
    When the operator runs "check FILE --store STORE --node NODE --json"
    Then the comparison is with version <version>, read from <source>

    Examples: era/version of records of the own format, versions of the platform
      | era | stored       | in force     | version | source |
      | 1   | own 0/2      | own 0/4      | 4       | NODE   |
      | 1   | own 1/3      | own 0/4      | 3       | store  |
      | 2   | own 1/3      | own 1/4      | 4       | NODE   |
      | 1   | own 0/2      | unreachable  | 2       | store  |
      | 1   | own nothing  | own 0/4      | 4       | NODE   |
      | 1   | platform r7  | platform r9  | 9       | NODE   |
      | 1   | platform r9  | platform r7  | 9       | store  |
      | 0   | own 0/2      | own 0/2      | 2       | store  |
