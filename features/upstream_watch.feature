Feature: What reports say of upstreams, dispatchers and keys

  Scenario Outline: Which upstreams may be given slots
    Given the assigner watches upstreams u0, u1 and u2
    When the dispatchers' reports are "<reports>"
    Then ready are "<ready>", settled "<settled>" and lost "<lost>"

    # upstream+dispatcher@time is a report that it is reached, upstream-dispatcher@time that it is
    # not; look@time lets the assigner look.
    Examples:
      | reports                                   | ready    | settled | lost |
      | look@0                                    |          |         |      |
      | look@0 look@0.9                           |          |         |      |
      | look@0 look@1.0                           | u0 u1 u2 |         |      |
      | look@0 u0+a@0.1 look@0.1                  | u0       |         |      |
      | look@0 u0-a@0.1 look@0.1                  |          |         | u0   |
      | look@0 u0+a@0.1 look@0.1 u0+a@2.2 look@2.2 | u0 u1 u2 | u0     |      |
      | look@0 u0+a@0.1 look@0.1 look@9           | u0 u1 u2 | u0      |      |
      | look@0 u0+a@0.1 look@0.1 u0-a@0.5 look@0.5 | | | u0 |
      | look@0 u0-a@0.1 look@0.1 look@9           | u1 u2    |         | u0   |
      | look@0 u0-a@0.1 look@0.1 u0+b@0.2 look@0.2 | u0 | | |
      | look@0 u0-a@1 look@1 u0+a@2 look@2 u0+a@4 look@4 | u0 u1 u2 | u0 u1 u2 | |
      | look@0 u0-a@1 look@1 u0+a@2 look@2 u0-a@3 look@3 u0+a@4 look@4 u0+a@7 look@7 | u0 u1 u2 | u1 u2 | |
      | look@0 u0-a@1 look@1 u0+a@2 look@2 u0-a@3 look@3 u0+a@4 look@4 u0+a@8 look@8 | u0 u1 u2 | u0 u1 u2 | |

  Scenario Outline: A dispatcher that is cut off is told from lost upstreams
    Given the assigner watches upstreams u0, u1 and u2
    When the dispatchers' reports are "look@0 <reports>"
    Then lost are "<lost>" and unfit dispatchers "<unfit>"

    Examples:
      | reports                                       | lost     | unfit |
      | u0+a@1 u1+a@1 u2+b@1 look@1                   |          |       |
      | u0-a@1 u1+a@1 u2+b@1 look@1                   | u0       |       |
      | u0-a@1 u1-a@1 u2+b@1 look@1                   |          | a     |
      | u0-a@1 u1-a@1 u2-b@1 look@1                   | u0 u1 u2 |       |
      | u0+a@1 u1+a@1 u2-b@1 look@1                   | u2       |       |
      | u0-a@1 u1-a@1 u2+b@1 look@1 u0-b@1.2 u1+b@1.2 look@1.2 | u0 | a  |
      | u0-a@1 u1-a@1 u2+b@1 look@1 u0-a@2.6 u1-a@2.6 look@2.6 | u0 u1 | a |

  Scenario Outline: A hot key moves only if that pays
    Given upstreams of 2 slots each with the loads "<loads>" and a key of u0 with load <key>
    When the hot keys are planned <plan>
    Then the hot key is wanted at "<target>"

    Examples:
      | loads              | key | plan          | target |
      | u0=1.8 u1=0.2 u2=0.4 | 0.9 | once          | u1     |
      | u0=1.8 u1=0.2 u2=0.4 | 0.3 | once          |        |
      | u0=1.8 u1=0.2 u2=0.4 | 1.6 | once          |        |
      | u0=1.8 u1=1.4 u2=1.4 | 0.9 | once          |        |
      | u0=0.9 u1=0.6 u2=0.6 | 0.5 | once          |        |
      | u0=1.8 u1=0.2 u2=0.4 | 0.9 | twice         | u1     |
      | u0=1.8 u1=0.2 u2=0.4 | 0.9 | after a move  |        |

  Scenario Outline: Weights follow load slowly, and only where it is uneven
    Given upstreams of 2 slots each with the loads "<loads>" and a key of u0 with load 0
    When the weights are followed for <time> s
    Then the weights are "<weights>"

    Examples:
      | loads         | time | weights          |
      | u0=1 u1=1     | 60   | u0=1.00 u1=1.00  |
      | u0=1.2 u1=0.8 | 60   | u0=1.00 u1=1.00  |
      | u0=1.6 u1=0.4 | 5    | u0=1.00 u1=1.00  |
      | u0=1.6 u1=0.4 | 11   | u0=0.91 u1=1.10  |
      | u0=1.6 u1=0.4 | 600  | u0=0.67 u1=1.50  |
      | u0=0.3 u1=0.1 | 600  |                  |
