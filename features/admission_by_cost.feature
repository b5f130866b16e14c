Feature: The policy by-cost admits, delays, displaces and refuses requests by their cost to callers

  Times are in milliseconds. An upstream has one slot unless stated otherwise.

  Scenario Outline: The least urgent requests with the most work are delayed
    Given a by-cost pool of 1 upstream with 1 slot, busy for 100 ms
    When the requests <requests> arrive at the same time
    Then the requests that are delayed are: <delayed>
    And the pool serves them in the order <order>

    Examples: name:rank:work:objective:deadline; guards against serving less urgent kinds on time
      | requests                                                | delayed | order   |
      | a:0:100:250:3000 b:0:100:350:3000                       | none    | a b     |
      | b:0:100:350:3000 a:0:100:250:3000                       | none    | a b     |
      | a:0:100:250:3000 b:0:100:250:3000                       | b       | a b     |
      | a:2:100:220:3000 b:0:100:250:3000                       | a       | b a     |
      | a:1:100:500:3000 b:1:300:510:3000 c:1:100:520:3000      | b       | a c b   |
      | a:1:300:410:3000 b:2:100:500:3000 c:0:100:520:3000      | b       | a c b   |
      | a:2:50:160:3000 b:2:80:300:3000 c:0:200:310:3000        | a b     | c a b   |
      | a:0:100:50:3000 b:2:100:600:3000                        | a       | b a     |
      | a:2:100:50:3000 b:0:100:40:3000 c:1:100:40:3000         | a b c   | b c a   |
      | a:0:100:50:3000 b:0:100:50:2000                         | a b     | b a     |

  Scenario: A delayed request comes first if it would miss its deadline behind the others
    Given a by-cost pool of 1 upstream with 1 slot, busy for 100 ms
    When the requests late:0:100:50:520 a:0:100:420:3000 b:0:100:430:3000 arrive at the same time
    Then the pool serves them in the order late a b

  Scenario: A request is refused on arrival if it would end after its deadline
    Given a by-cost pool of 1 upstream with 1 slot, busy for 100 ms
    When the requests a:0:200:400:3000 b:0:300:700:3000 c:0:200:900:650 arrive at the same time
    Then the requests that are refused are: c

  Scenario Outline: A more urgent request displaces those that would miss their deadline for it
    Given a by-cost pool of 1 upstream with 1 slot, busy for 100 ms
    When the requests <queued> arrive at the same time
    And the request <new> arrives
    Then the requests that are displaced are: <displaced>
    And the requests that are refused are: <refused>
    And displaced requests were answered at once, with a Retry-After within a third of their time
    And all others end before their deadline

    Examples: guards against requests that wait in vain, and against broken promises
      | queued                              | new                | displaced | refused |
      | a:2:200:300:500                     | n:0:200:350:1000   | a         | none    |
      | a:2:200:300:900                     | n:0:200:350:1000   | none      | none    |
      | a:1:200:350:450                     | n:1:200:320:1000   | none      | none    |
      | a:0:200:350:450                     | n:2:200:320:1000   | none      | none    |
      | a:1:100:150:420 b:2:100:150:390     | n:0:100:250:1000   | b         | none    |
      | a:2:100:350:800 b:2:100:350:390     | n:0:100:250:1000   | b         | none    |

  Scenario: While more urgent work exceeds the capacity, less urgent requests are refused at once
    Given a by-cost pool of 1 upstream with 1 slot, busy for 100 ms
    When requests of rank 0 and 100 ms arrive every 50 ms for 2 s
    And the request low:1:100:700:1200 arrives
    Then the requests of rank 1 that are refused are: low

  Scenario: A delayed request waits for the capacity that expected arrivals leave
    Given a by-cost pool of 1 upstream with 1 slot, busy for 100 ms
    When requests of rank 0 and 100 ms arrive every 200 ms for 3 s
    Then a request of rank 1 that is late is expected to wait 1.5 to 3 times as long as without them

  Scenario Outline: Retry-After is the time until there is capacity, at most a third of the time left
    Given a by-cost pool of 1 upstream with 1 slot, busy for <busy> ms
    When the request r:0:100:<objective>:<deadline>:<patience> arrives
    Then it is refused with a Retry-After of <least> to <most> ms

    Examples: guards against Retry-After times that callers do not honour, or that are in vain
      | busy | objective | deadline | patience | least | most |
      | 700  | 150       | 300      | 6000     | 690   | 720  |
      | 700  | 150       | 300      | 1500     | 490   | 500  |
      | 700  | 150       | 300      | 600      | 190   | 201  |
      | 3000 | 150       | 300      | 1500     | 490   | 500  |

  Scenario: Each refusal reserves capacity, so that callers do not return at the same time
    Given a by-cost pool of 1 upstream with 1 slot, busy for 500 ms
    When 4 requests that need 100 ms and have 300 ms of 9000 arrive at the same time
    Then their callers return at least 95 ms apart

  Scenario: A caller that returns on time gets its place before one that returns early
    Given a by-cost pool of 1 upstream with 1 slot, busy for 500 ms
    When the requests first:1:100:50:400:9000 second:1:100:50:400:9000 arrive at the same time
    And second returns at once, and first returns after its Retry-After time
    Then the first one is admitted, and the second one has been refused again

  Scenario: A returning caller keeps the objective of its first attempt
    Given a by-cost pool of 1 upstream with 1 slot, busy for 1500 ms
    When the requests r:0:100:300:1400:9000 arrive at the same time
    And r returns after its Retry-After time, with a new request that can be on time
    Then the pool serves them in the order new r

  Scenario: First attempts of other callers are not taken for returning ones
    Given a by-cost pool of 1 upstream with 1 slot, busy for 500 ms
    When the requests r:0:100:300:400:9000 arrive at the same time
    And 8 ms later another caller sends the same request
    Then it is not recognized as the first one

  Scenario: The forecast knows the limits on the starts at an upstream
    Given a by-cost pool of 1 upstream with 4 slots that may start 5 requests a second
    When 3 requests that need 100 ms and have 600 ms arrive at the same time
    And 3 more of them arrive
    Then 4 of them are admitted, and they start 200 ms apart

  Scenario: Requests are refused if no upstream is left
    Given a by-cost pool of 1 upstream with 1 slot, busy for 100 ms
    When the requests a:0:100:400:3000 arrive at the same time
    And the upstream leaves
    Then the requests that leave the queue are: a

  Scenario Outline: A request that an upstream sheds may return soon while the pool has room
    Given a by-cost pool of 1 upstream with 1 slot, busy for <busy> ms
    Then a shed request with an objective of <objective> ms of <patience> may return in <least> to <most> ms

    Examples:
      | busy | objective | patience | least | most |
      | 0    | 400       | 3000     | 20    | 50   |
      | 100  | 400       | 3000     | 20    | 50   |
      | 600  | 400       | 3000     | 550   | 650  |
      | 3000 | 400       | 1500     | 490   | 500  |

  Scenario: A long queue does not exhaust the processor of a node
    When 600 requests arrive in 2 s at a by-cost pool that serves 50 a second
    Then at most 6000 queued requests a second are planned
    And every request is admitted or refused within 60 ms
