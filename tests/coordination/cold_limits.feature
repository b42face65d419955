Feature: Limits of cold targets
  Guards against a target that has just started, or whose zone is taken back, and
  that crashes because all instances send to it at once; and against one that is
  left idle while it is cold.

  Scenario Outline: Many instances want a cold target: <case>
    Given <instances> instances that send <demand> requests a second to a target that is cold for <cold> s at 19 a second
    When they go on for <seconds> s, while <case>
    Then in no second the cold target gets more than 33 requests
    And it gets at least 9 requests a second

    Examples:
      | instances | demand | cold | seconds | case                              |
      | 62        | 160    | 10   | 10      | the leader divides the limit      |
      | 62        | 160    | 10   | 10      | no leader answers                 |
      | 62        | 160    | 10   | 10      | 22 instances are cut off          |
      | 62        | 600    | 10   | 10      | 40 instances are cut off          |
      | 62        | 160    | 10   | 10      | 22 instances are cut off at 4 s   |
      | 62        | 160    | 10   | 10      | nothing is sent for 6 s, then all |
      | 6         | 60     | 10   | 10      | the leader divides the limit      |

  Scenario: A target that is no longer cold has no limit
    Given 6 instances that send 60 requests a second to a target that is cold for 3 s at 19 a second
    When they go on for 8 s, while the leader divides the limit
    Then no instance knows a cold target
    And the last 4 s have at least 50 requests a second

  Scenario Outline: What makes a target cold: <case>
    Given an instance and a target that takes <rate> requests a second while it is cold
    When it learns that the target is cold for <first> s, and after 1 s for <second> s
    Then 2 s after the first news the target has <limit>

    Examples:
      | case                         | rate | first | second | limit    |
      | the later end holds          | 19   | 1.5   | 3      | a limit  |
      | a shorter time ends no limit | 19   | 3     | 0.5    | a limit  |
      | the time has passed          | 19   | 1.5   | 0      | no limit |
      | cold targets have no limit   | 0    | 3     | 3      | no limit |

  Scenario: The limit that a target names holds beside that of a cold target
    Given an instance and a target that takes 19 requests a second while it is cold
    When it learns that the target is cold for 3 s, and after 1 s for 0 s
    And an answer names a limit of 2 requests a second
    Then the limit of the target is 2 requests a second
