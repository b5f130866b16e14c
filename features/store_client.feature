Feature: The one client of the store tells what had an effect

  Background:
    Given a store and a client of it

  Scenario Outline: A write is made only at the expected revision
    Given the key holds <content>
    When the client writes at <expected>
    Then the write ends with <outcome>
    And the key holds <value>

    Examples:
      | content | expected             | outcome    | value   |
      | nothing | revision 0           | a revision | written |
      | nothing | another revision     | a conflict | nothing |
      | old     | revision 0           | a conflict | old     |
      | old     | the current revision | a revision | written |
      | old     | another revision     | a conflict | old     |

  Scenario Outline: A failed write tells whether it may have had an effect
    Given the key holds old
    And the store <fault>
    When the client writes at the current revision
    Then the write ends with <outcome>
    And the key holds <value>

    Examples:
      | fault         | outcome           | value   |
      | is busy       | STORE_UNAVAILABLE | old     |
      | is silent     | STORE_UNKNOWN     | old     |
      | loses answers | STORE_UNKNOWN     | written |

  Scenario: After a silence the client uses a new connection
    Given the key holds old
    And the store is silent
    When the client writes at the current revision
    And the store works again
    And the client writes at the current revision
    Then the write ends with a revision

  Scenario Outline: A store may refuse some callers and serve others
    Given callers from 127.0.0.1 find the store busy <also>
    When the client writes at revision 0
    Then the write ends with <outcome>

    Examples:
      | also               | outcome           |
      | only               | STORE_UNAVAILABLE |
      | until it is healed | a revision        |

  Scenario: A watch returns when a key changes or appears
    When the client watches the key while another writes it
    Then the watch brings the value that the other wrote

  Scenario: A watch of forgotten history says so
    Given the key holds old
    When the store forgets its history and the client watches from its beginning
    Then the watch ends with HistoryLostError

  Scenario: A key goes with its lease
    Given the client holds the key under a lease of 0.3 s that it does not renew
    Then the key is gone in the end
    And the lease cannot be renewed

  Scenario: A list of many keys is read page by page
    Given 120 keys under one prefix
    Then the client lists all 120

  Scenario Outline: A lost answer is resolved by reading back
    Given the key holds old
    And <event>
    When the client writes with a token
    Then the write ends with <outcome>
    And the key holds <value>

    Examples:
      | event                                             | outcome       | value   |
      | nothing else happens                              | a revision    | written |
      | the answer to the next 1 writes is lost           | a revision    | written |
      | the answer to the next 9 writes is lost           | a revision    | written |
      | a rival writes before the client                  | CONFLICT      | rival   |
      | a rival writes after the client, answer lost      | STORE_UNKNOWN | rival   |
      | the client's first write never arrives            | a revision    | written |
      | a rival writes in place of the client's           | STORE_UNKNOWN | rival   |

  Scenario: A write that stays unresolved is given up
    Given the key holds old
    And the store is silent
    When the client writes with a token
    Then the write ends with STORE_UNKNOWN
