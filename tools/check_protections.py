"""Removes each listed protection and checks that its feature then fails.

A feature that still passes without the protection it covers does not test it.
The list is in ``tests/protections.yaml``; each entry names a file, a fragment
of its code, the replacement for the fragment, and the feature that must fail.
"""

import os
import shutil
import subprocess  # noqa: S404
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import yaml

_PROTECTIONS_FILE = Path('tests/protections.yaml')
_COPIED_PATHS = ('cowsliprack', 'tests', 'tools', 'examples', 'KNOWN-RED.txt')
_MAX_PARALLEL_CHECKS = 3


@dataclass(frozen=True, slots=True)
class Protection:
    """A code fragment that a guarantee of the project depends on.

    :param promise: numbers of the guarantees, for example ``P1``.
    :param removes: description of the protection that is removed.
    :param file: path of the source file.
    :param code: fragment that occurs exactly once in the file.
    :param instead: replacement for the fragment.
    :param feature: path of the feature that must fail.
    """

    promise: str
    removes: str
    file: str
    code: str
    instead: str
    feature: str


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Outcome of the feature without the protection.

    :param detected: whether a scenario failed.
    :param detail: last line of the run, or why it was not started.
    """

    protection: Protection
    detected: bool
    detail: str


def check(protection: Protection) -> CheckResult:
    """Run a feature on a copy of the source tree without its protection.

    :param protection: protection to remove.
    """
    with tempfile.TemporaryDirectory() as directory:
        for name in _COPIED_PATHS:
            _copy_path(Path(name), Path(directory) / name)
        path = Path(directory) / protection.file
        source = path.read_text()
        if source.count(protection.code) != 1:
            return CheckResult(
                protection, False, 'its code does not occur exactly once'
            )
        path.write_text(source.replace(protection.code, protection.instead))
        completed = subprocess.run(  # noqa: S603
            [sys.executable, '-m', 'tools.run_features', protection.feature],
            cwd=directory,
            env={**os.environ, 'PYTHONPATH': directory},
            capture_output=True,
            text=True,
            check=False,
        )
    lines = completed.stdout.splitlines() or ['no output']
    failed = [line for line in lines if line.startswith('failed: ')]
    return CheckResult(protection, bool(failed), lines[-1])


def main(arguments: list[str]) -> int:
    """Check the listed protections and return the exit code.

    :param arguments: optionally a part of the feature paths to check; the
        default is every feature.
    """
    path_filter = arguments[0] if arguments else ''
    protections = [
        Protection(**entry)
        for entry in yaml.safe_load(_PROTECTIONS_FILE.read_text())
        if path_filter in entry['feature']
    ]
    with ThreadPoolExecutor(_MAX_PARALLEL_CHECKS) as workers:
        results = list(workers.map(check, protections))
    _print_results(results)
    missed_count = sum(not result.detected for result in results)
    print(f'{len(results)} protections removed, {missed_count} not noticed')
    return 1 if missed_count else 0


def _print_results(results: list[CheckResult]) -> None:
    for result in results:
        verdict = 'noticed' if result.detected else 'NOT NOTICED'
        entry = result.protection
        print(f'{entry.promise:8} {verdict:12} {entry.removes}')
        print(f'{"":21} {entry.feature}: {result.detail}')


def _copy_path(source: Path, destination: Path) -> None:
    if source.is_dir():
        shutil.copytree(
            source,
            destination,
            ignore=shutil.ignore_patterns('__pycache__'),
        )
    elif source.exists():
        shutil.copy(source, destination)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
