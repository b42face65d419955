Feature: Which model the weight store loads next
  Guards against requests that wait for a load and lose its turn to another model,
  so that they are rejected late, against rejections of requests that a load under
  way would have served, and against loads that nobody waits for when they end.

  Background:
    Given a weight store that loads one model at a time in 6 seconds

  Scenario: A load that a plan has begun is told with its end, not with a later turn
    When requests wait for e
    And the leader plans
    Then e is being loaded
    And the members are told that e is loaded in 6 seconds

  Scenario: A model that is asked for again does not take a turn that requests wait for
    Given a request for d long ago, whose caller has left
    And the weight store is busy with e
    When a request waits for c, for which it is told to wait
    And a request waits for d
    And the load of e ends
    Then c is being loaded

  Scenario: A busy model takes the turn all the same
    Given a request for d long ago, whose caller has left
    And the weight store is busy with e
    When a request waits for c, for which it is told to wait
    And 9 requests wait for d
    And the load of e ends
    Then d is being loaded

  Scenario: The turn of a model whose callers leave goes to the next one
    Given a request for d long ago, whose caller has left
    And the weight store is busy with e
    When a request waits for c, for which it is told to wait
    And a request waits for d
    And the callers of c leave
    And the load of e ends
    Then d is being loaded

  Scenario: Requests keep the turn when the loading engine is lost
    Given a request for d long ago, whose caller has left
    And the weight store is busy with e
    When a request waits for c, for which it is told to wait
    And a request waits for d
    And the engine that loads e is lost, and another one comes
    Then c is being loaded once the store has ended the lost load

  Scenario Outline: A model that has been served <when> goes after one that has not
    Given an instance reports that a request for d was sent <when>
    And a request for d long ago, whose caller has left
    And the weight store is busy with e
    When requests wait for c and d, for too short a time to be told to wait
    And the load of e ends
    Then c is being loaded

    Examples:
      | when                    |
      | before this leader      |
      | since this leader leads |

  Scenario Outline: A load that ends after the callers have left: <case>
    When <callers> for 1 second more
    And the leader plans
    Then <result>

    Examples:
      | case                     | callers                            | result             |
      | one caller               | a request that came back waits for c | no load has begun  |
      | several callers          | 2 that came back wait for c          | c is being loaded  |
      | the caller comes back    | another waits for c after the first  | c is being loaded  |

  Scenario: A model whose callers will have left goes last
    When 2 that came back wait for c, and one that can wait longer for d
    And the leader plans
    Then d is being loaded

  Scenario Outline: The next leader knows the absent models at once: <case>
    Given the last leader has told that c is due in 9 seconds
    And <engine>
    When the leader plans
    Then the members <told>

    Examples:
      | case                      | engine                             | told                              |
      | all engines are surveyed  | an engine with nothing             | are told that c has no load       |
      | an engine may have a copy | an engine that is not surveyed yet | are told nothing of c             |
      | an engine is back with it | an engine with c on its disk       | are told nothing of c             |
      | it may be loading         | an engine with an unknown order    | are told nothing of c             |
      | another model is loading  | an engine that loads d for 4 s     | are told that c has no load, and when d is loaded |
      | and it may be loading too | an engine that loads d for 4 s, and one with an unknown order | are told nothing of c, but when d is loaded |
