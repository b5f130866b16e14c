Feature: Assignment of slots, dispatchers, witnesses and homes

  Scenario Outline: Quotas follow weights and keep what is owned
    When <total> slots are divided by weights "<weights>" while owned are "<owned>"
    Then the division is "<quotas>"

    Examples:
      | total | weights       | owned         | quotas        |
      | 12    | a=1 b=1 c=1   | a=0 b=0 c=0   | a=4 b=4 c=4   |
      | 10    | a=1 b=1 c=1   | a=0 b=0 c=0   | a=4 b=3 c=3   |
      | 10    | a=1 b=1 c=1   | a=3 b=3 c=4   | a=3 b=3 c=4   |
      | 11    | a=1 b=1 c=1   | a=3 b=4 c=4   | a=3 b=4 c=4   |
      | 9     | a=1 b=2       | a=0 b=0       | a=3 b=6       |
      | 0     | a=1 b=1       | a=0 b=0       | a=0 b=0       |
      | 2     | a=1 b=1 c=1   | a=0 b=1 c=1   | a=0 b=1 c=1   |

  Scenario Outline: Slots without owner go to the least filled, in neighbouring runs
    When the slots <slots> are handed out by weights "<weights>" while owned are "<owned>"
    Then they go to "<given>"

    Examples:
      | slots    | weights     | owned       | given                |
      | 0-5      | a=1 b=1     | a=0 b=0     | a:0-2 b:3-5          |
      | 0-5      | a=1 b=1     | a=4 b=0     | a:0 b:1-5            |
      | 0-3      | a=1 b=1 c=1 | a=9 b=1 c=3 | b:0-2 c:3            |
      | 2-3 7-9  | a=1 b=1     | a=0 b=0     | a:2-3 7 b:8-9        |
      | 0-5      | a=2 b=1     | a=0 b=0     | a:0-3 b:4-5          |
      | 0-5      |             |             |                      |

  Scenario Outline: Only surplus moves, and a bounded part of it at a time
    When at most <limit> slots move for balance while owned are "<owned>" by weights "<weights>"
    Then taken are "<taken>"

    Examples:
      | owned                | weights     | limit | taken          |
      | a:0-3 b:4-7          | a=1 b=1     | 9     |                |
      | a:0-4 b:5-8          | a=1 b=1     | 9     |                |
      | a:0-5 b:6-7          | a=1 b=1     | 9     | a:4-5          |
      | a:0-5 b:6-7          | a=1 b=1     | 1     | a:5            |
      | a:0-5 b:6-7          | a=1 b=1     | 0     |                |
      | a:0-5 b:6-11 c:      | a=1 b=1 c=1 | 9     | a:4-5 b:10-11  |
      | a:0-5 b:6-11 c:      | a=1 b=1 c=1 | 3     | a:4-5 b:11     |
      | a:0-5 b:6-8          | a=2 b=1     | 9     |                |

  Scenario Outline: Dispatchers of upstreams
    When the dispatchers of "<current>" are chosen of "<live>" with <moves> moves, senders "<senders>"
    Then the dispatchers are "<chosen>"

    Examples:
      | current           | live  | senders | moves | chosen            |
      | u: v: w:          | a b c |         | 0     | u:abc v:bac w:cab |
      | u:abc v:bac w:cab | a b c |         | 0     | u:abc v:bac w:cab |
      | u:abc v:bac w:cab | b c   |         | 0     | u:bc v:bc w:cb    |
      | u:abc             | a b c | u=b     | 0     | u:bac             |
      | u:ab v:ab         | a b   |         | 0     | u:ab v:ab         |
      | u:ab v:ab         | a b   |         | 1     | u:ba v:ab         |
      | u:ab v:ab         | a b   | u=a     | 1     | u:b v:ab          |
      | u:b v:ab          | a b   | u=a     | 0     | u:b v:ab          |
      | u:b v:ab          | a b   | u=b     | 0     | u:ba v:ab         |
      | u:a               | a     |         | 1     | u:a               |
      | u:ab              |       |         | 1     | u:                |
      | u:abc             | a b c d |       | 0     | u:abc             |

  Scenario Outline: Witnesses stay and free places are filled
    When the witnesses "<current>" are followed of live "<live>" with missing "<missing>"
    Then the witnesses are "<chosen>"

    Examples:
      | current   | live            | missing | chosen    |
      |           | a b c           |         | a b c     |
      |           | a b c d e f g   |         | a b c d e |
      | c d e f g | a b c d e f g   |         | c d e f g |
      | a b c     | a b             | c       | a b c     |
      | a b c     | a b             |         | a b       |
      | a b c     | a b d           |         | a b d     |
      | a b c     | a b d           | c       | a b c d   |

  Scenario Outline: Refusals that leave a witness set without a majority
    Then <quorum> refusals block a set of <size>

    Examples:
      | size | quorum |
      | 1    | 1      |
      | 2    | 1      |
      | 3    | 2      |
      | 4    | 2      |
      | 5    | 3      |

  Scenario Outline: Homes of slots follow the upstreams of the zones
    Given 12 slots homed "<homes>" with upstreams "<upstreams>", at most <bound> moves
    When zone a, <ability>, chooses slots for other zones while "<unable>" cannot serve
    Then it chooses "<chosen>"

    Examples:
      | homes              | upstreams   | bound | ability    | unable | chosen       |
      | a:0-5 b:6-11       | a=1 b=1     | 9     | able       |        |              |
      | a:0-5 b:6-11       | a=1 b=2     | 9     | able       |        | b:4-5        |
      | a:0-5 b:6-11       | a=1 b=2     | 1     | able       |        | b:5          |
      | a:0-5 b:6-11       | a=2 b=1     | 9     | able       |        |              |
      | a:0-5 b:6-11       | b=2         | 1     | able       |        | b:5          |
      | a:0-5 b:6-11       | a=1 b=1     | 9     | not able   |        | b:0-5        |
      | a:0-5 b:6-11       | a=1 b=1     | 1     | not able   |        | b:0-5        |
      | a:0-5 b:6-11       | a=1 b=1     | 9     | not able   | b      |              |
      | a:0-11             | a=1 b=1     | 9     | able       | b      |              |
      | a:0-11             | a=1 b=1 c=1 | 9     | able       |        | b:8-11 c:4-7 |
      | a:0-5 b:6-9 c:10-11 | a=1 b=1 c=1 | 9    | able       |        | c:4-5        |

  Scenario Outline: The first placement homes each slot once
    When the first placement of <slots> slots is made for upstreams "<upstreams>"
    Then the homes are "<homes>"

    Examples:
      | slots | upstreams | homes        |
      | 6     | a=1 b=1   | a:0-2 b:3-5  |
      | 6     | a=1 b=2   | a:0-1 b:2-5  |
      | 1     | a=1 b=1   | a:0          |

  Scenario Outline: Placement documents that are refused
    When the placement document <document> is read
    Then it is refused as malformed

    Examples:
      | document                                                                                  |
      | []                                                                                        |
      | {"service":"s","slot_count":4,"writer_token":"t","unable":[],"homes":{"a":[[0,3]]}}         |
      | {"service":"s","slot_count":4,"writer_token":"t","unable":[],"homes":{"a":[[0,4]],"b":[[3,4]]}} |
      | {"service":"s","slot_count":4,"writer_token":"t","unable":[],"homes":{"a":[[0,5]]}}         |
