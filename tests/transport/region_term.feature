Feature: The end of a term
  Guards against orders of a leader that reach an engine after an order of the
  next one.

  Scenario Outline: Orders on their way when a term ends by a <end> come before the release
    Given two instances, of which g1 leads
    And the engine answers an order after 0.2 seconds
    When the term of g1 ends by a <end> while the engine has read an order
    Then the lease is released at most 0.3 seconds after the answer, not before

    Examples:
      | end          |
      | hand-over    |
      | planned stop |

  Scenario Outline: No order is written after a <end>
    Given two instances, of which g1 leads
    When the term of g1 ends by a <end> while an order waits for a connection
    Then the engine gets no order
    And the lease is released within 0.5 seconds

    Examples:
      | end          |
      | hand-over    |
      | planned stop |

  Scenario Outline: No order is written once <cause> has ended the lease
    Given two instances, of which g1 leads
    When <cause> ends the lease of g1 while an order waits for a connection
    Then the engine gets no order

    Examples:
      | cause                  |
      | an outage of the store |
      | a suspension           |

  Scenario Outline: Leaders do not take turns because a held-up engine reads an old order last
    Given two instances, of which g1 leads
    When the engine reads nothing for 1.2 seconds, and the term of g1 ends by a <end> <pause> seconds after an order
    Then no holder orders again after another one within the lease
    And both have ordered

    Examples:
      | end          | pause |
      | hand-over    | 0.9   |
      | planned stop | 0.9   |

  Scenario: A process does not end before it has released the lease
    Given two instances, of which g1 leads
    When the engine reads nothing for 0.6 seconds, and g1 is told to stop and ends after an order
    Then the lease has been released

  # Engines that fall silent for a moment must not end the term.
  Scenario: A term goes on if engines answer again before an order without an answer is settled
    Given two instances, of which g1 leads
    When the engine reads nothing for 1.2 seconds, and g1 reaches no engine from 0.4 to 1.2 seconds after an order
    Then g1 still leads with its first term, and gave no order while it reached no engine
    And g1 orders again
