Feature: Response bodies that never end
  Guards against a faulty target that sends bytes until its connection is
  closed: they filled the memory of the instance until the request timed out
  (P8, P9).

  Scenario Outline: <call> ends with "<result>" when the body <framing> never ends
    Given a target whose response body <framing> never ends
    When it gets <call>
    Then the result is "<result>"
    And the target has noticed that its connection was closed
    And the target could send at most <megabytes> MB

    Examples:
      | call                       | framing                        | result         | megabytes |
      | a survey                   | in chunks                      | no report      | 16        |
      | a survey                   | without a length               | no report      | 16        |
      | an order                   | in chunks                      | unknown        | 16        |
      | a health check             | in chunks                      | reached        | 16        |
      | a health check             | without a length               | reached        | 16        |
      | a report of the older path | in chunks                      | may have run   | 16        |
      | an order of the older path | in chunks                      | unknown        | 16        |
      | a repeatable request       | in chunks                      | target_failed  | 32        |
      | a repeatable request       | without a length               | target_failed  | 32        |
      | a repeatable request       | of a far too large length      | target_failed  | 32        |
      | a stream                   | with an endless first event    | target_failed  | 16        |
      | a stream                   | with an endless second event   | stream_broken  | 16        |

  Scenario Outline: What a failed request has read is freed at once: <path>
    Given a target whose response body in chunks never ends
    When an instance serves 4 requests for <path>
    Then it keeps at most 2 MB of their bytes

    Examples:
      | path      |
      | /stock/1  |
      | /report/1 |

  Scenario Outline: All unfinished answers have a bound together: <path>
    Given a target whose response body in chunks never ends
    When an instance that keeps at most 2 MB serves 8 requests for <path> at once
    Then it keeps more than 0 MB and at most 2 MB at a time

    Examples:
      | path      |
      | /stock/1  |
      | /report/1 |

  Scenario: Above the bound a stalled answer that is the largest is given up
    Given unfinished answers that may take 1000 bytes together
    And an answer that stalls after 800 bytes
    When answers of 100, 150, 160 bytes are read besides
    Then only the stalled answers are given up
    And no unfinished answer is counted any more

  Scenario: Above the bound answers without end are given up, others are not
    Given unfinished answers that may take 1000 bytes together
    And 10 answers without end
    When answers of 10, 50, 70 bytes are read besides
    Then only the endless answers are given up
    And no unfinished answer is counted any more

  Scenario: An engine that only sends parts of an event counts as silent
    Given a target whose response body with parts of an event never ends
    When it gets a stream
    Then the target has been silent for at least 0.4 seconds
