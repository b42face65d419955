"""Steps for the operator commands."""

import contextlib
import io
import sys
from concurrent.futures import ThreadPoolExecutor
from subprocess import CompletedProcess
from unittest import mock

from behave import given, then, when

from cowsliprack import cli
from tests.steps.questionnaire_steps import SAMPLE
from tools.processes import ProcessGroup

_SAMPLE = SAMPLE.replace('DIGEST1', 'a1' * 32).replace('DIGEST2', 'b2' * 32)


def _change_sample(change):
    if change == 'no text':
        return ''
    if change == 'zones':
        return _SAMPLE.replace('zones: [a, b]\n', '')
    if change == 'an outage':
        return _SAMPLE.replace('rate: 100', 'rate: 7')
    return _SAMPLE.replace('rate: 100', change)


def _arguments(context, command):
    arguments = command.split()
    has_store = any(part.startswith('--store-url') for part in arguments)
    if arguments[0] in {'diff', 'apply', 'show'} and not has_store:
        arguments.append(f'--store-url={context.platform.url}')
    return arguments


def _run_command(context, command, text):
    """Run a command in this process, which is faster than a new process."""
    arguments = _arguments(context, command)
    out, err = io.StringIO(), io.StringIO()
    code = 0
    with (
        mock.patch.object(sys, 'argv', ['cowsliprack', *arguments]),
        mock.patch.object(sys, 'stdin', io.StringIO(text)),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        try:
            cli.main()
        except SystemExit as system_exit:
            code = system_exit.code
    return CompletedProcess(arguments, code, out.getvalue(), err.getvalue())


@given('a platform with the sample questionnaire applied')
def given_platform(context):
    context.processes = ProcessGroup()
    context.add_cleanup(context.processes.close)
    context.platform = context.processes.start_platform()
    applied = _run_command(context, 'apply -', _SAMPLE)
    assert applied.returncode == 0, applied


@given('the next 2 writes take effect without an answer')
def given_lost(context):
    context.platform.control(lost_answers=2)


@when('the command {command} gets the sample with {change}')
def when_command(context, command, change):
    context.platform.control(outage=change == 'an outage')
    context.result = _run_command(context, command, _change_sample(change))
    context.platform.control(outage=False)


@when('the command digest gets the key "{key}"')
def when_digest(context, key):
    context.result = _run_command(context, 'digest', f'{key}\n')


@then('it exits with code 2, an error line with "{text}" and no traceback')
def then_exit(context, text):
    result = context.result
    assert result.returncode == 2, result
    assert text in result.stderr, result
    lines = result.stderr.splitlines()
    assert all(line.startswith('error: ') for line in lines), result
    assert not result.stdout, result


@then('generation 1 is shown')
def then_shown(context):
    shown = _run_command(context, 'show', '')
    assert shown.stdout.startswith('generation: 1\n'), shown


@then('it prints "{line}"')
def then_prints(context, line):
    result = context.result
    assert result.returncode == 0, result
    assert result.stdout.splitlines() == [line], result


@when('4 operators apply different changes at the same time')
def when_concurrent(context):
    def apply(number):
        return context.processes.run_command(
            *_arguments(context, 'apply -'),
            text=_change_sample(f'rate: {number}'),
        )

    with ThreadPoolExecutor(4) as pool:
        context.results = list(pool.map(apply, range(1, 5)))


@then('each command either created a generation or reported the conflict')
def then_one_outcome_each(context):
    generations = []
    for result in context.results:
        if result.returncode == 0:
            generations.append(result.stdout.split()[1])
        else:
            assert result.returncode == 2, result
            assert 'another change came first' in result.stderr, result
    assert len(generations) == len(set(generations)) > 0, generations
    shown = _run_command(context, 'show', '')
    assert shown.stdout.startswith(f'generation: {max(generations)}\n')
