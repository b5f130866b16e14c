# Guards against bodies that are held without being counted, and against callers that keep memory from
# others by sending or reading too slowly.
Feature: One account limits the bodies that a node holds

  Scenario: A body that finds no room is refused, and nothing is counted for it
    Given a memory account of 1000 bytes
    When bodies of 600 and 300 bytes are counted
    Then a body of 101 bytes finds no room
    And 900 bytes are counted

  Scenario: One body may exceed the limit, and leaves a quarter of it to the others
    Given a memory account of 1000 bytes
    When bodies of 100 and 5000 bytes are counted
    Then a body of 150 bytes finds room
    And a body of 2 bytes finds no room

  Scenario: A small body finds room while larger ones take the whole account
    Given a memory account of 100000 bytes
    When bodies of 60000 and 40000 bytes are counted
    Then a body of 100 bytes finds room
    And a body of 1000 bytes finds no room

  Scenario: The transfers that have stalled first are closed, and only as many as needed
    Given a memory account of 1000 bytes
    And transfers of 400, 300 and 200 bytes, of which the first two have stalled
    When a body of 300 bytes asks for room
    Then it finds room after the first transfer was closed

  Scenario: A transfer that is fast enough is not closed
    Given a memory account of 1000 bytes
    And transfers of 400, 300 and 200 bytes, of which the first two have stalled
    When the first two transfers move on by 100000 bytes
    And a body of 300 bytes asks for room
    Then it finds no room, and no transfer was closed

  Scenario: A response waits for room
    Given a memory account of 1000 bytes
    When bodies of 600 and 300 bytes are counted
    And a response of 500 bytes waits for room, and the body of 600 bytes ends
    Then the response finds room

  Scenario Outline: A call that a node has no memory for is refused without being handled
    Given a node with memory for <limit> bytes that serves calls of other nodes
    When another node relays a body of 100000 bytes
    Then it gets the code <code>, and the node has handled <handled> calls
    And a small call on the same connection succeeds
    And the node counts no more bytes

    Examples:
      | limit  | code | handled |
      | 150000 | 212  | 0       |
      | 400000 | 100  | 1       |

  Scenario Outline: The limits follow from the settings of the platform
    Then an instance with <memory> MB and <fds> descriptors holds <bytes> bytes of bodies, a single one of <single>, and <connections> connections, <uncounted> of them uncounted

    Examples:
      | memory | fds   | bytes    | single    | connections | uncounted |
      | -      | -     | 56623104 | -         | 1500        | 1500      |
      | 160    | 1638  | 40265318 | 77433304   | 744         | 314       |
      | 552    | 10250 | 204682035 | 393619298 | 1500       | 1500      |
      | 552    | 400   | 204682035 | 393619298 | 125        | 125       |
