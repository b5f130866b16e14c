Feature: Grants and what they allow

  One dispatcher of instance a, witness of itself, and the upstream u1. The columns tell the slots
  that the dispatcher may send to, those that the upstream would begin work for, and what the
  assigner would be told: the fence confirmed, whether lower grants lapsed, whether u1 is reachable.
  A grant lasts 1 s after the reading that it names; 0.961 s of that are surely in force, and 1.041 s
  after the reading's arrival it has surely lapsed. Assents last 0.480 s.

  Background:
    Given a dispatcher a with table 1.5 that gives u1 the slots 0-9

  Scenario: The first renewal asks for a reading, the second grants
    When these things happen to its grants
      | at  | event | sends | serves | confirmed | lapsed | reachable |
      | 0   |       | none  | none   |           |        |           |
      | 0   | renew | none  | none   |           |        |           |
      | 0   | ask   | none  | none   |           |        |           |
      | 0   | renew | none  | none   | none      | no     | yes       |
      | 0   | renew | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.4 |       | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.5 |       | none  | 0-9    |           |        |           |

  Scenario: A grant is relied on only as long as its reading allows
    When these things happen to its grants
      | at   | event | sends | serves | confirmed | lapsed | reachable |
      | 0    | ask   | none  | none   |           |        |           |
      | 0    | renew | none  | none   | none      | no     | yes       |
      | 0.2  | renew | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.4  | ask   | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.8  | ask   | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.9  |       | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.92 |       | none  | 0-9    | 1.5       | no     | yes       |
      | 1.01 |       | none  | none   | 1.5       | no     | yes       |

  Scenario: A reading older than a grant's life is not named
    When these things happen to its grants
      | at  | event | sends | serves | confirmed | lapsed | reachable |
      | 0   | ask   | none  | none   |           |        |           |
      | 0   | renew | none  | none   | none      | no     | yes       |
      | 2   | ask   | none  | none   | none      | no     | yes       |
      | 2   | renew | none  | none   | none      | no     | yes       |
      | 2   | renew | 0-9   | 0-9    | 1.5       | no     | yes       |

  Scenario: A lost assent ends sending, and a grant given under the earlier right is not relied on
    When these things happen to its grants
      | at  | event | sends | serves | confirmed | lapsed | reachable |
      | 0   | ask   | none  | none   |           |        |           |
      | 0   | renew | none  | none   | none      | no     | yes       |
      | 0   | renew | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.5 |       | none  | 0-9    |           |        |           |
      | 0.5 | ask   | none  | 0-9    | 1.5       | no     | yes       |
      | 0.5 | renew | 0-9   | 0-9    | 1.5       | no     | yes       |

  Scenario: A row that loses slots
    When these things happen to its grants
      | at  | event              | sends | serves | confirmed | lapsed | reachable |
      | 0   | ask                | none  | none   |           |        |           |
      | 0   | renew              | none  | none   | none      | no     | yes       |
      | 0   | renew              | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0   | u1 works on 7      | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.1 | table 1.6 with 0-4 | 0-4   | 0-9    | 1.5       | no     | yes       |
      | 0.1 | renew              | 0-4   | 0-9    | 1.5       | no     | yes       |
      | 0.1 | ask                | 0-4   | 0-9    | 1.5       | no     | yes       |
      | 0.1 | renew              | 0-4   | 0-4    | 1.5       | no     | yes       |
      | 0.2 | u1 ends its work   | 0-4   | 0-4    | 1.5       | no     | yes       |
      | 0.2 | renew              | 0-4   | 0-4    | 1.6       | no     | yes       |

  Scenario: A row that gains slots
    When these things happen to its grants
      | at  | event               | sends | serves | confirmed | lapsed | reachable |
      | 0   | ask                 | none  | none   |           |        |           |
      | 0   | renew               | none  | none   | none      | no     | yes       |
      | 0   | renew               | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.1 | table 1.6 with 0-12 | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.1 | ask                 | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.1 | renew               | 0-12  | 0-12   | 1.6       | no     | yes       |

  Scenario: A frozen upstream loses everything by time alone
    When these things happen to its grants
      | at   | event              | sends | serves | confirmed | lapsed | reachable |
      | 0    | ask                | none  | none   |           |        |           |
      | 0    | renew              | none  | none   | none      | no     | yes       |
      | 0.1  | renew              | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.2  | u1 is frozen       | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.2  | renew              | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.4  | ask                | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.4  | renew              | 0-9   | 0-9    | 1.5       | no     | no        |
      | 0.8  | ask                | 0-9   | 0-9    | 1.5       | no     | no        |
      | 0.8  | table 1.7 with     | none  | 0-9    | 1.5       | no     | no        |
      | 0.8  | renew              | none  | 0-9    | 1.5       | no     | no        |
      | 1.1  | ask                | none  | none   | 1.5       | no     | no        |
      | 1.14 |                    | none  | none   | 1.5       | no     | no        |
      | 1.15 |                    | none  | none   | 1.5       | yes    | no        |
      | 1.4  | ask                | none  | none   | 1.5       | yes    | no        |
      | 1.4  | u1 thaws           | none  | none   | 1.5       | yes    | no        |
      | 1.4  | renew              | none  | none   | 1.5       | no     | yes       |
      | 1.4  | renew              | none  | none   | 1.7       | no     | yes       |

  Scenario: Lapsed is not said without the assents for the new fence
    When these things happen to its grants
      | at   | event          | sends | serves | confirmed | lapsed | reachable |
      | 0    | ask            | none  | none   |           |        |           |
      | 0    | u1 is frozen   | none  | none   |           |        |           |
      | 0    | renew          | none  | none   |           |        |           |
      | 0    | renew          | none  | none   | none      | no     | no        |
      | 0.4  | ask            | none  | none   | none      | no     | no        |
      | 0.8  | ask            | none  | none   | none      | no     | no        |
      | 1.1  | ask            | none  | none   | none      | yes    | no        |
      | 1.1  | table 1.7 with | none  | none   | none      | no     | no        |
      | 1.1  | ask            | none  | none   | none      | yes    | no        |

  Scenario: Lapsed waits for the grants of an earlier dispatcher
    When these things happen to its grants
      | at   | event        | sends | serves | confirmed | lapsed | reachable |
      | 0    | u1 is frozen | none  | none   |           |        |           |
      | 0    | ask          | none  | none   |           |        |           |
      | 0.1  | renew        | none  | none   |           |        |           |
      | 0.1  | renew        | none  | none   | none      | no     | no        |
      | 0.4  | ask          | none  | none   | none      | no     | no        |
      | 1    | ask          | none  | none   | none      | no     | no        |
      | 1.4  | ask          | none  | none   | none      | no     | no        |
      | 1.8  | ask          | none  | none   | none      | no     | no        |
      | 2.02 | ask          | none  | none   | none      | no     | no        |
      | 2.05 | ask          | none  | none   | none      | yes    | no        |

  Scenario: Lost answers
    When these things happen to its grants
      | at  | event              | sends | serves | confirmed | lapsed | reachable |
      | 0   | ask                | none  | none   |           |        |           |
      | 0   | renew              | none  | none   | none      | no     | yes       |
      | 0   | renew              | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.1 | u1 loses answers   | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.1 | table 1.6 with 0-4 | 0-4   | 0-9    | 1.5       | no     | yes       |
      | 0.1 | ask                | 0-4   | 0-9    | 1.5       | no     | yes       |
      | 0.1 | renew              | 0-4   | 0-4    | 1.5       | no     | yes       |
      | 0.3 | renew              | 0-4   | 0-4    | 1.5       | no     | no        |
      | 0.3 | u1 works           | 0-4   | 0-4    | 1.5       | no     | no        |
      | 0.5 | ask                | 0-4   | 0-4    | 1.5       | no     | no        |
      | 0.5 | renew              | 0-4   | 0-4    | 1.6       | no     | yes       |

  Scenario: A refused connection says at once that the upstream is unreachable
    When these things happen to its grants
      | at  | event      | sends | serves | confirmed | lapsed | reachable |
      | 0   | ask        | none  | none   |           |        |           |
      | 0   | u1 refuses | none  | none   |           |        |           |
      | 0   | renew      | none  | none   | none      | no     | no        |
      | 0.1 | u1 works   | none  | none   | none      | no     | no        |
      | 0.1 | renew      | none  | none   | none      | no     | yes       |

  Scenario: A restarted upstream holds nothing until it is granted anew
    When these things happen to its grants
      | at  | event       | sends | serves | confirmed | lapsed | reachable |
      | 0   | ask         | none  | none   |           |        |           |
      | 0   | renew       | none  | none   | none      | no     | yes       |
      | 0   | renew       | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.2 | u1 restarts | 0-9   | none   | 1.5       | no     | yes       |
      | 0.2 | renew       | none  | none   | 1.5       | no     | yes       |
      | 0.2 | renew       | 0-9   | 0-9    | 1.5       | no     | yes       |
    Then the upstream is warming since 0.2

  Scenario: An upstream that knows a higher fence
    When these things happen to its grants
      | at  | event         | sends | serves | confirmed | lapsed | reachable |
      | 0   | ask           | none  | none   |           |        |           |
      | 0   | renew         | none  | none   | none      | no     | yes       |
      | 0   | renew         | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.1 | u1 hears 1.9  | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.1 | renew         | none  | 0-9    | 1.5       | no     | yes       |

  Scenario: A dispatcher that is no longer listed finishes and gives up
    When these things happen to its grants
      | at  | event                   | sends | serves | confirmed | lapsed | reachable |
      | 0   | ask                     | none  | none   |           |        |           |
      | 0   | renew                   | none  | none   | none      | no     | yes       |
      | 0   | renew                   | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0   | a request is at u1      | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.1 | table 1.6 for b         | 0-9   | 0-9    | 1.5       | no     | yes       |
      | 0.1 | hand over               | none  | 0-9    | 1.5       | no     | yes       |
      | 0.2 | ask                     | none  | 0-9    | 1.5       | no     | yes       |
      | 0.2 | the request ends        | none  | 0-9    | 1.5       | no     | yes       |
      | 0.2 | hand over               | none  | 0-9    |           |        |           |
      | 0.3 | ask                     | none  | 0-9    |           |        |           |
      | 0.3 | renew                   | none  | 0-9    |           |        |           |
    Then the witness counts nobody as holder of u1

  Scenario: A listed dispatcher takes back what it gave up
    When these things happen to its grants
      | at  | event              | sends | serves | confirmed | lapsed | reachable |
      | 0   | ask                | none  | none   |           |        |           |
      | 0   | table 1.6 for b    | none  | none   |           |        |           |
      | 0   | hand over          | none  | none   |           |        |           |
      | 0.1 | table 1.7 with 0-4 | none  | none   |           |        |           |
      | 0.1 | hand over          | none  | none   |           |        |           |
      | 0.1 | ask                | none  | none   |           |        |           |
      | 0.1 | renew              | none  | none   | none      | no     | yes       |
      | 0.1 | renew              | 0-4   | 0-4    | 1.7       | no     | yes       |

  Scenario: Threads follow the newest table, whichever thread brings it
    Given a grant keeper whose view is slow to return its first table
    When a newer table with the further upstream u2 arrives meanwhile
    Then the grant keeper renews u1 and u2

  Scenario: An upstream that leaves the table takes its assents with it
    When these things happen to its grants
      | at  | event | sends | serves | confirmed | lapsed | reachable |
      | 0   | ask   | none  | none   |           |        |           |
      | 0   | renew | none  | none   | none      | no     | yes       |
      | 0   | renew | 0-9   | 0-9    | 1.5       | no     | yes       |
    And the book retains no upstream
    Then dispatcher a's right to send to u1 is gone
