"""Creates and sends the orders of planned loads and unloads."""

from cowsliprack.coordination.bookings import Booking
from cowsliprack.coordination.zone_actions import (
    LogDecision,
    SendOrder,
    WriteIntent,
    ZoneAction,
)
from cowsliprack.coordination.zone_state import ZoneState
from cowsliprack.protocol.target import Order, OrderKind
from cowsliprack.state.configuration import Deployment, Target

# Instances are notified this long before a replica is unloaded.
_UNLOAD_DELAY_SECONDS = 0.5
_RESEND_SECONDS = 2.0


def _gate_key(deployment: str, target_id: str) -> str:
    """Return the key under which a load holds its slot of the gate.

    :param deployment: name of the deployment.
    :param target_id: id of the target.
    """
    return f'{deployment}@{target_id}'


def order_load(
    state: ZoneState,
    deployment: Deployment,
    target: Target,
    now: float,
) -> ZoneAction | None:
    """Reserve for a load and order it; ``None`` when it must wait.

    Allowance, memory and gate are checked immediately before the reservation,
    because they may have changed since the load was planned.

    :param state: state of this term.
    :param deployment: deployment to load.
    :param target: target that loads it.
    :param now: seconds.
    """
    engine_status = state.engine_statuses.by_target[target.target_id]
    is_exhausted = state.occupied(deployment) >= state.allowances.allowed(
        deployment,
    )
    if is_exhausted or state.free_memory(engine_status) < deployment.memory:
        return None
    may_start = state.gate.try_start(
        _gate_key(deployment.name, target.target_id),
        adapter=deployment.adapter is not None,
        load_seconds=deployment.load_seconds,
        now=now,
    )
    if not may_start:
        return None
    order = state.new_order(OrderKind.load, target.target_id, deployment)
    state.orders.reserve(order, now, now + deployment.load_seconds)
    if target.checks_fencing:
        return SendOrder(order, target.url, checks_fencing=True)
    state.awaiting_intent[order.order_id] = order
    return WriteIntent(order)


def order_unload(
    state: ZoneState,
    booking: Booking,
    reason: str,
    now: float,
) -> list[ZoneAction]:
    """Mark a replica as unloading and schedule the order.

    Unloads need no write-ahead intent: a late one only removes a replica.

    :param state: state of this term.
    :param booking: a loaded replica.
    :param reason: reason to log.
    :param now: seconds.
    """
    order = state.new_order(
        OrderKind.unload,
        booking.target_id,
        name=booking.deployment,
    )
    state.orders.reserve(order, now, now)
    state.delayed_orders.append((now + _UNLOAD_DELAY_SECONDS, order))
    inputs = {
        'target': booking.target_id,
        'idle_for': round(now - state.last_used(booking), 1),
    }
    return [LogDecision('unload', booking.deployment, reason, inputs)]


def send_delayed(state: ZoneState, now: float) -> list[ZoneAction]:
    """Return the unloads whose delay has passed.

    :param state: state of this term.
    :param now: seconds.
    """
    due = [order for due_at, order in state.delayed_orders if due_at <= now]
    state.delayed_orders = [
        (due_at, order)
        for due_at, order in state.delayed_orders
        if due_at > now
    ]
    return [send_now(state, order) for order in due]


def send_now(state: ZoneState, order: Order) -> SendOrder:
    """Return the action that sends an order.

    :param state: state of this term.
    :param order: order whose booking is reserved.
    """
    target = state.engine_statuses.by_target[order.target_id].target
    return SendOrder(order, target.url, target.checks_fencing)


def send_fences(state: ZoneState, now: float) -> list[ZoneAction]:
    """Return fence orders for the targets that need one.

    A degraded leader sends none: a target that has restarted may belong to a
    successor.

    :param state: state of this term.
    :param now: seconds.
    """
    if state.degraded:
        return []
    actions: list[ZoneAction] = []
    for target in state.engine_statuses.due_fences(now):
        order = state.new_order(OrderKind.fence, target.target_id)
        actions.append(SendOrder(order, target.url, checks_fencing=True))
    return actions


def resend_in_doubt(state: ZoneState, now: float) -> list[ZoneAction]:
    """Resend orders in doubt; the answers settle them.

    :param state: state of this term.
    :param now: seconds.
    """
    actions: list[ZoneAction] = []
    for booking in state.orders.table.unsettled():
        if not _may_resend(state, booking, now):
            continue
        order = state.orders.resend(booking, now)
        if order is not None:
            actions.append(send_now(state, order))
    return actions


def sync_gate(state: ZoneState, now: float) -> None:
    """Hold a gate slot for each load that may run and release the others.

    :param state: state of this term.
    :param now: seconds.
    """
    held: set[str] = set()
    for booking in state.orders.table.unsettled():
        if booking.is_loading():
            key = _gate_key(booking.deployment, booking.target_id)
            held.add(key)
            deployment = state.configuration.deployments_by_name.get(
                booking.deployment,
            )
            adapter = deployment is not None and bool(deployment.adapter)
            state.gate.hold(key, adapter=adapter, now=now)
    for target_id in state.engine_statuses.all_unverified():
        held.add(target_id)
        state.gate.hold(target_id, adapter=False, now=now)
    state.gate.retain(held)


def _may_resend(state: ZoneState, booking: Booking, now: float) -> bool:
    if booking.closed_at is None or booking.order is None:
        return False
    engine_status = state.engine_statuses.by_target.get(booking.target_id)
    if engine_status is None or not engine_status.takes_orders(now):
        return False
    fencing = engine_status.target.checks_fencing or state.has_journal(now)
    return fencing and now - booking.closed_at >= _RESEND_SECONDS
