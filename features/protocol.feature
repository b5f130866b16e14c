Feature: The peer protocol between nodes

  Scenario: The committed generated code matches the Thrift file
    Given the Thrift file and the generated code
    Then every struct of the file has the same fields, types and defaults in the code
    And the code has no struct that the file does not define
    And every service of the file has the same methods in the code

  Scenario Outline: A malformed frame closes its connection, is counted and affects no other
    Given a server of the peer protocol with an open connection
    When another connection sends <frame>
    Then the server closes that connection
    And the server has counted <count> bad frames
    And a call on the open connection succeeds
    And a call on a new connection succeeds

    Examples:
      | frame                               | count |
      | a frame of 5 MB                     | 1     |
      | a frame of negative size            | 1     |
      | an HTTP request                     | 1     |
      | a frame of random bytes             | 1     |
      | an empty frame                      | 1     |
      | a truncated call in a whole frame   | 1     |
      | a call without its required fields  | 1     |
      | a call with text that is not UTF-8  | 1     |
      | a call whose list claims 2 billion  | 1     |
      | a call of the binary protocol       | 1     |
      | half a frame, then closes           | 0     |

  Scenario: Text with the replacement character of Unicode is not a malformed call
    Given a server of the peer protocol with an open connection
    When the open connection calls with the replacement character in a text
    Then the call succeeds

  Scenario: A call of an unknown method returns an error
    Given a server of the peer protocol with an open connection
    When another connection calls a method that the service does not have
    Then the client gets an error that names the method
    And a call on the open connection succeeds

  Scenario: Stopping the server lets the call in progress finish
    Given a server of the peer protocol with an open connection
    When a call is in progress and the server is stopped
    Then the call in progress succeeds
    And a new connection to the server is refused
