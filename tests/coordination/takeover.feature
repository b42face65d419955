Feature: Verification of targets by a new leader
  Guards against a new leader that assigns memory or a replica on a target where
  an order of its predecessor may still take effect (P1, P2, P14).

  Scenario Outline: A target that checks fencing: <case>
    Given a leader with fencing token 5 that took over at 100 from a degraded one
    When these events reach it: <events>
    Then the target is <state>

    Examples:
      | case                        | events                                                                     | state      |
      | no contact                  | none                                                                       | unverified |
      | reported before the fence   | report 101                                                                 | unverified |
      | fenced without a report     | fence 101                                                                  | unverified |
      | old report after the fence  | fence 101, report 102 age 3                                                | unverified |
      | fenced and reported         | fence 101, report 102                                                      | verified   |
      | report shows no fence       | fence 101, report 102 lower                                                | unverified |
      | refuses the connection      | refused 101                                                                | verified   |
      | returned after a refusal    | refused 101, report 103                                                    | unverified |
      | restarted unnoticed         | fence 101, report 102, report 103 lower boot2                              | unverified |
      | fenced after the restart    | fence 101, report 102, report 103 lower boot2, fence 104, report 105 boot2 | verified   |
      | silent for a short time     | fence 101, report 102, silent 104                                          | verified   |
      | silent for a long time      | fence 101, report 102, silent 110                                          | unverified |
      | silent, predecessor stopped | fence 101, report 102, stopped 103, silent 110                             | verified   |

  Scenario Outline: A target that ignores fencing: <case>
    Given a leader with fencing token 5 that took over at 100 from a degraded one
    And its target ignores fencing
    When these events reach it: <events>
    Then the target is <state>

    Examples:
      | case                       | events                      | state      |
      | reported before the claim  | report 101                  | unverified |
      | claimed without a report   | claim 101                   | unverified |
      | old report after the claim | claim 101, report 102 age 3 | unverified |
      | claimed and reported       | claim 101, report 102 lower | verified   |
