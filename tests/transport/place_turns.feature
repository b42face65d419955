Feature: Turns of requests that wait for a place
  Guards against requests that are delayed although a place is free, that stay
  in the queue although one has become free, or that are lost there.

  Background:
    Given engines e1 and e2 with 4 slots and m0, and an instance of 10

  Scenario: A request under calm load
    Guards against a loop turn of delay while no target is full.
    When a request for m0 looks for a target without an event loop
    Then it has a target

  Scenario: A request under calm load while another waits for a load
    Guards against a queue that delays requests of other models.
    Given 1 requests wait for m1
    When a request for m0 looks for a target without an event loop
    Then it has a target

  Scenario Outline: Both engines are full and <event>
    Guards against a place that stays empty while a request waits.
    Given all places are taken
    And 2 requests wait for m0
    When this happens: <event>
    Then <count> request has its turn within <seconds> seconds

    Examples:
      | event                               | count | seconds |
      | a request ends on e1                | 1     | 0.01    |
      | a view counts one less on e2        | 1     | 0.01    |
      | a view says that e2 is gone         | 0     | 0.3     |
      | a new engine holds m0               | 2     | 0.01    |
      | the leader is silent for 3 seconds  | 2     | 0.3     |

  Scenario: The caller of a request that has its turn leaves
    Guards against a place that is reserved for ever.
    Given all places are taken
    And 2 requests wait for m0
    When this happens: the caller that gets the place of e1 leaves at once
    Then 1 request has its turn within 0.01 seconds
    And no place is reserved

  Scenario: The instance stops
    Guards against requests that wait until the process ends.
    Given all places are taken
    And 2 requests wait for m0
    When this happens: the instance stops
    Then both are rejected within 0.05 seconds: shutting_down

  Scenario: All targets of a plain service go away
    Guards against requests that wait for a target that does not exist.
    Given a plain service whose only target is full
    And 2 requests wait for it
    When this happens: its target goes away
    Then both are rejected within 0.3 seconds: no_target

  Scenario Outline: Requests run for <run> seconds and a caller waits for 2 seconds
    Guards against a request that is held although its turn comes too late.
    Given all places are taken
    And requests run for <run> seconds
    When a request for m0 looks for a target for 0.1 seconds
    Then it <result>

    Examples:
      | run | result                                                |
      | 1   | waits                                                 |
      | 90  | is rejected at once, to come back in 10 to 13 seconds |

  Scenario: A new request beside one that waits for the same place
    Guards against new requests that take a place before those that wait.
    Given all places are taken
    And 1 requests wait for m0
    When this happens: a place is free unseen and a less urgent request looks
    Then 1 request has its turn within 0.01 seconds
    And the less urgent request waits

  Scenario: Targets that fail look free
    Guards against a failing target that attracts all requests of a full one.
    Given all places of e1 are taken and e2 has just failed
    When a request for m0 looks for a target for 0.1 seconds
    Then it waits
    When the failure of e2 is over
    Then it has a target of e2

  Scenario: Processor time of waiting requests
    Guards against an instance with half a core that is busy with its queue.
    Given 45 full engines and 100 requests that wait for 30 models
    When 1 second passes in which 20 views arrive
    Then the whole queue was looked at 40 times at most
