"""Streams that are taken up after a release and a kill of some machines."""

import asyncio
import re
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

from world import (  # noqa: E402
    KEY,
    MODELS,
    TROUBLE,
    CannotRunError,
    Connection,
    World,
    main,
)

_MACHINES = 6
_STREAMS = 48
# Killed at the same moment, the leader among them: a share of 0.5.
_KILLED = 3
_EVENTS = 56
_EVENT_SECONDS = 0.18
_DEADLINE_SECONDS = 20
# From the end of a stream to its caller's only retry.
_RETRY_SECONDS = 4
# "More than two streams hold events from engines of two software versions".
_MOST_MIXED = 2
_EVENT = re.compile(rb'id: (\d+)\ndata: piece \d+ of \w+ (\w+)\n\n')


async def _stream(world: World, number: int) -> set[str]:
    """Read a stream, take it up once; return the versions of its events."""
    began_at = time.monotonic()
    machines = list(world.machines.values())
    first = world.attempt()
    headers = {
        'X-Key': KEY,
        'X-Model': MODELS[0],
        'X-Token-Count': '715,280',
        'X-Deadline-Ms': str(_DEADLINE_SECONDS * 1000),
    }
    connection = Connection(machines[number % _MACHINES].front)
    answer = await connection.call(
        'POST', '/draft/2f', first, headers=headers, seconds=_DEADLINE_SECONDS
    )
    events = _EVENT.findall(answer.body)
    versions = {version.decode() for _, version in events}
    last = events[-1][0].decode() if events else '0'
    world.record.write(
        f'{first}: {len(events)} events of {sorted(versions)}; '
        f'{answer.error or answer.status}'
    )
    if not answer.error or not events:
        return versions
    await asyncio.sleep(_RETRY_SECONDS)
    left = began_at + _DEADLINE_SECONDS - time.monotonic()
    headers |= {
        'X-Deadline-Ms': str(int(left * 1000)),
        'Last-Event-Id': last,
        'Resumes': first,
    }
    # The platform forwards it to a machine that is ready.
    ready = [machine for machine in machines if await machine.is_ready()]
    if not ready:
        raise CannotRunError('no machine is ready')
    machine = ready[(number + 1) % len(ready)]
    connection = Connection(machine.front)
    answer = await connection.call(
        'POST', '/draft/2f', world.attempt(), headers=headers, seconds=left
    )
    events = _EVENT.findall(answer.body)
    more = {version.decode() for _, version in events}
    world.record.write(
        f'{answer.attempt} takes {first} up after event {last} at '
        f'{machine.name}: {len(events)} events of {sorted(more)}; '
        f'{answer.error or answer.status}'
    )
    return versions | more


async def _release(world: World) -> None:
    """Replace the engines of the first version by those of the second."""
    old = [engine for engine in world.engines.values() if engine.places]
    await asyncio.sleep(1)
    for engine in old:
        new = await world.add_engine(f'{engine.name}b', 'kettle-lm', places=3)
        new.version = 'v2'
        new.models = {model: [] for model in engine.models}
        new.on_disk = engine.on_disk
        _pace(new)
        new.register()
    world.record.write('engines of v2 have started')
    await asyncio.sleep(1)
    for engine in old:
        engine.state = 'draining'
        engine.more_headers['Server-Leaving'] = '1'
        engine.register()
    world.record.write('engines of v1 report that they are draining')
    # drain_ms is 2,000; they serve "a little longer".
    await asyncio.sleep(2)
    if TROUBLE:
        leader = world.leader()
        others = [one for one in world.machines.values() if one is not leader]
        for machine in (leader, *others[: _KILLED - 1]):
            machine.strike(signal.SIGKILL)
    await asyncio.sleep(0.5)
    for engine in old:
        engine.stop()
        world.store.put('servers', engine.name, None)
    world.record.write('engines of v1 have left')


def _pace(engine: object) -> None:
    engine.work_seconds = _EVENT_SECONDS
    engine.events = _EVENTS


async def _case(world: World) -> bool:
    await world.open(machines=_MACHINES, models=2, services=2)
    for engine in world.engines.values():
        if engine.places:
            engine.models = {MODELS[0]: [], MODELS[1]: []}
            engine.register()
            _pace(engine)
    await asyncio.sleep(3)
    release = asyncio.create_task(_release(world))
    found = await asyncio.gather(
        *(_stream(world, number) for number in range(_STREAMS))
    )
    await release
    for run in world.runs:
        world.record.note(f'run {run.attempt} at {run.engine}: {run.ended}')
    mixed = sum(len(versions) > 1 for versions in found)
    world.record.write(f'streams with events of two versions: {mixed}')
    return mixed <= _MOST_MIXED


if __name__ == '__main__':
    sys.exit(main(_case, FOLDER))
