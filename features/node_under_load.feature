Feature: Callers lose nothing while nodes and upstreams come and go

  Background:
    Given 3 nodes in front of 4 upstreams, and callers at every node that is ready

  @known_red
  Scenario: Every node is replaced one by one
    When every node is stopped and started again, one after the other
    Then the callers were answered in the meantime
    And no caller's request was cut
    And every answer tells the truth

  Scenario: An upstream leaves
    When an upstream announces its end and stops once it holds no key
    Then the callers were answered in the meantime
    And no caller's request was cut
    And every answer tells the truth

  Scenario: The leading node is killed and comes back
    When the leading node is killed and started again
    Then the callers were answered in the meantime
    And every answer tells the truth

  Scenario: An upstream is lost, and its entry lapses
    When an upstream crashes and its entry is removed
    Then all keys are held by the living upstreams again
    And the callers were answered in the meantime
    And every answer tells the truth

  Scenario: Upstreams lose answers and refuse work while the store is silent
    When the store is silent while upstreams lose answers, refuse and double answers in turn
    Then the callers were answered in the meantime
    And every answer tells the truth
