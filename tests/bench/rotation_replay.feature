Feature: Simulation of the model scheduler under a workload
  Guards against a change of the model scheduler that serves fewer requests in
  time when a burst of requests for rare models coincides with a shift of demand
  between busy models.

  Scenario Outline: Models loaded before the first request increase the value: <workload>
    Given the workload "<workload>" replayed with 10 seeds
    When it is replayed without lead time before the first request
    Then a larger share of the value was earned with the lead time

    Examples:
      | workload              |
      | 6 engines of 3 places |

  Scenario Outline: No kind of request is starved: <workload>
    Given the workload "<workload>" replayed with 3 seeds
    Then the served share of every kind is at least a quarter of the mean share

    Examples:
      | workload              |
      | 6 engines of 3 places |
      | 9 engines of 2 places |

  Scenario: Models that lie on no engine at first are served
    Given the workload "56 engines of 2 places" replayed with 3 seeds
    Then at most 1 and a tenth of the lasting models and adapters are never served

  Scenario: No engine is ordered to exceed its memory
    Given the workload "6 engines of 3 places" replayed with 3 seeds
    Then no engine held more than 3 models

  Scenario: Requests whose model is loaded too late are rejected at once
    Given the workload "30 engines of 3 places" replayed with 3 seeds
    Then fewer than 50 of 564 rejections come after more than 1 second

  Scenario: Requests that wait for the turn of a load are served by it
    Given the workload "30 engines of 3 places" replayed with 3 seeds
    Then at most 3 requests wait for a load that then does not begin in its turn
