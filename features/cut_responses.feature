Feature: No part of a response passes for the whole, whatever bytes an upstream sends

  Scenario Outline: A response that is cut off after any of its bytes is not complete
    Given a response with the body "hello world" and <frame>
    Then the whole response has the body "hello world"
    And no proper beginning of the response is a response

    Examples:
      | frame                                  |
      | a length                               |
      | chunks, a chunk extension and trailers |
      | an interim response before its head    |

  Scenario: A response with random errors is read or rejected as malformed
    When 5000 responses with random errors are read
    Then each of them was read or rejected as malformed
    And at least 500 of each result occurred
