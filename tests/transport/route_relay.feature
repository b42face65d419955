Feature: Error response of a request that could not be served
  Guards against reporting "not run" for a request that an earlier send may
  have run, for example when no further target is available (P9).

  Scenario Outline: A request that fails with <kind> after <sends>
    Given a routed request after <sends>
    When serving it fails with <kind>
    Then its caller gets <status> and "<ran>"

    Examples:
      | kind                   | sends                       | status | ran          |
      | no_target              | no send                     | 503    | not run      |
      | no_target              | a send that may have run    | 502    | may have run |
      | cold_start_unavailable | a send that may have run    | 502    | may have run |
      | cold_start_unavailable | a send that was refused     | 503    | not run      |
      | configuration_stale    | a send without a response | 502   | may have run |
      | answer_timeout         | a send without a response | 504   | may have run |
