Feature: The report of a test run
  Guards against a red scenario whose cause cannot be read: behave's own JSON
  report drops the traceback of a step that raised.

  Scenario: A step that raised keeps its traceback
    When behave runs a feature whose step raises a RuntimeError
    Then the runner shows the step and the traceback
