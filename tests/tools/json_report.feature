Feature: The report of a test run
  Guards against a failed scenario whose cause is not reported: the JSON report
  of behave drops the traceback of a step that raised an exception. Also guards
  against an outline row that is listed in KNOWN-RED.txt and still fails the
  run, because behave appends a space to its name.

  Scenario: The report keeps the traceback of a step that raised
    When behave runs a feature whose step raises a RuntimeError
    Then the run reports the failed step and its traceback

  Scenario: An outline row is reported by the name in KNOWN-RED.txt
    When behave runs a feature whose step raises a RuntimeError
    Then the run reports a scenario named "It raises in a row -- @1.1"
