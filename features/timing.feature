Feature: Timer service

  Scenario: A subscriber is called at each interval until it cancels its subscription
    Given a timer service
    When a subscriber subscribes with an interval of 10 ms and waits for 3 calls
    Then the subscriber is not called after it cancels the subscription

  Scenario: Only the time stamps of log lines depend on the time of day, which may jump
    Given the source code of the program
    Then no module reads the time of day
    And every wait and timeout uses a monotonic clock
