Feature: Requests that are passed to another instance
  Guards against a request that runs although its caller has left, for example
  when the other instance was frozen, and against an answer that reaches another
  caller after a restart (P8, P9).

  Scenario Outline: A request whose cancellation arrives <when> does not run on
    Given an instance that serves passed requests in 0.2 seconds
    When a request and its cancellation arrive <when>
    Then it has served 0 requests

    Examples:
      | when               |
      | at the same time   |
      | 0.05 seconds apart |

  Scenario: A request that is not cancelled is answered
    Given an instance that serves passed requests in 0.2 seconds
    When a request arrives
    Then it has served 1 requests

  Scenario: The only other instance is asked again after an offer without an answer
    Given an instance that reaches no target, and one other instance
    When the first of 2 offers gets no answer
    Then the second request is passed on

  # An earlier build passes such an answer of its target on.
  Scenario Outline: An answer of another instance with the status <status>
    Given an instance that reaches no target, and another one that answers with the status <status>
    When a request is passed on
    Then the caller of the passed request gets <outcome>

    Examples:
      | status | outcome       |
      | 0      | target_failed |
      | 99     | target_failed |
      | 101    | target_failed |
      | 600    | target_failed |
      | 999    | target_failed |
      | -200   | target_failed |
      | 200    | 200           |
      | 599    | 599           |

  Scenario: A restarted instance does not use the numbers of its last process
    Then two processes of an instance begin with different numbers
