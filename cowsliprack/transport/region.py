"""Membership of one instance in its region, as a follower or the leader."""

import random
from dataclasses import dataclass, field

import anyio
import structlog

from cowsliprack.coordination.credit_shares import SHARE_LIFETIME_SECONDS
from cowsliprack.coordination.fleet_view import is_isolated
from cowsliprack.coordination.freshness import RelayedReading, relayed_proof
from cowsliprack.coordination.lease import Lease
from cowsliprack.coordination.lease_record import LeaseAction
from cowsliprack.coordination.notice_exchange import MemberNotices
from cowsliprack.coordination.relayed_targets import stated_version
from cowsliprack.coordination.succession import (
    KnownBuilds,
    PastLeaders,
    leads_well,
    seconds_before_turn,
    turns_begin,
)
from cowsliprack.protocol.credit_messages import (
    TokenLoan,
    TokenLoanAsk,
    TokenLoanReturn,
)
from cowsliprack.protocol.gateway_messages import (
    CompressedConfiguration,
    ConfigurationCopy,
    CreditAnswer,
    CreditAsk,
    LeaderAnnounced,
    LeaderView,
    MemberReport,
    OriginAnswer,
    OriginQuestion,
    StreamsBegun,
)
from cowsliprack.protocol.message_level import (
    CREDIT_SHARES_LEVEL,
    OVERLOAD_LEVEL,
    RECORDED_STREAMS_LEVEL,
    knows_announcements,
    message_level,
)
from cowsliprack.protocol.peer import (
    AnyPeerMessage,
    AnyPoisonNotice,
    PoisonNotices,
)
from cowsliprack.transport.configuration_copies import unpack_configuration
from cowsliprack.transport.credit_asks import CreditAsks
from cowsliprack.transport.credit_loans import CreditLoans
from cowsliprack.transport.known_instances import KnownInstances
from cowsliprack.transport.lease_calls import execute_lease_action
from cowsliprack.transport.message_guard import MessageGuard
from cowsliprack.transport.origin_exchange import OriginExchange
from cowsliprack.transport.origin_recorder import OriginRecorder
from cowsliprack.transport.reach_watch import ReachWatch
from cowsliprack.transport.region_context import RegionContext
from cowsliprack.transport.region_notices import RegionNotices
from cowsliprack.transport.region_term import EndReason, RegionTerm
from cowsliprack.transport.request_passing import (
    PassMessage,
    RequestPassing,
)
from cowsliprack.transport.target_conditions import TargetConditions

_LEASE_CHECK_INTERVAL_SECONDS = 0.1
# Interval of reports to the leader when nothing has changed.
_REPORT_INTERVAL_SECONDS = 0.4
# Changes within this time are sent to the leader in one report.
_REPORT_BATCH_SECONDS = 0.004
# Time after the start in which an instance that does not lead waits for the
# first view instead of reading the store; a leader answers in milliseconds.
_FIRST_VIEW_SECONDS = 1.0
# The connection to a leader that has been silent this long is reopened.
_RECONNECT_AFTER_SECONDS = 1.5

_log = structlog.get_logger('cowsliprack.region')


@dataclass(slots=True)
class Region:
    """Follows the leader of the region and competes for leadership.

    :param context: components shared with the rest of the instance.
    :param leaving: whether this instance is shutting down.
    :param term: current term while this instance leads, else ``None``.
    """

    context: RegionContext
    leaving: bool = False
    lease: Lease = field(init=False)
    term: RegionTerm | None = None
    _report_due: anyio.Event = field(default_factory=anyio.Event)
    _sequence: int = 0
    _started_at: float = field(init=False)
    _leader_id: str = ''
    _leader_address: str = ''
    _leader_fencing: int = 0
    _past_leaders: PastLeaders = field(default_factory=PastLeaders)
    _builds: KnownBuilds = field(default_factory=KnownBuilds)
    _view_fencing: int = 0
    _view_sequence: int = 0
    _relayed: RelayedReading = field(init=False)
    _address_by_peer: dict[str, str] = field(default_factory=dict)
    _reconnected_at: float = 0
    _notices: RegionNotices = field(init=False)
    origins: OriginExchange = field(init=False)
    passing: RequestPassing = field(init=False)
    reach_watch: ReachWatch = field(init=False)
    conditions: TargetConditions = field(init=False)
    instances: KnownInstances = field(init=False)
    credit_loans: CreditLoans = field(init=False)
    credit_asks: CreditAsks = field(init=False)

    def __post_init__(self) -> None:
        """Create the lease of the region."""
        context = self.context
        self._started_at = context.clock()
        self._relayed = RelayedReading(context.max_relay_age_seconds)
        self._notices = RegionNotices(
            MemberNotices(context.instance_id, context.boot),
            context.poison,
            self._send_to_leader,
            context.clock,
        )
        context.poison.announce = self._announce
        self.origins = OriginExchange(
            context.instance_id,
            context.address,
            self._deliver,
            OriginRecorder(
                context.store,
                context.clock,
                self.is_leading,
                self._send_begun,
                lambda: self.origins.recent(only_own=False),
                lambda key: self.origins.is_own(key),
                lambda: len(self.origins.peers),
            ),
            context.clock,
            lambda: is_isolated(
                context.fleet, context.freshness, context.clock()
            ),
        )
        self.conditions = TargetConditions(
            context.fleet.registry,
            context.target_selector,
            context.table,
            context.read_notice,
            self.registry_changed,
            lambda: (
                self.reads_store()
                or bool(self.origins.peers)
                and not self._leader_knows(OVERLOAD_LEVEL, self._leader_id)
            ),
            self.demand_changed,
            context.clock,
        )
        self.reach_watch = ReachWatch(
            context.fleet.registry,
            context.target_selector,
            context.client,
            context.running_time,
            context.table,
            context.clock,
            self.conditions.record_health,
        )
        self.passing = RequestPassing(
            context.instance_id,
            context.address,
            self._deliver,
            lambda: self.origins.peers,
            lambda service: (
                not (
                    self.leaving
                    or self.reach_watch.reachability.is_cut_off(service)
                )
            ),
            context.clock,
        )
        self.instances = KnownInstances(
            context.credit,
            lambda: self.origins.peers,
            self.origins.apply_peers,
            context.clock,
        )
        self.credit_loans = CreditLoans(
            context.instance_id,
            context.address,
            context.zone,
            context.credit,
            self.instances.peers,
            self._deliver,
            lambda name: context.table().organisations_by_name.get(name),
            context.clock,
        )
        self.credit_asks = CreditAsks(
            context.instance_id,
            context.credit,
            lambda: self._leader_id,
            self._send_to_leader,
            lambda: context.fleet.updated_at,
            context.clock,
            self.credit_loans.charge,
            self.instances.is_led_anew,
        )
        self.lease = Lease(
            context.region,
            context.instance_id,
            context.address,
            context.lease_seconds,
            random.Random(),
            started_at=self._started_at,
            first_start=context.first_start,
            version_ages=self.origins.version_ages,
        )
        self.lease.members = self.instances.to_record
        self.lease.weight_store = lambda: context.fleet.weight_store_record(
            context.clock()
        )
        self.lease.terms.others_rest = lambda: self._builds.all_rest(
            context.clock()
        )

    async def run(self) -> None:
        """Follow or lead the region until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep_lease)
            tasks.start_soon(self._receive)
            tasks.start_soon(self._report)
            tasks.start_soon(self.passing.run)
            tasks.start_soon(self.origins.recorder.run)
            tasks.start_soon(self.reach_watch.run, self.demand_changed)
            await self._lead()

    def demand_changed(self) -> None:
        """Schedule a report of the waiting requests to the leader."""
        self._report_due.set()

    def configuration_changed(self) -> None:
        """Apply a new configuration."""
        self.origins.configuration_changed(self.context.table())
        if self.term is not None:
            self.term.apply_configuration()

    def registry_changed(self) -> None:
        """Apply a new list of targets, or other evacuated zones."""
        registry = self.context.fleet.registry
        self.context.fleet.registry_changed(self.context.clock())
        self.origins.registry_changed(registry)
        self.conditions.registry_changed()
        self.context.target_selector.prune(registry.records_by_id)
        self.context.waiting_requests.notify_all()
        if self.term is not None:
            self.term.apply_registry()

    def is_leading(self) -> bool:
        """Return whether this instance holds the lease now."""
        return self.lease.is_leader(self.context.clock())

    async def release(self) -> None:
        """End the term before a planned shutdown.

        The lease is released once no order of the term is on its way.
        """
        self.leaving = True
        if self.term is None:
            await self._carry_out(self.lease.release(self.context.clock()))
        else:
            self.term.end(EndReason.stop)

    async def _keep_lease(self) -> None:
        while True:
            now = self.context.clock()
            if self.term is not None and self.term.should_hand_over():
                self.term.end(EndReason.hand_over)
            if not self.leaving:
                self.lease.resume()
            await self._carry_out(self._tick_lease(now))
            self.origins.inherit(self.lease.inherited())
            record = self.lease.observation.record
            if record is not None:
                self.instances.inherit(record.members)
                self.context.fleet.weight_store.inherit(
                    record.weight_store, now
                )
            if record is not None and record.holder:
                self._follow(record.holder, record.address, record.fencing)
            await anyio.sleep(_LEASE_CHECK_INTERVAL_SECONDS)

    def _tick_lease(self, now: float) -> LeaseAction | None:
        """Return the next call for the lease, if it is due.

        While an instance waits for its turn to lead, it does not even read the
        lease: the next leader announces itself.
        """
        context = self.context
        delay = seconds_before_turn(
            context.instance_id,
            (peer.instance_id for peer in self.origins.peers),
            self._leader_fencing,
            context.cores,
            has_lost_engines=self.reach_watch.has_lost_engines(),
        )
        free_at = max(self._started_at, self.lease.observation.announced_end)
        free_at = turns_begin(free_at, context.store.regained_at)
        may_compete = delay == 0 or now - free_at >= delay
        is_waiting = not may_compete and not self.lease.is_engaged()
        if is_waiting and knows_announcements(self.origins.peers):
            return None
        return self.lease.tick(now, competes=may_compete)

    async def _carry_out(self, action: LeaseAction | None) -> None:
        if action is None:
            return
        context = self.context
        await execute_lease_action(
            self.lease, action, context.store, context.clock
        )

    def _follow(self, leader_id: str, address: str, fencing: int) -> None:
        if fencing < max(self._leader_fencing, self._view_fencing):
            return
        self._leader_fencing = fencing
        self._past_leaders.note(leader_id, fencing, self.context.clock())
        if leader_id == self._leader_id:
            return
        self._leader_id = leader_id
        self._leader_address = address
        _log.info('leader_known', leader=leader_id, fencing=fencing)
        self._report_due.set()

    async def _lead(self) -> None:
        clock = self.context.clock
        ended_at: float | None = None
        while True:
            if self.is_leading() and not self.leaving:
                term = RegionTerm(
                    self.context,
                    self.lease,
                    self._deliver,
                    self.origins.version_ages,
                    self.reach_watch,
                    self.instances.peers(),
                    self._past_leaders,
                )
                self.term = term
                await term.run(
                    None if ended_at is None else round(clock() - ended_at, 3)
                )
                ended_at = clock()
                self.term = None
                if term.ending:
                    action = self.lease.release(self.context.clock())
                    await self._carry_out(action)
            await anyio.sleep(_LEASE_CHECK_INTERVAL_SECONDS)

    def _deliver(
        self,
        instance_id: str,
        address: str,
        message: AnyPeerMessage,
    ) -> bool:
        """Send a message to an instance; return whether it was queued."""
        if instance_id == self.context.instance_id:
            self._handle_message(instance_id, message)
            return True
        if address and self._address_by_peer.get(instance_id) != address:
            self._address_by_peer[instance_id] = address
            self.context.sockets.connect(instance_id, address)
        return self.context.sockets.send(instance_id, message)

    async def _receive(self) -> None:
        guard = MessageGuard()
        while True:
            sender, message = await self.context.sockets.receive()
            guard.handle(self._handle_message, sender, sender, message)

    def _handle_message(self, sender: str, message: AnyPeerMessage) -> None:
        self._builds.observe(message, self.context.clock())
        match message:
            case MemberReport() | CreditAsk():
                if self.term is not None:
                    self.term.handle_message(message)
            case LeaderView():
                self._past_leaders.note(
                    message.instance_id, message.fencing, self.context.clock()
                )
                self._apply_view(message)
            case LeaderAnnounced():
                self.lease.observe_fencing(
                    message.fencing, self.context.clock()
                )
                self._follow(
                    message.instance_id, message.address, message.fencing
                )
            case PoisonNotices() if self.term is None:
                self._notices.apply(message)
            case PoisonNotices():
                self.term.apply_notices(message)
            case CreditAnswer():
                self._apply_credit_answer(message)
            case TokenLoanAsk() | TokenLoan() | TokenLoanReturn():
                self.credit_loans.handle(message)
            case StreamsBegun() | OriginQuestion() | OriginAnswer():
                self.origins.handle(message)
            case _ if isinstance(message, PassMessage):
                self.passing.handle(message)
            case ConfigurationCopy() | CompressedConfiguration():
                spec = unpack_configuration(message)
                self.context.apply_configuration_copy(spec)
                self._report_due.set()

    def _apply_view(self, view: LeaderView) -> None:
        if view.fencing < self._view_fencing:
            return
        is_new = view.fencing > self._view_fencing
        is_missing_base = view.base > self._view_sequence and not is_new
        if is_missing_base or (is_new and view.base):
            self._report_due.set()
            return
        now = self.context.clock()
        if view.lease_left <= 0 and view.instance_id != self._leader_id:
            return
        if is_new and view.instance_id != self.context.instance_id:
            self._notices.follow(view.fencing)
        if is_new:
            self.origins.leader_changed()
        self._view_fencing = view.fencing
        self._view_sequence = view.sequence
        self._leader_fencing = max(self._leader_fencing, view.fencing)
        self._leader_id = view.instance_id
        self._leader_address = view.address
        self.lease.observe_term(
            view.fencing,
            view.lease_version,
            view.lease_left,
            now,
        )
        self.conditions.apply_view(view)
        self.instances.apply_view(view, is_new=is_new)
        self._apply_credit_shares(view, now)
        self._apply_store_readings(view)
        self.context.fleet.apply_view(
            view.engines,
            view.gone,
            now,
            is_full=not view.base,
        )
        self.context.fleet.apply_loads(view, now)
        if not view.base:
            # Until a report acknowledges it, each view is a full one.
            self._report_due.set()
        if view.engines:
            self.context.target_selector.update_reported(
                {engine.target_id: engine.running for engine in view.engines},
            )
        if view.engines or view.absences:
            self.context.waiting_requests.notify_all()

    def _apply_credit_shares(self, view: LeaderView, now: float) -> None:
        """Apply parts of limits; a leader of an earlier build knows of none."""
        context = self.context
        shares = view.credit
        if not self._leader_knows(CREDIT_SHARES_LEVEL, view.instance_id):
            shares = ()
        if shares is not None:
            context.credit.apply_shares(
                shares, context.table().organisations_by_name, now
            )

    def _leader_knows(self, level: int, leader_id: str) -> bool:
        if leader_id == self.context.instance_id:
            return True
        return any(
            peer.instance_id == leader_id and message_level(peer.boot) >= level
            for peer in self.origins.peers
        )

    def _send_begun(self, message: StreamsBegun) -> bool:
        """Send streams to a leader that records them; return whether it is."""
        if not self._leader_knows(RECORDED_STREAMS_LEVEL, self._leader_id):
            return False
        return self._deliver(self._leader_id, self._leader_address, message)

    def _announce(self, notice: AnyPoisonNotice) -> None:
        """Send a notice to all other instances through the leader."""
        if self.term is None:
            self._notices.add(notice)
        else:
            self.term.relay_notice(notice)

    def _send_to_leader(self, message: AnyPeerMessage) -> None:
        if self._leader_id:
            self._deliver(self._leader_id, self._leader_address, message)

    def _apply_store_readings(self, view: LeaderView) -> None:
        """Apply targets and freshness that the leader read from the store."""
        context = self.context
        if view.instance_id == context.instance_id:
            return
        if context.apply_relayed_targets(view):
            self._report_due.set()
        proved_at = relayed_proof(view, context.table().generation)
        if proved_at is not None:
            context.freshness.prove(proved_at)
            self._relayed.prove(proved_at)

    def reads_store(self) -> bool:
        """Return whether this instance must read the store itself.

        The leader reads it for all members; a member reads it while the state
        relayed by the leader is outdated.
        """
        if self.term is not None or self.leaving:
            return True
        now = self.context.clock()
        if now - self._started_at < _FIRST_VIEW_SECONDS:
            # Only those that will soon lead need the store at once.
            return leads_well(self.context.cores)
        return self._relayed.is_expired(now)

    async def _report(self) -> None:
        while True:
            with anyio.move_on_after(_REPORT_INTERVAL_SECONDS):
                await self._report_due.wait()
            self._report_due = anyio.Event()
            self._send_report()
            await anyio.sleep(_REPORT_BATCH_SECONDS)

    def _send_report(self) -> None:
        context = self.context
        now = context.clock()
        if not self._leader_id:
            return
        if now - context.fleet.updated_at > SHARE_LIFETIME_SECONDS:
            context.credit.apply_shares(
                (), context.table().organisations_by_name, now
            )
        is_dividing = self._leader_knows(CREDIT_SHARES_LEVEL, self._leader_id)
        knows_overload = self._leader_knows(OVERLOAD_LEVEL, self._leader_id)
        uses = context.credit.uses(now)
        self._sequence += 1
        report = MemberReport(
            instance_id=context.instance_id,
            address=context.address,
            zone=context.zone,
            boot=context.boot,
            sequence=self._sequence,
            stamp=now,
            view_sequence=self._view_sequence,
            view_fencing=self._view_fencing,
            waiting=context.waiting_requests.group_summaries(now),
            engines=context.target_selector.engine_uses(now),
            generation=context.table().generation,
            **stated_version(context.fleet.registry),
            started_by_model=dict(context.target_selector.started_by_model),
            leaving=self.leaving,
            limits=context.target_selector.limits.uses(now),
            peers_digest=self.origins.peers_digest,
            cut_off=self.reach_watch.has_lost_engines(),
            credit=uses if is_dividing else (),
            **(self.conditions.report_fields() if knows_overload else {}),
        )
        is_silent = now - context.fleet.updated_at > _RECONNECT_AFTER_SECONDS
        if is_silent and now - self._reconnected_at > _RECONNECT_AFTER_SECONDS:
            self._address_by_peer.pop(self._leader_id, None)
            self._reconnected_at = now
        self._send_to_leader(report)
        if self.term is None:
            self._notices.send_due()

    def _apply_credit_answer(self, answer: CreditAnswer) -> None:
        known = self.context.table().organisations_by_name
        organisation = known.get(answer.organisation)
        if organisation is None or answer.fencing < self._view_fencing:
            return
        self.credit_asks.apply_answer(answer, organisation)


async def wait_released(region: Region, seconds: float) -> None:
    """Wait until an instance that stops has released the lease.

    :param region: of which ``release`` was called.
    :param seconds: longest wait; the lease lapses if it is not released.
    """
    with anyio.move_on_after(seconds):
        while region.term or region.lease.is_engaged():  # noqa: ASYNC110
            await anyio.sleep(_LEASE_CHECK_INTERVAL_SECONDS)
