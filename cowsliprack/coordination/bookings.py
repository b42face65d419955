"""Reservations of memory and replicas on the targets of a zone."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from cowsliprack.protocol.target import Order, OrderKind
from cowsliprack.state.fleet import ReplicaState

NEVER = float('-inf')


@dataclass(slots=True)
class Booking:
    """Memory reserved for a deployment on a target.

    :param changed_at: when the state was last known to change, seconds.
    :param order: order without a known outcome yet; ``None`` if there is none.
    :param closed_at: when the connection of the order ended without an
        outcome; ``None`` while it is awaited.
    :param boot_id: first boot id reported after ``closed_at``; a different one
        later on means that the order can't take effect any more.
    :param repeated: the order was sent more than once.
    """

    deployment: str
    target_id: str
    state: ReplicaState
    memory: int
    changed_at: float
    ready_at: float = 0
    last_used: float = 0
    order: Order | None = None
    closed_at: float | None = None
    boot_id: str = ''
    repeated: bool = False

    def in_doubt(self) -> bool:
        """Return whether an order ended without a known outcome."""
        return self.closed_at is not None

    def is_loading(self) -> bool:
        """Return whether a load is or may be in progress."""
        if self.order is not None:
            return self.order.kind is OrderKind.load
        return self.state is ReplicaState.loading

    def is_unsettled(self) -> bool:
        """Return whether an order is open or a load is in progress."""
        return self.order is not None or self.is_loading()

    def close_order(self) -> None:
        """Clear the order, whose outcome is known."""
        self.order = None
        self.closed_at = None
        self.boot_id = ''
        self.repeated = False

    def mark_in_doubt(self, now: float) -> None:
        """Record that the order ended without a known outcome.

        :param now: seconds.
        """
        self.state = ReplicaState.in_doubt
        self.closed_at = now
        self.changed_at = now
        self.boot_id = ''

    def settled_before(self, moment: float) -> bool:
        """Return whether nothing has changed or been open since a moment.

        :param moment: seconds.
        """
        if self.order is None:
            return self.changed_at <= moment
        return self.closed_at is not None and self.closed_at <= moment


@dataclass(slots=True)
class TargetBookings:
    """Bookings of one target.

    :param unexplained: used memory without a booking, megabytes.
    :param taken_at: when the last report was generated, seconds.
    :param removed_at_by_deployment: when a booking was removed; an older
        report does not restore it.
    """

    by_deployment: dict[str, Booking] = field(default_factory=dict)
    unexplained: int = 0
    taken_at: float = NEVER
    removed_at_by_deployment: dict[str, float] = field(default_factory=dict)

    def memory_used(self) -> int:
        """Return the memory that is or may be in use, megabytes."""
        booked = sum(booking.memory for booking in self.by_deployment.values())
        return booked + self.unexplained


class BookingTable:
    """All bookings of a zone."""

    def __init__(self) -> None:
        """Start with no booking."""
        # Targets whose bookings changed since the last view.
        self.changed_targets: set[str] = set()
        self._targets_by_id: dict[str, TargetBookings] = {}
        # Targets that may have unsettled bookings.
        self._open_targets: set[str] = set()
        self._by_deployment: dict[str, dict[str, Booking]] = {}

    def on_target(self, target_id: str) -> TargetBookings:
        """Return the bookings of a target.

        :param target_id: id of the target.
        """
        return self._targets_by_id.setdefault(target_id, TargetBookings())

    def find(self, deployment: str, target_id: str) -> Booking | None:
        """Return the booking of a deployment on a target.

        :param deployment: name of the deployment.
        :param target_id: id of the target.
        """
        return self.on_target(target_id).by_deployment.get(deployment)

    def all_bookings(self) -> Iterator[Booking]:
        """Yield the bookings of all targets."""
        for bookings in self._targets_by_id.values():
            yield from tuple(bookings.by_deployment.values())

    def mark_changed(self, target_id: str) -> None:
        """Record that a booking of a target has changed.

        :param target_id: id of the target.
        """
        self.changed_targets.add(target_id)
        self._open_targets.add(target_id)

    def unsettled(self) -> list[Booking]:
        """Return the bookings with an open order or a load in progress."""
        found: list[Booking] = []
        for target_id in tuple(self._open_targets):
            bookings = self.on_target(target_id).by_deployment.values()
            unsettled = [
                booking for booking in bookings if booking.is_unsettled()
            ]
            found.extend(unsettled)
            if not unsettled:
                self._open_targets.discard(target_id)
        return found

    def of_deployment(self, deployment: str) -> list[Booking]:
        """Return the bookings of a deployment.

        :param deployment: name of the deployment.
        """
        return list(self._by_deployment.get(deployment, {}).values())

    def add(self, booking: Booking) -> None:
        """Insert a booking.

        :param booking: replaces one of the same deployment and target.
        """
        bookings = self.on_target(booking.target_id)
        bookings.by_deployment[booking.deployment] = booking
        by_target = self._by_deployment.setdefault(booking.deployment, {})
        by_target[booking.target_id] = booking
        self.mark_changed(booking.target_id)

    def remove(self, booking: Booking, now: float) -> None:
        """Remove a booking and free its memory.

        :param booking: booking of a deployment that the target has unloaded.
        :param now: seconds.
        """
        bookings = self.on_target(booking.target_id)
        bookings.by_deployment.pop(booking.deployment, None)
        bookings.removed_at_by_deployment[booking.deployment] = now
        self._drop(booking)

    def forget_target(self, target_id: str) -> None:
        """Remove a target that no longer runs and all its bookings.

        :param target_id: id of the target.
        """
        bookings = self._targets_by_id.pop(target_id, TargetBookings())
        for booking in bookings.by_deployment.values():
            self._drop(booking)

    def _drop(self, booking: Booking) -> None:
        by_target = self._by_deployment.get(booking.deployment, {})
        by_target.pop(booking.target_id, None)
        if not by_target:
            self._by_deployment.pop(booking.deployment, None)
        self.mark_changed(booking.target_id)
