"""Streams of two software versions that are taken up after a kill of all."""

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
    Answer,
    CannotRunError,
    Connection,
    World,
    main,
)

_MACHINES = 6
_STREAMS = 24
_EVENTS = 56
_EVENT_SECONDS = 0.18
_DEADLINE_SECONDS = 20
# A caller's connection breaks off; its only retry comes after this time.
_BREAK_SECONDS = 3
_RETRY_SECONDS = 5
# "the share that goes on is under half of the share of new streams that begin"
_LEAST_RATIO = 0.5
_LEAST_STREAMS = 12
_STABLE_SECONDS = 3
_EVENT = re.compile(rb'id: (\d+)\n')


def _headers(left: float) -> dict[str, str]:
    return {
        'X-Key': KEY,
        'X-Model': MODELS[0],
        'X-Token-Count': '715,280',
        'X-Deadline-Ms': str(int(left * 1000)),
    }


async def _send(
    world: World,
    number: int,
    attempt: str,
    headers: dict[str, str],
    left: float,
) -> Answer:
    """Send a request to a machine that is ready, as the platform does."""
    ready = [
        machine
        for machine in world.machines.values()
        if await machine.is_ready()
    ]
    if not ready:
        raise CannotRunError('no machine is ready')
    machine = ready[number % len(ready)]
    if time.monotonic() < machine.started_at + _STABLE_SECONDS:
        raise CannotRunError(f'{machine.name} is not in touch yet')
    connection = Connection(machine.front)
    answer = await connection.call(
        'POST', '/draft/2f', attempt, headers=headers, seconds=left
    )
    connection.close()
    return answer


async def _take_up(world: World, number: int) -> bool | None:
    """Begin a stream, lose it, take it up; return whether it goes on."""
    began_at = time.monotonic()
    first = world.attempt()
    answer = await _send(
        world, number, first, _headers(_DEADLINE_SECONDS), _BREAK_SECONDS
    )
    events = _EVENT.findall(answer.body)
    world.record.write(f'{first}: {len(events)} events; {answer.error}')
    if not events:
        return None
    await asyncio.sleep(began_at + _BREAK_SECONDS - time.monotonic())
    await asyncio.sleep(_RETRY_SECONDS)
    left = began_at + _DEADLINE_SECONDS - time.monotonic()
    last = events[-1].decode()
    answer = await _send(
        world,
        number + 1,
        world.attempt(),
        _headers(left) | {'Last-Event-Id': last, 'Resumes': first},
        left,
    )
    more = len(_EVENT.findall(answer.body))
    world.record.write(
        f'{answer.attempt} takes {first} up after event {last}: {more} events; '
        f'{answer.error or answer.status}'
    )
    return more > 0


async def _begin(world: World, number: int) -> bool:
    """Begin a new stream; return whether it has begun."""
    await asyncio.sleep(_BREAK_SECONDS + _RETRY_SECONDS)
    answer = await _send(
        world, number, world.attempt(), _headers(_DEADLINE_SECONDS), 11
    )
    more = len(_EVENT.findall(answer.body))
    world.record.write(
        f'{answer.attempt} is new: {more} events; '
        f'{answer.error or answer.status}'
    )
    return more > 0


async def _kill(world: World) -> None:
    await asyncio.sleep(_BREAK_SECONDS - 0.5)
    for machine in world.machines.values():
        machine.strike(signal.SIGKILL)


async def _case(world: World) -> bool:
    await world.open(machines=_MACHINES, models=4, services=2)
    for number, engine in enumerate(world.engines.values()):
        if engine.places:
            engine.version = f'v{number % 2 + 1}'
            engine.models = {MODELS[0]: [], MODELS[1]: []}
            engine.work_seconds = _EVENT_SECONDS
            engine.events = _EVENTS
            engine.register()
    await asyncio.sleep(4)
    new = [asyncio.create_task(_begin(world, one)) for one in range(_STREAMS)]
    kill = asyncio.create_task(_kill(world)) if TROUBLE else None
    found = await asyncio.gather(
        *(_take_up(world, number) for number in range(_STREAMS))
    )
    begun = await asyncio.gather(*new)
    if kill is not None:
        await kill
    for run in world.runs:
        world.record.note(f'run {run.attempt} at {run.engine}: {run.ended}')
    taken_up = [goes_on for goes_on in found if goes_on is not None]
    if len(taken_up) < _LEAST_STREAMS:
        raise CannotRunError('too few streams were taken up')
    goes_on = sum(taken_up) / len(taken_up)
    begins = sum(begun) / len(begun)
    world.record.write(f'share that goes on: {goes_on:.2f}')
    world.record.write(f'share of new ones that begin: {begins:.2f}')
    return goes_on >= _LEAST_RATIO * begins


if __name__ == '__main__':
    sys.exit(main(_case, FOLDER))
