"""Compares one instance with a bare pass-through proxy on the same libraries.

``python -m tools.bench.passthrough`` starts an engine stand-in, a pass-through
proxy and one instance on loopback, sends the same requests to each in
alternating rounds, and prints requests per second and latency.
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
# Rate and burst of the organisation, too high to limit the benchmark.
_UNREACHED_LIMIT_TOKENS = 100_000_000
_ENGINE_SLOTS = 256
_ROUNDS = 3
# Numbers of concurrent callers, each with the requests of one round.
_CALLERS_AND_REQUESTS = ((1, 200), (16, 800))
_WARM_UP_REQUESTS = 50
# Concurrent callers and streaming requests of one round.
_STREAM_CALLERS_AND_REQUESTS = (16, 32)
_TOKENS_PER_STREAM = 200
_MILLISECONDS_PER_SECOND = 1000
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
class Route:
    """Endpoint that leads to the engine, with its measurements.

    :param name: printed in the results.
    :param url: base URL of the endpoint.
    :param rates: requests per second of each round.
    :param latencies: latencies of all requests, seconds.
    """

    name: str
    url: str
    rates: list[float] = field(default_factory=list)
    latencies: list[float] = field(default_factory=list)


def main() -> None:
    """Run the benchmark and print its table and ratios."""
    with ProcessGroup() as processes:
        fleet = _start_fleet(processes)
        engine = processes.children_by_name['engine-a']
        passthrough = processes.start_passthrough(engine.url)
        instance = fleet.instances_by_id['a1']
        rows = []
        for callers, count in _CALLERS_AND_REQUESTS:
            routes = _measure_routes(
                engine, passthrough, instance, callers, count
            )
            rows.extend(_format_rows(routes, callers))
            print(_format_ratio(routes, callers))
        print(format_table(_HEADER, rows))
        for route in _measure_routes(
            engine, passthrough, instance, *_STREAM_CALLERS_AND_REQUESTS, True
        ):
            tokens = statistics.median(route.rates) * _TOKENS_PER_STREAM
            print(f'{route.name}: {tokens:.0f} streamed tokens a second')


def _start_fleet(processes: ProcessGroup) -> Fleet:
    fleet = Fleet(processes)
    fleet.start(
        engine_options={
            'token_seconds': 0,
            'load_seconds': 0.1,
            'slots': _ENGINE_SLOTS,
        },
    )
    settings = fleet.questionnaire
    settings['organisations']['acme'].update(
        rate=_UNREACHED_LIMIT_TOKENS, burst=_UNREACHED_LIMIT_TOKENS
    )
    for target in ('engine-a', 'engine-b'):
        settings['targets'][target]['slots'] = _ENGINE_SLOTS
    fleet.apply()
    instance = fleet.instances_by_id['a1']
    wait_until(functools.partial(_has_second_generation, instance))
    # The first request loads the model in the zone of the instance.
    chat(instance, _MODEL).raise_for_status()
    return fleet


def _has_second_generation(instance: ChildProcess) -> bool:
    return generation(instance) >= 2


def _measure_routes(
    engine: ChildProcess,
    passthrough: ChildProcess,
    instance: ChildProcess,
    callers: int,
    count: int,
    stream: bool = False,
) -> list[Route]:
    routes = [
        Route('engine itself', engine.url),
        Route('bare pass-through', passthrough.url),
        Route('instance', instance.url),
    ]
    for route in routes:
        anyio.run(
            _send_concurrently,
            Route('', route.url),
            callers,
            _WARM_UP_REQUESTS,
            False,
        )
    for _ in range(_ROUNDS):
        for route in routes:
            anyio.run(_send_concurrently, route, callers, count, stream)
    return routes


async def _send_concurrently(
    route: Route,
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
                    _send_sequentially, client, route, count // callers, stream
                )
        route.rates.append(count / (time.perf_counter() - start))


async def _send_sequentially(
    client: httpx.AsyncClient,
    route: Route,
    count: int,
    stream: bool,
) -> None:
    key = KEYS_BY_ORGANISATION['acme']
    for _ in range(count):
        start = time.perf_counter()
        answer = await client.post(
            f'{route.url}/v1/chat/completions',
            json={
                'model': _MODEL,
                'messages': [{'role': 'user', 'content': 'Why?'}],
                'max_tokens': _TOKENS_PER_STREAM if stream else 1,
                'stream': stream,
            },
            headers={'authorization': f'Bearer {key}'},
            timeout=30,
        )
        answer.raise_for_status()
        route.latencies.append(time.perf_counter() - start)


def _format_rows(routes: Sequence[Route], callers: int) -> list[list[str]]:
    direct = routes[0]
    rows = []
    for route in routes:
        p50 = percentile(route.latencies, 0.5) * _MILLISECONDS_PER_SECOND
        p99 = percentile(route.latencies, 0.99) * _MILLISECONDS_PER_SECOND
        direct_p50 = (
            percentile(direct.latencies, 0.5) * _MILLISECONDS_PER_SECOND
        )
        direct_p99 = (
            percentile(direct.latencies, 0.99) * _MILLISECONDS_PER_SECOND
        )
        rows.append(
            [
                f'{callers}',
                route.name,
                f'{statistics.median(route.rates):.0f}',
                f'{p50:.2f}',
                f'{p99:.2f}',
                f'{p50 - direct_p50:.2f}',
                f'{p99 - direct_p99:.2f}',
            ],
        )
    return rows


def _format_ratio(routes: Sequence[Route], callers: int) -> str:
    direct, passthrough, instance = routes
    ratio = statistics.median(instance.rates) / statistics.median(
        passthrough.rates
    )
    added = [
        percentile(route.latencies, 0.5) - percentile(direct.latencies, 0.5)
        for route in (passthrough, instance)
    ]
    return (
        f'{callers} callers: the instance carries {ratio:.2f} of the requests '
        f'of the bare pass-through and adds {added[1] / added[0]:.1f} times '
        f'its latency (p50).'
    )


if __name__ == '__main__':
    main()
