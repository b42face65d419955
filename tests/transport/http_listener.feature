Feature: Closing of idle connections at a graceful stop
  Guards against a request that is passed on to a target while its connection is
  closed as idle, so that its caller gets no answer (P12).

  Scenario Outline: Requests that come <steps> steps of the event loop after the stop
    Given 40 kept connections to a gateway's listener, each idle
    When the listener is stopped and <steps> steps later each sends a request
    Then every request that was passed on is answered

    Examples:
      | steps |
      | 0     |
      | 1     |
      | 2     |
      | 3     |
      | 4     |
      | 6     |
      | 10    |
