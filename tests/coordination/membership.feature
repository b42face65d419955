Feature: Membership and leaders
  Guards P11 and P14 against open connections that no longer deliver messages,
  replaced leaders that still send heartbeats, lists with failed members, and
  heartbeat traffic that grows with the fleet.

  Scenario Outline: Only a connection that stops delivering is replaced
    Given two zones of four members
    When the open connection from "<sender>" to "<receiver>" stops delivering
    Then "<receiver>" and "<sender>" exchange messages after 8 seconds
    And only connections between "<sender>" and "<receiver>" were replaced, once

    Examples:
      | sender | receiver |
      | a3     | a1       |
      | a1     | a3       |
      | a1     | b1       |

  Scenario Outline: Instances follow the leader with the highest fencing number
    Given two zones of four members
    When "a2" is elected and <fault>
    Then all instances follow "a2" after 8 seconds

    Examples:
      | fault                                            |
      | nothing else happens                             |
      | "a1" was killed                                  |
      | "a1" still believes that it leads                |
      | lease reads return the earlier holder            |
      | "a1" was killed and the platform is unreachable  |

  Scenario: The zone has no leader after its lease is released
    Given two zones of four members
    When the lease of zone "a" is released
    Then "a3" knows no leader after 8 seconds

  Scenario: A member that failed or is leaving is no longer listed
    Given two zones of four members
    When "a3" is killed and "a4" is leaving
    Then "a2" is sent only "a2" as member after 8 seconds

  Scenario: A member that restarts on another address is connected again
    Given two zones of four members
    When "a3" restarts on another address
    Then "a3" and "a1" exchange messages after 4 seconds

  Scenario: Unknown peers do not exhaust the memory of a member
    Given two zones of four members
    When 500 unknown peers send heartbeats to "a3"
    Then "a3" has at most 65 connections

  Scenario Outline: The traffic of an instance stays within the control budget
    Given <zones> zones of <size> members
    When 60 seconds pass
    Then a member sends at most 100 bytes a second
    And a leader sends at most 9000 bytes a second

    Examples:
      | zones | size |
      | 2     | 4    |
      | 11    | 4    |
      | 2     | 32   |
      | 11    | 32   |
