Feature: Planned stops, replacements and drains cut nothing

  Scenario Outline: A <program> is stopped under load
    Given a fleet "one-zone" with callers on every key
    When a <program> of the fleet is asked to stop
    Then it ends by itself with exit code 0
    And every key is served again through the fleet's other entries
    And no request of the fleet was cut
    And no promise of the fleet was broken

    Examples:
      | program    |
      | dispatcher |
      | assigner   |

  Scenario: Every instance of a zone is replaced one by one under load
    Given a fleet "one-zone" with callers on every key
    When every instance of the fleet is replaced one by one
    Then every key is served again by the fleet
    And no slot of the fleet has moved
    And no promise of the fleet was broken

  Scenario: An upstream leaves
    Given a fleet "one-zone" with callers on every key
    When the platform lists an upstream of the fleet as leaving
    Then the fleet's leaving upstream owns no slot
    And no work of the fleet begins at the leaving upstream any more
    And no request of the fleet was cut
    And no promise of the fleet was broken
