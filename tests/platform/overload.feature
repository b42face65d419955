Feature: More callers than places, with real gateway processes
  Guards against gateways that do not keep requests from full engines, or that
  do not learn of the end of a request.

  Scenario: A burst of streams for the only engine of a model
    Given two gateways on the platform
    When 30 callers ask g1 for a stream of m1 of 0.4 seconds at once
    Then every response is 200 with 5 events in order
    And no engine ran more than 11 requests
    And the lines and metrics of g1 show that 8 requests or more had a turn
