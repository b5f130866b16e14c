Feature: An upstream that fails only for the nodes of one zone gets its requests from another zone

  Requests to an upstream come from a node in its own zone. If only that zone cannot use it, its keys
  moved or its requests failed although every other zone could have served them.

  Scenario Outline: Another zone sends, and no keys move
    Given 6 upstreams in zone a, and nodes in the zones <zones>
    When upstream 0 fails all requests from zone a for 8 s
    Then upstream 0 avoids zone a
    And in the last 4 s upstream 0 has served all of its requests
    And upstream 0 has been considered serving all the time

    Examples:
      | zones |
      | a b   |
      | a b c |

  Scenario: An upstream that fails the requests of all zones is not an upstream that fails for one
    # A trial of another zone must not keep its keys at an upstream that fails.
    Given 6 upstreams in zone a, and nodes in the zones a b
    When upstream 0 fails all requests from zones a b for 8 s
    Then upstream 0 avoids no zone
    And upstream 0 is considered failing

  Scenario: The trial of another zone is short
    # Each second of it delays the moves of keys away from an upstream that fails for all.
    Given 6 upstreams in zone a, and nodes in the zones a b
    When upstream 0 fails all requests from zones a b for 20 s
    Then upstream 0 has avoided a zone for at most 4 s

  Scenario: The own zone sends again when it can
    Given 6 upstreams in zone a, and nodes in the zones a b
    When upstream 0 fails all requests from zone a for 8 s
    And upstream 0 serves all requests for 20 s
    Then upstream 0 avoids no zone

  Scenario: A zone that still fails is tried less and less often
    Given 6 upstreams in zone a, and nodes in the zones a b
    When upstream 0 fails all requests from zone a for 120 s
    Then upstream 0 has failed at most 40 requests of all zones

  Scenario Outline: Nobody is avoided <when>
    Given 6 upstreams in zone a, and nodes in the zones <zones>
    When <event> for 20 s
    Then no upstream has avoided a zone

    Examples:
      | when                           | zones | event                                       |
      | without another zone           | a     | upstream 0 fails all requests from zone a   |
      | if all upstreams refuse        | a b   | all upstreams fail 60 % of their requests   |
      | after single failures          | a b   | all upstreams fail 2 % of their requests    |

  Scenario: The failures of an upstream that restarts are forgotten
    # The requests that its restart interrupted made it lose its keys after it was back.
    Given 6 upstreams in zone a, and nodes in the zones a b
    When upstream 0 fails all requests from zones a b for 3 s
    And upstream 0 restarts in the simulation of zones
    And upstream 0 serves all requests for 1 s
    Then upstream 0 avoids no zone
    And upstream 0 accepts keys

  Scenario: At most a third of the upstreams avoid a zone
    # The nodes of other zones have links and processors for their own upstreams only.
    Given 6 upstreams in zone a, and nodes in the zones a b
    When upstreams 0 1 2 fail all requests from zone a for 20 s
    Then at most 2 upstreams have avoided a zone at a time

  Scenario Outline: The nodes that may send to an upstream in zone <zone> that avoids <avoided>
    Given nodes n1 and n2 in zone a, n3 in zone b and n4 in zone c
    Then <nodes> may send to an upstream in zone <zone> that avoids <avoided>

    Examples:
      | zone | avoided | nodes       |
      | a    | nothing | n1 n2       |
      | a    | a       | n3 n4       |
      | a    | a b     | n4          |
      | a    | b       | n1 n2       |
      | d    | nothing | n1 n2 n3 n4 |
      | a    | a b c   | n1 n2 n3 n4 |

  Scenario Outline: Upstreams of a service without keys that avoid a zone have a sender elsewhere
    Given nodes n1 and n2 in zone a, n3 in zone b and n4 in zone c
    And a service without keys with <count> upstreams in zone a, the first of which avoids zone a
    Then the first upstream has a group of its own, whose senders are not in zone a
    And the others have the groups that they would have without the first one

    Examples:
      | count |
      | 2     |
      | 3     |
      | 18    |

  Scenario: A request for a key goes to a node in another zone
    Given a node in zone a that forwards requests to a node in zone b
    And the owner of the key is in zone a and avoids zone a
    When a request for the key is executed
    Then the node in zone b has got it

  Scenario Outline: Followers learn which zones an upstream avoids
    Given a leader whose upstream avoids the zones <zones>
    When a follower polls it
    Then the follower knows that the upstream avoids the zones <zones>

    Examples:
      | zones |
      | none  |
      | a     |
      | a b   |

  Scenario: A list of a leader of an earlier build names no avoided zones
    Given a message with an upstream as leaders of earlier builds send it
    Then the upstream in it avoids no zone

  Scenario: A node that reads the list of upstreams from the store keeps the leader's estimates
    # The store has none, so that keys would move and senders change whenever the leader is lost.
    Given a node that knows an upstream that avoids zone a and has a capacity ratio of 0.5
    When it reads the upstream from the store
    Then the upstream avoids zone a and has a capacity ratio of 0.5
    When it reads the next run of the upstream from the store
    Then the upstream has no estimates
