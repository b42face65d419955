Feature: What is held for callers and what is dropped first
  Guards against crowds of callers that fill the memory of an instance, and
  against a bound that turns away ordinary callers in their place.

  Scenario Outline: <count> bodies of <size> bytes that stall, and ordinary ones
    Given an account of 12000000 bytes
    When <count> callers send <size> bytes each in pieces of 50000 and stall
    And 2 seconds later 20 callers send 200000 bytes each and go on
    Then at most 12000000 bytes were held at a time
    And no ordinary caller was dropped
    And nothing is counted after all have left

    Examples:
      | count | size    |
      | 150   | 999999  |
      | 400   | 999999  |
      | 400   | 921600  |

  Scenario: Small requests among large bodies that wait for a model
    Given an account of 12000000 bytes
    When 400 callers send 1000000 bytes each and wait
    And 0 seconds later 100 callers send 300 bytes each and go on
    Then at most 12000000 bytes were held at a time
    And no ordinary caller was dropped

  Scenario: A request that a target may run is dropped last
    Given an account of 2500000 bytes
    When 1 callers send 1200000 bytes each and a target may run them
    And 3 callers send 1000000 bytes each and wait
    Then only callers that wait were dropped

  Scenario Outline: A body without progress for <seconds> seconds is <state>
    Given an account of 12000000 bytes
    When 1 callers send <size> bytes each in pieces of 50000 and stall
    Then after <seconds> seconds it is <state>

    Examples:
      | size  | seconds | state   |
      | 50000 | 29      | held    |
      | 50000 | 30      | dropped |
      | 0     | 30      | dropped |

  Scenario Outline: The connection that is closed for a new one is <closed>
    Given connections that are <connections>
    Then the one that is closed for a new one is <closed>

    Examples:
      | connections                                     | closed        |
      | idle 9 s, silent 3 s, silent 5 s, in use 20 s   | silent 5 s    |
      | idle 3 s, idle 9 s, stalled 20 s, in use 20 s   | idle 9 s      |
      | stalled 2 s, stalled 4 s, in use 20 s           | stalled 4 s   |
      | in use 20 s, stalled 0 s                        | none          |

  Scenario Outline: The bounds of a machine with <memory> MB and <descriptors> descriptors
    Then <memory> MB and <descriptors> descriptors allow <held> bytes and <connections> connections

    Examples:
      | memory | descriptors | held      | connections |
      | 200    | 1024        | 30000000  | 480         |
      | 552    | 20000       | 135600000 | 4138        |
      | 120    | 200         | 12582912  | 68          |
      | 1      | 1           | 12582912  | 16          |

  # The callers are on loopback sockets.
  Scenario: A whole body is served and the stalled one that holds the most is refused
    Given a server that holds 130000 bytes for its callers
    When a body of 90000 bytes stalls and one of 60000 bytes comes whole
    Then the whole one is answered
    And the stalled one is refused as not run or its connection is closed
    And nothing is held once both have left

  Scenario: One-byte chunks are joined as they arrive
    Given a body of 200000 chunks of one byte
    Then reading it takes at most 1000000 bytes at a time

  Scenario: An answer reaches a caller that reads slowly, beside callers that do not read
    Given a server that holds 6000000 bytes for its callers
    When 1 caller reads an answer of 4000000 bytes slowly beside 8 that do not read
    Then the slow caller gets the whole answer
    And nothing is held once both have left
