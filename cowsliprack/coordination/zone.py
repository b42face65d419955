"""State machine of a zone leader, without I/O."""

from cowsliprack.coordination.demand_forwarding import DemandForwarder
from cowsliprack.coordination.forecast import plan_recurring_preloads
from cowsliprack.coordination.gate import WeightGate, zone_share
from cowsliprack.coordination.housekeeping import housekeeping_actions
from cowsliprack.coordination.issuing import (
    resend_in_doubt,
    send_delayed,
    send_fences,
    send_now,
    sync_gate,
)
from cowsliprack.coordination.loads import (
    advance_plans,
    plan_demanded_loads,
    refuse,
)
from cowsliprack.coordination.placement import Refusal
from cowsliprack.coordination.takeover import EngineStatusTable
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

# Interval between attempts to revise the same allowance shard.
_REVISE_RETRY_SECONDS = 2.0
# Checks of all replicas and allowances of the zone run at this interval: at
# target size there are thousands.
_PERIODIC_SECONDS = 1.0
_STORE_RETRY_DELAY_SECONDS = 10.0
_NEVER = float('-inf')


class ZoneController:
    """Makes the decisions of one term of leadership.

    Event handlers return actions in the order of their execution; ``tick`` is
    called after events and at least four times per second.

    :param fencing: fencing number of the lease.
    :param acquired_at: when the lease was acquired, seconds.
    :param predecessor_until: time until which an earlier holder may act as
        degraded leader, seconds.
    """

    def __init__(
        self,
        zone: str,
        fencing: int,
        configuration: Configuration,
        acquired_at: float,
        predecessor_until: float,
    ) -> None:
        """Start a term; the next step is to claim the journal."""
        engine_statuses = EngineStatusTable(
            fencing, acquired_at, predecessor_until
        )
        policy = configuration.policy
        share = zone_share(policy, zone, configuration.zones)
        self.state = ZoneState(
            zone,
            fencing,
            configuration,
            engine_statuses,
            WeightGate(share),
        )
        self._view = ViewBuilder(self.state)
        self._forwarder = DemandForwarder(self.state)
        self._revised_at_by_shard: dict[int, float] = {}
        self._periodic_run_at = _NEVER
        self.on_configuration(configuration, acquired_at)

    def on_configuration(
        self,
        configuration: Configuration,
        now: float,
    ) -> list[ZoneAction]:
        """Apply a generation of the configuration.

        :param configuration: ignored when its generation is lower.
        :param now: seconds.
        """
        state = self.state
        if configuration.generation < state.configuration.generation:
            return []
        before = state.configuration.deployments_by_name
        for name, deployment in configuration.deployments_by_name.items():
            old = before.get(name, deployment)
            is_unchanged = (old.model, old.version, old.adapter) == (
                deployment.model,
                deployment.version,
                deployment.adapter,
            )
            if not is_unchanged:
                state.outdated.update(
                    (name, booking.target_id)
                    for booking in state.orders.table.of_deployment(name)
                )
        state.configuration = configuration
        state.allowances.set_configuration(configuration)
        state.engine_statuses.set_targets(
            state.zone, configuration.targets_by_id
        )
        state.gate.set_share(
            zone_share(configuration.policy, state.zone, configuration.zones),
        )
        return []

    def on_journal_claimed(
        self,
        intents: list[Order],
        now: float,
    ) -> list[ZoneAction]:
        """Restore the orders of a predecessor after claiming the journal.

        :param intents: orders that a predecessor recorded and did not clear.
        :param now: seconds.
        """
        for intent in intents:
            self.state.orders.restore_intent(intent, now)
        self.state.engine_statuses.claim(now)
        # Clear intents that a later one for the same replica has replaced.
        return [
            ClearIntent(order.order_id)
            for order in intents
            if order.order_id not in self._open_order_ids(order.target_id)
        ]

    def on_demand(
        self,
        report: DemandReport,
        sender: str,
        now: float,
    ) -> list[ZoneAction]:
        """Record demand from an instance or from the leader of another zone.

        :param report: waiting requests of the sender.
        :param sender: id of the instance, or prefixed zone of the leader.
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
        state.demand.update(report, sender, now)
        return []

    def on_report(self, report: TargetReport, now: float) -> list[ZoneAction]:
        """Apply the report of a target.

        :param report: report of a target of this zone.
        :param now: time before the report was requested, seconds.
        """
        state = self.state
        if report.target_id not in state.engine_statuses.by_target:
            return []
        state.engine_statuses.on_report(report, now)
        before = self._open_order_ids(report.target_id)
        state.orders.apply_report(report, now - report.age)
        actions = self._clear_settled_intents(before, report.target_id)
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
        """Record the failure to read a report.

        :param target_id: id of the target.
        :param now: time before the report was requested, seconds.
        :param refused: whether the connection was refused.
        """
        state = self.state
        if target_id not in state.engine_statuses.by_target:
            return []
        state.engine_statuses.on_failure(
            target_id, refused=refused, asked_at=now
        )
        if not refused:
            return []
        before = self._open_order_ids(target_id)
        state.orders.apply_connection_refused(target_id, now)
        return self._clear_settled_intents(before, target_id)

    def on_order_outcome(
        self,
        order: Order,
        outcome: OrderOutcome,
        now: float,
    ) -> list[ZoneAction]:
        """Apply the outcome of an order.

        :param order: order that was sent.
        :param outcome: its outcome; ``refused`` also when it was not sent.
        :param now: seconds.
        """
        state = self.state
        actions: list[ZoneAction] = []
        if outcome is OrderOutcome.stale_fencing:
            actions.append(ObserveFencing(state.fencing + 1))
        if order.kind is OrderKind.fence:
            state.engine_statuses.on_fence(order.target_id, outcome, now)
            return actions
        before = self._open_order_ids(order.target_id)
        state.orders.apply_outcome(order, outcome, now)
        actions.extend(self._clear_settled_intents(before, order.target_id))
        return actions

    def on_intent_written(
        self,
        order_id: str,
        now: float,
        *,
        ok: bool,
    ) -> list[ZoneAction]:
        """Send or cancel an order after its intent was written.

        :param order_id: id of the order.
        :param now: seconds.
        :param ok: whether the journal contains the intent.
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
            _STORE_RETRY_DELAY_SECONDS,
        )
        return refuse(state, demand, refusal)

    def on_target_leaving(
        self,
        target_id: str,
        now: float,
    ) -> list[ZoneAction]:
        """Exclude a leaving target from new loads.

        :param target_id: id of the target.
        :param now: seconds.
        """
        engine_status = self.state.engine_statuses.by_target.get(target_id)
        if engine_status is not None:
            engine_status.leaving = True
        return []

    def on_target_gone(self, target_id: str, now: float) -> list[ZoneAction]:
        """Remove the bookings of a target that the platform reports removed.

        :param target_id: id of the target.
        :param now: seconds.
        """
        before = self._open_order_ids(target_id)
        self.state.orders.table.forget_target(target_id)
        self.state.engine_statuses.on_failure(
            target_id, refused=True, asked_at=now
        )
        return self._clear_settled_intents(before, target_id)

    def on_refusal(
        self,
        refusal: ColdStartRefusal,
        now: float,
    ) -> list[ZoneAction]:
        """Relay the refusal of another zone's leader.

        :param refusal: answer to demand that was forwarded.
        :param now: seconds.
        """
        demand = self.state.demand.of_deployment(refusal.deployment)
        if demand is None:
            return []
        if refusal.kind != ErrorKind.deadline_unreachable:
            self.state.demand.clear(refusal.deployment)
        return [SendRefusal(refusal, demand.senders)]

    def on_zone_message(self, zone: str, now: float) -> list[ZoneAction]:
        """Record a message from the leader of another zone.

        :param zone: zone of the sender.
        :param now: seconds.
        """
        self._forwarder.record_contact(zone, now)
        self.state.other_zones.record_contact(zone, now)
        return []

    def on_view(self, view: ReplicaView, now: float) -> list[ZoneAction]:
        """Apply a view from the leader of another zone.

        :param view: published view.
        :param now: seconds.
        """
        if view.zone != self.state.zone:
            self.state.other_zones.record_contact(view.zone, now)
            self.state.other_zones.update(view)
        return []

    def on_predecessor_stopped(self, now: float) -> list[ZoneAction]:
        """Record that no holder of an earlier lease is active any more.

        :param now: seconds.
        """
        self.state.engine_statuses.stop_predecessor(now)
        return []

    def tick(self, now: float, *, degraded: bool = False) -> list[ZoneAction]:
        """Return the actions that are due.

        :param now: seconds.
        :param degraded: whether the lease lapsed because the store is
            unavailable.
        """
        state = self.state
        state.degraded = degraded
        state.demand.expire(now)
        sync_gate(state, now)
        actions = send_fences(state, now)
        actions.extend(resend_in_doubt(state, now))
        actions.extend(plan_demanded_loads(state, now))
        actions.extend(self._forwarder.forward(now))
        actions.extend(advance_plans(state, now))
        actions.extend(self._run_periodic(now))
        actions.extend(send_delayed(state, now))
        view = self._view.build(now)
        if view is not None:
            actions.append(PublishView(view))
        return actions

    def _run_periodic(self, now: float) -> list[ZoneAction]:
        """Return the actions of checks that are too costly for every tick."""
        if now - self._periodic_run_at < _PERIODIC_SECONDS:
            return []
        self._periodic_run_at = now
        actions = housekeeping_actions(self.state, now)
        actions.extend(plan_recurring_preloads(self.state, now))
        if not self.state.degraded:
            actions.extend(self._revise_allowances(now))
        return actions

    def _revise_allowances(self, now: float) -> list[ZoneAction]:
        occupied = self.state.occupied_by_deployment()
        due: list[ZoneAction] = []
        for shard in self.state.allowances.due_shards(occupied):
            revised_at = self._revised_at_by_shard.get(shard, _NEVER)
            if now - revised_at >= _REVISE_RETRY_SECONDS:
                self._revised_at_by_shard[shard] = now
                due.append(ReviseAllowances(shard))
        return due

    def _open_order_ids(self, target_id: str) -> set[str]:
        bookings = self.state.orders.table.on_target(target_id).by_deployment
        return {
            booking.order.order_id
            for booking in bookings.values()
            if booking.order is not None
        }

    def _clear_settled_intents(
        self,
        before: set[str],
        target_id: str,
    ) -> list[ZoneAction]:
        settled = before - self._open_order_ids(target_id)
        return [ClearIntent(order_id) for order_id in sorted(settled)]
