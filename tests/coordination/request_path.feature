Feature: Request path of one instance
  Random interleavings of callers, targets that fail at each step, views,
  notices, grants and withdrawn keys, checked after every event. Guards
  against requests that are dropped or answered twice (P3), run without a
  valid key (P4, P6), refused as "not run" although they may have run (P9),
  retried although they must not be (P10), sent to a leaving target (P11) or
  sent again although they are poison (P14).

  Scenario Outline: Invariants hold in random interleavings, from seed <seed>
    When <count> random runs of the request path start from seed <seed>
    Then every request of each run got exactly one correct answer
    And requests were served, refused, retried and quarantined

    Examples:
      | seed | count |
      | 1    | 150   |
      | 2    | 150   |

  # Requests: chat or order (may not be repeated), running on e1 or s1 first.
  Scenario Outline: <case>
    Given a request path with the targets "<targets>"
    When a <kind> request runs and its attempt fails: "<failure>"
    Then the request is <outcome>

    Examples:
      | case                                             | targets | kind  | failure        | outcome                               |
      | a repeatable request goes to another target      | 2       | chat  | sent           | dispatched to another target          |
      | an unsent order goes to another target           | 2       | order | refused        | dispatched to another target          |
      | a sent order does not go to another target       | 2       | order | sent           | refused target_failed "may have run"  |
      | a refused order does not go to another target    | 2       | order | sent, refused  | refused target_unreachable "not run"  |
      | without another target it is refused at once     | 1       | order | refused        | refused target_unreachable "not run"  |
      | the same for a repeatable request                | 1       | chat  | sent           | refused target_failed "may have run"  |

  Scenario: A request that can use no free target does not block others
    Given a request path with the targets "2"
    When a chat request runs and its attempt fails: "sent" while the other target is full
    Then the next chat request is dispatched to the target that failed
    And the first is dispatched there when the other target has crashed

  Scenario: A suspect that waits for another suspect does not block others
    Given a request path with the targets "1"
    When two requests become suspects and arrive before a third
    Then the first and the third request are dispatched
    And the second is dispatched after the first has finished

  Scenario Outline: A leaving target stays leaving: <case>
    Given a request path with the targets "1"
    When target e1 announces that it leaves and a view reports it live with boot id "<boot>"
    Then a chat request is <outcome>

    Examples:
      | case                 | boot | outcome    |
      | an old view          | b1   | queued     |
      | a view without boot  |      | queued     |
      | it has restarted     | b2   | dispatched |

  Scenario: A leaving target that crashes stays leaving
    Given a request path with the targets "1"
    When target e1 announces that it leaves and crashes while it runs a request
    And a view reports e1 as live
    Then a chat request is queued

  Scenario: A target that failed is used again
    Given a request path with the targets "2"
    When an order fails on a service and 6 seconds pass
    Then both services get orders again

  Scenario: A request waits for a cold start when its only engine is down
    Given a request path with the targets "1"
    When a chat request finds its engine unreachable
    Then it is dispatched when a view reports the engine as live again
