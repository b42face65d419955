Feature: Replicas of busy models
  Guards against a busy model on one or two engines beside idle engines, whose
  requests start late, and against further replicas that cost more than they
  improve: loads and unloads in turns, and rarely used models without a place.

  Background:
    Given 12 engines of 3 places and 16 slots in 3 zones, with busy0 on the first
    And busy0 and busy1 are on the disk of each engine

  Scenario Outline: A busy model is spread over engines; members report <reports>
    Given members that report <reports>
    When busy0 runs 44 requests for 20 seconds
    Then no engine runs more than <most> requests
    And each zone has a replica of busy0

    Examples:
      | reports       | most |
      | no outcomes   | 7    |
      | late requests | 6    |

  Scenario: Even engines without late requests stay as they are
    Given members that report no outcomes
    And busy0 has a replica on each of 9 engines
    When busy0 runs 60 requests for 20 seconds
    Then no further replica is wanted

  Scenario: A late model on engines as busy as the others gets no replica
    Given members that report late requests
    And all other engines run 12 requests
    When busy0 runs 12 requests for 20 seconds
    Then no further replica is wanted

  Scenario: A model that shares its engine with a busy one stays alone
    Given members that report no outcomes
    And e0 runs 3 requests for own0
    When busy0 runs 6 requests for 7 seconds
    Then own0 has 1 replica

  Scenario: Replicas follow the demand by zone
    Given members that report late requests
    And 80 of 100 requests arrive in z2, the others in z0
    And z0 has a second replica of busy0
    When busy0 runs 16 requests for 20 seconds
    Then all replicas of busy0 that were added lie in z2

  Scenario: Replicas are removed when the load has gone, in one direction only
    Given members that report late requests
    When busy0 runs 44 requests for 40 seconds
    Then busy0 was loaded once on each of its engines and never unloaded
    When busy0 runs 1 request for 20 seconds
    Then busy0 has at most 2 replicas
    And busy0 was not loaded meanwhile

  Scenario: A load that falls for 4 seconds leaves the replicas as they are
    Given members that report late requests
    When busy0 runs 44 requests for 20 seconds
    And busy0 runs 2 requests for 4 seconds
    Then busy0 has as many replicas as before

  Scenario: The load moves to another model and back within seconds
    Given members that report late requests
    When busy0 and busy1 run 44 requests in turns of 2 seconds for 40 seconds
    Then busy0 and busy1 were loaded at most once on each engine

  Scenario: A new leader keeps the replicas that the load calls for
    Given members that report no outcomes
    When busy0 runs 44 requests for 20 seconds
    And a new leader plans while busy0 runs 44 requests for 10 seconds
    Then busy0 was not unloaded meanwhile
    And no engine runs more than 9 requests

  Scenario: Replicas on an engine that leaves are replaced
    Given members that report late requests
    When busy0 runs 44 requests for 20 seconds
    And 3 engines with busy0 leave
    And busy0 runs 44 requests for 10 seconds
    Then no engine runs more than 9 requests

  Scenario Outline: The only replica of a model that is requested stays: <load>
    Given members that report late requests
    And no engine has free memory
    And all other models are requested every <seconds> seconds
    When busy0 runs 0 requests for 5 seconds
    And busy0 runs <count> requests for 20 seconds
    Then each of those models has a replica

    Examples:
      | load                                 | count | seconds |
      | below the threshold for each replica | 8     | 3       |
      | above the threshold for each replica | 44    | 1       |

  Scenario Outline: The weight store is used <use>
    Given members that report <reports>
    And only e0 and e1 have a copy of busy0
    And requests wait for <missing> models that no engine has
    When busy0 runs 16 requests for 12 seconds
    Then the weight store was asked for busy0: <asked>

    Examples:
      | use                              | reports       | missing | asked |
      | for requests that stay late      | late requests | 0       | yes   |
      | after models without any replica | late requests | 20      | no    |
      | only if requests are late        | no outcomes   | 0       | no    |

  Scenario: A model without a replica gets the room of one that a busy model wants
    Given members that report no outcomes
    And busy0 has a replica on each of 9 engines
    When busy0 runs 40 requests for 8 seconds
    And requests wait for a model on the disk of an engine with busy0
    Then that engine has loaded the model within 7 seconds
