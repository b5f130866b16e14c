Feature: Witnesses assent to one sender for each upstream

  Times are seconds of the witness's clock after it began to speak. An assent lasts 0.52 s there.

  Scenario: One dispatcher at a time
    Given a witness of incarnation w1
    When these messages arrive
      | at   | message | from | witness | upstream | fence | table | answer   |
      | 0    | assent  | a    | w1      | u1       | 1.5   | 1.9   | granted  |
      | 0.1  | assent  | b    | w1      | u1       | 1.5   | 1.9   | withheld |
      | 0.1  | assent  | b    | w1      | u2       | 1.2   | 1.9   | granted  |
      | 0.4  | assent  | a    | w1      | u1       | 1.5   | 1.9   | granted  |
      | 0.6  | assent  | b    | w1      | u1       | 1.5   | 1.9   | withheld |
      | 0.91 | assent  | b    | w1      | u1       | 1.5   | 1.9   | withheld |
      | 0.93 | assent  | b    | w1      | u1       | 1.5   | 1.9   | granted  |
      | 0.95 | assent  | a    | w1      | u1       | 1.5   | 1.9   | withheld |
    Then the witness's last holder of u1 is b

  Scenario: A dispatcher's next incarnation is another dispatcher
    Given a witness of incarnation w1
    When these messages arrive
      | at  | message | from | witness | upstream | fence | table | answer   |
      | 0   | assent  | a/1  | w1      | u1       | 1.5   | 1.9   | granted  |
      | 0.1 | assent  | a/2  | w1      | u1       | 1.5   | 1.9   | withheld |
      | 0.6 | assent  | a/2  | w1      | u1       | 1.5   | 1.9   | granted  |

  Scenario: A fence once assented to is a floor for that upstream only
    Given a witness of incarnation w1
    When these messages arrive
      | at  | message | from | witness | upstream | fence | table | answer   |
      | 0   | assent  | a    | w1      | u1       | 1.5   | 1.9   | granted  |
      | 0.1 | assent  | a    | w1      | u1       | 1.4   | 1.9   | withheld |
      | 0.1 | assent  | a    | w1      | u2       | 1.4   | 1.9   | granted  |
      | 2   | assent  | b    | w1      | u1       | 1.4   | 1.9   | withheld |
      | 2   | assent  | b    | w1      | u1       | 2.1   | 2.1   | granted  |
      | 4   | assent  | a    | w1      | u1       | 1.9   | 2.1   | withheld |

  Scenario: Refusals raise floors at once and for good
    Given a witness of incarnation w1
    When these messages arrive
      | at  | message | from     | witness | upstream | fence | table | answer        |
      | 0   | assent  | a        | w1      | u1       | 1.5   | 1.9   | granted       |
      | 0.1 | refuse  | assigner | w1      | u1       | 1.8   | 1.4   | ACCEPTED      |
      | 0.2 | assent  | a        | w1      | u1       | 1.5   | 1.9   | withheld      |
      | 0.2 | refuse  | assigner | w1      | u1       | 1.6   | 1.4   | ACCEPTED      |
      | 0.3 | assent  | a        | w1      | u1       | 1.7   | 1.9   | withheld      |
      | 0.3 | assent  | b        | w1      | u1       | 1.8   | 1.9   | withheld      |
      | 0.6 | assent  | b        | w1      | u1       | 1.8   | 1.9   | granted       |
      | 0.7 | refuse  | assigner | w1      | u9       | 1.8   | 2.3   | ACCEPTED      |
      | 0.8 | assent  | b        | w1      | u1       | 1.8   | 2.2   | STALE_FENCE   |
      | 0.8 | assent  | b        | w1      | u1       | 1.8   | 2.3   | granted       |

  Scenario: Messages for another incarnation change nothing
    Given a witness of incarnation w2
    When these messages arrive
      | at  | message | from     | witness | upstream | fence | table | answer        |
      | 0   | assent  | a        | w1      | u1       | 1.5   | 1.9   | WRONG_BOOT_ID |
      | 0   | refuse  | assigner | w1      | u1       | 9.9   | 9.9   | WRONG_BOOT_ID |
      | 0   | assent  | b        | w2      | u1       | 1.5   | 1.9   | granted       |

  Scenario: A witness that just started is silent, but takes refusals
    Given a witness of incarnation w1
    When these messages arrive
      | at    | message | from     | witness | upstream | fence | table | answer         |
      | -0.52 | assent  | a        | w1      | u1       | 1.5   | 1.9   | WITNESS_SILENT |
      | -0.3  | refuse  | assigner | w1      | u1       | 1.8   | 1.9   | ACCEPTED       |
      | -0.01 | assent  | a        | w1      | u1       | 1.9   | 1.9   | WITNESS_SILENT |
      | 0     | assent  | a        | w1      | u1       | 1.7   | 1.9   | withheld       |
      | 0     | assent  | a        | w1      | u1       | 1.8   | 1.9   | granted        |

  Scenario: A release frees the upstream, unless it is older than the last assent
    Given a witness of incarnation w1
    When these messages arrive
      | at  | message   | from | witness | upstream | fence | table | answer   |
      | 0   | assent#4  | a    | w1      | u1       | 1.5   | 1.9   | granted  |
      | 0.1 | release#3 | a    | w1      | u1       | 1.5   | 1.9   | withheld |
      | 0.1 | assent#1  | b    | w1      | u1       | 1.5   | 1.9   | withheld |
      | 0.2 | release#9 | b    | w1      | u1       | 1.5   | 1.9   | withheld |
      | 0.2 | assent#1  | b    | w1      | u1       | 1.5   | 1.9   | withheld |
      | 0.3 | assent#2  | a    | w1      | u1       | 1.5   | 1.9   | granted  |
      | 0.3 | release#3 | a    | w1      | u1       | 1.5   | 1.9   | withheld |
      | 0.3 | assent#2  | b    | w1      | u1       | 1.5   | 1.9   | withheld |
      | 0.4 | release#5 | a    | w1      | u1       | 1.5   | 1.9   | withheld |
      | 0.4 | assent#3  | b    | w1      | u1       | 1.5   | 1.9   | granted  |
    Then the witness's subscribers heard of 1 release

  Scenario: A floor outlives its record
    Given a witness of incarnation w1
    When these messages arrive
      | at | message | from     | witness | upstream | fence | table | answer      |
      | 0  | refuse  | assigner | w1      | u1       | 1.8   | 1.0   | ACCEPTED    |
      | 0  | assent  | a        | w1      | u2       | 1.2   | 1.9   | granted     |
    And it hears of more upstreams than it keeps
    And these messages arrive
      | at  | message | from | witness | upstream | fence | table | answer      |
      | 0.1 | assent  | b    | w1      | u2       | 1.2   | 1.9   | withheld    |
      | 0.1 | assent  | a    | w1      | u1       | 1.7   | 1.7   | STALE_FENCE |
      | 0.1 | assent  | a    | w1      | u1       | 1.8   | 1.8   | granted     |
