Feature: Memory of requests that must not repeat

  Scenario Outline: What the first request of an id leaves behind
    Given a memory of 10 requests and 100000 bytes
    When a request is remembered for 60 s and ends with <code>
    Then its id meets <claim> after <passed> s

    Examples:
      | code                     | passed | claim  |
      | OK                       | 59     | repeat |
      | OK                       | 61     | first  |
      | DEADLINE_EXCEEDED        | 59     | repeat |
      | DEADLINE_EXCEEDED        | 61     | first  |
      | UPSTREAM_CONNECTION_LOST | 59     | repeat |
      | ASSENT_LAPSED            | 59     | repeat |
      | TOO_LATE                 | 0      | first  |
      | CANCELLED                | 0      | first  |
      | REFUSED_BY_UPSTREAM      | 0      | first  |
      | MEMORY_TOO_YOUNG         | 0      | first  |

  Scenario Outline: A full memory takes no new request and forgets none early
    Given a memory of <count> requests and <bytes> bytes
    When <remembered> requests with answers of <size> bytes are remembered for 60 s
    Then a new id meets <claim> after <passed> s
    And <kept> ids are remembered

    Examples:
      | count | bytes  | remembered | size | passed | claim | kept |
      | 3     | 100000 | 2          | 10   | 0      | first | 3    |
      | 3     | 100000 | 3          | 10   | 0      | full  | 3    |
      | 3     | 100000 | 3          | 10   | 59     | full  | 3    |
      | 3     | 100000 | 3          | 10   | 61     | first | 1    |
      | 100   | 5000   | 3          | 900  | 0      | first | 4    |
      | 100   | 5000   | 4          | 900  | 0      | full  | 4    |
      | 100   | 5000   | 4          | 900  | 61     | first | 1    |

  Scenario: A request that is still running is not forgotten
    Given a memory of 10 requests and 100000 bytes
    When a request is remembered for 60 s and does not end
    Then its id meets repeat after 600 s

  Scenario Outline: When a request id was issued
    Then the id <id> was issued at <at>

    Examples:
      | id                                   | at            |
      | 017f22e2-79b0-7cc3-98c4-dc0c0c07398f | 1645557742.0  |
      | 017F22E2-79B0-7CC3-98C4-DC0C0C07398F | 1645557742.0  |
      | 017f22e2-79b0-4cc3-98c4-dc0c0c07398f | no known time |
      | 017f22e2-79b0-7cc3-18c4-dc0c0c07398f | no known time |
      | 017f22e279b07cc398c4dc0c0c07398f     | no known time |
      | 017f22e2-79b0-7cc3-98c4-dc0c0c07398  | no known time |
      | hello                                | no known time |

  Scenario Outline: Retries are bounded by successes
    Given a retry budget of <ratio>
    When <successes> requests succeed after the budget was used up
    Then <retries> retries are allowed

    Examples:
      | ratio | successes | retries |
      | 0.1   | 0         | 0       |
      | 0.1   | 9         | 0       |
      | 0.1   | 10        | 1       |
      | 0.1   | 100       | 10      |
      | 0.1   | 1000      | 20      |
      | 0     | 1000      | 0       |

  Scenario: Load is measured in slot-seconds a second
    When an upstream works 0.3 s in each of 20 s, half of it for key a
    Then its load is 0.3 and that of key a 0.15, within 0.05
    And its load is below 0.01 after 20 s more

  Scenario: The hottest keys are found among many
    When 2000 requests of 10 ms come for keys of their own and 1000 for key hot
    Then key hot is reported with the highest load
    And at most 32 keys are reported
