Feature: Configuration in the platform store
  Guards P13 against a change that is partly written, lost, reverted, or
  reported with the wrong outcome. Causes are concurrent operators, answers
  lost after the write took effect, stale reads, and the deletion of shards
  that are still in use.

  Scenario Outline: A change during a fault of the store
    Given a store with generation 1 in force
    When an operator applies a change and the store fails with <faults>
    Then the change ends with <outcome>
    And generation <generation> is in force and complete

    Examples:
      | faults                       | outcome                    | generation |
      | nothing                      | success                    | 2          |
      | a lost answer of a shard     | success                    | 2          |
      | a lost answer of the manifest | success                   | 2          |
      | a lost answer and stale reads | success                   | 2          |
      | an outage before the manifest | StoreUnavailableError     | 1          |
      | another operator's change    | ConfigurationConflictError | 2          |
      | a lost answer and then another operator's change | success | 3        |

  Scenario: Concurrent operators and readers under random faults
    Then 300 random runs of three operators and a reader are consistent

  Scenario: A shard that is no longer used is deleted one change later
    Given a store with generation 1 in force
    When 5 changes are applied one after the other
    Then only shards of the last 2 generations are stored
