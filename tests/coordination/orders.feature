Feature: Effects of orders on bookings
  Guards against releasing memory or a replica while an order may still take
  effect (P1, P2): lost answers, reports older than the order, restarting
  targets, and resent orders.

  Scenario Outline: A <kind> sent at 10 whose answer at 20 is <answer>
    Given a booked <kind> of 60 megabytes sent at 10
    When its answer at 20 is <answer>
    Then the deployment is <state> with 60 megabytes in use

    Examples:
      | kind   | answer  | state    |
      | load   | done    | loaded   |
      | load   | unknown | in_doubt |
      | unload | unknown | in_doubt |
      | unload | refused | loaded   |

  Scenario Outline: A <kind> whose answer at 20 is <answer> frees the memory
    Given a booked <kind> of 60 megabytes sent at 10
    When its answer at 20 is <answer>
    Then the deployment is gone with 0 megabytes in use

    Examples:
      | kind   | answer        |
      | load   | no_memory     |
      | load   | refused       |
      | load   | stale_fencing |
      | unload | done          |

  Scenario Outline: A report on a <kind> without an answer: <report>
    Given a booked <kind> of 60 megabytes sent at 10
    When its answer at 20 is unknown
    And a report requested at <asked> that is <age> seconds old shows "<report>"
    Then the deployment is <state>

    Examples:
      | kind   | asked | age | report      | state    |
      | load   | 30    | 1   | nothing     | in_doubt |
      | load   | 30    | 1   | loaded      | loaded   |
      | load   | 30    | 1   | loading     | loading  |
      | load   | 30    | 15  | loaded      | in_doubt |
      | load   | 30    | 1   | done order  | loaded   |
      | unload | 30    | 1   | nothing     | gone     |
      | unload | 30    | 1   | loaded      | in_doubt |
      | unload | 30    | 15  | nothing     | in_doubt |

  Scenario Outline: A report while the answer to a <kind> is awaited: <report>
    Given a booked <kind> of 60 megabytes sent at 10
    When a report requested at 12 that is <age> seconds old shows "<report>"
    Then the deployment is <state>

    Examples:
      | kind   | age | report     | state     |
      | load   | 0   | nothing    | loading   |
      | load   | 5   | nothing    | loading   |
      | load   | 0   | done order | loaded    |
      | unload | 0   | nothing    | unloading |
      | unload | 5   | loaded     | unloading |

  Scenario Outline: A report after the answer at 20 of a <kind>: <report>
    Given a booked <kind> of 60 megabytes sent at 10
    When its answer at 20 is done
    And a report requested at 22 that is <age> seconds old shows "<report>"
    Then the deployment is <state>

    Examples:
      | kind   | age | report  | state  |
      | load   | 5   | nothing | loaded |
      | load   | 1   | nothing | gone   |
      | unload | 5   | loaded  | gone   |
      | unload | 1   | loaded  | loaded |

  Scenario Outline: A restart settles a load in doubt only if it is later than the load
    Given a booked load of 60 megabytes sent at 10
    When its answer at 20 is unknown
    And a report of boot <first> requested at 30 shows "nothing"
    And a report of boot <second> requested at 40 shows "nothing"
    Then the deployment is <state>

    Examples:
      | first | second | state    |
      | 1     | 1      | in_doubt |
      | 2     | 2      | in_doubt |
      | 1     | 2      | gone     |

  Scenario Outline: A resent load is answered <answer>
    Given a booked load of 60 megabytes sent at 10
    When its answer at 20 is unknown
    And it is resent at 25
    And its answer at 30 is <answer>
    Then the deployment is <state>

    Examples:
      | answer    | state    |
      | done      | loaded   |
      | refused   | in_doubt |
      | no_memory | in_doubt |
      | unknown   | in_doubt |

  Scenario Outline: The target refuses a connection at <asked>
    Given a booked load of 60 megabytes sent at 10
    When its answer at 20 is <answer>
    And the target refuses a connection at <asked>
    Then the deployment is <state>

    Examples:
      | answer  | asked | state    |
      | unknown | 15    | in_doubt |
      | unknown | 25    | gone     |
      | done    | 15    | loaded   |
      | done    | 25    | gone     |

  Scenario: Memory that a target uses without a booking is not free
    Given a booked load of 60 megabytes sent at 10
    When a report at 30 shows 35 megabytes that are not booked
    Then 95 megabytes are in use
