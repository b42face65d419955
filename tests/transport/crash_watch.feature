Feature: Detection of crashed targets
  Guards against counting a connection that broke for another reason as a crash,
  and against counting one crash several times (P14).

  Scenario Outline: A connection to a target <kind> ends during a run
    Given a registered target that is <state> and <kind>
    When <count> requests to it break at the same time
    Then <crashes> crashes are recorded with <connections> new connections

    Examples:
      | kind                     | state    | count | crashes | connections |
      | refuses connections      | ready    | 1     | 1       | 1           |
      | refuses connections      | ready    | 8     | 1       | 1           |
      | accepts connections      | ready    | 8     | 0       | 1           |
      | drops every packet       | ready    | 8     | 0       | 1           |
      | refuses connections      | draining | 8     | 0       | 0           |

  # The system closes the port of a process after some of its connections.
  Scenario Outline: The port of a target is closed <delay> ms after a connection
    Given a registered target that is ready and accepts connections
    And its port is closed <delay> ms after its connections
    When <count> requests to it break at the same time
    Then 1 crashes are recorded with 1 new connections

    Examples:
      | delay | count |
      | 10    | 1     |
      | 10    | 8     |

  Scenario: A target that has been removed from the list is not taken for crashed
    Given a registered target that is ready and refuses connections
    When its entry is removed
    And 1 request to it breaks
    Then 0 crashes are recorded with 0 new connections

  Scenario: A request that breaks after the crash is known needs no connection
    Given a registered target that is ready and refuses connections
    When 1 request to it breaks
    And 1 request to it breaks
    Then 1 crashes are recorded with 1 new connections

  Scenario: Each process of a target may crash
    Given a registered target that is ready and refuses connections
    When 1 request to it breaks
    And it restarts under the same id
    And 1 request to it breaks
    Then 2 crashes are recorded with 2 new connections

  Scenario: A check whose caller left does not block the others
    Given a registered target that is ready and drops every packet
    When a caller leaves during the check
    And 1 request to it breaks
    Then 0 crashes are recorded with 2 new connections
