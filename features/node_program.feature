Feature: Startup, operator port, reload and shutdown of the node program

  Scenario Outline: The program exits on invalid settings: <fault>
    Given settings of a node with <field> set to <value>
    When the node program is run
    Then it exits with code 2 and prints "<message>"
    And no address of the node accepts connections

    Examples:
      | fault            | field         | value         | message                              |
      | unknown field    | colour        | "red"         | colour: Extra inputs                 |
      | missing field    | zone          | -             | zone: Field required                 |
      | wrong type       | peer_port     | "x"           | peer_port: Input should be           |
      | no store         | store         | -             | store: Field required                |
      | bad address      | callers       | "here"        | callers: Value error, 'here' is not  |
      | bad port         | readiness     | "127.0.0.1:0" | readiness: Value error               |
      | bad time         | grace         | "6 weeks"     | grace: Value error, not a duration   |
      | no interface     | interface     | "other"       | interface: Input should be           |
      | share over 1     | repeat_ratio  | 1.5           | repeat_ratio: Input should be less   |
      | callers' address | callers       | TAKEN         | ADDRESS_IN_USE                       |
      | operators'       | operator_port | TAKEN PORT    | ADDRESS_IN_USE                       |

  Scenario: The program exits if the settings file is missing
    When the node program is run without its settings file
    Then it exits with code 2 and prints "cannot read settings"

  Scenario: The operator port serves health, metrics and a dump of the state
    Given settings of a node
    When the node program is started and a caller sends 3 requests
    Then its health is 503 and its dump names the instance "n1"
    And it has no configuration yet
    And its metrics are well-formed, and count 3 requests with the result NO_CONFIG
    And its metrics include queue lengths, versions, leadership and calls to the store
    When the program receives SIGHUP after a change of its settings
    Then its log names the changed settings
    When the program receives SIGTERM
    Then the node program ends with code 0
