Feature: A node starts wholly or not at all, and tells what it does

  Scenario Outline: Bad settings end the program: <fault>
    Given settings of a node with <place> set to <value>
    When the node program is run
    Then it ends with exit code 2 and says "<words>"
    And nothing listens at its addresses

    Examples:
      | fault            | place         | value         | words                                |
      | unknown field    | colour        | "red"         | colour: Extra inputs                 |
      | missing field    | zone          | -             | zone: Field required                 |
      | wrong type       | peer_port     | "x"           | peer_port: Input should be           |
      | no store         | store         | -             | store: Field required                |
      | bad address      | callers       | "here"        | callers: Value error, 'here' is not  |
      | bad port         | readiness     | "127.0.0.1:0" | readiness: Value error               |
      | bad time         | grace         | "6 weeks"     | grace: Value error, not a time       |
      | no interface     | interface     | "other"       | interface: Input should be           |
      | share over 1     | repeat_ratio  | 1.5           | repeat_ratio: Input should be less   |
      | callers' address | callers       | TAKEN         | ADDRESS_IN_USE                       |
      | operators'       | operator_port | TAKEN PORT    | ADDRESS_IN_USE                       |

  Scenario: A missing settings file ends the program
    When the node program is run without its settings file
    Then it ends with exit code 2 and says "cannot read settings"

  Scenario: The operator port tells health, metrics and state
    Given settings of a node
    When the node program is started and a caller sends 3 requests
    Then its health is 503 and its dump names the instance "n1"
    And its metrics parse, and count 3 answers with NO_CONFIG
    And its metrics tell queues, versions, age of knowledge and calls to the store
    When the program gets SIGHUP with changed settings
    Then its log names the settings that changed
    When the program gets SIGTERM
    Then the node program is gone and left code 0
