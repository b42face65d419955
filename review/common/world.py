"""Stand-ins and processes of a small deployment on loopback addresses.

The store, the engines and the callers run in the process of the case; the
gateways are processes of the project, started with the command of the deploy
file. Everything uses the real clock and only the standard library.
"""

import asyncio
import json
import os
import random
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, BinaryIO
from urllib.parse import parse_qs, unquote, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST = 'desk.example'
KEY = 'key-of-the-desk'
ZONES = ('nl-west-a', 'nl-west-b', 'nl-west-c')
HELD, BROKEN, NOT_RUN = 0, 1, 2
_RESTART_SECONDS = 0.5
_READY_SECONDS = 25.0
_PAGE = 500
# An end of its own "during a disruption ... or within a second of it" is none.
_NEAR_SECONDS = 1.0
# Time after which an engine that has crashed is back.
_DOWN_SECONDS = 2.0


class CannotRunError(Exception):
    """The case could not be run as described."""


@dataclass
class Record:
    """What was sent, answered and run; written to ``record.txt``."""

    path: Path
    began: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)

    def write(self, what: str) -> None:
        line = f'{time.monotonic() - self.began:8.3f} {what}'
        self.lines.append(line)
        self.path.write_text('\n'.join(self.lines) + '\n', encoding='utf-8')

    def note(self, what: str) -> None:
        self.lines.append(f'{time.monotonic() - self.began:8.3f} {what}')


# HTTP


@dataclass
class Request:
    """One request that a stand-in has read."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def path(self) -> str:
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        found = parse_qs(urlsplit(self.target).query)
        return {name: texts[0] for name, texts in found.items()}

    async def answer(
        self,
        status: int,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> None:
        head = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
        head += [f'{name}: {text}' for name, text in (headers or {}).items()]
        self.writer.write('\r\n'.join([*head, '', '']).encode() + body)
        await self.writer.drain()

    async def closed(self) -> None:
        """Return when the peer has closed the connection."""
        # A stream reader tells nobody that it has reached the end.
        while not (  # noqa: ASYNC110
            self.reader.at_eof() or self.writer.is_closing()
        ):
            await asyncio.sleep(0.005)


Handler = Callable[[Request], Awaitable[None]]


async def read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Request:
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        headers[name.lower()] = text.strip()
    body = await reader.readexactly(int(headers.get('content-length') or 0))
    return Request(method, target, headers, body, reader, writer)


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve requests on one address, one at a time on each connection."""

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while not writer.is_closing():
                request = await read_request(reader, writer)
                await handler(request)
        writer.close()

    return await asyncio.start_server(accept, host, port, backlog=512)


@dataclass
class Answer:
    """What a caller got; a status of 0 is no complete answer."""

    attempt: str
    sent_at: float
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    ended_at: float = 0
    error: str = ''


class Connection:
    """A caller's connection, kept for several requests."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def call(
        self,
        method: str,
        path: str,
        attempt: str,
        *,
        headers: dict[str, str] | None = None,
        body: bytes = b'',
        seconds: float = 10,
    ) -> Answer:
        """Send one request and return its answer."""
        answer = Answer(attempt, time.monotonic())
        try:
            async with asyncio.timeout(seconds):
                await self._exchange(method, path, answer, headers or {}, body)
        except TimeoutError:
            answer.error = 'no answer in time'
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.error = repr(error)
        if answer.error:
            answer.status = 0
        answer.ended_at = time.monotonic()
        if answer.error or answer.headers.get('connection') == 'close':
            self.close()
        return answer

    async def _exchange(
        self,
        method: str,
        path: str,
        answer: Answer,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        if self.reader is None or self.reader.at_eof():
            self.close()
            self.reader, self.writer = await asyncio.open_connection(
                *self.address
            )
        answer.sent_at = time.monotonic()
        lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}']
        lines.append(f'X-Attempt-Id: {answer.attempt}')
        lines += [f'{name}: {text}' for name, text in headers.items()]
        if body:
            lines.append(f'Content-Length: {len(body)}')
        self.writer.write('\r\n'.join([*lines, '', '']).encode() + body)
        await self.writer.drain()
        head = await self.reader.readuntil(b'\r\n\r\n')
        found = head.decode('latin-1').split('\r\n')
        answer.status = int(found[0].split(' ')[1])
        for line in found[1:]:
            name, _, text = line.partition(':')
            answer.headers[name.lower()] = text.strip()
        if 'content-length' in answer.headers:
            length = int(answer.headers['content-length'])
            answer.body = await self.reader.readexactly(length)
            return
        while True:
            size = int(await self.reader.readuntil(b'\r\n'), 16)
            chunk = await self.reader.readexactly(size + 2)
            answer.body += chunk[:size]
            if not size:
                return


# The platform's store


@dataclass
class Stored:
    rev: int
    spec: Any


@dataclass
class Store:
    """The platform's store, as the pages describe it, kept in memory.

    :param up: whether it answers; calls get 503 otherwise.
    :param gives_out_bytes: whether it gives out strings of other writers byte
        for byte, also where these are no UTF-8; they are escaped otherwise.
    :param changes: all changes: revision, kind, name and content.
    """

    rev: int = 7
    era: int = 1
    up: bool = True
    gives_out_bytes: bool = False
    objects: dict[str, dict[str, Stored]] = field(default_factory=dict)
    changes: list[tuple[int, str, str, Any]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object; ``None`` removes it."""
        self.rev += 1
        objects = self.objects.setdefault(kind, {})
        if spec is None:
            objects.pop(name, None)
        else:
            objects[name] = Stored(self.rev, spec)
        self.changes.append((self.rev, kind, name, spec))
        self._wake()
        return self.rev

    def copy(self) -> tuple[int, dict[str, dict[str, Stored]]]:
        return self.rev, {
            kind: dict(found) for kind, found in self.objects.items()
        }

    def come_back(self, copy: tuple[int, dict[str, dict[str, Stored]]]) -> None:
        """Come back from a copy: what was written since is gone."""
        self.rev, objects = copy
        self.objects = {kind: dict(found) for kind, found in objects.items()}
        self.changes = [one for one in self.changes if one[0] <= self.rev]
        self.era += 1
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request: Request) -> None:
        status, document = 503, {}
        if self.up:
            status, document = await self._dispatch(request)
        if not self.up:
            status, document = 503, {}
        await request.answer(
            status,
            json.dumps(document, ensure_ascii=not self.gives_out_bytes).encode(
                errors='surrogateescape'
            ),
            {'Content-Type': 'application/json', 'Store-Era': str(self.era)},
        )

    async def _dispatch(self, request: Request) -> tuple[int, Any]:
        path = unquote(request.path).removeprefix('/-/objects/')
        kind, _, name = path.partition('/')
        if request.method != 'GET':
            return self._write(request, kind, name)
        if name:
            stored = self.objects.get(kind, {}).get(name)
            if stored is None:
                return 404, {}
            return 200, _document(name, stored)
        if 'watch' in request.query:
            return await self._watch(request.query, kind)
        after = request.query.get('after', '')
        found = self.objects.get(kind, {})
        names = sorted(one for one in found if one > after)
        return 200, {
            'items': [_document(one, found[one]) for one in names[:_PAGE]],
            'has_more': len(names) > _PAGE,
            'as_of': self.rev,
        }

    async def _watch(self, query: dict[str, str], kind: str) -> tuple[int, Any]:
        since, era = int(query['watch']), self.era
        ends_at = time.monotonic() + int(query['wait_ms']) / 1000
        while self.up and self.era == era:
            if since > self.rev:
                return 410, {}
            events = self._events(kind, since)
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'as_of': self.rev}
            with suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self.changed.wait()
        return 410, {}

    def _events(self, kind: str, since: int) -> list[Any]:
        last = {
            name: (rev, spec)
            for rev, of_kind, name, spec in self.changes
            if rev > since and of_kind == kind
        }
        return [
            {
                'object': _document(name, Stored(rev, spec)),
                'removed': spec is None,
            }
            for name, (rev, spec) in sorted(
                last.items(), key=lambda one: one[1][0]
            )
        ]

    def _write(self, request: Request, kind: str, name: str) -> tuple[int, Any]:
        document = json.loads(request.body or b'{}')
        metadata = document.get('metadata', {})
        objects = self.objects.setdefault(kind, {})
        if request.method == 'POST':
            name = metadata['name']
            if name in objects:
                return 409, _document(name, objects[name])
        elif name not in objects:
            return 404, {}
        rev = metadata.get('rev') or int(request.query.get('rev') or 0)
        if request.method != 'POST' and rev and rev != objects[name].rev:
            return 409, _document(name, objects[name])
        if request.method == 'DELETE':
            self.put(kind, name, None)
            return 200, {}
        self.put(kind, name, document.get('spec'))
        return 200, _document(name, objects[name])


def _document(name: str, stored: Stored) -> dict[str, Any]:
    return {
        'metadata': {
            'name': name,
            'rev': stored.rev,
            'created_rev': stored.rev,
            'finalizers': [],
            'deleting': False,
        },
        'spec': stored.spec,
        'status': None,
    }


# Engines


@dataclass
class Run:
    """One request that an engine has begun to work on."""

    engine: str
    attempt: str
    at: float
    headers: dict[str, str]
    path: str
    ended: str = 'open'


@dataclass
class Engine:
    """A model engine, or a plain service if ``places`` is 0.

    :param places: models that fit into its memory.
    :param runs: shared by all engines.
    """

    name: str
    service: str
    zone: str
    address: tuple[str, int]
    store: Store
    runs: list[Run]
    places: int = 0
    slots: int = 6
    work_seconds: float = 0.09
    events: int = 9
    state: str = 'ready'
    models: dict[str, list[str]] = field(default_factory=dict)
    on_disk: list[str] = field(default_factory=list)
    busy: bool = False
    seq: int = 0
    fence: int = 0
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    active: int = 0
    version: str = 'v1'
    crashing_part: str = ''
    crashes: list[float] = field(default_factory=list)
    more_headers: dict[str, str] = field(default_factory=dict)
    orders: list[tuple[float, dict[str, Any], int]] = field(
        default_factory=list
    )
    _tasks: set[Any] = field(default_factory=set)
    _server: asyncio.Server | None = None
    _down: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> None:
        """Serve on its address."""
        self._down = asyncio.Event()
        self._server = await serve(*self.address, self.handle)

    def stop(self) -> None:
        """End the process: its connections end, new ones are refused."""
        self._down.set()
        if self._server is not None:
            self._server.close()

    async def crash(self, down_seconds: float) -> None:
        """Crash, and start again after some seconds, empty."""
        self.crashes.append(time.monotonic())
        self.stop()
        await asyncio.sleep(down_seconds)
        self.born = int(time.time() * 1000)
        self.seq = self.fence = self.active = 0
        self.busy = False
        self.models = {}
        await self.start()
        self.register()

    def entry(self) -> dict[str, Any]:
        entry = {
            'service': self.service,
            'addr': f'{self.address[0]}:{self.address[1]}',
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'cold_left_ms': 0,
            'born': self.born,
            'seq': self.seq,
        }
        if self.places:
            entry['stage'] = 'both'
            entry['models'] = self._held()
            entry['at_hand'] = {'in_memory': [], 'on_disk': self.on_disk}
        return entry

    def register(self) -> None:
        self.store.put('servers', self.name, self.entry())

    def _held(self) -> list[dict[str, Any]]:
        return [
            {'name': name, 'version': 1, 'adapters': adapters}
            for name, adapters in self.models.items()
        ]

    async def handle(self, request: Request) -> None:
        if self._down.is_set():
            request.writer.transport.abort()
            return
        expected = request.headers.get('x-expect-instance', self.name)
        if expected != self.name:
            await request.answer(421, headers={'X-Instance-Id': self.name})
        elif request.path == '/healthz':
            status = 200 if self.state == 'ready' else 503
            await request.answer(status, headers={'X-Instance-Id': self.name})
        elif request.path == '/-/report':
            await self._report(request)
        elif request.path == '/-/order':
            await self._order(request)
        else:
            await self._run(request)

    async def _report(self, request: Request) -> None:
        report = {
            'stage': 'both',
            'models': self._held(),
            'busy': self.busy,
            'seq': self.seq,
            'born': self.born,
            'queued': 0,
            'active': self.active,
            'kv_used': 0,
            'kv_total': 114341,
            'handles': 0,
            'at_hand': {'in_memory': [], 'on_disk': self.on_disk},
        }
        await request.answer(200, json.dumps(report).encode())

    async def _order(self, request: Request) -> None:
        order = json.loads(request.body)
        status = self._accept(order)
        self.orders.append((time.monotonic(), order, status))
        await request.answer(status)

    def _accept(self, order: dict[str, Any]) -> int:
        if order['fence'] < self.fence:
            return 412
        self.fence = order['fence']
        if self.busy or order.get('precondition', self.seq) != self.seq:
            return 409
        if (order['model'] in self.models) == (order['op'] == 'load'):
            return 200
        self.seq += 1
        self.busy = True
        task = asyncio.create_task(self._carry_out(order))
        self._tasks.add(task)
        return 202

    async def _carry_out(self, order: dict[str, Any]) -> None:
        if order['op'] == 'load':
            await asyncio.sleep(0.6)
            self.models[order['model']] = []
        else:
            while self.active:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            self.models.pop(order['model'], None)
        self.busy = False
        self.register()

    async def _run(self, request: Request) -> None:
        attempt = request.headers.get('x-attempt-id', '')
        model = request.headers.get('x-model', '')
        echo = {'X-Attempt-Id': attempt, **self.more_headers}
        if not attempt:
            await request.answer(400, headers={'X-Not-Run': '1'})
            return
        if self.places and model not in self.models:
            await request.answer(421, headers=echo)
            return
        if self.active >= self.slots:
            await request.answer(503, headers={**echo, 'X-Not-Run': '1'})
            return
        run = Run(
            self.name, attempt, time.monotonic(), request.headers, request.path
        )
        self.runs.append(run)
        self.active += 1
        down = self._down
        if self.crashing_part and self.crashing_part in request.headers.get(
            'x-prompt-prefix', ''
        ):
            run.ended = 'crashed'
            self._tasks.add(asyncio.create_task(self.crash(_DOWN_SECONDS)))
            await asyncio.sleep(0)
        work = asyncio.create_task(self._work(request, echo))
        left = asyncio.create_task(request.closed())
        ended = asyncio.create_task(down.wait())
        try:
            await asyncio.wait(
                {work, left, ended}, return_when=asyncio.FIRST_COMPLETED
            )
            if down.is_set():
                run.ended = 'crashed' if run.ended == 'crashed' else 'cut'
                request.writer.transport.abort()
            else:
                run.ended = 'answered' if work.done() else 'caller left'
        finally:
            work.cancel()
            left.cancel()
            ended.cancel()
            self.active = max(self.active - 1, 0)
        with suppress(ConnectionError, asyncio.CancelledError):
            await work

    async def _work(self, request: Request, echo: dict[str, str]) -> None:
        seal = {
            'X-Server-Seal': f'{self.name}.{request.headers["x-attempt-id"]}'
        }
        if not self.places:
            await asyncio.sleep(self.work_seconds)
            await request.answer(200, b'done' * 200, {**echo, **seal})
            return
        head = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        head += [f'{name}: {text}' for name, text in (echo | seal).items()]
        head.append('Transfer-Encoding: chunked')
        request.writer.write('\r\n'.join([*head, '', '']).encode())
        first = int(request.headers.get('last-event-id') or 0) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.work_seconds)
            text = f'piece {number} of {self.name} {self.version}'
            event = f'id: {number}\ndata: {text}\n\n'.encode()
            request.writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await request.writer.drain()
        request.writer.write(b'0\r\n\r\n')
        await request.writer.drain()


# Machines


@dataclass
class Machine:
    """A ``front`` machine: one gateway process that is started again.

    :param own_ends: times at which its process ended without a signal.
    """

    name: str
    zone: str
    ip: str
    settings: Path
    log: Path
    record: Record
    process: asyncio.subprocess.Process | None = None
    own_ends: list[float] = field(default_factory=list)
    started_at: float = 0
    dark_until: float = 0
    disruptions: list[tuple[float, float]] = field(default_factory=list)
    stopping: bool = False
    struck: bool = False

    @property
    def front(self) -> tuple[str, int]:
        return self.ip, 8221

    async def run(self) -> None:
        """Keep the process running until the case ends."""
        while not self.stopping:
            await asyncio.sleep(max(self.dark_until - time.monotonic(), 0))
            with self._open_log() as log:
                self.process = await asyncio.create_subprocess_exec(
                    *_command(),
                    cwd=REPOSITORY,
                    env=_environment(self.settings),
                    stdout=log,
                    stderr=log,
                )
            self.started_at = time.monotonic()
            self.record.write(f'{self.name}: process started')
            code = await self.process.wait()
            if not self.stopping and not self.struck:
                self.own_ends.append(time.monotonic())
                self.record.write(
                    f'{self.name}: process ended by itself, {code}'
                )
            self.struck = False
            # From the first start on, the platform says so in the settings.
            text = self.settings.read_text()
            self.settings.write_text(
                text.replace('bootstrap=true', 'bootstrap=false')
            )
            await asyncio.sleep(_RESTART_SECONDS)

    def _open_log(self) -> BinaryIO:
        return open(self.log, 'ab')

    def strike(self, number: signal.Signals) -> None:
        """Send a signal; a kill is a disruption, not an end of its own."""
        self.struck = number in {signal.SIGKILL, signal.SIGTERM}
        self.record.write(f'{self.name}: {number.name}')
        self.process.send_signal(number)

    def lose_power(self, seconds: float) -> None:
        """End the process; it starts again once the power is back."""
        self.dark_until = time.monotonic() + seconds
        self.disruptions.append((time.monotonic(), self.dark_until))
        self.record.write(f'{self.name}: power off for {seconds} s')
        if self.process.returncode is None:
            self.strike(signal.SIGKILL)

    def counted_ends(self) -> int:
        """Return the ends of its own but those near a disruption of it."""
        return sum(
            not any(
                began - _NEAR_SECONDS <= at <= ended + _NEAR_SECONDS
                for began, ended in self.disruptions
            )
            for at in self.own_ends
        )

    async def is_ready(self) -> bool:
        connection = Connection((self.ip, 8224))
        answer = await connection.call('GET', '/-/readyz', 'r', seconds=1)
        connection.close()
        return answer.status == 200


def _command() -> list[str]:
    deploy = tomllib.loads((REPOSITORY / 'deploy/system.toml').read_text())
    return deploy['roles']['gateway']['run'].split(' ')


def _environment(settings: Path) -> dict[str, str]:
    kept = {
        name: os.environ[name]
        for name in ('PATH', 'HOME', 'LANG')
        if name in os.environ
    }
    return {
        **kept,
        'PYTHONPATH': str(REPOSITORY / 'target/deps'),
        'PYTHONDONTWRITEBYTECODE': '1',
        'COWSLIPRACK_SETTINGS': str(settings),
    }


MODELS = tuple(f'm{number}' for number in range(4))


def configuration(
    version: int = 1,
    keys: tuple[str, ...] = (KEY,),
    rate: float = 1_000_000,
    burst: float = 1_000_000,
    **service: Any,
) -> dict[str, Any]:
    """Return a configuration with the kinds of request of the small site."""
    models = [
        {
            'name': name,
            'weights_size': 70000.0,
            'load_s': 6.0,
            'adapters': 0,
            'adapter_mb': 12.0,
            'warm_s': 0.45,
            'disk_s': 0.6,
        }
        for name in MODELS
    ]
    engine = {
        'slots': 64,
        'kv_capacity': 114341,
        'weights_size': 230000.0,
        'adapter_slots': 8,
        'loads_per_s': 3.0,
        'models': models,
    }
    return {
        'version': version,
        'routes': [
            _route('draft', 'stream', 'kettle-lm', 12000, resumable=True),
            _route('order', 'unsafe', 'order-app', 4000),
            _route('stock', 'safe', 'order-app', 4000, max_attempts=2),
            _route('open', 'safe', 'order-app', 4000, public=True),
        ],
        'services': [
            {'name': 'kettle-lm', 'max_conns': 360, 'engine': engine},
            {'name': 'order-app', 'max_conns': 96, **service},
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 5000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [
            {
                'name': 'desk',
                'api_keys': list(keys),
                'unit': 'tokens',
                'plain_tokens': 200,
                'rate_per_s': rate,
                'burst': burst,
            },
            {
                'name': 'stock',
                'api_keys': ['key-of-the-stock'],
                'unit': 'tokens',
                'plain_tokens': 200,
                'rate_per_s': 1_000_000,
                'burst': 1_000_000,
            },
        ],
    }


def _route(
    name: str, kind: str, service: str, timeout_ms: int, **more: Any
) -> dict[str, Any]:
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': timeout_ms,
        'goal_ms': 400,
        'priority': 1,
        'service': service,
        'max_attempts': 1,
        'public': False,
        'gap_aim_ms': 200,
        **more,
    }


@dataclass
class World:
    """A deployment: the store, engines and machines, with their record."""

    folder: Path
    record: Record
    net: str
    store: Store = field(default_factory=Store)
    runs: list[Run] = field(default_factory=list)
    engines: dict[str, Engine] = field(default_factory=dict)
    machines: dict[str, Machine] = field(default_factory=dict)
    _servers: list[asyncio.Server] = field(default_factory=list)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _attempts: int = 0

    def attempt(self) -> str:
        self._attempts += 1
        return f'{self._attempts:012x}'

    async def open(
        self, machines: int, models: int, services: int, **settings: str
    ) -> None:
        """Start the stand-ins, then the machines, and wait for these."""
        self._servers.append(
            await serve(f'{self.net}.0.1', 8225, self.store.handle)
        )
        for number in range(models):
            await self.add_engine(f'lm{number + 1}', 'kettle-lm', places=3)
        for number in range(services):
            await self.add_engine(f'app{number + 1}', 'order-app')
        for number, engine in enumerate(self.engines.values()):
            if engine.places:
                engine.on_disk = list(MODELS)
                engine.models = {
                    MODELS[number % len(MODELS)]: [],
                    MODELS[(number + 1) % len(MODELS)]: [],
                }
            engine.register()
        self.store.put('config', 'main', configuration())
        for number in range(machines):
            await self.add_machine(f'front-{number + 1}', **settings)
        await self.wait_ready()

    async def add_engine(
        self, name: str, service: str, places: int = 0
    ) -> Engine:
        number = len(self.engines) + 1
        engine = Engine(
            name,
            service,
            ZONES[number % len(ZONES)],
            (f'{self.net}.2.{number}', 8080),
            self.store,
            self.runs,
            places,
            64 if places else 6,
            0.02 if places else 0.09,
        )
        self.engines[name] = engine
        await engine.start()
        return engine

    async def add_machine(self, name: str, **settings: str) -> Machine:
        number = len(self.machines) + 1
        ip = f'{self.net}.1.{number}'
        zone = ZONES[number % len(ZONES)]
        path = self.folder / f'{name}.conf'
        path.write_text(_settings(name, zone, ip, self.net, settings))
        machine = Machine(
            name, zone, ip, path, self.folder / f'{name}.log', self.record
        )
        self.machines[name] = machine
        self._tasks.append(asyncio.create_task(machine.run()))
        return machine

    async def wait_ready(self) -> None:
        ends_at = time.monotonic() + _READY_SECONDS
        for machine in self.machines.values():
            while not await machine.is_ready():
                if time.monotonic() > ends_at:
                    raise CannotRunError(f'{machine.name} is not ready')
                await asyncio.sleep(0.1)

    def leader(self) -> Machine:
        """Return the machine that holds the lease, by the store."""
        lease = self.store.objects.get('leases', {}).get('nl-west')
        holder = lease.spec.get('holder') if lease else ''
        if holder not in self.machines:
            raise CannotRunError('no machine leads')
        return self.machines[holder]

    async def close(self) -> None:
        for machine in self.machines.values():
            machine.stopping = True
            if machine.process and machine.process.returncode is None:
                with suppress(ProcessLookupError):
                    machine.process.send_signal(signal.SIGCONT)
                    machine.process.kill()
                await machine.process.wait()
        for task in self._tasks:
            task.cancel()
        for engine in self.engines.values():
            engine.stop()
        for server in self._servers:
            server.close()


def _settings(
    name: str, zone: str, ip: str, net: str, changes: dict[str, str]
) -> str:
    """Return the settings of a machine, with the bounds of the small site."""
    fields = {
        'node': name,
        'role': 'gateway',
        'class': 'front',
        'serves': 'front',
        'ip': ip,
        'zone': zone,
        'region': 'nl-west',
        **{f'zones.{one}': 'nl-west' for one in ZONES},
        'listen.front': f'{ip}:8221',
        'listen.ready': f'{ip}:8224',
        'internal_ports': '7600,7615',
        'bootstrap': 'true',
        'limits.cpu_share': '0.537',
        'limits.cores': '2',
        'limits.memory_mb': '300',
        'limits.link_mbps': '1000.0',
        'heartbeat_ms': '1200',
        'bounds.stable_ms': '3000',
        'bounds.drain_ms': '2000',
        'bounds.grace_s': '8',
        'bounds.config_ms': '2000',
        'bounds.revoke_strict': 'true',
        'bounds.revoke_ms': '5000',
        'bounds.budget_ratio': '0.2',
        'bounds.budget_window_s': '10',
        'bounds.budget_slack': '52',
        'bounds.quota_window_s': '8',
        'bounds.quota_overrun': '0.1',
        'bounds.quota_slack': '7400',
        'bounds.recover_s': '12',
        'bounds.require_fence': 'true',
        'bounds.lease_ms': '3000',
        'platform.addr': f'{net}.0.1:8225',
        'platform.form': 'objects',
        **changes,
    }
    return ''.join(f'{field}={text}\n' for field, text in fields.items())


def _free_net() -> str:
    """Return the first two bytes of loopback addresses that nobody uses."""
    for _ in range(50):
        net = f'127.{random.randrange(16, 250)}'  # noqa: S311
        with suppress(OSError), socket.create_server((f'{net}.0.1', 8225)):
            with socket.create_server((f'{net}.1.1', 9464)):
                return net
    raise CannotRunError('no free loopback addresses')


def _keep_logs(folder: Path) -> None:
    """Copy the logs of the machines to the folder ``KEEP_LOGS``, if set."""
    if kept := os.environ.get('KEEP_LOGS'):
        for log in folder.glob('*.log'):
            Path(kept, log.name).write_bytes(log.read_bytes())


Case = Callable[[World], Awaitable[bool]]


async def _play(case: Case, seconds: float, record: Record) -> int:
    with tempfile.TemporaryDirectory() as folder:
        world = World(Path(folder), record, _free_net())
        # A case that is ended from outside ends its processes, too.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        try:
            async with asyncio.timeout(seconds):
                held = await case(world)
        finally:
            await world.close()
            _keep_logs(Path(folder))
    return HELD if held else BROKEN


def main(case: Case, folder: Path, seconds: float = 110) -> int:
    """Play a case; return its exit code.

    :param case: plays in a world and returns whether the rule held.
    :param folder: of the case, for its record.
    """
    record = Record(folder / 'record.txt')
    record.write(f'trouble: {"yes" if TROUBLE else "no"}')
    try:
        code = asyncio.run(_play(case, seconds, record))
    except (
        CannotRunError,
        TimeoutError,
        OSError,
        asyncio.CancelledError,
    ) as error:
        record.write(f'the case could not run: {error!r}')
        code = NOT_RUN
    record.write({0: 'HELD', 1: 'BROKEN', 2: 'NOT RUN'}[code])
    print(record.lines[-1])  # noqa: T201
    return code
