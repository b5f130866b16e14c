Feature: Fault-injecting proxy
  Faults between processes are made by a proxy on each link, so the faults are tested themselves.

  Background:
    Given a server that echoes and a link to it

  Scenario Outline: A fault meets open and new connections as it says
    Given a connection is open on the link
    When the link's fault is <fault>
    Then the link's open connection <open>
    And a new connection on the link <new>

    Examples:
      | fault                                                                | open        | new           |
      | {"kind": "pass"}                                                     | echoes      | echoes        |
      | {"kind": "refuse"}                                                   | echoes      | is refused    |
      | {"kind": "cut"}                                                      | is reset    | echoes        |
      | {"kind": "silence"}                                                  | is silent   | is silent     |
      | {"kind": "silence", "scope": "existing"}                             | is silent   | echoes        |
      | {"kind": "silence", "direction": "to_target"}                        | is silent   | is silent     |
      | {"kind": "silence", "direction": "to_caller"}                        | is silent   | is silent     |
      | {"kind": "silence", "direction": "to_caller", "scope": "existing"}   | is silent   | echoes        |
      | {"kind": "delay", "delay_ms": 20}                                    | echoes      | echoes        |
      | {"kind": "truncate", "byte_count": 3}                                | breaks off after 3 bytes | breaks off after 3 bytes |

  Scenario Outline: What reaches the target under silence
    Given a connection is open on the link
    When the link's fault is <fault>
    And the link's open connection sends a request
    Then the link's server <seen> the request

    Examples:
      | fault                                         | seen     |
      | {"kind": "silence", "direction": "to_target"} | misses   |
      | {"kind": "silence", "direction": "to_caller"} | receives |

  Scenario Outline: After a fault has ended
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

  Scenario Outline: Closings pass unless the link is silent
    Given a connection is open on the link
    When the link's fault is <fault>
    And the link's open connection closes by <way>
    Then the link's server <seen>

    Examples:
      | fault               | way      | seen                      |
      | {"kind": "pass"}    | ending   | sees the connection end   |
      | {"kind": "pass"}    | a reset  | sees the connection reset |
      | {"kind": "silence"} | ending   | sees nothing              |
      | {"kind": "silence"} | a reset  | sees nothing              |

  Scenario: Delayed bytes arrive once the delay is over
    Given a connection is open on the link
    When the link's fault is {"kind": "delay", "delay_ms": 3000}
    And the link's open connection sends a request
    Then the link's server has not received the request at once
    But the link's server receives the request

  Scenario: A target that refuses shows as a reset
    When the link's server has stopped
    Then a new connection on the link is reset

  Scenario: Faults are set by pairs of links over HTTP
    Given a proxy process with links a/1, a/2 and b/1 to the server
    When the proxy process is told to refuse on a/*
    Then connections on a/1 and a/2 are refused and on b/1 echo
    And an unknown fault is answered by the proxy process with 400
