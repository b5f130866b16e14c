Feature: The owner of keys gets a new fencing token once one has been requested

  Scenario Outline: A request stays until the keys have another token or another owner
    Given a new token is requested for keys 0 to 99 of "u0" with token 5
    When <change>
    Then a new token is due for: <due>

    Examples:
      | change                                                  | due                |
      | the table has 0 to 99 of u0 with token 5                | 0 to 99            |
      | the table has 0 to 49 of u1 with token 6, 50 to 99 of u0 with token 5 | 50 to 99 |
      | the table has 0 to 49 of u0 with token 6, 50 to 99 of u0 with token 6 | nothing  |
      | the table has 0 to 99 of u1 with token 6                | nothing            |
      | the table has 0 to 99 of u0 with token 5, 100 to 120 of u0 with token 5 | 0 to 99 |
