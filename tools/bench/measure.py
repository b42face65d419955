"""Measurement of processor time and memory, and formatting of tables."""

import resource
import subprocess  # noqa: S404
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

# The number of repetitions is doubled until a measurement takes this long.
_MIN_MEASUREMENT_SECONDS = 0.1
_MICROSECONDS_PER_SECOND = 1_000_000
_BYTES_PER_MEGABYTE = 1_000_000
_SUBPROCESS_TIMEOUT_SECONDS = 120


@dataclass(frozen=True, slots=True)
class Row:
    """Measured cost of one operation at one size.

    :param subject: measured operation or object.
    :param against: what the size counts, such as adapters.
    :param size: number of those.
    :param microseconds: processor time of one operation; 0 if not measured.
    :param message_bytes: size of one encoded message; 0 if not measured.
    :param megabytes: memory of the subject; 0 if not measured.
    """

    subject: str
    against: str
    size: int
    microseconds: float = 0
    message_bytes: int = 0
    megabytes: float = 0


def processor_microseconds(call: Callable[[], object]) -> float:
    """Return the processor time of one call in microseconds.

    Uses the shortest of three measurements: other processes on a busy machine
    can only lengthen a measurement, through shared caches and clock rates.

    :param call: measured function, called repeatedly without arguments.
    """
    repetitions = 1
    spent = _measure_processor_seconds(call, repetitions)
    while spent < _MIN_MEASUREMENT_SECONDS:
        repetitions *= 2
        spent = _measure_processor_seconds(call, repetitions)
    shortest = min(
        spent,
        _measure_processor_seconds(call, repetitions),
        _measure_processor_seconds(call, repetitions),
    )
    return shortest / repetitions * _MICROSECONDS_PER_SECOND


def resident_megabytes() -> float:
    """Return the resident set size of this process in megabytes."""
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * resource.getpagesize() / _BYTES_PER_MEGABYTE


def run_in_subprocess(module: str, *arguments: str) -> str:
    """Run a module in a new interpreter and return its standard output.

    :param module: dotted name of the module.
    :param arguments: command-line arguments.
    """
    completed = subprocess.run(  # noqa: S603
        [sys.executable, '-m', module, *arguments],
        capture_output=True,
        text=True,
        timeout=_SUBPROCESS_TIMEOUT_SECONDS,
        check=True,
    )
    return completed.stdout.strip()


def format_table(
    header: Sequence[str],
    rows: Sequence[Sequence[str]],
) -> str:
    """Return a Markdown table.

    :param header: column names.
    :param rows: cells of each row.
    """
    lines = [header, ['---' for _ in header], *rows]
    return '\n'.join(_format_row(cells) for cells in lines)


def _format_row(cells: Sequence[str]) -> str:
    joined = ' | '.join(cells)
    return f'| {joined} |'


def _measure_processor_seconds(
    call: Callable[[], object], repetitions: int
) -> float:
    start = time.process_time()
    for _ in range(repetitions):
        call()
    return time.process_time() - start
