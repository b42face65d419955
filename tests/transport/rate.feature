Feature: Rate and burst over eight instances, with real processes
  Tests P7 with the real program. Guards against instances that each grant the
  whole limit, and against a new leader that grants spent credit again.

  Scenario Outline: An organisation above its rate is limited to rate and burst while <fault>
    Given a fleet with four instances in each zone and a low limit for acme
    When every instance receives requests of acme for 8 seconds while <fault>
    Then the engines ran at most the burst plus the rate times the duration
    And every refusal says not run and when to retry
    And all requests of another organisation were answered

    Examples:
      | fault                          |
      | nothing fails                  |
      | the leader of zone-a is killed |
