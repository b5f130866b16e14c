Feature: A new leader waits until the grants of previous leaders have expired, but no longer

  Scenario Outline: Grants of previous leaders expire
    Given the table names another instance as leader until a new leader took over at second 0
    When the new leader receives <heartbeats>
    Then at second <moment> grants of the previous leader expire by second <end>

    # A previous leader may renew grants for 10 s after the store last renewed its lease. A grant
    # may take 0.4 s to arrive and is held for 2.4 s, up to 2% longer on a slow clock, plus 0.1 s
    # for transit.
    Examples:
      | heartbeats                                       | moment | end    |
      | no heartbeat                                     | 0      | 12.948 |
      | no heartbeat                                     | 9      | 12.948 |
      | one from it at 1 with the new term               | 1      | 3.948  |
      | one from it at 1 with the new term, again at 5   | 6      | 3.948  |
      | one from it at 1 with only its own term          | 2      | 12.948 |
      | one from another instance at 1 with the new term | 2      | 12.948 |
      | one from it while leaving at 1 with the new term | 2      | 6.09   |
      | one from its next process at 2 with the new term | 3      | 7.09   |
      | one from it at 11 with the new term              | 12     | 12.948 |

  Scenario Outline: The instance of the new leader also led before
    Given the table names the new leader's <what> as leader until it took over at second 0
    Then at second 0 grants of the previous leader expire by second <end>

    Examples: the process started at second -1; a leader that shuts down may have sent grants of 4.5 s
      | what            | end  |
      | own process     | 5.09 |
      | earlier process | 4.09 |

  Scenario: Previous leaders stay in the table until their grants have expired
    Given the table names another instance as leader until a new leader took over at second 0
    Then at second 12 the table names the previous leader with 0.948 s left
    And at second 13 the table no longer names it

  Scenario Outline: Keys of a lost upstream wait until its grants have expired
    Given an upstream with two ranges, and grants of previous leaders that expire at second 12.948
    When the new leader renews its grants at second 1 and the upstream <answers>
    Then at second 2 the upstream may hold keys until second <end>

    Examples: a range without the new fencing token may still be renewed by a previous leader
      | answers                           | end    |
      | accepts both                      | 3.548  |
      | accepts the first only            | 12.948 |
      | refuses one for its fencing token | 12.948 |
      | cannot be connected to            | 12.948 |
      | answers neither                   | 12.948 |
      | has been replaced                 | 1      |

  Scenario Outline: Only a confirmed new token ends the grants of previous leaders for a key
    Given keys 0 to 9 owned by "u0", and keys 20 to 29 moving from "u0" to "u1"
    And grants of previous leaders that expire at second 12.948
    When these events occur: <events>
    Then "<upstream>" may hold keys by grants of previous leaders until second <end>

    Examples:
      | events                                            | upstream | end    |
      | none                                              | u0       | 12.948 |
      | none                                              | u1       | 12.948 |
      | none                                              | u2       | -inf   |
      | u0 confirms 0 to 9                                | u0       | 12.948 |
      | u0 confirms 0 to 9, u0 confirms 20 to 29          | u0       | -inf   |
      | u0 confirms 0 to 9, u0 confirms 20 to 29          | u1       | 12.948 |
      | u0 confirms 0 to 4, u0 confirms 20 to 29          | u0       | 12.948 |
      | u0 confirms 3 to 6, u0 confirms 0 to 29           | u0       | -inf   |
      | u1 confirms 0 to 9                                | u1       | 12.948 |
      | u1 confirms 20 to 24, u1 confirms 25 to 29        | u1       | -inf   |
      | u1 terminates                                     | u1       | -inf   |
      | u1 terminates                                     | u0       | 12.948 |
      | u0 confirms 0 to 29, u0 restarts                  | u0       | 12.948 |
      | u0 confirms 0 to 29, u0 restarts, u0 confirms 0 to 29 | u0   | -inf   |
      | u1 terminates, u1 restarts                        | u1       | 12.948 |
      | u2 restarts                                       | u2       | -inf   |

  Scenario: A grant that cannot be sent does not hide another that was accepted meanwhile
    Given an upstream with two ranges, and grants of previous leaders that expire at second -9
    When a grant is accepted at second 1 while another waits for a connection that fails
    Then at second 1 the upstream may hold keys until second 3.548

  # Guards against a key with two owners: a renewer that replaced another one knew none of its grants.
  Scenario Outline: A renewer that replaces another one knows its grants
    Given an upstream with two ranges, and grants of previous leaders that expire at second -9
    When its renewer is replaced <occasion> at second 1
    Then the new renewer took the grant for one that holds until second 4.348 while it was sent
    And at second 2 the upstream may hold keys until second 3.548

    Examples:
      | occasion                                  |
      | after a grant                             |
      | after a grant, by one of another address  |

  Scenario Outline: Only the grants to a run that has terminated end with it
    Given an upstream with two ranges, and grants of previous leaders that expire at second -9
    When its renewer is replaced <occasion> at second 1
    And the upstream that the new renewer calls has been replaced
    Then at second 2 the upstream may hold keys until second <end>

    Examples:
      | occasion                                  | end   |
      | after a grant                             | 1     |
      | after a grant, by one of another address  | 3.548 |

  Scenario: An upstream that may have restarted gets moved keys only with a new token
    Given an upstream with two ranges, and grants of previous leaders that expire at second -9
    When it closes the connection during a grant of keys that are moving to it
    Then these keys are not granted to it again with the same token
    And a new token is requested for them

  Scenario: An upstream that never accepted a new token keeps keys that were moving to it
    Given keys were moving to an upstream when its leader and it were cut off
    When another node becomes the leader while the previous leader renews its grants
    Then the keys of that upstream have another owner only after its last grant has expired
