Feature: Planned stops, replacements and drains interrupt no request

  @known_red
  Scenario Outline: The <role> node is stopped under load
    Given a fleet "one-zone" with callers on every key
    When the <role> node of the fleet is asked to stop
    Then the stopped node exits with code 0
    And every key is served again through the fleet's other nodes
    And no request of the fleet was interrupted
    And no guarantee of the fleet was violated

    Examples:
      | role    |
      | sending |
      | leading |

  @known_red
  Scenario: Every instance of a zone is replaced one by one
    Given a fleet "one-zone" with callers at a low rate on every key
    When every instance of the fleet is replaced one by one
    Then every key is served again by the fleet
    And no key of the fleet has moved
    And no guarantee of the fleet was violated

  Scenario Outline: An upstream leaves: <how>
    Given a fleet "one-zone" with callers on every key
    When <how>
    Then the fleet's leaving upstream owns no key
    And the fleet's leaving upstream runs no further requests
    And no request of the fleet was interrupted
    And no guarantee of the fleet was violated

    Examples:
      | how                                                         |
      | an upstream of the fleet announces that it is leaving       |
      | a configuration without an upstream of the fleet is applied |
