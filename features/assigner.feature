Feature: The assigner program

  Scenario: The first table of a zone is whole and balanced
    Given 2 assigners and 3 dispatchers of wanaka, with 6 upstreams and 64 slots
    Then each of the zone's slots has one owner
    And each upstream of the zone owns 10 or 11 slots
    And each dispatcher of the zone is first for 2 upstreams
    And the zone's witnesses are the 3 dispatchers

  Scenario: A stopping assigner is followed by the next one
    Given 2 assigners and 3 dispatchers of wanaka, with 6 upstreams and 64 slots
    And each of the zone's slots has one owner
    When the active assigner stops
    Then the zone's other assigner is active with a higher term
    And no slot of the zone has moved

  Scenario: A lost upstream's slots go to the others after its grants lapsed
    Given 2 assigners and 3 dispatchers of wanaka, with 3 upstreams and 60 slots
    And each of the zone's slots has one owner
    When upstream u0 is lost while its grants may still be in force
    Then the zone's slots of u0 have no owner
    When the grants of upstream u0 have lapsed
    Then each of the zone's slots has one owner
    And the zone's upstreams own u0:0 u1:30 u2:30 slots
    And no slot of the zone's other upstream has moved

  Scenario: A leaving upstream loses its slots by release
    Given 2 assigners and 3 dispatchers of wanaka, with 3 upstreams and 60 slots
    And each of the zone's slots has one owner
    When the memory platform lists u1 as leaving
    Then the zone's upstreams own u0:30 u1:0 u2:30 slots
    And each of the zone's slots has one owner

  Scenario: A lost dispatcher is followed by the next in order
    Given 2 assigners and 3 dispatchers of wanaka, with 6 upstreams and 64 slots
    And each of the zone's slots has one owner
    When the zone's dispatcher d0 is lost
    Then each dispatcher of the zone but d0 is first for 3 upstreams
    And no slot of the zone has moved

  Scenario: Answers to writes are lost after they took effect
    Given 2 assigners and 3 dispatchers of wanaka, with 3 upstreams and 60 slots
    And each of the zone's slots has one owner
    When the answers to the memory platform's next 2 writes are lost
    And the memory platform lists u1 as leaving
    Then the zone's upstreams own u0:30 u1:0 u2:30 slots
    And each of the zone's slots has one owner
    And the zone's term has not changed

  Scenario: An assigner that lost its lease while paused changes nothing
    Given 2 assigners and 3 dispatchers of wanaka, with 3 upstreams and 60 slots
    And each of the zone's slots has one owner
    When the active assigner pauses right before a write until another took over
    Then the paused assigner's write was refused as a conflict
    And each of the zone's slots has one owner
    And the zone's table in the store is of the new term or a later one

  Scenario: The store is down and comes back
    Given 2 assigners and 3 dispatchers of wanaka, with 3 upstreams and 60 slots
    And each of the zone's slots has one owner
    When the memory platform goes down until no assigner is active
    Then a new dispatcher of the zone still gets the table
    When the memory platform comes back and lists u1 as leaving
    Then the zone's upstreams own u0:30 u1:0 u2:30 slots
    And each of the zone's slots has one owner

  Scenario: An assigner that no longer hears its zone gives way to one that does
    Given 2 assigners and 3 dispatchers of wanaka, with 3 upstreams and 60 slots
    And each of the zone's slots has one owner
    When the active assigner no longer hears dispatchers
    Then the zone's other assigner is active with a higher term
    When the memory platform lists u1 as leaving
    Then the zone's upstreams own u0:30 u1:0 u2:30 slots
