Feature: When models that lie on no engine are due
  Guards against callers that are told to come back after the time of one load,
  while dozens of models wait for theirs before it, and against views that repeat
  each small change of these times to all instances.

  Scenario Outline: The weight store serves <slots> loads at once, and <ends> are running
    Given loads that end at <ends> seconds
    When a, b and c wait for loads of 6 seconds at 10 seconds
    Then with <slots> loads at once they are expected at <expected> seconds

    Examples:
      | ends       | slots | expected   |
      | no         | 1     | 16, 22, 28 |
      | no         | 2     | 16, 16, 22 |
      | 12         | 2     | 16, 18, 22 |
      | 12, 14     | 2     | 18, 20, 24 |
      | 11, 12, 14 | 2     | 18, 20, 24 |
      | 8, 14      | 2     | 16, 20, 22 |

  Scenario: A model that nobody has asked for delays no other
    Given loads that end at 12, 14 seconds
    When a, b and c wait for loads of 6 seconds at 10 seconds
    But no request waits for a or b
    Then with 2 loads at once they are expected at 18, 18, 18 seconds

  Scenario: A model that many requests wait for is due before one missing for longer
    Given a leader with models a to f, and an engine that holds a
    And requests for e, then for c
    And 9 requests for d
    When the leader has planned for 6 seconds
    Then d is due first, then e, then the others

  Scenario: Models are due in the order in which they have been asked for
    Given a leader with models a to f, and an engine that holds a
    And requests for e, then for c
    When the leader has planned for 6 seconds
    Then e is due first, then c, then the others

  Scenario: The next leader goes on with the order of the last one
    Given a leader with models a to f, and an engine that holds a
    And requests for e, then for c
    When the leader has planned for 6 seconds
    And a member that it has told of its loads leads
    And requests for b, c and e wait there at once
    Then the member loads e first

  Scenario: A model that the last leader did not know to be missing goes last
    Given a leader with models a to e, and an engine that holds a
    And requests for e, then for c
    When the leader has planned for 6 seconds
    And a member that it has told of its loads leads, with f as a new model
    And requests for f, c and e wait there at once
    Then the member loads e first

  Scenario Outline: A member of message level <level>
    Given a leader with models a to f, and an engine that holds a
    And requests for e, then for c
    When the leader has planned for 6 seconds
    Then a member of level <level> is told when <count> loads are due

    Examples:
      | level | count |
      | 0     | 0     |
      | 1     | 0     |
      | 2     | 5     |

  Scenario Outline: A load due in <due> seconds is expected <seconds> seconds later
    Given a leader has told that f is due in <due> seconds
    When f is expected <seconds> seconds later
    Then the leader tells <count> changes

    Examples:
      | due | seconds | count |
      | 8   | 2       | 0     |
      | 8   | 4       | 1     |
      | 80  | 20      | 0     |
      | 80  | 30      | 1     |

  Scenario: Small delays add up until they are told
    Given a leader has told that f is due in 8 seconds
    When f is expected 2 seconds later
    And f is expected 2 seconds later
    Then the leader tells 1 changes

  Scenario: A member forgets a load that is not due any more
    Given a leader has told that f is due in 20 seconds
    When a member applies it
    Then it expects f in 20 seconds
    When f is not due any more
    And the member applies it
    Then it expects f in 0 seconds
