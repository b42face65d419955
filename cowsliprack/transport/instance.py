"""Starts and stops the tasks of one instance."""

import random
import socket
import time
import uuid
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

import anyio
import structlog
from anyio.streams.memory import MemoryObjectReceiveStream

from cowsliprack.coordination.capacity import Capacity
from cowsliprack.coordination.dispatcher import Dispatcher
from cowsliprack.coordination.lease import Role
from cowsliprack.logs import configure_logs
from cowsliprack.metrics import Metrics
from cowsliprack.protocol.peer import AnyPeerMessage
from cowsliprack.settings import Settings
from cowsliprack.state.configuration import Configuration
from cowsliprack.transport.caller_watch import CallerWatch, watch_callers
from cowsliprack.transport.clock import read_clock
from cowsliprack.transport.dispatch_loop import (
    DispatchLoop,
    Drain,
    Isolated,
    NewConfiguration,
    PeerMessageReceived,
)
from cowsliprack.transport.forward import Forwarder
from cowsliprack.transport.http_api import HttpApi
from cowsliprack.transport.http_listener import LISTEN_BACKLOG, serve_sockets
from cowsliprack.transport.hub import Hub
from cowsliprack.transport.instance_list import InstanceListPoller
from cowsliprack.transport.keyed_runs import KeyedRuns
from cowsliprack.transport.leader import Leader, LeaderDependencies
from cowsliprack.transport.mesh import Mesh
from cowsliprack.transport.peer_sockets import PeerSockets
from cowsliprack.transport.signals import handle_signals
from cowsliprack.transport.store_client import HttpObjectStore
from cowsliprack.transport.target_client import TargetClient

_MAX_LEADER_INBOX_MESSAGES = 4096
# Time for closing the connections after the last request.
_CLOSE_TIMEOUT_SECONDS = 3
_log = structlog.get_logger('cowsliprack.instance')


def serve(settings: Settings) -> None:
    """Run one instance until SIGTERM or SIGINT, then stop gracefully.

    :param settings: settings of the instance.
    """
    configure_logs(settings.log_level)
    anyio.run(_run, settings)


@dataclass(slots=True)
class Instance:
    """Creates and connects the parts of one instance.

    :param settings: settings of the instance.
    :param sockets: connections to other instances.
    :param store: client of the platform store.
    :param client: client of the targets.
    :param draining: whether the instance is stopping.
    :param http_closed: set when the HTTP server has stopped.
    """

    settings: Settings
    sockets: PeerSockets
    store: HttpObjectStore
    client: TargetClient
    metrics: Metrics = field(default_factory=Metrics)
    draining: bool = False
    http_closed: anyio.Event = field(default_factory=anyio.Event)
    dispatch_loop: DispatchLoop = field(init=False)
    hub: Hub = field(init=False)
    mesh: Mesh = field(init=False)
    instance_list_poller: InstanceListPoller = field(init=False)
    leader: Leader = field(init=False)
    callers: CallerWatch = field(init=False)
    api: HttpApi = field(init=False)

    def __post_init__(self) -> None:
        """Create the parts without starting their tasks."""
        settings = self.settings
        inbox, inbound = anyio.create_memory_object_stream[
            tuple[str, AnyPeerMessage]
        ](_MAX_LEADER_INBOX_MESSAGES)
        capacity = Capacity(
            settings.zone,
            f'{settings.instance_id}-{uuid.uuid4().hex[:12]}',
            random.Random(),
        )
        self.dispatch_loop = DispatchLoop(
            Dispatcher(capacity, settings.max_queue),
            self.metrics,
            self._send_to_leader,
            read_clock,
        )
        self.leader = Leader(self._leader_dependencies(inbound))
        self.mesh = Mesh(
            instance_id=settings.instance_id,
            zone=settings.zone,
            store=self.store,
            sockets=self.sockets,
            clock=read_clock,
            leader_fencing=self._leader_fencing,
            deliver=self._deliver,
            on_configuration=self._on_configuration,
            on_isolation=self._on_isolation,
            seeds=settings.seed_peers,
        )
        self.hub = Hub(
            settings.instance_id,
            self.mesh,
            self._to_dispatch_loop,
            inbox,
        )
        self.instance_list_poller = InstanceListPoller(
            settings.zone,
            self.store,
            self._is_leading,
            self.hub.announce,
        )
        self.callers = watch_callers(
            settings.memory_mb, settings.max_descriptors, self.metrics
        )
        self.api = HttpApi(
            settings,
            self.metrics,
            Forwarder(
                self.dispatch_loop,
                self.client,
                KeyedRuns(self.store, settings.instance_id, time.time),
                self.metrics,
                read_clock,
                self.callers.answers,
            ),
            self.configuration,
            self.is_ready,
            self.is_draining,
            read_clock,
            self.callers,
        )

    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.mesh.configuration

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests here."""
        return not self.draining and self.configuration().generation > 0

    def is_draining(self) -> bool:
        """Return whether the instance is stopping."""
        return self.draining

    async def run(self) -> None:
        """Run until a signal, then stop gracefully."""
        listener = socket.create_server(
            (self.settings.host, self.settings.port),
            backlog=LISTEN_BACKLOG,
        )
        stop = anyio.Event()
        shutdown = anyio.Event()
        async with anyio.create_task_group() as tasks:
            await tasks.start(handle_signals, stop)
            tasks.start_soon(self.dispatch_loop.run)
            tasks.start_soon(self.leader.run)
            tasks.start_soon(self.mesh.run)
            tasks.start_soon(self.instance_list_poller.run)
            tasks.start_soon(self._serve_http, listener, shutdown)
            host, port = listener.getsockname()[:2]
            _log.info(
                'listening',
                address=f'{host}:{port}',
                peer_address=self.sockets.address,
                instance_id=self.settings.instance_id,
                zone=self.settings.zone,
            )
            await stop.wait()
            await self._drain()
            shutdown.set()
            with anyio.move_on_after(_CLOSE_TIMEOUT_SECONDS):
                await self.http_closed.wait()
            tasks.cancel_scope.cancel()

    async def _drain(self) -> None:
        self.draining = True
        self.mesh.leaving = True
        self.dispatch_loop.post(Drain())
        _log.info('draining', requests=self._open_requests())
        await self.leader.release()
        with anyio.move_on_after(self.settings.drain_seconds):
            await self.dispatch_loop.drained.wait()
        _log.info('drained', requests=self._open_requests())

    def _open_requests(self) -> int:
        return len(self.dispatch_loop.dispatcher.requests_by_id)

    async def _serve_http(
        self,
        listener: socket.socket,
        shutdown: anyio.Event,
    ) -> None:
        await serve_sockets(
            self.api,
            [listener],
            shutdown,
            _CLOSE_TIMEOUT_SECONDS,
            self.callers.limits,
        )
        self.http_closed.set()

    def _leader_fencing(self) -> int | None:
        if self.leader.role() is Role.follower:
            return None
        return self.leader.fencing

    def _is_leading(self) -> bool:
        return self._leader_fencing() is not None

    def _deliver(self, sender: str, message: AnyPeerMessage) -> None:
        self.hub.receive(sender, message)

    def _on_isolation(self, seconds: float) -> None:
        self.metrics.leader.set({}, int(self._is_leading()))
        self.dispatch_loop.post(Isolated(seconds))

    def _on_configuration(self, configuration: Configuration) -> None:
        self.metrics.generation.set({}, configuration.generation)
        self.dispatch_loop.post(NewConfiguration(configuration))
        _log.info(
            'configuration_in_force',
            generation=configuration.generation,
        )

    def _to_dispatch_loop(self, message: AnyPeerMessage) -> None:
        self.dispatch_loop.post(PeerMessageReceived(message))

    def _send_to_leader(self, message: AnyPeerMessage) -> None:
        self.hub.send_to_leader(message)

    def _leader_dependencies(
        self,
        inbound: MemoryObjectReceiveStream[tuple[str, AnyPeerMessage]],
    ) -> LeaderDependencies:
        return LeaderDependencies(
            instance_id=self.settings.instance_id,
            zone=self.settings.zone,
            address=self.sockets.address,
            store=self.store,
            targets=self.client,
            clock=read_clock,
            inbound=inbound,
            send=self._hub_send,
            send_to_zone=self._hub_send_to_zone,
            broadcast=self._hub_broadcast,
            zone_of=self._hub_zone_of,
            configuration=self.configuration,
            lease_seconds=self.settings.lease_seconds,
        )

    def _hub_send(self, instance_id: str, message: AnyPeerMessage) -> None:
        self.hub.send(instance_id, message)

    def _hub_send_to_zone(self, zone: str, message: AnyPeerMessage) -> None:
        self.hub.send_to_zone(zone, message)

    def _hub_broadcast(self, message: AnyPeerMessage) -> None:
        self.hub.broadcast(message)

    def _hub_zone_of(self, instance_id: str) -> str | None:
        return self.hub.zone_of(instance_id)


async def _run(settings: Settings) -> None:
    async with AsyncExitStack() as stack:
        sockets = PeerSockets(
            settings.instance_id,
            settings.host,
            settings.peer_port,
            settings.fleet_secret.get_secret_value(),
        )
        await stack.enter_async_context(sockets)
        store = HttpObjectStore(settings.store_url)
        stack.push_async_callback(store.aclose)
        client = TargetClient()
        stack.push_async_callback(client.aclose)
        await Instance(settings, sockets, store, client).run()
