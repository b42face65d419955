"""Request path of one instance on a loopback port, without a zone leader."""

import asyncio
import random
import socket
import threading
import time
from dataclasses import replace
from functools import partial

import anyio
import httpx

from cowsliprack.coordination.capacity import Capacity
from cowsliprack.coordination.dispatcher import Dispatcher
from cowsliprack.logs import configure_logs
from cowsliprack.metrics import Metrics
from cowsliprack.protocol import peer
from cowsliprack.settings import Settings
from cowsliprack.state import configuration as conf
from cowsliprack.transport.dispatch_loop import (
    DispatchLoop,
    NewConfiguration,
    PeerMessageReceived,
)
from cowsliprack.transport.forward import Forwarder
from cowsliprack.transport.http_api import HttpApi
from cowsliprack.transport.http_listener import serve_sockets
from cowsliprack.transport.keyed_runs import KeyedRuns
from cowsliprack.transport.target_client import TargetClient
from tests.support.object_store import InMemoryStore
from tools.processes import FLEET_SECRET

KEY = 'sk-acme-01234567'
CHAT = {'model': 'm', 'messages': [{'role': 'user', 'content': 'hi'}]}


def make_configuration(urls_by_target):
    """Return a configuration with the targets at these addresses."""
    targets = {}
    for name, url in urls_by_target.items():
        is_engine = name.startswith('e')
        kind = conf.TargetKind.engine if is_engine else conf.TargetKind.service
        targets[name] = conf.Target(name, kind, 'a', url, name[0])
    return conf.Configuration(
        generation=1,
        zones=('a',),
        organisations_by_id={'acme': conf.Organisation('acme', 1e6, 1e6)},
        organisation_id_by_key_digest={conf.key_digest(KEY): 'acme'},
        deployments_by_name={'m': conf.Deployment('m', 'm', '1', 2, 1, 'e')},
        services_by_route={
            'orders': conf.Service('orders', 's'),
            'open': conf.Service('open', 's', open_to_all=True),
        },
        targets_by_id=targets,
    )


class RequestPathServer:
    """HTTP server in a thread whose leader grants all requested credit."""

    def __init__(self, urls_by_target, store=None):
        configure_logs('error')
        self.store = store or InMemoryStore()
        self.configuration = make_configuration(urls_by_target)
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = self._listener.getsockname()
        self.url = f'http://127.0.0.1:{self.address[1]}'
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=partial(anyio.run, self._main))
        self._thread.start()

    def close(self):
        """Stop the server and wait for its thread."""
        self._stopped.set()
        self._thread.join()

    def withdraw_keys(self):
        """Apply a configuration without keys."""
        self.configuration = replace(
            self.configuration,
            generation=2,
            organisation_id_by_key_digest={},
        )
        event = NewConfiguration(self.configuration)
        self._loop.call_soon_threadsafe(self.dispatch_loop.post, event)

    def client(self):
        """Return an HTTP client with the key of acme."""
        return httpx.Client(
            base_url=self.url,
            headers={'x-api-key': KEY},
            timeout=20,
            trust_env=False,
        )

    async def _main(self):
        self._loop = asyncio.get_running_loop()
        capacity = Capacity('a', 'i1-1', random.Random(1))
        metrics = Metrics()
        self.dispatch_loop = DispatchLoop(
            Dispatcher(capacity),
            metrics,
            self._answer_credit_request,
            time.monotonic,
        )
        client = TargetClient()
        api = HttpApi(
            Settings(
                instance_id='i1',
                zone='a',
                store_url='http://127.0.0.1:1',
                fleet_secret=FLEET_SECRET,
            ),
            metrics,
            Forwarder(
                self.dispatch_loop,
                client,
                KeyedRuns(self.store, 'i1', time.time),
                metrics,
                time.monotonic,
            ),
            lambda: self.configuration,
            lambda: True,
            lambda: False,
            time.monotonic,
        )
        stopped = anyio.Event()
        self.dispatch_loop.post(NewConfiguration(self.configuration))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.dispatch_loop.run)
            tasks.start_soon(self._send_views)
            tasks.start_soon(self._wait_for_stop, stopped)
            await serve_sockets(api, [self._listener], stopped, 0.5)
            tasks.cancel_scope.cancel()
        await client.aclose()

    async def _wait_for_stop(self, stopped):
        await anyio.to_thread.run_sync(self._stopped.wait)
        stopped.set()

    async def _send_views(self):
        engines = [
            target.target_id
            for target in self.configuration.targets_by_id.values()
            if target.kind is conf.TargetKind.engine
        ]
        for sequence in range(10_000):
            view = peer.ReplicaView(
                zone='a',
                fencing=1,
                sequence=sequence,
                full=True,
                targets=tuple(
                    peer.TargetInfo(name, 'a', 'live', 0, boot_id='raw-1')
                    for name in engines
                ),
                replicas=tuple(
                    peer.ReplicaInfo('m', name, 'loaded') for name in engines
                ),
            )
            self.dispatch_loop.post(PeerMessageReceived(view))
            await anyio.sleep(0.2)

    def _answer_credit_request(self, message):
        if isinstance(message, peer.CreditRequest):
            grant = peer.CreditGrant(
                message.request_id, message.organisation, message.wanted, 2
            )
            self.dispatch_loop.post(PeerMessageReceived(grant))
