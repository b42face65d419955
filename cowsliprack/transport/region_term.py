"""One term of a region's leader: planning, views and token credit."""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from enum import StrEnum, unique

import anyio
import msgspec
import structlog

from cowsliprack.coordination.absent_models import LoggedAbsences
from cowsliprack.coordination.cold_loads import MissingWeights
from cowsliprack.coordination.credit_shares import (
    SHARE_LIFETIME_SECONDS,
    CreditShares,
    unheard_fraction,
)
from cowsliprack.coordination.lease import Lease, Role
from cowsliprack.coordination.lease_terms import rest_seconds
from cowsliprack.coordination.model_scheduler import ModelScheduler
from cowsliprack.coordination.notice_exchange import LeaderNotices
from cowsliprack.coordination.region_state import Member, RegionState
from cowsliprack.coordination.relayed_targets import registry_changes
from cowsliprack.coordination.succession import PastLeaders
from cowsliprack.coordination.target_pace import RegionPaces
from cowsliprack.coordination.token_credit import LeaderTokenCredit
from cowsliprack.logs import log_decision
from cowsliprack.protocol.credit_messages import CreditShare
from cowsliprack.protocol.gateway_messages import (
    CreditAnswer,
    CreditAsk,
    LeaderAnnounced,
    MemberReport,
    PeerView,
)
from cowsliprack.protocol.message_level import (
    ANNOUNCEMENT_LEVEL,
    CREDIT_SHARES_LEVEL,
    message_level,
)
from cowsliprack.protocol.peer import (
    AnyPoisonNotice,
    PoisonNotices,
)
from cowsliprack.state.engine_state import EngineOrder, EngineState
from cowsliprack.transport.configuration_copies import (
    ConfigurationCopies,
    Deliver,
)
from cowsliprack.transport.order_executor import OrderExecutor
from cowsliprack.transport.reach_watch import ReachWatch
from cowsliprack.transport.region_context import RegionContext
from cowsliprack.transport.replica_decisions import log_replica_decisions
from cowsliprack.transport.view_pacing import ViewPacing

# Changes within this time are planned and sent to the members as one batch. The
# time grows with the number of members, because planning and sending take some
# tenths of a millisecond for each and must not delay the leader's own requests.
_MIN_BATCH_SECONDS = 0.004
_BATCH_SECONDS_PER_MEMBER = 0.0007
# Longest time between two plans.
_PLAN_INTERVAL_SECONDS = 0.05
# Shortest time between two log lines on the models without a copy, and the
# most names in such a line.
_MISSING_LOG_INTERVAL_SECONDS = 1.0
_MAX_LOGGED_NAMES = 20

_log = structlog.get_logger('cowsliprack.region')


@unique
class EndReason(StrEnum):
    """Why a term has ended.

    With ``lapsed``, the lease was not renewed in time; with ``superseded``,
    another instance has acquired it.
    """

    hand_over = 'hand_over'
    stop = 'stop'
    lapsed = 'lapsed'
    superseded = 'superseded'


def _loss_reason(lease: Lease, fencing: int, now: float) -> EndReason:
    """Return why a lease that was not released is not held any more."""
    is_held = lease.fencing == fencing and (
        lease.role(now) is not Role.follower
    )
    return EndReason.lapsed if is_held else EndReason.superseded


class RegionTerm:
    """Plans model placement and serves the members for one term.

    :param context: components shared with the rest of the instance.
    :param lease: lease that has just been acquired.
    :param deliver: sends a message to an instance (id, address, message).
    :param version_ages: returns the seconds since each software version of each
        service was seen.
    :param reach_watch: knows the services of which no target is reached.
    :param peers: instances that the last leader knew.
    :param past_leaders: instances that led before.
    :ivar ending: whether ``end`` was called.
    """

    def __init__(
        self,
        context: RegionContext,
        lease: Lease,
        deliver: Deliver,
        version_ages: Callable[[], dict[str, dict[str, float]]],
        reach_watch: ReachWatch,
        peers: Iterable[PeerView],
        past_leaders: PastLeaders,
    ) -> None:
        """Create an empty state; no order is sent before ``run``."""
        self._context = context
        self._lease = lease
        self._deliver = deliver
        self._version_ages = version_ages
        self._reach_watch = reach_watch
        self._peers = tuple(peers)
        self._past_leaders = past_leaders
        self._has_logged_resting = False
        self.ending = False
        # Orders pause before a hand-over.
        self._pauses_orders = False
        self._ended = False
        self._end_reason: EndReason | None = None
        self._unanswered_orders = 0
        self._plan_due = anyio.Event()
        self._leader_credit = LeaderTokenCredit(context.credit.window)
        now = context.clock()
        window = context.credit.window
        self._credit_shares = CreditShares(
            window,
            now + SHARE_LIFETIME_SECONDS,
            now if self._is_first_term() else now + window,
        )
        self._tasks = anyio.create_task_group()
        self._logged_missing_by_service: dict[str, MissingWeights] = {}
        self._missing_logged_at = -math.inf
        self._logged_absences = defaultdict[str, LoggedAbsences](LoggedAbsences)
        self.state = RegionState(
            lease.fencing,
            context.instance_id,
            context.address,
            first_store_limits=context.fleet.weight_store.limits,
            first_loads=context.fleet.absences.loads_under_way(),
            recorded_loads=context.fleet.weight_store.recorded_loads,
            first_turns=dict(context.fleet.loads_due.due_at_by_name),
        )
        self._copies = ConfigurationCopies(
            context.configuration_copy, deliver, context.link_megabits
        )
        self._views = ViewPacing(
            context.link_megabits,
            lambda: context.sockets.sent_bytes,
            self._send_view,
        )
        self._notices = LeaderNotices(context.instance_id, lease.fencing)
        self._executor = OrderExecutor(
            self.state,
            context.engines,
            self.lease_left,
            self._request_plan,
            context.clock,
            lease.terms,
        )

    def holds_lease(self) -> bool:
        """Return whether the lease of this term is held now."""
        now = self._context.clock()
        is_same_term = self._lease.fencing == self.state.fencing
        return not self._ended and is_same_term and self._lease.is_leader(now)

    def lease_left(self) -> float:
        """Return the seconds in which orders may be sent."""
        if self._pauses_orders or self.ending or not self.holds_lease():
            return 0
        return self._lease.held_until() - self._context.clock()

    def end(self, reason: EndReason) -> None:
        """Send no more orders; ``run`` returns once all sent ones have ended.

        Until then the lease is kept and the members are served.

        :param reason: why the term ends; the first one given counts.
        """
        if not self.ending:
            self._end_reason = reason
            self._unanswered_orders = self._executor.unanswered
            _log.info(
                'orders_end',
                fencing=self.state.fencing,
                unanswered=self._executor.unanswered,
                seconds_in_doubt=round(
                    self._lease.terms.seconds_in_doubt(self._context.clock()), 3
                ),
            )
        self.ending = True
        self._request_plan()

    def should_hand_over(self) -> bool:
        """Return whether another instance reaches engines and this one none.

        The other one must be able to lead at once: one that has led shortly
        before rests first, and nobody would lead meanwhile. Orders pause until
        those on their way have ended. If an engine is reached again before,
        the term goes on.
        """
        if self.ending:
            return False
        successors = self._successors()
        if bool(successors) != self._pauses_orders:
            self._pauses_orders = bool(successors)
            _log.info('orders_paused', paused=self._pauses_orders)
            self._request_plan()
        if not successors or not self._executor.has_settled():
            return False
        log_decision(
            'hand_over',
            successors[:_MAX_LOGGED_NAMES],
            'this leader reaches no engine, other instances do',
            fencing=self.state.fencing,
        )
        return True

    def _successors(self) -> list[str]:
        """Return the instances to hand over to; none while that is not due."""
        now = self._context.clock()
        if not self._reach_watch.has_lost_engines():
            return []
        if now < self._lease.terms.kept_until():
            return []
        oldest = now - rest_seconds(self._context.lease_seconds)
        resting = self._past_leaders.ended_after(oldest)
        others = self.state.successors(now)
        successors = [one for one in others if one not in resting]
        if others and not successors and not self._has_logged_resting:
            self._has_logged_resting = True
            log_decision(
                'no_hand_over',
                others[:_MAX_LOGGED_NAMES],
                'this leader reaches no engine; those that do have just led',
                fencing=self.state.fencing,
            )
        return successors

    async def run(self, since_last_term: float | None) -> None:
        """Lead until the lease is lost or ``end`` was called.

        :param since_last_term: seconds since the last term of this instance
            ended; ``None`` for the first one of the process.
        """
        _log.info(
            'term_begins',
            fencing=self.state.fencing,
            previous_holder=self._lease.replaced.holder,
            previous_fencing=self._lease.replaced.fencing,
            since_last_term=since_last_term,
        )
        async with self._tasks:
            self._announce()
            self._relay_known_notices()
            self.apply_configuration()
            while not self._has_stopped():
                left = self._lease.held_until() - self._context.clock()
                with anyio.move_on_after(min(_PLAN_INTERVAL_SECONDS, left)):
                    await self._plan_due.wait()
                self._plan_due = anyio.Event()
                self._plan()
                left = self._lease.held_until() - self._context.clock()
                batch = _batch_seconds(len(self.state.members_by_id))
                await anyio.sleep(max(min(batch, left), 0))
            if not self.ending:
                now = self._context.clock()
                self._end_reason = _loss_reason(
                    self._lease, self.state.fencing, now
                )
                self._unanswered_orders = self._executor.unanswered
            self._ended = True
            self._send_views(to_all=True)
            self._tasks.cancel_scope.cancel()
        _log.info(
            'term_ends',
            fencing=self.state.fencing,
            reason=self._end_reason,
            unanswered_orders=self._unanswered_orders,
        )

    def apply_configuration(self) -> None:
        """Apply a new configuration."""
        self.state.apply_routing_table(self._context.table())
        self.apply_registry()

    def apply_registry(self) -> None:
        """Apply a new list of targets and survey new engines."""
        for engine in self.state.apply_registry(self._context.fleet.registry):
            self._tasks.start_soon(self._executor.survey, engine)
        self._request_plan()

    def handle_message(self, message: MemberReport | CreditAsk) -> None:
        """Handle a message from a member.

        :param message: report or credit request.
        """
        if isinstance(message, CreditAsk):
            self._grant_credit(message)
        elif self.state.apply_report(message, self._context.clock()):
            self._credit_shares.apply_report(
                message.instance_id,
                message.boot,
                message.credit,
                self._context.clock(),
            )
            self._request_plan()

    def relay_notice(self, notice: AnyPoisonNotice) -> None:
        """Send a notice to all members.

        :param notice: that is new to this instance.
        """
        self._notices.add(notice)
        self._request_plan()

    def apply_notices(self, message: PoisonNotices) -> None:
        """Apply the notices of a member and relay the new ones.

        :param message: from the member.
        """
        for notice in self._notices.accept(message):
            if self._context.poison.apply(notice):
                self.relay_notice(notice)
        self._request_plan()

    def _announce(self) -> None:
        """Tell the instances of the last leader whom to report to."""
        context = self._context
        message = LeaderAnnounced(
            context.instance_id, context.address, self.state.fencing
        )
        for peer in self._peers:
            if peer.instance_id == context.instance_id:
                continue
            if message_level(peer.boot) >= ANNOUNCEMENT_LEVEL:
                self._deliver(peer.instance_id, peer.address, message)

    def _relay_known_notices(self) -> None:
        context = self._context
        for notice in context.poison.tracker.notices(context.clock()):
            self.relay_notice(notice)

    def _has_stopped(self) -> bool:
        """Return whether the lease is lost or may be released."""
        if not self.holds_lease():
            return True
        return self.ending and self._executor.has_settled()

    def _request_plan(self) -> None:
        self._plan_due.set()

    def _plan(self) -> None:
        if not self.holds_lease():
            return
        now = self._context.clock()
        self.state.count_running(now)
        has_new_cold = self.state.apply_limits(now)
        for suspect in self.state.suspects(now):
            self._tasks.start_soon(self._executor.check_silent, suspect)
        may_order = self.lease_left() > 0
        orders = _plan_orders(self.state, now) if may_order else ()
        for engine, order in orders:
            self._tasks.start_soon(self._executor.execute, engine, order)
        log_replica_decisions(self.state)
        self._log_missing_weights(now)
        _log_paces(self.state.paces)
        organisations = self._context.table().organisations_by_name.values()
        # Few instances have reported in the first moments of a term.
        instances = max(
            self.state.member_count(now), self._context.credit.known_instances()
        )
        self._settle_shares(now)
        self._credit_shares.divide(
            organisations, instances, self._leader_credit.granted, now
        )
        self._leader_credit.limit(
            list(organisations),
            instances,
            now,
            self._credit_shares.divided_by_name,
        )
        has_new_peers = self.state.refresh_peers(now)
        has_new_views = self.state.refresh_views(now)
        has_new_absences = self.state.refresh_absences(now)
        has_news = has_new_views or has_new_peers or has_new_absences
        self._send_views(to_all=has_news or has_new_cold)

    def _is_first_term(self) -> bool:
        """Return whether no leader of the region can have granted anything."""
        return self._context.first_start and not self._peers

    def _settle_shares(self, now: float) -> None:
        """Allow for parts of earlier terms that are not known yet."""
        shares = self._credit_shares
        unheard: float = 0
        if now < shares.known_at and not self._is_first_term():
            heard = self.state.members_by_id.keys()
            unheard = unheard_fraction(self._peers, heard)
        if unheard != shares.unheard:
            _log.info(
                'limit_parts_unheard',
                fencing=self.state.fencing,
                fraction=unheard,
                known_instances=len(self._peers),
                heard_instances=len(self.state.members_by_id),
            )
        shares.unheard = unheard

    def _log_missing_weights(self, now: float) -> None:
        if now - self._missing_logged_at < _MISSING_LOG_INTERVAL_SECONDS:
            return
        self._missing_logged_at = now
        for service, scheduler in self.state.schedulers_by_service.items():
            self._log_absences(service, scheduler)
            missing = scheduler.missing_weights(now)
            logged = self._logged_missing_by_service.get(service)
            if missing == logged:
                continue
            lost = sorted(missing.names - logged.names) if logged else []
            self._logged_missing_by_service[service] = missing
            log_decision(
                'weights_missing',
                list(missing.waiting_models[:_MAX_LOGGED_NAMES]),
                'requests wait for models without a copy on any engine',
                service=service,
                models=missing.models,
                waiting_models=len(missing.waiting_models),
                cold_loads=missing.cold_loads,
                max_cold_loads=missing.max_cold_loads,
                engines=missing.engines,
                lost_models=lost[:_MAX_LOGGED_NAMES],
                promised_models=list(
                    missing.promised_models[:_MAX_LOGGED_NAMES]
                ),
            )

    def _log_absences(self, service: str, scheduler: ModelScheduler) -> None:
        absent, present = self._logged_absences[service].update(
            scheduler.absent.loaded_at_by_model
        )
        for names in absent:
            log_decision(
                'models_absent',
                names,
                'no engine has had a copy for some seconds',
                service=service,
            )
        for loaded in present:
            log_decision(
                'models_present',
                loaded,
                'an engine has a copy again',
                service=service,
            )

    def _send_views(self, *, to_all: bool) -> None:
        now = self._context.clock()
        members = self.state.members_by_id.values()
        if self._ended:
            self._views.send_last(members, now)
        else:
            self._views.send(members, now, to_all=to_all)
        for member in members:
            self._send_notices(member, now)
        self._copies.send(members, self._context.table().generation, now)

    def _send_notices(self, member: Member, now: float) -> None:
        report = member.report
        if report.instance_id == self._context.instance_id:
            return
        notices = self._notices.outgoing(report.instance_id, report.boot, now)
        if notices is not None:
            self._deliver(report.instance_id, report.address, notices)

    def _send_view(self, member: Member) -> None:
        context = self._context
        now = context.clock()
        closed_until = self._lease.held_until()
        if self._ended:
            closed_until = self._lease.terms.closed_until(closed_until, now)
        report = member.report
        proof_offset = None
        if member.stamp:
            proof_offset = context.freshness.proved_at - member.seen_at
        table = context.table()
        view = self.state.view_for(member, now)
        view = msgspec.structs.replace(
            view,
            version_ages=self._version_ages() if view.peers else {},
            store_limits=self.state.store_limits(),
            generation=table.generation,
            proof_offset=proof_offset,
            **registry_changes(context.fleet.registry, report),
            lease_version=self._lease.observation.version,
            lease_left=max(closed_until - now, 0),
            credit=self._credit_news(report),
        )
        self._deliver(report.instance_id, report.address, view)

    def _credit_news(
        self, report: MemberReport
    ) -> tuple[CreditShare, ...] | None:
        if message_level(report.boot) < CREDIT_SHARES_LEVEL:
            return None
        return self._credit_shares.news_for(report.instance_id, report.credit)

    def _grant_credit(self, ask: CreditAsk) -> None:
        if not self.holds_lease():
            return
        tokens, seconds = self._leader_credit.grant(
            ask.organisation,
            math.ceil(ask.tokens),
            self._context.clock(),
        )
        answer = CreditAnswer(
            self.state.fencing,
            ask.organisation,
            tokens,
            seconds,
            ask.number,
        )
        self._deliver(ask.instance_id, '', answer)


def _log_paces(paces: RegionPaces) -> None:
    for target_id, pace in paces.changed():
        log_decision(
            'target_pace',
            target_id,
            'answers of the target, as all instances have seen them',
            state=pace.state.value,
            places=None if math.isinf(pace.places) else pace.places,
        )


def _batch_seconds(members: int) -> float:
    return max(_MIN_BATCH_SECONDS, members * _BATCH_SECONDS_PER_MEMBER)


def _plan_orders(
    state: RegionState, now: float
) -> Iterator[tuple[EngineState, EngineOrder]]:
    """Return the orders that are due, with their engines."""
    for service, scheduler in state.schedulers_by_service.items():
        for order in scheduler.plan(state.groups(service, now), now):
            yield scheduler.engines_by_id[order.target_id], order
