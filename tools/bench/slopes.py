"""Measures the cost of the control plane and how it grows with size.

``python -m tools.bench.slopes`` prints processor time, bytes and memory at
three sizes each. The sizes are fixed; the times depend on the machine.
"""

import platform

from tools.bench.measure import Row, format_table, run_in_subprocess
from tools.bench.slopes_configuration import configuration_rows
from tools.bench.slopes_decisions import decision_rows
from tools.bench.slopes_gateway import gateway_rows
from tools.bench.slopes_messages import message_rows

_HEADER = (
    'operation',
    'against',
    'size',
    'processor µs',
    'bytes',
    'MB',
)
_MEMORY_MODULE = 'tools.bench.memory'
_ADAPTER_COUNTS = (6000, 18_000, 54_000)
_TARGET_COUNTS = (250, 833, 2500)


def memory_rows() -> list[Row]:
    """Return the memory growth of a fresh process for each subject."""
    rows = [
        _memory_row('interpreter', 'nothing', 0),
        _memory_row('libraries', 'import only', 0),
    ]
    rows.extend(
        _memory_row('configuration', 'adapters', count)
        for count in _ADAPTER_COUNTS
    )
    rows.extend(
        _memory_row('relay', 'adapters, with shards for peers', count)
        for count in _ADAPTER_COUNTS
    )
    rows.extend(
        _memory_row('fleet', 'targets, 4 replicas each', count)
        for count in _TARGET_COUNTS
    )
    return rows


def _memory_row(subject: str, against: str, size: int) -> Row:
    megabytes = float(run_in_subprocess(_MEMORY_MODULE, subject, str(size)))
    return Row(f'memory: {subject}', against, size, megabytes=megabytes)


def main() -> None:
    """Print one table of all measurements."""
    rows = [
        *message_rows(),
        *decision_rows(),
        *configuration_rows(),
        *gateway_rows(),
        *memory_rows(),
    ]
    print(f'Python {platform.python_version()}, {platform.machine()}')
    print(format_table(_HEADER, [_cells(row) for row in rows]))


def _cells(row: Row) -> list[str]:
    microseconds = f'{row.microseconds:.1f}' if row.microseconds else ''
    message_bytes = f'{row.message_bytes}' if row.message_bytes else ''
    megabytes = f'{row.megabytes:.1f}' if row.megabytes else ''
    return [
        row.subject,
        row.against,
        f'{row.size}',
        microseconds,
        message_bytes,
        megabytes,
    ]


if __name__ == '__main__':
    main()
