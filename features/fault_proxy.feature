Feature: Fault-injecting proxy
  A proxy on each link injects the faults between processes; these scenarios test the faults.

  Background:
    Given an echo server and a link to it

  Scenario Outline: Effect of a fault on open and new connections
    Given a connection is open on the link
    When the link's fault is <fault>
    Then the link's open connection <open>
    And a new connection on the link <new>

    Examples:
      | fault                                                              | open                    | new                     |
      | {"kind": "pass"}                                                   | echoes                  | echoes                  |
      | {"kind": "refuse"}                                                 | echoes                  | is refused              |
      | {"kind": "cut"}                                                    | is reset                | echoes                  |
      | {"kind": "silence"}                                                | is silent               | is silent               |
      | {"kind": "silence", "scope": "existing"}                           | is silent               | echoes                  |
      | {"kind": "silence", "direction": "to_target"}                      | is silent               | is silent               |
      | {"kind": "silence", "direction": "to_caller"}                      | is silent               | is silent               |
      | {"kind": "silence", "direction": "to_caller", "scope": "existing"} | is silent               | echoes                  |
      | {"kind": "delay", "delay_ms": 20}                                  | echoes                  | echoes                  |
      | {"kind": "truncate", "byte_count": 3}                              | is closed after 3 bytes | is closed after 3 bytes |

  Scenario Outline: Requests to the target during silence
    Given a connection is open on the link
    When the link's fault is <fault>
    And the link's open connection sends a request
    Then the link's server <seen> the request

    Examples:
      | fault                                         | seen             |
      | {"kind": "silence", "direction": "to_target"} | does not receive |
      | {"kind": "silence", "direction": "to_caller"} | receives         |

  Scenario Outline: Connections after a fault has been cleared
    Given a connection is open on the link
    When the link's fault is <fault>
    And the link's fault is {"kind": "pass"}
    Then the link's open connection <open>
    And a new connection on the link echoes

    Examples:
      | fault                             | open      |
      | {"kind": "refuse"}                | echoes    |
      | {"kind": "silence"}               | is silent |
      | {"kind": "delay", "delay_ms": 20} | echoes    |

  Scenario Outline: Connection closes are forwarded unless the link is silent
    Given a connection is open on the link
    When the link's fault is <fault>
    And the link's open connection is closed with <way>
    Then the link's server <seen>

    Examples:
      | fault               | way    | seen                      |
      | {"kind": "pass"}    | a FIN  | sees the connection end   |
      | {"kind": "pass"}    | an RST | sees the connection reset |
      | {"kind": "silence"} | a FIN  | sees nothing              |
      | {"kind": "silence"} | an RST | sees nothing              |

  Scenario: Delayed bytes arrive after the delay
    Given a connection is open on the link
    When the link's fault is {"kind": "delay", "delay_ms": 3000}
    And the link's open connection sends a request
    Then the link's server has not yet received the request
    But the link's server receives the request

  Scenario: A target that refuses connections appears as a reset
    When the link's server has stopped
    Then a new connection on the link is reset

  Scenario: Faults are set over HTTP for all links that match a pattern
    Given a proxy process with links a/1, a/2 and b/1 to the server
    When the proxy process is set to refuse connections on a/*
    Then connections on a/1 and a/2 are refused and those on b/1 echo
    And the proxy process rejects an unknown fault with status 400
