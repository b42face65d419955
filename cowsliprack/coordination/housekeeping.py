"""Unloads that no load asks for: idle, excess, outdated, leaving."""

from cowsliprack.coordination.bookings import Booking
from cowsliprack.coordination.idle import idle_costs
from cowsliprack.coordination.issuing import order_unload
from cowsliprack.coordination.loads import plan_preload
from cowsliprack.coordination.zone_actions import ZoneAction
from cowsliprack.coordination.zone_state import ZoneState
from cowsliprack.state.configuration import Deployment
from cowsliprack.state.fleet import ReplicaState

# A replica on a leaving target that was used within this time is started
# elsewhere before the target goes, seconds.
_IN_USE_SECONDS = 60.0


def housekeeping_actions(state: ZoneState, now: float) -> list[ZoneAction]:
    """Return the unloads that are due and the loads that replace them.

    :param state: of this term.
    :param now: seconds.
    """
    actions: list[ZoneAction] = []
    claimed = _claimed(state)
    for booking in tuple(state.orders.table.all_bookings()):
        settled = booking.state is ReplicaState.loaded and not booking.order
        key = (booking.deployment, booking.target_id)
        if settled and key not in claimed and _may_unload(state, booking, now):
            actions.extend(_consider(state, booking, now))
    return actions


def _consider(
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
    waits = state.demand.waits_for(deployment.name)
    since = state.last_used(booking)
    if not waits and _is_idle(state, booking, deployment, now):
        return order_unload(state, booking, 'idle', now)
    engine_status = state.engine_statuses.by_target[booking.target_id]
    in_use = now - since < _IN_USE_SECONDS
    if engine_status.leaving and in_use and _is_only_leaving(state, booking):
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
    idle = now - state.last_used(booking)
    return state.idle_rule(state.usage.idle_replica(deployment, idle, costs))


def _is_excess(state: ZoneState, booking: Booking) -> bool:
    """Return whether this replica is the one to go, if any must."""
    deployment = state.configuration.deployments_by_name[booking.deployment]
    limit = state.allowances.limit(deployment)
    bookings = state.orders.table.of_deployment(booking.deployment)
    staying = [
        entry for entry in bookings if entry.state is not ReplicaState.unloading
    ]
    if len(staying) <= limit:
        return False
    loaded = [entry for entry in staying if entry.state is ReplicaState.loaded]
    first = min(loaded, key=lambda entry: (entry.last_used, entry.target_id))
    return first is booking


def _is_only_leaving(state: ZoneState, booking: Booking) -> bool:
    return all(
        state.engine_statuses.by_target[entry.target_id].leaving
        for entry in state.orders.table.of_deployment(booking.deployment)
    )


def _may_unload(state: ZoneState, booking: Booking, now: float) -> bool:
    engine_status = state.engine_statuses.by_target.get(booking.target_id)
    if engine_status is None or not engine_status.takes_orders(now):
        return False
    # A degraded leader does not order targets that ignore fencing.
    return engine_status.target.checks_fencing or not state.degraded


def _has_adapters(state: ZoneState, booking: Booking) -> bool:
    deployments = state.configuration.deployments_by_name
    bookings = state.orders.table.on_target(booking.target_id).by_deployment
    return any(
        name in deployments and deployments[name].base == booking.deployment
        for name in bookings
    )


def _claimed(state: ZoneState) -> set[tuple[str, str]]:
    """Return replicas that a plan evicts or builds on."""
    claimed: set[tuple[str, str]] = set()
    for plan in state.plans_by_deployment.values():
        names = set(plan.evict)
        if plan.deployment.base is not None:
            names.add(plan.deployment.base)
        claimed.update((name, plan.target_id) for name in names)
    return claimed
