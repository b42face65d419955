"""Measures the memory of one data structure of an instance.

``python -m tools.bench.memory configuration 54000`` prints the megabytes that
are allocated for the configuration. For the interpreter and the libraries it
prints the growth of the resident set. Each measurement needs a new process.
"""

import gc
import importlib
import sys
import tracemalloc
from collections.abc import Callable, Mapping
from types import MappingProxyType

from tools.bench.measure import resident_megabytes

_BYTES_PER_MEGABYTE = 1_000_000
_TARGETS_PER_ZONE = 230
_LIBRARIES = (
    'anyio',
    'zmq',
    'msgspec',
    'pydantic',
    'pydantic_settings',
    'hypercorn.asyncio',
    'httpx',
    'structlog',
    'aioprometheus',
    'fire',
    'yaml',
)


def _make_nothing(_size: int) -> object:
    return ()


def _import_libraries(_size: int) -> object:
    return [importlib.import_module(name) for name in _LIBRARIES]


def _make_configuration(size: int) -> object:
    samples = importlib.import_module('tools.bench.samples')
    return samples.make_configuration(size, _TARGETS_PER_ZONE)


def _make_relay(size: int) -> object:
    slopes = importlib.import_module('tools.bench.slopes_configuration')
    return slopes.make_relay(slopes.encode_sample(size))


def _make_fleet(size: int) -> object:
    samples = importlib.import_module('tools.bench.samples')
    return samples.make_fleet(size)


_FACTORY_BY_SUBJECT: Mapping[str, Callable[[int], object]] = MappingProxyType(
    {
        'interpreter': _make_nothing,
        'libraries': _import_libraries,
        'configuration': _make_configuration,
        'relay': _make_relay,
        'fleet': _make_fleet,
    }
)
# Subjects measured by their allocations, without the modules they import.
_ALLOCATION_SUBJECTS = frozenset(('configuration', 'relay', 'fleet'))


def main(subject: str, size: int) -> None:
    """Print the memory of a subject in megabytes.

    :param subject: key of ``_FACTORY_BY_SUBJECT``.
    :param size: number of adapters or targets.
    """
    print(round(_measure_megabytes(subject, size), 2))


def _measure_megabytes(subject: str, size: int) -> float:
    if subject in _ALLOCATION_SUBJECTS:
        return _measure_allocated_megabytes(subject, size)
    before = 0 if subject == 'interpreter' else resident_megabytes()
    retained = _FACTORY_BY_SUBJECT[subject](size)
    growth = resident_megabytes() - before
    del retained
    return growth


def _measure_allocated_megabytes(subject: str, size: int) -> float:
    """Return the megabytes that remain allocated after garbage collection."""
    # The first call imports the modules, which are not to be counted.
    _FACTORY_BY_SUBJECT[subject](1)
    gc.collect()
    tracemalloc.start()
    retained = _FACTORY_BY_SUBJECT[subject](size)
    gc.collect()
    allocated, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return allocated / _BYTES_PER_MEGABYTE


if __name__ == '__main__':
    main(sys.argv[1], int(sys.argv[2]))
