"""Gateway processes and stand-ins of the platform on loopback."""

import asyncio
import contextlib
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

import anyio

from tests.support.crashing_port import serve_crashing_port
from tests.support.cut_connections import Cut
from tools.standins.objects import ObjectStoreServer
from tools.standins.route_engine import RouteEngine
from tools.standins.web import bind, serve_on

HOST = 'desk.example'
KEY = 'a-key-of-the-desk'
MODELS = ('m0', 'm1', 'm2', 'm3')
_READY_TIMEOUT_SECONDS = 15.0
# Time for which a crashed target has no process.
RESTART_SECONDS = 0.4
# UDP sockets that reserve the TCP ports of the same number.
_reservations = []


def free_port():
    """Return a TCP port that is free and that no other test run returns.

    The range lies below the ephemeral ports, which outgoing connections could
    occupy before the gateway has started. A gateway may not have bound its port
    yet when another run looks for one, so the UDP port of the same number is
    held until this process ends.
    """
    while True:
        port = random.randrange(15000, 32000)
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reservation.bind(('127.0.0.1', port))
            with socket.create_server(('127.0.0.1', port)):
                _reservations.append(reservation)
                return port
        except OSError:
            reservation.close()


def configuration(
    version=1,
    keys=(KEY,),
    rate=100000,
    prefix='/chat/',
    load_seconds=0.2,
    models=MODELS,
    max_body_bytes=100000,
):
    """Return a configuration document as an operator writes it."""
    routes = [
        _route('chat', prefix, 'stream', 'llm', resumable=True, attempts=2),
        _route('report', '/report/', 'stream', 'llm', attempts=1),
        _route('order', '/order/', 'unsafe', 'shop', attempts=1),
        _route('stock', '/stock/', 'safe', 'shop', attempts=2),
        _route('open', '/open/', 'safe', 'shop', attempts=2, public=True),
    ]
    models = [
        {
            'name': name,
            'weights_size': 70.0,
            'load_s': load_seconds,
            'adapters': 4,
            'adapter_mb': 1.0,
            'warm_s': 0.1,
            'disk_s': 0.1,
        }
        for name in models
    ]
    engine = {
        'slots': 8,
        'kv_capacity': 10000,
        'models': models,
        'weights_size': 160.0,
        'adapter_slots': 4,
        'loads_per_s': 20.0,
    }
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': 'llm', 'max_conns': 100, 'engine': engine},
            {'name': 'shop', 'max_conns': 100},
        ],
        'limits': {
            'max_body_bytes': max_body_bytes,
            'idle_timeout_ms': 15000,
        },
        'tenants': [
            {
                'name': 'desk',
                'api_keys': list(keys),
                'priority': 1,
                'unit': 'tokens',
                'plain_tokens': 100,
                'rate_per_s': rate,
                'burst': rate,
            },
        ],
    }


def _route(name, prefix, kind, service, attempts, **more):
    return {
        'name': name,
        'host': HOST,
        'path_prefix': prefix,
        'kind': kind,
        'timeout_ms': 8000,
        'goal_ms': 1000,
        'priority': 1,
        'service': service,
        'max_attempts': attempts,
        'gap_aim_ms': 500,
        **more,
    }


class GatewayCluster:
    """Gateway processes, with the store and the targets in a thread.

    :param lease_ms: length of the lease of the region, milliseconds.
    :param models: names of the configured models.
    :param cuts_store: whether ``store_cut`` has an effect.
    """

    def __init__(self, lease_ms=1500, models=MODELS, *, cuts_store=False):
        self.lease_ms = lease_ms
        self.models = models
        self.cuts_store = cuts_store
        self.store_cut = Cut()
        self.platform = ObjectStoreServer()
        self.engines = {}
        self.processes = {}
        self.ports = {}
        self.cut = Cut()
        # Folders of the builds of gateways that do not run this one.
        self.build_by_name = {}
        # Further lines of the settings file.
        self.settings_lines = ()
        self._folder = tempfile.TemporaryDirectory()
        self._started = threading.Event()
        self._loop = None
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        assert self._started.wait(10)

    def _run(self):
        anyio.run(self._serve)

    async def _serve(self):
        self._loop = asyncio.get_running_loop()
        async with anyio.create_task_group() as tasks:
            listener = bind()
            self.store_port = listener.getsockname()[1]
            self._stopped = anyio.Event()
            tasks.start_soon(
                serve_on, listener, self.platform.handle, self._stopped.wait
            )
            if self.cuts_store:
                server_port, self.store_port = self.store_port, free_port()
                tasks.start_soon(self._serve_store, server_port)
            for name, service, places in (
                ('e1', 'llm', 2),
                ('e2', 'llm', 2),
                ('s1', 'shop', 0),
                ('s2', 'shop', 0),
            ):
                listener = bind()
                server_port = listener.getsockname()[1]
                port = free_port()
                engine = RouteEngine(
                    target_id=name,
                    service=service,
                    address=f'127.0.0.1:{port}',
                    zone='zone-a',
                    store=self.platform,
                    tasks=tasks,
                    max_models=places,
                )
                self.engines[name] = engine
                tasks.start_soon(
                    serve_on, listener, engine.handle, self._stopped.wait
                )
                tasks.start_soon(self._serve_port, engine, port, server_port)
            self.engines['e1'].models = {'m0': set(), 'm1': set()}
            self.engines['e2'].models = {'m0': set()}
            for name in ('e1', 'e2'):
                self.engines[name].on_disk = set(self.models)
            for engine in self.engines.values():
                engine.register()
            self.platform.put(
                'config', 'main', configuration(models=self.models)
            )
            self._started.set()
            await self._stopped.wait()
            await anyio.sleep(0.2)
            tasks.cancel_scope.cancel()

    async def _serve_store(self, server_port):
        """Serve the port of the store before which connections are cut."""
        listeners = await anyio.create_tcp_listener(
            local_host='127.0.0.1', local_port=self.store_port
        )
        await serve_crashing_port(
            listeners.listeners[0], server_port, anyio.Event(), self.store_cut
        )

    async def _serve_port(self, engine, port, server_port):
        """Serve the port of a target; a crashed one starts again."""
        while True:
            listeners = await anyio.create_tcp_listener(
                local_host='127.0.0.1', local_port=port
            )
            listener = listeners.listeners[0]
            await serve_crashing_port(
                listener, server_port, engine.crashed, self.cut
            )
            await anyio.sleep(RESTART_SECONDS)
            engine.restart()

    def call(self, function, *arguments):
        """Run a function in the thread of the stand-ins."""
        done = threading.Event()
        results = []

        def run():
            results.append(function(*arguments))
            done.set()

        self._loop.call_soon_threadsafe(run)
        assert done.wait(5)
        return results[0]

    def configure(self, **changes):
        """Write a configuration to the store."""
        document = configuration(**{'models': self.models, **changes})
        self.call(self.platform.put, 'config', 'main', document)

    def start(self, name):
        """Start a gateway process and wait until it is ready."""
        self.launch(name)
        self.wait_ready(name)

    def launch(self, name):
        """Start a gateway process."""
        is_first = not self.processes
        if name not in self.ports:
            self.ports[name] = {
                part: free_port()
                for part in ('front', 'ready', 'peer', 'metrics')
            }
        ports = self.ports[name]
        settings = Path(self._folder.name) / f'{name}.conf'
        settings.write_text(
            f'node={name}\nzone=zone-a\nregion=region\nip=127.0.0.1\n'
            f'listen.front=127.0.0.1:{ports["front"]}\n'
            f'listen.ready=127.0.0.1:{ports["ready"]}\n'
            f'internal_ports={ports["peer"]},{ports["metrics"]}\n'
            f'platform.addr=127.0.0.1:{self.store_port}\n'
            f'bootstrap={"true" if is_first else "false"}\n'
            f'bounds.lease_ms={self.lease_ms}\n'
            'bounds.grace_s=6\nbounds.revoke_ms=3000\n'
            'bounds.quota_slack=2000\nbounds.budget_slack=50\n'
            'a line that is no setting\nunknown.field=7\n'
            + ''.join(f'{line}\n' for line in self.settings_lines),
        )
        self.log_path = Path(self._folder.name) / f'{name}.log'
        with open(self.log_path, 'ab') as log:
            build = str(self.build_by_name.get(name, Path.cwd()))
            self.processes[name] = subprocess.Popen(
                # -P keeps this build, in the working directory, off the path.
                [sys.executable, '-P', '-m', 'cowsliprack', 'platform'],
                env={
                    **os.environ,
                    'COWSLIPRACK_SETTINGS': str(settings),
                    'PYTHONPATH': build,
                },
                stdout=log,
                stderr=log,
            )

    def log(self, name):
        """Return the log of a gateway."""
        return (Path(self._folder.name) / f'{name}.log').read_text()

    def wait_ready(self, name):
        """Wait until a gateway reports that it is ready."""
        end = time.monotonic() + _READY_TIMEOUT_SECONDS
        while time.monotonic() < end:
            if self.is_ready(name):
                return
            time.sleep(0.05)
        raise AssertionError(f'{name} is not ready:\n{self.log(name)[-3000:]}')

    def is_ready(self, name):
        """Return whether a gateway reports that it is ready."""
        try:
            status, _, _ = request(
                self.ports[name]['ready'],
                'GET',
                '/-/readyz',
                timeout=1,
            )
        except OSError:
            return False
        return status == 200

    def signal(self, name, number):
        """Send a signal to a gateway."""
        self.processes[name].send_signal(number)

    def cut_off(self, name, mode):
        """Cut a gateway off from all targets, see ``Cut``."""
        self.call(self.cut.begin, self.processes[name].pid, mode)

    def end_cut(self):
        """Let the gateway that was cut off reach the targets again."""
        self.call(self.cut.end)

    def kill(self, name):
        """Kill a gateway."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def close(self):
        """Kill the gateways and stop the stand-ins."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._loop.call_soon_threadsafe(self._stopped.set)
        self._thread.join(5)
        self._folder.cleanup()


def request(port, method, path, headers=(), body=b'', timeout=12):
    """Send one request on a new connection.

    :returns: status, headers by lower-case name, and the body.
    :raises ConnectionError: the response ended early.
    """
    with socket.create_connection(('127.0.0.1', port), timeout) as connection:
        connection.settimeout(timeout)
        send(connection, method, path, headers, body)
        return read_response(connection)


def send(connection, method, path, headers=(), body=b''):
    """Write a request."""
    lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}']
    lines += [f'{name}: {text}' for name, text in headers]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    connection.sendall('\r\n'.join([*lines, '', '']).encode() + body)


def read_response(connection):
    """Read one response."""
    received = b''
    while b'\r\n\r\n' not in received:
        received += _receive(connection)
    head, _, rest = received.partition(b'\r\n\r\n')
    lines = head.decode().split('\r\n')
    status = int(lines[0].split(' ')[1])
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        headers[name.lower()] = text.strip()
    if 'content-length' in headers:
        while len(rest) < int(headers['content-length']):
            rest += _receive(connection)
        return status, headers, rest
    body = b''
    while True:
        while b'\r\n' not in rest:
            rest += _receive(connection)
        size, _, rest = rest.partition(b'\r\n')
        length = int(size, 16)
        while len(rest) < length + 2:
            rest += _receive(connection)
        body += rest[:length]
        rest = rest[length + 2 :]
        if not length:
            return status, headers, body


def _receive(connection):
    received = connection.recv(65536)
    if not received:
        raise ConnectionError('the response ended early')
    return received
