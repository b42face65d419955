Feature: Times in which targets want no requests
  Guards against an instance that goes on sending to a target that has asked for a
  pause, and against rejections by which all instances together make a brittle
  target fail.

  Scenario Outline: A target that named <named> s is <state> after <seconds> s
    Given target t1 with 4 slots
    When t1 turns a request away and names <named> s
    Then t1 is <state> after <seconds> s

    Examples:
      | named | seconds | state  |
      | 2     | 0.5     | paused |
      | 2     | 1.9     | paused |
      | 2     | 2.1     | usable |
      | 0     | 0.0     | usable |

  Scenario: A shorter time does not end a longer pause
    Given target t1 with 4 slots
    When t1 turns a request away and names 5 s
    And t1 turns a request away and names 1 s
    Then t1 is paused after 4 s

  Scenario Outline: Rejections of <instances> instances keep to <rate> a second
    Given target t1 with 4 slots, brittle at <rate> rejections a second
    When t1 turns a request away from one of <instances> instances
    Then t1 is paused after <paused> s
    And t1 is usable after <usable> s

    Examples:
      | rate | instances | paused | usable |
      | 3    | 6         | 1.9    | 2.1    |
      | 10   | 6         | 0.5    | 0.7    |

  Scenario Outline: A brittle target with <running> of 4 requests is <state>
    Given target t1 with 4 slots, brittle at 3 rejections a second
    Then t1 is <state> with <running> requests

    Examples:
      | running | state  |
      | 3       | usable |
      | 4       | paused |

  Scenario: A target that no longer says so is not brittle
    Given target t1 with 4 slots, brittle at 3 rejections a second
    When an answer of t1 does not say that it is brittle
    Then t1 is usable with 4 requests
