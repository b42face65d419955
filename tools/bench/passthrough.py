"""Compares one instance with a bare pass-through on the same libraries.

``python -m tools.bench.passthrough`` starts an engine stand-in, the bare
pass-through and one instance on loopback, sends the same requests through
each, in alternating rounds, and prints requests a second and latency.
"""

import functools
import statistics
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

import anyio
import httpx

from tools.bench.measure import format_table
from tools.bench.scores import percentile
from tools.fleet import KEYS_BY_ORGANISATION, Fleet, chat, generation
from tools.processes import ChildProcess, ProcessGroup, wait_until

_MODEL = 'fault-answers'
_PLENTY = 100_000_000
_SLOTS = 256
_ROUNDS = 3
# Requests of one round by number of callers at once.
_PLAN = ((1, 200), (16, 800))
_WARM_UP = 50
# Streams of one round with their callers, and the tokens of each.
_STREAM_PLAN = (16, 32)
_STREAM_TOKENS = 200
_MILLISECONDS = 1000
_HEADER = (
    'callers',
    'way',
    'requests/s',
    'p50 ms',
    'p99 ms',
    'added p50 ms',
    'added p99 ms',
)


@dataclass(slots=True)
class Way:
    """One way to the engine with what was measured on it.

    :param rates: requests a second of each round.
    :param latencies: of all requests, seconds.
    """

    name: str
    url: str
    rates: list[float] = field(default_factory=list)
    latencies: list[float] = field(default_factory=list)


def main() -> None:
    """Measure and print the table and the ratios."""
    with ProcessGroup() as processes:
        fleet = _start_fleet(processes)
        engine = processes.children_by_name['engine-a']
        bare = processes.start_passthrough(engine.url)
        instance = fleet.instances_by_id['a1']
        rows = []
        for callers, count in _PLAN:
            ways = _measure(engine, bare, instance, callers, count)
            rows.extend(_rows(ways, callers))
            print(_ratio(ways, callers))
        print(format_table(_HEADER, rows))
        for way in _measure(engine, bare, instance, *_STREAM_PLAN, True):
            tokens = statistics.median(way.rates) * _STREAM_TOKENS
            print(f'{way.name}: {tokens:.0f} streamed tokens a second')


def _start_fleet(processes: ProcessGroup) -> Fleet:
    fleet = Fleet(processes)
    fleet.start(
        engine_options={
            'token_seconds': 0,
            'load_seconds': 0.1,
            'slots': _SLOTS,
        },
    )
    answers = fleet.questionnaire
    answers['organisations']['acme'].update(rate=_PLENTY, burst=_PLENTY)
    for target in ('engine-a', 'engine-b'):
        answers['targets'][target]['slots'] = _SLOTS
    fleet.apply()
    instance = fleet.instances_by_id['a1']
    wait_until(functools.partial(_has_second_generation, instance))
    # Loads the model, in the zone of the instance.
    chat(instance, _MODEL).raise_for_status()
    return fleet


def _has_second_generation(instance: ChildProcess) -> bool:
    return generation(instance) >= 2


def _measure(
    engine: ChildProcess,
    bare: ChildProcess,
    instance: ChildProcess,
    callers: int,
    count: int,
    stream: bool = False,
) -> list[Way]:
    ways = [
        Way('engine itself', engine.url),
        Way('bare pass-through', bare.url),
        Way('instance', instance.url),
    ]
    for way in ways:
        anyio.run(_send_all, Way('', way.url), callers, _WARM_UP, False)
    for _ in range(_ROUNDS):
        for measured in ways:
            anyio.run(_send_all, measured, callers, count, stream)
    return ways


async def _send_all(
    way: Way,
    callers: int,
    count: int,
    stream: bool,
) -> None:
    limits = httpx.Limits(max_connections=callers)
    async with httpx.AsyncClient(trust_env=False, limits=limits) as client:
        start = time.perf_counter()
        async with anyio.create_task_group() as tasks:
            for _ in range(callers):
                tasks.start_soon(
                    _send_some, client, way, count // callers, stream
                )
        way.rates.append(count / (time.perf_counter() - start))


async def _send_some(
    client: httpx.AsyncClient,
    way: Way,
    count: int,
    stream: bool,
) -> None:
    key = KEYS_BY_ORGANISATION['acme']
    for _ in range(count):
        start = time.perf_counter()
        answer = await client.post(
            f'{way.url}/v1/chat/completions',
            json={
                'model': _MODEL,
                'messages': [{'role': 'user', 'content': 'Why?'}],
                'max_tokens': _STREAM_TOKENS if stream else 1,
                'stream': stream,
            },
            headers={'authorization': f'Bearer {key}'},
            timeout=30,
        )
        answer.raise_for_status()
        way.latencies.append(time.perf_counter() - start)


def _rows(ways: Sequence[Way], callers: int) -> list[list[str]]:
    direct = ways[0]
    rows = []
    for way in ways:
        p50 = percentile(way.latencies, 0.5) * _MILLISECONDS
        p99 = percentile(way.latencies, 0.99) * _MILLISECONDS
        direct_p50 = percentile(direct.latencies, 0.5) * _MILLISECONDS
        direct_p99 = percentile(direct.latencies, 0.99) * _MILLISECONDS
        rows.append(
            [
                f'{callers}',
                way.name,
                f'{statistics.median(way.rates):.0f}',
                f'{p50:.2f}',
                f'{p99:.2f}',
                f'{p50 - direct_p50:.2f}',
                f'{p99 - direct_p99:.2f}',
            ],
        )
    return rows


def _ratio(ways: Sequence[Way], callers: int) -> str:
    direct, bare, instance = ways
    rate = statistics.median(instance.rates) / statistics.median(bare.rates)
    added = [
        percentile(way.latencies, 0.5) - percentile(direct.latencies, 0.5)
        for way in (bare, instance)
    ]
    return (
        f'{callers} callers: the instance carries {rate:.2f} of the requests '
        f'of the bare pass-through and adds {added[1] / added[0]:.1f} times '
        f'its latency (p50).'
    )


if __name__ == '__main__':
    main()
