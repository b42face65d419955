Feature: What an instance knows of targets
  Guards against memory that grows with every target that comes and goes,
  against counts that are lost while a request still runs, and against a
  request that is sent again and again to a target that takes no connections.

  Scenario: What is known of a target that is gone is forgotten
    Given requests were served by targets t1 to t100
    When only target t1 is left
    Then 1 target is remembered

  Scenario: A request that still runs at a target that is gone is counted
    Given a request runs at target t1
    When no target is left
    Then target t1 runs 1 request
    When the request has ended and no target is left
    Then 0 target is remembered

  Scenario: A target that takes no connections is left alone for a while
    Given a connection to t1 has failed
    Then t1 is chosen for no request
    And t1 is reported as silent for 0.3 seconds after that time
    When 0.7 seconds have passed
    Then t1 is chosen for a request
    And t1 is reported as silent for 0.7 seconds after that time

  Scenario: A target that answers again is not reported any more
    Given a connection to t1 has failed
    When t1 has answered
    Then t1 is not reported
