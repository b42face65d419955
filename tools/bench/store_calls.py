"""Counts the calls that idle instances make to the platform store.

``python -m tools.bench.store_calls`` starts two zones with one and then with
three instances each, waits until they are ready, and counts for ten seconds.
"""

import time

from tools.bench.measure import format_table
from tools.fleet import Fleet
from tools.processes import ProcessGroup

_SETTLE_SECONDS = 5
_COUNT_SECONDS = 10
_SIZES = (1, 3)
_HEADER = ('instances in each of 2 zones', 'calls', 'calls a second')


def main() -> None:
    """Measure each size and print a table by kind of call."""
    rows = []
    for size in _SIZES:
        rows.extend(_measure(size))
    print(format_table(_HEADER, rows))


def _measure(size: int) -> list[list[str]]:
    with ProcessGroup() as processes:
        fleet = Fleet(processes)
        fleet.start(instances_per_zone=size)
        time.sleep(_SETTLE_SECONDS)
        before = fleet.platform.control()['calls']
        time.sleep(_COUNT_SECONDS)
        after = fleet.platform.control()['calls']
    counted = {
        kind: count - before.get(kind, 0) for kind, count in after.items()
    }
    return [
        [f'{size}', kind, f'{count / _COUNT_SECONDS:.1f}']
        for kind, count in sorted(counted.items())
    ]


if __name__ == '__main__':
    main()
