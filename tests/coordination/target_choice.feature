Feature: Memory of targets
  Guards against memory that grows with every target that comes and goes, and
  against counts that are lost while a request still runs.

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
