"""Chooses the target of a request, waiting for a model if necessary."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import anyio

from cowsliprack.coordination.fleet_view import FleetView, is_isolated
from cowsliprack.coordination.freshness import Freshness
from cowsliprack.coordination.load_queue import (
    may_begin_waiting,
    seconds_until_usable,
)
from cowsliprack.coordination.poison import PoisonTracker
from cowsliprack.coordination.stated_times import StatedTimes
from cowsliprack.coordination.target_selector import TargetSelector
from cowsliprack.coordination.waiting_requests import (
    GroupKey,
    Waiter,
    WaitingRequests,
)
from cowsliprack.exceptions import (
    ErrorKind,
    ServingError,
    TargetsUnreachableError,
)
from cowsliprack.state.routing_table import ModelSpec, Route, RoutingTable
from cowsliprack.state.target_registry import TargetRecord
from cowsliprack.transport.routed_request import RoutedRequest

# Interval at which a waiting request looks for a target without being notified.
_RECHECK_SECONDS = 0.25
# Shortest pause of a request that waits for its turn at a target with a limit.
_MIN_RECHECK_SECONDS = 0.01
# Longest Retry-After for a model whose load has not begun, since the order of
# loads may change.
_MAX_LOAD_RETRY_SECONDS = 60.0
# Time until the leader has planned a load for a request and its end is known.
_PLAN_SECONDS = 0.2
# Longest Retry-After for targets at their limit; a limit may end at any time.
_MAX_LIMIT_RETRY_SECONDS = 10.0
# Retry-After for requests that a stopping instance rejects.
_STOP_RETRY_SECONDS = 0.1


def _is_never_cut_off(_service: str) -> bool:
    return False


@dataclass(slots=True)
class TargetFinder:
    """Chooses targets and holds the requests that wait for a model.

    :param table: returns the active routing table.
    :param demand_changed: called when a request begins to wait.
    :param clock: seconds; must keep running during suspension.
    :param poison: crashes by request and prompt part.
    :param is_cut_off: returns whether no target of a service is reached.
    """

    fleet: FleetView
    target_selector: TargetSelector
    waiting_requests: WaitingRequests
    freshness: Freshness
    table: Callable[[], RoutingTable]
    demand_changed: Callable[[], None]
    clock: Callable[[], float]
    poison: PoisonTracker = field(default_factory=PoisonTracker)
    rng: random.Random = field(default_factory=random.Random)
    is_cut_off: Callable[[str], bool] = _is_never_cut_off
    stated_times: StatedTimes = field(default_factory=StatedTimes)

    async def find(self, request: RoutedRequest) -> TargetRecord:
        """Return the target for a request, waiting for its turn if needed.

        :param request: admitted request.
        :raises ServingError: no target became available in time, or the
            request is no longer admitted.
        :raises TargetsUnreachableError: another instance should serve it.
        """
        self._check_reached(request)
        now = self.clock()
        seconds_left = request.metadata.seconds_left
        if not request.sends:
            self.stated_times.add(request.route.name, seconds_left, now)
            request.has_come_back = self.stated_times.has_come_back(
                request.route.name, seconds_left
            )
        limits = self.target_selector.limits
        limited = self._limited_targets(request, now)
        limits.want(limited, now)
        target = self._pick(request, is_waiting=False)
        if target is not None:
            return target
        metadata = request.metadata
        gives_up_at = request.deadline
        if not request.exchange.started:
            gives_up_at = min(request.first_event_deadline, request.deadline)
        if not metadata.model and not limited:
            self._check_pauses(request, gives_up_at - now, now)
        if limited:
            self._check_queue(request, limited, gives_up_at - now, now)
        waiter = Waiter(
            key=GroupKey(
                request.service,
                metadata.model,
                metadata.adapter,
                request.begun_version,
            ),
            since=request.arrived_at,
            target_at=request.target_at,
            gives_up_at=gives_up_at,
        )
        self._check_loadable(request, waiter, now, has_waited=False)
        with limits.waiting(limited):
            if not metadata.model:
                return await self._wait_for_target(request, waiter, limited)
            with self.waiting_requests.registered(waiter):
                self.demand_changed()
                return await self._wait_for_target(request, waiter, limited)

    def _check_reached(self, request: RoutedRequest) -> None:
        may_pass_on = request.may_pass_on and not request.exchange.started
        if may_pass_on and self.is_cut_off(request.service):
            raise TargetsUnreachableError(request.service)

    def _limited_targets(self, request: RoutedRequest, now: float) -> list[str]:
        """Return the targets that could run a request and have a limit."""
        limits = self.target_selector.limits
        if not limits.has_any():
            return []
        allowed = self._allowed_targets(request, now)
        return limits.limited((record.target_id for record in allowed), now)

    def _check_queue(
        self,
        request: RoutedRequest,
        limited: list[str],
        seconds_left: float,
        now: float,
    ) -> None:
        """Reject a request whose turn comes too late at targets with limits.

        A request waits all the same if another engine can load its model in
        time: the leader loads what requests wait for.
        """
        limits = self.target_selector.limits
        seconds = limits.seconds_of_queue(limited, now)
        load_seconds = self._seconds_of_other_load(request, now)
        if min(seconds, load_seconds) > seconds_left:
            raise ServingError(
                ErrorKind.queue_full,
                'the targets are at the limit that they named',
                retry_after=min(seconds, _MAX_LIMIT_RETRY_SECONDS)
                * self.rng.uniform(1, 1.3),
            )

    def _seconds_of_other_load(
        self, request: RoutedRequest, now: float
    ) -> float:
        """Return how long a load on an engine without a limit takes.

        :returns: ``inf`` if there is no such engine.
        """
        metadata = request.metadata
        service = self.table().services_by_name.get(request.service)
        if not metadata.model or service is None or service.engine is None:
            return math.inf
        model = service.engine.models_by_name.get(metadata.model)
        limits = self.target_selector.limits
        others = [
            record
            for record in self.fleet.registry.ready_targets(request.service)
            if not limits.limited([record.target_id], now)
        ]
        if model is None or not others:
            return math.inf
        holders = self.fleet.candidates(
            request.service, metadata.model, '', now
        )
        if any(record in others for record in holders):
            return _PLAN_SECONDS
        return model.disk_seconds + _PLAN_SECONDS

    def _check_loadable(
        self,
        request: RoutedRequest,
        waiter: Waiter,
        now: float,
        *,
        has_waited: bool,
    ) -> None:
        """Reject a request whose model lies on no engine and comes too late.

        A load that has not begun has to wait for its turn, since the weight
        store serves few loads at a time.

        :param has_waited: whether it waits for the load already. The load may
            then end just in time.
        """
        wanted = (request.service, request.metadata.model)
        cold_seconds = self._cold_seconds(request)
        loaded_in = self.fleet.seconds_until_loaded(*wanted, now)
        seconds = seconds_until_usable(
            loaded_in,
            self.fleet.loads_due.seconds_until_due(*wanted, now),
            cold_seconds,
        )
        left = waiter.gives_up_at - now
        if seconds <= left and (
            has_waited
            or may_begin_waiting(loaded_in, seconds, cold_seconds, left)
        ):
            return
        # The leader plans the load for callers that are expected to come back,
        # and first for models with callers that have not done so yet.
        returns_in = cold_seconds if math.isinf(loaded_in) else loaded_in
        has_come_back = self.stated_times.has_come_back(
            request.route.name, request.metadata.seconds_left
        )
        self.waiting_requests.expect_return(
            replace(
                waiter,
                gives_up_at=now + returns_in,
                may_return=not has_come_back,
            )
        )
        self.demand_changed()
        raise ServingError(
            ErrorKind.cold_start_unavailable,
            'the model lies on no engine and is not loaded in time',
            retry_after=min(seconds, _MAX_LOAD_RETRY_SECONDS),
        )

    def _cold_seconds(self, request: RoutedRequest) -> float:
        model = self._model_spec(request)
        return model.cold_seconds if model else 0

    def _model_spec(self, request: RoutedRequest) -> ModelSpec | None:
        service = self.table().services_by_name.get(request.service)
        if service is None or service.engine is None:
            return None
        return service.engine.models_by_name.get(request.metadata.model)

    async def _wait_for_target(
        self,
        request: RoutedRequest,
        waiter: Waiter,
        limited: list[str],
    ) -> TargetRecord:
        while True:
            if self.waiting_requests.closed:
                raise shutting_down()
            self._check_reached(request)
            now = self.clock()
            if is_isolated(self.fleet, self.freshness, now):
                raise ServingError(
                    ErrorKind.cold_start_unavailable,
                    'the instance has no contact with its leader and the store',
                    retry_after=self.rng.uniform(0.2, 0.6),
                )
            left = waiter.gives_up_at - now
            if left <= 0:
                raise _not_in_time(limited, self.rng)
            self._check_loadable(request, waiter, now, has_waited=True)
            changed = waiter.changed
            with anyio.move_on_after(self._recheck_seconds(left, limited, now)):
                await changed.wait()
            target = self._pick(request, is_waiting=True)
            if target is not None:
                return target

    def _recheck_seconds(
        self,
        left: float,
        limited: list[str],
        now: float,
    ) -> float:
        limits = self.target_selector.limits
        turns = [
            limits.seconds_until_free(target_id, now) for target_id in limited
        ]
        return max(min([left, _RECHECK_SECONDS, *turns]), _MIN_RECHECK_SECONDS)

    def _allowed_targets(
        self, request: RoutedRequest, now: float
    ) -> list[TargetRecord]:
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
        model = self._model_spec(request)
        if model is None:
            return False
        return now - request.arrived_at >= model.disk_seconds

    def _pick(
        self, request: RoutedRequest, *, is_waiting: bool
    ) -> TargetRecord | None:
        """Return a target, or ``None`` when the request must wait.

        :param is_waiting: whether it may go before requests that wait.
        :raises ServingError: the request is no longer admitted.
        """
        now = self.clock()
        self._recheck_admission(request, now)
        allowed = [
            record
            for record in self._allowed_targets(request, now)
            if self._has_turn(record.target_id, now, is_waiting=is_waiting)
            and self._has_room(record, now)
        ]
        allowed = self._apart_from_suspects(request, allowed, now)
        untried = [
            record
            for record in allowed
            if record.target_id not in request.tried
        ]
        parts = request.metadata.prompt_parts
        prompt = parts[-1][0] if parts else ''
        target = self.target_selector.choose(untried or allowed, now, prompt)
        if target is not None:
            self.target_selector.limits.take(target.target_id, now)
        return target

    def _has_room(self, record: TargetRecord, now: float) -> bool:
        selector = self.target_selector
        target_id = record.target_id
        running = selector.running(target_id)
        return selector.pauses.may_send(
            record, running, now
        ) and selector.paces.may_send(
            target_id, selector.own_by_id[target_id], now
        )

    def _check_pauses(
        self, request: RoutedRequest, seconds_left: float, now: float
    ) -> None:
        """Reject a request for which no target will be usable in time."""
        paused = self._seconds_paused(request, now)
        if not paused:
            raise ServingError(
                ErrorKind.no_target,
                'no target of the service is ready',
                retry_after=1,
            )
        if paused > seconds_left:
            raise ServingError(
                ErrorKind.queue_full,
                'the targets want no requests for now',
                retry_after=paused * self.rng.uniform(1, 1.3),
            )

    def _seconds_paused(self, request: RoutedRequest, now: float) -> float:
        """Return when the first target that wants no requests takes one.

        :returns: 0 if there is no such target.
        """
        selector = self.target_selector
        left = [
            selector.pauses.seconds_left(target_id, now)
            or selector.paces.seconds_until_growth(target_id, now)
            for record in self._allowed_targets(request, now)
            if (target_id := record.target_id)
        ]
        return min(filter(None, left), default=0)

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

    def _recheck_admission(self, request: RoutedRequest, now: float) -> None:
        """Check key and route again; they may have changed during the wait."""
        table = self.table()
        if request.organisation is not None:
            self._recheck_key(request, table, now)
        route = table.find_route(request.host, request.path)
        if route is None:
            raise ServingError(
                ErrorKind.unknown_route,
                'the route has been removed',
            )
        services = {name for name, _ in route.services}
        if request.service not in services and not request.sends:
            self._leave_service(request, route)
        if not self._is_version_running(request):
            raise ServingError(
                ErrorKind.version_unavailable,
                'no target runs the software version that began the stream',
                retry_after=self.rng.uniform(1, 2),
            )
        seconds_refused = self.poison.seconds_refused(request.digests, now)
        if seconds_refused:
            raise ServingError(
                ErrorKind.quarantined,
                'targets crashed on the request or on a part of its prompt',
                retry_after=seconds_refused,
            )

    def _leave_service(self, request: RoutedRequest, route: Route) -> None:
        """Choose another service for a request whose route has moved."""
        if request.begun_version:
            raise ServingError(
                ErrorKind.version_unavailable,
                'the route no longer leads to the service of the stream',
                retry_after=self.rng.uniform(1, 2),
            )
        request.service = pick_service(route.services, self.rng)

    def _is_version_running(self, request: RoutedRequest) -> bool:
        if not request.begun_version:
            return True
        ready = self.fleet.registry.ready_targets(request.service)
        return any(request.may_continue_at(record) for record in ready)

    def _recheck_key(
        self,
        request: RoutedRequest,
        table: RoutingTable,
        now: float,
    ) -> None:
        known = table.organisations_by_key.get(request.metadata.key)
        if known is None or known.name != request.organisation_name():
            raise ServingError(
                ErrorKind.key_unknown,
                'the key has been withdrawn',
            )
        if not self.freshness.is_fresh(now) and not request.exchange.started:
            raise ServingError(
                ErrorKind.configuration_stale,
                'cannot check the key: the configuration is stale',
                retry_after=1,
            )


def _not_in_time(limited: list[str], rng: random.Random) -> ServingError:
    """Return the error for a request that has waited until its deadline."""
    if limited:
        return ServingError(
            ErrorKind.queue_full,
            'the targets were at the limit that they named',
            retry_after=rng.uniform(0.5, 1.5),
        )
    return ServingError(
        ErrorKind.cold_start_unavailable,
        'the model was not loaded in time',
        retry_after=rng.uniform(0.5, 1.5),
    )


def shutting_down() -> ServingError:
    """Return the error for a request that a stopping instance did not run."""
    # Other instances can serve the request as soon as it is retried.
    return ServingError(
        ErrorKind.shutting_down,
        'the instance is shutting down',
        retry_after=_STOP_RETRY_SECONDS,
    )


def pick_service(
    services: tuple[tuple[str, float], ...],
    rng: random.Random,
) -> str:
    """Choose one of a route's services at random, weighted by share.

    :param services: names and shares.
    :param rng: random number generator.
    """
    if len(services) == 1:
        return services[0][0]
    names = [name for name, _ in services]
    return rng.choices(names, [share for _, share in services])[0]
