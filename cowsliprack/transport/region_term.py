"""One term of the leader of a region: plans, views and credit."""

import math
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import msgspec
import structlog

from cowsliprack.coordination.fleet_view import FleetView
from cowsliprack.coordination.freshness import Freshness
from cowsliprack.coordination.lease import Lease
from cowsliprack.coordination.region_state import Member, RegionState
from cowsliprack.coordination.relayed_targets import target_view
from cowsliprack.coordination.target_selector import TargetSelector
from cowsliprack.coordination.token_credit import LeaderTokenCredit, TokenCredit
from cowsliprack.coordination.waiting_requests import WaitingRequests
from cowsliprack.protocol.engine import EngineControl
from cowsliprack.protocol.gateway_messages import (
    ConfigurationCopy,
    CreditAnswer,
    CreditAsk,
    LeaderView,
    MemberReport,
)
from cowsliprack.protocol.peer import AnyPeerMessage
from cowsliprack.protocol.store import ObjectStore
from cowsliprack.state.routing_table import RoutingTable
from cowsliprack.transport.order_desk import OrderDesk
from cowsliprack.transport.peer_sockets import PeerSockets

# Seconds for which changes are gathered before they are planned and told: at
# least, and for each instance that is told. Planning and telling takes some
# tenths of a millisecond for each, of which the leader's own requests must not
# notice much.
_GATHER_SECONDS = 0.004
_GATHER_SECONDS_EACH = 0.0007
# Seconds between two plans when nothing has changed.
_PLAN_SECONDS = 0.05

_log = structlog.get_logger('cowsliprack.region')

Deliver = Callable[[str, str, AnyPeerMessage], None]


@dataclass(slots=True)
class RegionNeeds:
    """What the task shares with the rest of its instance.

    :param address: under which other instances reach this one.
    :param cores: processor time that the instance may use.
    :param max_relay_age_seconds: age up to which a reading relayed by the
        leader replaces one of the store.
    :param configuration_copy: returns the configuration in force as stored.
    :param take_configuration: takes such a copy from the leader.
    :param take_targets: takes the leader's list of targets.
    :param clock: seconds; goes on during suspension.
    """

    instance_id: str
    boot: str
    zone: str
    region: str
    address: str
    lease_seconds: float
    cores: float
    max_relay_age_seconds: float
    store: ObjectStore
    engines: EngineControl
    sockets: PeerSockets
    fleet: FleetView
    choice: TargetSelector
    room: WaitingRequests
    credit: TokenCredit
    freshness: Freshness
    table: Callable[[], RoutingTable]
    configuration_copy: Callable[[], bytes]
    take_configuration: Callable[[bytes], None]
    take_targets: Callable[[LeaderView], None]
    clock: Callable[[], float]


class RegionTerm:
    """Carries out what the decisions of one term ask for.

    :param needs: what it shares with the instance.
    :param lease: has just been won.
    :param deliver: sends a message to an instance (id, address, message).
    """

    def __init__(
        self,
        needs: RegionNeeds,
        lease: Lease,
        deliver: Deliver,
    ) -> None:
        """Start with nothing known; nothing is ordered before ``run``."""
        self._needs = needs
        self._lease = lease
        self._deliver = deliver
        self._ended = False
        self._due = anyio.Event()
        self._leader_credit = LeaderTokenCredit(needs.credit.window)
        self._tasks = anyio.create_task_group()
        self.state = RegionState(
            lease.fencing,
            needs.instance_id,
            needs.address,
        )
        self._desk = OrderDesk(
            self.state,
            needs.engines,
            self.may_act,
            self._plan_soon,
            needs.clock,
        )

    def may_act(self) -> bool:
        """Return whether this term still holds at this moment."""
        now = self._needs.clock()
        is_same = self._lease.fencing == self.state.fencing
        return not self._ended and is_same and self._lease.is_leader(now)

    def end(self) -> None:
        """Order nothing more; the lease is about to be given up."""
        self._ended = True

    async def run(self) -> None:
        """Lead until the lease is lost or given up."""
        _log.info('term_begins', fencing=self.state.fencing)
        async with self._tasks:
            self.use_configuration()
            while self.may_act():
                with anyio.move_on_after(_PLAN_SECONDS):
                    await self._due.wait()
                self._due = anyio.Event()
                self._plan()
                await anyio.sleep(self._gather_seconds())
            self._ended = True
            self._tell(everyone=True)
            self._tasks.cancel_scope.cancel()
        _log.info('term_ends', fencing=self.state.fencing)

    def use_configuration(self) -> None:
        """Take a new configuration into account."""
        self.state.apply_routing_table(self._needs.table())
        self.use_registry()

    def use_registry(self) -> None:
        """Take a new list of targets into account."""
        for engine in self.state.apply_registry(self._needs.fleet.registry):
            self._tasks.start_soon(self._desk.survey, engine)
        self._plan_soon()

    def take(self, message: MemberReport | CreditAsk) -> None:
        """Take a message of an instance.

        :param message: to the leader.
        """
        if isinstance(message, CreditAsk):
            self._grant(message)
        elif self.state.apply_report(message, self._needs.clock()):
            self._plan_soon()

    def _gather_seconds(self) -> float:
        each = len(self.state.members_by_id) * _GATHER_SECONDS_EACH
        return max(_GATHER_SECONDS, each)

    def _plan_soon(self) -> None:
        self._due.set()

    def _plan(self) -> None:
        if not self.may_act():
            return
        now = self._needs.clock()
        self.state.count_running(now)
        for suspect in self.state.suspects(now):
            self._tasks.start_soon(self._desk.check, suspect)
        for service, scheduler in self.state.schedulers_by_service.items():
            for order in scheduler.plan(self.state.groups(service, now), now):
                engine = scheduler.engines_by_id[order.target_id]
                self._tasks.start_soon(self._desk.carry_out, engine, order)
        organisations = self._needs.table().organisations_by_name.values()
        instances = self.state.member_count(now)
        self._leader_credit.limit(list(organisations), instances, now)
        self._tell(everyone=self.state.refresh_views(now))

    def _tell(self, *, everyone: bool) -> None:
        now = self._needs.clock()
        left = self._lease.held_until() - now
        for member in self.state.members_by_id.values():
            if everyone or member.stamp:
                self._send_view(member, 0 if self._ended else max(left, 0))

    def _send_view(self, member: Member, left: float) -> None:
        needs = self._needs
        report = member.report
        proof_offset = None
        if member.stamp:
            proof_offset = needs.freshness.proved_at - member.seen_at
        changed, gone = needs.fleet.registry.changes_since(
            report.registry_revision,
        )
        table = needs.table()
        view = msgspec.structs.replace(
            self.state.view_for(member, needs.clock()),
            generation=table.generation,
            proof_offset=proof_offset,
            registry_revision=needs.fleet.registry.revision,
            targets=tuple(target_view(record) for record in changed),
            targets_gone=tuple(gone),
            lease_version=self._lease.observation.version,
            lease_left=left,
        )
        if report.generation < table.generation:
            copy = ConfigurationCopy(needs.configuration_copy())
            self._deliver(report.instance_id, report.address, copy)
        self._deliver(report.instance_id, report.address, view)

    def _grant(self, ask: CreditAsk) -> None:
        if not self.may_act():
            return
        tokens, seconds = self._leader_credit.grant(
            ask.organisation,
            math.ceil(ask.tokens),
            self._needs.clock(),
        )
        answer = CreditAnswer(
            self.state.fencing,
            ask.organisation,
            tokens,
            seconds,
            ask.number,
        )
        self._deliver(ask.instance_id, '', answer)
