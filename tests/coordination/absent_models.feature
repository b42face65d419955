Feature: Models that lie on no engine
  Guards against requests that wait until they time out for a model that no engine
  has and whose load from the weight store can't end in time (P3), and against
  the rejection of requests for a model that is only away for a few seconds.

  Background:
    Given a leader with models a and f, and an engine e1 that holds a

  Scenario Outline: What the leader tells of f: <case>
    Given an engine e2 is registered, <e2>
    When the leader plans for <seconds> seconds
    Then the leader tells of f: <absence>

    Examples:
      | case                             | e2                                  | seconds | absence |
      | it has long been away            | with nothing                        | 6       | no load |
      | it may come back                 | with nothing                        | 4       | nothing |
      | it lies on a disk                | with f on its disk                  | 6       | nothing |
      | an engine is not surveyed yet    | not surveyed, with f on its disk    | 6       | nothing |
      | an engine does not answer        | without an answer, with f           | 6       | nothing |
      | an earlier leader may load it    | with an order of an earlier leader  | 6       | nothing |

  Scenario: The leader tells when a load under way ends
    Given an engine e2 is registered, with nothing
    When the leader plans for 6 seconds
    And e2 begins to load f from the weight store, which takes 6 seconds
    Then the leader tells of f: loaded in 6 seconds
    When the leader plans for 4 seconds
    Then the leader tells of f: loaded in 2 seconds
    When the load has ended
    Then the leader tells of f: nothing

  Scenario: A load is told as soon as it has begun
    Given an engine e2 is registered, with nothing
    When the leader plans for 1 seconds
    And e2 begins to load f from the weight store, which takes 6 seconds
    Then the leader tells of f: loaded in 6 seconds

  Scenario: A member is told each change once
    Given an engine e2 is registered, with nothing
    And a member of this build
    When the leader plans for 6 seconds
    Then its view has 1 absence, and it knows that f has no load
    And its next view has 0 absences
    When f lies on a disk again
    Then its view has 1 absence, and it knows nothing of f
    And its next view has 0 absences

  Scenario: A member that follows another leader forgets what the last one told
    Given an engine e2 is registered, with nothing
    And a member of this build
    When the leader plans for 6 seconds
    Then its view has 1 absence, and it knows that f has no load
    When a leader without absences sends its first view
    Then it knows nothing of f

  Scenario Outline: A member of <build> build
    Given an engine e2 is registered, with nothing
    And a member of <build> build
    When the leader plans for 6 seconds
    Then its view has <count> absences

    Examples:
      | build      | count |
      | this       | 1     |
      | an earlier | 0     |

  Scenario Outline: The next leader waits for a load of the last one, <seconds> s
    Given an engine e2 is registered, with nothing
    And a member of this build
    When the leader plans for 6 seconds
    And e2 begins to load f from the weight store, which takes 6 seconds
    And the member leads, and a request waits for f for <seconds> seconds
    Then the load of f has been ordered <count> times by the member

    Examples:
      | seconds | count |
      | 5       | 0     |
      | 8       | 1     |

  Scenario: The leader after the next one learns of a load that goes on
    Given an engine e2 is registered, with an order of an earlier leader
    And the last leader has told that it loads f for 6 seconds
    When the leader plans for 2 seconds
    Then the leader tells of f: loaded in 4 seconds

  # Two engines loaded the same model after a loss of power of all instances.
  Scenario Outline: A load of f that only the lease names: <case>
    Given an engine e2 is registered, <e2>
    And the lease names a load of f that ends in 6 seconds
    When 5 requests wait for f for <seconds> seconds
    Then the load of f has been ordered <count> times

    Examples:
      | case                           | e2                                 | seconds | count |
      | an engine may carry it out     | with an order of an earlier leader | 6       | 0     |
      | an engine is not surveyed yet  | not surveyed                       | 6       | 0     |
      | it should have ended           | with an order of an earlier leader | 8       | 1     |
      | no engine carries out an order | with nothing                       | 1       | 1     |

  Scenario: Loads are told while an order of an earlier leader goes on
    Given an engine e2 is registered, with nothing
    When the leader plans for 6 seconds
    And e2 begins to load f from the weight store, which takes 6 seconds
    Given an engine e3 is registered, with an order of an earlier leader
    When the leader plans for 2 seconds
    Then the leader tells of f: loaded in 4 seconds

  Scenario: The log names all absent models, however many there are
    When 45 models become absent
    Then the log names 45 absent models in 3 lines, none twice
    When one of them has a copy again
    Then the log names it as present, and no other model
