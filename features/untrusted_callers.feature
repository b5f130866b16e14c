# Guards against nodes that run out of memory or descriptors, hang, or miss a signal because of what
# callers send, and of how slowly they read. The crowd and the bounds were fixed before the product was
# changed; they do not depend on the speed of the machine.
Feature: Untrusted callers do not exhaust a node

  Scenario Outline: Callers stop short of the end of their bodies: <bodies>
    Given a fleet of 1 nodes for untrusted callers
    When callers send <bodies>, and keep their connections open
    Then the memory of each node stays below 200 MB
    And each node has fewer than 300 descriptors open
    And an ordinary request to each node is served

    Examples:
      | bodies                                       |
      | 40 bodies in chunks of 6000000 bytes         |
      | 16 bodies in chunks of 1 byte                |
      | 6 bodies of one chunk of 45000000 bytes each |

  Scenario: Many callers read long responses slowly
    Given a fleet of 1 nodes for untrusted callers, with long responses
    When 90 callers request a long response and do not read it
    Then the memory of each node stays below 200 MB
    And each node has fewer than 300 descriptors open
    And an ordinary request to each node is served

  Scenario: Uploads through other nodes arrive at the one that sends to the upstream
    Given a fleet of 5 nodes for untrusted callers
    When 100 callers upload 2800000 bytes each for one key, spread over the nodes
    Then the memory of each node stays below 200 MB
    And each node has fewer than 300 descriptors open
    And an ordinary request to each node is served

  Scenario: More callers connect than the node has descriptors for
    Given a fleet of 1 nodes for untrusted callers, with the settings memory_mb 200 and max_fds 400
    When 500 callers connect and send a part of a request
    Then each node has fewer than 300 descriptors open
    And the memory of each node stays below 200 MB
    And an ordinary request to each node is served

  Scenario: A single body of the largest size is served
    Given a fleet of 1 nodes for untrusted callers
    When one caller sends a body of 67108864 bytes with a length
    Then it is served
    And the memory of each node stays below 200 MB

  Scenario: A node that gets SIGTERM while it is suspended stops
    Given a fleet of 1 nodes for untrusted callers
    When each node gets SIGTERM while it is suspended, and is resumed
    Then each node exits with code 0
