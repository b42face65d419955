Feature: Connections that are inspected before each reuse
  Guards against bytes of one answer that reach another request, and against a
  request that may not be repeated on a connection that is already dead (P8,
  P10).

  Scenario Outline: A second request after <what> gets its own answer
    Given a server that answers and then <what>
    When two requests are sent one after the other
    Then each gets its own answer
    And <connections> connections were opened

    Examples:
      | what                         | connections |
      | keeps the connection         | 1           |
      | sends a second answer        | 2           |
      | sends bytes without sense    | 2           |
      | closes the connection        | 2           |
      | asks to close the connection | 2           |
      | states an idle time of 0 s   | 2           |

  Scenario Outline: An answer that <fault> is an error
    Given a server whose answer <fault>
    When one request is sent
    Then it fails and its bytes count as sent

    Examples:
      | fault                      |
      | ends before its length     |
      | ends in the middle of a chunk |
      | is no answer               |
      | never begins               |

  Scenario: An answer without a length ends with its connection
    Given a server whose answer has no length
    When one request is sent
    Then it gets the whole answer

  Scenario: A server that refuses connections has not got the request
    Given a server that refuses connections
    When one request is sent
    Then it fails and no byte counts as sent
