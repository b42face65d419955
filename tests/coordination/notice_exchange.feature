Feature: Exchange of poison notices in a region
  Guards against a notice that some instance never gets, so that it goes on to
  send requests that crash targets, and against notices that are sent again and
  again before they can have been acknowledged (P14).

  Scenario Outline: Every instance gets every notice: <fault>
    Given a leader with 3 members that exchange notices
    When m1 counts 3 crashes of which <fault>
    Then all members have the same 3 notices within <seconds> seconds

    Examples:
      | fault                                        | seconds |
      | no message is lost                           | 0.1     |
      | the first message to the leader is lost      | 1       |
      | the first message to m2 is lost              | 1       |
      | the acknowledgement of m2 is lost            | 1       |
      | m2 restarts after them                       | 1       |
      | another leader takes over before it had them | 1       |

  Scenario: A notice is not sent again before it can have been acknowledged
    Given a leader with 3 members that exchange notices
    When m1 counts 3 crashes while nothing reaches m2 for 0.9 seconds
    Then m2 was sent each notice at most 2 times

  Scenario: Many notices are sent in parts
    Given a leader with 3 members that exchange notices
    When m1 counts 1000 crashes of which no message is lost
    Then all members have the same 1000 notices within 1 seconds
    And no message had more than 200 notices

  Scenario: A log keeps a limited number of notices
    Given a log to which 20050 notices were added
    Then it keeps 20000 notices
    And a side that has received 10 of them gets the oldest kept ones

  Scenario: Messages of another term or process are ignored
    Given a leader with 3 members that exchange notices
    When a message of an older term and one for an older process reach m2
    Then m2 has no notice
