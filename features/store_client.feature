Feature: The store client reports whether a write may have taken effect

  Background:
    Given a store and its client

  Scenario Outline: A write takes effect only at the expected revision
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

  Scenario Outline: A failed write reports whether it may have taken effect
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

  Scenario: After a timeout the client uses a new connection
    Given the key holds old
    And the store is silent
    When the client writes at the current revision
    And the store works again
    And the client writes at the current revision
    Then the write ends with a revision

  Scenario Outline: A store may refuse some clients and serve others
    Given clients from 127.0.0.1 are refused by the store <duration>
    When the client writes at revision 0
    Then the write ends with <outcome>

    Examples:
      | duration             | outcome           |
      | throughout           | STORE_UNAVAILABLE |
      | until the fault ends | a revision        |

  Scenario: A watch returns when a key is created or changed
    When the client watches the key while another client writes it
    Then the watch returns the written value

  Scenario: A watch fails if the store no longer keeps the history
    Given the key holds old
    When the store discards its history and the client watches from the beginning
    Then the watch ends with HistoryLostError

  Scenario Outline: A watch whose answer may have been lost ends before its timeout: <sign>
    # Guards against a node that runs an old configuration while it waits on a watch whose answer
    # was lost.
    Given the client watches the key for 15 s
    When <sign>
    Then the watch has ended without a response, and a repeated one returns what was written

    Examples:
      | sign                                          |
      | another call of the client gets no response   |
      | its watches are renewed                       |

  Scenario: A watch whose answer may have been lost is repeated without its caller
    Given the key holds old
    When a watch of 15 s that is repeated is renewed, and the key is written
    Then the watch returns the written value

  Scenario: A key is removed when its lease expires
    Given the client holds the key under a lease of 0.3 s that it does not renew
    Then the key is eventually removed
    And the lease cannot be renewed

  Scenario: A list of many keys is read in pages
    Given 120 keys under one prefix
    Then the client lists all 120

  Scenario Outline: After a lost response the client reads the key to determine the result
    Given the key holds old
    And <event>
    When the client writes with a token
    Then the write ends with <outcome>
    And the key holds <value>

    Examples:
      | event                                             | outcome       | value   |
      | no fault occurs                                   | a revision    | written |
      | the responses to the next 1 writes are lost       | a revision    | written |
      | the responses to the next 9 writes are lost       | a revision    | written |
      | another client writes before the client           | CONFLICT      | rival   |
      | another client writes after it, response lost     | STORE_UNKNOWN | rival   |
      | the client's first write never arrives            | a revision    | written |
      | another client writes instead of the client       | STORE_UNKNOWN | rival   |

  Scenario: A write whose result stays unknown fails
    Given the key holds old
    And the store is silent
    When the client writes with a token
    Then the write ends with STORE_UNKNOWN

  Scenario Outline: A write whose response is incomplete or malformed may have taken effect
    Given a store that closes the connection after <part> of a response
    When the client writes at revision 0
    Then the write ends with STORE_UNKNOWN

    Examples:
      | part                                               |
      | nothing                                            |
      | HTTP/1.1 200 OK                                    |
      | HTTP/1.1 200 OK;                                   |
      | HTTP/1.1 200 OK;Content-Length: 14;                |
      | HTTP/1.1 200 OK;Content-Length: 14;;{"revision":   |
      | HTTP/1.1 200 OK;Content-Length: 0;;                |
      | HTTP/1.1 200 OK;Content-Length: 2;;{}              |
      | HTTP/1.1 200 OK;Content-Length: 2;;[]              |
      | HTTP/1.1 200 OK;Content-Length: 16;;{"revision":"x"} |
      | HTTP/1.1 404 Not Found;                            |
      | HTTP/1.1 412 Precondition Failed;                  |
      | HTTP/1.1 429 Too Many Requests;                    |
      | HTTP/1.1 503 Service Unavailable;                  |

  Scenario Outline: A read whose response is incomplete or malformed fails
    Given a store that closes the connection after <part> of a response
    When the client <call>
    Then the call ends with a StoreError

    Examples:
      | call              | part                                                           |
      | reads the key     | HTTP/1.1 200 OK;                                               |
      | reads the key     | HTTP/1.1 404 Not Found;                                        |
      | reads the key     | HTTP/1.1 200 OK;Content-Length: 2;;{}                          |
      | reads the key     | HTTP/1.1 200 OK;;{"key":"k","value":"?","revision":1}          |
      | lists keys        | HTTP/1.1 200 OK;Content-Length: 0;;                            |
      | lists keys        | HTTP/1.1 200 OK;;{"as_of":1,"items":[{"key":"k"}]}             |
      | lists keys        | HTTP/1.1 200 OK;;{"as_of":1,"items":[{"key":5,"value":"","revision":1}]} |
      | watches the key   | HTTP/1.1 200 OK;                                               |
      | watches the key   | HTTP/1.1 200 OK;;{"as_of":"x","events":[]}                     |
      | opens a lease     | HTTP/1.1 200 OK;;{"lease":1,"ttl_time":"soon"}                 |
      | renews a lease    | HTTP/1.1 404 Not Found;                                        |
      | renews a lease    | HTTP/1.1 200 OK;                                               |

  Scenario Outline: A response of the store without end is cut off
    Given a store whose response has <part> without end
    When the client reads the key
    Then the call ends with a StoreError
    And the store's connection was closed after at most 256 MB

    Examples:
      | part                  |
      | header lines          |
      | interim responses     |
      | a body without length |
      | trailers              |

  Scenario: A response of the store that trickles in is cut off at the deadline
    Given a store whose response has one header line without end, one byte at a time
    When the client reads the key
    Then the call ends with a StoreError
    And the store's connection was closed after at most 1 MB

  Scenario Outline: A refusal that the store writes once more is not the response to the next call
    Given a store that refuses the first call with <refusal> and writes the refusal once more
    When the client writes at revision 0
    And the client writes at revision 0
    Then the write ends with a revision

    Examples:
      | refusal                   |
      | 503 Service Unavailable   |
      | 429 Too Many Requests     |
      | 412 Precondition Failed   |
