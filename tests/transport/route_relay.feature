Feature: What a request is told when it is given up on
  Guards against "not run" about a request that an earlier send may have run,
  for instance when no further target is free for it (P9).

  Scenario Outline: A request that is given up on with <kind> after <sends>
    Given a request of a route after <sends>
    When it is given up on with <kind>
    Then its caller is told <status> and "<ran>"

    Examples:
      | kind                   | sends                       | status | ran          |
      | no_target              | no send                     | 503    | not run      |
      | no_target              | a send that may have run    | 502    | may have run |
      | cold_start_unavailable | a send that may have run    | 502    | may have run |
      | cold_start_unavailable | a send that was refused     | 503    | not run      |
      | configuration_stale    | a send without an answer yet | 502   | may have run |
      | answer_timeout         | a send without an answer yet | 504   | may have run |
