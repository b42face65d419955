Feature: State of engines and instances at the leader of a region
  Guards against memory that is allocated twice (P2): an engine may write its
  registry entry during a load, with the models that it held before.

  Scenario: A registry entry that was written during a load does not revert it
    Given an engine that held a and has loaded b
    When its registry entry arrives, written during that load
    Then the leader still records a and b

  Scenario: A new leader knows how many loads the weight store serves
    Given a leader that has learned that the weight store serves 2 loads at once
    When the next leader begins its term with what the last view said
    Then it starts at most 2 loads from the weight store

  Scenario: A new leader learns from surveys what lies on the disks of engines
    Given a leader that knows an engine from its predecessor, without its disk
    When it surveys the engine, which has b on disk
    And the list of targets is applied once more
    Then b lies on an engine

  Scenario: A restarted engine is surveyed again
    Given an engine that held a and has loaded b
    When its registry entry arrives, written after a restart
    Then the leader records no model and surveys it

  Scenario: The demand of a silent instance is ignored
    Given an instance with a request that waits for a
    When it has been silent for 3 seconds
    Then no request waits
    And it still counts when limits are divided

  Scenario: An older report of the same process is ignored
    Given an instance with a request that waits for a
    When an older report of it arrives without waiting requests
    Then a request still waits for a

  # Counters of a process that has been replaced, or of a build that states none,
  # say nothing of the time between two reports.
  Scenario Outline: Late requests are counted between two reports: <case>
    Given a member that reports <first> late requests of a
    When <process> reports <second> late requests of a
    Then the leader counts <counted> of them

    Examples:
      | case                               | first | process          | second | counted |
      | more than before                   | 5     | the same process | 8      | 3       |
      | the first ones                     | 0     | the same process | 2      | 2       |
      | counters that begin anew           | 5     | a new process    | 8      | 0       |
      | a member that learns of the leader | none  | the same process | 8      | 0       |
      | an earlier build                   | 5     | the same process | none   | 0       |

  Scenario Outline: The leader probes an engine that does not answer: <who>
    Given an engine that held a and has loaded b
    And <who> had no answer from it for 0.8 seconds
    Then the leader probes it: <probes>

    Examples:
      | who                  | probes |
      | the only instance    | yes    |
      | one of two instances | no     |
      | no instance          | no     |

  Scenario: A configuration is not sent with each view
    Given a leader with generation 2 and an instance that reports generation 1
    When it sends a view every 0.05 seconds for 0.4 seconds
    Then the instance has been sent 1 copy of the configuration
    When it sends a view every 0.05 seconds for 0.2 seconds
    Then the instance has been sent 2 copies of the configuration
    When the leader has generation 3
    And it sends a view every 0.05 seconds for 0.1 seconds
    Then the instance has been sent 3 copies of the configuration
    When the instance reports generation 3
    And it sends a view every 0.05 seconds for 2 seconds
    Then the instance has been sent 3 copies of the configuration

  Scenario Outline: A term that ends early leaves the lease to <others> at once
    Given a leader with generation 2 and an instance that reports generation 2
    When its term ends beside <others>
    Then others leave the lease alone for <seconds> seconds

    Examples:
      | others                       | seconds |
      | instances that rest          | 0       |
      | one that does not rest       | 3       |

  Scenario: Requests that need different software versions are counted apart
    Given two instances with requests for a, at v1 and at any version
    Then 2 groups wait, one of them at v1

  Scenario: Members learn the other instances once, and again after a restart
    Given a leader with members i1 and i2
    Then a member without a list gets i1 and i2
    And a member with this list gets none
    When i2 starts again
    Then a member with the old list gets i1 and i2
    When i2 reports that it is leaving
    Then a member with the old list gets i1

  Scenario Outline: <what> in a region of <members> members
    Given a leader of <members> members that has told all of them of an engine that holds a
    When <what>
    Then it tells all members at once: <told>
    And a member that reports is told

    Examples:
      | what                         | members | told |
      | the engine runs 9 requests   | 8       | yes  |
      | the engine runs 9 requests   | 195     | no   |
      | the engine holds b           | 195     | yes  |
      | the engine has gone          | 195     | yes  |
