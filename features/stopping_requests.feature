Feature: A node that is stopping answers every request that it reads

  Scenario: A connection that has not yet sent its first request keeps the front server open
    Given a front server whose upstreams respond with "ok"
    When a caller connects while the front server drains, and the server accepts no more
    Then the front server counts 1 request that may still come
    And a request on that connection is answered
    And the front server becomes idle
