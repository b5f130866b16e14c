Feature: Clocks and timers

  Scenario: A timer service calls its subscriber until it is cancelled
    Given a timer service
    When a part subscribes every 10 ms and waits for 3 calls
    Then no call comes after the part cancels
