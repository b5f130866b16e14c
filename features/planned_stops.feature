Feature: Planned stops, replacements and drains cut nothing

  Scenario Outline: The <role> node is stopped under load
    Given a fleet "one-zone" with callers on every key
    When the <role> node of the fleet is asked to stop
    Then it ends by itself with exit code 0
    And every key is served again through the fleet's other nodes
    And no request of the fleet was cut
    And no promise of the fleet was broken

    Examples:
      | role    |
      | sending |
      | leading |

  Scenario: Every instance of a zone is replaced one by one
    Given a fleet "one-zone" with calm callers on every key
    When every instance of the fleet is replaced one by one
    Then every key is served again by the fleet
    And no key of the fleet has moved
    And no promise of the fleet was broken

  Scenario Outline: An upstream leaves: <how>
    Given a fleet "one-zone" with callers on every key
    When <how>
    Then the fleet's leaving upstream owns no key
    And no work of the fleet begins at the leaving upstream any more
    And no request of the fleet was cut
    And no promise of the fleet was broken

    Examples:
      | how                                                         |
      | an upstream of the fleet says that it leaves                |
      | a configuration without an upstream of the fleet is applied |
