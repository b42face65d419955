Feature: Retries
  Guards against a second run of a request that may not be repeated (P10), an
  error that says "not run" although the request may have run (P9), and a
  retry storm when most targets fail (P3).

  Scenario Outline: Execution status after a failed attempt: <failure>
    Then <sent> sent bytes with the target's refusal <refused> mean "<ran>"

    Examples:
      | failure                      | sent | refused | ran          |
      | connection refused           | 0    | no      | not run      |
      | reset after the first byte   | 1    | no      | may have run |
      | timeout after the body       | 900  | no      | may have run |
      | target refused after reading | 900  | yes     | not run      |

  Scenario Outline: A later "<later>" after an earlier "<earlier>"
    Then the earlier "<earlier>" and the later "<later>" mean "<ran>"

    Examples:
      | earlier      | later        | ran          |
      | not run      | not run      | not run      |
      | may have run | not run      | may have run |
      | not run      | may have run | may have run |

  Scenario Outline: A retry is decided: <reason>
    Given a retry budget of <tokens> tokens
    When a <kind> request failed as "<ran>" with <sent> sent bytes after <attempts> attempts and <left> seconds left
    Then the retry decision is <retry> because of "<reason>"
    And <tokens_left> retry tokens are left

    Examples:
      | kind       | ran          | sent | attempts | left | tokens | retry | tokens_left | reason                            |
      | repeatable | may have run | 900  | 1        | 10   | 5      | yes   | 4           | retry                             |
      | single     | not run      | 0    | 1        | 10   | 5      | yes   | 4           | retry                             |
      | single     | may have run | 900  | 1        | 10   | 5      | no    | 5           | sent and not repeatable           |
      | single     | not run      | 1    | 1        | 10   | 5      | no    | 5           | sent and not repeatable           |
      | single     | may have run | 0    | 1        | 10   | 5      | no    | 5           | may have run and not repeatable   |
      | repeatable | not run      | 0    | 3        | 10   | 5      | no    | 5           | attempts used up                  |
      | repeatable | not run      | 0    | 1        | 0    | 5      | no    | 5           | deadline reached                  |
      | repeatable | not run      | 0    | 1        | 10   | 0      | no    | 0           | retry budget empty                |

  Scenario: When every attempt fails, retries add about a tenth to the load
    Given a retry budget of 10 tokens
    When 10000 requests arrive in 10 seconds and all fail
    Then at most 1030 of them are retried

  Scenario Outline: The backoff after <failures> failures stays below <longest> seconds
    Then 500 delays after <failures> failures lie between 0 and <longest> seconds with jitter

    Examples:
      | failures | longest |
      | 0        | 0.1     |
      | 3        | 0.8     |
      | 9        | 5       |
      | 100000   | 5       |

  Scenario Outline: Retries of <count> instances stay within the limit
    Given <count> instances that may retry 1 in 5 requests and 188 in 10 seconds
    When each of 200 requests a second fails and is retried while allowed
    Then no window of 10 seconds has more retries than allowed

    Examples:
      | count |
      | 6     |
      | 74    |
