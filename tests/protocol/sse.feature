Feature: Parsing of event streams
  Guards against a stream that is truncated, has duplicated or late chunks or
  belongs to another request, and that a caller mistakes for the complete
  response to its request (P8).

  # Events: A1 is chunk 1 of request A, "A-" a chunk without a number, END the
  # end marker, ERR an error, RAW:text a raw line, CUT:text an incomplete line.
  Scenario Outline: <case>
    When the target of request A streams "<stream>"
    Then the caller receives "<relayed>" and the stream is "<state>"

    Examples:
      | case                                     | stream              | relayed | state    |
      | a complete stream                        | A1 A2 END           | A1 A2   | complete |
      | a complete stream numbered from 0        | A0 A1 END           | A0 A1   | complete |
      | a stream without numbers                 | A- A- END           | A- A-   | complete |
      | comments are skipped                     | RAW:: A1 END        | A1      | complete |
      | an empty stream                          |                     |         | broken   |
      | truncated before the end marker          | A1 A2               | A1 A2   | broken   |
      | truncated within the end marker          | A1 CUT:data:[DO     | A1      | broken   |
      | truncated before the marker's empty line | A1 CUT:data:[DONE]  | A1      | broken   |
      | a stream of another request              | B1 B2 END           |         | broken   |
      | a chunk of another request               | A1 B2 END           | A1      | broken   |
      | a chunk without an id                    | RAW:data:{} END     |         | broken   |
      | a duplicated chunk                       | A1 A1 A2 A1 END     | A1 A2   | complete |
      | a missing chunk                          | A1 A3 END           | A1      | broken   |
      | missing chunks at the start              | A4 A5 END           |         | broken   |
      | late chunks after the end                | A1 END A2           | A1      | broken   |
      | a second end marker                      | A1 END END          | A1      | broken   |
      | another response after the end           | A1 END B1 END       | A1      | broken   |
      | an error instead of the end              | A1 ERR              | A1 ERR  | broken   |
      | a chunk that is not JSON                 | A1 RAW:data:x END   | A1      | broken   |
      | an HTTP head within the stream           | A1 RAW:HTTP/1.1 END | A1      | broken   |

  Scenario: A resumed stream continues after the last relayed event
    When the target of request A resumes after 2 with "A1 A2 A3 A4 END"
    Then the caller receives "A3 A4" and the stream is "complete"

  Scenario: An event above the size limit is rejected
    When the target of request A streams an event of 2000000 bytes
    Then the caller receives "" and the stream is "broken"

  Scenario: An error event ends a stream without the end marker
    Then the error event of "stream_broken" contains "may have run" and no end marker
