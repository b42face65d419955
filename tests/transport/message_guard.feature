Feature: Errors in the handling of single messages
  Guards against one malformed message, or an unexpected error in its handling,
  that ends a process with all its requests.

  Scenario Outline: A message whose handling fails, received by <receiver>
    Given <receiver> that receives three messages, of which the second fails with <error>
    When it has received them
    Then the first and the third have been handled
    And it still receives
    And the log names the sender and the error

    Examples:
      | receiver                     | error           |
      | the peers of a gateway       | a refusal       |
      | the peers of a gateway       | a type error    |
      | the mesh of a zone           | a refusal       |
      | the mesh of a zone           | a type error    |
      | the reader of the store      | a type error    |

  Scenario: A flood of failing messages
    Given the peers of a gateway that receives three messages, of which the second fails with a type error
    When it has received 500 failing messages
    Then the log has at most 2 lines on them
