Feature: Origins of streams that are kept in the store
  Guards against streams that nobody takes up after all instances were killed
  (P8), and against a load on the store that grows with the streams or the
  instances.

  Background:
    Given instances a-1, a-2, b-1, b-2, c-1, c-2 of three zones
    And targets of the versions v1, v1, v2
    And all instances know each other

  Scenario Outline: All instances start again: streams of <name>
    Given <name> has begun streams at v1 and v2
    When the streams are recorded
    And all instances start again and read the lease
    And the instances learn of each other again
    Then b-2 finds the version that began each of them
    And a-1 finds the version that began each of them

    Examples:
      | name |
      | a-1  |
      | c-2  |

  Scenario: All instances start again, and none leads yet
    Given c-1 has begun streams at v1 and v2
    When the streams are recorded
    And all instances start again and read the lease
    And no instance leads
    Then b-2 finds the version that began each of them

  Scenario: Streams that began before a second version came are recorded
    Given targets of the versions v1, v1, v1
    And 121 seconds have passed
    And c-1 has begun streams at v1
    When the targets run the versions v1, v1, v2
    And the streams are recorded
    And all instances start again and read the lease
    Then b-2 finds the version that began each of them

  Scenario: The only version is not recorded
    Given targets of the versions v1, v1, v1
    And 121 seconds have passed
    And the targets have been read again
    And c-1 has begun streams at v1
    When the streams are recorded
    Then the store was written 0 times
    And the store was listed 0 times

  Scenario: A stream that goes to another version before its first event
    Given c-1 has begun streams at v1
    When the streams are recorded
    And c-1 begins streams at v2
    And the streams are recorded
    And all instances start again and read the lease
    Then b-2 finds the version that began each of them

  # The members tell the next leader themselves.
  Scenario: A former leader does not send on what members have told it
    Given c-2 has begun streams at v1
    When c-2 sends its streams
    And no instance leads
    And c-2 passes them to b-2, which begins them at v2
    And b-1 begins to lead
    And b-2 sends its streams
    And the streams are recorded
    And all instances start again and read the lease
    And the instances learn of each other again
    Then a-2 finds the version that began each of them

  Scenario: Streams that were passed on without a leader
    Given c-1 has begun streams at v2
    When the streams are recorded
    And no instance leads
    And c-2 begins streams at v1
    And c-2 passes them to b-1, which begins them at v2
    And a-1 begins to lead
    And the streams are recorded
    And all instances start again and read the lease
    And the instances learn of each other again
    Then b-2 finds the version that began each of them

  Scenario: An instance that passed streams on without a leader leads later
    Given c-1 has begun streams at v2
    When the streams are recorded
    And no instance leads
    And c-2 begins streams at v1
    And c-2 passes them to b-1, which begins them at v2
    And a-1 begins to lead
    And b-1 sends its streams
    And a-1 writes the streams
    And b-1 dies
    And c-2 begins to lead
    And the streams are recorded
    And all instances start again and read the lease
    And the instances learn of each other again
    Then b-2 finds the version that began each of them

  Scenario: Streams that began without a leader
    Given c-1 has begun streams at v1
    When the streams are recorded
    And no instance leads
    And c-1 begins streams at v2
    And the streams are recorded
    And b-1 begins to lead
    And the streams are recorded
    And all instances start again and read the lease
    Then b-2 finds the version that began each of them

  Scenario: Streams that were sent to a leader that has died
    Given c-1 has begun streams at v1 and v2
    When the store does not answer
    And the streams are recorded
    And a-1 dies
    And b-1 begins to lead
    And the store answers again
    And the streams are recorded
    And all instances start again and read the lease
    Then b-2 finds the version that began each of them

  Scenario Outline: A write that fails: <fault>
    Given b-1 has begun streams at v1
    When the streams are recorded
    And c-1 begins streams at v1 and v2
    And the next write of the store has the fault "<fault>"
    And the streams are recorded
    And the streams are recorded again
    And all instances start again and read the lease
    Then b-2 finds the version that began each of them

    Examples:
      | fault  |
      | before |
      | after  |

  Scenario: The store comes back from a copy that lacks the streams
    Given b-1 has begun streams at v1
    When the streams are recorded
    And a copy of the recorded streams is made
    And c-1 begins streams at v1 and v2
    And the streams are recorded
    And the store of the streams comes back from the copy
    And 1 streams are added at once and recorded
    And the streams are recorded again
    And all instances start again and read the lease
    Then b-2 finds the version that began each of them

  Scenario: Another instance has led and written meanwhile
    Given b-2 has begun streams at v1
    When the streams are recorded
    And b-1 leads and writes 5 times while a-1 is frozen
    And c-1 begins streams at v1 and v2
    And the streams are recorded again
    And all instances start again and read the lease
    Then b-2 finds the version that began each of them

  Scenario Outline: Objects that cannot be read: <content>
    Given an odd object <content> among the recorded streams
    And c-1 has begun streams at v1 and v2
    When the streams are recorded
    And the streams are recorded again
    And all instances start again and read the lease
    Then b-2 finds the version that began each of them

    Examples:
      | content         |
      | without fields  |
      | of another form |

  Scenario: The store does not answer
    Given c-1 has begun streams at v1 and v2
    When the streams are recorded
    And all instances start again and read the lease
    And the store does not answer
    Then b-2 finds no version

  Scenario: Many streams in one write
    Given c-1 has begun streams at v1 and v2
    When the streams are recorded
    Then the store was listed 1 times
    And the store was written 1 times

  Scenario: Objects are written in turn
    When 600 writes of one stream each follow
    Then the store was written 600 times
    And the store was listed 1 times
    And the store holds 256 objects of streams
    And no object of streams is replaced while its streams may be taken up

  Scenario: A write is smaller than the largest value
    When 20000 streams are added at once and recorded
    Then the store was written 1 times
    And each object is smaller than the largest value of the store

  Scenario Outline: Messages to the leader are few: <count> instances
    Given a region of <count> instances
    Then its members together send the leader at most <messages> messages a second

    Examples:
      | count | messages |
      | 6     | 60       |
      | 74    | 200      |
      | 195   | 200      |
      | 350   | 200      |

  Scenario Outline: Reads of unknown streams are few: <count> instances
    Given a region of <count> instances
    When b-1 looks for 40 unknown streams at once
    Then the store was listed 1 times
    When <less> seconds pass
    And b-1 looks for 40 unknown streams at once
    Then the store was listed 1 times
    When 2 seconds pass
    And b-1 looks for 40 unknown streams at once
    Then the store was listed 2 times

    Examples:
      | count | less |
      | 6     | 0    |
      | 195   | 2    |
