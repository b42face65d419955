Feature: Configuration changes on running instances
  Guards P6 and P13 against a change, such as a revoked key, that takes effect
  only after a restart, does not reach an instance that cannot reach the
  platform, or is reverted. Instances and stand-ins run as separate processes.

  Background:
    Given a fleet of two zones and an instance "a9" that cannot reach the platform

  Scenario Outline: A change comes into force everywhere within 18 seconds
    When <fault> and an operator applies a change
    Then the change is in force at every instance within 18 seconds
    And it stays in force after the fault ends

    Examples:
      | fault                                   |
      | nothing fails                           |
      | the next write takes effect unanswered  |
      | watches are silent                      |
      | reads are stale                         |
      | the platform answers after a second     |
      | zone "a" has a frozen leader            |

  Scenario Outline: A revoked key is refused on a connection that stays open
    Given a caller whose requests are answered over one connection to "<instance>"
    When an operator revokes the key of the caller
    Then the next requests over that connection are refused within 18 seconds
    And a new connection is refused as well

    Examples:
      | instance |
      | a1       |
      | a9       |

  Scenario: Concurrent changes of operators result in one configuration
    When three operators apply different changes at the same time
    Then all instances have the generation that the show command prints

  Scenario: An instance that starts during an outage serves requests
    Given the platform is unavailable
    When instance "a8" starts with "a9" as seed peer
    Then "a8" is ready and answers a request
