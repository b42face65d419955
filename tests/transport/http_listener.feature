Feature: Closing of idle connections at a graceful stop
  Guards against a request that is passed on to a target while its connection is
  closed as idle, so that its caller gets no answer (P12).

  Scenario Outline: Requests that come <steps> steps of the event loop after the stop
    Given 40 kept connections to a gateway's listener, each idle
    When the listener is stopped and <steps> steps later each sends a request
    Then every request that was passed on is answered
    And every request that was read is answered
    And requests that were not passed on are refused as not run

    Examples:
      | steps |
      | 0     |
      | 1     |
      | 2     |
      | 3     |
      | 4     |
      | 6     |
      | 10    |
      | 44    |
      | 46    |
      | 48    |
      | 50    |
      | 52    |
      | 54    |

  Scenario Outline: Requests on kept connections <count> loop steps apart around the stop
    Given 40 kept connections to a gateway's listener, each idle
    When the listener is stopped while requests come <count> steps apart
    Then every request that was read is answered
    And requests that were not passed on are refused as not run

    Examples:
      | count |
      | 1     |
      | 2     |

  Scenario: A body that is still on its way is read to its end
    Given 5 kept connections to a gateway's listener, each idle
    When the listener is stopped after the heads of requests, before their bodies
    Then every request that was read is answered

  Scenario Outline: A body comes after its head crossed the stop by <steps> steps
    Given 40 kept connections to a gateway's listener, each idle
    When the listener is stopped <steps> steps after the heads of requests, and their bodies come later
    Then every request that was read is answered
    And every request was passed on

    Examples:
      | steps |
      | 2     |
      | 4     |
      | 8     |

  Scenario: An answer that runs at the stop is sent to its end
    Given 5 kept connections to a gateway's listener, each idle
    When the listener is stopped while requests run
    Then every request that was passed on is answered
    And the listener ends as soon as they have ended

  # The log would hold a traceback for each of them.
  Scenario Outline: A listener that ends <how> with open connections logs no exception
    Given 5 kept connections to a gateway's listener, each idle
    When the listener is ended <how> while requests run
    Then no exception was logged

    Examples:
      | how                     |
      | by its graceful timeout |
      | by its cancellation     |
      | by an error beside it   |

  Scenario: A connection that fails unexpectedly is logged and closed
    Given a listener whose connections fail unexpectedly
    When a caller connects
    Then its connection is closed
    And the failure was logged once

  # Connections of callers that had gone kept their descriptors for 90 s.
  Scenario Outline: Callers close their connections <when>
    Given 40 kept connections to a gateway's listener, each idle
    When their callers close them <when>
    Then the listener has closed them too
    And the listener ends as soon as it is stopped

    Examples:
      | when                       |
      | while they are idle        |
      | while requests run         |
      | after a part of a head     |
      | after a part of a body     |
      | for sending, while idle    |

  Scenario Outline: New connections <steps> steps of the event loop before the stop
    Given 40 new connections to a gateway's listener, each with a request
    When the listener is stopped <steps> steps after they have come
    Then every request that was passed on is answered
    And every request that was read is answered

    Examples:
      | steps |
      | 0     |
      | 1     |
      | 2     |
      | 3     |
      | 4     |
      | 5     |
      | 6     |
      | 8     |
