"""Orders, and what is known of their effect.

A booking takes memory and counts as a replica from before its order is sent
until the target has confirmed that the deployment is gone. Reports lag: one
says nothing of a booking that changed after its figures were taken.
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


class OrderBook:
    """Orders of one zone's leader and the bookings that they change."""

    def __init__(self) -> None:
        """Start with no booking."""
        self.table = BookingTable()

    def begin(self, order: Order, now: float, ready_at: float) -> None:
        """Reserve for an order before it is sent.

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

    def adopt(self, order: Order, now: float) -> None:
        """Count an order that a predecessor may have sent.

        :param order: write-ahead intent from the journal.
        :param now: time after the predecessor's lease has ended.
        """
        self.begin(order, now, now)
        booking = self.table.find(order.deployment, order.target_id)
        if booking is not None:
            booking.memory = max(booking.memory, order.memory)
            booking.mark_in_doubt(now)

    def repeat(self, booking: Booking, now: float) -> Order | None:
        """Return the order of a booking in doubt to send it again.

        A target carries out an order id once, so that the answer settles
        whether the first copy arrived.

        :param booking: a booking in doubt.
        :param now: seconds.
        """
        booking.closed_at = None
        booking.repeated = True
        booking.changed_at = now
        return booking.order

    def finish(
        self,
        order: Order,
        outcome: OrderOutcome,
        now: float,
    ) -> Booking | None:
        """Take the outcome of an order.

        :param order: as given to ``begin`` or returned by ``repeat``.
        :param outcome: the target's answer.
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
            # A refusal of a later copy says nothing of the first one.
            booking.mark_in_doubt(now)
        else:
            self._settle(booking, now, loaded=order.kind is OrderKind.unload)
        return booking

    def apply_report(self, report: TargetReport, taken_at: float) -> None:
        """Correct the bookings on a target by its report.

        :param report: the target's report.
        :param taken_at: time at which the report was asked for, less its age;
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
            self._correct(booking, replica, report, taken_at)
        explained = 0
        for reported in report.replicas:
            explained += reported.memory
            self._adopt_replica(bookings, reported, report, taken_at)
        bookings.unexplained = max(0, report.memory_used - explained)

    def apply_absence(self, target_id: str, asked_at: float) -> None:
        """Note that a target refused the connection and so runs no process.

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

    def _adopt_replica(
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
            _state_of(replica),
            replica.memory,
            taken_at,
            last_used=taken_at + report.age,
        )
        self.table.add(booking)

    def _correct(
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
        elif order is None or _is_decided(booking, order, replica, report):
            self._follow(booking, replica, taken_at)

    def _follow(
        self,
        booking: Booking,
        replica: ReplicaReport | None,
        taken_at: float,
    ) -> None:
        if replica is None:
            self.table.remove(booking, taken_at)
            return
        state = _state_of(replica)
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


def _is_decided(
    booking: Booking,
    order: Order,
    replica: ReplicaReport | None,
    report: TargetReport,
) -> bool:
    """Return whether a report settles an order in doubt.

    It does when the order has taken effect, or when the process that may have
    received it has ended: a connection does not outlive its process.
    """
    if booking.boot_id and booking.boot_id != report.boot_id:
        return True
    booking.boot_id = report.boot_id
    present = replica is not None
    return present == (order.kind is OrderKind.load)


def _state_of(replica: ReplicaReport) -> ReplicaState:
    # Any other word counts as loaded, because the replica takes memory.
    if replica.state == ReplicaState.loading:
        return ReplicaState.loading
    if replica.state == ReplicaState.unloading:
        return ReplicaState.unloading
    return ReplicaState.loaded
