Feature: Copies of the configuration that a leader sends to its members
  Guards against a leader whose link is occupied by copies for all instances:
  for seconds it reached neither engines nor the store, took itself for cut off
  and gave up its lease on a quiet day.

  Scenario Outline: <members> members of level <level> lack a configuration of 42 KB
    Given a leader with a link of <link> Mbit a second and <members> members of level <level>
    And a configuration of 42 KB
    When it sends copies every 0.05 seconds for <seconds> seconds
    Then all members have a copy
    And in no 0.5 seconds copies took more than half of the link

    Examples:
      | members | level | link | seconds |
      | 6       | 3     | 1000 | 0.1     |
      | 24      | 3     | 5    | 2       |
      | 195     | 3     | 20   | 4       |
      | 24      | 2     | 20   | 1.5     |

  Scenario Outline: A member of level <level> gets the configuration
    Given a leader with a link of 1000 Mbit a second and 1 members of level <level>
    And a configuration of 42 KB
    When it sends copies every 0.05 seconds for 0.05 seconds
    Then the member reads the configuration of the leader
    And it is compressed: <compressed>

    Examples:
      | level | compressed |
      | 0     | no         |
      | 2     | no         |
      | 3     | yes        |

  Scenario Outline: A compressed copy that is <state>
    When a member gets a compressed copy that is <state>
    Then it refuses the message

    Examples:
      | state               |
      | truncated           |
      | of other bytes      |
      | empty               |
      | larger than 1 MB    |
