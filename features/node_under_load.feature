Feature: No request is lost or run twice while nodes and upstreams are replaced

  Background:
    Given 3 nodes in front of 4 upstreams, and callers at every node that is ready

  @known_red
  Scenario: Every node is replaced one by one
    When every node is stopped and started again, one after the other
    Then the callers keep getting successful responses
    And no request failed with a lost connection or an exceeded deadline
    And every response agrees with what the upstreams ran

  Scenario: An upstream leaves
    When an upstream announces that it is leaving and stops once it holds no key
    Then the callers keep getting successful responses
    And no request failed with a lost connection or an exceeded deadline
    And every response agrees with what the upstreams ran

  Scenario: The leader is killed and restarted
    When the leader is killed and started again
    Then the callers keep getting successful responses
    And every response agrees with what the upstreams ran

  Scenario: An upstream crashes and its registration expires
    When an upstream crashes and its registration is removed
    Then all keys are held by the remaining upstreams again
    And the callers keep getting successful responses
    And every response agrees with what the upstreams ran

  Scenario: Upstreams fail in several ways while the store does not respond
    When the store does not respond while upstreams drop, refuse, duplicate and truncate in turn
    Then the callers keep getting successful responses
    And every response agrees with what the upstreams ran
