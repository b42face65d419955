Feature: Order in which instances compete for the free lease of their region
  Guards against a region that stays without a leader for seconds because each
  instance leaves the lease to larger ones, and against a call of every instance
  to the store at the moment at which the lease becomes free.

  Scenario Outline: An instance with <cores> cores that <reach> engines
    Given a region of <count> instances with <cores> cores each, of which the first <reach> engines
    When the lease becomes free
    Then the first instance may take it within <least> to <most> seconds

    Examples:
      | cores | reach      | count | least | most |
      | 2.15  | reaches    | 195   | 0     | 0    |
      | 1.0   | reaches    | 195   | 0     | 0    |
      | 0.516 | reaches    | 195   | 0.6   | 4    |
      | 2.15  | reaches no | 195   | 4     | 4    |

  Scenario Outline: A region of <count> small instances whose leader hands over
    Given a region of <count> instances with 0.12 cores each, of which the first reaches engines
    When the lease becomes free
    Then an instance may take it within 1 second
    And at most <compete> instances compete within 1.5 seconds

    Examples:
      | count | compete |
      | 2     | 2       |
      | 24    | 5       |
      | 195   | 5       |

  Scenario: An instance that fails delays only one term
    Given a region of 24 instances with 0.12 cores each, of which the first reaches engines
    When the lease becomes free after each of 20 terms
    Then at least 8 different instances are the first to compete

  Scenario Outline: The store answers again while the lease is free: <cores> cores, <seconds> seconds later
    Given an instance with <cores> cores whose turn to lead came while the store was silent
    When the store has answered again for <seconds> seconds
    Then it competes for the lease: <competes>

    Examples:
      | cores | seconds | competes |
      | 2.15  | 0.1     | yes      |
      | 0.516 | 0.1     | no       |
      | 0.516 | 1.5     | no       |
      | 0.516 | 1.9     | yes      |

  Scenario Outline: A leader that reaches no engine hands over to one that must rest: <others>
    Given a leader that reaches no engine, with a lease of 3 seconds
    And before it led <others>
    Then it hands over: <answer>

    Examples:
      | others                          | answer |
      | i1 until 1 second ago           | no     |
      | i1 until 3.6 seconds ago        | yes    |
      | i2 until 1 second ago           | yes    |
      | i1 and i2 until 1 second ago    | no     |
      | i0 until 1 second ago           | yes    |
      | nobody                          | yes    |

  Scenario: A leader ends its term though nobody may lead before its lease ends
    Given a leader that reaches no engine, with a lease of 3 seconds
    And before it led nobody
    And its lease is kept for 1 seconds
    Then it hands over: no

  Scenario Outline: Instances of message levels <levels>
    Given the instances of a region have the message levels <levels>
    Then a new leader announces itself to all: <answer>

    Examples:
      | levels  | answer |
      | 3, 3, 3 | yes    |
      | 3, 2, 3 | no     |
      | 3, 0    | no     |
      | 3       | no     |

  Scenario Outline: An instance of an earlier build is overlooked: levels <levels>
    Given a new leader that hears of instances of message levels <levels>
    Then it takes all of them to rest between two terms: <answer>

    Examples:
      | levels                               | answer |
      | 5, 5 in its list                     | yes    |
      | 5, 4 in its list                     | no     |
      | 5, 0 in its list                     | no     |
      | 4 in a report                        | no     |
      | 5 in a report                        | yes    |
      | 4 in the list of the last leader     | no     |
      | 4 in a report, 61 seconds ago        | yes    |
      | 4 in its list, 61 seconds ago        | no     |

  Scenario Outline: An instance with <cores> cores that started <seconds> seconds ago
    Given an instance with <cores> cores that has no view of a leader
    When it has run for <seconds> seconds
    Then it reads the store itself: <reads>

    Examples:
      | cores | seconds | reads |
      | 2.15  | 0.1     | yes   |
      | 0.516 | 0.1     | no    |
      | 0.516 | 1.1     | yes   |

  Scenario Outline: A small instance that waits for its turn <state>
    Given an instance with 0.12 cores that <state>
    When its lease is looked after
    Then it calls the store: <calls>

    Examples:
      | state                            | calls |
      | has never led                    | no    |
      | leads                            | yes   |
      | got no answer to its release     | yes   |
      | has released the lease           | no    |
