"""Stand-in for the platform: object API, instance list and weight store.

``POST /control`` injects faults; ``GET /control`` returns the call counters.
"""

import functools
import json
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import anyio
import fire

from tools.standins.web import Request, run_server

_PROGRESS_INTERVAL_SECONDS = 1
_UNAVAILABLE = 503
_PRECONDITION_FAILED = 412


@dataclass(slots=True)
class Faults:
    """Faults to inject into the platform.

    :param outage: respond to calls of the object API and the instance list
        with 503.
    :param lost_answers: number of writes to apply without responding.
    :param delay: seconds before each response of the object API.
    :param stale_reads: return the previous version of an object.
    :param silent_watches: send no more events to watches.
    :param weight_seconds: seconds added to each fetch of weights.
    """

    outage: bool = False
    lost_answers: int = 0
    delay: float = 0
    stale_reads: bool = False
    silent_watches: bool = False
    weight_seconds: float = 0


@dataclass(slots=True)
class StoredObject:
    """Current and previous version of an object.

    :param body: ``None`` if the object has been deleted.
    """

    version: int
    body: dict[str, Any] | None
    previous: dict[str, Any] | None = None
    previous_version: int = 0


@dataclass(slots=True)
class Platform:
    """State of the platform, kept in memory only.

    :param loads_per_second: rate limit of the weight store.
    :param loads_at_once: limit of concurrent fetches of weights.
    :param version: version of the latest write.
    :param calls: number of calls by kind.
    :param fetch_times: start times of the fetches, on the monotonic clock.
    :param changed: set and replaced at each write.
    """

    loads_per_second: float
    loads_at_once: int
    version: int = 0
    objects_by_key: dict[str, StoredObject] = field(default_factory=dict)
    instances: list[dict[str, Any]] = field(default_factory=list)
    faults: Faults = field(default_factory=Faults)
    calls: Counter[str] = field(default_factory=Counter)
    fetch_times: list[float] = field(default_factory=list)
    active_fetches: int = 0
    max_active_fetches: int = 0
    changed: anyio.Event = field(default_factory=anyio.Event)

    async def handle(self, request: Request) -> None:
        """Handle one HTTP request.

        :param request: with its body fully read.
        """
        if request.path == '/control':
            await self._handle_control(request)
        elif request.path.startswith('/weights/'):
            await self._handle_weights(request)
        elif request.path == '/instances':
            await self._handle_instances(request)
        else:
            await self._handle_object_request(request)

    async def _handle_control(self, request: Request) -> None:
        if request.method == 'POST':
            for name, setting in request.json().items():
                setattr(self.faults, name, setting)
        await request.send_json(
            {
                'calls': self.calls,
                'version': self.version,
                'fetches': self.fetch_times,
                'most_fetching': self.max_active_fetches,
            }
        )

    async def _handle_instances(self, request: Request) -> None:
        self.calls['instances'] += 1
        if request.method == 'PUT':
            self.instances = request.json()['instances']
        if self.faults.outage:
            await request.send_json({'error': 'unavailable'}, _UNAVAILABLE)
            return
        await request.send_json({'instances': self.instances})

    async def _handle_object_request(self, request: Request) -> None:
        is_watch = bool(request.query_parameter('watch'))
        self.calls['watch' if is_watch else request.method] += 1
        if self.faults.delay:
            await anyio.sleep(self.faults.delay)
        if self.faults.outage:
            await request.send_json({'error': 'unavailable'}, _UNAVAILABLE)
        elif is_watch:
            await self._watch(request)
        elif request.path == '/objects':
            await self._list(request)
        elif request.method == 'GET':
            await self._read(request)
        else:
            await self._write(request)

    async def _read(self, request: Request) -> None:
        key = request.path.removeprefix('/objects/')
        stored = self.objects_by_key.get(key)
        if stored is None or stored.body is None:
            await request.send_json({'error': 'no such object'}, 404)
            return
        body, version = stored.body, stored.version
        if self.faults.stale_reads and stored.previous is not None:
            body, version = stored.previous, stored.previous_version
        await request.send_json({'key': key, 'version': version, 'body': body})

    async def _list(self, request: Request) -> None:
        prefix = request.query_parameter('prefix')
        matching = [
            {'key': key, 'version': stored.version, 'body': stored.body}
            for key, stored in sorted(self.objects_by_key.items())
            if key.startswith(prefix) and stored.body is not None
        ]
        await request.send_json({'version': self.version, 'items': matching})

    async def _write(self, request: Request) -> None:
        key = request.path.removeprefix('/objects/')
        stored = self.objects_by_key.get(key)
        exists = stored is not None and stored.body is not None
        expected = request.header('if-match')
        if request.header('if-none-match') == '*':
            precondition_holds = not exists
        else:
            precondition_holds = exists and expected == f'"{stored.version}"'
        if not precondition_holds:
            await request.send_json(
                {'error': 'version conflict'}, _PRECONDITION_FAILED
            )
            return
        self.version += 1
        body = None if request.method == 'DELETE' else request.json()
        self.objects_by_key[key] = StoredObject(
            version=self.version,
            body=body,
            previous=stored.body if stored else None,
            previous_version=stored.version if stored else 0,
        )
        self.changed.set()
        self.changed = anyio.Event()
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            await request.wait_for_disconnect()
            return
        await request.send_json({'key': key, 'version': self.version})

    async def _watch(self, request: Request) -> None:
        prefix = request.query_parameter('prefix')
        sent_version = int(request.query_parameter('since', '0'))
        await request.start(content_type='application/x-ndjson')
        while not self.faults.outage:
            changed = self.changed
            if self.faults.silent_watches:
                await request.wait_for_disconnect()
                return
            for line in self._encode_changes(prefix, sent_version):
                await request.write(line)
            sent_version = self.version
            with anyio.move_on_after(_PROGRESS_INTERVAL_SECONDS):
                await changed.wait()
        await request.write(b'', more=False)

    def _encode_changes(self, prefix: str, sent_version: int) -> list[bytes]:
        events = [
            {'key': key, 'version': stored.version, 'body': stored.body}
            for key, stored in self.objects_by_key.items()
            if key.startswith(prefix) and stored.version > sent_version
        ]
        lines: list[dict[str, Any]] = sorted(
            events,
            key=_event_version,
        )
        lines.append({'progress': self.version})
        return [f'{json.dumps(line)}\n'.encode() for line in lines]

    async def _handle_weights(self, request: Request) -> None:
        now = time.monotonic()
        recent = [at for at in self.fetch_times if now - at < 1]
        is_at_limit = self.active_fetches >= self.loads_at_once
        if is_at_limit or len(recent) >= self.loads_per_second + 1:
            self.calls['weights_refused'] += 1
            await request.send_json({'error': 'rate limited'}, 429)
            return
        self.fetch_times.append(now)
        self.active_fetches += 1
        self.max_active_fetches = max(
            self.max_active_fetches, self.active_fetches
        )
        try:
            await anyio.sleep(
                float(request.query_parameter('seconds', '0'))
                + self.faults.weight_seconds,
            )
        finally:
            self.active_fetches -= 1
        await request.send_json({'fetched': True})


def _event_version(event: dict[str, Any]) -> int:
    return int(event['version'])


def main(
    host: str = '127.0.0.1',
    port: int = 0,
    loads_per_second: float = 3,
    loads_at_once: int = 4,
) -> None:
    """Run the platform stand-in.

    :param host: IP address to listen on.
    :param port: 0 selects a free port; the address is printed.
    :param loads_per_second: rate limit of the weight store.
    :param loads_at_once: limit of concurrent fetches of weights.
    """
    anyio.run(
        functools.partial(_serve, host, port, loads_per_second, loads_at_once),
    )


async def _serve(
    host: str,
    port: int,
    loads_per_second: float,
    loads_at_once: int,
) -> None:
    platform = Platform(loads_per_second, loads_at_once)
    await run_server(platform.handle, host, port)


if __name__ == '__main__':
    fire.Fire(main)
