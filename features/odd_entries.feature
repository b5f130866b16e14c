Feature: An odd entry among those of the upstreams names no upstream, and the others hold

  Scenario Outline: A number out of range in one entry leaves the other upstreams in use
    Given the entries of 2 upstreams and one in which <part> is <value>
    When the leader reads the entries 3 times and a follower polls it
    Then the follower knows exactly the 2 upstreams
    And a request can be queued for the upstreams of the follower
    And the log names the odd entry once, in at most 400 characters

    Examples: {9*400} stands for 400 nines
      | part        | value                |
      | slots       | 10001                |
      | slots       | 1000000000000000000  |
      | slots       | {9*400}              |
      | slots       | {9*5000}             |
      | born        | -1                   |
      | born        | true                 |
      | born        | 9223372036854775808  |
      | born        | {9*400}              |
      | warmup_left | "3601s"              |
      | warmup_left | "{9*17}s"            |
      | warmup_left | "{9*400}s"           |
      | warmup_left | "٣s"                 |
      | seq         | {9*5000}             |
      | seq         | {[*100000}           |

  Scenario Outline: An address that is no IPv4 number and port leaves the other upstreams in use
    Given the entries of 2 upstreams and one in which <part> is <value>
    When the leader reads the entries 3 times and a follower polls it
    Then the follower knows exactly the 2 upstreams
    And the log names the odd entry once, in at most 400 characters

    Examples:
      | part    | value                  |
      | address | "upstream.example:80"  |
      | address | "10.0.0.1 :80"         |
      | address | "[::1]:80"             |
      | address | "0.0.0.0:80"           |
      | address | "10.0.0.1:0"           |
      | address | "10.0.0.1:0000080"     |
      | address | "10.0.0.1:{9*5000}"    |
      | address | "{x*100000}"           |

  Scenario Outline: A name without bounds leaves the other upstreams in use
    Given the entries of 2 upstreams and one in which <part> is <value>
    When the leader reads the entries 3 times and a follower polls it
    Then the follower knows exactly the 2 upstreams
    And the log names the odd entry once, in at most 400 characters

    Examples:
      | part        | value        |
      | service     | "{x*100000}" |
      | zone        | ""           |
      | zone        | "{x*100000}" |
      | warmup_left | "{x*100000}" |

  Scenario Outline: An entry whose id cannot be sent in a header leaves the other upstreams in use
    Given the entries of 2 upstreams and one whose id is <id>
    When the leader reads the entries 3 times and a follower polls it
    Then the follower knows exactly the 2 upstreams
    And the log names the odd entry once, in at most 400 characters

    Examples: as JSON text
      | id                   |
      | ""                   |
      | "a b"                |
      | "a\u000d\u000aB: 1"  |
      | "\u20ac"             |
      | "\ud800"             |
      | "{x*201}"            |

  Scenario: The largest numbers and longest names of an entry reach the followers
    Given the entries of 2 upstreams and one at all limits
    When the leader reads the entries 3 times and a follower polls it
    Then the follower knows all 3 upstreams
    And a request can be queued for the upstreams of the follower

  Scenario: Random changes of an entry never stop the readers
    Then each of 4000 random changes with seed 5 is rejected or reaches a follower
