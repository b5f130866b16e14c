Feature: The documented result codes match the implementation

  Scenario: The documentation lists every code with its family and HTTP status
    Given the table of docs/RESULT-CODES.md
    Then it has one row for each code, in order
    And each row's family, HTTP status and Retry-After match the responses of a node
    And each row has a meaning and a recommended action
