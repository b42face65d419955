Feature: Connections that are inspected before each reuse
  Guards against bytes of one response that reach another request, and against
  sending a request that may not be repeated on a connection that its peer has
  already closed (P8, P10).

  Scenario Outline: A second request after <what> gets its own response
    Given a server that responds and then <what>
    When two requests are sent one after the other
    Then each gets its own response
    And <connections> connections were opened

    Examples:
      | what                         | connections |
      | keeps the connection         | 1           |
      | sends a second response      | 2           |
      | sends invalid bytes          | 2           |
      | closes the connection        | 2           |
      | asks to close the connection | 2           |
      | states an idle time of 0 s   | 2           |

  Scenario Outline: A response that <fault> is an error
    Given a server whose response <fault>
    When one request is sent
    Then it fails and its bytes count as sent

    Examples:
      | fault                      |
      | ends before its length     |
      | ends in the middle of a chunk |
      | is not HTTP                |
      | never begins               |
      | ends after an interim head |

  Scenario Outline: A response with the status <status> is an error
    Given a server whose first response has the status <status>
    When two requests are sent one after the other
    Then the first fails and its bytes count as sent
    And the second gets its own response
    And 2 connections were opened

    Examples: a number outside the protocol
      | status |
      | 000    |
      | 001    |
      | 099    |
      | 600    |
      | 601    |
      | 999    |

    Examples: not three digits
      | status |
      | none   |
      | 2      |
      | 20     |
      | 2000   |
      | +20    |
      | -20    |
      | +200   |
      | -200   |
      | 2x0    |
      | abc    |
      | 0x1    |
      | 2.0    |

    Examples: a change of the protocol that was not requested
      | status |
      | 101    |

  Scenario Outline: A response with the status <status> is returned
    Given a server whose first response has the status <status>
    When two requests are sent one after the other
    Then the first is returned with the status <status>
    And the second gets its own response
    And 1 connections were opened

    Examples:
      | status |
      | 200    |
      | 299    |
      | 451    |
      | 499    |
      | 500    |
      | 599    |

  Scenario Outline: The body of a response <status> to <method>, where none is due, reaches nobody
    Given a server whose first response has the status <status>
    When a request with the method <method> is sent, and then another one
    Then the first is returned with the status <status>
    And the second gets its own response
    And 2 connections were opened

    Examples:
      | method | status |
      | GET    | 204    |
      | GET    | 304    |
      | HEAD   | 200    |
      | HEAD   | 404    |

  Scenario Outline: What an answer with the status <status> says of a target
    Given a server whose first response has the status <status>
    When <call> gets that response
    Then the call ends as "<result>"

    Examples:
      | call           | status | result      |
      | an order       | 600    | unknown     |
      | an order       | 000    | unknown     |
      | an order       | -20    | unknown     |
      | a survey       | 600    | no report   |
      | a survey       | 000    | no report   |
      | a health check | 600    | not reached |
      | a health check | 000    | not reached |
      | a health check | 503    | reached     |
      | a store read   | 600    | unavailable |
      | a store write  | 600    | unavailable |

  Scenario: A response without a length ends with its connection
    Given a server whose response has no length
    When one request is sent
    Then it gets the whole response

  Scenario: A request to a server that refuses connections was not sent
    Given a server that refuses connections
    When one request is sent
    Then it fails and no byte counts as sent

  Scenario Outline: A target that sends <what> without end is cut off
    Given a server that sends <what> without end
    When one request is sent
    Then it fails and its bytes count as sent
    And the server has noticed that its connection was closed
    And it could send at most 16 MB

    Examples:
      | what                       |
      | a head line                |
      | head lines                 |
      | interim responses          |
      | the size line of a chunk   |
      | trailer lines              |

  Scenario Outline: A target that sends <what> without end after a response is cut off
    Given a server that never stops sending <what> after its response
    When one request is sent, and 2 seconds later one to another server
    Then the server has noticed that its connection was closed

    Examples:
      | what        |
      | a head line |
      | head lines  |
