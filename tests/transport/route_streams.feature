Feature: Streams of engines that have no length
  Guards against passing on a stream as complete that its engine has broken off
  (P8): a stream without a length or chunks ends with its connection, also when
  the engine crashes in the middle of an event.

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
