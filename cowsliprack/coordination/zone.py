"""The leader of a zone as one state machine without I/O."""

from cowsliprack.coordination.demand_forwarding import DemandForwarder
from cowsliprack.coordination.forecast import plan_recurring_preloads
from cowsliprack.coordination.gate import WeightGate, share_of
from cowsliprack.coordination.housekeeping import keep_house
from cowsliprack.coordination.issuing import (
    hold_gate,
    repeat_doubtful,
    send_delayed,
    send_fences,
    send_now,
)
from cowsliprack.coordination.loads import (
    advance_plans,
    plan_demanded_loads,
    refuse,
)
from cowsliprack.coordination.placement import Refusal
from cowsliprack.coordination.takeover import Standings
from cowsliprack.coordination.zone_actions import (
    ClearIntent,
    ObserveFencing,
    PublishView,
    ReviseAllowances,
    SendRefusal,
    ZoneAction,
)
from cowsliprack.coordination.zone_state import ZoneState
from cowsliprack.coordination.zone_view import ViewBuilder
from cowsliprack.exceptions import ErrorKind
from cowsliprack.protocol.peer import (
    ColdStartRefusal,
    DemandReport,
    ReplicaView,
)
from cowsliprack.protocol.target import (
    Order,
    OrderKind,
    OrderOutcome,
    TargetReport,
)
from cowsliprack.state.configuration import Configuration

# Seconds between tries to change a record of allowances.
_REVISE_SECONDS = 2.0
# Seconds between looks at every replica and every allowance of the zone: at
# target size they are thousands.
_TIDY_SECONDS = 1.0
_STORE_RETRY_SECONDS = 10.0
_NEVER = float('-inf')


class ZoneController:
    """Decisions of one term of leadership.

    Events return actions in the order in which they are carried out; ``tick``
    is called after events and at least four times a second.

    :param fencing: number of the lease.
    :param acquired_at: when the lease was won, seconds.
    :param predecessor_until: until then an earlier holder may act as degraded
        leader, seconds.
    """

    def __init__(
        self,
        zone: str,
        fencing: int,
        configuration: Configuration,
        acquired_at: float,
        predecessor_until: float,
    ) -> None:
        """Start a term; the journal must be claimed next."""
        standings = Standings(fencing, acquired_at, predecessor_until)
        policy = configuration.policy
        share = share_of(policy, zone, configuration.zones)
        self.state = ZoneState(
            zone,
            fencing,
            configuration,
            standings,
            WeightGate(share),
        )
        self._view = ViewBuilder(self.state)
        self._forwarder = DemandForwarder(self.state)
        self._revised_at_by_shard: dict[int, float] = {}
        self._tidied_at = _NEVER
        self.on_configuration(configuration, acquired_at)

    def on_configuration(
        self,
        configuration: Configuration,
        now: float,
    ) -> list[ZoneAction]:
        """Use another generation of the configuration.

        :param configuration: ignored when its generation is lower.
        :param now: seconds.
        """
        state = self.state
        if configuration.generation < state.configuration.generation:
            return []
        before = state.configuration.deployments_by_name
        for name, deployment in configuration.deployments_by_name.items():
            old = before.get(name, deployment)
            same = (old.model, old.version, old.adapter) == (
                deployment.model,
                deployment.version,
                deployment.adapter,
            )
            if not same:
                state.outdated.update(
                    (name, booking.target_id)
                    for booking in state.orders.table.of_deployment(name)
                )
        state.configuration = configuration
        state.allowances.set_configuration(configuration)
        state.standings.set_targets(state.zone, configuration.targets_by_id)
        state.gate.set_share(
            share_of(configuration.policy, state.zone, configuration.zones),
        )
        return []

    def on_journal_claimed(
        self,
        intents: list[Order],
        now: float,
    ) -> list[ZoneAction]:
        """Take the journal after it was written under the own number.

        :param intents: what a predecessor recorded and did not clear.
        :param now: seconds.
        """
        for intent in intents:
            self.state.orders.restore_intent(intent, now)
        self.state.standings.claim(now)
        # An intent that a later one for the same replica has replaced.
        return [
            ClearIntent(order.order_id)
            for order in intents
            if order.order_id not in self._open_orders(order.target_id)
        ]

    def on_demand(
        self,
        report: DemandReport,
        sender: str,
        now: float,
    ) -> list[ZoneAction]:
        """Take the demand of an instance or of another zone's leader.

        :param report: what waits there.
        :param sender: id of the instance.
        :param now: seconds.
        """
        state = self.state
        if report.served > 0:
            state.usage.record_use(report.deployment, now)
            deployment = state.configuration.deployments_by_name.get(
                report.deployment,
            )
            if deployment is not None and deployment.base is not None:
                state.usage.record_use(deployment.base, now)
        state.demand.take(report, sender, now)
        return []

    def on_report(self, report: TargetReport, now: float) -> list[ZoneAction]:
        """Take the report of a target.

        :param report: from a target of this zone.
        :param now: time before the report was asked for, seconds.
        """
        state = self.state
        if report.target_id not in state.standings.by_target:
            return []
        state.standings.on_report(report, now)
        before = self._open_orders(report.target_id)
        state.orders.apply_report(report, now - report.age)
        actions = self._clear_settled(before, report.target_id)
        if report.highest_fencing > state.fencing:
            actions.append(ObserveFencing(report.highest_fencing))
        return actions

    def on_report_failed(
        self,
        target_id: str,
        now: float,
        *,
        refused: bool,
    ) -> list[ZoneAction]:
        """Take the failure to read a report.

        :param target_id: id of the target.
        :param now: time before the report was asked for, seconds.
        :param refused: the connection was refused.
        """
        state = self.state
        if target_id not in state.standings.by_target:
            return []
        state.standings.on_failure(target_id, refused=refused, asked_at=now)
        if not refused:
            return []
        before = self._open_orders(target_id)
        state.orders.apply_connection_refused(target_id, now)
        return self._clear_settled(before, target_id)

    def on_order_outcome(
        self,
        order: Order,
        outcome: OrderOutcome,
        now: float,
    ) -> list[ZoneAction]:
        """Take the outcome of an order.

        :param order: as sent.
        :param outcome: ``refused`` also when it was not sent.
        :param now: seconds.
        """
        state = self.state
        actions: list[ZoneAction] = []
        if outcome is OrderOutcome.stale_fencing:
            actions.append(ObserveFencing(state.fencing + 1))
        if order.kind is OrderKind.fence:
            state.standings.on_fence(order.target_id, outcome, now)
            return actions
        before = self._open_orders(order.target_id)
        state.orders.apply_outcome(order, outcome, now)
        actions.extend(self._clear_settled(before, order.target_id))
        return actions

    def on_intent_written(
        self,
        order_id: str,
        now: float,
        *,
        ok: bool,
    ) -> list[ZoneAction]:
        """Take the outcome of writing an intent.

        :param order_id: id of the order.
        :param now: seconds.
        :param ok: whether the journal holds the intent.
        """
        state = self.state
        order = state.awaiting_intent.pop(order_id, None)
        if order is None:
            return []
        if ok:
            return [send_now(state, order)]
        state.journal_failed_at = now
        state.orders.apply_outcome(order, OrderOutcome.refused, now)
        demand = state.demand.of_deployment(order.deployment)
        if demand is None:
            return []
        refusal = Refusal(
            ErrorKind.store_unavailable,
            'order journal cannot be written',
            _STORE_RETRY_SECONDS,
        )
        return refuse(state, demand, refusal)

    def on_target_leaving(
        self,
        target_id: str,
        now: float,
    ) -> list[ZoneAction]:
        """Give a target no new loads from now on.

        :param target_id: id of the target.
        :param now: seconds.
        """
        standing = self.state.standings.by_target.get(target_id)
        if standing is not None:
            standing.leaving = True
        return []

    def on_target_gone(self, target_id: str, now: float) -> list[ZoneAction]:
        """Forget what a target held that the platform reports gone.

        :param target_id: id of the target.
        :param now: seconds.
        """
        before = self._open_orders(target_id)
        self.state.orders.table.forget_target(target_id)
        self.state.standings.on_failure(target_id, refused=True, asked_at=now)
        return self._clear_settled(before, target_id)

    def on_refusal(
        self,
        refusal: ColdStartRefusal,
        now: float,
    ) -> list[ZoneAction]:
        """Pass on the refusal of another zone's leader.

        :param refusal: answers demand that was forwarded.
        :param now: seconds.
        """
        demand = self.state.demand.of_deployment(refusal.deployment)
        if demand is None:
            return []
        if refusal.kind != ErrorKind.deadline_unreachable:
            self.state.demand.clear(refusal.deployment)
        return [SendRefusal(refusal, demand.senders)]

    def on_zone_message(self, zone: str, now: float) -> list[ZoneAction]:
        """Note a message of another zone's leader.

        :param zone: its zone.
        :param now: seconds.
        """
        self._forwarder.record_contact(zone, now)
        self.state.other_zones.record_contact(zone, now)
        return []

    def on_view(self, view: ReplicaView, now: float) -> list[ZoneAction]:
        """Take what another zone's leader publishes.

        :param view: of another zone.
        :param now: seconds.
        """
        if view.zone != self.state.zone:
            self.state.other_zones.record_contact(view.zone, now)
            self.state.other_zones.update(view)
        return []

    def on_predecessor_stopped(self, now: float) -> list[ZoneAction]:
        """Note that nobody acts for an earlier lease any more.

        :param now: seconds.
        """
        self.state.standings.stop_predecessor(now)
        return []

    def tick(self, now: float, *, degraded: bool = False) -> list[ZoneAction]:
        """Return what is due.

        :param now: seconds.
        :param degraded: the lease lapsed because the store does not answer.
        """
        state = self.state
        state.degraded = degraded
        state.demand.expire(now)
        hold_gate(state, now)
        actions = send_fences(state, now)
        actions.extend(repeat_doubtful(state, now))
        actions.extend(plan_demanded_loads(state, now))
        actions.extend(self._forwarder.forward(now))
        actions.extend(advance_plans(state, now))
        actions.extend(self._tidy(now))
        actions.extend(send_delayed(state, now))
        view = self._view.build(now)
        if view is not None:
            actions.append(PublishView(view))
        return actions

    def _tidy(self, now: float) -> list[ZoneAction]:
        """Return what need not be looked at in every tick."""
        if now - self._tidied_at < _TIDY_SECONDS:
            return []
        self._tidied_at = now
        actions = keep_house(self.state, now)
        actions.extend(plan_recurring_preloads(self.state, now))
        if not self.state.degraded:
            actions.extend(self._revise_allowances(now))
        return actions

    def _revise_allowances(self, now: float) -> list[ZoneAction]:
        occupied = self.state.occupied_by_deployment()
        due: list[ZoneAction] = []
        for shard in self.state.allowances.due_shards(occupied):
            tried_at = self._revised_at_by_shard.get(shard, _NEVER)
            if now - tried_at >= _REVISE_SECONDS:
                self._revised_at_by_shard[shard] = now
                due.append(ReviseAllowances(shard))
        return due

    def _open_orders(self, target_id: str) -> set[str]:
        bookings = self.state.orders.table.on_target(target_id).by_deployment
        return {
            booking.order.order_id
            for booking in bookings.values()
            if booking.order is not None
        }

    def _clear_settled(
        self,
        before: set[str],
        target_id: str,
    ) -> list[ZoneAction]:
        settled = before - self._open_orders(target_id)
        return [ClearIntent(order_id) for order_id in sorted(settled)]
