Feature: Deadlines while the event loop of this instance is late
  Guards against an instance that takes its own delay for the silence of others:
  a leader with little processor time gave up its lease because it read the
  answers of engines too late, and orders were sent to them again.

  Scenario Outline: A wait of <seconds> s for an answer while the loop <state>
    Given an event loop that <state>
    When it waits <seconds> seconds for an answer that takes <rounds> rounds of the loop
    Then the answer arrives: <arrives>

    Examples:
      | state                         | seconds | rounds | arrives |
      | has nothing else to do        | 0.25    | 3      | yes     |
      | is held up for 0.15 s a round | 0.25    | 3      | yes     |

  # At most six times as long, and some rounds until the wait has ended.
  Scenario Outline: No answer comes while the loop <state>
    Given an event loop that <state>
    When it waits <seconds> seconds for an answer that never comes
    Then it gives up after <least> to <most> seconds

    Examples:
      | state                         | seconds | least | most |
      | has nothing else to do        | 0.25    | 0.2   | 0.6  |
      | is held up for 0.15 s a round | 0.25    | 0.3   | 2.1  |

  Scenario: A connection is opened although the loop is late
    Given an event loop that is held up for 0.15 s a round
    When it connects to a target that answers at once
    Then the target's answer arrives

  Scenario: Lateness is counted and logged at most once a second
    Given an event loop that is held up for 0.15 s a round
    When it waits 0.4 seconds for an answer that never comes
    Then it has counted lateness of 0.2 seconds or more
    And the log names the lateness at most once a second
