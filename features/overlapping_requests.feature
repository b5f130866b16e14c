Feature: Requests that a caller sends before earlier ones of its connection were answered

  Scenario: Idempotent requests of a connection overlap
    Given a front server whose upstreams hold requests until they are released
    When a caller sends 3 idempotent requests at once
    Then 3 requests are at the upstreams at the same time
    When the upstreams release the requests in the order 3, 1, 2
    Then the caller receives the responses in the order 1, 2, 3

  Scenario: An idempotent request that arrives later overlaps with the one in progress
    Given a front server whose upstreams hold requests until they are released
    When a caller sends an idempotent request and another one when the first is at the upstream
    Then 2 requests are at the upstreams at the same time
    When the upstreams release the requests in the order 2, 1
    Then the caller receives the responses in the order 1, 2

  Scenario: A request that is not idempotent overlaps with no other
    Given a front server whose upstreams hold requests until they are released
    When a caller sends an idempotent request, one that is not and an idempotent one at once
    Then only request 1 is at the upstreams
    When the upstreams release the requests in the order 1
    Then only request 2 is at the upstreams
    When the upstreams release the requests in the order 2
    Then only request 3 is at the upstreams
    When the upstreams release the requests in the order 3
    Then the caller receives the responses in the order 1, 2, 3

  Scenario: The number of overlapping requests of a connection is limited
    Given a front server whose upstreams hold requests until they are released
    When a caller sends 30 idempotent requests at once
    Then 8 requests are at the upstreams at the same time, and no more
    When the upstreams release all requests
    Then the caller receives the responses of all 30 requests in their order

  Scenario: The bytes of overlapping requests of a connection are limited
    Given a front server whose upstreams hold requests until they are released
    When a caller sends 6 idempotent requests with a body of 60000 bytes at once
    Then 4 requests are at the upstreams at the same time, and no more
    When the upstreams release all requests
    Then the caller receives the responses of all 6 requests in their order

  Scenario: A caller that disconnects behind unread requests cancels the one in progress
    Given a front server whose upstreams hold requests until they are released
    When a caller sends a request that is not idempotent, another request, and disconnects
    Then the request in progress is cancelled
    And no other request of the caller reaches the upstreams

  Scenario: A response to an earlier request is delivered if a later one is malformed
    Given a front server whose upstreams hold requests until they are released
    When a caller sends an idempotent request, a malformed one and an idempotent one at once
    Then only request 1 is at the upstreams
    When the upstreams release the requests in the order 1
    Then the caller receives the response to request 1, then status 400 with "Connection: close"
    And the connection ends without a reset
    And no other request of the caller reaches the upstreams

  Scenario: Nothing behind a response that closes the connection is passed on
    Given a front server whose upstreams hold requests until they are released
    When a caller asks to close the connection after request 1 and sends 2 more requests
    Then only request 1 is at the upstreams
    When the upstreams release the requests in the order 1
    Then the caller receives the response to request 1 with "Connection: close"
    And the connection ends without a reset
    And no other request of the caller reaches the upstreams

  Scenario: A stopping node answers all requests that it has passed on
    Given a front server whose upstreams hold requests until they are released
    When a caller sends 3 idempotent requests at once
    Then 3 requests are at the upstreams at the same time
    When the front server begins to drain
    And the upstreams release the requests in the order 3, 1, 2
    Then the caller receives the responses in the order 1, 2, 3
    And only the last response has "Connection: close"
    And the connection ends without a reset

  Scenario: A caller that does not read slows only itself
    # The kernel buffers up to 10 MB of a connection.
    Given a front server whose upstreams respond at once with 1000000 bytes
    When a caller sends 40 idempotent requests and reads nothing
    Then other callers are served meanwhile
    And at most 20 of the caller's requests have reached the upstreams

  Scenario Outline: Every caller gets the responses to its own requests, however its bytes arrive
    Given a front server whose upstreams respond after random times, seed <seed>
    When 6 callers send 25 requests each, split at random places
    Then every caller receives the responses to its own requests in their order
    And no request that is not idempotent overlapped with another of its connection

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
