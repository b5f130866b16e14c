Feature: An upstream that asks for a pause gets no requests until its end

  Scenario: Requests whose deadline lies within the pause are refused at once
    Given a pool of one upstream with 2 slots and requests of 100 ms
    And upstream 0 asks for a pause of 10 s
    When 5 requests arrive that have 1000 ms
    Then all of them are refused at once with a Retry-After of at least 10 s
    And 5 requests that arrive after that time are served

  Scenario: Requests whose deadline lies beyond the pause wait for its end
    Given a pool of one upstream with 2 slots and requests of 100 ms
    And upstream 0 asks for a pause of 2 s
    When 5 requests arrive that have 4000 ms
    Then all of them are served after 2 s

  Scenario: Requests that wait are refused when the upstream asks for a pause
    Given a pool of one upstream with 2 slots and requests of 100 ms
    When 10 requests arrive that have 1000 ms
    And upstream 0 asks for a pause of 10 s
    Then those that wait are refused at once with a Retry-After of at least 10 s

  Scenario: Requests that wait go to another upstream
    Given a pool of 2 upstreams with 2 slots and requests of 100 ms
    When 10 requests arrive that have 2000 ms
    And upstream 0 asks for a pause of 10 s
    Then those that wait are served by upstream 1

  Scenario: A request is refused with the time of the pause that ends first
    Given a pool of 2 upstreams with 2 slots and requests of 100 ms
    And upstream 0 asks for a pause of 10 s
    And upstream 1 asks for a pause of 5 s
    When 5 requests arrive that have 1000 ms
    Then all of them are refused at once with a Retry-After of at least 5 s
    And 5 requests that arrive after that time are served

  Scenario Outline: A pause lasts although <event>
    Given a pool of <upstreams> upstreams with 2 slots and requests of 100 ms
    And upstream 0 fails each request immediately for <failing> seconds
    When 4 requests arrive that have 1000 ms
    And upstream 0 asks for a pause of 5 s
    And <event>
    And 40 requests arrive one by one that have 9000 ms
    Then upstream 0 has got none of them before 5 s

    Examples:
      | upstreams | failing | event                                     |
      | 1         | 0       | the requests in flight end                |
      | 2         | 0       | the requests in flight end                |
      | 1         | 1       | the requests in flight end                |
      | 2         | 1       | the requests in flight end                |
      | 2         | 0       | upstream 0 leaves and joins again         |
      | 1         | 0       | upstream 0 leaves and joins again         |
      | 1         | 0       | upstream 0 has 3 slots from now on        |
      | 1         | 0       | upstream 0 asks for a shorter pause of 1 s |

  Scenario: A pause ends when the upstream restarts
    Given a pool of one upstream with 2 slots and requests of 100 ms
    And upstream 0 asks for a pause of 10 s
    When upstream 0 restarts
    And 5 requests arrive that have 1000 ms
    Then all of them are served after 0 s

  Scenario: The length of a pause is bounded
    Given a pool of one upstream with 2 slots and requests of 100 ms
    And upstream 0 asks for a pause of 86400 s
    When 600 s pass in the pool
    And 5 requests arrive that have 1000 ms
    Then all of them are served after 600 s

  Scenario Outline: A node sends nothing to an upstream that has asked for a pause
    Given a service <kind> keys with the scripted upstream u1
    And u1 responds with 503 Service Unavailable and <headers>
    When a first request is sent to u1
    And u1 responds with 200 OK and X-Own: 1
    And 5 further requests are sent that have 1 s
    Then the further requests were refused as not run with a Retry-After time
    And the first request and the further ones have a Retry-After of at least 50 s
    And u1 has received 1 request

    Examples:
      | kind    | headers                          |
      | with    | Retry-After: 60, Not-Executed: 1 |
      | without | Retry-After: 60, Not-Executed: 1 |

  Scenario: A failure with 503 asks for a pause too
    Given a service with keys with the scripted upstream u1
    And u1 responds with 503 Service Unavailable and Retry-After: 60
    When a first request is sent to u1
    And 5 further requests are sent that have 1 s
    Then the further requests were refused as not run with a Retry-After time
    And u1 has received 1 request

  Scenario: A request is sent when the pause has ended
    Given a service with keys with the scripted upstream u1
    And u1 responds with 503 Service Unavailable and Retry-After: 0.2, Not-Executed: 1
    When a first request is sent to u1
    And u1 responds with 200 OK and X-Own: 1
    And 1 further request is sent
    Then u1 has received 2 requests

  Scenario: Neither callers nor retries reach upstreams that have asked for a pause
    Given a node in front of an upstream "desk" with keys and an upstream "counter" without
    And the upstream asks for a pause
    When a first request and then 5 more requests are sent to each
    Then all of them get 503 and a Retry-After time
    And each upstream has got exactly 1 request
