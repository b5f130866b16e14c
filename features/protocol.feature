Feature: The inner protocol

  Scenario: The committed code is what the protocol's file says
    Given the protocol's file and the committed code
    Then every struct of the file has the same fields, types and defaults in the code
    And the code has no struct that the file does not name
    And every service of the file has the same methods in the code

  Scenario Outline: A bad frame closes its connection, is counted, and hurts no other
    Given a server of the inner protocol with an open connection
    When another connection sends <frame>
    Then the server closes it
    And the server has counted <count> bad frames
    And the open connection is still answered
    And a new connection to the server is answered

    Examples:
      | frame                               | count |
      | a frame of 5 MB                     | 1     |
      | a frame of negative size            | 1     |
      | an HTTP request                     | 1     |
      | a frame of random bytes             | 1     |
      | an empty frame                      | 1     |
      | a call cut short inside its frame   | 1     |
      | a call without its required fields  | 1     |
      | a call whose text is not UTF-8      | 1     |
      | a call whose list claims 2 billion  | 1     |
      | a call of the binary protocol       | 1     |
      | half a frame, then closes           | 0     |

  Scenario: A call of an unknown method is answered with an error
    Given a server of the inner protocol with an open connection
    When another connection calls a method that the service does not have
    Then the caller gets an error that names the method
    And the open connection is still answered

  Scenario: A stop lets the call in progress end
    Given a server of the inner protocol with an open connection
    When a call is in progress and the server is stopped
    Then the call in progress is answered
    And a new connection to the server is refused
