"""Runs the zone controller during one leadership term."""

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
from cowsliprack.transport.credit_service import (
    CreditService,
    CreditServiceDependencies,
)
from cowsliprack.transport.journal import Journal
from cowsliprack.transport.journal_writer import JournalWriter
from cowsliprack.transport.predecessor import PredecessorWatch
from cowsliprack.transport.usage_store import UsageStore

_log = structlog.get_logger('cowsliprack.leader')
_TICK_SECONDS = 0.1
# Interval between reads of a target's report, and while its state is not yet
# verified.
_REPORT_INTERVAL_SECONDS = 1.0
_UNVERIFIED_REPORT_INTERVAL_SECONDS = 0.25
_STORE_RETRY_DELAY_SECONDS = 0.5
# Limit for connecting to a target. An order to a target that does not check
# fencing must be sent while the lease is still held.
_ORDER_CONNECT_SECONDS = 1.2


@dataclass(frozen=True, slots=True)
class LeaderDependencies:
    """Parts of an instance that the leader task uses.

    :param clock: returns seconds; must keep running while the process is
        suspended (``CLOCK_BOOTTIME``).
    :param inbound: messages from other instances with the sender's id.
    :param send: sends to an instance of the own zone; does not block.
    :param send_to_zone: sends to the leader of another zone; does not block.
    :param broadcast: sends to the instances of the zone, including this one,
        and to other zones' leaders; does not block.
    :param zone_of: returns the zone of a sender in another zone, ``None`` for
        a sender in the own zone.
    :param configuration: returns the configuration in force.
    :param lease_seconds: duration of the lease.
    :param rng: source of jitter.
    :param wall_clock: returns seconds since the epoch; used only for demand
        that recurs each week.
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
    rng: random.Random = field(default_factory=random.Random)
    wall_clock: Callable[[], float] = time.time


class Term:
    """Passes events to the zone controller and executes its actions.

    The controller is only called from one event loop and never awaits, so it
    needs no lock.

    :param dependencies: parts of the instance that the leader task uses.
    :param lease: lease that was just acquired.
    :param tasks: task group that is cancelled when the term ends.
    """

    def __init__(
        self,
        dependencies: LeaderDependencies,
        lease: Lease,
        tasks: TaskGroup,
    ) -> None:
        """Create the controller; no action is executed before ``run``."""
        now = dependencies.clock()
        self.fencing = lease.fencing
        self.controller = ZoneController(
            dependencies.zone,
            lease.fencing,
            dependencies.configuration(),
            now,
            lease.predecessor_until,
        )
        self._dependencies = dependencies
        self._lease = lease
        self._tasks = tasks
        self._started_at = now
        self._ended = anyio.Event()
        self._journal_writer = JournalWriter(
            Journal(dependencies.store, dependencies.zone, lease.fencing),
            self.controller,
            self._apply,
            dependencies.clock,
        )
        state = self.controller.state
        state.wall_clock_offset = dependencies.wall_clock() - now
        self._allowances = AllowanceStore(dependencies.store, state)
        self._usage = UsageStore(
            dependencies.store, dependencies.zone, state.usage
        )
        self._credit_service = CreditService(
            CreditServiceDependencies(
                dependencies.zone,
                dependencies.store,
                dependencies.send,
                dependencies.send_to_zone,
                dependencies.clock,
            ),
            lease,
        )
        self._predecessor_watch: PredecessorWatch | None = None
        if lease.predecessor is not None:
            self._predecessor_watch = PredecessorWatch(
                lease.predecessor,
                self._on_predecessor_stopped,
            )
        self._credit_service.set_configuration(
            dependencies.configuration(), now
        )
        self._next_report_by_target: dict[str, float] = {}
        self._handlers_by_action_type: dict[type, Callable] = {
            SendOrder: self._start_order,
            WriteIntent: self._journal_writer.write,
            ClearIntent: self._journal_writer.clear,
            SendRefusal: self._send_refusal,
            ForwardDemand: self._forward_demand,
            PublishView: functools.partial(_publish_view, dependencies),
            ReviseAllowances: self._start_revision,
            ObserveFencing: self._observe_fencing,
            LogDecision: _log_decision,
        }

    async def run(self) -> None:
        """Lead until ``end`` is called."""
        self._tasks.start_soon(self._journal_writer.run, self._started_at)
        self._tasks.start_soon(self._read_allowances)
        self._tasks.start_soon(self._usage.run)
        self._tasks.start_soon(self._credit_service.run)
        if self._predecessor_watch is not None:
            self._tasks.start_soon(self._predecessor_watch.run)
        while not self._ended.is_set():
            self._tick()
            with anyio.move_on_after(_TICK_SECONDS):
                await self._ended.wait()

    def end(self) -> None:
        """Stop leading; the outcome of unanswered orders stays unknown."""
        self._credit_service.stop()
        self._ended.set()

    def on_message(self, sender: str, message: AnyPeerMessage) -> None:
        """Handle a message from another instance.

        :param sender: id of the sending instance.
        :param message: received message.
        """
        now = self._dependencies.clock()
        zone = self._dependencies.zone_of(sender)
        if zone is not None:
            self._on_zone_message(zone, message, now)
        if isinstance(message, DemandReport):
            demand_sender = (
                sender if zone is None else FORWARDED_SENDER_PREFIX + zone
            )
            self._apply(self.controller.on_demand(message, demand_sender, now))
        elif isinstance(message, TargetLeaving):
            self._on_target_leaving(message, now)
        elif isinstance(message, Heartbeat):
            if self._predecessor_watch is not None:
                self._predecessor_watch.on_heartbeat(message)
        else:
            self._credit_service.on_message(sender, zone, message, now)

    def _on_predecessor_stopped(self) -> None:
        now = self._dependencies.clock()
        self._lease.on_predecessor_stopped(now)
        self._credit_service.on_predecessor_stopped(now)
        self._apply(self.controller.on_predecessor_stopped(now))
        _log.info('predecessor_stopped', zone=self._dependencies.zone)

    def _on_zone_message(
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

    def _on_target_leaving(self, message: TargetLeaving, now: float) -> None:
        targets = self.controller.state.configuration.targets_by_id
        target = targets.get(message.target_id)
        if target is None:
            return
        if target.zone == self._dependencies.zone:
            actions = self.controller.on_target_leaving(target.target_id, now)
            self._apply(actions)
        else:
            self._dependencies.send_to_zone(target.zone, message)

    def _tick(self) -> None:
        now = self._dependencies.clock()
        role = self._lease.role(now)
        self._credit_service.tick(now)
        if role not in {Role.leader, Role.degraded}:
            return
        controller = self.controller
        configuration = self._dependencies.configuration()
        if configuration is not controller.state.configuration:
            self._apply(controller.on_configuration(configuration, now))
            self._credit_service.set_configuration(configuration, now)
        degraded = role is Role.degraded
        self._apply(controller.tick(now, degraded=degraded))
        for (
            engine_status
        ) in controller.state.engine_statuses.by_target.values():
            self._read_if_due(engine_status, now)

    def _apply(self, actions: list[ZoneAction]) -> None:
        for action in actions:
            self._handlers_by_action_type[type(action)](action)

    def _read_if_due(self, engine_status: EngineStatus, now: float) -> None:
        target_id = engine_status.target.target_id
        if now < self._next_report_by_target.get(target_id, now):
            return
        # No second read starts while one is in progress.
        self._next_report_by_target[target_id] = float('inf')
        self._tasks.start_soon(self._read_report, engine_status.target)

    async def _read_report(self, target: Target) -> None:
        asked_at = self._dependencies.clock()
        controller = self.controller
        try:
            report = await self._dependencies.targets.read_report(target.url)
        except TargetError as error:
            actions = controller.on_report_failed(
                target.target_id,
                asked_at,
                refused=error.ran is Ran.not_run,
            )
        else:
            actions = []
            # The address may now belong to another target.
            if report.target_id == target.target_id:
                actions = controller.on_report(report, asked_at)
        self._apply(actions)
        engine_status = controller.state.engine_statuses.by_target[
            target.target_id
        ]
        interval = (
            _REPORT_INTERVAL_SECONDS
            if engine_status.verified
            else _UNVERIFIED_REPORT_INTERVAL_SECONDS
        )
        interval *= self._dependencies.rng.uniform(0.8, 1.2)
        self._next_report_by_target[target.target_id] = asked_at + interval

    def _start_order(self, action: SendOrder) -> None:
        self._tasks.start_soon(self._send_order, action)

    async def _send_order(self, action: SendOrder) -> None:
        now = self._dependencies.clock()
        checks_fencing = action.checks_fencing
        sent_by = now if checks_fencing else now + _ORDER_CONNECT_SECONDS
        outcome = OrderOutcome.refused
        if self._lease.may_order(sent_by, checks_fencing=checks_fencing):
            outcome = await self._dependencies.targets.send_order(
                action.url,
                action.order,
            )
        now = self._dependencies.clock()
        actions = self.controller.on_order_outcome(action.order, outcome, now)
        self._apply(actions)

    def _send_refusal(self, action: SendRefusal) -> None:
        for receiver in action.receivers:
            if receiver.startswith(FORWARDED_SENDER_PREFIX):
                zone = receiver.removeprefix(FORWARDED_SENDER_PREFIX)
                self._dependencies.send_to_zone(zone, action.refusal)
            else:
                self._dependencies.send(receiver, action.refusal)

    def _forward_demand(self, action: ForwardDemand) -> None:
        self._dependencies.send_to_zone(action.zone, action.report)

    def _observe_fencing(self, action: ObserveFencing) -> None:
        self._lease.observe_fencing(action.fencing, self._dependencies.clock())
        self.end()

    def _start_revision(self, action: ReviseAllowances) -> None:
        self._tasks.start_soon(self._revise, action.shard)

    async def _revise(self, shard: int) -> None:
        # After a failure the next tick requests the revision again.
        with contextlib.suppress(StoreError):
            await self._allowances.revise(shard)

    async def _read_allowances(self) -> None:
        while True:
            try:
                await self._allowances.read_all()
            except StoreUnavailableError:
                await anyio.sleep(_STORE_RETRY_DELAY_SECONDS)
            else:
                return


def _publish_view(
    dependencies: LeaderDependencies, action: PublishView
) -> None:
    dependencies.broadcast(action.view)


def _log_decision(action: LogDecision) -> None:
    log_decision(
        action.decision,
        action.choice,
        action.reason,
        **action.inputs,
    )
