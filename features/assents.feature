Feature: Assents make one dispatcher the only sender

  Dispatchers a to e are witnesses of each other. An assent counts for 0.480 s from the request at
  the dispatcher, and for 0.521 s from its receipt at the witness.

  Scenario: A majority of the witnesses is needed and enough
    Given dispatchers a, b, c that list a, b, c for u1 with witnesses abc
    When these requests for assent are made
      | at   | event     | holds |
      | 0    | a asks a  | none  |
      | 0    | a asks b  | a     |
      | 0.1  | b asks c  | a     |
      | 0.47 |           | a     |
      | 0.49 |           | none  |
      | 0.51 | b asks a  | none  |
      | 0.53 | a asks b  | none  |
      | 0.53 | a asks a  | a     |

  Scenario: An assent counts from the request's sending, not from the answer
    Given dispatchers a, b, c that list a, b, c for u1 with witnesses abc
    When these requests for assent are made
      | at   | event                   | holds |
      | 0    | a asks a                | none  |
      | 0    | a asks b and waits 0.4  | a     |
      | 0.47 |                         | a     |
      | 0.49 |                         | none  |

  Scenario: An answer after an assent's life counts nothing
    Given dispatchers a, b, c that list a, b, c for u1 with witnesses abc
    When these requests for assent are made
      | at  | event                  | holds |
      | 0   | a asks b and waits 0.5 | none  |
      | 0.5 | a asks a               | none  |

  Scenario: An even number of witnesses needs more than half
    Given dispatchers a, b, c, d that list a, b, c, d for u1 with witnesses abcd
    When these requests for assent are made
      | at | event    | holds |
      | 0  | a asks a | none  |
      | 0  | a asks b | none  |
      | 0  | a asks c | a     |

  Scenario: A majority of every witness set is needed while a change is handed over
    Given dispatchers a, b, c, d, e that list a, b, c, d, e for u1 with witnesses abc
    When these requests for assent are made
      | at   | event                 | holds |
      | 0    | a asks a              | none  |
      | 0    | a asks b              | a     |
      | 0.1  | a takes 1.6 abc+cde   | none  |
      | 0.1  | a asks c              | none  |
      | 0.1  | a asks d              | a     |
      | 0.2  | b takes 1.6 abc+cde   | a     |
      | 0.6  | b asks d              | none  |
      | 0.75 | b asks d              | none  |
      | 0.75 | b asks e              | none  |
      | 0.75 | b asks a              | none  |
      | 0.75 | b asks b              | b     |

  Scenario: An old table's dispatcher has no majority once the old witnesses refuse
    Given dispatchers a, b, c, d, e that list a, b, c, d, e for u1 with witnesses abc
    When these requests for assent are made
      | at   | event                  | holds |
      | 0    | a asks a               | none  |
      | 0    | a asks b               | a     |
      | 0.2  | a refuses tables < 1.6 | a     |
      | 0.2  | c refuses tables < 1.6 | a     |
      | 0.3  | a asks a               | a     |
      | 0.3  | a asks b               | a     |
      | 0.3  | a asks c               | a     |
      | 0.49 |                        | none  |
      | 0.7  | d takes 1.6 cde        | none  |
      | 0.7  | d asks d               | none  |
      | 0.7  | d asks e               | d     |

  Scenario: A dispatcher that learns of a newer table stops contending with its old one
    Given dispatchers a, b, c that list a, b, c for u1 with witnesses abc
    When these requests for assent are made
      | at   | event                  | holds |
      | 0    | c refuses tables < 1.6 | none  |
      | 0    | a asks a               | none  |
      | 0.1  | a asks c               | none  |
      | 0.2  | a asks a               | none  |
      | 0.55 | b takes 1.6 abc        | none  |
      | 0.75 | b asks a               | none  |
      | 0.75 | b asks b               | b     |

  Scenario: The first listed does not take an upstream from its holder
    Given dispatchers a, b that list a, b for u1 with witnesses ab
    When these requests for assent are made
      | at  | event      | holds |
      | 0   | b asks a   | none  |
      | 0.3 | b asks a   | none  |
      | 0.3 | b asks b   | b     |
      | 0.4 | a asks a   | b     |
      | 0.4 | a asks b   | b     |
      | 0.7 | b asks a   | b     |
      | 0.7 | b asks b   | b     |
      | 0.9 | a asks a   | b     |
      | 0.9 | a asks b   | b     |

  Scenario: The next one listed waits until the holder seems gone
    Given dispatchers a, b, c that list a, b, c for u1 with witnesses abc
    When these requests for assent are made
      | at   | event            | holds |
      | 0    | a asks a         | none  |
      | 0    | a asks b         | a     |
      | 0    | a asks c         | a     |
      | 0.7  | b asks b         | none  |
      | 0.7  | b asks c         | none  |
      | 0.73 | b asks b         | none  |
      | 0.73 | b asks c         | b     |
      | 0.93 | c asks c         | b     |
      | 0.93 | c asks a         | b     |
      | 0.95 | c asks a         | b     |
      | 0.95 | c asks c         | b     |

  Scenario: Dispatchers that share the witnesses do not block each other for good
    Given dispatchers a, b, c that list a, b, c for u1 with witnesses abc
    When these requests for assent are made
      | at   | event    | holds |
      | 0.5  | b asks b | none  |
      | 0.5  | c asks c | none  |
      | 0.6  | b asks c | none  |
      | 0.6  | c asks b | none  |
      | 0.75 | b asks b | none  |
      | 0.75 | c asks c | none  |
      | 0.81 | b asks b | none  |
      | 0.81 | c asks c | none  |
      | 0.9  | a asks a | none  |
      | 1    | b asks b | none  |
      | 1    | c asks c | none  |
      | 1.3  | a asks a | none  |
      | 1.3  | a asks b | a     |

  Scenario: A released upstream is free at once, and late answers count nothing
    Given dispatchers a, b that list a, b for u1 with witnesses ab
    When these requests for assent are made
      | at   | event                       | holds |
      | 0    | a asks a                    | none  |
      | 0    | a asks b                    | a     |
      | 0.1  | a gives up u1 while asking b | none  |
      | 0.1  | a asks a                    | none  |
      | 0.1  | a asks b                    | none  |
      | 0.31 | b asks a                    | none  |
      | 0.31 | b asks b                    | b     |

  Scenario: The fence of the row must be assented to before it counts
    Given dispatchers a, b, c that list a, b, c for u1 with witnesses abc
    When these requests for assent are made
      | at  | event           | holds |
      | 0   | a asks a        | none  |
      | 0   | a asks b        | a     |
      | 0.1 | a takes 1.6 abc | a     |
    Then dispatcher a holds u1 for fence 1.5 but not for 1.6
    When these requests for assent are made
      | at  | event           | holds |
      | 0.1 | a asks a        | a     |
      | 0.1 | a asks b        | a     |
    Then dispatcher a holds u1 for fence 1.6 but not for 1.7

  Scenario: Since when a right is held
    Given dispatchers a, b, c that list a, b, c for u1 with witnesses abc
    When these requests for assent are made
      | at  | event    | holds |
      | 0   | a asks a | none  |
      | 0.1 | a asks b | a     |
      | 0.4 | a asks c | a     |
      | 0.4 | a asks a | a     |
    Then dispatcher a holds u1 since 0.1
    When these requests for assent are made
      | at  | event    | holds |
      | 0.9 |          | none  |
      | 1   | a asks c | none  |
      | 1   | a asks b | a     |
    Then dispatcher a holds u1 since 1

  Scenario: A right that new witnesses give after a break begins with the next assent
    Given dispatchers a, b, c, d, e that list a, b, c, d, e for u1 with witnesses abc
    When these requests for assent are made
      | at   | event               | holds |
      | 0    | a takes 1.6 abc+ade | none  |
      | 0    | a asks a            | none  |
      | 0    | a asks b            | none  |
      | 0    | a asks d            | a     |
      | 0.4  | a asks a            | a     |
      | 0.4  | a asks d            | a     |
      | 0.49 |                     | none  |
      | 0.5  | a takes 1.7 ade     | a     |
      | 0.55 | a asks a            | a     |
    Then dispatcher a holds u1 since 0.55
