Feature: Allowances of replicas by zone
  Guards against zones that together load more replicas than configured (P1)
  while allowances move between zones: zones apply a configuration at different
  times, and writes of the record are lost or succeed without a response.

  Scenario Outline: <replicas> replicas are split among the zones <zones>
    Then the split of <replicas> replicas of m1 among <zones> is complete, even and independent of order

    Examples:
      | replicas | zones   |
      | 0        | a,b,c   |
      | 1        | a,b,c   |
      | 5        | a,b,c   |
      | 7        | a       |

  Scenario Outline: Zone a revises the rows <rows> with the split <split> and <occupied> loaded
    Then zone a with <occupied> loaded revises "<rows>" for "<split>" to "<revised>"

    Examples:
      | occupied | rows    | split   | revised |
      | 0        | none    | a=1 b=1 | a=1 b=1 |
      | 1        | a=1     | b=1     | a=1     |
      | 0        | a=1     | b=1     | b=1     |
      | 0        | b=1     | a=1     | b=1     |
      | 2        | a=2 b=1 | a=1 b=2 | a=2 b=1 |
      | 1        | a=2 b=1 | a=1 b=2 | a=1 b=2 |
      | 0        | a=1 b=2 | a=2     | a=1 b=2 |
      | 0        | a=3     | a=1     | a=1     |

  Scenario: A zone with an older configuration changes nothing
    Given a record of m1 written under generation 2
    Then zone a under generation 1 leaves the record unchanged
    And zone a under generation 3 moves the allowance

  Scenario: A row lowered by a write without a response is not used again
    When the zones act: a revise, c change, a learn, a revise_unanswered
    And the zones act: b learn, b revise, c revise, c load, c load, b change, b change
    And the zones act: a learn, a load, a load
    Then the zones have loaded 2 replicas in total

  Scenario: Random moves of allowances between three zones
    Then the zones together never load more than the configured replicas
