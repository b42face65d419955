Feature: Waiting for a target
  Guards against a request that waits for seconds on an isolated instance, where
  no model will be loaded for it, while another instance could serve it.

  Scenario Outline: A request that waits on an instance that <state>
    Given the last view of the leader is <leader> seconds old
    And the last read of the store is <store> seconds old
    When a request waits there for a model
    Then it is rejected within 0.3 seconds: <rejected>

    Examples:
      | state                     | leader | store | rejected |
      | is isolated               | 2.5    | 2.5   | yes      |
      | has lost its leader       | 2.5    | 0.5   | no       |
      | receives views            | 0.1    | 2.5   | no       |

  Scenario Outline: The only target of a request has a limit of <rate> a second
    Given a target that has named a limit of <rate> requests a second
    When <count> requests look for it at the same time
    Then <served> get it and <rejected> are rejected at once

    Examples:
      | rate | count | served | rejected |
      | 0.1  | 1     | 0      | 1        |
      | 10   | 1     | 1      | 0        |
      | 10   | 4     | 4      | 0        |
      | 10   | 40    | 20     | 20       |

  Scenario Outline: The only target of a request wants no requests for <seconds> s
    Given a target that wants no requests for <seconds> seconds
    When 2 requests look for it at the same time
    Then <served> get it and <rejected> are rejected at once

    Examples:
      | seconds | served | rejected |
      | 0.5     | 2      | 0        |
      | 30      | 0      | 2        |

  Scenario Outline: The only engine of a model has a limit of 0.1 a second, <others>
    Given an engine that holds m0 and has named a limit of 0.1 requests a second
    And <others>
    When a request for m0<adapter> that can wait <patience> seconds looks for it
    Then it <waits>

    Examples:
      | others                            | adapter | patience | waits               |
      | no other engine                   |         | 1        | is rejected at once |
      | an engine without a limit         |         | 1        | waits               |
      | an engine without a limit         |         | 0.1      | is rejected at once |
      | an engine without a limit with m0 | /a1     | 0.5      | waits               |
      | another engine with a limit       |         | 1        | is rejected at once |

  Scenario Outline: A stream that <version> began looks for a target, <engines>
    Given <engines>
    When a request for m0 of a stream that <version> began looks for a target
    Then it <result>

    Examples:
      | engines                                | version | result                                            |
      | engines of v1 and v2 that hold m0      | v1      | gets the target of v1                             |
      | engines of v1 and v2 that hold m0      | v2      | gets the target of v2                             |
      | engines of v1 and v2 that hold m0      | v3      | is rejected: no target runs the version           |
      | engines of v1 without and v2 with m0   | v1      | waits until an engine of v1 has loaded the model  |
      | engines of v1 and v2, the former drains | v1     | is rejected: no target runs the version           |

  Scenario Outline: A request waits for a model that only a leaving engine holds: <case>
    Given an engine that holds m0 and begins to drain
    When a request that has waited <waited> seconds for m0 looks for it, <seconds> seconds after
    Then it <result>

    Examples:
      | case                             | waited | seconds | result               |
      | a load from a disk may come      | 0      | 0       | waits                |
      | no disk has brought it           | 1      | 0       | is sent to that engine |
      | the engine may end at any moment | 1      | 0.9     | waits                |

  Scenario: The route of a stream has moved to another service
    Given engines of v1 and v2 that hold m0
    When a request for m0 of a stream that another service began looks for a target
    Then it is rejected: no target runs the version

  Scenario Outline: A request for a model that lies on no engine: <case>
    Given an engine without m0, and a leader that says of m0: <absence>
    And its last view is <age> seconds old
    When a request for m0 that can wait <patience> seconds looks for it
    Then it <result>

    Examples:
      | case                       | absence             | age | patience | result                                    |
      | no load, which takes 0.2 s | no load             | 0   | 0.1      | is to come back in 0.2 s                  |
      | a load could end in time   | no load             | 0   | 4        | waits                                     |
      | with no time for its begin | no load             | 0   | 0.203    | is to come back in 0.2 s                  |
      | its load ends too late     | loaded in 4 seconds | 0   | 2        | is to come back in 4 s                    |
      | its load ends in time      | loaded in 4 seconds | 0   | 6        | waits                                     |
      | another model is absent    | nothing             | 0   | 0.1      | waits                                     |
      | the leader is silent       | no load             | 6   | 0.1      | waits                                     |

  Scenario Outline: A request for a model whose load has not begun: <case>
    Given an engine without m0, and a leader that says of m0: no load
    And the load of m0 is due in <due> seconds
    And its last view is <age> seconds old
    When a request for m0 that can wait 0.1 seconds looks for it
    Then it is to come back in <seconds> s

    Examples:
      | case                     | due | age | seconds |
      | in its turn              | 30  | 0   | 30      |
      | a load takes 0.2 s       | 0   | 0   | 0.2     |
      | the order may change     | 200 | 0   | 60      |

  Scenario Outline: A request that could wait for a load, but not for its turn: <case>
    Given an engine without m0, and a leader that says of m0: no load
    And the load of m0 is due in <due> seconds
    And its last view is <age> seconds old
    When a request for m0 that can wait 4 seconds looks for it
    Then it <result>

    Examples:
      | case                       | due | age | result                  |
      | its turn comes too late    | 30  | 0   | is to come back in 30 s |
      | its turn comes in time     | 3   | 0   | waits                   |
      | its turn is unknown        | 0   | 0   | waits                   |
      | the leader is silent       | 30  | 6   | waits                   |

  Scenario: The leader learns of requests for absent models until they come back
    Given an engine without m0, and a leader that says of m0: loaded in 4 seconds
    And its last view is 0 seconds old
    When a request for m0 that can wait 2 seconds looks for it
    Then it is to come back in 4 s
    And 1 request for m0 is reported after 3.5 seconds
    And 0 requests for m0 are reported after 4.5 seconds

  Scenario Outline: Of 20 seconds that callers state, a rejected one states <stated>
    Given an engine without m0, and a leader that says of m0: loaded in 4 seconds
    And its last view is 0 seconds old
    When a caller that states 20 seconds asks for m1
    And a caller that states <stated> asks for m0
    Then 1 request for m0 is reported, with callers for <more> more seconds

    Examples:
      | stated       | more |
      | 17.1 seconds | 4    |
      | 13.3 seconds | 0    |
      | no time      | 4    |

  Scenario: A request that waits is rejected once no load can end in time
    Given an engine without m0, and a leader that says of m0: no load
    And its last view is 0 seconds old
    When a request for m0 that can wait 0.4 seconds looks for it for 0.5 seconds
    Then it is to come back in 0.2 s
    And it has waited for less than 0.35 seconds
