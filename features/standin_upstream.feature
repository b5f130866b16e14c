Feature: Stand-in upstream
  Tests and the demonstration run against stand-in upstreams, so the outcomes of these are tested
  themselves.

  Scenario Outline: Grants are taken into force by fence, reading and incarnation
    Given a stand-in upstream that <checks>
    And the stand-in upstream took a grant of slots 0 to 9 under fence 2.5
    When the stand-in upstream is sent a grant of slots 0 to 9 under fence <fence> with <reading>
    Then the stand-in upstream answers <status> with accepted <accepted> and highest fence <highest>

    Examples:
      | checks               | fence | reading                     | status | accepted | highest |
      | checks fences        | 2.5   | a fresh reading             | 200    | true     | 2.5     |
      | checks fences        | 2.6   | a fresh reading             | 200    | true     | 2.6     |
      | checks fences        | 3.0   | a fresh reading             | 200    | true     | 3.0     |
      | checks fences        | 2.4   | a fresh reading             | 409    | false    | 2.5     |
      | checks fences        | 1.9   | a fresh reading             | 409    | false    | 2.5     |
      | checks fences        | 3.0   | no reading                  | 200    | false    | 2.5     |
      | checks fences        | 3.0   | another incarnation's       | 200    | false    | 2.5     |
      | checks fences        | 3.0   | a reading older than its end | 200   | false    | 3.0     |
      | checks no fences     | 1.9   | no reading                  | 200    | true     | 1.9     |

  Scenario Outline: Work is taken under a grant that covers it
    Given a stand-in upstream that <checks>
    And the stand-in upstream took a grant of slots 0 to 9 without x and with p under fence 2.5
    When the stand-in upstream is sent work on key <key>, slot <slot>, fence <fence>, with <detail>
    Then the stand-in's work is answered <status> as <outcome>

    Examples:
      | checks           | key | slot | fence | detail                   | status | outcome |
      | checks fences    | a   | 3    | 2.5   | nothing special          | 200    | ran     |
      | checks fences    | a   | 10   | 2.5   | nothing special          | 409    | refused |
      | checks fences    | x   | 3    | 2.5   | nothing special          | 409    | refused |
      | checks fences    | p   | 10   | 2.5   | nothing special          | 200    | ran     |
      | checks fences    | a   | 3    | 2.4   | nothing special          | 409    | refused |
      | checks fences    | a   | 3    | 2.6   | nothing special          | 200    | ran     |
      | checks fences    | a   | 3    | 2.5   | another incarnation's id | 409    | refused |
      | checks fences    | a   | 3    | 2.5   | a deadline that passed   | 504    | expired |
      | checks no fences | a   | 10   | 1.0   | another incarnation's id | 200    | ran     |
      | checks no fences | a   | 3    | 2.5   | a deadline that passed   | 504    | expired |

  Scenario: Work without any grant is refused
    Given a stand-in upstream that checks fences
    When the stand-in upstream is sent work on key a, slot 3, fence 2.5, with nothing special
    Then the stand-in's work is answered 409 as refused

  Scenario Outline: Grant, deadline and cancellation are looked at again before the effect
    Given a stand-in upstream that checks fences
    And the stand-in upstream took a grant of slots 0 to 9 under fence 2.5
    When the stand-in upstream has long work in progress and <event>
    Then the stand-in's work is answered <status> as <outcome>
    And the stand-in's records show the run with effect <effect>

    Examples:
      | event                            | status | outcome   | effect |
      | nothing happens                  | 200    | ran       | true   |
      | its deadline passes              | 504    | expired   | false  |
      | it is cancelled                  | 499    | cancelled | false  |
      | the grant is renewed             | 200    | ran       | true   |
      | the grant's end is brought near  | 409    | refused   | false  |
      | the upstream is frozen past its grant's end | 409 | refused | false |
      | the grant lapses and is given anew | 409  | refused   | false  |
      | its slot is taken back           | 200    | ran       | true   |

  Scenario: A release is confirmed once work outside the new grant has ended
    Given a stand-in upstream that checks fences
    And the stand-in upstream took a grant of slots 0 to 9 under fence 2.5
    When the stand-in upstream has long work in progress and its slot is taken back
    Then the stand-in's release is not confirmed
    And the stand-in's work on the slot that was taken back is refused
    And the stand-in's release is confirmed once the work has ended

  Scenario Outline: A cancellation tells what became of the request
    Given a stand-in upstream that checks fences
    And the stand-in upstream took a grant of slots 0 to 9 under fence 2.5
    When the stand-in upstream is asked to cancel <request>
    Then the stand-in's cancellation is answered <answer>

    Examples:
      | request                   | answer    |
      | a request in progress     | cancelled |
      | a request that ran        | ran       |
      | a request that was expired | unknown  |
      | a request never heard of  | unknown   |

  Scenario Outline: Work beyond the slots is shed unless it may wait
    Given a stand-in upstream with 2 slots and a queue of <queue>
    And the stand-in upstream took a grant of slots 0 to 9 under fence 2.5
    When 3 pieces of long work arrive at the stand-in upstream together
    Then <ran> of the stand-in's pieces ran and <shed> were shed

    Examples:
      | queue | ran | shed |
      | 0     | 2   | 1    |
      | 1     | 3   | 0    |

  Scenario Outline: Faults that are switched on
    Given a stand-in upstream that checks fences
    And the stand-in upstream took a grant of slots 0 to 9 under fence 2.5
    And the stand-in's switches are <switches>
    When the stand-in upstream is sent work on key a, slot 3, fence 2.5, with nothing special
    Then <result>
    And the stand-in's next work is answered as it should be

    Examples:
      | switches                                 | result                            |
      | {"shed_next": 1}                         | the stand-in's work is answered 503 as shed        |
      | {"cross_next": 1}                        | the stand-in's answer is another request's   |
      | {"cut_next": 1}                          | the stand-in's answer breaks off             |
      | {"late_next": 1, "answer_late_ms": 9000} | the stand-in's answer is late, but work was done |

  Scenario Outline: Health may lag or mislead, grants tell the truth
    Given a stand-in upstream whose health is <mode>
    When the stand-in's switches are set to {"drain": true}
    Then the stand-in's health shows draining <shown>
    And the stand-in's answer to a grant shows draining true

    Examples:
      | mode       | shown |
      | truthful   | true  |
      | misleading | false |
      | lagging    | false |

  Scenario: A stop lets work in progress end
    Given a stand-in upstream that checks fences
    And the stand-in upstream took a grant of slots 0 to 9 under fence 2.5
    When the stand-in upstream has long work in progress and the upstream is asked to stop
    Then the stand-in's work is answered 200 as ran
    And the stand-in upstream has ended with exit code 0

  Scenario: An answer belongs to its request throughout
    Given a stand-in upstream that checks fences
    And the stand-in upstream took a grant of slots 0 to 9 under fence 2.5
    When the stand-in upstream is sent work on key a, slot 3, fence 2.5, with nothing special
    Then the stand-in's answer names its request, key, operation and body
