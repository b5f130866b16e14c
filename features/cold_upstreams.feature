Feature: A node knows which upstreams are cold, from entries, responses and refused connections

  Scenario Outline: What makes an upstream cold: guards against a start that goes unnoticed
    Given an upstream that is <first> in a node's first list, with a warm-up of 3 s
    When this happens: <event>
    Then the upstream is <state>

    Examples: first lists; the clock of an upstream may be wrong, so its start time states nothing
      | first                              | event                                 | state             |
      | listed                             | nothing happens                       | warm              |
      | listed with 1.2 s left             | nothing happens                       | cold for 1.2 s    |
      | born 1 s ago                       | nothing happens                       | warm              |
      | born 1 s ago with 2 s left         | nothing happens                       | cold for 2 s      |
      | born 60 s ago                      | nothing happens                       | warm              |
      | born 60 s ahead                    | nothing happens                       | warm              |
      | born 60 s ahead with 1.2 s left    | nothing happens                       | cold for 1.2 s    |
      | born at an unknown time            | nothing happens                       | warm              |
      | born 60 s ago with 2 s left        | nothing happens                       | cold for 2 s      |

    Examples: later lists
      | first                              | event                                 | state             |
      | missing                            | it is listed                          | cold for 3 s      |
      | missing                            | it is listed born 60 s ago            | cold for 3 s      |
      | listed                             | it is listed with another start       | cold for 3 s      |
      | listed                             | it is listed at another address       | cold for 3 s      |
      | listed                             | it is listed with 2 s left            | cold for 2 s      |
      | listed                             | it is missing for 2 s and listed      | warm              |
      | listed                             | it is missing for 70 s and listed     | cold for 3 s      |
      | born at an unknown time            | it is missing for 2 s and listed      | cold for 3 s      |
      | listed                             | it is listed with 4 s left, 1 s pass, another upstream joins | cold for 3 s |
      | missing                            | it is listed and 2 s pass             | cold for 1 s      |
      | missing                            | it is listed and 3 s pass             | warm              |

    Examples: connections and responses
      | first                              | event                                 | state             |
      | listed                             | it refuses a connection               | cold for 3 s      |
      | listed                             | it refuses a connection and 2 s pass  | cold for 3 s      |
      | listed                             | it refuses, 2 s pass, it responds     | cold for 3 s      |
      | listed                             | it refuses, responds and 2 s pass     | cold for 1 s      |
      | listed                             | it refuses, responds and 3 s pass     | warm              |
      | listed                             | it refuses and is listed 4 s later    | cold for 3 s      |
      | listed                             | it refuses and is listed 6 s later    | warm              |
      | listed                             | it responds with 1.5 s left           | cold for 1.5 s    |
      | listed                             | it responds with 0 s left             | warm              |
      | missing                            | it is listed and responds with 0 s left | cold for 3 s    |
      | listed                             | the evacuation of its zone ends       | cold for 3 s      |
      | listed                             | the evacuation of another zone ends   | warm              |

  Scenario: A response states the rest of a warm-up: guards against a warm-up that only the upstream knows
    Given a sender of a cold service with the scripted upstream u1 whose sender another node is
    And u1 responds with the header Warmup-Remaining-Ms: 60000
    When a request for its key is sent
    And 3 requests for its key are sent at once that have 600 ms
    Then at most 1 requests have arrived at u1
    And the others were refused as not run with a Retry-After time of at most 3 s

  Scenario Outline: An owner that refuses a connection is cold: guards against the full rate after an unnoticed restart
    Given a sender of a cold service with the scripted upstream u1 <role>
    And u1 has terminated
    When a request for its key is sent
    And u1 runs again and 600 ms pass
    And 12 requests for its key are sent at once that have 600 ms
    Then at most <most> requests have arrived at u1
    And the others were refused as not run with a Retry-After time of at most 3 s

    Examples: 5 requests per second, from 0.2 s on
      | role                            | most |
      | whose sender it is              | 3    |
      | whose sender another node is    | 0    |

  Scenario Outline: A malformed statement is ignored and logged once: guards against a lost response
    Given a sender of a cold service with the scripted upstream u1 whose sender another node is
    And u1 responds with the header Warmup-Remaining-Ms: <value>
    When 3 requests for its key are sent one by one
    Then 3 requests have arrived at u1 and were answered
    And the log names the malformed header <times>

    Examples:
      | value      | times |
      | soon       | once  |
      | -1         | once  |
      | 1e3        | once  |
      | 3600001    | once  |
      | nan        | once  |
      | 0          | never |

  Scenario Outline: A malformed value of a service is logged and does not invalidate the configuration: guards against losing the rest
    When a configuration is decoded in which services.one.<field> is <value>
    Then the service has a rate of <rate> and a warm-up of <warmup> s
    And <count> value of the configuration is reported as ignored

    Examples: a malformed warm-up counts as 3 s, so that the rate still applies
      | field        | value         | rate | warmup | count |
      | warmup_per_s | 7             | 7    | 2      | 0     |
      | warmup_per_s | 0             | 0    | 2      | 0     |
      | warmup_per_s | null          | 0    | 2      | 0     |
      | warmup_per_s | "5.6"         | 0    | 2      | 1     |
      | warmup_per_s | -1            | 0    | 2      | 1     |
      | warmup_per_s | true          | 0    | 2      | 1     |
      | warmup_per_s | 1e999         | 0    | 2      | 1     |
      | warmup_per_s | NaN           | 0    | 2      | 1     |
      | warmup_per_s | {}            | 0    | 2      | 1     |
      | warmup       | "2500ms"      | 5.6  | 2.5    | 0     |
      | warmup       | null          | 5.6  | 0      | 0     |
      | warmup       | 0             | 5.6  | 0      | 0     |
      | warmup       | 3             | 5.6  | 3      | 1     |
      | warmup       | "soon"        | 5.6  | 3      | 1     |
      | warmup       | "3601s"       | 5.6  | 3      | 1     |
      | warmup       | "-1s"         | 5.6  | 3      | 1     |
      | warmup       | false         | 5.6  | 3      | 1     |

  Scenario: A deployment without the bounds and regions gets valid settings, as does one with them
    Then the settings template gives valid settings without the bounds of cold upstreams
    And with them gives a ratio of 1.5 and a reserve of 8
    And with limits of 200 MB and 4100 descriptors gives both, and without them neither
    And with a region eu and zones {"zone-a": "eu"} gives the region eu of zone-a
    And with a region eu and zones ["zone-a"] gives the region none of zone-a
