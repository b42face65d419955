"""Steps for the JSON report of a test run."""

import tempfile
from pathlib import Path

from behave import then, when

from tools.run_features import run_behave

_RAISING_FEATURE = """Feature: A step that raises
  Scenario: It raises
    When a step raises

  Scenario Outline: It raises in a row
    When <what> raises

    Examples:
      | what   |
      | a step |
"""
_RAISING_STEPS = """from behave import when


@when('a step raises')
def when_raises(context):
    raise RuntimeError('no reading')
"""


@when('behave runs a feature whose step raises a RuntimeError')
def when_run(context):
    with tempfile.TemporaryDirectory() as directory:
        Path(directory, 'raises.feature').write_text(_RAISING_FEATURE)
        steps = Path(directory, 'steps')
        steps.mkdir()
        (steps / 'raising_steps.py').write_text(_RAISING_STEPS)
        context.run = run_behave([directory])


@then('the run reports the failed step and its traceback')
def then_failure_reported(context):
    failure, _ = context.run.failures
    assert 'It raises: a step raises: error' in failure, failure
    assert 'RuntimeError: no reading' in failure, failure


@then('the run reports a scenario named "{name}"')
def then_scenario_reported(context, name):
    assert name in [scenario for scenario, _ in context.run.statuses]
