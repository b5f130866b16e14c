Feature: The entry program starts wholly or not at all, and tells what it does

  Scenario Outline: Bad settings end the program: <fault>
    Given settings of an entry with <place> set to <value>
    When the entry program is run
    Then it ends with exit code 2 and says "<words>"
    And nothing listens at its addresses

    Examples:
      | fault            | place          | value         | words                              |
      | unknown field    | colour         | "red"         | colour: Extra inputs               |
      | missing field    | zone           | -             | zone: Field required               |
      | wrong type       | platform       | 7             | platform: Input should be          |
      | no platform      | platform       | []            | platform: Tuple should have        |
      | bad address      | entry.listen   | "here"        | entry.listen: Value error, 'here'  |
      | bad port         | entry.operator | "127.0.0.1:0" | entry.operator: Value error        |
      | callers' address | entry.listen   | TAKEN         | ADDRESS_IN_USE                     |
      | operators'       | entry.operator | TAKEN         | ADDRESS_IN_USE                     |

  Scenario: A missing settings file ends the program
    When the entry program is run without its settings file
    Then it ends with exit code 2 and says "cannot read settings file"

  Scenario: The operator port tells health, metrics and state
    Given settings of an entry
    When the entry program is started and a caller sends 3 requests
    Then its health is 503 and its dump names the program "entry"
    And its metrics parse, and count 3 answers with code 210
    When the program gets SIGTERM
    Then the entry program is gone and left code 0
