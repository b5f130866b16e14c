Feature: Metrics are exposed in the Prometheus text format

  Scenario: Counters, gauges and histograms
    Given an empty set of metrics
    When the metrics are updated
      | call    | name                | labels     | value |
      | count   | a_total             | code=1     | 1     |
      | count   | a_total             | code=1     | 2     |
      | count   | a_total             | code=2     | 1     |
      | count   | b_total             |            | 1     |
      | gauge   | c_version           | zone=z     | 5     |
      | gauge   | c_version           | zone=z     | 3     |
      | observe | d_seconds           | rank=r     | 0.001 |
      | observe | d_seconds           | rank=r     | 0.003 |
      | observe | d_seconds           | rank=r     | 9     |
    Then the exposition has the lines
      | line                                     |
      | a_total{code="1"} 3                      |
      | a_total{code="2"} 1                      |
      | b_total 1                                |
      | c_version{zone="z"} 3                    |
      | d_seconds_bucket{le="0.001",rank="r"} 1.0 |
      | d_seconds_bucket{le="0.002",rank="r"} 1.0 |
      | d_seconds_bucket{le="0.004",rank="r"} 2.0 |
      | d_seconds_bucket{le="5.0",rank="r"} 2.0  |
      | d_seconds_bucket{le="+Inf",rank="r"} 3.0 |
      | d_seconds_count{rank="r"} 3.0            |
      | d_seconds_sum{rank="r"} 9.004            |
    And the exposition includes CPU time, memory and threads of the process
    And the counter a_total with code 1 has the value 3
