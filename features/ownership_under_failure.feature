Feature: A key has at most one owner, and is served again after a loss

  Scenario: An upstream is lost
    Given a fleet "one-zone" with callers on every key
    When the fleet loses an upstream that owns keys
    Then every key is served again by the fleet
    And the fleet's lost upstream owns no slot
    And no promise of the fleet was broken

  Scenario: An upstream freezes and returns
    Given a fleet "one-zone" with callers on every key
    When the fleet's upstream that owns keys freezes
    Then every key is served again by the fleet
    When the fleet's frozen upstream returns
    Then every key is served again by the fleet
    And no promise of the fleet was broken

  Scenario: A dispatcher is lost
    Given a fleet "one-zone" with callers on every key
    When the fleet loses a dispatcher that sends
    Then every key is served again by the fleet
    And no promise of the fleet was broken

  Scenario: A dispatcher is paused past its assents and returns
    Given a fleet "one-zone" with callers on every key
    When the fleet's dispatcher that sends is paused
    Then every key is served again by the fleet
    When the fleet's paused dispatcher returns
    Then every key is served again by the fleet
    And no promise of the fleet was broken

  Scenario: The dispatcher of an upstream that checks no fences is paused and returns
    Given a fleet "one-zone-unchecked" with callers on every key
    When the fleet's dispatcher of the upstream without fences is paused
    Then every key is served again by the fleet
    When the fleet's paused dispatcher returns
    Then every key is served again by the fleet
    And no promise of the fleet was broken

  Scenario: An assigner is lost
    Given a fleet "one-zone" with callers on every key
    When the fleet loses its active assigner
    Then another assigner of the fleet is active
    And every key is served again by the fleet
    When the fleet loses an upstream that owns keys
    Then every key is served again by the fleet
    And no promise of the fleet was broken

  Scenario: An assigner is paused past its lease and returns
    Given a fleet "one-zone" with callers on every key
    When the fleet's active assigner is paused
    Then another assigner of the fleet is active
    When the fleet loses an upstream that owns keys
    Then every key is served again by the fleet
    When the fleet's paused assigner returns
    Then the fleet's tables never go back
    And every key is served again by the fleet
    And no promise of the fleet was broken

  Scenario: A whole instance is lost
    Given a fleet "one-zone" with callers on every key
    When the fleet loses a whole instance
    Then every key is served again through the fleet's other entries
    And no promise of the fleet was broken

  Scenario: The store is down for long
    Given a fleet "one-zone" with callers on every key
    When the fleet's store goes down
    Then every key is served again by the fleet for 4 s
    When the fleet's store comes back
    Then every key is served again by the fleet
    And no promise of the fleet was broken

  Scenario: The store is down and a dispatcher is lost
    Given a fleet "one-zone" with callers on every key
    When the fleet's store goes down
    And the fleet loses a dispatcher that sends
    Then every key is served again by the fleet
    When the fleet's store comes back
    Then every key is served again by the fleet
    And no promise of the fleet was broken

  Scenario: The store is slow and answers to writes are lost
    Given a fleet "one-zone" with callers on every key
    When the fleet's store is slow and loses answers
    And the fleet loses an upstream that owns keys
    Then every key is served again by the fleet
    And no promise of the fleet was broken
