Feature: Loans of tokens between instances without a leader
  Guards against refusals while the leader is silent, against tokens that are
  lost or used twice when an answer is late, and against floods of asks (P7).

  Scenario: A request larger than the part of one instance
    Given 20 instances of one zone that have no leader
    When a request of 900 tokens needs credit
    Then it is admitted within 0.2 seconds
    And the tokens of all instances have fallen by 900

  Scenario: A request that all together cannot admit
    Given 20 instances of one zone that have no leader
    When a request of 50000 tokens needs credit
    Then it is refused
    And the tokens of all instances have fallen by 0
    And the next request asks nobody

  Scenario: Instances that do not answer
    Given 20 instances of one zone that have no leader, of which 12 do not answer
    When a request of 500 tokens needs credit
    Then it is admitted within 0.3 seconds

  Scenario: An answer that comes after its request was refused
    Given 20 instances of one zone that have no leader, whose answers are late
    When a request of 900 tokens needs credit
    Then it is refused
    When the late answers come
    Then the tokens of all instances have fallen by 0

  Scenario: A caller that leaves while its request borrows
    Given 20 instances of one zone that have no leader, whose answers are late
    When a request of 900 tokens is cancelled while it waits
    And the late answers come
    Then the tokens of all instances have fallen by 0

  Scenario: A leader that is heard and refuses
    Given 20 instances of one zone whose leader grants nothing
    When a request of 900 tokens needs credit
    Then it is refused
    And nobody was asked for a loan

  Scenario: A new leader that refuses since its buckets are empty
    Given 20 instances of one zone whose new leader grants nothing
    When a request of 900 tokens needs credit
    Then it is admitted within 0.2 seconds

  Scenario Outline: What the lease states of the instances: <content>
    Given a lease object that names <content>
    When an instance starts and reads it
    Then it knows of <count> instances, <peers> of them by name

    Examples:
      | content           | count | peers |
      | 31 instances      | 31    | 31    |
      | 350 instances     | 350   | 0     |
      | nothing of them   | 0     | 0     |
      | malformed members | 0     | 0     |

  Scenario: A new leader records those that it has not heard of as well
    Given an instance that knows 31 others by the lease and leads anew
    When its first view names 3 of them
    Then the lease states all of them
    When 31 seconds of its term have passed
    Then the lease states 3 of them
