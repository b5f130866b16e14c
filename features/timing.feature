Feature: Timer service

  Scenario: A subscriber is called at each interval until it cancels its subscription
    Given a timer service
    When a subscriber subscribes with an interval of 10 ms and waits for 3 calls
    Then the subscriber is not called after it cancels the subscription
