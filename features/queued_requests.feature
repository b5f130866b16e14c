Feature: Queued requests follow changes of the upstreams

  Scenario: A request that was queued before an upstream began to leave is not sent to it
    Given a service without keys with the upstreams u1 and u2, both busy, and a queued request
    When u1 begins to leave
    And u1 ends its request
    And u2 ends its request
    Then the queued request was answered by u2

  Scenario: A queued request is refused when the last upstream begins to leave
    Given a service without keys with the upstreams u1 and u2, both busy, and a queued request
    When u1 begins to leave
    And u2 begins to leave
    And u1 ends its request
    Then the queued request was refused as not run
    And u2 ends its request
