"""Runs the behave features and prints a summary line that CI can parse.

Scenarios named in KNOWN-RED.txt may fail; every other failure fails the run.
"""

import json
import subprocess  # noqa: S404
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

_KNOWN_RED_FILE = Path('KNOWN-RED.txt')
_FEATURE_PATTERN = '*.feature'
# Features that start processes need several cores each.
_MAX_PARALLEL_FEATURES = 4
# Crowds of callers bound the memory of a process and load the machine, so their
# features run alone, after the others.
_LONE_FEATURES = frozenset(
    (
        'tests/platform/caller_crowds.feature',
        'tests/transport/serve_crowds.feature',
    )
)


@dataclass(frozen=True, slots=True)
class BehaveRun:
    """Result of one run of behave.

    :param arguments: paths or options that behave was called with.
    :param exit_code: exit code of behave.
    :param statuses: name and status of each scenario.
    :param failures: descriptions of the failed steps with tracebacks.
    """

    arguments: list[str]
    exit_code: int
    statuses: tuple[tuple[str, str], ...]
    failures: tuple[str, ...] = ()

    def is_broken(self) -> bool:
        """Return whether the run failed without a failed scenario.

        The cause is an undefined step or a failing hook.
        """
        outcomes = {_normalise_status(status) for _, status in self.statuses}
        return self.exit_code != 0 and 'failed' not in outcomes


def read_known_red(path: Path) -> set[str]:
    """Return the names of the scenarios that are known to fail.

    :param path: file with a ``test: NAME`` line for each scenario.
    """
    if not path.exists():
        return set()
    return {
        line.removeprefix('test:').strip()
        for line in path.read_text().splitlines()
        if line.startswith('test:')
    }


def read_scenarios(report: Path) -> Iterator[tuple[str, str]]:
    """Yield the name and status of each scenario in a behave report.

    :param report: file written by behave's JSON formatter.
    """
    for feature in json.loads(report.read_text() or '[]'):
        for element in feature.get('elements', ()):
            if element['type'] == 'scenario':
                # behave appends a space to the name of an outline's row.
                yield element['name'].strip(), element['status']


def read_failures(report: Path) -> Iterator[str]:
    """Yield a description of each failed step in a behave report.

    :param report: file written by behave's JSON formatter.
    """
    for feature in json.loads(report.read_text() or '[]'):
        for element in feature.get('elements', ()):
            for step in element.get('steps', ()):
                yield from _describe_failure(element['name'], step)


def main(arguments: list[str]) -> int:
    """Run the features and return the exit code of the run.

    :param arguments: paths or options of behave; the default is every
        feature, several in parallel.
    """
    known_red = read_known_red(_KNOWN_RED_FILE)
    runs = [run_behave(arguments)] if arguments else _run_all()
    statuses = [status for run in runs for status in run.statuses]
    counts = Counter(_normalise_status(status) for _, status in statuses)
    failed = [
        name
        for name, status in statuses
        if _normalise_status(status) == 'failed'
    ]
    unexpected = [name for name in failed if name not in known_red]
    for scenario in failed:
        label = 'failed' if scenario in unexpected else 'known red'
        print(f'{label}: {scenario}')
    broken = [run.arguments for run in runs if run.is_broken()]
    if broken:
        print(f'broken: {broken}')
    print(_summary_line(counts))
    return 1 if unexpected or broken or not counts['passed'] else 0


def _run_all() -> list[BehaveRun]:
    paths = [
        path.as_posix()
        for path in sorted(Path('tests').rglob(_FEATURE_PATTERN))
    ]
    beside_others = [[path] for path in paths if path not in _LONE_FEATURES]
    with ThreadPoolExecutor(_MAX_PARALLEL_FEATURES) as workers:
        runs = list(workers.map(run_behave, beside_others))
    alone = [[path] for path in paths if path in _LONE_FEATURES]
    return [*runs, *map(run_behave, alone)]


def run_behave(arguments: list[str]) -> BehaveRun:
    """Run behave in a separate process and print its output.

    :param arguments: paths or options of behave.
    """
    with tempfile.TemporaryDirectory() as directory:
        report = Path(directory) / 'report.json'
        completed = subprocess.run(  # noqa: S603
            [
                sys.executable,
                '-m',
                'behave',
                '--format=progress',
                '--format=tools.json_report:TracebackJSONFormatter',
                '--outfile=/dev/stdout',
                f'--outfile={report}',
                '--no-snippets',
                *arguments,
            ],
            capture_output=True,
            text=True,
            check=False,
        )
        statuses = tuple(read_scenarios(report)) if report.exists() else ()
        failures = tuple(read_failures(report)) if report.exists() else ()
    run = BehaveRun(arguments, completed.returncode, statuses, failures)
    failed = completed.returncode != 0
    print(completed.stdout if failed else _progress_lines(completed.stdout))
    if failed:
        print(completed.stderr)
        print('\n'.join(failures))
    sys.stdout.flush()
    return run


def _describe_failure(
    scenario: str,
    step: Mapping[str, Any],
) -> Iterator[str]:
    outcome = step.get('result', {})
    if outcome.get('status') not in {'failed', 'error', 'undefined'}:
        return
    message = outcome.get('error_message', '')
    if not isinstance(message, str):
        message = '\n'.join(message)
    yield f'{scenario}: {step["name"]}: {outcome["status"]}\n{message}'


def _progress_lines(output: str) -> str:
    lines = [line for line in output.splitlines() if line.startswith('tests')]
    return '\n'.join(lines)


def _summary_line(counts: Counter[str]) -> str:
    summary = f'{counts["passed"]} passed, {counts["failed"]} failed'
    if counts['skipped']:
        summary = f'{summary}, {counts["skipped"]} skipped'
    return summary


def _normalise_status(status: str) -> str:
    return status if status in {'passed', 'skipped'} else 'failed'


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
