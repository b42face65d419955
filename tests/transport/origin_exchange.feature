Feature: Origins of streams that callers take up again
  Guards against a stream that goes on at another software version than the one
  that began it (P8), also when the instance that began it is gone or cut off.

  Background:
    Given instances a-1, a-2, b-1, b-2, c-1, c-2 of three zones

  Scenario: The instance that began the streams dies
    Given targets of the versions v1, v1, v2
    And all instances know each other
    And a-1 has begun streams at v1 and v2
    When a-1 dies
    Then b-2 finds the version that began each of them
    And a-2 finds the version that began each of them

  Scenario: Two instances die at once
    Given targets of the versions v1, v1, v2
    And all instances know each other
    And a-1 has begun streams at v1 and v2
    When a-1 dies
    And b-1 dies
    Then c-1 finds the version that began each of them

  Scenario Outline: Instances are cut apart: <where>
    Given targets of the versions v1, v1, v2
    And all instances know each other
    And a-1 has begun streams at v1 and v2
    When zone <zones> is cut off
    And a-1 dies
    Then <instance> finds no wrong version, and that of at least <count> of them

    Examples:
      | where                             | zones   | instance | count |
      | in the zone of the first one      | a       | a-2      | 10    |
      | outside of it                     | a       | b-1      | 40    |
      | every zone, in that of the first  | a, b, c | a-2      | 10    |
      | every zone, in another one        | a, b, c | c-2      | 40    |

  Scenario: The streams began while the instances were cut apart
    Given targets of the versions v1, v1, v2
    And all instances know each other
    And zone a is cut off
    And a-1 has begun streams at v1 and v2
    When a-1 dies
    Then b-1 finds no version
    And a-2 finds no wrong version, and that of at least 10 of them

  Scenario: An isolated instance does not know that a second version has come
    Given targets of the versions v1, v1, v1
    And all instances know each other
    And zone a is cut off
    And a-2 is isolated
    When the targets run the versions v1, v1, v2
    And b-1 begins streams at v2
    And b-1 dies
    Then a-2 finds no version

  Scenario: The only version needs no messages
    Given targets of the versions v1, v1, v1
    And all instances know each other
    And a-1 has begun streams at v1
    When a-1 dies
    Then c-2 finds the version that began each of them
    And no message was sent

  Scenario: A second version comes while streams run
    Given targets of the versions v1, v1, v1
    And all instances know each other
    And a-1 has begun streams at v1
    When the targets run the versions v1, v1, v2
    And a-1 dies
    Then c-2 finds the version that began each of them

  Scenario: The version of the streams has left
    Given targets of the versions v1, v2
    And all instances know each other
    And a-1 has begun streams at v1
    When the targets run the versions v2, v2
    And 30 seconds pass
    And a-1 dies
    Then c-2 finds the version that began each of them

  Scenario: A version that has left may have begun an unknown stream
    Given targets of the versions v1, v2
    And all instances know each other
    And zone a, b, c is cut off
    And a-1 has begun streams at v1
    When the targets run the versions v2, v2
    And 30 seconds pass
    Then b-2 finds no version
    When 91 seconds pass
    Then b-2 takes v2 for the version of all of them

  Scenario: An instance that starts does not guess before it knows the others
    Given targets of the versions v1, v2
    And all instances know each other
    And c-1 has begun streams at v1
    When the targets run the versions v2, v2
    And b-1 starts again
    Then b-1 finds no version

  Scenario: An instance that starts learns which versions have left
    Given targets of the versions v1, v2
    And all instances know each other
    And zone c is cut off
    And c-1 has begun streams at v1
    When the targets run the versions v2, v2
    And b-1 starts again
    And the instances that are not cut off learn of each other again
    Then b-1 finds no version

  Scenario: A leader that starts again asks the others
    Given targets of the versions v1, v2
    And all instances know each other
    And c-1 has begun streams at v1
    When the targets run the versions v2, v2
    And a-1 starts again
    And the instances learn of each other again
    And c-1 dies
    Then a-1 finds the version that began each of them

  Scenario: A leader that starts again and reaches nobody does not guess
    Given targets of the versions v1, v2
    And all instances know each other
    And c-1 has begun streams at v1
    When the targets run the versions v2, v2
    And a-1 starts again
    And zone a is cut off
    And the instances learn of each other again
    And a-2 dies
    Then a-1 finds no version

  Scenario Outline: A leader that has just started knows no version that has left: <who> asked
    Given targets of the versions v1, v2
    And all instances know each other
    And c-1 has begun streams at v1
    When the targets run the versions v2, v2
    And a-1 starts again
    And b-1 starts again
    And the instances learn of each other again
    Then <instance> finds the version that began each of them

    Examples:
      | who           | instance |
      | a member is   | b-1      |
      | the leader is | a-1      |

  Scenario: Answers of instances that have just started are no reason to guess
    Given targets of the versions v1, v2
    And all instances know each other
    And c-1 has begun streams at v1
    When the targets run the versions v2, v2
    And zone c is cut off
    And a-1 starts again
    And a-2 starts again
    And b-1 starts again
    And b-2 starts again
    And the instances learn of each other again
    Then b-2 finds no version
    And b-2 finds no version
    And a-1 finds no version

  Scenario: All instances start again while a version leaves
    Given targets of the versions v1, v2
    And all instances know each other
    And c-1 has begun streams at v1
    When the targets run the versions v2, v2
    And all instances start again and read the lease
    And the instances learn of each other again
    Then b-2 finds no version
    And a-1 finds no version

  Scenario: All instances start again while all targets run one version
    Given targets of the versions v1, v1
    And all instances know each other
    And c-1 has begun streams at v1
    When all instances start again and read the lease
    Then b-2 takes v1 for the version of all of them

  Scenario: A leader without other instances
    Given targets of the versions v1, v1
    And a-1 has begun streams at v1
    And the other instances are gone
    When a-1 starts again
    And the instances learn of each other again
    Then a-1 finds no version
    When 3 seconds pass
    Then a-1 finds the version that began each of them

  Scenario: A keeper that starts again learns the streams anew
    Given targets of the versions v1, v1, v2
    And all instances know each other
    And a-1 has begun streams at v1 and v2
    When a-2 starts again
    And b-1 starts again
    And b-2 starts again
    And c-1 starts again
    And c-2 starts again
    And the instances learn of each other again
    And a-1 dies
    Then c-2 finds the version that began each of them

  # A request whose first send was not answered is passed on and begins there.
  Scenario Outline: Streams that an instance passed on began at <version>, <then>
    Given targets of the versions v1, v2
    And all instances know each other
    And a-1 has begun streams at v1
    When a-1 passes them to b-1, which begins them at <version>
    And <then>
    Then a-1 finds the version that began each of them
    And c-2 finds the version that began each of them

    Examples:
      | version | then                                   |
      | v2      | the instances learn of each other again |
      | v2      | b-1 dies                               |
      | v1      | b-1 dies                               |

  Scenario Outline: Keepers that start again learn of streams that were passed on, at <version>
    Given targets of the versions v1, v2
    And all instances know each other
    And a-1 has begun streams at v1
    When a-1 passes them to b-1, which begins them at <version>
    And a-2 starts again
    And b-2 starts again
    And c-1 starts again
    And c-2 starts again
    And the instances learn of each other again
    And b-1 dies
    Then c-2 finds the version that began each of them

    Examples:
      | version |
      | v1      |
      | v2      |

  # Two senders use two connections, which a receiver that was frozen reads in
  # any order.
  Scenario Outline: An announcement arrives after the one that replaces it, <who> asked
    Given targets of the versions v1, v2
    And all instances know each other
    And messages from a-1 to b-1, c-1 are late
    And a-1 has begun streams at v1
    When a-1 passes them to b-2, which begins them at v2
    And the late messages arrive
    Then <instance> finds no wrong version, and that of at least <count> of them

    Examples:
      | who                                | instance | count |
      | one that keeps some of the streams | a-2      | 1     |
      | one that read them late            | c-1      | 1     |
      | one that passed them on            | a-1      | 1     |
      | one that began them                | b-2      | 40    |

  Scenario: An instance that began streams hears an announcement that they replace
    Given targets of the versions v1, v2
    And all instances know each other
    And messages from a-1 to b-2 are late
    And a-1 has begun streams at v1
    When a-1 passes them to b-2, which begins them at v2
    And the late messages arrive
    And a-2 starts again
    And c-1 starts again
    And c-2 starts again
    And the instances learn of each other again
    Then c-2 finds the version that began each of them

  Scenario: A route that leads to several services
    Given targets of the versions v1, v1, v1
    And all instances know each other
    And a route that leads to s and another service
    And a-1 has begun streams at v1
    When a-1 dies
    Then c-2 finds the service that began each of them

  Scenario: An unknown stream of such a route
    Given targets of the versions v1, v1, v1
    And all instances know each other
    And zone a, b, c is cut off
    And a-1 has begun streams at v1
    And a route that leads to s and another service
    Then c-2 does not guess the service

  Scenario: The route moves to another service
    Given targets of the versions v1, v1, v1
    And all instances know each other
    And a-1 has begun streams at v1
    When the route leads to the other service only
    And a-1 dies
    Then c-2 finds the service that began each of them

  Scenario: The route moves to another service by way of both
    Given targets of the versions v1, v1, v1
    And all instances know each other
    And a-1 has begun streams at v1
    When the route leads to s and another service
    And 50 seconds pass
    And the route leads to the other service only
    And a-1 dies
    Then c-2 finds the service that began each of them

  Scenario: Streams begin after the route has moved
    Given targets of the versions v1, v1, v1
    And all instances know each other
    When the route leads to the other service only
    And a-1 begins streams of the other service
    And a-1 dies
    Then c-2 finds that the other service began each of them

  Scenario: An unknown stream of a route that has moved
    Given targets of the versions v1, v1, v1
    And all instances know each other
    And zone a, b, c is cut off
    And a-1 has begun streams at v1
    When the route leads to the other service only
    Then c-2 does not guess the service

  # No stream of the earlier service can be taken up any more.
  Scenario: An unknown stream of a route that moved long ago
    Given targets of the versions v1, v1, v1
    And all instances know each other
    And zone a, b, c is cut off
    When the route leads to the other service only
    And 121 seconds pass
    And a-1 begins streams of the other service
    Then c-2 finds that the other service began each of them

  # It does not learn of the later send unless it is one of the keepers.
  Scenario Outline: An earlier leader was told of the first send only, <from>
    Given targets of the versions v1, v1, v2
    And all instances know each other
    And c-1 has begun streams at v1
    When the streams are recorded
    And b-2 begins to lead
    And c-1 passes them to <from>, which begins them at v2
    And the streams are recorded
    Then a-1 finds the version that began each of them
    And c-2 finds the version that began each of them

    Examples:
      | from |
      | c-1  |
      | b-1  |

  Scenario: An earlier leader is asked by an instance that takes it for a keeper
    Given targets of the versions v1, v1, v2
    And all instances know each other
    And c-1 has begun streams at v1
    When the streams are recorded
    And b-2 begins to lead
    And c-1 passes them to b-1, which begins them at v2
    And the streams are recorded
    And c-2 starts again
    And c-2 knows of a-1 only
    Then c-2 finds the version that began each of them

  Scenario Outline: Who keeps a stream: <instances> instances in each of <zones> zones
    Given <instances> instances in each of <zones> zones
    Then each stream is kept by <keepers> instances in <zones> zones
    And all streams together are kept by at most <all> instances

    Examples:
      | instances | zones | keepers | all |
      | 1         | 1     | 1       | 1   |
      | 2         | 1     | 2       | 2   |
      | 2         | 3     | 4       | 6   |
      | 2         | 4     | 4       | 8   |
      | 32        | 11    | 11      | 66  |

  Scenario: Memory is bounded
    Given 20010 recorded streams
    Then 20000 are stored, and none after 121 seconds
