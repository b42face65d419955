Feature: Overdue requests that end before the next tick
  The queue collects overdue requests whenever it is polled, and the next tick
  refuses them. Guards against a tick that fails, and with it the whole request
  path (P3), because such a request has ended in between.

  Scenario Outline: An overdue request ends before the next tick
    Given a request that the queue has found overdue
    When <event> before the next tick
    Then the tick gives it no second answer

    Examples:
      | event                     |
      | its caller disconnects    |
      | its key is withdrawn      |
      | its cold start is refused |
