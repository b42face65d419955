"""Unloads of idle, excess, outdated and removed replicas.

A replica in use on a leaving target is loaded on another target first.
"""

from cowsliprack.coordination.bookings import Booking
from cowsliprack.coordination.idle import idle_costs
from cowsliprack.coordination.issuing import order_unload
from cowsliprack.coordination.loads import plan_preload
from cowsliprack.coordination.zone_actions import ZoneAction
from cowsliprack.coordination.zone_state import ZoneState
from cowsliprack.state.configuration import Deployment
from cowsliprack.state.fleet import ReplicaState

# A replica on a leaving target that was used within this time is loaded on
# another target before the first one leaves.
_RECENT_USE_SECONDS = 60.0


def housekeeping_actions(state: ZoneState, now: float) -> list[ZoneAction]:
    """Return the unloads that are due and the loads that replace them.

    :param state: of the zone in this term of the leader.
    :param now: seconds.
    """
    actions: list[ZoneAction] = []
    planned = _replicas_in_plans(state)
    for booking in tuple(state.orders.table.all_bookings()):
        is_settled = booking.state is ReplicaState.loaded and not booking.order
        key = (booking.deployment, booking.target_id)
        if (
            is_settled
            and key not in planned
            and _may_unload(state, booking, now)
        ):
            actions.extend(_actions_for(state, booking, now))
    return actions


def _actions_for(
    state: ZoneState,
    booking: Booking,
    now: float,
) -> list[ZoneAction]:
    deployment = state.configuration.deployments_by_name.get(
        booking.deployment,
    )
    key = (booking.deployment, booking.target_id)
    if deployment is None or key in state.outdated:
        state.outdated.discard(key)
        return order_unload(state, booking, 'not in the configuration', now)
    if _is_excess(state, booking):
        return order_unload(state, booking, 'above the allowance', now)
    if _has_adapters(state, booking):
        return []
    has_waiting = state.demand.waits_for(deployment.name)
    last_used_at = state.last_used(booking)
    if not has_waiting and _is_idle(state, booking, deployment, now):
        return order_unload(state, booking, 'idle', now)
    engine_status = state.engine_statuses.by_target[booking.target_id]
    is_in_use = now - last_used_at < _RECENT_USE_SECONDS
    if engine_status.leaving and is_in_use and _is_only_leaving(state, booking):
        return plan_preload(state, deployment, 'target leaves', now)
    return []


def _is_idle(
    state: ZoneState,
    booking: Booking,
    deployment: Deployment,
    now: float,
) -> bool:
    target = state.engine_statuses.by_target[booking.target_id].target
    accelerators = state.accelerators_used(target, booking.memory)
    costs = idle_costs(deployment, state.configuration.policy, accelerators)
    idle_seconds = now - state.last_used(booking)
    return state.idle_rule(
        state.usage.idle_replica(deployment, idle_seconds, costs)
    )


def _is_excess(state: ZoneState, booking: Booking) -> bool:
    """Return whether this replica is the next to unload above the limit."""
    deployment = state.configuration.deployments_by_name[booking.deployment]
    limit = state.allowances.limit(deployment)
    bookings = state.orders.table.of_deployment(booking.deployment)
    remaining = [
        entry for entry in bookings if entry.state is not ReplicaState.unloading
    ]
    if len(remaining) <= limit:
        return False
    loaded = [
        entry for entry in remaining if entry.state is ReplicaState.loaded
    ]
    oldest = min(loaded, key=lambda entry: (entry.last_used, entry.target_id))
    return oldest is booking


def _is_only_leaving(state: ZoneState, booking: Booking) -> bool:
    return all(
        state.engine_statuses.by_target[entry.target_id].leaving
        for entry in state.orders.table.of_deployment(booking.deployment)
    )


def _may_unload(state: ZoneState, booking: Booking, now: float) -> bool:
    engine_status = state.engine_statuses.by_target.get(booking.target_id)
    if engine_status is None or not engine_status.takes_orders(now):
        return False
    # A degraded leader sends no orders to targets that ignore fencing.
    return engine_status.target.checks_fencing or not state.degraded


def _has_adapters(state: ZoneState, booking: Booking) -> bool:
    deployments = state.configuration.deployments_by_name
    bookings = state.orders.table.on_target(booking.target_id).by_deployment
    return any(
        name in deployments and deployments[name].base == booking.deployment
        for name in bookings
    )


def _replicas_in_plans(state: ZoneState) -> set[tuple[str, str]]:
    """Return replicas that a plan evicts or needs as the base."""
    planned: set[tuple[str, str]] = set()
    for plan in state.plans_by_deployment.values():
        names = set(plan.evict)
        if plan.deployment.base is not None:
            names.add(plan.deployment.base)
        planned.update((name, plan.target_id) for name in names)
    return planned
