Feature: Reachability of the targets of a service
  Guards against an instance that does not notice that it has lost its paths to
  all targets, and one that takes single faulty targets for such a loss.

  Scenario Outline: Targets are checked <when>
    Given a service with targets t1 to t5
    And <fact>
    Then <count> targets are checked

    Examples:
      | when                                 | fact                                    | count |
      | not while requests are answered      | nothing has failed                      | 0     |
      | when one can't be connected          | t1 could not be connected               | 3     |
      | when one breaks off                  | a request to t1 has failed              | 3     |
      | not for long after a failure         | a request to t1 has failed 10 s ago     | 0     |
      | when one is silent during a request  | t1 has been silent for 0.6 s            | 3     |
      | not for a short silence              | t1 has been silent for 0.4 s            | 0     |
      | while none is reached                | no target answered the last checks      | 3     |

  Scenario Outline: The service is <state> after checks: <why>
    Given a service with targets t1 to t5
    And t1 could not be connected
    When 3 targets are checked, of which <reached> answer, <other>
    Then the service is <state>

    Examples:
      | state   | why                             | reached | other                       |
      | lost    | no answer from any target       | 0       | and nothing else is heard   |
      | reached | one of them answers             | 1       | and nothing else is heard   |
      | reached | streams of other targets go on  | 0       | while t5 sends a stream     |

  Scenario: A busy target that does not answer its check still gets requests
    Given a service with targets t1 to t5
    And a request to t1 has failed
    When 3 targets are checked, of which 1 answer, and nothing else is heard
    Then no target counts as unreachable

  Scenario: A lost service is reached again with the first answer
    Given a service with targets t1 to t5
    And no target answered the last checks
    When 3 targets are checked, of which 1 answer, and nothing else is heard
    Then the service is reached
