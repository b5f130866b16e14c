Feature: Operators change the fleet by a file, as a whole or not at all

  Scenario Outline: check names the place of a fault: <fault>
    Given a configuration file with <place> set to <value>
    When the operator runs "check FILE"
    Then the exit code is 2
    And the error says "<words>" and the output has no traceback

    Examples: "-" removes the place
      | fault              | place                              | value                   | words                                   |
      | unknown field      | colour                             | "red"                   | colour: Extra inputs are not permitted  |
      | missing field      | fleet                              | -                       | fleet: Field required                   |
      | wrong type         | services.0.connections             | "64"                    | services.0.connections: Input should be a valid integer |
      | not finite         | services.0.floors                  | {"careful": 1e999}      | services.0.floors.careful: Input should be |
      | empty zones        | zones                              | []                      | zones: Tuple should have at least 1     |
      | empty services     | services                           | []                      | services: Tuple should have at least 1  |
      | no upstreams       | services.0.upstreams               | []                      | services.0.upstreams: Tuple should have at least 1 |
      | zone twice         | zones                              | ["wanaka", "wanaka"]    | zone 'wanaka' stands twice              |
      | unknown zone       | zones                              | ["twizel"]              | unknown zone wanaka                     |
      | shares over 1      | services.0.floors                  | {"careful": 0.8, "deferrable": 0.3} | services.0.floors: Value error, the floors must add up |
      | bad rank           | services.0.operations.0.rank       | "soon"                  | services.0.operations.0.rank: Input should be 'urgent' |
      | key nowhere        | services.0.operations.0.path       | "/k"                    | services.0: Value error, operation get: the key must stand once |
      | key twice          | services.0.operations.0.key_query  | "id"                    | the key must stand once                 |
      | key without keys   | services.0.keyed                   | false                   | the key must stand nowhere              |
      | bad address        | services.0.upstreams.0.address     | "localhost:1"           | services.0.upstreams.0.address: Value error |
      | bad port           | services.0.upstreams.0.address     | "127.0.0.1:0"           | has no port from 1 to 65535             |
      | no object          | services.0                         | 7                       | services.0: Input should be an object   |
      | too many upstreams | services.0.operations.0.max_upstreams | 11                   | services.0.operations.0.max_upstreams: Input should be less than or equal to 10 |
      | deadline           | services.0.operations.0.deadline_ms | 0                      | services.0.operations.0.deadline_ms: Input should be greater |
      | large heads        | callers                            | {"max_header_bytes": 99999} | callers.max_header_bytes: Input should be less |
      | one path for two   | services.0.operations.4.path       | "/k/{key}"              | services.0: Value error, operation 'GET /k/{}' stands twice |

  Scenario: check refuses two services of one name, and two operations of one path
    Given a configuration file with the first service written twice
    When the operator runs "check FILE"
    Then the exit code is 2
    And the error says "service name 'desk' stands twice" and the output has no traceback
    Given a configuration file with a second service of the same operations
    When the operator runs "check FILE"
    Then the exit code is 2
    And the error says "the path /k/{} of desk stands in desk2 too" and the output has no traceback

  Scenario Outline: check refuses what is no configuration: <what>
    Given a file that holds <what>
    When the operator runs "check FILE"
    Then the exit code is 2
    And the error says "<words>" and the output has no traceback

    Examples:
      | what              | words                  |
      | nothing           | Invalid JSON           |
      | half a document   | Invalid JSON           |
      | a list            | Input should be an object |
      | bytes             | cannot read            |
      | a megabyte        | over 1000000 bytes     |

  Scenario Outline: Bad arguments end with exit code 2: <arguments>
    Given a valid configuration file
    When the operator runs "<arguments>"
    Then the exit code is 2
    And the error says "<words>" and the output has no traceback

    Examples:
      | arguments                                 | words                      |
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

  Scenario Outline: What cannot be reached ends with exit code 1: <arguments>
    Given a valid configuration file
    When the operator runs "<arguments>"
    Then the exit code is 1
    And the error says "<words>" and the output has no traceback

    Examples: nothing listens at CLOSED
      | arguments                     | words                     |
      | apply FILE --store CLOSED     | STORE_UNAVAILABLE         |
      | status --node CLOSED          | no node answered          |
      | dump CLOSED                   | cannot be reached         |
      | explain desk a --node CLOSED  | no node answered          |

  Scenario: What answers but is no node ends with an error
    Given something that is no node at OTHER
    When the operator runs "status --node OTHER"
    Then the exit code is 2
    And the error says "is no node" and the output has no traceback

  Scenario: apply makes each changed file the next version
    Given a store and a valid configuration file
    When the operator runs "apply FILE --store STORE"
    Then the exit code is 0
    And the output is "accepted: version 1 stands in the store"
    When the operator runs "apply FILE --store STORE"
    Then the output is "no change: version 1 in the store has the same content"
    Given a configuration file with services.0.connections set to 3
    When the operator runs "apply FILE --store STORE --expect-version 1 --json"
    Then the exit code is 0
    And the output is a JSON document with version = 2 and changed = true

  Scenario: apply changes nothing when another version is the newest
    Given a store with version 1 and a valid configuration file
    When the operator runs "apply FILE --store STORE --expect-version 0"
    Then the exit code is 3
    And the error says "version 1 is the newest, not 0" and the output has no traceback
    And the store still holds version 1

  Scenario: Of two operators who race one wins and the other gets a conflict
    Given a store with version 1 and a valid configuration file
    When two operators apply different files over version 1 at the same time
    Then one exit code is 0 and the other 3
    And the store holds version 2 with the winner's content

  Scenario: A lost answer is read back
    Given a store with version 1 and a valid configuration file
    And a configuration file with services.0.connections set to 3
    When the store loses the answer to the next write
    And the operator runs "apply FILE --store STORE"
    Then the exit code is 0
    And the store still holds version 2

  Scenario: An outcome that cannot be learned is said to be unknown
    Given a store with version 1 and a valid configuration file
    When a change is applied and the store goes down as soon as it has taken the write
    Then the operator is told STORE_UNKNOWN with exit code 4
    And the store still holds version 2

  Scenario Outline: explain tells the owner of a key: <key>
    Given a node that knows
      | first | last  | owner | giver | moving |
      | 0     | 29999 | u1    |       | no     |
      | 30000 | 39999 | u2    | u1    | yes    |
      | 40000 | 49999 | u3    |       | no     |
      | 50000 | 59999 | gone  |       | no     |
    When the operator runs "explain desk <key> --node NODE"
    Then the exit code is 0
    And the output says "number: <number>" and "owner: <owner>" and "<rule>"

    Examples: u3 is leaving, and gone is not registered
      | key              | number | owner | rule                                   |
      | party-0001       | 21348  | u1    | owns keys 0 to 29999                   |
      | a1               | 38716  | u2    | u1 has not surely given it up          |
      | ü                | 40814  | u3    | is leaving; the key will move          |
      | 55000 --number   | 55000  | gone  | is not registered; the key will move   |
      | 60000 --number   | 60000  | none  | no range of the ownership table        |

  Scenario Outline: explain says what is asked wrongly: <arguments>
    Given a node that knows
      | first | last  | owner | giver | moving |
      | 0     | 65535 | u1    |       | no     |
    When the operator runs "explain <arguments> --node NODE"
    Then the exit code is 2
    And the error says "<words>" and the output has no traceback

    Examples:
      | arguments           | words                                        |
      | nowhere a1          | no service 'nowhere'; there are: counter, desk |
      | counter a1          | service 'counter' is not divided by key      |
      | desk 65536 --number | no number of a key from 0 to 65535           |
      | desk a1 --number    | no number of a key from 0 to 65535           |

  Scenario: status finds every node through one
    Given a node that knows
      | first | last  | owner | giver | moving |
      | 0     | 29999 | u1    |       | no     |
      | 30000 | 39999 | u2    | u1    | yes    |
    And another node that it knows, and one that does not answer
    When the operator runs "status --node CLOSED --node NODE --json"
    Then the exit code is 0
    And the status shows the nodes n1 and n2 with version 7, n2 as leader, and n3 as unreachable
    And the status shows u1 with 30000 keys, u2 with 10000 on their way, and 45.8% of keys with an owner
    When the operator runs "status --node NODE"
    Then the output says "leader: n2" and "unreachable" and "30000 keys"

  Scenario Outline: <command> has help that stands alone
    When the operator runs "<command> --help"
    Then the exit code is 0
    And the output says "Usage:" and "Exit codes:" and "4  the store did not say"

    Examples:
      | command |
      |         |
      | check   |
      | apply   |
      | status  |
      | dump    |
      | explain |
