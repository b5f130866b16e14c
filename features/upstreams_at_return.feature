Feature: Upstreams that leave, have left or join around the return of the store from a copy

  # Guards against new requests to an upstream that had announced that it leaves, or had left, because
  # the copy shows it as ready, and against the loss of one that registered after the copy was taken.
  Scenario Outline: What a node knew before the return counts until the upstream writes its entry again
    Given a node that has read the entries of u1 and u2 from the store
    When these entries are written and read: <events>
    Then <reader> finds u1 <state>

    Examples: the reader before the return, and that of a new leader
      | events                                                                  | reader     | state   |
      | copy, return, read                                                      | the reader | serving |
      | copy, return, read                                                      | a new term | serving |
      | copy, u1 leaving, read, return, read                                    | the reader | leaving |
      | copy, u1 leaving, read, return                                          | a new term | leaving |
      | copy, u1 leaving, read, return, read                                    | a new term | leaving |
      | copy, u1 leaving, read, return, read, u1 leaving, read                  | a new term | leaving |
      | copy, u1 leaving, read, return, read, u1 ready, read                    | a new term | serving |
      | copy, u1 leaving, read, u1 gone, read, return, read                     | the reader | gone    |
      | copy, u1 leaving, read, u1 gone, read, return                           | a new term | gone    |
      | copy, u1 leaving, read, u1 gone, read, return, read                     | a new term | gone    |
      | copy, u1 gone, read, return, read, u1 ready, read                       | the reader | serving |
      | copy, u1 gone, read, return, u1 ready, read, u1 ready                   | a new term | serving |
      | copy, u1 starts anew, read, return, read                                | the reader | serving |
      | copy, return, u1 starts anew, read                                      | the reader | serving |
      | copy, u1 starts anew, read, return, read, u1 starts anew, read          | a new term | serving |
      | u1 gone, read, copy, u1 ready, read, return, read                       | the reader | serving |
      | u1 gone, read, copy, u1 ready, read, return                             | a new term | serving |
      | u1 gone, read, copy, u1 ready, read, return, read                       | a new term | serving |
      | u1 gone, read, copy, u1 ready, read, return, read, 3 s, read            | the reader | gone    |
      | u1 gone, read, copy, u1 ready, read, return, read, 3 s                  | a new term | gone    |
      | u1 gone, read, copy, u1 ready, read, return, read, u1 ready, 3 s, read  | the reader | serving |
      | copy, return, copy, u1 leaving, read, return, read                      | a new term | leaving |

    Examples: an entry that is written before the first list may be from the copy, until the next write
      | events                                                                  | reader     | state   |
      | copy, u1 gone, read, return, u1 ready, read                             | the reader | gone    |

    Examples: a node that starts after the return knows nothing else
      | events                                                                  | reader       | state   |
      | copy, u1 leaving, read, return                                          | a fresh node | serving |
