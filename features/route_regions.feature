Feature: The requests of a route reach only the regions that the route allows

  Scenario Outline: Zones of a route and nodes for its bodies: guards against data that leaves its regions
    Given a node in zone <zone> of <region>, and zones eu-1 and eu-2 of eu, us-1 of us
    When a route allows <allowed>
    Then its requests may reach upstreams in <upstreams>
    And its bodies may be relayed to nodes in <nodes>

    Examples: a zone of unknown region is not allowed
      | zone | region  | allowed  | upstreams        | nodes            |
      | eu-1 | eu      | anything | any zone         | any zone         |
      | eu-1 | eu      | eu       | eu-1, eu-2       | eu-1, eu-2       |
      | eu-1 | eu      | us       | us-1             | eu-1, eu-2, us-1 |
      | us-1 | us      | eu       | eu-1, eu-2       | eu-1, eu-2, us-1 |
      | us-1 | us      | eu, us   | eu-1, eu-2, us-1 | eu-1, eu-2, us-1 |
      | eu-1 | eu      | asia     | none             | eu-1, eu-2       |
      | eu-1 | eu      | nothing  | none             | eu-1, eu-2       |
      | x-1  | no region | eu     | eu-1, eu-2       | eu-1, eu-2, x-1  |

  Scenario Outline: A malformed list allows fewer regions, not more, and the configuration stays valid
    When a configuration is decoded whose route allows <value>
    Then the route allows the regions <regions>
    And <count> value of the configuration is reported as ignored

    Examples:
      | value           | regions | count |
      | ["eu"]          | eu      | 0     |
      | ["eu", "us"]    | eu, us  | 0     |
      | ["eu", "eu"]    | eu      | 0     |
      | []              | any     | 0     |
      | null            | any     | 0     |
      | ["eu", 7]       | eu      | 1     |
      | ["eu", null]    | eu      | 1     |
      | [""]            | none    | 1     |
      | [["eu"]]        | none    | 1     |
      | "eu"            | none    | 1     |
      | {"eu": 1}       | none    | 1     |
      | true            | none    | 1     |

  Scenario: A pool serves a restricted request in its regions only: guards against a faster upstream elsewhere
    Given a pool of 2 upstreams with 2 slots and requests of 100 ms
    And upstream 0 is in zone eu-1 and upstream 1 in zone us-1
    When 12 requests arrive that may use zone eu-1 and 12 that may use all zones
    Then the restricted ones are served by upstream 0
    And at least 8 of the others are served by upstream 1

  Scenario: A restricted request without an allowed upstream is refused at once
    Given a pool of 2 upstreams with 2 slots and requests of 100 ms
    And upstream 0 is in zone eu-1 and upstream 1 in zone us-1
    When 3 requests arrive that may use zone asia-1 and 0 that may use all zones
    Then the restricted ones are refused on arrival

  Scenario Outline: A body goes to nodes that may have it: guards against a relay through another region
    Given a forwarder in zone eu-1 and nodes in the zones eu-1, eu-2 and us-1
    When it forwards 20 requests <kind> a key that may use <zones>
    Then it has tried nodes in <nodes> only

    Examples: the owner of the key is in zone us-1, whose nodes send to it
      | kind    | zones      | nodes            |
      | with    | us-1       | us-1             |
      | with    | eu-1, eu-2 | none             |
      | without | us-1       | eu-1, eu-2, us-1 |
      | without | eu-1, eu-2 | eu-1, eu-2       |

  Scenario: The sending node learns of the restriction: guards against a sender with upstreams in other regions
    Then a relayed request keeps its allowed zones, and one of an earlier build has none

  Scenario: A fleet with two regions: guards against parts that are not connected
    Given a node in region eu with upstreams in the regions eu and us
    When callers send 20 requests of a route for eu, 20 of one for us and 5 of one for asia
    Then those for eu and us were answered by the upstream of their region
    And those for asia were refused at once as not run
    And requests of a route for all regions reach both upstreams
