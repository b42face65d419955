Feature: Pace of targets that start, recover or are full
  Guards against a target that is flooded by all instances when it has just started
  or recovered, and against one that is left idle although it answers in time.

  Scenario: A target that answers in time gets all its slots within seconds
    Given a target with 32 slots that has just started
    Then it should run 4 requests
    When each round of 1.5 s brings 20 answers, of which 0 are late
    Then it should run all requests within 5 rounds

  Scenario Outline: A recovering target keeps its places: <case>
    Given a target with 32 slots that has just started
    When a round brings <in time> answers in time, <late> late, <refused> refused and <broken> broken
    Then it should run 4 requests

    Examples:
      | case                     | in time | late | refused | broken |
      | it answers nothing       | 0       | 0    | 0       | 0      |
      | a third of it late       | 4       | 2    | 0       | 0      |
      | it turns requests away   | 4       | 0    | 1       | 0      |
      | its connections fail     | 0       | 0    | 0       | 2      |

  Scenario: A full target gets fewer requests, and more again
    Given a target with 32 slots that is well
    When a round brings 9 answers in time, 0 late, 2 refused and 0 broken
    Then it should run 25.6 requests
    When each round of 1.5 s brings 20 answers, of which 0 are late
    Then it should run all requests within 4 rounds

  Scenario Outline: Single events do not make a target recover: <case>
    Given a target with 32 slots that is well
    When a round brings <in time> answers in time, <late> late, 0 refused and <broken> broken
    Then it should run all requests

    Examples:
      | case                         | in time | late | broken |
      | one connection among answers | 5       | 0    | 1      |
      | one connection, no answer    | 0       | 0    | 1      |
      | all answers late             | 0       | 9    | 0      |

  Scenario Outline: A target that comes back beside <instances> instances with more requests than it can run
    Given <instances> instances that know of a target with 32 slots, which runs a request in 0.4 s
    When the target comes back, and all wait to send to it, while <case>
    Then it never runs more than <most> requests in its first 0.5 s
    And it runs 24 requests or more after 4 s

    Examples:
      | instances | case               | most |
      | 6         | the leader answers | 16   |
      | 62        | the leader answers | 32   |
      | 62        | no leader answers  | 32   |

  Scenario: An instance that avoids a target learns that it answers others
    Given an instance that avoids a target after a failure
    When the leader says that the target recovers and has just answered
    Then the instance does not avoid the target

  Scenario: A refusal of an engine with free slots does not count
    Given an instance and an engine with 32 slots that runs 3 requests
    When the engine turns a request of it away
    Then the instance reports nothing of the engine

  Scenario: Counters of a process that started again only begin to count
    Given a leader that knows a target with 32 slots
    When an instance reports 50 answers, 0 refused and then, from a new process, 3 answers, 40 refused
    Then the leader names no pace
