Feature: Lease of a zone
  Guards against two instances that hold the lease of a zone at the same time,
  and against a fencing number that does not grow (P1, P14). After every tenth
  of a second the steps check that at most one instance may order targets that
  ignore fencing, that no holder has a lower number than an earlier one, and that
  no holder could order within one lease before the orders of another and again
  after them.

  Background:
    Given instances a and b that compete for a lease of 6 seconds
    And a leads

  Scenario: Renewals keep the fencing number
    When both run for 30 seconds
    Then a has the role leader
    And the fencing number of a has not changed

  Scenario Outline: The holder cannot renew its lease: <fault>
    When a has the fault "<fault>" and b runs for <seconds> seconds
    Then a has the role <role>
    And b has the role <other>

    Examples:
      | fault         | seconds | role     | other    |
      | frozen        | 5.5     | lapsed   | follower |
      | frozen        | 9       | lapsed   | leader   |
      | down          | 3.5     | leader   | follower |
      | down          | 10      | degraded | leader   |

  Scenario Outline: The answer to a renewal is lost: <fault>
    When the next 2 writes of a are <fault>
    And both run for 30 seconds
    Then a has the role leader
    And the fencing number of a has not changed

    Examples:
      | fault      |
      | lost       |
      | unanswered |

  Scenario Outline: The answer to an acquisition is <fault>
    Given the next 1 write of b is <fault>
    When a has the fault "frozen" and b runs for <seconds> seconds
    Then b has the role leader
    And the fencing number of b is above that of a

    Examples:
      | fault      | seconds |
      | lost       | 14      |
      | unanswered | 12      |
      | late       | 18      |

  Scenario: A paused holder steps down when it finds a successor
    When a has the fault "frozen" and b runs for 9 seconds
    And both run for 3 seconds
    Then a has the role follower
    And b has the role leader
    And the fencing number of b is above that of a

  Scenario: The answer to a renewal arrives after the lease has expired
    When a has the fault "slow" and b runs for 3 seconds
    And a has the fault "frozen" and b runs for 12 seconds
    Then a has the role lapsed
    And b has the role leader

  Scenario: A degraded holder orders only targets that check fencing
    When a has the fault "down" and b runs for 6 seconds
    Then a may order targets that check fencing: yes
    And a may order targets that ignore fencing: no

  Scenario Outline: A degraded holder stops: <cause>
    Given b is killed
    When a has the fault "down" and b runs for <seconds> seconds
    And a sees the fencing number <seen>
    Then a has the role <role>

    Examples:
      | cause            | seconds | seen | role     |
      | not yet          | 900     | 1    | degraded |
      | 15 minutes       | 910     | 1    | follower |
      | a higher number  | 20      | 99   | follower |

  Scenario: A leader steps down when it sees a higher fencing number
    When a sees the fencing number 99
    Then a has the role follower

  Scenario: A released lease is acquired without waiting
    When a releases the lease
    And both run for 3 seconds
    Then a has the role follower
    And b has the role leader
    And the fencing number of b is above that of a

  Scenario: A release waits for a pending renewal
    When a releases the lease while a renewal is pending
    And both run for 3 seconds
    Then a has the role follower
    And b has the role leader

  Scenario: A release whose answer is lost is written again
    When the next 1 writes of a are lost
    And a releases the lease
    And both run for 3 seconds
    Then b has the role leader

  Scenario: Deleting the lease object does not lower the fencing number
    When the lease object is deleted
    And both run for 20 seconds
    Then the highest fencing number is above 1

  Scenario: A successor knows that its predecessor may still act
    When a has the fault "down" and b runs for 10 seconds
    Then b expects its predecessor to act for at most 900 seconds
    And b expects its predecessor to act for at least 880 seconds

  Scenario: A successor after a release learns of older holders
    When a has the fault "down" and b runs for 10 seconds
    And b releases the lease
    And c joins and runs for 10 seconds
    Then c has the role leader
    And c expects its predecessor to act for at least 860 seconds

  Scenario Outline: A holder that announced its end is succeeded: <fault>
    When a announces the remaining term of its lease
    And a has the fault "frozen" and b runs for <seconds> seconds
    Then a has the role <role>
    And b has the role <other>

    Examples:
      | fault                  | seconds | role   | other    |
      | frozen, before the end | 3       | leader | follower |
      | frozen, after the end  | 6.7     | lapsed | leader   |

  Scenario Outline: Late announcements do not prolong a lease: <seconds> seconds
    When a is frozen and b runs for <seconds> seconds, with announcements of a that arrive later and later
    Then b has the role <other>

    Examples:
      | seconds | other    |
      | 3       | follower |
      | 6.7     | leader   |

  Scenario: A holder that has stopped is succeeded at once
    When a releases its lease without the store and announces it
    And a has the fault "frozen" and b runs for 1 seconds
    Then b has the role leader

  Scenario: A renewal after the announcement counts even without an answer
    When a announces the remaining term of its lease
    And the next 1 writes of a are unanswered
    And both run for 2.5 seconds in total
    And a has the fault "frozen" and b runs for 4.2 seconds
    Then b has the role follower

  Scenario: A holder keeps its lease when the store comes back from a copy
    Given a copy of the store
    When both run for 5 seconds in total
    And both run without the store for 2 seconds
    And the store comes back from the copy
    And both run for 20 seconds
    Then a has the role leader
    And the fencing number of a has not changed

  Scenario Outline: A holder by a lost write keeps its lease, <copy>
    Given <copy>
    When a has the fault "frozen" and b runs for 9 seconds
    And the store comes back from the copy
    And <other>
    And both run for 20 seconds
    Then b has the role leader
    And the fencing number of b is above the first one

    Examples:
      | copy                                | other                         |
      | a copy of the store                 | both run for 1 seconds        |
      | a copy of the store                 | a starts again without memory |
      | a copy of the store without the lease | both run for 1 seconds      |
      | a copy of the store without the lease | a starts again without memory |

  Scenario Outline: An instance that starts after the return waits for an unknown holder, <copy>
    Given <copy>
    When a has the fault "frozen" and b runs for 9 seconds
    And the store comes back from the copy
    And a starts again without memory
    And only a runs for <seconds> seconds
    Then a has the role <role>

    Examples:
      | copy                                  | seconds | role     |
      | a copy of the store                   | 5       | follower |
      | a copy of the store                   | 9       | leader   |
      | a copy of the store without the lease | 5       | follower |
      | a copy of the store without the lease | 9       | leader   |

  Scenario: Fencing numbers do not go back for an instance without memory
    Given a copy of the store without the lease
    And b is killed
    When the store comes back from the copy
    And a starts again without memory
    And only a runs for 10 seconds
    Then a has the role leader
    And the fencing number of a is above the first one

  Scenario: A holder whose lease has expired does not trust a copy that names it
    Given a copy of the store
    When a has the fault "frozen" and b runs for 9 seconds
    And the store comes back from the copy
    And only a runs for 3 seconds
    Then a has the role follower

  Scenario: The store comes back twice in a row
    Given a copy of the store
    When both run for 5 seconds in total
    And the store comes back from the copy
    And both run for 1 seconds in total
    And the store comes back from the copy
    And both run for 20 seconds
    Then a has the role leader
    And the fencing number of a has not changed

  Scenario: The holder by a lost write sees the return later than others
    Given a copy of the store
    When a has the fault "frozen" and b runs for 9 seconds
    And the store comes back from the copy
    And only a runs for 3 seconds
    And both run for 20 seconds
    Then b has the role leader
    And the fencing number of b is above the first one

  Scenario Outline: The store comes back while a leader is succeeded, <seconds> s after it froze
    Given a copy of the store
    When a has the fault "frozen" and b runs for <seconds> seconds
    And the store comes back from the copy
    And a has the fault "frozen" and b runs for 8 seconds
    Then b has the role leader
    When both run for 10 seconds
    Then b has the role leader
    And the fencing number of b is above that of a

    Examples:
      | seconds |
      | 4       |
      | 5.8     |
      | 6       |
      | 6.2     |
      | 6.4     |
      | 8       |

  Scenario: A lease acquired by a write without an answer is held in a later era
    Given a copy of the store
    And the next 60 write of b is unanswered
    When the store comes back from the copy
    And a has the fault "frozen" and b runs for 16 seconds
    Then b has the role leader
    When both run without the store for 8 seconds
    And both run for 3 seconds
    Then b has the role leader
    And b has held the lease with one number

  Scenario: A holder leaves the software versions that it knows to all others
    Given the software versions v1 and v2 of a service, known by a
    And a leads
    Then b has inherited the software versions v1 and v2
    And a has inherited no software versions
    When a has the fault "frozen" and b runs for 3 seconds
    And a reads the lease, after a restart
    Then a has inherited the software versions v1 and v2

  Scenario: A lease that was released names the software versions
    Given the software versions v1 and v2 of a service, known by a
    And a leads
    When a releases the lease
    And c reads the lease, after a restart
    Then c has inherited the software versions v1 and v2

  Scenario: A holder that does not know the software versions leaves none
    Given a leads
    When c reads the lease, after the first start
    Then c has inherited no software versions

  Scenario: Software versions that are too large for the store stay out of the lease
    Given a software version of 20000 letters, known by a
    And a leads
    When both run for 10 seconds
    Then a has the role leader
    And b has inherited no software versions

  Scenario Outline: No lease object, after <start>
    Given the store has no lease object
    When c reads the lease, after <start>
    Then <outcome>

    Examples:
      | start           | outcome                                     |
      | the first start | c knows that no software version ran before |
      | a restart       | c has inherited no software versions        |

  Scenario Outline: Software versions that cannot be read: <entry>
    Given software versions in the lease as an entry that is <entry>
    And a leads
    When c reads the lease, after a restart
    Then c has inherited no software versions

    Examples:
      | entry  |
      | a text |
      | a list |
      | nested |

  Scenario: A leader that has handed over leads again too soon after another one
    Given instances compete again after a release
    When a releases the lease
    And a has the fault "frozen" and b runs for 3 seconds
    And b releases the lease
    And b is killed
    Then a takes the lease after 3 to 5 seconds

  Scenario: A leader that has handed over waits though nobody has led since
    Given instances compete again after a release
    And b is killed
    When a releases the lease
    Then a takes the lease after 0 to 1.5 seconds

  Scenario: A frozen leader leads again too soon after its successor released
    Given instances compete again after a release
    When a has the fault "frozen" and b runs for 6.4 seconds
    And b releases the lease
    And b is killed
    Then a takes the lease after 4 to 6.5 seconds

  Scenario: A released lease stays free though its last holder may not lead yet
    Given instances compete again after a release
    When a releases the lease
    And a has the fault "frozen" and b runs for 3 seconds
    And b releases the lease
    Then b takes the lease after 0 to 1.5 seconds

  Scenario: A process leads at once though an earlier one of its id was succeeded
    Given instances compete again after a release
    When a releases the lease
    And a has the fault "frozen" and b runs for 3 seconds
    And a starts again without memory
    And b releases the lease
    And b is killed
    Then a takes the lease after 6 to 7.5 seconds

  Scenario: A process waits though the lease names an earlier one of its id
    When a starts again without memory
    Then a takes the lease after 0 to 0.5 seconds

  Scenario: A region of one stays without a leader after a planned restart
    Given b is killed
    When a releases the lease
    And a starts again without memory
    Then a takes the lease after 0 to 0.5 seconds

  Scenario Outline: Holders take turns in drawn sequences: <count> instances
    When <count> instances hand over, restart and lose the store for 60 seconds, 200 times
    Then no holder orders again within a lease after another one

    Examples:
      | count |
      | 1     |
      | 2     |
      | 3     |

  Scenario: Two instances hold a lease that is missing from the copy with which the store returns
    When 2 instances hand over, restart and lose the store for 60 seconds from the first start on, 200 times
    Then no holder orders again within a lease after another one

  Scenario: A leader of an earlier build leads again too soon after another one
    Given a is of an earlier build
    And a leads
    And a competes again after a release
    When a releases the lease
    And a has the fault "frozen" and b runs for 3 seconds
    And b releases the lease
    Then a takes the lease after 3 to 6.5 seconds

  Scenario: A process waits for its release though another build must not lead yet
    Given a is of an earlier build
    And a leads
    And a competes again after a release
    When a releases the lease
    And a has the fault "frozen" and b runs for 3 seconds
    And b is asked to stop and ends
    Then a takes the lease after 3 to 7.5 seconds

  Scenario Outline: Builds side by side take turns in drawn sequences: <count> instances
    When <count> instances, one of an earlier build, hand over, restart and lose the store for 60 seconds, 200 times
    Then no holder orders again within a lease after another one

    Examples:
      | count |
      | 2     |
      | 3     |
