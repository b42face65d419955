Feature: Distribution of the configuration
  Guards P6 and P13 against an accepted change, such as a revoked key, that
  does not arrive within seconds or is reverted by a stale source. In every
  scenario each step checks that no instance reverts to an older generation and
  that entries of two generations are never mixed.

  Scenario Outline: A change comes into force everywhere despite a fault
    Given two zones with four instances each
    When <fault> and the configuration changes
    Then the change is in force everywhere after <seconds> seconds

    Examples:
      | fault                                             | seconds |
      | nothing fails                                     | 2       |
      | one instance is cut off from the platform         | 2       |
      | one zone is cut off from the platform             | 4       |
      | one message in five is lost                       | 8       |
      | leader "a1" is killed and "a2" elected            | 8       |
      | leader "a1" reads the store one generation late   | 8       |
      | the connection from "a1" to "a3" delivers nothing | 8       |
      | the connection from "a3" to "a1" delivers nothing | 8       |
      | "a3" is cut off from its leader                   | 8       |
      | a change that touches every entry came before it  | 4       |

  Scenario Outline: A stale source does not revert a change
    Given two zones with four instances each
    When the configuration changes and <source> later reports the old generation
    Then the change is in force everywhere after 5 seconds

    Examples:
      | source                     |
      | the store to every leader  |
      | a peer to every instance   |

  Scenario: An instance that restarts during an outage asks its seed peers
    Given two zones with four instances each
    When the platform is unreachable and "a3" restarts with "a4" as seed peer
    Then generation 1 is in force everywhere after 5 seconds
    And "a3" knows the leader of its zone

  Scenario Outline: Isolation follows from the age of the last confirmation
    Given two zones with four instances each
    When <cut> for 60 seconds
    Then <isolated> know that they are isolated and the others do not

    Examples:
      | cut                                       | isolated    |
      | nothing is cut off                        | none        |
      | "a3" is cut off from the platform         | none        |
      | "a3" is cut off from platform and peers   | a3          |
      | zone "a" is cut off from the platform     | none        |
      | zone "a" is cut off from platform and zones | a1 a2 a3 a4 |
      | the platform is unreachable               | a1 a2 a3 a4 b1 b2 b3 b4 |

  Scenario Outline: A newer generation that cannot be fetched prevents confirmation
    Given an instance that knows of a newer generation from a peer
    When <source> reports that the old generation is the latest
    Then the instance counts as isolated from then on

    Examples:
      | source       |
      | another peer |
      | the store    |

  Scenario: A change of one entry causes little traffic at 20000 adapters
    Given one zone with four instances and 20000 adapters
    When nothing fails and the configuration changes
    Then the change is in force everywhere after 2 seconds
    And no instance sent more than 6000 bytes for it
    And no message exceeded 256000 bytes

  Scenario: A patch that does not fit is replaced by whole shards
    Given two zones with four instances each
    When the history of "a1" is wrong and the configuration changes
    Then the change is in force everywhere after 4 seconds

  Scenario: Instances converge after any sequence of faults
    Then 60 random sequences of faults end in one generation
