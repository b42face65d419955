Feature: Target selection
  Guards against work for leaving or crashed targets (P11), a request that
  waits behind a full target while another is free (P3), and two poison
  suspects on one target (P14).

  # A target is written as NAME@ZONE RUNNING/SLOTS and attributes. This instance
  # is in zone a; the one-way network time to other zones is 1 ms unless the
  # query sets it.
  Scenario Outline: <case>
    Given the routing candidates "<candidates>"
    When 200 requests are routed with "<query>"
    Then only the targets "<chosen>" are chosen because of "<reason>"

    Examples: zones
      | case                                    | candidates                       | query        | chosen | reason                     |
      | own zone first                          | a1@a 0/8, b1@b 0/8               |              | a1     | own zone                   |
      | a small load does not change the zone   | a1@a 1/8, b1@b 0/8               |              | a1     | own zone                   |
      | other zone answers sooner               | a1@a 9/8, b1@b 0/8               |              | b1     | other zone answers sooner  |
      | a distant zone answers later            | a1@a 9/8, b1@b 0/8               | distance=0.5 | a1     | own zone                   |
      | loaded only elsewhere                   | b1@b 3/8, b2@b 0/8               |              | b2     | loaded only in other zones |
      | the only candidate is used at any load  | a1@a 99/8                        |              | a1     | only candidate             |

    Examples: state
      | case                                    | candidates                       | query        | chosen | reason                     |
      | a leaving target is not eligible        | a1@a 0/8 leaving, b1@b 9/8       |              | b1     | only candidate             |
      | a crashed target is not eligible        | a1@a 0/8 crashed, b1@b 9/8       |              | b1     | only candidate             |
      | an excluded target is not eligible      | a1@a 0/8, a2@a 9/8               | excluded=a1  | a2     | only candidate             |
      | own sends correct an old report         | a1@a 0/8 sent=9, a2@a 4/8        |              | a2     | own zone                   |
      | a failing target is the last choice     | a1@a 0/8 failures=1, a2@a 12/8   |              | a2     | own zone                   |
      | a suspect avoids a target with another  | a1@a 0/8, a2@a 9/8               | suspect=a1   | a2     | only candidate             |
      | no suspect is sent beside another       | a1@a 0/8                         | suspect=a1   | none   | none                       |
      | a target at the load limit gets nothing | a1@a 8/8, b1@b 7/8               | limit=1      | b1     | only candidate             |

    Examples: affinity
      | case                                    | candidates                       | query        | chosen | reason                     |
      | a cached prefix is preferred            | a1@a 0/8, a2@a 5/8 prefix        | prefix       | a2     | affinity                   |
      | a resident adapter is preferred         | a1@a 0/8, a2@a 5/8               | affine=a2    | a2     | affinity                   |
      | a loaded target gets no affinity        | a1@a 0/8, a2@a 7/8 prefix        | prefix       | a1     | own zone                   |

  Scenario: Instances with the same stale reports do not all choose one target
    Given the routing candidates "a1@a 0/8, a2@a 1/8, a3@a 2/8, a4@a 3/8"
    When 200 requests are routed with ""
    Then no target gets more than 120 of them
