Feature: Load and health of targets at an instance
  Guards against state that grows with each target that is added and removed,
  against counts that are lost while a request still runs, and against repeated
  attempts to send a request to a target that refuses connections.

  Scenario: The state of a removed target is dropped
    Given requests were served by targets t1 to t100
    When only target t1 is left
    Then 1 target is remembered

  Scenario: A request that still runs on a removed target is counted
    Given a request runs at target t1
    When no target is left
    Then target t1 runs 1 request
    When the request has ended and no target is left
    Then 0 target is remembered

  Scenario: An unreachable target is avoided for a while
    Given a connection to t1 has failed
    Then t1 is not selected
    And t1 is reported as silent for 0.3 seconds after that time
    When 0.7 seconds have passed
    Then t1 is selected
    And t1 is reported as silent for 0.7 seconds after that time

  Scenario: A target that responds again is no longer reported
    Given a connection to t1 has failed
    When t1 has responded
    Then t1 is not reported

  Scenario Outline: A target with a limit that runs nothing, beside one that runs <running>
    Given target t1 runs nothing and has named a limit
    And target t2 runs <running> requests
    Then <chosen> is chosen

    Examples:
      | running | chosen |
      | 1       | t2     |
      | 20      | t2     |
      | 40      | t1     |

  Scenario: A target that has not named its limit for a while gets requests again
    Given target t1 runs nothing and has named a limit
    And target t2 runs 20 requests
    Then t1 is chosen after 11 seconds
