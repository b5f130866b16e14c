Feature: Callers and operators can rely on the table of result codes

  Scenario: The page lists every code with its family and HTTP status
    Given the table of docs/RESULT-CODES.md
    Then it has one row for each code, in order
    And each row's family, HTTP status and Retry-After are those that a node answers with
    And each row has a meaning and says what to do
