Feature: Operators configure the fleet with a file that is applied completely or not at all

  Scenario Outline: check reports the location of an error: <error>
    Given a configuration file with <field> set to <value>
    When the operator runs "check FILE"
    Then the exit code is 2
    And the error contains "<message>" and the output has no traceback

    Examples: "-" removes the field
      | error              | field                              | value                   | message                                 |
      | unknown field      | colour                             | "red"                   | colour: Extra inputs are not permitted  |
      | missing field      | fleet                              | -                       | fleet: Field required                   |
      | wrong type         | services.0.connections             | "64"                    | services.0.connections: Input should be a valid integer |
      | not finite         | services.0.floors                  | {"careful": 1e999}      | services.0.floors.careful: Input should be |
      | empty zones        | zones                              | []                      | zones: Tuple should have at least 1     |
      | empty services     | services                           | []                      | services: Tuple should have at least 1  |
      | no upstreams       | services.0.upstreams               | []                      | services.0.upstreams: Tuple should have at least 1 |
      | duplicate zone     | zones                              | ["wanaka", "wanaka"]    | zone 'wanaka' is listed more than once  |
      | unknown zone       | zones                              | ["twizel"]              | unknown zone wanaka                     |
      | floors over 1      | services.0.floors                  | {"careful": 0.8, "deferrable": 0.3} | services.0.floors: Value error, the floors must add up |
      | invalid rank       | services.0.operations.0.rank       | "soon"                  | services.0.operations.0.rank: Input should be 'urgent' |
      | key not in path    | services.0.operations.0.path       | "/k"                    | services.0: Value error, operation get: the key must occur once |
      | key twice          | services.0.operations.0.key_query  | "id"                    | the key must occur once                 |
      | key of unkeyed service | services.0.keyed                   | false                   | the key must occur nowhere              |
      | invalid address    | services.0.upstreams.0.address     | "localhost:1"           | services.0.upstreams.0.address: Value error |
      | invalid port       | services.0.upstreams.0.address     | "127.0.0.1:0"           | has no port from 1 to 65535             |
      | not an object      | services.0                         | 7                       | services.0: Input should be an object   |
      | too many upstreams | services.0.operations.0.max_upstreams | 11                   | services.0.operations.0.max_upstreams: Input should be less than or equal to 10 |
      | deadline           | services.0.operations.0.deadline_ms | 0                      | services.0.operations.0.deadline_ms: Input should be greater |
      | headers too large  | callers                            | {"max_header_bytes": 99999} | callers.max_header_bytes: Input should be less |
      | duplicate path     | services.0.operations.4.path       | "/k/{key}"              | services.0: Value error, operation 'GET /k/{}' is listed more than once |

  Scenario: check rejects duplicate service names and duplicate operation paths
    Given a configuration file that contains the first service twice
    When the operator runs "check FILE"
    Then the exit code is 2
    And the error contains "service name 'desk' is listed more than once" and the output has no traceback
    Given a configuration file with a second service that has the same operations
    When the operator runs "check FILE"
    Then the exit code is 2
    And the error contains "the path /k/{} of desk is also a path of desk2" and the output has no traceback

  Scenario Outline: check rejects a file that is not a configuration: <content>
    Given a file that contains <content>
    When the operator runs "check FILE"
    Then the exit code is 2
    And the error contains "<message>" and the output has no traceback

    Examples:
      | content           | message                |
      | nothing           | Invalid JSON           |
      | half a document   | Invalid JSON           |
      | a list            | Input should be an object |
      | bytes             | cannot read            |
      | a megabyte        | over 1000000 bytes     |

  Scenario Outline: Invalid arguments result in exit code 2: <arguments>
    Given a valid configuration file
    When the operator runs "<arguments>"
    Then the exit code is 2
    And the error contains "<message>" and the output has no traceback

    Examples:
      | arguments                                 | message                    |
      | check missing.json                        | cannot read missing.json   |
      | check                                     | Missing argument 'FILE'    |
      | apply FILE                                | --store or --settings      |
      | apply FILE --store nowhere                | is not a host and port     |
      | apply FILE --store 127.0.0.1:99999        | no port from 1 to 65535    |
      | apply FILE --store 127.0.0.1:1 --expect-version -1 | --expect-version  |
      | apply FILE --settings FILE                | instance_id: Field required |
      | status                                    | --node or --settings       |
      | dump here                                 | is not a host and port     |
      | explain desk                              | Missing argument 'KEY'     |
      | frobnicate                                | No such command            |

  Scenario Outline: An unreachable address results in exit code 1: <arguments>
    Given a valid configuration file
    When the operator runs "<arguments>"
    Then the exit code is 1
    And the error contains "<message>" and the output has no traceback

    Examples: nothing listens at CLOSED
      | arguments                     | message                   |
      | apply FILE --store CLOSED     | STORE_UNAVAILABLE         |
      | status --node CLOSED          | no node responded         |
      | dump CLOSED                   | cannot be reached         |
      | explain desk a --node CLOSED  | no node responded         |

  Scenario: A server that is not a node results in an error
    Given a server at OTHER that is not a node
    When the operator runs "status --node OTHER"
    Then the exit code is 2
    And the error contains "is not a node" and the output has no traceback

  Scenario: apply stores each changed file as the next version
    Given a store and a valid configuration file
    When the operator runs "apply FILE --store STORE"
    Then the exit code is 0
    And the output is "accepted: version 1 is stored"
    When the operator runs "apply FILE --store STORE"
    Then the output is "no change: version 1 in the store has the same content"
    Given a configuration file with services.0.connections set to 3
    When the operator runs "apply FILE --store STORE --expect-version 1 --json"
    Then the exit code is 0
    And the output is a JSON document with version = 2 and changed = true

  Scenario: apply changes nothing when a version other than the expected one is the newest
    Given a store with version 1 and a valid configuration file
    When the operator runs "apply FILE --store STORE --expect-version 0"
    Then the exit code is 3
    And the error contains "version 1 is the newest, not 0" and the output has no traceback
    And the store holds version 1

  Scenario: When two operators apply changes concurrently, one succeeds and the other gets a conflict
    Given a store with version 1 and a valid configuration file
    When two operators apply different files over version 1 at the same time
    Then one exit code is 0 and the other 3
    And the store holds version 2 with the content of the successful operator

  Scenario: A write whose response was lost is resolved by reading it back
    Given a store with version 1 and a valid configuration file
    And a configuration file with services.0.connections set to 3
    When the store loses the response to the next write
    And the operator runs "apply FILE --store STORE"
    Then the exit code is 0
    And the store holds version 2

  Scenario: A write that cannot be resolved is reported as unknown
    Given a store with version 1 and a valid configuration file
    When a change is applied and the store becomes unavailable after it has executed the write
    Then the result is STORE_UNKNOWN with exit code 4
    And the store holds version 2

  Scenario Outline: explain shows the owner of a key: <key>
    Given a node with these key ranges
      | first | last  | owner | giver | moving |
      | 0     | 29999 | u1    |       | no     |
      | 30000 | 39999 | u2    | u1    | yes    |
      | 40000 | 49999 | u3    |       | no     |
      | 50000 | 59999 | gone  |       | no     |
    When the operator runs "explain desk <key> --node NODE"
    Then the exit code is 0
    And the output contains "number: <number>" and "owner: <owner>" and "<rule>"

    Examples: u3 is leaving, and gone is not registered
      | key              | number | owner | rule                                   |
      | party-0001       | 21348  | u1    | owns keys 0 to 29999                   |
      | a1               | 38716  | u2    | u1 has not surely given it up          |
      | ü                | 40814  | u3    | is leaving; the key will move          |
      | 55000 --number   | 55000  | gone  | is not registered; the key will move   |
      | 60000 --number   | 60000  | none  | no range of the ownership table        |

  Scenario Outline: explain rejects invalid arguments: <arguments>
    Given a node with these key ranges
      | first | last  | owner | giver | moving |
      | 0     | 65535 | u1    |       | no     |
    When the operator runs "explain <arguments> --node NODE"
    Then the exit code is 2
    And the error contains "<message>" and the output has no traceback

    Examples:
      | arguments           | message                                      |
      | nowhere a1          | no service 'nowhere'; known services: counter, desk |
      | counter a1          | service 'counter' is not sharded by key      |
      | desk 65536 --number | is not a key number from 0 to 65535          |
      | desk a1 --number    | is not a key number from 0 to 65535          |

  Scenario: status discovers all nodes through one of them
    Given a node with these key ranges
      | first | last  | owner | giver | moving |
      | 0     | 29999 | u1    |       | no     |
      | 30000 | 39999 | u2    | u1    | yes    |
    And another member of its fleet, and one that does not respond
    When the operator runs "status --node CLOSED --node NODE --json"
    Then the exit code is 0
    And the status shows the nodes n1 and n2 with version 7, n2 as leader, and n3 as unreachable
    And the status shows u1 with 30000 keys, u2 with 10000 in handover, and 45.8% of keys with an owner
    When the operator runs "status --node NODE"
    Then the output contains "leader: n2" and "unreachable" and "30000 keys"

  Scenario Outline: <command> has complete help
    When the operator runs "<command> --help"
    Then the exit code is 0
    And the output contains "Usage:" and "Exit codes:" and "4  it is not known whether"

    Examples:
      | command |
      |         |
      | check   |
      | apply   |
      | status  |
      | dump    |
      | explain |
