"""Simulates instances that run the real leader task in virtual time.

Store and targets are fakes. After every event P1 (no more replicas than
configured) and P2 (memory is never overcommitted) are checked on the targets.
"""

import heapq
import itertools
import random

import anyio

from cowsliprack.exceptions import (
    Ran,
    StoreConflictError,
    StoreUnavailableError,
    TargetError,
)
from cowsliprack.protocol.peer import (
    ColdStartRefusal,
    DemandReport,
    ReplicaView,
)
from cowsliprack.protocol.store import StoredObject
from cowsliprack.protocol.target import OrderKind, OrderOutcome
from cowsliprack.state.configuration import Configuration
from cowsliprack.transport.leader import Leader
from cowsliprack.transport.term import LeaderDependencies
from tests.support.fake_target import FakeTarget
from tests.support.virtual_loop import VirtualLoop

_CALL_SECONDS = 0.002
_CALL_TIMEOUT_SECONDS = 1.0
_DELAY_BY_FAULT = {'late': 4, 'delayed': 12}
_FREEZE_SECONDS = 30


class Link:
    """Connection of one instance to the store or to a target.

    Each call consumes the next entry of ``faults``.
    """

    def __init__(self):
        self.is_cut = False
        # ``lost``: no effect; ``unanswered``: effect without an answer;
        # ``late``, ``delayed``: no answer, and the effect comes later;
        # ``freeze``: the instance is suspended between effect and answer.
        self.faults = []
        self.delay = _CALL_SECONDS

    def take_fault(self):
        return self.faults.pop(0) if self.faults else 'ok'


class Instance:
    """One process with its own event loop."""

    def __init__(self, world, instance_id, zone):
        self.world = world
        self.instance_id = instance_id
        self.zone = zone
        self.frozen_until = None
        self.is_killed = False
        self.links = {}
        self.loop = VirtualLoop(world.clock)
        sender, receiver = anyio.create_memory_object_stream(10_000)
        self.inbound = sender
        self.leader = Leader(
            LeaderDependencies(
                instance_id,
                zone,
                # Not an address, so that nothing connects to it.
                instance_id,
                StoreCalls(self),
                TargetCalls(self),
                world.clock,
                receiver,
                self._send,
                self._send_to_zone,
                self._broadcast,
                self._zone_of,
                lambda: self.configuration,
                rng=random.Random(instance_id),
                wall_clock=world.clock,
            )
        )
        self.configuration = world.configuration
        self.task = self.loop.create_task(self.leader.run())

    def link(self, name):
        return self.links.setdefault(name, Link())

    def session(self):
        return self.leader._lease._candidate.session

    def is_running(self):
        is_resumed = self.frozen_until is None
        if not is_resumed and self.frozen_until <= self.world.now:
            self.frozen_until = None
            is_resumed = True
        return is_resumed and not self.is_killed

    def deliver(self, sender, message):
        if not self.is_killed:
            self.loop.call_soon(self.inbound.send_nowait, (sender, message))

    def _send(self, receiver, message):
        self.world.record_message(message)

    def _send_to_zone(self, zone, message):
        for other in self.world.instances.values():
            if other.zone == zone:
                other.deliver(self.instance_id, message)

    def _broadcast(self, message):
        self.world.record_message(message)
        if isinstance(message, ReplicaView):
            for other in self.world.instances.values():
                if other.zone != self.zone:
                    other.deliver(self.instance_id, message)

    def _zone_of(self, sender):
        other = self.world.instances.get(sender)
        is_remote = other is not None and other.zone != self.zone
        return other.zone if is_remote else None


class Calls:
    """Calls of one instance that are answered by events of the world."""

    def __init__(self, instance):
        self.instance = instance
        self.world = instance.world

    def answer_after(self, delay, future, outcome):
        def answer():
            if future.done() or self.instance.is_killed:
                return
            if isinstance(outcome, Exception):
                future.set_exception(outcome)
            else:
                future.set_result(outcome)

        self.world.at(delay, answer)


class StoreCalls(Calls):
    """``ObjectStore`` of one instance."""

    era = 0
    regained_at = float('-inf')

    async def read(self, key):
        return await self._call(key, lambda: self.world.objects.get(key))

    async def list(self, prefix):
        objects = self.world.objects
        return await self._call(
            prefix,
            lambda: [objects[key] for key in objects if key.startswith(prefix)],
        )

    async def create(self, key, body):
        return await self._call(key, lambda: self.world.put(key, body, None))

    async def update(self, key, body, expected_version):
        return await self._call(
            key, lambda: self.world.put(key, body, expected_version)
        )

    def _call(self, key, effect):
        link = self.instance.link('store')
        if key.startswith('orders/') and self.instance.link('journal').faults:
            link = self.instance.link('journal')
        future = self.instance.loop.create_future()
        fault = link.take_fault()
        if link.is_cut:
            fault = 'lost'
        timeout_error = StoreUnavailableError(fault)

        def carry_out():
            try:
                outcome = effect()
            except StoreConflictError as conflict:
                outcome = conflict
            if fault in {'ok', 'freeze'}:
                self.answer_after(link.delay, future, outcome)

        if fault == 'freeze':
            self.instance.frozen_until = self.world.now + _FREEZE_SECONDS
            self.world.at(link.delay, carry_out)
            return future
        if fault != 'ok':
            self.answer_after(_CALL_TIMEOUT_SECONDS, future, timeout_error)
        if fault != 'lost':
            delay = _DELAY_BY_FAULT.get(fault, 0)
            self.world.at(link.delay + delay, carry_out)
        return future


class TargetCalls(Calls):
    """``TargetControl`` of one instance."""

    async def send_order(self, url, order):
        target = self.world.targets[url]
        link = self.instance.link(url)
        future = self.instance.loop.create_future()
        fault = link.take_fault()
        if link.is_cut or not target.is_up:
            # Without a connection nothing was sent.
            self.answer_after(
                _CALL_TIMEOUT_SECONDS, future, OrderOutcome.refused
            )
            return await future
        self.world.check_order(self.instance, target, order)
        if fault != 'ok':
            self.answer_after(
                _CALL_TIMEOUT_SECONDS, future, OrderOutcome.unknown
            )
        if fault != 'lost':
            delay = _DELAY_BY_FAULT.get(fault, 0)
            self.world.at(
                link.delay + delay,
                lambda: self._arrive(target, target_boot, order, fault, future),
            )
        target_boot = target.boot
        return await future

    def _arrive(self, target, boot, order, fault, future):
        # The connection has ended with the process of the target.
        if boot != target.boot:
            self.answer_after(0, future, OrderOutcome.unknown)
            return
        outcome = target.start_order(order)
        if isinstance(outcome, OrderOutcome):
            if fault == 'ok':
                self.answer_after(_CALL_SECONDS, future, outcome)
            return
        self.world.at(
            outcome, lambda: self._end(target, boot, order, fault, future)
        )

    def _end(self, target, boot, order, fault, future):
        outcome = OrderOutcome.unknown
        if boot == target.boot:
            target.end_load(order)
            outcome = OrderOutcome.done
        if fault == 'ok':
            self.answer_after(_CALL_SECONDS, future, outcome)

    async def read_report(self, url):
        target = self.world.targets[url]
        link = self.instance.link(url)
        future = self.instance.loop.create_future()
        if link.is_cut:
            failure = TargetError('no answer', Ran.may_have_run)
            self.answer_after(_CALL_TIMEOUT_SECONDS, future, failure)
        elif not target.is_up:
            failure = TargetError('refused', Ran.not_run)
            self.answer_after(_CALL_SECONDS, future, failure)
        else:
            report = target.report(self.world.now)
            self.answer_after(link.delay, future, report)
        return await future


class World:
    """Store, targets, instances and the virtual time."""

    def __init__(self, deployments, targets, zones=('a',), lag=0.5):
        self.now = 1000.0
        self.objects = {}
        self.version = 0
        self.instances = {}
        self.refusals = []
        self.views = []
        self.orders_without_intent = []
        self.targets = {
            target.url: FakeTarget(
                target.target_id, target.memory, target.checks_fencing, lag, 2
            )
            for target in targets
        }
        self.configuration = Configuration(
            generation=1,
            zones=tuple(zones),
            deployments_by_name={entry.name: entry for entry in deployments},
            targets_by_id={entry.target_id: entry for entry in targets},
        )
        # Configured numbers; they stay fixed, because a change would only apply
        # after the time to unload.
        self.replica_limits = {
            entry.name: entry.replicas for entry in deployments
        }
        self._events = []
        self._sequence = itertools.count()

    def clock(self):
        return self.now

    def record_message(self, message):
        if isinstance(message, ColdStartRefusal):
            self.refusals.append(message)
        elif isinstance(message, ReplicaView):
            self.views.append(message)

    def configure(self, configuration):
        """Give a configuration to all instances at the same time."""
        self.configuration = configuration
        for instance in self.instances.values():
            instance.configuration = configuration

    def check_order(self, instance, target, order):
        """Check orders to targets that ignore fencing.

        Only the leader can ensure there that the intent was written first and
        that its lease is current.
        """
        if target.checks_fencing or order.kind is not OrderKind.load:
            return
        journal = self.objects.get(f'orders/{instance.zone}')
        if order.order_id not in str(journal):
            self.orders_without_intent.append(order.order_id)
        lease = self.objects[f'leases/{instance.zone}'].body
        assert lease['session'] == instance.session(), (
            f'P1: stale order to {target.target_id} at {self.now}'
        )

    def add_instance(self, instance_id, zone='a'):
        self.instances[instance_id] = Instance(self, instance_id, zone)

    def at(self, delay, action):
        entry = (self.now + delay, next(self._sequence), action)
        heapq.heappush(self._events, entry)

    def put(self, key, body, expected_version):
        stored = self.objects.get(key)
        if (stored.version if stored else None) != expected_version:
            raise StoreConflictError(key)
        self.version += 1
        self.objects[key] = StoredObject(key, self.version, body)
        return self.objects[key]

    def demand(self, deployment, seconds, waiting=1, deadline=30.0, every=0.5):
        """Report waiting requests at all instances for some seconds."""
        report = DemandReport(deployment, waiting, deadline, waited=seconds)

        def repeat():
            for instance in self.instances.values():
                instance.deliver(instance.instance_id, report)
            if self.now < until:
                self.at(every, repeat)

        until = self.now + seconds
        repeat()

    def leaders(self):
        return [
            instance
            for instance in self.instances.values()
            if not instance.is_killed and instance.leader.role() == 'leader'
        ]

    def loaded_on(self, deployment):
        return [
            target.target_id
            for target in self.targets.values()
            if deployment in target.replicas
        ]

    def check(self):
        for target in self.targets.values():
            assert target.memory_used() <= target.memory, (
                f'P2: {target.target_id} at {self.now}: {target.replicas}'
            )
        for deployment, limit in self.replica_limits.items():
            target_ids = self.loaded_on(deployment)
            assert len(target_ids) <= limit, (
                f'P1: {deployment} on {target_ids} at {self.now}'
            )

    def run(self, seconds):
        """Advance the time and check P1 and P2 after every event."""
        until = self.now + seconds
        while True:
            self._run_instances()
            self.check()
            due = self._next_due()
            if due > until:
                self.now = until
                return
            self.now = max(self.now, due)
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
                self.check()

    def _run_instances(self):
        for instance in tuple(self.instances.values()):
            if instance.is_running():
                instance.loop.run_due()
                if instance.task.done():
                    instance.task.result()

    def _next_due(self):
        times = [self._events[0][0]] if self._events else []
        for instance in self.instances.values():
            if instance.is_killed:
                continue
            if instance.frozen_until is not None:
                times.append(instance.frozen_until)
            else:
                times.append(instance.loop.next_due())
        return min((time for time in times if time is not None), default=1e12)

    def close(self):
        for instance in self.instances.values():
            instance.is_killed = True
            instance.loop.close()
