"""Counts the calls that idle instances make to the platform store.

``python -m tools.bench.store_calls`` starts two zones, first with one and then
with three instances each, waits until they are ready, and counts the calls of
ten seconds.
"""

import time

from tools.bench.measure import format_table
from tools.fleet import Fleet
from tools.processes import ProcessGroup

_SETTLE_SECONDS = 5
_COUNT_SECONDS = 10
_INSTANCES_PER_ZONE = (1, 3)
_HEADER = ('instances in each of 2 zones', 'calls', 'calls a second')


def main() -> None:
    """Print the calls of each kind for each number of instances."""
    rows = []
    for instances_per_zone in _INSTANCES_PER_ZONE:
        rows.extend(_count_calls(instances_per_zone))
    print(format_table(_HEADER, rows))


def _count_calls(instances_per_zone: int) -> list[list[str]]:
    with ProcessGroup() as processes:
        fleet = Fleet(processes)
        fleet.start(instances_per_zone=instances_per_zone)
        time.sleep(_SETTLE_SECONDS)
        before = fleet.platform.control()['calls']
        time.sleep(_COUNT_SECONDS)
        after = fleet.platform.control()['calls']
    count_by_kind = {
        kind: count - before.get(kind, 0) for kind, count in after.items()
    }
    return [
        [f'{instances_per_zone}', kind, f'{count / _COUNT_SECONDS:.1f}']
        for kind, count in sorted(count_by_kind.items())
    ]


if __name__ == '__main__':
    main()
