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
      | wrong type         | services.0.slots                   | "64"                    | services.0.slots: Input should be a valid integer |
      | not finite         | services.0.retry_budget            | 1e999                   | services.0.retry_budget: Input should be |
      | empty zones        | zones                              | []                      | zones: Tuple should have at least 1     |
      | empty services     | services                           | []                      | services: Tuple should have at least 1  |
      | zone twice         | zones                              | ["wanaka", "wanaka"]    | zone 'wanaka' stands twice              |
      | unknown zone       | zones                              | ["twizel"]              | unknown zone wanaka                     |
      | shares over 1      | services.0.floors                  | {"careful": 0.8, "deferrable": 0.3} | services.0.floors: Value error, the floors must add up |
      | bad rank           | services.0.operations.0.rank       | "soon"                  | services.0.operations.0.rank: Input should be 'urgent' |
      | key nowhere        | services.0.operations.0.path       | "/k"                    | services.0.operations.0: Value error, the key must stand once |
      | key twice          | services.0.operations.0.key_query  | "id"                    | the key must stand once                 |
      | bad address        | services.0.upstreams.0.address     | "localhost:1"           | services.0.upstreams.0.address: Value error, 'localhost:1' is not an IPv4 |
      | no object          | services.0                         | 7                       | services.0: Input should be an object   |
      | too many slots     | services.0.slots                   | 70000                   | services.0.slots: Input should be less than or equal to 65536 |
      | deadline           | services.0.operations.0.deadline_ms | 0                      | services.0.operations.0.deadline_ms: Input should be greater |
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
      | apply FILE                                | --platform or --settings   |
      | apply FILE --platform nowhere             | not an IPv4 address        |
      | apply FILE --platform 127.0.0.1:99999     | no port from 1 to 65535    |
      | apply FILE --platform 127.0.0.1:1 --expect-version -1 | --expect-version |
      | apply FILE --settings FILE                | instance_id: Field required |
      | status                                    | --peer or --settings       |
      | dump here                                 | not an IPv4 address        |
      | explain desk                              | Missing argument 'KEY'     |
      | frobnicate                                | No such command            |

  Scenario Outline: What cannot be reached ends with exit code 1: <arguments>
    Given a valid configuration file
    When the operator runs "<arguments>"
    Then the exit code is 1
    And the error says "<words>" and the output has no traceback

    Examples: nothing listens at CLOSED
      | arguments                     | words                     |
      | apply FILE --platform CLOSED  | STORE_UNAVAILABLE         |
      | status --peer CLOSED          | no assigner answered at   |
      | dump CLOSED                   | cannot be reached         |
      | explain desk a --peer CLOSED  | no assigner answered at   |
      | explain desk a --platform CLOSED | STORE_UNAVAILABLE      |

  Scenario: apply makes each changed file the next version
    Given a platform and a valid configuration file
    When the operator runs "apply FILE --platform PLATFORM"
    Then the exit code is 0
    And the output is "accepted: version 1 stands in the store"
    When the operator runs "apply FILE --platform PLATFORM"
    Then the output is "no change: version 1 in the store has the same content"
    Given a configuration file with services.0.max_moves set to 3
    When the operator runs "apply FILE --platform PLATFORM --expect-version 1 --json"
    Then the exit code is 0
    And the output is a JSON document with version = 2 and changed = true

  Scenario: apply changes nothing when another version is the newest
    Given a platform with version 1 and a valid configuration file
    When the operator runs "apply FILE --platform PLATFORM --expect-version 0"
    Then the exit code is 3
    And the error says "version 1 is the newest, not 0" and the output has no traceback
    And the store still holds version 1

  Scenario: apply never changes the slots of an existing service
    Given a platform with version 1 and a valid configuration file
    And a configuration file with services.0.slots set to 16
    When the operator runs "apply FILE --platform PLATFORM"
    Then the exit code is 2
    And the error says "services.desk.slots: 16 differs from 8" and the output has no traceback
    And the store still holds version 1

  Scenario: Of two operators who race one wins and the other gets a conflict
    Given a platform with version 1 and a valid configuration file
    When two operators apply different files over version 1 at the same time
    Then one exit code is 0 and the other 3
    And the store holds version 2 with the winner's content

  Scenario: A lost answer is read back
    Given a platform with version 1 and a valid configuration file
    And a configuration file with services.0.max_moves set to 3
    When the platform loses the answer to the next write
    And the operator runs "apply FILE --platform PLATFORM"
    Then the exit code is 0
    And the store still holds version 2

  Scenario: An outcome that cannot be learned is said to be unknown
    Given a platform with version 1 and a valid configuration file
    When a change is applied and the store goes down as soon as it has taken the write
    Then the operator is told STORE_UNKNOWN with exit code 4
    And the store still holds version 2

  Scenario: explain reads the store
    Given a platform with version 1 and a table that gives all slots to u1
    When the operator runs "explain desk a1 --platform PLATFORM"
    Then the exit code is 0
    And the output has the lines
      | line                          |
      | owner: u1                     |
      | dispatchers: i1, i2           |
      | fence: 3.7                    |
      | rule: the upstream owns the slot |
    When the operator runs "explain nowhere a1 --platform PLATFORM"
    Then the exit code is 2
    And the error says "no service 'nowhere'; there are: desk" and the output has no traceback

  Scenario: status finds every process through one assigner
    Given an assigner with a table that gives all slots to u1
    And an entry that is known to the assigner
    And a process that is known to the assigner but does not answer
    When the operator runs "status --peer ASSIGNER --json"
    Then the exit code is 0
    And the status shows the entry with version 1 and the other process as unreachable
    And the status shows upstream u1 with 8 slots

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
