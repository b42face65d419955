"""Runs the behave features and prints a closing line that CI can read.

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

_KNOWN_RED = Path('KNOWN-RED.txt')
_PATTERN = '*.feature'
# Features that run at a time; those with real processes need several cores.
_WORKERS = 4


@dataclass(frozen=True, slots=True)
class Run:
    """What one run of behave reported.

    :param statuses: name and status of each scenario.
    :param failures: steps that failed, with their tracebacks.
    """

    arguments: list[str]
    exit_code: int
    statuses: tuple[tuple[str, str], ...]
    failures: tuple[str, ...] = ()

    def is_broken(self) -> bool:
        """Return whether the run failed without a failed scenario."""
        outcomes = {_outcome(status) for _, status in self.statuses}
        return self.exit_code != 0 and 'failed' not in outcomes


def read_known_red(path: Path) -> set[str]:
    """Return the scenario names listed in a file.

    :param path: file with ``test: NAME`` lines among others.
    """
    if not path.exists():
        return set()
    return {
        line.removeprefix('test:').strip()
        for line in path.read_text().splitlines()
        if line.startswith('test:')
    }


def read_scenarios(report: Path) -> Iterator[tuple[str, str]]:
    """Yield name and status of each scenario of a behave report.

    :param report: file written by behave's JSON formatter.
    """
    for feature in json.loads(report.read_text() or '[]'):
        for element in feature.get('elements', ()):
            if element['type'] == 'scenario':
                # behave ends the name of an outline's row with a space.
                yield element['name'].strip(), element['status']


def read_failures(report: Path) -> Iterator[str]:
    """Yield each failed step of a behave report with its traceback.

    :param report: file written by behave's JSON formatter.
    """
    for feature in json.loads(report.read_text() or '[]'):
        for element in feature.get('elements', ()):
            for step in element.get('steps', ()):
                yield from _describe_failure(element['name'], step)


def main(arguments: list[str]) -> int:
    """Run the features and return the exit code of the run.

    :param arguments: paths or options of behave; default is every feature,
        several at a time.
    """
    known_red = read_known_red(_KNOWN_RED)
    features = [[str(path)] for path in sorted(Path('tests').rglob(_PATTERN))]
    with ThreadPoolExecutor(_WORKERS) as workers:
        runs = list(
            workers.map(run_behave, [arguments] if arguments else features)
        )
    statuses = [status for run in runs for status in run.statuses]
    counts = Counter(_outcome(status) for _, status in statuses)
    failed = [name for name, status in statuses if _outcome(status) == 'failed']
    unexpected = [name for name in failed if name not in known_red]
    for scenario in failed:
        label = 'failed' if scenario in unexpected else 'known red'
        print(f'{label}: {scenario}')
    # A run that failed without a failed scenario has an undefined step or a
    # failing hook.
    broken = [run.arguments for run in runs if run.is_broken()]
    if broken:
        print(f'broken: {broken}')
    print(_closing_line(counts))
    return 1 if unexpected or broken or not counts['passed'] else 0


def run_behave(arguments: list[str]) -> Run:
    """Run behave in a process of its own.

    :param arguments: paths or options.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / 'report.json'
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
    run = Run(arguments, completed.returncode, statuses, failures)
    failed = completed.returncode != 0
    print(completed.stdout if failed else _first_line(completed.stdout))
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


def _first_line(output: str) -> str:
    lines = [line for line in output.splitlines() if line.startswith('tests')]
    return '\n'.join(lines)


def _closing_line(counts: Counter[str]) -> str:
    closing = f'{counts["passed"]} passed, {counts["failed"]} failed'
    if counts['skipped']:
        closing = f'{closing}, {counts["skipped"]} skipped'
    return closing


def _outcome(status: str) -> str:
    return status if status in {'passed', 'skipped'} else 'failed'


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
