Feature: A lost answer of the store leaves no node behind

  Scenario Outline: <change>: <fault> at <who>
    # Guards against requests that run as an older configuration allows: a leader, or a single node,
    # waited on a watch whose answer was lost.
    Given a fleet of <nodes> nodes in virtual time
    When <change> and <who> has a watch of it with <fault>
    Then 2 s later all nodes know of it

    Examples: followers know
      | nodes | who        | change                          | fault             |
      | 3     | the leader | a configuration is applied      | answer lost       |
      | 3     | the leader | a configuration is applied      | connection reset  |
      | 3     | the leader | a configuration is applied      | connection silent |
      | 3     | the leader | an evacuation is set            | answer lost       |
      | 3     | the leader | an evacuation is set            | connection reset  |
      | 3     | the leader | an evacuation is set            | connection silent |
      | 3     | the leader | an evacuation is taken back     | answer lost       |
      | 3     | the leader | an evacuation is taken back     | connection reset  |
      | 3     | the leader | an evacuation is taken back     | connection silent |
      | 3     | a follower | a configuration is applied      | answer lost       |
      | 3     | a follower | a configuration is applied      | connection reset  |
      | 3     | a follower | a configuration is applied      | connection silent |
      | 3     | a follower | an evacuation is set            | answer lost       |
      | 3     | a follower | an evacuation is taken back     | answer lost       |
      | 3     | a follower | the leader is killed            | answer lost       |
      | 3     | a follower | the leader is killed            | connection reset  |
      | 3     | a follower | the leader is killed            | connection silent |

    Examples: nobody knows
      | nodes | who        | change                          | fault             |
      | 3     | each node  | a configuration is applied      | answer lost       |
      | 3     | each node  | a configuration is applied      | connection reset  |
      | 3     | each node  | a configuration is applied      | connection silent |
      | 3     | each node  | an evacuation is set            | answer lost       |
      | 3     | each node  | an evacuation is taken back     | answer lost       |
      | 3     | each node  | the leader is killed            | answer lost       |
      | 3     | each node  | the leader is killed            | connection reset  |
      | 3     | each node  | the leader is killed            | connection silent |
      | 1     | the leader | a configuration is applied      | answer lost       |
      | 1     | the leader | a configuration is applied      | connection reset  |
      | 1     | the leader | a configuration is applied      | connection silent |
      | 1     | the leader | an evacuation is set            | answer lost       |
      | 1     | the leader | an evacuation is set            | connection silent |
      | 1     | the leader | an evacuation is taken back     | answer lost       |
      | 1     | the leader | an evacuation is taken back     | connection reset  |

  Scenario: A node that has just become the leader has a watch as long as a leader's
    Given a fleet of 3 nodes in virtual time
    When the leader is replaced
    And a configuration is applied and each node has a watch of it with answer lost
    Then 2 s later all nodes know of it
