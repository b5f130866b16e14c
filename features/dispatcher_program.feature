Feature: The dispatcher program

  Scenario: Requests run through the upstream's only sender
    Given an upstream process u1 and dispatcher processes a, b
    And a table that lists a, b for u1
    When a request is sent to dispatcher a until it runs
    Then dispatcher b answers NOT_DISPATCHER
    And the assigner hears that u1 confirmed the table's fence from dispatcher a

  Scenario: The next dispatcher takes over from one that was killed
    Given an upstream process u1 and dispatcher processes a, b, c
    And a table that lists a, b for u1
    When a request is sent to dispatcher a until it runs
    And dispatcher a is killed
    Then a request to dispatcher b runs

  Scenario: A stopping dispatcher hands over and ends
    Given an upstream process u1 and dispatcher processes a, b
    And a table that lists a, b for u1
    When a request is sent to dispatcher a until it runs
    And dispatcher a is told to stop
    Then the assigner hears that dispatcher a is stopping
    When the dispatchers' table lists b for u1
    Then a request to dispatcher b runs
    And dispatcher a ends with exit code 0

  Scenario: A stop cuts no request
    Given an upstream process u1 and dispatcher processes a, b
    And a table that lists a, b for u1
    When a request is sent to dispatcher a until it runs
    And a request that takes 1 s is at u1
    And dispatcher a is told to stop
    And the dispatchers' table lists b for u1
    Then the request that takes 1 s runs
    And dispatcher a ends with exit code 0

  Scenario: Operators can see what it holds
    Given an upstream process u1 and dispatcher processes a
    And a table that lists a for u1
    When a request is sent to dispatcher a until it runs
    Then the dump of dispatcher a shows that it holds u1

  Scenario: A bad settings file ends the program
    Given a settings file that names no zone
    When the dispatcher program is run with it
    Then the dispatcher program ends with exit code 2 and names the missing field
