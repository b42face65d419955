"""Plans loads for demand, refuses others, and carries the plans out."""

import math

from cowsliprack.coordination.bookings import Booking
from cowsliprack.coordination.gate import WaitingLoad, order_by_slack
from cowsliprack.coordination.issuing import order_load, order_unload
from cowsliprack.coordination.placement import (
    Placement,
    PlacementRequest,
    Refusal,
    place,
)
from cowsliprack.coordination.zone_actions import (
    LogDecision,
    SendRefusal,
    ZoneAction,
)
from cowsliprack.coordination.zone_demand import Demand
from cowsliprack.coordination.zone_state import Plan, ZoneState
from cowsliprack.exceptions import ErrorKind
from cowsliprack.protocol.peer import ColdStartRefusal
from cowsliprack.state.configuration import Deployment
from cowsliprack.state.fleet import ReplicaState

# A plan that could not be started within this time is made again.
_PLAN_TIMEOUT_SECONDS = 30.0
# Requests that wait this long for loaded replicas cause one more load.
_SCALE_UP_WAIT_SECONDS = 1.0


def plan_demanded_loads(state: ZoneState, now: float) -> list[ZoneAction]:
    """Plan a load or refuse it for each deployment with waiting requests.

    :param state: state of this term.
    :param now: seconds.
    """
    deployments = state.configuration.deployments_by_name
    wanted: list[WaitingLoad] = []
    for demand in state.demand.every():
        deployment = deployments.get(demand.deployment)
        if deployment is None:
            continue
        state.usage.record_use(deployment.name, now)
        if deployment.base is not None:
            state.usage.record_use(deployment.base, now)
        if _needs_replica(state, deployment, demand, now):
            wanted.append(_waiting_load_for(deployment, demand))
    actions: list[ZoneAction] = []
    for load in order_by_slack(wanted):
        actions.extend(_plan_load(state, deployments[load.deployment], now))
    return actions


def plan_preload(
    state: ZoneState,
    deployment: Deployment,
    reason: str,
    now: float,
) -> list[ZoneAction]:
    """Plan a load for which no request waits.

    :param state: state of this term.
    :param deployment: deployment to load.
    :param reason: reason to log.
    :param now: seconds.
    """
    if state.remaining(deployment) <= 0:
        return []
    decision = place(_placement_request(state, deployment, math.inf, now))
    if isinstance(decision, Refusal) or decision.evict:
        # Replicas are not evicted for demand that is only expected.
        return []
    plan = Plan(deployment, decision.target_id, (), now, math.inf, preload=True)
    state.plans_by_deployment[deployment.name] = plan
    return [LogDecision('load', decision.target_id, reason, decision.inputs)]


def advance_plans(state: ZoneState, now: float) -> list[ZoneAction]:
    """Start the next step of each plan: evictions, base model, deployment.

    :param state: state of this term.
    :param now: seconds.
    """
    waiting = [
        WaitingLoad(
            plan.deployment.name,
            plan.deadline,
            plan.deployment.load_seconds,
            plan.deployment.checkpoint,
        )
        for plan in state.plans_by_deployment.values()
    ]
    actions: list[ZoneAction] = []
    for load in order_by_slack(waiting):
        plan = state.plans_by_deployment[load.deployment]
        if _is_obsolete(state, plan, now):
            state.plans_by_deployment.pop(load.deployment)
            continue
        actions.extend(_advance_plan(state, plan, now))
    return actions


def _needs_replica(
    state: ZoneState,
    deployment: Deployment,
    demand: Demand,
    now: float,
) -> bool:
    if deployment.name in state.plans_by_deployment:
        return False
    bookings = [
        booking
        for booking in state.orders.table.of_deployment(deployment.name)
        if _can_serve(state, booking, now)
    ]
    if any(booking.is_loading() for booking in bookings):
        return False
    loaded = [
        booking for booking in bookings if booking.state is ReplicaState.loaded
    ]
    if not loaded:
        # One replica per requesting zone would use memory that other
        # deployments need; the latency between zones is about 1 ms.
        return not state.other_zones.serves(
            deployment.name,
            state.configuration.targets_by_id,
            now,
        )
    queued = demand.waited >= _SCALE_UP_WAIT_SECONDS
    busy = all(_is_saturated(state, booking) for booking in loaded)
    return queued and busy and state.remaining(deployment) > 0


def _can_serve(state: ZoneState, booking: Booking, now: float) -> bool:
    engine_status = state.engine_statuses.by_target[booking.target_id]
    if booking.order is not None and not booking.in_doubt():
        return True
    return engine_status.takes_orders(now)


def _is_saturated(state: ZoneState, booking: Booking) -> bool:
    engine_status = state.engine_statuses.by_target[booking.target_id]
    if engine_status.reported is None:
        return False
    return engine_status.reported.running >= engine_status.target.slots


def _waiting_load_for(deployment: Deployment, demand: Demand) -> WaitingLoad:
    return WaitingLoad(
        deployment.name,
        demand.deadline,
        deployment.load_seconds,
        deployment.checkpoint,
    )


def _plan_load(
    state: ZoneState,
    deployment: Deployment,
    now: float,
) -> list[ZoneAction]:
    demand = state.demand.of_deployment(deployment.name)
    if demand is None:
        return []
    if not state.may_load(deployment, now):
        # Demand is forwarded to a zone that can; see ``demand_forwarding``.
        return []
    if state.remaining(deployment) <= 0 and _may_free_allowance(
        state, deployment, now
    ):
        return []
    if deployment.base in state.plans_by_deployment:
        # The base model is loaded first: until then the adapter has no target
        # to share with it, and no allowance remains for a second base.
        return []
    decision = place(
        _placement_request(state, deployment, demand.deadline, now)
    )
    if isinstance(decision, Refusal):
        return refuse(state, demand, decision)
    state.plans_by_deployment[deployment.name] = Plan(
        deployment,
        decision.target_id,
        decision.evict,
        now,
        demand.deadline,
    )
    log = LogDecision(
        'load',
        decision.target_id,
        decision.reason,
        {**decision.inputs, 'evict': decision.evict},
    )
    if decision.in_time:
        return [log]
    return [log, _refuse_late_requests(demand, decision)]


def refuse(
    state: ZoneState,
    demand: Demand,
    refusal: Refusal,
) -> list[ZoneAction]:
    """Send a refusal to all senders of a demand.

    :param state: state of this term.
    :param demand: is removed; a sender with waiting requests reports it again.
    :param refusal: kind, reason and retry delay.
    """
    state.demand.clear(demand.deployment)
    message = ColdStartRefusal(
        demand.deployment,
        refusal.kind.value,
        refusal.reason,
        refusal.retry_after,
    )
    inputs = {**refusal.inputs, 'retry_after': refusal.retry_after}
    return [
        SendRefusal(message, demand.senders),
        LogDecision('refuse', demand.deployment, refusal.reason, inputs),
    ]


def _refuse_late_requests(demand: Demand, decision: Placement) -> SendRefusal:
    message = ColdStartRefusal(
        demand.deployment,
        ErrorKind.deadline_unreachable.value,
        'load ends after the deadline',
        decision.ready_in,
    )
    return SendRefusal(message, demand.senders)


def _may_free_allowance(
    state: ZoneState, deployment: Deployment, now: float
) -> bool:
    """Return whether the used allowance may soon prove to be free."""
    unverified = state.engine_statuses.unverified(deployment.pool)
    if unverified and state.engine_statuses.is_settling(deployment.pool, now):
        return True
    bookings = state.orders.table.of_deployment(deployment.name)
    return any(
        booking.state is ReplicaState.unloading and not booking.in_doubt()
        for booking in bookings
    )


def _placement_request(
    state: ZoneState,
    deployment: Deployment,
    deadline: float,
    now: float,
) -> PlacementRequest:
    base = state.base_of(deployment)
    whole_models = sum(
        1
        for plan in state.plans_by_deployment.values()
        if plan.deployment.adapter is None
    )
    return PlacementRequest(
        deployment,
        state.candidate_targets(deployment.pool, now),
        state.remaining(deployment),
        deadline,
        now,
        base,
        state.remaining(base) if base else 0,
        state.gate.start_delay(now, adapter=False, ahead=whole_models),
        state.gate.start_delay(now, adapter=True),
    )


def _is_obsolete(state: ZoneState, plan: Plan, now: float) -> bool:
    name = plan.deployment.name
    current = state.configuration.deployments_by_name.get(name)
    if current != plan.deployment:
        return True
    started = state.orders.table.find(name, plan.target_id) is not None
    unwanted = not (plan.preload or state.demand.waits_for(name))
    expired = now - plan.created_at > _PLAN_TIMEOUT_SECONDS
    closed = not state.engine_statuses.takes_loads(plan.target_id, now)
    if started or unwanted or expired or closed:
        return True
    return any(_has_new_demand(state, plan, other) for other in plan.evict)


def _has_new_demand(state: ZoneState, plan: Plan, evicted: str) -> bool:
    booking = state.orders.table.find(evicted, plan.target_id)
    stays = booking is not None and booking.order is None
    return stays and state.demand.waits_for(evicted)


def _advance_plan(state: ZoneState, plan: Plan, now: float) -> list[ZoneAction]:
    table = state.orders.table
    found = [table.find(name, plan.target_id) for name in plan.evict]
    evicted = [booking for booking in found if booking is not None]
    if evicted:
        actions: list[ZoneAction] = []
        for booking in evicted:
            if booking.order is None:
                actions.extend(order_unload(state, booking, 'evicted', now))
        return actions
    deployment = plan.deployment
    base = state.base_of(deployment)
    if base is not None:
        base_booking = table.find(base.name, plan.target_id)
        if base_booking is None:
            deployment = base
        elif base_booking.state is not ReplicaState.loaded:
            return []
    target = state.engine_statuses.by_target[plan.target_id].target
    action = order_load(state, deployment, target, now)
    return [] if action is None else [action]
