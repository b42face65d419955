Feature: Time that callers state
  Guards against loads from the weight store for callers that have left: a caller
  that has come back already counts as a new one that will.

  Scenario Outline: A caller that states <seconds> of 20 seconds: <case>
    Given a caller of the route states 20 seconds at 0 seconds
    When a caller of the route states <seconds> seconds at <at> seconds
    Then it <has> come back

    Examples:
      | case                          | seconds | at  | has     |
      | new, a little less            | 16      | 1   | has not |
      | has waited elsewhere          | 13.4    | 1   | has     |
      | the longer time still counts  | 13.4    | 70  | has     |
      | the longer time is forgotten  | 13.4    | 200 | has not |

  Scenario: Callers of another route state other times
    Given a caller of another route states 20 seconds at 0 seconds
    When a caller of the route states 4 seconds at 1 seconds
    Then it has not come back
