Feature: Estimated number of running requests of a target
  Guards against selecting targets by an outdated report, and against counting
  requests that have ended.

  Scenario Outline: A report is adjusted by requests sent and ended after it
    Given a target with 8 slots
    When these requests and reports are recorded: <events>
    Then the estimate is <running> running requests

    Examples:
      | events                                                 | running |
      | 3 sent                                                 | 3       |
      | 3 sent, 2 ended                                        | 1       |
      | 3 sent, 5 in a report made before                      | 8       |
      | 3 sent, 5 in a report made after                       | 5       |
      | 3 sent, 5 in a report made after, 3 ended              | 2       |
      | 3 sent, 5 in a report made before, 3 ended             | 5       |
      | 3 sent, 0 in a report made after                       | 3       |
      | 5 in a report made after, 2 in a report older than it  | 5       |
      | 300 sent, 300 ended                                    | 0       |
