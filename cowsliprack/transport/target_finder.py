"""Chooses the target of a request, waiting for a place if necessary."""

import math
import random
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field, replace

import anyio

from cowsliprack.coordination.fleet_view import FleetView, is_isolated
from cowsliprack.coordination.freshness import Freshness
from cowsliprack.coordination.load_queue import (
    may_begin_waiting,
    seconds_until_usable,
)
from cowsliprack.coordination.load_spread import spread_seconds
from cowsliprack.coordination.place_queue import (
    PlaceQueue,
    Places,
    default_places,
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
from cowsliprack.state.routing_table import ModelSpec, RoutingTable
from cowsliprack.state.target_registry import TargetRecord
from cowsliprack.transport.admission_recheck import AdmissionRecheck
from cowsliprack.transport.place_turns import PlaceTurns, PlaceWait
from cowsliprack.transport.routed_request import RoutedRequest
from cowsliprack.transport.usable_targets import UsableTargets

# Interval at which a waiting request looks for a target without being notified,
# and its part for each waiting request: all of them together look at most 100
# times a second until 25 wait, and each four times a second from then on.
_RECHECK_SECONDS = 0.25
_RECHECK_SECONDS_PER_REQUEST = 0.01
_SHORT_RECHECK_SECONDS = 0.05
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


def _count_nothing(_decision: str) -> None:
    """Count no decisions; used without metrics."""


@dataclass(slots=True)
class TargetFinder:
    """Chooses targets and holds the requests that wait for a place.

    :param table: returns the active routing table.
    :param demand_changed: called when a request begins to wait.
    :param clock: seconds; must keep running during suspension.
    :param poison: crashes by request and prompt part.
    :param is_cut_off: returns whether no target of a service is reached.
    :param places: returns the requests of all instances that a target should
        run concurrently.
    :param instances: returns the number of instances that may send to the same
        targets.
    :param counts: counts decisions of the queue, by name.
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
    places: Places = default_places
    instances: Callable[[], int] = int
    counts: Callable[[str], None] = _count_nothing
    targets: UsableTargets = field(init=False)
    turns: PlaceTurns = field(init=False)
    recheck: AdmissionRecheck = field(init=False)

    def __post_init__(self) -> None:
        """Create an empty queue."""
        places = PlaceQueue(
            self.target_selector,
            lambda: self.fleet.updated_at,
            lambda: self.instances(),
            lambda record, now: self.places(record, now),
        )
        self.targets = UsableTargets(
            self.fleet,
            self.target_selector,
            self.poison,
            places,
            self._model_spec,
        )
        self.turns = PlaceTurns(
            places,
            self.fleet,
            self.targets.free,
            lambda request: self._pick(request, is_waiting=True),
            self._is_restricted,
            lambda: self.clock(),
            lambda decision: self.counts(decision),
        )
        self.recheck = AdmissionRecheck(
            self.fleet, self.freshness, self.table, self.poison, self.rng
        )
        self.waiting_requests.changed = self._look_again

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
        # A place is free for a new request only if nobody waits for it.
        if len(self.turns):
            self.recheck.check(request, now)
        else:
            target = self._pick(request, is_waiting=False)
            if target is not None:
                return target
        waiter = _waiter(request)
        with self.turns.joined(request, waiter) as wait:
            if wait.has_turn():
                return _result(wait)
            self._check_wait(request, wait, limited)
            with limits.waiting(limited), ExitStack() as registrations:
                target = await self._wait_for_turn(
                    request, wait, limited, registrations
                )
                if not limited and self.waiting_requests.is_registered(waiter):
                    await self._spread(request, waiter)
                return target

    def end_run(
        self, request: RoutedRequest, target: TargetRecord, now: float
    ) -> None:
        """Give the place of a request that has ended to one that waits.

        :param request: that was sent to the target.
        :param target: on which it has ended.
        :param now: seconds.
        """
        # Refusals and lost connections say nothing of how long requests run.
        has_run = request.first_byte_at > request.sent_at
        self.turns.end_run(target, now - request.sent_at if has_run else 0)

    def _check_wait(
        self, request: RoutedRequest, wait: PlaceWait, limited: list[str]
    ) -> None:
        """Reject a request that would wait in vain."""
        now = self.clock()
        seconds_left = wait.waiter.gives_up_at - now
        full = self.targets.awaited(request, now)
        if full:
            if not request.exchange.started:
                self.turns.check(wait, full, now)
        elif limited:
            self._check_queue(request, limited, seconds_left, now)
        elif not request.metadata.model:
            self._check_pauses(request, seconds_left, now)
        self._check_loadable(request, wait.waiter, now, has_waited=False)

    def _look_again(self) -> None:
        """Give away the places that a change has made free."""
        if not self.waiting_requests.closed:
            self.turns.assign_paced()
            return
        self.turns.assign()
        self.turns.end_waits(shutting_down)

    def _check_reached(self, request: RoutedRequest) -> None:
        may_pass_on = request.may_pass_on and not request.exchange.started
        if may_pass_on and self.is_cut_off(request.service):
            raise TargetsUnreachableError(request.service)

    def _limited_targets(self, request: RoutedRequest, now: float) -> list[str]:
        """Return the targets that could run a request and have a limit."""
        limits = self.target_selector.limits
        if not limits.has_any():
            return []
        allowed = self.targets.allowed(request, now)
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

    async def _wait_for_turn(
        self,
        request: RoutedRequest,
        wait: PlaceWait,
        limited: list[str],
        registrations: ExitStack,
    ) -> TargetRecord:
        waiter = wait.waiter
        shortest = _MIN_RECHECK_SECONDS if limited else 0
        is_registered = not request.metadata.model
        while True:
            now = self.clock()
            self._check_still_waits(request, wait, limited, now)
            if not is_registered and (
                limited or not self.targets.allowed(request, now)
            ):
                # The leader loads what requests wait for.
                is_registered = True
                registrations.enter_context(
                    self.waiting_requests.registered(waiter)
                )
                self.demand_changed()
            changed = waiter.changed
            left = waiter.gives_up_at - now
            with anyio.move_on_after(self._recheck_seconds(left, limited, now)):
                await changed.wait()
            if not wait.has_turn():
                self._recheck_turn(request, wait)
                self.turns.assign_paced(shortest)
            if wait.has_turn():
                return _result(wait)

    async def _spread(self, request: RoutedRequest, waiter: Waiter) -> None:
        """Delay a request that has waited for a load; its place is kept."""
        seconds = spread_seconds(
            waiter.target_at, waiter.gives_up_at, self.clock()
        )
        if seconds:
            await anyio.sleep(seconds * self.rng.random())
            self.recheck.check(request, self.clock())

    def _check_still_waits(
        self,
        request: RoutedRequest,
        wait: PlaceWait,
        limited: list[str],
        now: float,
    ) -> None:
        """Reject a request that has waited in vain."""
        if self.waiting_requests.closed:
            raise shutting_down()
        self._check_reached(request)
        seconds_left = wait.waiter.gives_up_at - now
        is_alone = is_isolated(self.fleet, self.freshness, now)
        is_plain = not (limited or request.metadata.model)
        if is_alone or is_plain or seconds_left <= 0:
            self._check_without_turn(request, wait, limited, now)
        self._check_loadable(request, wait.waiter, now, has_waited=True)

    def _check_without_turn(
        self,
        request: RoutedRequest,
        wait: PlaceWait,
        limited: list[str],
        now: float,
    ) -> None:
        full = self.targets.awaited(request, now)
        if not full and is_isolated(self.fleet, self.freshness, now):
            raise _isolated(self.rng)
        seconds_left = wait.waiter.gives_up_at - now
        if seconds_left <= 0:
            raise (
                self.turns.too_late(wait, full, now)
                if full
                else _not_in_time(limited, self.rng)
            )
        if not (full or limited or request.metadata.model):
            self._check_pauses(request, seconds_left, now)

    def _recheck_turn(self, request: RoutedRequest, wait: PlaceWait) -> None:
        """Check a waiting request again, and where it waits."""
        service = request.service
        self.recheck.check(request, self.clock())
        if request.service != service:
            self.turns.requeue(wait)

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
        paced = len(self.turns) * _RECHECK_SECONDS_PER_REQUEST
        paced = min(max(paced, _SHORT_RECHECK_SECONDS), _RECHECK_SECONDS)
        return max(min([left, paced, *turns]), _MIN_RECHECK_SECONDS)

    def _pick(
        self, request: RoutedRequest, *, is_waiting: bool
    ) -> TargetRecord | None:
        """Return a target, or ``None`` when the request must wait.

        :param is_waiting: whether it may go before requests that wait.
        :raises ServingError: the request is no longer admitted.
        """
        now = self.clock()
        self.recheck.check(request, now)
        usable = self.targets.usable(request, now, is_waiting=is_waiting)
        parts = request.metadata.prompt_parts
        prompt = parts[-1][0] if parts else ''
        free = self.turns.places.with_place(usable, now)
        selector = self.target_selector
        target = selector.choose(free, now, prompt)
        # A target that fails looks free; it is chosen only if the others are
        # full, and they are worth the wait.
        if target is not None and selector.is_avoided(target.target_id, now):
            target = (
                target if target in self.targets.healthy(usable, now) else None
            )
        if target is not None:
            selector.limits.take(target.target_id, now)
        return target

    def _is_restricted(self, request: RoutedRequest) -> bool:
        """Return whether targets are closed to a request but not to others."""
        if request.tried or request.ran_on:
            return True
        return self.poison.is_any_suspect(request.digests, self.clock())

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
        pauses = self.target_selector.pauses
        left = [
            pauses.seconds_left(record.target_id, now)
            for record in self.targets.allowed(request, now)
        ]
        return min(filter(None, left), default=0)


def _waiter(request: RoutedRequest) -> Waiter:
    gives_up_at = request.deadline
    if not request.exchange.started:
        gives_up_at = min(request.first_event_deadline, request.deadline)
    return Waiter(
        key=GroupKey(
            request.service,
            request.metadata.model,
            request.metadata.adapter,
            request.begun_version,
        ),
        since=request.arrived_at,
        target_at=request.target_at,
        gives_up_at=gives_up_at,
    )


def _result(wait: PlaceWait) -> TargetRecord:
    """Return the target of a request that has its turn, or raise its error."""
    if wait.target is None:
        raise wait.errors.pop()
    return wait.target


def _isolated(rng: random.Random) -> ServingError:
    return ServingError(
        ErrorKind.cold_start_unavailable,
        'the instance has no contact with its leader and the store',
        retry_after=rng.uniform(0.2, 0.6),
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
