Feature: A zone that is evacuated gets no new requests until the operator ends that

  Scenario Outline: An entry of the store: guards against one malformed entry that hides the others
    Given the entry op/evacuate/zone-b with {}
    When the entry <key> is written with <value> and read 3 times
    Then the evacuated zones are <zones>
    And <count> line of the log names the malformed entry

    Examples: "-" stands for an empty value; an unknown zone has no effect
      | key                     | value       | zones          | count |
      | op/evacuate/zone-a      | {}          | zone-a, zone-b | 0     |
      | op/evacuate/zone-a      | {"by":"x"}  | zone-a, zone-b | 0     |
      | op/evacuate/nowhere     | {}          | nowhere, zone-b | 0    |
      | op/evacuate/            | {}          | zone-b         | 1     |
      | op/evacuate/a/b         | {}          | zone-b         | 1     |
      | op/evacuate/zone-a      | -           | zone-b         | 1     |
      | op/evacuate/zone-a      | []          | zone-b         | 1     |
      | op/evacuate/zone-a      | null        | zone-b         | 1     |
      | op/evacuate/zone-a      | {           | zone-b         | 1     |
      | op/evacuate/zone-a      | [*100000    | zone-b         | 1     |
      | op/other                | {}          | zone-b         | 0     |
      | op/evacuated            | {}          | zone-b         | 0     |

  Scenario Outline: Reads of the store by several threads: guards against an older read that undoes a later one
    Given a node that has read no entry
    When it reads <first> and then <second>
    Then the evacuated zones are <zones>

    Examples: a list of zones or a change, and the revision of the store
      | first              | second                  | zones          |
      | list zone-a at 10  | removed zone-a at 12    | none           |
      | list zone-a at 10  | removed zone-a at 9     | zone-a         |
      | list zone-a at 10  | list at 9               | zone-a         |
      | list zone-a at 10  | list at 12              | none           |
      | list at 10         | written zone-a at 12    | zone-a         |
      | list zone-a at 10  | written zone-b at 12    | zone-a, zone-b |
      | written zone-a at 10 | list zone-a at 10     | zone-a         |

  Scenario: An evacuation stays in force while the store cannot be read: guards against an end that nobody asked for
    Given a node that watches the store, in which zone-b is evacuated
    When the store fails, the entry is removed, and the store works again
    Then zone-b was evacuated until the store worked again, and is not afterwards

  Scenario Outline: Nodes learn from each other: guards against a node that falls back to what it knew before
    Given a leader that read <leader> and a follower that read <follower>
    When the follower polls the leader, whose build <build> evacuations
    Then the follower's evacuated zones are <zones>

    Examples:
      | leader             | follower           | build | zones          |
      | list zone-a at 10  | nothing            | knows | zone-a         |
      | list zone-a at 10  | list at 9          | knows | zone-a         |
      | list at 10         | list zone-a at 9   | knows | none           |
      | list at 9          | list zone-a at 10  | knows | zone-a         |
      | nothing            | list zone-a at 10  | knows | zone-a         |
      | list at 10         | list zone-a at 9   | does not know | zone-a |

  Scenario Outline: A poll waits although revisions differ: guards against followers that poll without a pause
    Given a leader that read <leader> and a follower that read <follower>
    When the follower has polled once and polls the leader again for 300 ms
    Then the leader has answered after at least 250 ms

    Examples:
      | leader             | follower           |
      | list zone-a at 10  | list zone-a at 9   |
      | list zone-a at 9   | list zone-a at 10  |
      | list at 9          | list zone-a at 10  |
      | nothing            | list at 10         |

  Scenario: A new term keeps the evacuations: guards against a leader change that ends them
    Given a node that has read no entry
    When it reads list zone-a at 10 and then a new term begins
    Then the evacuated zones are zone-a

  Scenario: Requests without keys go to other zones: guards against requests to an evacuated upstream
    Given a service without keys with the scripted upstreams u1 and u2
    And u2 is in zone-b
    When zone-b is evacuated
    And 10 requests are sent that u1 has failed before
    Then u1 has received 10 requests
    And u2 has received 0 requests
    When no zone is evacuated
    And 10 requests are sent that u1 has failed before
    Then u2 has received 10 requests

  Scenario Outline: Requests are refused at once if no upstream is left
    Given a service <kind> keys with the scripted upstream u1
    And u1 is in zone-b
    When zone-b and zone-a are evacuated
    And 3 further requests are sent
    Then the further requests were refused as not run with a Retry-After time
    And u1 has received 0 requests

    Examples:
      | kind    |
      | with    |
      | without |

  Scenario: A request in flight ends, and one that waits is refused: guards against a late request from the queue
    Given a service with keys with the scripted upstream u1
    And u1 is in zone-b
    When a request is held at u1 while another one waits
    And zone-b is evacuated
    Then the waiting request was refused as not run
    When u1 ends the held request
    Then the held request was answered
    And u1 has received 1 request

  Scenario: Groups of an evacuated zone are not tried: guards against a detour through a sender that refuses
    Given a forwarder in front of a service with 9 upstreams in each of zone-a and zone-b
    When zone-b is evacuated for the forwarder and it forwards 200 requests
    Then all of them went to senders of groups in zone-a

  Scenario: Keys move out of an evacuated zone, a bounded number at a time, the most demand first
    Given 8 upstreams with 4 slots and equal ranges
    And every 64th key has a demand of 0.005 slots
    And 4 keys starting at key 20000 have a total demand of 0.8 slots
    And upstreams 2, 5 and 6 are in an evacuated zone
    When moves are planned with at most 2 evacuations
    Then 2 ranges have moved, that of key 20000 among them
    When moves are planned 3 times with at most 2 evacuations
    Then upstreams 2, 5 and 6 own no keys
    And every key has exactly one owner

  Scenario: The keys of an upstream that is lost do not wait for evacuations: guards against keys without an owner
    Given 8 upstreams with 4 slots and equal ranges
    And upstreams 2, 5 and 6 are in an evacuated zone
    And upstream 1 has left
    When moves are planned with at most 0 evacuations
    Then upstream 1 owns no keys

  Scenario: Operators see what is left and which nodes do not know: guards against an evacuation that seems complete
    Given dumps of 2 nodes, of which one knows of the evacuation of zone-b, with 300 keys left there and 200 on the way
    When the operator asks for the status
    Then it shows "zone-b  500 keys left  unknown to n2"

  Scenario: A fleet evacuates a zone and uses it again: guards against parts that are not connected
    Given 2 nodes and a service with keys with upstreams in zone-a and zone-b, which take 4 requests per second while cold for 4 s
    When callers send requests to both nodes all the time
    And the operator asks for the evacuation of zone-b
    Then the upstreams of zone-b get no more requests and hold no keys, and no caller gets an unknown result
    And their keys were handed over
    And the status shows the evacuation of zone-b with 0 keys left, known to all nodes
    When the operator ends the evacuation
    Then the upstreams of zone-b get requests again, at most 14 in any second of the next 3 s
