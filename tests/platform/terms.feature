Feature: Terms of leaders that follow one another
  Guards against holders that take turns: an engine gets orders of one instance, of
  another and of the first again, all within the length of one lease.

  Scenario Outline: <count> instances do not take turns in giving orders within one lease
    Given <count> gateways with a lease of 3000 ms, and requests for more models than fit into the engines
    When each leader is cut off after its first order, for 16 seconds in all, seed <seed>
    Then no engine got orders of X, of Y and of X within one lease
    And other gateways followed at least 2 times

    Examples:
      | count | seed |
      | 2     | 1    |
      | 3     | 2    |

  Scenario Outline: Leaders that are <turn> do not take turns within one lease
    Given 2 gateways with a lease of 3000 ms, and requests for more models than fit into the engines
    When each leader is <turn> after its first order, for 10 seconds in all, seed <seed>
    Then no engine got orders of X, of Y and of X within one lease
    And other gateways followed at least 1 times

    Examples:
      | turn                   | seed |
      | stopped                | 3    |
      | killed                 | 4    |
      | cut off and restarted  | 5    |
      | cut off from the store | 6    |

  Scenario: The log tells which term was before, and why and with which open orders one has ended
    Given 2 gateways with a lease of 3000 ms, and requests for more models than fit into the engines
    When the leader is cut off until the other one leads, and that one is told to stop
    Then the first leads again, and each term names the lease that it replaced
    And the first term has ended by hand_over and the second one by stop
