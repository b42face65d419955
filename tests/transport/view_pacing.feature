Feature: Views that a leader sends to its members
  Guards against a new leader whose small link is occupied by views of all
  engines for all members: for seconds it reached neither engines nor the store,
  so that it did not renew its lease.

  Scenario Outline: <members> members at a link of <link> Mbit a second
    Given a leader with a link of <link> Mbit a second whose first views take 12 KB each
    When <members> members report every 0.4 seconds, and engines change every 0.05 seconds, for <seconds> seconds
    Then all members have a view
    And in no 0.5 seconds views took more than half of the link

    Examples:
      | members | link | seconds |
      | 6       | 1000 | 0.1     |
      | 66      | 10   | 2.5     |
      | 195     | 100  | 1.5     |

  Scenario: Every member is told as often as the others
    Given a leader with a link of 10 Mbit a second whose first views take 12 KB each
    When 66 members that acknowledge nothing report every 0.4 seconds, for 10 seconds
    Then no member was told twice more often than another

  Scenario: An unanswered report gets its view once
    Given a leader with a link of 10 Mbit a second whose first views take 12 KB each
    When 3 members report once, and the leader plans 10 times
    Then each of them was told once

  Scenario: All members learn that the leader has stopped
    Given a leader with a link of 10 Mbit a second whose first views take 12 KB each
    When 66 members report once, and the leader stops
    Then each of them was told once
