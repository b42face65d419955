"""Tracks orders and their effects on the bookings of a zone.

A booking reserves memory and counts as a replica from before its order is sent
until the target has confirmed that the deployment is unloaded. Reports lag: a
report does not apply to a booking that changed after its figures were taken.
"""

from cowsliprack.coordination.bookings import (
    Booking,
    BookingTable,
    TargetBookings,
)
from cowsliprack.protocol.target import (
    Order,
    OrderKind,
    OrderOutcome,
    ReplicaReport,
    TargetReport,
)
from cowsliprack.state.fleet import ReplicaState


class OrderTracker:
    """Applies orders, their outcomes and reports to the bookings of a zone."""

    def __init__(self) -> None:
        """Start without bookings."""
        self.table = BookingTable()

    def reserve(self, order: Order, now: float, ready_at: float) -> None:
        """Reserve memory and a replica for an order before it is sent.

        :param order: load or unload.
        :param now: seconds.
        :param ready_at: estimated end, seconds.
        """
        booking = self.table.find(order.deployment, order.target_id)
        if booking is None:
            booking = Booking(
                order.deployment,
                order.target_id,
                ReplicaState.loading,
                order.memory,
                now,
                last_used=now,
            )
            self.table.add(booking)
        if order.kind is OrderKind.unload:
            booking.state = ReplicaState.unloading
        booking.changed_at = now
        booking.ready_at = ready_at
        booking.order = order
        self.table.mark_changed(order.target_id)

    def restore_intent(self, order: Order, now: float) -> None:
        """Reserve for an order that a predecessor may have sent.

        :param order: write-ahead intent from the journal.
        :param now: time after the predecessor's lease has ended.
        """
        self.reserve(order, now, now)
        booking = self.table.find(order.deployment, order.target_id)
        if booking is not None:
            booking.memory = max(booking.memory, order.memory)
            booking.mark_in_doubt(now)

    def resend(self, booking: Booking, now: float) -> Order | None:
        """Return the order of a booking in doubt, to be sent again.

        A target executes each order id at most once, so the answer settles
        whether the first copy arrived.

        :param booking: a booking in doubt.
        :param now: seconds.
        """
        booking.closed_at = None
        booking.repeated = True
        booking.changed_at = now
        return booking.order

    def apply_outcome(
        self,
        order: Order,
        outcome: OrderOutcome,
        now: float,
    ) -> Booking | None:
        """Apply the outcome of an order.

        :param order: as given to ``reserve`` or returned by ``resend``.
        :param outcome: answer of the target.
        :param now: seconds.
        :returns: the booking, unless it was settled before.
        """
        booking = self.table.find(order.deployment, order.target_id)
        if booking is None or booking.order != order:
            return None
        self.table.mark_changed(order.target_id)
        if outcome is OrderOutcome.done:
            self._settle(booking, now, loaded=order.kind is OrderKind.load)
        elif outcome is OrderOutcome.unknown or booking.repeated:
            # Refusing a resent order does not exclude that the first copy ran.
            booking.mark_in_doubt(now)
        else:
            self._settle(booking, now, loaded=order.kind is OrderKind.unload)
        return booking

    def apply_report(self, report: TargetReport, taken_at: float) -> None:
        """Reconcile the bookings on a target with its report.

        :param report: report of the target.
        :param taken_at: time at which the report was requested, less its age;
            its figures are not older than this.
        """
        bookings = self.table.on_target(report.target_id)
        if taken_at < bookings.taken_at:
            return
        bookings.taken_at = taken_at
        replicas_by_deployment = {
            replica.deployment: replica for replica in report.replicas
        }
        for booking in tuple(bookings.by_deployment.values()):
            replica = replicas_by_deployment.get(booking.deployment)
            self._reconcile(booking, replica, report, taken_at)
        reported_memory = 0
        for reported in report.replicas:
            reported_memory += reported.memory
            self._add_reported_replica(bookings, reported, report, taken_at)
        bookings.unexplained = max(0, report.memory_used - reported_memory)

    def apply_connection_refused(self, target_id: str, asked_at: float) -> None:
        """Release the bookings of a target that refused a connection.

        A refused connection shows that no process runs there.

        :param target_id: id of the target.
        :param asked_at: time before the connection was tried.
        """
        bookings = self.table.on_target(target_id)
        if asked_at < bookings.taken_at:
            return
        bookings.taken_at = asked_at
        bookings.unexplained = 0
        for booking in tuple(bookings.by_deployment.values()):
            if booking.settled_before(asked_at):
                self.table.remove(booking, asked_at)

    def _add_reported_replica(
        self,
        bookings: TargetBookings,
        replica: ReplicaReport,
        report: TargetReport,
        taken_at: float,
    ) -> None:
        name = replica.deployment
        removed_at = bookings.removed_at_by_deployment.get(name)
        is_older = removed_at is not None and taken_at < removed_at
        if name in bookings.by_deployment or is_older:
            return
        booking = Booking(
            name,
            report.target_id,
            _reported_state(replica),
            replica.memory,
            taken_at,
            last_used=taken_at + report.age,
        )
        self.table.add(booking)

    def _reconcile(
        self,
        booking: Booking,
        replica: ReplicaReport | None,
        report: TargetReport,
        taken_at: float,
    ) -> None:
        order = booking.order
        if order is not None and order.order_id in report.done_orders:
            loaded = order.kind is OrderKind.load
            self._settle(booking, taken_at, loaded=loaded)
        elif not booking.settled_before(taken_at):
            return
        elif order is None or _is_settled_by(booking, order, replica, report):
            self._apply_reported_state(booking, replica, taken_at)

    def _apply_reported_state(
        self,
        booking: Booking,
        replica: ReplicaReport | None,
        taken_at: float,
    ) -> None:
        if replica is None:
            self.table.remove(booking, taken_at)
            return
        state = _reported_state(replica)
        if booking.state is not state:
            self.table.mark_changed(booking.target_id)
        booking.state = state
        booking.memory = max(booking.memory, replica.memory)
        booking.close_order()

    def _settle(self, booking: Booking, now: float, *, loaded: bool) -> None:
        if not loaded:
            self.table.remove(booking, now)
            return
        booking.state = ReplicaState.loaded
        booking.changed_at = now
        booking.close_order()
        self.table.mark_changed(booking.target_id)


def _is_settled_by(
    booking: Booking,
    order: Order,
    replica: ReplicaReport | None,
    report: TargetReport,
) -> bool:
    """Return whether a report settles an order in doubt.

    It does when the order has taken effect, or when the process that may have
    received it has ended, because its connections end with it.
    """
    if booking.boot_id and booking.boot_id != report.boot_id:
        return True
    booking.boot_id = report.boot_id
    present = replica is not None
    return present == (order.kind is OrderKind.load)


def _reported_state(replica: ReplicaReport) -> ReplicaState:
    # An unknown state counts as loaded, because the replica uses memory.
    if replica.state == ReplicaState.loading:
        return ReplicaState.loading
    if replica.state == ReplicaState.unloading:
        return ReplicaState.unloading
    return ReplicaState.loaded
