Feature: The report of a test run
  Guards against a red scenario whose cause cannot be read: behave's own JSON
  report drops the traceback of a step that raised; and against a row of an
  outline that is listed as known red and yet fails the run.

  Scenario: A step that raised keeps its traceback
    When behave runs a feature whose step raises a RuntimeError
    Then the runner shows the step and the traceback

  Scenario: A row of an outline has the name by which it is listed
    When behave runs a feature whose step raises a RuntimeError
    Then a scenario of the run is named "It raises in a row -- @1.1"
