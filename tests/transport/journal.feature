Feature: Order journal in the platform store
  Guards P1 against a leader that writes an intent after its successor has read
  the journal, and against an order that is sent before its intent is written.

  Scenario: A successor reads the intents of its predecessor
    Given a leader with fencing number 1 that has claimed the journal
    When it saves the intents o1 and o2
    And a leader with fencing number 2 claims the journal
    Then the successor reads the intents o1 and o2

  Scenario Outline: A predecessor writes after a takeover, its version is <version>
    Given a leader with fencing number 1 that has claimed the journal
    When a leader with fencing number 2 claims the journal
    Then saving the intent o1 by the predecessor with a <version> version fails
    And the journal holds no intent

    Examples:
      | version   |
      | known     |
      | uncertain |

  Scenario: A superseded leader cannot claim the journal
    Given a leader with fencing number 2 that has claimed the journal
    Then a leader with fencing number 1 cannot claim the journal

  Scenario Outline: The answer to a write is lost <fault> its effect
    Given a leader with fencing number 1 that has claimed the journal
    When saving the intent o1 fails <fault> its effect
    And it saves the intents o1 and o2
    And a leader with fencing number 2 claims the journal
    Then the successor reads the intents o1 and o2

    Examples:
      | fault  |
      | before |
      | after  |

  Scenario: The write of a claim has no answer
    Given a leader with fencing number 1 that has claimed the journal
    When the claim of a leader with fencing number 2 fails after its effect
    Then saving the intent o1 by the predecessor with a known version fails
    And a leader with fencing number 2 can claim again
