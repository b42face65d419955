Feature: Unloading idle replicas and preloading
  Guards against idle replicas that occupy accelerators, and against cold
  starts that the usage history could have avoided.

  Scenario Outline: A replica with gaps of <gaps> seconds that has been idle for <idle>
    Given a deployment that loads in 20 seconds and is idle after 300
    And it was used with gaps of <gaps> seconds
    And the policy weighs cold starts <cold> and idle time <idle weight>
    Then after <idle> idle seconds it is <fate>

    Examples:
      | gaps            | cold | idle weight | idle | fate     |
      | none            | 1    | 1           | 299  | kept     |
      | none            | 1    | 1           | 301  | unloaded |
      | 20 20 20 20     | 1    | 1           | 20   | kept     |
      | 100 100 100 100 | 100  | 1           | 60   | kept     |
      | 100 100 100 100 | 100  | 1           | 400  | unloaded |
      | 2000 2000 2000  | 1    | 1           | 40   | unloaded |
      | 2000 2000 2000  | 500  | 1           | 1000 | kept     |
      | 2000 2000 2000  | 1000 | 0           | 3001 | unloaded |

  Scenario Outline: A deployment used at this hour in <weeks> of the last weeks
    Given a deployment that loads in 20 seconds and is idle after 300
    And the policy weighs cold starts <cold> and idle time 1
    And it was used on <weeks> Fridays in a row at 15:20
    Then on the next Friday at 14:59 it is <friday>
    And on the next Thursday at 14:59 it is not preloaded

    Examples:
      | weeks | cold | friday        |
      | 0     | 1000 | not preloaded |
      | 4     | 1000 | preloaded     |
      | 4     | 1    | not preloaded |

  Scenario: The usage history survives a change of leader
    Given a deployment that loads in 20 seconds and is idle after 300
    And the policy weighs cold starts 1000 and idle time 1
    And it was used on 4 Fridays in a row at 15:20
    When the usage history is stored and read by another leader
    Then on the next Friday at 14:59 it is preloaded

  Scenario: The idle rule costs less than a fixed idle time
    Then over random uses the idle rule costs less than a fixed idle time
