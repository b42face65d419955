Feature: Answers of targets that have no length
  Guards against passing on an answer as complete that its target has broken off
  (P8): an answer without a length or chunks ends with its connection, also when
  the target crashes, in a stream in the middle of an event.

  Scenario Outline: A stream without a length ends <end>, on <path>
    Given an engine whose stream without a length ends <end>
    When a caller asks for a stream at <path>
    Then its response is <response> with the events <events>
    And the engine got <count> requests

    Examples:
      | end                      | path     | response | events | count |
      | after its last event     | /chat/   | complete | 1 2    | 1     |
      | inside its second event  | /chat/   | complete | 1 2    | 2     |
      | inside its first event   | /chat/   | complete | 1 2    | 2     |
      | before its first event   | /chat/   | complete | 1 2    | 2     |
      | inside its second event  | /report/ | broken   | 1      | 1     |
      | with a reset             | /chat/   | complete | 1 2    | 2     |
      | after its last event     | /report/ | complete | 1 2    | 1     |

  # A process that ends has its connections closed in an orderly way, so only
  # the refusal of new ones tells its end from the end of the answer.
  Scenario Outline: An engine <fate> after event 1, on <path>
    Given an engine that <fate> after event 1 of a stream without a length
    When a caller asks for a stream at <path>
    Then its response is <response> with the events 1

    Examples:
      | fate          | path     | response |
      | crashes       | /chat/   | broken   |
      | crashes       | /report/ | broken   |
      | has ended it  | /chat/   | complete |
      | has ended it  | /report/ | complete |

  Scenario Outline: An engine <fate> in an answer without a length, on <path>
    Given an engine that <fate> in the body of an answer without a length
    When a caller asks for an answer at <path>
    Then the outcome is <outcome>

    Examples:
      | fate          | path     | outcome          |
      | crashes       | /order/  | target_failed    |
      | crashes       | /stock/  | target_failed    |
      | has ended it  | /order/  | the whole answer |
      | has ended it  | /stock/  | the whole answer |

  Scenario Outline: A begun stream is answered with <answer> where it goes on
    Given an engine whose stream breaks off, and which then answers with <answer>
    When a caller asks for a stream at /chat/
    Then its response is broken with the events 1
    And the caller has got nothing of the later answer

    Examples:
      | answer                 |
      | 500 and a text         |
      | 503 and a text         |
      | 404 and a text         |
      | 400 and not run        |
      | 200 and a text         |
      | a head that is no HTTP |
      | 600 and a text         |
      | 000 and a text         |
      | 20 and a text          |
      | -200 and a text        |

  Scenario Outline: An engine answers with the status <status>, on <path>
    Given an engine whose first answer has the status <status>
    When a caller asks for an answer at <path>
    Then the outcome is <outcome>
    And the engine got <count> requests

    Examples:
      | status | path     | outcome          | count |
      | 600    | /order/  | target_failed    | 1     |
      | 600    | /stock/  | the whole answer | 2     |
      | 600    | /report/ | target_failed    | 1     |
      | 999    | /order/  | target_failed    | 1     |
      | 000    | /order/  | target_failed    | 1     |
      | 000    | /stock/  | the whole answer | 2     |
      | 199    | /order/  | target_failed    | 1     |

  # Only the head says that it has not run, and that is no head.
  Scenario: An order is not sent again after the status 600 with "not run"
    Given an engine whose first answer has the status 600 and says "not run"
    When a caller asks for an answer at /order/
    Then the outcome is target_failed
    And the engine got 1 requests

  # A target may ignore the event after which it is asked to go on.
  Scenario Outline: An engine sends the events <first>, breaks off, then sends <later>
    Given an engine that sends the events <first> and then, asked again, <later>
    When a caller that has the events up to <known> asks for a stream at /chat/
    Then its response is <response> with the events <events>

    Examples:
      | first | later | known | response | events |
      | 1 2   | 3 4   | none  | complete | 1 2 3 4 |
      | 1 2   | 5 9   | none  | complete | 1 2 5 9 |
      | 1 2   | 1 2 3 | none  | broken   | 1 2    |
      | 1 2   | 2 3   | none  | broken   | 1 2    |
      | 1 2   | 4 3   | none  | broken   | 1 2    |
      | 1 1   | 2 3   | none  | complete | 2 3    |
      | 8 9   | 10    | 7     | complete | 8 9 10 |
      | 1 2   | 8 9   | 7     | complete | 8 9    |
      | 1 2   | 7 8   | 7     | broken   | none   |
      | b a   | c     | none  | complete | b a c  |

  # Events count as received only once they have been written to the caller.
  Scenario Outline: A stream is given up <when> while the next events come in
    Given an engine that sends <first>, then whole events before a long one
    And at most 1000 bytes of unfinished answers are kept
    When a caller asks for a stream at /chat/
    Then the second request goes on <from>
    And its response is complete with the events 1 2

    Examples:
      | when                    | first   | from           |
      | before its first event  | nothing | from the start |
      | after its first event   | event 1 | after event 1  |

  Scenario Outline: A refusal is written once more on its connection: <kept>
    Given a target that refuses a request, then runs it and writes <kept> again
    When a caller asks for an answer at /order/
    Then the target has run the request <runs> times
    And the caller gets <outcome>

    Examples:
      | kept        | runs | outcome |
      | the refusal | 1    | 200     |

  Scenario Outline: An answer without a length ends <end>, on <path>
    Given an engine whose answer without a length ends <end>
    When a caller asks for an answer at <path>
    Then the outcome is <outcome>
    And the engine got <count> requests

    Examples:
      | end          | path     | outcome          | count |
      | as a whole   | /order/  | the whole answer | 1     |
      | as a whole   | /stock/  | the whole answer | 1     |
      | with a reset | /order/  | target_failed    | 1     |
      | with a reset | /stock/  | the whole answer | 2     |

  Scenario Outline: An engine stops <where>, with <framing>, on <path>
    Given an engine that stops <where> of an answer with <framing>, and <ends>
    When a caller asks for an answer at <path>
    Then no answer is framed as whole unless it is
    And the outcome is <outcome>
    And the engine got <count> requests

    Examples: in the head
      | where               | framing   | ends   | path     | outcome          | count |
      | inside a head line  | a length  | closes | /order/  | target_failed    | 1     |
      | after a head line   | a length  | closes | /order/  | target_failed    | 1     |
      | after a head line   | chunks    | closes | /order/  | target_failed    | 1     |
      | after a head line   | no length | closes | /order/  | target_failed    | 1     |
      | after a head line   | no length | resets | /order/  | target_failed    | 1     |
      | after a head line   | a length  | closes | /stock/  | the whole answer | 2     |
      | after a head line   | no length | closes | /stock/  | the whole answer | 2     |
      | after a head line   | no length | closes | /report/ | target_failed    | 1     |

    Examples: after the head, before the body
      | where               | framing   | ends   | path     | outcome          | count |
      | after the head      | a length  | closes | /order/  | target_failed    | 1     |
      | after the head      | a length  | resets | /order/  | target_failed    | 1     |
      | after the head      | chunks    | closes | /order/  | target_failed    | 1     |
      | after the head      | no length | closes | /order/  | target_failed    | 1     |
      | after the head      | no length | resets | /order/  | target_failed    | 1     |
      | after the head      | a length  | closes | /stock/  | the whole answer | 2     |
      | after the head      | chunks    | closes | /stock/  | the whole answer | 2     |
      | after the head      | no length | closes | /stock/  | the whole answer | 2     |
      | after the head      | a length  | closes | /report/ | target_failed    | 1     |
      | after the head      | chunks    | closes | /report/ | target_failed    | 1     |
      | after the head      | no length | closes | /report/ | target_failed    | 1     |

    Examples: inside the body
      | where               | framing   | ends   | path     | outcome          | count |
      | inside the body     | a length  | closes | /order/  | target_failed    | 1     |
      | inside the body     | chunks    | closes | /order/  | target_failed    | 1     |
      | inside the body     | a length  | closes | /stock/  | the whole answer | 2     |
      | inside the body     | chunks    | resets | /stock/  | the whole answer | 2     |

  # The request's deadline is 5 seconds away.
  Scenario Outline: An engine sends <what> every <pause> s, on <path>
    Given an engine that sends <what> every <pause> seconds
    When a caller asks for a stream at <path>
    Then its response is <response> with the events <events>
    And it has ended within <seconds> seconds

    Examples:
      | what                  | pause | path     | response | events  | seconds |
      | one of 4 events       | 0.9   | /chat/   | complete | 1 2 3 4 | 5       |
      | one of 4 events       | 0.9   | /report/ | complete | 1 2 3 4 | 5       |
      | a byte without an end | 0.3   | /chat/   | broken   | 1       | 6       |
      | a byte without an end | 0.3   | /report/ | broken   | 1       | 6       |
      | comments without end  | 0.3   | /report/ | broken   | 1       | 6       |

  # The leader adds replicas where requests are late or pause; /chat/ allows one
  # second until the first event and half a second between two.
  Scenario Outline: A stream with an event every <pause> s counts for its model
    Given an engine that sends one of 4 events every <pause> seconds
    And the request names the model a and came <wait> seconds ago
    When a caller asks for a stream at /chat/
    Then <late> request of a is late and <paused> has paused

    Examples:
      | pause | wait | late | paused |
      | 0.9   | 0    | 0    | 1      |
      | 0.2   | 1.1  | 1    | 0      |
      | 0.2   | 0    | 0    | 0      |

  # Otherwise the instance would send a caller that takes the stream up to the
  # software version of its own first send.
  Scenario Outline: A stream that is passed on after a send to a target is <state> here
    Given an engine whose stream without a length ends before its first event
    And the second target of a request is <second>
    When a caller asks for a stream at /chat/
    Then the instance <knows> what began the stream

    Examples:
      | state    | second                             | knows        |
      | unknown  | reached only from another instance | does not say |
      | recorded | the first one                      | says         |
