Feature: Placement of deployments on targets
  Guards against loads that cannot succeed, against evicting replicas in use
  (P3), and against refusals with a wrong retry delay.

  Background:
    Given a request at 100 for a deployment of 40 megabytes that loads in 10 seconds

  Scenario Outline: <case>
    Given a target e1 with <free> free megabytes
    And e1 holds old with 30 megabytes, last used at <last used>, which is <state>
    When the deployment is placed with a deadline at <deadline>
    Then the decision is <decision> because of "<reason>"

    Examples:
      | case                   | free | last used | state     | deadline | decision        | reason      |
      | free memory            | 50   | 10        | evictable | 200      | e1              | free memory |
      | evicts an idle replica | 10   | 10        | evictable | 200      | e1 evicting old | evicts idle |
      | keeps one in use       | 10   | 99        | evictable | 200      | refused         | no memory   |
      | keeps one in demand    | 10   | 10        | pinned    | 200      | refused         | no memory   |
      | too large              | 5    | 10        | evictable | 200      | refused         | no memory   |
      | ends after a deadline  | 50   | 10        | evictable | 105      | e1 too late     | free memory |

  Scenario Outline: The best of two targets: <case>
    Given a target e1 with <first> free megabytes
    And a target e2 with <second> free megabytes
    And e1 holds old with 30 megabytes, last used at 10, which is evictable
    When the deployment is placed with a deadline at 200
    Then the decision is <decision> because of "free memory"

    Examples:
      | case                           | first | second | decision |
      | free memory before an eviction | 20    | 70     | e2       |
      | the tighter fit                | 70    | 50     | e2       |

  Scenario Outline: An adapter whose base model is <base>
    Given a target e1 with 90 free megabytes
    And a target e2 with 90 free megabytes
    And the deployment is an adapter on a base of <memory> megabytes
    And the base is <base> on e2
    And <left> replicas of the base may still be loaded
    When the deployment is placed with a deadline at 200
    Then the decision is <decision> because of "<reason>"

    Examples:
      | base   | memory | left | decision         | reason      |
      | loaded | 30     | 0    | e2               | free memory |
      | absent | 30     | 1    | e1 with the base | free memory |
      | absent | 30     | 0    | refused          | no memory   |
      | absent | 60     | 1    | refused          | no memory   |

  Scenario: A base model is evicted together with its adapters
    Given a target e1 with 0 free megabytes
    And e1 holds base with 30 megabytes, last used at 10, which is evictable
    And e1 holds adapter with 12 megabytes, last used at 10, which is evictable
    And adapter depends on base
    When the deployment is placed with a deadline at 200
    Then the decision is e1 evicting adapter,base because of "evicts idle"

  Scenario Outline: No load is possible: <reason>
    Given a target e1 with 90 free megabytes
    And <obstacle>
    When the deployment is placed with a deadline at 200
    Then the decision is refused because of "<reason>"
    And the retry delay is between 1 and 120 seconds

    Examples:
      | obstacle                        | reason                 |
      | the allowance is exhausted      | allowance used         |
      | e1 accepts no orders            | no target takes orders |
      | the deployment has another pool | no target in pool      |

  Scenario: The retry delay lasts until a replica may be evicted
    Given a target e1 with 10 free megabytes
    And e1 holds old with 30 megabytes, last used at 99, which is evictable
    When the deployment is placed with a deadline at 200
    Then the retry delay is between 1.9 and 2.1 seconds
