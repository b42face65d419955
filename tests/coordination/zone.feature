Feature: Leading a zone through faults
  Guards against excess replicas (P1) and overcommitted memory (P2) when leaders
  fail, freeze or are active at the same time, when orders, answers and journal
  writes are lost and when targets restart; against one load per instance in a
  burst of first requests (P3); against new work on a leaving target (P11). The
  simulation runs the real leader tasks on a virtual clock and checks P1 and P2
  on the targets after every event.

  Background:
    Given a zone with these targets
      | target | memory | checks fencing |
      | e1     | 100    | yes            |
      | e2     | 100    | yes            |
    And these deployments
      | deployment | replicas | memory |
      | m1         | 1        | 60     |
      | m2         | 1        | 60     |
      | m3         | 1        | 60     |

  Scenario: A burst of first requests at all instances causes one load
    Given 6 instances that have chosen a leader
    When 40 requests wait for m1 at every instance for 5 seconds
    Then m1 is loaded on 1 target
    And m1 was loaded 1 time
    And no cold start was refused

  Scenario Outline: A leader fails while m1 loads: <fault>
    Given 2 instances that have chosen a leader
    When 1 request waits for m1 at every instance for <wait> seconds
    And <fault>
    And the clock of the zone advances by <later>
    Then m1 is loaded on 1 target
    And an instance leads

    Examples:
      | fault                                    | wait | later |
      | the leader is killed                     | 1    | 20    |
      | the leader freezes for 30 s              | 1    | 40    |
      | the leader freezes for 7 s               | 1    | 20    |
      | the leader loses the store               | 1    | 40    |
      | the leader loses the store and target e2 | 1    | 60    |
      | the leader loses target e1               | 1    | 20    |

  Scenario Outline: The leader's order to a target has the fault "<fault>"
    Given e1 checks fencing: <checks>
    And e2 checks fencing: <checks>
    And 2 instances that have chosen a leader
    And the next order to each target is <fault>
    When 1 request waits for m1 at every instance for 30 seconds
    Then m1 is loaded on 1 target

    Examples:
      | fault      | checks |
      | lost       | yes    |
      | unanswered | yes    |
      | late       | yes    |
      | lost       | no     |
      | unanswered | no     |
      | late       | no     |

  Scenario Outline: A leader fails with an order in flight to targets that ignore fencing: <fault>
    Given e1 checks fencing: no
    And e2 checks fencing: no
    And 2 instances that have chosen a leader
    And the next order to each target is late
    When 1 request waits for m1 at every instance for 1 second
    And <fault>
    And 1 request waits for m1 at every instance for 30 seconds
    Then m1 is loaded on 1 target

    Examples:
      | fault                       |
      | the leader is killed        |
      | the leader freezes for 30 s |
      | the leader loses the store  |

  Scenario Outline: A write of the journal is <fault>
    Given e1 checks fencing: no
    And e2 checks fencing: no
    And 2 instances that have chosen a leader
    And the leader's next 3 store calls are <fault>
    When 1 request waits for m1 at every instance for 20 seconds
    Then m1 is loaded on at most 1 target
    And every order of a load was in the journal before it was sent

    Examples:
      | fault      |
      | lost       |
      | unanswered |
      | late       |

  Scenario: A leader freezes between its intent and its order
    Given e1 checks fencing: no
    And e2 checks fencing: no
    And 2 instances that have chosen a leader
    And the leader freezes in its next call to the journal
    When 1 request waits for m1 at every instance for 40 seconds
    Then m1 is loaded on 1 target
    And m1 was loaded 1 time

  Scenario: A degraded leader sends no orders to targets that ignore fencing
    Given e1 checks fencing: no
    And e2 checks fencing: no
    And 2 instances that have chosen a leader
    When both instances lose the store
    And the clock of the zone advances by 10
    And 1 request waits for m1 at every instance for 3 seconds
    Then m1 is loaded on 0 targets
    And the cold start of m1 was refused with a retry delay

  Scenario: A degraded leader loads on targets that check fencing
    Given 2 instances that have chosen a leader
    When both instances lose the store
    And the clock of the zone advances by 10
    And 1 request waits for m1 at every instance for 5 seconds
    Then m1 is loaded on 1 target

  Scenario: A degraded leader stops after 15 minutes
    Given 2 instances that have chosen a leader
    When both instances lose the store
    And the clock of the zone advances by 920
    And 1 request waits for m1 at every instance for 5 seconds
    Then m1 is loaded on 0 targets

  Scenario Outline: The last free memory while the unload is <fault>
    Given 2 instances that have chosen a leader
    When 1 request waits for m1 at every instance for 6 seconds
    And 1 request waits for m2 at every instance for 6 seconds
    And the next order to each target is <fault>
    And 1 request waits for m3 at every instance for <seconds> seconds
    Then m3 is loaded on 1 target

    Examples:
      | fault      | seconds |
      | ok         | 10      |
      | lost       | 30      |
      | unanswered | 30      |
      | late       | 30      |

  Scenario Outline: A target restarts: <fault>
    Given e1 checks fencing: <checks>
    And e2 checks fencing: <checks>
    And 2 instances that have chosen a leader
    When 1 request waits for m1 at every instance for 1 second
    And <fault>
    And 1 request waits for m1 at every instance for 30 seconds
    Then m1 is loaded on 1 target

    Examples:
      | fault                             | checks |
      | the target that loads m1 restarts | yes    |
      | the target that loads m1 restarts | no     |
      | the target that loads m1 stops    | yes    |
      | the target that loads m1 stops    | no     |

  Scenario: The replica of an unresponsive target is still counted
    Given 2 instances that have chosen a leader
    When 1 request waits for m1 at every instance for 5 seconds
    And the leader loses target e1
    And the leader loses target e2
    And 1 request waits for m1 at every instance for 10 seconds
    Then m1 is loaded on 1 target
    And the cold start of m1 was refused with a retry delay

  Scenario: A new leader counts a target that it cannot fence as loaded
    Given 2 instances that have chosen a leader
    When the follower loses target e1
    And the leader loses the store
    And the clock of the zone advances by 9
    And 1 request waits for m1 at every instance for 20 seconds
    Then m1 is loaded on 0 targets
    And the cold start of m1 was refused with a retry delay
    And the followers reach target e1 again
    And 1 request waits for m1 at every instance for 10 seconds
    And m1 is loaded on 1 target

  Scenario: A leaving target gets no new load
    Given 2 instances that have chosen a leader
    When target e1 is leaving, as reported to one instance
    And 1 request waits for m1 at every instance for 5 seconds
    And 1 request waits for m2 at every instance for 5 seconds
    Then e1 holds 0 replicas
    And m1 is loaded on 1 target

  Scenario: A replica on a leaving target is first loaded on another target
    Given m1 has 2 replicas
    And 2 instances that have chosen a leader
    When 1 request waits for m1 at every instance for 5 seconds
    And the target that holds m1 is leaving, as reported to one instance
    And the clock of the zone advances by 8
    Then m1 is loaded on 2 targets

  Scenario: A planned stop hands the lease over without waiting
    Given 2 instances that have chosen a leader
    When the leader stops as planned
    And the clock of the zone advances by 4
    Then an instance leads

  Scenario: A changed version is loaded again
    Given 2 instances that have chosen a leader
    When 1 request waits for m1 at every instance for 5 seconds
    And the configuration gives m1 another version
    And 1 request waits for m1 at every instance for 10 seconds
    Then m1 was loaded 2 times
    And m1 is loaded on 1 target

  Scenario: A deadline before the end of the load is refused at once
    Given 2 instances that have chosen a leader
    When 1 request waits for m1 at every instance for 1 second with a deadline of 1 second
    Then the cold start of m1 was refused with a retry delay
    And the clock of the zone advances by 5
    And m1 is loaded on 1 target

  Scenario Outline: Two zones share one replica: <fault>
    Given a zone with these targets
      | target | memory | checks fencing | zone |
      | e1     | 100    | yes            | a    |
      | e2     | 100    | <checks>       | b    |
    And 2 instances that have chosen a leader
    When 1 request waits for m1 at every instance for 6 seconds
    Then m1 is loaded on 1 target
    And <fault>
    And 1 request waits for m1 at every instance for 20 seconds
    And m1 is loaded on <count> target
    And m1 was loaded <loads> times

    Examples:
      | fault                                 | checks | count | loads |
      | the target of m1 leaves its pool      | yes    | 1     | 2     |
      | the target of m1 leaves its pool      | no     | 1     | 2     |
      | the leaders lose the target of m1     | yes    | 1     | 1     |
      | the lost target of m1 leaves its pool | yes    | 1     | 1     |
      | the lost target of m1 leaves its pool | no     | 1     | 1     |
      | all instances lose the store          | yes    | 1     | 1     |

  Scenario: Random faults in random order
    Then P1 and P2 hold over random faults
