Feature: Limits after a loss of all instances and in a partitioned zone
  Guards against refusals of organisations far below their rate because no
  leader grants them tokens, and against an organisation far above its rate that
  uses the parts of instances without a leader to exceed its limit (P7). On
  c279632, 177 of 255 answers were 429 after a loss of power of all instances.

  Scenario Outline: An organisation far below its rate while <fault>
    Given a region of <count> instances and a limit of <rate> tokens a second
    When requests of a tenth of the rate come while <fault>
    Then at most <refused> in 1000 of them are refused

    Examples:
      | count | rate  | refused | fault                                     |
      | 31    | 12000 | 20      | all instances restart                     |
      | 31    | 60000 | 5       | all instances restart                     |
      | 84    | 12000 | 20      | all instances restart                     |
      | 84    | 77000 | 5       | all instances restart                     |
      | 31    | 12000 | 20      | a zone is cut off                         |
      | 31    | 60000 | 5       | a zone is cut off                         |
      | 84    | 12000 | 60      | a zone is cut off                         |
      | 84    | 77000 | 20      | a zone is cut off                         |
      | 31    | 12000 | 30      | the leader stops                          |
      | 84    | 77000 | 5       | the leader stops                          |
      | 31    | 12000 | 20      | an instance starts in a zone that is cut off |

  Scenario Outline: An organisation at half its rate while <fault>
    Given a region of <count> instances and a limit of <rate> tokens a second
    When requests of a half of the rate come while <fault>
    Then at most <refused> in 1000 of them are refused

    Examples:
      | count | rate  | refused | fault                 |
      | 31    | 60000 | 50      | all instances restart |
      | 84    | 77000 | 80      | all instances restart |
      | 31    | 60000 | 5       | the leader stops      |
      | 84    | 77000 | 5       | the leader stops      |

  Scenario Outline: An organisation far above its rate while <fault>
    Given a region of <count> instances and a limit of <rate> tokens a second
    When requests of <factor> times the rate come while <fault>
    Then no window of 8 seconds admits more than the limit with its tolerance

    Examples:
      | count | rate  | factor | fault                                   |
      | 31    | 12000 | 6      | all instances restart                   |
      | 31    | 60000 | 3      | all instances restart                   |
      | 84    | 12000 | 6      | all instances restart                   |
      | 84    | 77000 | 3      | all instances restart                   |
      | 84    | 2000  | 6      | all instances restart                   |
      | 84    | 12000 | 6      | all instances restart without a leader  |
      | 31    | 12000 | 6      | all instances restart without a leader  |
      | 31    | 12000 | 6      | a zone is cut off                       |
      | 84    | 12000 | 3      | a zone is cut off                       |
      | 84    | 12000 | 6      | the leader stops                        |
      | 31    | 12000 | 6      | the leader stops                        |
      | 31    | 12000 | 6      | an instance starts in a zone that is cut off |
      | 31    | 12000 | 6      | a zone is cut off and all restart       |
      | 84    | 2000  | 6      | most instances are cut off after a pause |

  Scenario: An instance that reaches no other admits what fits into its part
    Given a region of 31 instances and a limit of 60000 tokens a second
    When one instance starts alone and gets its part of a twentieth of the rate
    Then at most 400 in 1000 of them are refused

  Scenario: The reserve that a process may use at its start is the smaller part
    Given an instance that has just started and knows of 31 others
    When it charges all that it has alone
    Then it has charged less than half of its part of the tolerance

  Scenario: Tokens that were lent in vain are returned
    Given an instance that has just started and knows of 31 others
    When it lends all that it has and gets it back
    Then it can lend as much again

  Scenario: A lender has nothing for itself from what it has lent
    Given an instance that has just started and knows of 31 others
    When it lends all that it has
    Then it can charge nothing alone

  Scenario: The highest number of instances counts for ten minutes
    Given an instance that has just started and knows of 31 others
    When a leader counts 2 instances
    Then its even share is that of 31 instances
    When a leader counts 2 instances 601 seconds later
    Then its even share is larger

  Scenario: An instance without a leader gives up its even share in time
    Given an instance that has just started and knows of 31 others
    When nothing is heard from a leader for 541 seconds
    Then it lends only of its reserve

  Scenario: No reserve while the number of instances is unknown
    Given an instance that has just started and knows of no others
    When it charges all that it has alone
    Then it has charged the even share of 20 instances only

  Scenario: No loans where the deployment states no tolerance
    Given an instance of a deployment without a tolerated overrun
    When it charges all that it has alone
    Then it has charged its even share only

  Scenario Outline: Parts of instances that a new leader has not heard of
    Given <known> instances known to the last leader, of which <missing> are not heard
    Then <eighths> eighths of the divided part may be in use

    Examples:
      | known | missing | eighths |
      | 31    | 0       | 0       |
      | 31    | 1       | 1       |
      | 31    | 12      | 8       |
      | 0     | 0       | 8       |

  Scenario: Instances of earlier builds are not asked for tokens
    Given instances of level 5 and of level 6 in both zones
    When lenders are chosen
    Then those of level 6 are asked, the own zone first
