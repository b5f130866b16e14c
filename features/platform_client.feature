Feature: Client of the platform
  The platform's services are met through one small client. It tells apart calls that had no effect,
  calls that had one, and calls of which this is unknown.

  Background:
    Given a stand-in platform and a client of it

  Scenario Outline: A compare-and-swap writes only at the expected revision
    Given the platform's key holds <content>
    When the platform's client writes at <expected>
    Then the platform's write ends with <outcome>
    And the platform's key holds <value>

    Examples:
      | content | expected             | outcome     | value   |
      | nothing | revision 0           | a revision  | written |
      | nothing | another revision     | CONFLICT    | nothing |
      | old     | revision 0           | CONFLICT    | old     |
      | old     | the current revision | a revision  | written |
      | old     | another revision     | CONFLICT    | old     |

  Scenario Outline: A failed call tells whether it had an effect
    Given the platform's key holds old
    And the platform's faults are <faults>
    When the platform's client writes at the current revision
    Then the platform's write ends with <outcome>
    And the platform's client counted a cas with result <outcome>
    And after the platform's faults its key holds <value>

    Examples:
      | faults                     | outcome           | value   |
      | {"outage": "refuse503"}    | STORE_UNAVAILABLE | old     |
      | {"outage": "hang"}         | STORE_UNKNOWN     | old     |
      | {"lose_next_answers": 1}   | STORE_UNKNOWN     | written |
      | {"lose_answer_rate": 1.0}  | STORE_UNKNOWN     | written |

  Scenario: Nobody listens at the platform's address
    When the platform has stopped
    And the platform's client writes at revision 0
    Then the platform's write ends with STORE_UNAVAILABLE

  Scenario Outline: An outage may meet single callers
    Given the platform's faults are {"caller_outages": {"127.0.0.77": "refuse503"}}
    And the platform's client calls from <host>
    When the platform's client writes at revision 0
    Then the platform's write ends with <outcome>

    Examples:
      | host       | outcome           |
      | 127.0.0.77 | STORE_UNAVAILABLE |
      | 127.0.0.78 | a revision        |

  Scenario: A write that another has followed gives a revision at which no write succeeds
    Given a rival writes to the platform as soon as the client has written
    When the platform's client writes at revision 0
    Then a write at the revision that the client was given is a conflict
    And a watch from the revision that the client was given returns the rival's value

  Scenario: A connection that went silent is not used again
    Given the platform's faults are {"outage": "hang"}
    When the platform's client reads
    Then the platform's read ends with STORE_UNAVAILABLE
    And after the platform's faults its key holds nothing

  Scenario Outline: A value over the size limit is refused
    When the platform's client writes a value of <size> bytes at revision 0
    Then the platform's write ends with <outcome>

    Examples:
      | size    | outcome    |
      | 1000000 | a revision |
      | 1000001 | OVERSIZED  |

  Scenario: A platform refuses an oversized value of a client that sends it
    When 1000001 bytes are put to the platform past the client
    Then the platform answers 413
    And the platform's key holds nothing

  Scenario: A watch returns when the key changes
    Given the platform's key holds old
    When the platform's client watches from the current revision
    And another client writes the platform's key
    Then the platform's watch returns the other's value

  Scenario: A watch of a missing key returns when it appears
    When the platform's client watches from no revision
    And another client writes the platform's key
    Then the platform's watch returns the other's value

  Scenario: Waiting watches leave room for other calls
    When 50 clients watch the platform's key
    Then the platform's key holds nothing
    And the platform counted 50 watches

  Scenario: A key is free once its holder's lease has lapsed
    Given another client holds the platform's key under a lease of 0.5 s that it does not renew
    Then the platform's client acquires the key in the end
    And the platform's lapsed lease cannot be renewed

  Scenario: A key is free once its holder closes its lease
    Given another client holds the platform's key under a lease of 300 s
    When the platform's client tries to acquire the key
    Then the platform's key is refused
    When the other client closes its lease
    Then the platform's client acquires the key in the end

  Scenario: Calls over the platform's limits have no effect
    Given a stand-in platform that takes 1 write a second
    When the platform's client writes 20 keys
    Then some of the platform's writes ended with STORE_UNAVAILABLE
    And just the platform's keys whose writes succeeded exist

  Scenario: The list of instances lags
    Given a stand-in platform whose list lags 0.5 s
    When the platform lists i1 as live and i2 as leaving
    Then the platform's client sees no instances
    And the platform's client sees i1 as live and i2 as leaving in the end

  Scenario Outline: A lost answer is resolved by reading back
    Given the platform's key holds old
    And the platform's faults are <faults>
    And <rival>
    When the platform's client writes with a token
    Then the platform's write ends with <outcome>
    And the platform's key holds <value>

    Examples:
      | faults                   | rival                                       | outcome       | value   |
      | {}                       | nobody else writes to the platform                          | a revision    | written |
      | {"lose_next_answers": 1} | nobody else writes to the platform                          | a revision    | written |
      | {"lose_next_answers": 9} | nobody else writes to the platform                          | a revision    | written |
      | {}                       | a rival writes to the platform before the client            | CONFLICT      | rival   |
      | {}                       | a rival writes to the platform after the client             | STORE_UNKNOWN | rival   |
      | {}                       | the client's first write to the platform is held up         | a revision    | written |
      | {}                       | the client's first write to the platform never arrives      | a revision    | written |
      | {}                       | a rival writes to the platform in place of the client's     | STORE_UNKNOWN | rival   |

  Scenario: A write that stays unresolved is given up
    Given the platform's faults are {"outage": "hang"}
    When the platform's client writes with a token and little patience
    Then the platform's write ends with STORE_UNKNOWN

  Scenario: Delays between retries grow to a limit and start again after a success
    When 6 delays are drawn from a backoff of 0.1 s up to 1 s
    Then the backoff's bounds were 0.1, 0.2, 0.4, 0.8, 1.0 and 1.0 s
    And after a reset the backoff's bound is 0.1 s
