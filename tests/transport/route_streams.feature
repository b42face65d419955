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
