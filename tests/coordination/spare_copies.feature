Feature: Second copies of busy models
  Guards against a busy model that lies on one engine alone: when that engine
  leaves, hundreds of requests wait for the weight store, which also loads the
  rare models.

  Scenario Outline: One engine of 30 leaves with the model that gets <rate> requests a second
    Given 30 engines in 3 zones, and the busy model on the first of them alone
    And <missing> models without a copy that requests wait for
    When the busy model gets <rate> requests a second for <seconds> seconds
    And its engine leaves
    Then it is without a copy for less than <without> seconds

    Examples:
      | rate | missing | seconds | without |
      | 14   | 0       | 25      | 1       |
      | 14   | 36      | 25      | 1       |

  Scenario: The second copy lies in another zone
    Given 30 engines in 3 zones, and the busy model on the first of them alone
    And 36 models without a copy that requests wait for
    When the busy model gets 14 requests a second for 25 seconds
    Then a copy of it lies in another zone

  Scenario: Second copies take turns with models without a copy
    Given 30 engines in 3 zones, and the busy model on the first of them alone
    And 36 models without a copy that requests wait for
    When 3 models on one engine each get 14 requests a second for 50 seconds
    Then of any 4 consecutive loads from the weight store at most 2 are second copies

  Scenario Outline: A model that gets <rate> requests a second on <copies> engines
    Given 30 engines in 3 zones, and the busy model on the first of them alone
    And <copies> engines with the busy model on disk
    And 36 models without a copy that requests wait for
    When the busy model gets <rate> requests a second for 25 seconds
    Then it gets no second copy

    Examples:
      | rate | copies |
      | 5    | 0      |
      | 14   | 1      |

  Scenario: Requests that one engine has no room for are no reason for a second copy
    Given 30 engines in 3 zones, and the busy model on the first of them alone
    And engines of 12 slots
    And 36 models without a copy that requests wait for
    When the busy model gets 40 requests a second for 25 seconds
    Then it gets no second copy
