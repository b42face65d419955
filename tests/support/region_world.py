"""Instances of a region in one process, before one engine on a socket."""

import time
from types import SimpleNamespace

import anyio
import httpx

from cowsliprack.coordination.fleet_view import FleetView
from cowsliprack.coordination.freshness import Freshness
from cowsliprack.coordination.poison import PoisonTracker
from cowsliprack.coordination.target_selector import TargetSelector
from cowsliprack.coordination.token_credit import TokenCredit
from cowsliprack.coordination.waiting_requests import WaitingRequests
from cowsliprack.platform.engine_client import EngineClient
from cowsliprack.protocol.message_level import new_process_id
from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.engine_state import EngineOrder
from cowsliprack.state.routing_table import (
    EngineSpec,
    ModelSpec,
    RoutingTable,
    ServiceSpec,
)
from cowsliprack.transport.checked_transport import CheckedTransport
from cowsliprack.transport.region import Region
from cowsliprack.transport.running_time import RunningTime
from tests.support.held_engine import HeldEngine
from tests.support.object_store import InMemoryStore
from tests.support.routed import target_record

SERVICE = 'llm'
_STEP_SECONDS = 0.005
_COLD_SECONDS = 20
_MODELS = ('m0', 'm1', 'm2', 'm3')


class GatedTransport(CheckedTransport):
    """Opens no connection before its gate is open.

    :ivar waiting: number of requests at the gate.
    """

    def __init__(self):
        super().__init__()
        self.gate = anyio.Event()
        self.gate.set()
        self.waiting = 0

    async def _connect(self, address, request):
        self.waiting += 1
        try:
            await self.gate.wait()
        finally:
            self.waiting -= 1
        return await super()._connect(address, request)


class _Sockets:
    """Messages between the instances of the process."""

    sent_bytes = 0

    def __init__(self, instance_id, sockets_by_id):
        self._instance_id = instance_id
        self._sockets_by_id = sockets_by_id
        sockets_by_id[instance_id] = self
        self._put, self._get = anyio.create_memory_object_stream(1000)

    def connect(self, _instance_id, _address):
        """Do nothing, as all are connected."""

    def send(self, instance_id, message):
        """Deliver a message."""
        self._sockets_by_id[instance_id]._put.send_nowait(
            (self._instance_id, message)
        )
        return True

    async def receive(self):
        """Return the next message."""
        return await self._get.receive()


class _Store(InMemoryStore):
    """Notes when the lease was released."""

    def __init__(self):
        super().__init__()
        self.released_at = []

    def _put(self, key, body, expected_version):
        if not body.get('holder'):
            self.released_at.append(time.monotonic())
        return super()._put(key, body, expected_version)


class RegionWorld:
    """Instances g1 and g2, of which only g1 competes at first.

    :param lease_seconds: duration of the lease.
    :param missing: names of models that the engine does not hold.
    """

    def __init__(self, lease_seconds, missing=()):
        self.lease_seconds = lease_seconds
        self._missing = missing
        self.engine = HeldEngine(_MODELS)
        self.store = _Store()
        self.transport = GatedTransport()
        self.regions_by_id = {}
        self.cut_off = set()
        self._scopes_by_id = {}
        self._sockets_by_id = {}
        self.tasks = None
        self.suspended_seconds = 0
        self._client = httpx.AsyncClient(transport=self.transport)

    async def run(self, script):
        """Run a script beside the instances.

        :param script: coroutine function that gets this world.
        """
        async with self._client, anyio.create_task_group() as self.tasks:
            self.tasks.start_soon(self.engine.run)
            await self.start('g1')
            await self.until(lambda: self.is_ready('g1'))
            await self.start('g2')
            await script(self)
            self.tasks.cancel_scope.cancel()

    async def start(self, instance_id):
        """Start an instance."""
        region = Region(self._context(instance_id))
        region.reach_watch = SimpleNamespace(
            has_lost_engines=lambda: instance_id in self.cut_off
        )
        self.regions_by_id[instance_id] = region
        self.tasks.start_soon(self._run_tasks, instance_id, region)

    def kill(self, instance_id):
        """End an instance without a release of its lease."""
        self._scopes_by_id.pop(instance_id).cancel()

    async def _run_tasks(self, instance_id, region):
        async with anyio.create_task_group() as tasks:
            self._scopes_by_id[instance_id] = tasks.cancel_scope
            for task in (
                region._keep_lease,
                region._receive,
                region._report,
                region._lead,
            ):
                tasks.start_soon(task)

    def now(self):
        """Return seconds on a clock that runs during suspension."""
        return time.monotonic() + self.suspended_seconds

    async def until(self, condition, seconds=8):
        """Wait until a condition holds."""
        for _ in range(round(seconds / _STEP_SECONDS)):
            if condition():
                return
            await anyio.sleep(_STEP_SECONDS)
        raise AssertionError('the condition did not hold in time')

    async def until_led(self):
        """Wait until the leader knows all instances."""
        term = self.regions_by_id['g1'].term
        await self.until(lambda: len(term.state.members_by_id) > 1)

    def is_ready(self, instance_id):
        """Return whether an instance leads and may order the engine."""
        term = self.regions_by_id[instance_id].term
        if term is None or not term.holds_lease():
            return False
        engine = _engine(term)
        return engine.surveyed and engine.order is None

    def order(self, instance_id, model):
        """Begin to send the order to load a model."""
        term = self.regions_by_id[instance_id].term
        engine = _engine(term)
        engine.order = EngineOrder('e1', OrderKind.load, model)
        term._tasks.start_soon(term._executor.execute, engine, engine.order)

    def _context(self, instance_id):
        fleet = FleetView()
        fleet.registry.apply(
            [
                target_record(
                    'e1', service=SERVICE, address=self.engine.address, born=1
                )
            ],
            [],
            1,
        )
        models_by_name = {
            name: ModelSpec(name, 10, 1, 1, 0.05, 0.05) for name in _MODELS
        }
        for name in self._missing:
            models_by_name[name] = ModelSpec(
                name, 10, 1, _COLD_SECONDS, 0.05, 0.05
            )
        spec = EngineSpec(8, 10000, 160, 4, 20, models_by_name)
        service = ServiceSpec(SERVICE, 100, spec)
        table = RoutingTable(1, services_by_name={SERVICE: service})
        return SimpleNamespace(
            instance_id=instance_id,
            boot=new_process_id(),
            read_notice=None,
            zone='z',
            region='r',
            address=instance_id,
            lease_seconds=self.lease_seconds,
            first_start=True,
            cores=2,
            link_megabits=1000,
            max_relay_age_seconds=5,
            store=self.store,
            engines=EngineClient(self._client),
            client=self._client,
            running_time=RunningTime(),
            sockets=_Sockets(instance_id, self._sockets_by_id),
            fleet=fleet,
            target_selector=TargetSelector('z'),
            waiting_requests=WaitingRequests(),
            credit=TokenCredit(0, 8),
            freshness=Freshness(5),
            poison=SimpleNamespace(
                announce=None, tracker=PoisonTracker(), apply=bool
            ),
            table=lambda: table,
            configuration_copy=lambda: b'{}',
            apply_configuration_copy=lambda _spec: None,
            apply_relayed_targets=lambda _view: False,
            clock=self.now,
        )


def _engine(term):
    return term.state.schedulers_by_service[SERVICE].engines_by_id['e1']
