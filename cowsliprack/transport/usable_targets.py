"""Targets that may run a request, as far as one instance knows."""

from collections.abc import Callable
from dataclasses import dataclass

from cowsliprack.coordination.fleet_view import FleetView
from cowsliprack.coordination.place_queue import PlaceQueue
from cowsliprack.coordination.poison import PoisonTracker
from cowsliprack.coordination.target_selector import TargetSelector
from cowsliprack.state.routing_table import ModelSpec
from cowsliprack.state.target_registry import TargetRecord
from cowsliprack.transport.routed_request import RoutedRequest


@dataclass(slots=True)
class UsableTargets:
    """Selects the targets that may run a request.

    :param poison: crashes by request and prompt part.
    :param places: tells which targets have a free place.
    :param model_spec: returns the model of a request, if it has one.
    """

    fleet: FleetView
    target_selector: TargetSelector
    poison: PoisonTracker
    places: PlaceQueue
    model_spec: Callable[[RoutedRequest], ModelSpec | None]

    def allowed(self, request: RoutedRequest, now: float) -> list[TargetRecord]:
        """Return the targets that hold what a request needs.

        :param request: admitted request.
        :param now: seconds.
        """
        metadata = request.metadata
        wanted = (request.service, metadata.model, metadata.adapter)
        found = self.fleet.candidates(*wanted, now)
        if not found and self._outwaited_disk(request, now):
            # Nobody else has loaded the model in the time that a disk takes.
            found = self.fleet.leaving_candidates(*wanted, now)
        return [
            record
            for record in found
            if request.may_send_to(record.target_id)
            and request.may_continue_at(record)
        ]

    def _outwaited_disk(self, request: RoutedRequest, now: float) -> bool:
        model = self.model_spec(request)
        if model is None:
            return False
        return now - request.arrived_at >= model.disk_seconds

    def free(self, request: RoutedRequest, now: float) -> list[TargetRecord]:
        """Return the targets with a free place for a request that waits.

        A target that fails looks free; it is left out as long as another one
        is worth the wait.

        :param request: admitted request.
        :param now: seconds.
        """
        usable = self.usable(request, now, is_waiting=True)
        free = self.places.with_place(usable, now)
        if not free:
            return free
        healthy = self.healthy(usable, now)
        return [record for record in free if record in healthy]

    def awaited(self, request: RoutedRequest, now: float) -> list[TargetRecord]:
        """Return the targets of which a request without a place awaits one.

        :param request: admitted request.
        :param now: seconds.
        """
        usable = self.usable(request, now, is_waiting=True)
        return self.healthy(usable, now)

    def healthy(
        self, records: list[TargetRecord], now: float
    ) -> list[TargetRecord]:
        """Return the targets that do not fail; all reachable ones if all do.

        :param records: targets.
        :param now: seconds.
        """
        selector = self.target_selector
        healthy = [
            record
            for record in records
            if not selector.is_avoided(record.target_id, now)
        ]
        return healthy or [
            record
            for record in records
            if not selector.is_unreachable(record.target_id, now)
        ]

    def usable(
        self, request: RoutedRequest, now: float, *, is_waiting: bool
    ) -> list[TargetRecord]:
        """Return the targets that may run a request if they have a place.

        :param request: admitted request.
        :param now: seconds.
        :param is_waiting: whether it may go before requests that wait.
        """
        pauses = self.target_selector.pauses
        allowed = [
            record
            for record in self.allowed(request, now)
            if self._has_turn(record.target_id, now, is_waiting=is_waiting)
            and not pauses.seconds_left(record.target_id, now)
        ]
        allowed = self._apart_from_suspects(request, allowed, now)
        untried = [
            record
            for record in allowed
            if record.target_id not in request.tried
        ]
        return untried or allowed

    def _has_turn(
        self, target_id: str, now: float, *, is_waiting: bool
    ) -> bool:
        limits = self.target_selector.limits
        if not limits.limited([target_id], now):
            return True
        if limits.waiting_by_id[target_id] > 0 and not is_waiting:
            return False
        return limits.seconds_until_free(target_id, now) <= 0

    def _apart_from_suspects(
        self,
        request: RoutedRequest,
        targets: list[TargetRecord],
        now: float,
    ) -> list[TargetRecord]:
        """Return the targets without a suspect, if the request is one itself.

        Suspects on the same target would all be counted at its next crash.
        """
        if not self.poison.is_any_suspect(request.digests, now):
            return targets
        avoided = self.poison.suspect_targets(now)
        apart = [
            record for record in targets if record.target_id not in avoided
        ]
        return apart or targets
