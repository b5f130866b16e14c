Feature: Running requests at an upstream

  Background:
    Given a dispatcher of one upstream

  Scenario Outline: What an attempt's end means for a request
    Given the upstream answers <attempts> and cancellations with <cancel>
    When a request of <operation> comes
    Then its code is <code> after <sends> sends and <cancels> cancellations

    Examples: the request ran
      | operation | attempts | cancel  | code | sends | cancels |
      | check     | ran      | unknown | OK   | 1     | 0       |
      | issue     | ran      | unknown | OK   | 1     | 0       |

    Examples: proved not run; any request is retried
      | operation | attempts           | cancel  | code                | sends | cancels |
      | check     | refused ran        | unknown | OK                  | 2     | 0       |
      | issue     | refused ran        | unknown | OK                  | 2     | 0       |
      | issue     | shed ran           | unknown | OK                  | 2     | 0       |
      | issue     | not-sent ran       | unknown | OK                  | 2     | 0       |
      | check     | not-sent ran       | unknown | OK                  | 2     | 0       |
      | issue     | expired            | unknown | TOO_LATE            | 1     | 0       |
      | check     | expired ran        | unknown | OK                  | 2     | 0       |
      | issue     | cancelled          | unknown | CANCELLED           | 1     | 0       |
      | issue     | refused*9          | unknown | REFUSED_BY_UPSTREAM | 6     | 0       |
      | check     | shed*9             | unknown | REFUSED_BY_UPSTREAM | 6     | 0       |
      | check     | not-sent*9         | unknown | NO_OWNER            | 6     | 0       |

    Examples: it may have run; only an idempotent request is retried
      | operation | attempts           | cancel  | code                     | sends | cancels |
      | check     | lost ran           | unknown | OK                       | 2     | 0       |
      | issue     | lost ran           | unknown | UPSTREAM_CONNECTION_LOST | 1     | 1       |
      | issue     | lost ran           | ran     | UPSTREAM_CONNECTION_LOST | 1     | 1       |
      | issue     | lost ran           | fails   | UPSTREAM_CONNECTION_LOST | 1     | 1       |
      | check     | mismatch ran       | unknown | OK                       | 2     | 0       |
      | issue     | mismatch ran       | unknown | ANSWER_MISMATCH          | 1     | 1       |
      | check     | silent ran         | unknown | OK                       | 2     | 0       |
      | check     | silent*9           | unknown | DEADLINE_EXCEEDED        | 3     | 1       |
      | issue     | silent ran         | unknown | DEADLINE_EXCEEDED        | 1     | 1       |
      | issue     | silent ran         | ran     | DEADLINE_EXCEEDED        | 1     | 1       |
      | issue     | silent ran         | fails   | DEADLINE_EXCEEDED        | 1     | 1       |
      | check     | lost*9             | unknown | UPSTREAM_CONNECTION_LOST | 6     | 0       |

    Examples: a confirmed cancellation proves that it was not run, but only after the deadline
      | operation | attempts           | cancel    | code                     | sends | cancels |
      | issue     | silent             | cancelled | TOO_LATE                 | 1     | 1       |
      | issue     | refused silent     | cancelled | TOO_LATE                 | 2     | 1       |
      | issue     | lost               | cancelled | UPSTREAM_CONNECTION_LOST | 1     | 1       |
      | issue     | mismatch           | cancelled | ANSWER_MISMATCH          | 1     | 1       |

    Examples: an earlier attempt may have run, so a later refusal proves nothing
      | operation | attempts           | cancel  | code                     | sends | cancels |
      | check     | lost refused*9     | unknown | UPSTREAM_CONNECTION_LOST | 6     | 0       |
      | check     | lost expired*9     | unknown | UPSTREAM_CONNECTION_LOST | 6     | 0       |
      | check     | silent cancelled   | unknown | DEADLINE_EXCEEDED        | 2     | 0       |

  Scenario Outline: Requests that are turned away without being sent
    Given <condition>
    When a request of <operation> comes
    Then its code is <code> after 0 sends and 0 cancellations

    Examples:
      | condition                                  | operation | code             |
      | no configuration                           | check     | NO_CONFIG        |
      | the dispatcher stops                       | check     | STOPPING         |
      | nothing                                    | absent    | NO_ROUTE         |
      | no time left                               | check     | TOO_LATE         |
      | another upstream id                        | check     | NO_OWNER         |
      | a slot that the upstream does not own      | check     | NO_OWNER         |
      | a request id that is no UUIDv7             | issue     | BAD_REQUEST      |
      | a request id from the future               | issue     | BAD_REQUEST      |
      | a request id older than the memory         | issue     | MEMORY_TOO_YOUNG |
      | a request id older than the right          | issue     | MEMORY_TOO_YOUNG |
      | a request id within the skew of the right  | issue     | MEMORY_TOO_YOUNG |
      | the upstream leaving for 3 s               | check     | NO_OWNER         |

  Scenario Outline: Conditions that do not turn a request away
    Given <condition>
    When a request of <operation> comes
    Then its code is OK after 1 sends and 0 cancellations

    Examples:
      | condition                                      | operation |
      | a request id that is no UUIDv7                 | check     |
      | a request id within the skew drawn by the entry | issue    |
      | the upstream leaving for 1 s                   | check     |

  Scenario Outline: Requests wait for the right to send, for a bounded time
    Given the right <condition>
    When a request of check comes while time goes on
    Then its code is <code> after <sends> sends and 0 cancellations

    Examples:
      | condition                          | code           | sends |
      | missing for its grant for 1000 ms  | OK             | 1     |
      | missing for its grant for 60000 ms | NO_OWNER       | 0     |
      | lapsed for 200 ms                  | OK             | 1     |
      | lapsed for 60000 ms                | NOT_DISPATCHER | 0     |

  Scenario Outline: Requests are turned away at once where waiting is of no use
    Given the right <condition>
    When a request of check comes
    Then its code is NOT_DISPATCHER after 0 sends and 0 cancellations

    Examples:
      | condition               |
      | closed for a handover   |
      | never held              |

  Scenario: A key whose grant is missing does not hold up others
    Given the right to send for key k is missing
    And a request of check waits
    When a request of check for another key comes
    Then its code is OK after 1 sends and 0 cancellations
    When the waiting request is cancelled
    Then the waiting request ends with CANCELLED after 1 sends

  Scenario Outline: The right lapses while the request is at the upstream
    Given an upstream that <checks> fences and answers <answer> after the right lapsed
    When a request of issue comes
    Then its code is <code> after 1 sends and <cancels> cancellations

    Examples:
      | checks         | answer    | code          | cancels |
      | checks         | ran       | OK            | 0       |
      | does not check | ran       | ASSENT_LAPSED | 0       |
      | does not check | cancelled | CANCELLED     | 0       |
      | checks         | lost      | ASSENT_LAPSED | 1       |

  Scenario Outline: A repeated request id meets its first
    Given the upstream answers <attempts> and cancellations with unknown
    When a request of <operation> comes <times> times under one id
    Then the codes are <codes> after <sends> sends

    Examples:
      | operation | attempts    | times | codes                                             | sends |
      | issue     | ran         | 3     | OK OK_REPEATED OK_REPEATED                        | 1     |
      | issue     | lost        | 2     | UPSTREAM_CONNECTION_LOST UPSTREAM_CONNECTION_LOST | 1     |
      | issue     | silent      | 2     | DEADLINE_EXCEEDED DEADLINE_EXCEEDED               | 1     |
      | issue     | expired ran | 3     | TOO_LATE OK OK_REPEATED                           | 2     |
      | check     | ran ran     | 2     | OK OK                                             | 2     |

  Scenario: An id under which something else was asked
    When a request of issue comes
    And a request of issue for another key comes under the same id
    Then its code is BAD_REQUEST after 1 sends and 0 cancellations

  Scenario: A repeat of a running request waits and then says so
    Given a request of issue is at the upstream
    When it is repeated with 50 ms left
    Then the repeat's code is STILL_RUNNING
    And the first ends with OK after 1 sends

  Scenario: A repeat of a running request gets its answer
    Given a request of issue is at the upstream
    When it is repeated with 10000 ms left and the first is answered
    Then the repeat's code is OK_REPEATED
    And the first ends with OK after 1 sends

  Scenario: A lost right starts the memory anew
    Given the upstream answers ran and cancellations with unknown
    When the right is lost and obtained again
    And a request of issue comes whose id is from before
    Then its code is MEMORY_TOO_YOUNG after 0 sends and 0 cancellations

  Scenario: A pause starts the memory anew
    When the process is paused for 10 s
    And a request of issue comes whose id is from before
    Then its code is MEMORY_TOO_YOUNG after 0 sends and 0 cancellations

  Scenario: A key gained from another upstream starts its memory anew
    When the upstream gains the request's slot from another
    And a request of issue comes whose id is from before
    Then its code is MEMORY_TOO_YOUNG after 0 sends and 0 cancellations

  Scenario: A known answer outlives a lost right
    When a request of issue comes
    And the right is lost and obtained again
    And a request of issue comes again under the same id
    Then its code is OK_REPEATED after 1 sends and 0 cancellations

  Scenario: A waiting request is cancelled
    Given a request of check is at the upstream
    And another request of check waits
    When the waiting request is cancelled
    Then the cancellation's code is CANCELLED
    And the waiting request ends with CANCELLED after 1 sends

  Scenario Outline: A request at the upstream is cancelled
    Given a request of issue is at the upstream
    And the upstream answers cancellations with <cancel>
    When the request at the upstream is cancelled
    Then the cancellation's code is <code>
    And the first ends with OK after 1 sends

    Examples:
      | cancel    | code          |
      | cancelled | STILL_RUNNING |
      | ran       | OK            |
      | unknown   | STILL_RUNNING |
      | fails     | STILL_RUNNING |

  Scenario: A request that is not here is cancelled
    When an unknown request is cancelled
    Then the cancellation's code is MEMORY_TOO_YOUNG

  Scenario: A request that was cancelled is not sent again
    Given a request of check is at the upstream which then refuses it
    When the request at the upstream is cancelled
    Then the first ends with REFUSED_BY_UPSTREAM after 1 sends

  Scenario Outline: A slot stays taken while its request may be at the upstream
    Given the upstream answers <attempts> and cancellations with <cancel>
    When a request of issue comes
    Then <at-once> requests are in flight
    And <later> requests are in flight after 1000 ms

    Examples:
      | attempts | cancel    | at-once | later |
      | ran      | unknown   | 0       | 0     |
      | expired  | unknown   | 0       | 0     |
      | lost     | unknown   | 1       | 0     |
      | lost     | fails     | 1       | 0     |
      | mismatch | unknown   | 1       | 0     |
      | lost     | cancelled | 0       | 0     |
      | lost     | ran       | 0       | 0     |
      | silent   | unknown   | 0       | 0     |

  Scenario: A slot taken by a lost request is free once the upstream started anew
    Given the upstream answers lost ran and cancellations with unknown
    And the upstream has 2 slots
    When a request of issue comes
    And the upstream starts anew
    And a request of check comes
    Then 0 requests are in flight

  Scenario: Keys of requests at the upstream are known
    Given a request of issue is at the upstream
    Then the key k of slot 3 is in flight
    And the first ends with OK after 1 sends
    And no key is in flight

  Scenario: A shed request lowers the limit for a while
    Given the upstream has 2 slots
    And the upstream answers shed ran and cancellations with unknown
    When a request of check comes
    Then 1 request may be in flight
    And 2 requests may be in flight after 500 ms

  Scenario Outline: Memory of pinned keys
    When the upstream's pins change from <before> to <after> and its excluded keys from <out> to <in>
    And a request of issue comes whose id is from before
    Then its code is <code> after <sends> sends and 0 cancellations

    Examples: the request's key is k
      | before | after | out  | in   | code             | sends |
      | none   | k     | none | none | MEMORY_TOO_YOUNG | 0     |
      | none   | other | none | none | OK               | 1     |
      | k      | k     | none | none | OK               | 1     |
      | none   | none  | k    | none | MEMORY_TOO_YOUNG | 0     |
      | none   | none  | none | other | OK              | 1     |
      | k      | none  | none | none | OK               | 1     |

  Scenario: What dispatch does is counted
    Given the upstream answers mismatch refused ran and cancellations with unknown
    When a request of check comes
    Then these are counted
      | name                                               | labels                      | value |
      | foxtailshunt_dispatch_requests_total               | desk urgent OK              | 1     |
      | foxtailshunt_dispatch_retries_total                | desk                        | 2     |
      | foxtailshunt_dispatch_answer_mismatches_total      | desk                        | 1     |
      | foxtailshunt_dispatch_retry_budget_exhausted_total | desk                        | 0     |

  Scenario: A waiting request's key moves away
    Given a request of check is at the upstream
    And another request of check waits
    When the table takes its slot from the upstream
    Then the waiting request ends with NO_OWNER after 1 sends

  Scenario: A stop lets requests in progress end
    Given a request of check is at the upstream
    And another request of check waits
    When the dispatcher drains while the requests are answered
    Then the waiting request ends with OK after 2 sends

  Scenario: The deadline on the upstream's clock
    Given the upstream's clock was read 100 ms ago
    When a request of issue comes with 1000 ms left
    Then it is sent with a deadline of 1028 ms after the reading and a timeout of 970 ms

  Scenario: Another incarnation of the upstream starts slowly
    Given the upstream has 2 slots
    When a request of check comes
    And the upstream starts anew
    And a request of check comes
    Then 1 request may be in flight
