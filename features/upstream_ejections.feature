Feature: Upstreams that fail far more requests than their peers are taken out of use for a time

  Scenario Outline: Single errors eject no upstream
    # Each 500 used to take a whole upstream out of service for 0.25 s or more.
    Given a pool of <count> upstreams with 4 slots and requests of 100 ms
    And each upstream fails 0.4 % of its requests with error
    When requests arrive for 60 seconds at 20 a second for each upstream
    Then no upstream has been ejected

    Examples:
      | count |
      | 2     |
      | 3     |
      | 8     |

  Scenario Outline: An upstream that fails <percent> % of its requests gets few of them
    # An upstream that failed quickly was always free, and so got most requests.
    Given a pool of 3 upstreams with 4 slots and requests of 100 ms
    And upstream 0 fails <percent> % of its requests with <kind>
    When requests arrive for 20 seconds at 20 a second for each upstream
    Then upstream 0 has failed at most <most> requests
    And the others have served all that it did not get

    Examples: 400 requests would be its share
      | percent | kind        | most |
      | 100     | error       | 20   |
      | 100     | refused     | 25   |
      | 100     | no_response | 20   |
      | 50      | error       | 30   |
      | 50      | refused     | 35   |

  Scenario Outline: Upstreams that all refuse at random are all used
    # In an overload all upstreams refuse requests; ejections would take the rest of the capacity.
    Given a pool of <count> upstreams with 4 slots and requests of 100 ms
    And each upstream fails <percent> % of its requests with refused
    When requests arrive for 60 seconds at 20 a second for each upstream
    Then no upstream has been ejected
    And at least <served> % of the requests have been served

    Examples:
      | count | percent | served |
      | 2     | 10      | 88     |
      | 2     | 50      | 47     |
      | 3     | 30      | 67     |
      | 3     | 90      | 8      |
      | 6     | 10      | 88     |
      | 6     | 50      | 47     |

  Scenario Outline: At most a third of the upstreams are ejected, and the least bad ones stay in use
    # Ejections of many upstreams would overload the few that are left.
    Given a pool of <count> upstreams with 4 slots and requests of 100 ms
    And <failing> of them fail 100 % and <poor> of them fail 50 % of their requests with error
    When requests arrive for 20 seconds at 30 a second for each upstream
    Then at most <most> upstreams have been ejected at a time
    And the upstreams that fail all requests got fewer of them than those that fail half

    Examples:
      | count | failing | poor | most |
      | 3     | 1       | 1    | 1    |
      | 6     | 2       | 2    | 2    |
      | 9     | 3       | 4    | 3    |

  Scenario: The only upstream is never ejected
    # No other upstream can serve the requests for its keys.
    Given the upstreams u1 with 4 slots are compared
    When u1 fails 40 requests in a row with error
    And u1 fails 10 requests in a row with unreachable
    Then u1 may get 4 requests at a time

  Scenario: The only upstream that is left is in use again
    # A failing upstream became the last one when the others left.
    Given the upstreams u1 u2 with 4 slots are compared
    And u2 has served 20 requests
    When u1 fails 5 requests in a row with error
    Then u1 is ejected for 0.25 s
    When only u1 is left
    Then u1 may get 4 requests at a time

  Scenario Outline: <count> requests in a row that end with <kind> <effect>
    Given the upstreams u1 u2 u3 with 4 slots are compared
    And u2 has served 20 requests
    And u3 has served 20 requests
    And u1 has served 20 requests
    When u1 fails <count> requests in a row with <kind>
    Then u1 <state>

    Examples: several requests in a row without a response are enough; refusals count less than errors
      | count | kind        | effect         | state                    |
      | 1     | error       | eject nobody   | may get 4 requests at a time |
      | 2     | error       | eject nobody   | may get 4 requests at a time |
      | 3     | error       | eject it       | is ejected for 0.25 s    |
      | 1     | unreachable | eject nobody   | may get 4 requests at a time |
      | 2     | unreachable | eject nobody   | may get 4 requests at a time |
      | 3     | unreachable | eject it       | is ejected for 0.25 s    |
      | 3     | no_response | eject it       | is ejected for 0.25 s    |
      | 5     | refused     | eject nobody   | may get 4 requests at a time |
      | 6     | refused     | eject it       | is ejected for 0.25 s    |
      | 50    | not_rated   | eject nobody   | may get 4 requests at a time |

  Scenario: Requests without a response eject even if the peers fail too
    # A share of the peers' failures is no reason to wait for an upstream that does not respond.
    Given the upstreams u1 u2 u3 with 4 slots are compared
    And u2 has failed every second of 20 requests
    And u3 has failed every second of 20 requests
    When u1 fails 3 requests in a row with unreachable
    Then u1 is ejected for 0.25 s

  Scenario: An ejected upstream returns slowly, and each further ejection is twice as long
    # An upstream that came back at once with all of its slots failed as many requests as before.
    Given the upstreams u1 u2 u3 with 4 slots are compared
    And u2 has served 20 requests
    When u1 fails 4 requests in a row with error
    Then u1 is ejected for 0.25 s
    And its next ejections, after one more failure each, last 0.5 1 2 4 4 s
    And afterwards it may get these requests at a time as it serves them: 1 2 2 4

  Scenario: The results of requests from before an ejection do not extend it
    # The requests that were in flight made the ejection four times as long.
    Given the upstreams u1 u2 u3 with 4 slots are compared
    And u2 has served 20 requests
    When u1 fails 4 requests in a row with error
    And 3 requests from before fail when its ejection has ended
    Then u1 may get 1 requests at a time

  Scenario: An upstream that restarts starts anew
    Given the upstreams u1 u2 u3 with 4 slots are compared
    And u2 has served 20 requests
    When u1 fails 4 requests in a row with error
    And u1 is replaced by its next process
    Then u1 may get 4 requests at a time

  Scenario: Among free upstreams the one without reported load is chosen
    # A reported slowdown was ignored, so that requests waited for a slow upstream beside a free one.
    Given a pool of 2 upstreams with 4 slots and requests of 100 ms
    When requests arrive for 1 seconds at 2 a second for each upstream
    And upstream 0 reports that work takes 300 % of the usual time
    And 3 requests arrive that have 2000 ms
    Then upstream 1 has got all of them
