"""One term of leadership: feeds the decisions and carries them out."""

import contextlib
import functools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import structlog
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream

from cowsliprack.coordination.demand_forwarding import FORWARDED_SENDER_PREFIX
from cowsliprack.coordination.lease import Lease, Role
from cowsliprack.coordination.takeover import EngineStatus
from cowsliprack.coordination.zone import ZoneController
from cowsliprack.coordination.zone_actions import (
    ClearIntent,
    ForwardDemand,
    LogDecision,
    ObserveFencing,
    PublishView,
    ReviseAllowances,
    SendOrder,
    SendRefusal,
    WriteIntent,
    ZoneAction,
)
from cowsliprack.exceptions import (
    Ran,
    StoreError,
    StoreUnavailableError,
    TargetError,
)
from cowsliprack.logs import log_decision
from cowsliprack.protocol.peer import (
    AnyPeerMessage,
    ColdStartRefusal,
    DemandReport,
    Heartbeat,
    ReplicaView,
    TargetLeaving,
)
from cowsliprack.protocol.store import ObjectStore
from cowsliprack.protocol.target import OrderOutcome, TargetControl
from cowsliprack.state.configuration import Configuration, Target
from cowsliprack.transport.allowance_store import AllowanceStore
from cowsliprack.transport.credit_desk import CreditDesk, DeskNeeds
from cowsliprack.transport.journal import Journal
from cowsliprack.transport.journal_desk import JournalDesk
from cowsliprack.transport.predecessor import PredecessorWatch
from cowsliprack.transport.usage_store import UsageStore

_log_events = structlog.get_logger('cowsliprack.leader')
_TICK_SECONDS = 0.1
# Seconds between reports of a target, and while its state is not yet known.
_REPORT_SECONDS = 1.0
_EAGER_REPORT_SECONDS = 0.25
_STORE_RETRY_SECONDS = 0.5
# A connection to a target is opened within this time, seconds. An order to a
# target that ignores fencing must leave while the lease is still held.
_SENDING_SECONDS = 1.2


@dataclass(frozen=True, slots=True)
class LeaderDependencies:
    """What the leader task needs of its instance.

    :param clock: seconds; must keep running while the process is suspended
        (``CLOCK_BOOTTIME``).
    :param inbound: messages from other instances with the sender's id.
    :param send: to an instance of the own zone; never waits.
    :param send_to_zone: to the leader of another zone; never waits.
    :param broadcast: to the instances of the zone, the own one included, and
        to other zones' leaders; never waits.
    :param zone_of: zone of a sender in another zone, ``None`` for the own.
    :param configuration: returns the generation in force.
    :param lease_seconds: duration of the lease.
    """

    instance_id: str
    zone: str
    address: str
    store: ObjectStore
    targets: TargetControl
    clock: Callable[[], float]
    inbound: MemoryObjectReceiveStream[tuple[str, AnyPeerMessage]]
    send: Callable[[str, AnyPeerMessage], None]
    send_to_zone: Callable[[str, AnyPeerMessage], None]
    broadcast: Callable[[AnyPeerMessage], None]
    zone_of: Callable[[str], str | None]
    configuration: Callable[[], Configuration]
    lease_seconds: float = 6
    source: random.Random = field(default_factory=random.Random)
    # Seconds since the epoch; only for demand that recurs each week.
    wall_clock: Callable[[], float] = time.time


class Term:
    """Carries out what the controller of one term decides.

    All decisions are made in one event loop without waiting in between, so
    they need no lock.

    :param needs: what the leader task needs of its instance.
    :param lease: has just been won.
    :param tasks: cancelled when the term ends.
    """

    def __init__(
        self,
        needs: LeaderDependencies,
        lease: Lease,
        tasks: TaskGroup,
    ) -> None:
        """Start the decisions; nothing is ordered before ``run``."""
        now = needs.clock()
        self.fencing = lease.fencing
        self.controller = ZoneController(
            needs.zone,
            lease.fencing,
            needs.configuration(),
            now,
            lease.predecessor_until,
        )
        self._needs = needs
        self._lease = lease
        self._tasks = tasks
        self._started_at = now
        self._ended = anyio.Event()
        self._desk = JournalDesk(
            Journal(needs.store, needs.zone, lease.fencing),
            self.controller,
            self._apply,
            needs.clock,
        )
        state = self.controller.state
        state.wall_clock_offset = needs.wall_clock() - now
        self._allowances = AllowanceStore(needs.store, state)
        self._usage = UsageStore(needs.store, needs.zone, state.usage)
        self._credit = CreditDesk(
            DeskNeeds(
                needs.zone,
                needs.store,
                needs.send,
                needs.send_to_zone,
                needs.clock,
            ),
            lease,
        )
        self._predecessor: PredecessorWatch | None = None
        if lease.predecessor is not None:
            self._predecessor = PredecessorWatch(
                lease.predecessor,
                self._on_predecessor_stopped,
            )
        self._credit.set_configuration(needs.configuration(), now)
        self._next_report_by_target: dict[str, float] = {}
        self._carry_out_by_type: dict[type, Callable] = {
            SendOrder: self._start_order,
            WriteIntent: self._desk.write,
            ClearIntent: self._desk.clear,
            SendRefusal: self._send_refusal,
            ForwardDemand: self._forward_demand,
            PublishView: functools.partial(_publish, needs),
            ReviseAllowances: self._start_revision,
            ObserveFencing: self._observe_fencing,
            LogDecision: _log,
        }

    async def run(self) -> None:
        """Lead until ``end`` is called."""
        self._tasks.start_soon(self._desk.run, self._started_at)
        self._tasks.start_soon(self._read_allowances)
        self._tasks.start_soon(self._usage.run)
        self._tasks.start_soon(self._credit.run)
        if self._predecessor is not None:
            self._tasks.start_soon(self._predecessor.run)
        while not self._ended.is_set():
            self._step()
            with anyio.move_on_after(_TICK_SECONDS):
                await self._ended.wait()

    def end(self) -> None:
        """Stop leading; orders without an answer stay in doubt."""
        self._credit.stop()
        self._ended.set()

    def take(self, sender: str, message: AnyPeerMessage) -> None:
        """Take a message from another instance.

        :param sender: id of the instance.
        :param message: what it sent.
        """
        now = self._needs.clock()
        zone = self._needs.zone_of(sender)
        if zone is not None:
            self._take_remote(zone, message, now)
        if isinstance(message, DemandReport):
            name = sender if zone is None else FORWARDED_SENDER_PREFIX + zone
            self._apply(self.controller.on_demand(message, name, now))
        elif isinstance(message, TargetLeaving):
            self._take_leaving(message, now)
        elif isinstance(message, Heartbeat):
            if self._predecessor is not None:
                self._predecessor.hear(message)
        else:
            self._credit.take(sender, zone, message, now)

    def _on_predecessor_stopped(self) -> None:
        now = self._needs.clock()
        self._lease.on_predecessor_stopped(now)
        self._credit.predecessor_stopped(now)
        self._apply(self.controller.on_predecessor_stopped(now))
        _log_events.info('predecessor_stopped', zone=self._needs.zone)

    def _take_remote(
        self,
        zone: str,
        message: AnyPeerMessage,
        now: float,
    ) -> None:
        self._apply(self.controller.on_zone_message(zone, now))
        if isinstance(message, ColdStartRefusal):
            self._apply(self.controller.on_refusal(message, now))
        elif isinstance(message, ReplicaView):
            self._apply(self.controller.on_view(message, now))

    def _take_leaving(self, message: TargetLeaving, now: float) -> None:
        targets = self.controller.state.configuration.targets_by_id
        target = targets.get(message.target_id)
        if target is None:
            return
        if target.zone == self._needs.zone:
            actions = self.controller.on_target_leaving(target.target_id, now)
            self._apply(actions)
        else:
            self._needs.send_to_zone(target.zone, message)

    def _step(self) -> None:
        now = self._needs.clock()
        role = self._lease.role(now)
        self._credit.step(now)
        if role not in {Role.leader, Role.degraded}:
            return
        controller = self.controller
        configuration = self._needs.configuration()
        if configuration is not controller.state.configuration:
            self._apply(controller.on_configuration(configuration, now))
            self._credit.set_configuration(configuration, now)
        degraded = role is Role.degraded
        self._apply(controller.tick(now, degraded=degraded))
        for (
            engine_status
        ) in controller.state.engine_statuses.by_target.values():
            self._read_if_due(engine_status, now)

    def _apply(self, actions: list[ZoneAction]) -> None:
        for action in actions:
            self._carry_out_by_type[type(action)](action)

    def _read_if_due(self, engine_status: EngineStatus, now: float) -> None:
        target_id = engine_status.target.target_id
        if now < self._next_report_by_target.get(target_id, now):
            return
        # A report that is being read is not asked for again.
        self._next_report_by_target[target_id] = float('inf')
        self._tasks.start_soon(self._read_report, engine_status.target)

    async def _read_report(self, target: Target) -> None:
        asked_at = self._needs.clock()
        controller = self.controller
        try:
            report = await self._needs.targets.read_report(target.url)
        except TargetError as error:
            actions = controller.on_report_failed(
                target.target_id,
                asked_at,
                refused=error.ran is Ran.not_run,
            )
        else:
            actions = []
            # Another target may have got the address.
            if report.target_id == target.target_id:
                actions = controller.on_report(report, asked_at)
        self._apply(actions)
        engine_status = controller.state.engine_statuses.by_target[
            target.target_id
        ]
        pause = (
            _REPORT_SECONDS if engine_status.verified else _EAGER_REPORT_SECONDS
        )
        pause *= self._needs.source.uniform(0.8, 1.2)
        self._next_report_by_target[target.target_id] = asked_at + pause

    def _start_order(self, action: SendOrder) -> None:
        self._tasks.start_soon(self._send_order, action)

    async def _send_order(self, action: SendOrder) -> None:
        now = self._needs.clock()
        checks_fencing = action.checks_fencing
        until = now if checks_fencing else now + _SENDING_SECONDS
        outcome = OrderOutcome.refused
        if self._lease.may_order(until, checks_fencing=checks_fencing):
            outcome = await self._needs.targets.send_order(
                action.url,
                action.order,
            )
        now = self._needs.clock()
        actions = self.controller.on_order_outcome(action.order, outcome, now)
        self._apply(actions)

    def _send_refusal(self, action: SendRefusal) -> None:
        for receiver in action.receivers:
            if receiver.startswith(FORWARDED_SENDER_PREFIX):
                zone = receiver.removeprefix(FORWARDED_SENDER_PREFIX)
                self._needs.send_to_zone(zone, action.refusal)
            else:
                self._needs.send(receiver, action.refusal)

    def _forward_demand(self, action: ForwardDemand) -> None:
        self._needs.send_to_zone(action.zone, action.report)

    def _observe_fencing(self, action: ObserveFencing) -> None:
        self._lease.observe_fencing(action.fencing)
        self.end()

    def _start_revision(self, action: ReviseAllowances) -> None:
        self._tasks.start_soon(self._revise, action.shard)

    async def _revise(self, shard: int) -> None:
        # Without success the next tick asks for the revision again.
        with contextlib.suppress(StoreError):
            await self._allowances.revise(shard)

    async def _read_allowances(self) -> None:
        while True:
            try:
                await self._allowances.read_all()
            except StoreUnavailableError:
                await anyio.sleep(_STORE_RETRY_SECONDS)
            else:
                return


def _publish(needs: LeaderDependencies, action: PublishView) -> None:
    needs.broadcast(action.view)


def _log(action: LogDecision) -> None:
    log_decision(
        action.decision,
        action.choice,
        action.reason,
        **action.inputs,
    )
