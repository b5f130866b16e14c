Feature: The speed of upstreams is estimated despite noise, long requests and false reports

  Scenario Outline: The base speeds of upstreams are learnt with <noise>
    # Estimates over the last 8 samples followed the noise and not the speed.
    Given upstreams with the base latency ratios 0.6 0.9 1.0 1.6
    And <noise>
    When they serve 14 requests a second each for 40 s
    Then their slow ratios relative to each other have the base ratios within 20 %

    Examples:
      | noise                                            |
      | no noise                                         |
      | slowdowns by 3 for 0.4 s, a fifth of the time    |
      | 3 % of the requests taking 7 times as long       |

  Scenario Outline: Slow ratios do not follow <noise>
    # The keys of an upstream moved whenever its estimate followed the noise.
    Given upstreams with the base latency ratios 1 1 1 1
    And <noise>
    When they serve <rate> requests a second each for 60 s
    Then after 20 s no slow ratio has been more than <limit> % from the mean

    Examples:
      | noise                                            | rate | limit |
      | slowdowns by 3 for 0.4 s, a fifth of the time    | 14   | 35    |
      | 3 % of the requests taking 7 times as long       | 14   | 20    |
      | 3 % of the requests taking 7 times as long       | 5    | 30    |

  Scenario: A slow upstream does not raise the means of its routes
    # Slow upstreams made all requests look longer than they are, so that some were refused.
    Given upstreams with the base latency ratios 1 1 8
    And no noise
    When they serve 10 requests a second each for 40 s
    Then the mean latency of each route is within 25 % of that at the first upstream
    And the latency expected at each upstream is within 25 % of the true one

  Scenario: An upstream that becomes much slower is recognized
    Given upstreams with the base latency ratios 1 1 1 1
    And no noise
    When they serve 14 requests a second each for 20 s
    And upstream 0 takes 6 times as long and they serve 14 requests a second each for 6 s
    Then the latency ratio of upstream 0 is at least 3 times that of the others
    And its slow ratio is at least 1.7 times that of the others

  Scenario: A slowdown that has ended is forgotten within 2 s
    Given upstreams with the base latency ratios 1 1
    And no noise
    When they serve 14 requests a second each for 20 s
    And upstream 0 takes 3 times as long and they serve 14 requests a second each for 1 s
    Then the latency ratio of upstream 0 is at least 1.6 times that of the others
    When 2 s pass without requests
    Then the latency ratio of upstream 0 is at most 1.3 times that of the others

  Scenario Outline: A report of <report> without measured latencies is a bounded hint
    Given upstreams with the base latency ratios 1 1
    And no noise
    When they serve 14 requests a second each for 20 s
    And 2 s pass without requests
    And upstream 0 reports <report>
    Then the latency ratio of upstream 0 is between <least> and <most> times that of the others
    When 1 s pass without requests
    Then the latency ratio of upstream 0 is between 0.95 and 1.05 times that of the others

    Examples:
      | report          | least | most |
      | 4,0,4,300       | 1.3   | 3    |
      | 4,0,4,999999    | 1.3   | 3    |
      | 4,999999,1,100  | 1.3   | 3    |
      | 4,8,4           | 1.3   | 3    |
      | 0,0,4,1         | 0.5   | 0.9  |
      | 2,0,4,100       | 0.95  | 1.05 |
      | 2,0,4           | 0.95  | 1.05 |

  Scenario Outline: An upstream that always reports <report> has little effect
    # An upstream that reports false values must neither attract nor avoid requests.
    Given upstreams with the base latency ratios 1 1
    And no noise
    And upstream 0 reports <report> in each response
    When they serve 14 requests a second each for 20 s
    Then the latency ratio of upstream 0 is between 0.9 and 1.1 times that of the others

    Examples:
      | report     |
      | 0,0,4,10   |
      | 9,99,4,900 |

  Scenario: Reports that measured latencies confirm have more effect than those they contradict
    Given upstreams with the base latency ratios 1 1
    And slowdowns by 3 for 0.4 s, a fifth of the time
    And upstream 0 reports its slowdowns and upstream 1 reports the opposite
    When they serve 14 requests a second each for 40 s
    Then the reports of upstream 0 are trusted at least twice as much as those of upstream 1

  Scenario Outline: The load report "<value>" is <meaning>
    # A malformed value must not affect a response, nor be read as a load.
    Given an upstream whose responses have the header Load-Report: <value>
    When 3 of its responses are read
    Then its load is <meaning>
    And <count> malformed reports are in the log, in at most 200 characters

    Examples: {9*5000} stands for 5000 nines
      | value             | meaning                          | count |
      | 3,1,4             | 3 running, 1 waiting, 4 slots    | 0     |
      | 0,0,1             | 0 running, 0 waiting, 1 slots    | 0     |
      | 3, 1 ,4           | 3 running, 1 waiting, 4 slots    | 0     |
      | 3,1,4,250         | 3 running, 1 waiting, 4 slots, work takes 250 % | 0 |
      | 999999,999999,999999,999999 | 999999 running, 999999 waiting, 999999 slots, work takes 999999 % | 0 |
      | 3,1               | unknown                          | 1     |
      | 3,1,4,250,7       | unknown                          | 1     |
      | 3;1;4             | unknown                          | 1     |
      | 3,1,0             | unknown                          | 1     |
      | 3,1,4,0           | unknown                          | 1     |
      | 3,1,4,            | unknown                          | 1     |
      | ,1,4              | unknown                          | 1     |
      | -3,1,4            | unknown                          | 1     |
      | +3,1,4            | unknown                          | 1     |
      | 3.0,1,4           | unknown                          | 1     |
      | 3,1,4,1e3         | unknown                          | 1     |
      | 0x3,1,4           | unknown                          | 1     |
      | ٣,1,4             | unknown                          | 1     |
      | 3,1,4,nan         | unknown                          | 1     |
      | 3,1,4,1000000     | unknown                          | 1     |
      | {9*5000},1,4      | unknown                          | 1     |
      | {,*5000}          | unknown                          | 1     |
      | idle              | unknown                          | 1     |
