Feature: Homes of slots across availability zones

  Scenario: Zones share the slots by their upstreams, and follow the configuration
    Given zones wanaka and twizel share a service of 48 slots
    When their configuration 1 has upstreams w0 w1 in wanaka, t0 t1 in twizel
    Then the zones' upstreams own "w0=12 w1=12 t0=12 t1=12" slots
    When their configuration 2 has upstreams w0 w1 in wanaka, t0 in twizel
    Then the zones' upstreams own "w0=16 w1=16 t0=16" slots
    When their configuration 3 has upstreams w0 in wanaka, t0 in twizel
    Then the zones' upstreams own "w0=24 t0=24" slots
    And no slot ever had two owners

  Scenario: A zone without upstreams gives its slots away, and gets some back
    Given zones wanaka and twizel share a service of 48 slots
    When their configuration 1 has upstreams w0 in wanaka, t0 in twizel
    Then the zones' upstreams own "w0=24 t0=24" slots
    When their configuration 2 has upstreams w0 in wanaka
    Then the zones' upstreams own "w0=48" slots
    When their configuration 3 has upstreams w0 in wanaka, t0 in twizel
    Then the zones' upstreams own "w0=24 t0=24" slots
    And no slot ever had two owners

  Scenario: A zone that reaches none of its upstreams gives its slots away for the time
    Given zones wanaka and twizel share a service of 48 slots
    When their configuration 1 has upstreams w0 in wanaka, t0 in twizel
    Then the zones' upstreams own "w0=24 t0=24" slots
    When the zones' upstream t0 is lost
    Then the zones' upstreams own "w0=48 t0=0" slots
    When the zones' upstream t0 is back
    Then the zones' upstreams own "w0=24 t0=24" slots
    And no slot ever had two owners

  Scenario: A record on its way when its assigner was followed is not written any more
    Given zones wanaka and twizel share a service of 48 slots
    When their configuration 1 has upstreams w0 in wanaka, t0 in twizel
    Then the zones' upstreams own "w0=24 t0=24" slots
    When twizel's assigner pauses right before it gives slots away until it has taken over again
    Then the zones' upstreams own "w0=48" slots
    And the paused write of the placement was refused
    And no slot ever had two owners
