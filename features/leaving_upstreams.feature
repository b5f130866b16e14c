Feature: An upstream whose response states that it is leaving gets no new requests

  Scenario Outline: Other upstreams of a service without keys serve its requests
    Given a service without keys with the scripted upstreams u1 and u2
    And u1 responds with <status> and <headers>
    When a first request is sent to u1
    And 10 further requests are sent
    Then u1 has received 1 request and u2 has received 10

    Examples: every kind of response counts
      | status                  | headers                           |
      | 200 OK                  | Server-Leaving: 1                 |
      | 500 Failed              | Server-Leaving: 1                 |
      | 503 Service Unavailable | Server-Leaving: 1                 |
      | 503 Service Unavailable | Server-Leaving: 1, Not-Executed: 1 |

  Scenario: Requests are refused at once if no other upstream is left
    Given a service without keys with the scripted upstream u1
    And u1 responds with 200 OK and Server-Leaving: 1
    When a first request is sent to u1
    And 3 further requests are sent
    Then the further requests were refused as not run with a Retry-After time
    And u1 has received 1 request

  Scenario: The response is passed on unchanged
    Given a service without keys with the scripted upstream u1
    And u1 responds with 200 OK and Server-Leaving: 1
    When a first request is sent to u1
    Then the first response was passed on with Server-Leaving: 1

  Scenario: A response of the next upstream at the address does not count
    Given a service without keys with the scripted upstreams u1 and u2
    And u1 responds with 421 Misdirected and Server-Leaving: 1, Instance-Id: u3
    When a first request is sent to u1
    Then no upstream is remembered as leaving

  Scenario: The owner of a key gets requests until the key should have moved
    Given a service with keys with the scripted upstream u1
    And u1 responds with 200 OK and Server-Leaving: 1
    When a first request is sent to u1
    And 900 ms pass
    And 3 further requests are sent
    Then u1 has received 4 requests
    When 200 ms pass
    And 3 further requests are sent
    Then the further requests were refused as not run with a Retry-After time
    And u1 has received 4 requests

  Scenario: Later responses do not prolong the time of an owner
    Given a service with keys with the scripted upstream u1
    And u1 responds with 200 OK and Server-Leaving: 1
    When a first request is sent to u1
    And 600 ms pass
    And 1 further request is sent
    And 600 ms pass
    And 1 further request is sent
    Then the further requests were refused as not run with a Retry-After time
    And u1 has received 2 requests

  Scenario Outline: The next process of the upstream gets requests
    Given a service <kind> keys with the scripted upstream u1
    And u1 responds with 200 OK and Server-Leaving: 1
    When a first request is sent to u1
    And 1100 ms pass
    And u1 restarts
    And u1 responds with 200 OK and X-Own: 1
    And 3 further requests are sent
    Then u1 has received 4 requests

    Examples:
      | kind    |
      | with    |
      | without |

  Scenario: A request that waits for the owner of its key is not sent after that time
    Given a service with keys with the scripted upstream u1
    And u1 responds with 200 OK and Server-Leaving: 1
    When a first request is sent to u1
    And a request is held at u1 while another one waits
    And 1100 ms pass
    And u1 ends the held request
    Then the waiting request was refused as not run
    And u1 has received 2 requests

  Scenario: The number of remembered upstreams is bounded
    When 100000 upstreams have stated that they are leaving
    Then at most 10000 of them are remembered, the last one among them

  Scenario: A node stops sending to upstreams that say that they are leaving
    Given a node in front of an upstream "desk" with keys and an upstream "counter" without
    And both upstreams say in their answers that they are leaving
    When callers send requests until "counter" and "desk" are refused
    And 5 more requests are sent to each
    Then all of them get 503 and a Retry-After time
    And none of them has reached an upstream
