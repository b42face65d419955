Feature: Scheduling of models on engines
  Guards against the faults that cost most under a load of many rare models: a
  load from the weight store that blocks an engine for seconds, an unload that
  waits for running requests, models loaded and dropped by turns, and memory
  that is promised twice (P1, P2, P3).

  Background:
    Given engines with room for two models and models a to f

  Scenario: Requests for one model are served by one load
    Given engine e1 holds a, b and has c on disk
    And 3 requests at different instances wait for c
    When the scheduler plans
    Then the orders are "e1 unload a"
    And nothing more is ordered while that is under way

  Scenario: The load follows once the room is free
    Given engine e1 holds a, b and has c on disk
    And 1 request waits for c
    When the scheduler plans
    And the orders have been carried out
    And the scheduler plans
    Then the orders are "e1 load c"

  Scenario Outline: The victim is <victim>, because <reason>
    Given engine e1 holds a, b and has c on disk
    And <fact>
    And 1 request waits for c
    When the scheduler plans
    Then the orders are "<orders>"

    Examples:
      | victim | reason                            | fact                      | orders      |
      | b      | a runs a request                  | e1 runs 1 request for a   | e1 unload b |
      | b      | a was asked for lately            | a is asked for often      | e1 unload b |
      | b      | a was loaded a moment ago         | a has just been loaded    | e1 unload b |
      | b      | somebody waits for a              | 1 request waits for a/x1  | e1 load a x1 |
      | none   | both were loaded a moment ago     | all have just been loaded |             |

  Scenario: Running requests are not interrupted and do not block other orders
    Given engine e1 holds a, b and has c on disk
    And e1 runs 1 request for a
    And e1 runs 1 request for b
    And 1 request waits for c
    When the scheduler plans
    Then the orders are ""
    And a is offered by 1 engine
    When the requests for a have ended
    And the scheduler plans
    Then the orders are "e1 unload a"

  Scenario: A request that began before its instance was told is waited for
    Given engine e1 holds a, b and has c on disk
    And e1 runs 1 request for b
    And 1 request waits for c
    When the scheduler plans before e1 is known to run 1 request for a
    Then the orders are ""
    When the requests for a have ended
    And the scheduler plans
    Then the orders are "e1 unload a"

  Scenario: Many waiting requests take the place of a model that runs one
    Given engine e1 holds a, b and has c on disk
    And e1 runs 1 request for a
    And e1 runs 1 request for b
    And 3 requests at different instances wait for c
    When the scheduler plans
    Then a is offered by 0 engine
    When the requests for a have ended
    And the scheduler plans
    Then the orders are "e1 unload a"

  Scenario: A replica that is not needed makes way once its requests have ended
    Given engine e1 holds a, b and has c on disk
    And requests have come for a while
    And engine e2 holds a, d and has f on disk
    And e1 runs 1 request for a
    And e2 runs 3 requests for a
    And e1 runs 1 request for b
    And 1 request waits for c
    When the scheduler plans
    And the scheduler plans
    Then the orders are ""
    And a is offered by 1 engine
    When the requests for a have ended
    And the scheduler plans
    Then the orders are "e1 unload a"

  Scenario: No load from the weight store while an engine has a copy
    Given engine e1 holds a, b and has c on disk
    And engine e2 holds d
    And e1 carries out an order
    And 1 request waits for c
    When the scheduler plans
    Then the orders are ""

  Scenario: A model that lies nowhere is loaded from the weight store
    Given engine e1 holds a
    And 1 request waits for f
    When the scheduler plans
    Then the orders are "e1 load f"

  Scenario: A model that lies nowhere is loaded while nothing is asked for
    Given engine e1 holds a, b and has c, d, e on disk
    When the engines are the same for 2 seconds
    Then the orders are "e1 unload a; e1 load f"

  Scenario Outline: It is not loaded ahead: <reason>
    Given engine e1 holds a, b and has c, d, e on disk
    And <fact>
    When the engines are the same for <seconds> seconds
    Then the orders are ""

    Examples:
      | reason                        | fact                | seconds |
      | requests come                 | a is asked for often | 2      |
      | more engines may yet register | e1 runs 0 request for a | 1   |

  Scenario: It is loaded where least waits for a load
    Given engine e1 holds a and has c, d on disk
    And engine e2 holds b
    And e1 carries out an order
    And 1 request waits for c
    And 1 request waits for d
    And 1 request waits for f
    When e1 has carried out its order
    And the scheduler plans
    Then f is to be loaded by e2

  Scenario: Loads from the weight store keep to their limit
    Given 9 empty engines
    And 1 request waits for each of a to f
    When the scheduler plans for 1 second
    Then 3 loads were ordered

  Scenario: A busy model whose engines are lost is loaded beside another load
    Given engine e1 holds a
    And engine e2 holds b
    And a is asked for often
    And 1 request waits for f
    When the scheduler plans
    And 6 requests at different instances wait for e
    And the scheduler plans
    Then the orders are "e2 load e"

  Scenario: A rare model waits while another one is loaded from the weight store
    Given engine e1 holds a
    And engine e2 holds b
    And a is asked for often
    And 1 request waits for f
    When the scheduler plans
    And 1 request waits for e
    And the scheduler plans
    Then the orders are ""

  Scenario: The group that misses its latency target first goes first
    Given engine e1 holds a, b and has c, d on disk
    And 1 request waits for c and misses its target in 1.5 seconds
    And 1 request waits for d and misses its target in 0.7 seconds
    When the scheduler plans
    And the orders have been carried out
    And the scheduler plans
    Then the orders are "e1 load d"

  Scenario: A late group does not go before one that can be in time
    Given engine e1 holds a, b and has c, d on disk
    And 1 request waits for c and has missed its target
    And 1 request waits for d and misses its target in 1.5 seconds
    When the scheduler plans
    And the orders have been carried out
    And the scheduler plans
    Then the orders are "e1 load d"

  Scenario: A model that many ask for goes first though its requests are late
    Given engine e1 holds a, b and has c, d on disk
    And c is asked for 8 times a second
    And 4 late requests wait for c
    And 1 request waits for d and misses its target in 1.5 seconds
    When the scheduler plans
    And the orders have been carried out
    And the scheduler plans
    Then the orders are "e1 load c"

  Scenario: A busy model gets a further replica
    Given engine e1 holds a, b and has c on disk
    And engine e2 holds d and has a on disk
    And e1 runs 24 requests for a
    When the scheduler plans
    Then the orders are "e2 load a"

  Scenario: A further replica of a crowded model goes before a single request
    Given engine e1 holds a, b and has c on disk
    And engine e2 holds d, e and has a, c on disk
    And e1 runs 40 requests for a
    And e1 carries out an order
    And 1 request waits for c
    When the scheduler plans
    And the orders have been carried out
    And the scheduler plans
    Then the orders are "e2 load a"

  Scenario: Replicas that the platform placed stay until demand is known
    Given engine e1 holds a, b and has c, d, e, f on disk
    And engine e2 holds a, d and has c on disk
    When the engines are the same for 2 seconds
    Then the orders are ""
    And a is offered by 2 engine

  Scenario: Models that lie nowhere are loaded a few at a time
    Given 9 empty engines
    And a weight store that admits 6 loads a second
    When the scheduler plans for 1 second before any request
    Then 0 loads were ordered
    When the scheduler plans for 1 second before any request
    Then 4 loads were ordered

  Scenario: Fewer loads run at the same time after slow ones
    Given 9 empty engines
    And 4 loads from the weight store at once took twice their time
    When the scheduler plans for 1 second before any request
    And the scheduler plans for 1 second before any request
    Then 2 loads were ordered

  Scenario: A replica stays while the other engine could not run its requests
    Given engine e1 holds a, b and has c on disk
    And engine e2 holds a, d and has c on disk
    And e1 runs 14 requests for a
    And e2 runs 10 requests for a
    When the scheduler plans
    Then a is offered by 2 engine

  Scenario: A replica that is not needed takes no new requests
    Given engine e1 holds a, b and has c on disk
    And requests have come for a while
    And engine e2 holds a, d and has c on disk
    And e1 runs 2 requests for a
    When the scheduler plans
    Then a is offered by 1 engine

  Scenario: A model that is wanted again before its unload is offered again
    Given engine e1 holds a, b and has c on disk
    And requests have come for a while
    And engine e2 holds a, d and has f on disk
    And e1 runs 1 request for a
    And e1 runs 1 request for b
    And 1 request waits for c
    When the scheduler plans
    Then a is offered by 1 engine
    When engine e2 is lost
    And 1 request waits for a
    And the scheduler plans
    Then a is offered by 1 engine

  Scenario: An engine that has not been surveyed gets no order
    Given engine e1 holds a, b and has c on disk
    And e1 has not been surveyed
    And 1 request waits for c
    When the scheduler plans
    Then the orders are ""

  Scenario: An adapter that was loaded a moment ago stays for its request
    Given engine e1 holds a with adapters x1 to x8
    And adapter x1 of a has just been loaded
    And 1 request waits for a/x9
    When the scheduler plans
    Then the orders are "e1 unload a x2"
