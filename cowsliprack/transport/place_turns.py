"""Requests of an instance that wait for a place, and their turns."""

import itertools
import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from cowsliprack.coordination.fair_queue import QueuedRequest
from cowsliprack.coordination.fleet_view import FleetView
from cowsliprack.coordination.place_queue import ExpectedTurn, PlaceQueue
from cowsliprack.coordination.waiting_requests import Waiter
from cowsliprack.exceptions import ErrorKind, ServingError
from cowsliprack.logs import log_decision
from cowsliprack.state.target_registry import TargetRecord
from cowsliprack.transport.routed_request import RoutedRequest

# Tokens of a request that states none: one round of the queue, so that each
# organisation gets the same number of turns.
_DEFAULT_TOKENS = 500
# Time between two looks at the whole queue for each waiting request, and its
# upper bound: what waits for long looks takes the same share of a processor
# however many requests wait.
_LOOK_SECONDS_PER_REQUEST = 0.001
_MAX_LOOK_SECONDS = 0.05
_MS = 1000
# Separates the fields in the name of a sub-queue.
_SEPARATOR = '\n'

Options = Callable[[RoutedRequest, float], list[TargetRecord]]
Pick = Callable[[RoutedRequest], TargetRecord | None]


@dataclass(slots=True, eq=False)
class PlaceWait:
    """One request that waits, and its result once it has its turn.

    :param target: with a reserved place.
    :param errors: why the request may not be sent any more; whoever raises one
        removes it, since an error that its own traceback refers to is kept
        until the next garbage collection.
    :param expected: when its turn was expected as it began to wait.
    """

    request: RoutedRequest
    waiter: Waiter
    entry: QueuedRequest
    target: TargetRecord | None = None
    errors: list[ServingError] = field(default_factory=list)
    expected: ExpectedTurn | None = None

    def has_turn(self) -> bool:
        """Return whether it waits no longer."""
        return self.target is not None or bool(self.errors)


@dataclass(slots=True)
class PlaceTurns:
    """Gives free places to the requests that wait for them.

    :param options: returns the targets with a free place for a request.
    :param pick: chooses one of them, and checks the request again.
    :param is_restricted: whether targets that others may use are closed to a
        request.
    :param counts: counts decisions, by name.
    """

    places: PlaceQueue
    fleet: FleetView
    options: Options
    pick: Pick
    is_restricted: Callable[[RoutedRequest], bool]
    clock: Callable[[], float]
    counts: Callable[[str], None]
    waits_by_id: dict[str, PlaceWait] = field(default_factory=dict)
    _numbers: Iterator[int] = field(default_factory=itertools.count)
    _looked_at: float = float('-inf')

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self.places.queue)

    @contextmanager
    def joined(
        self, request: RoutedRequest, waiter: Waiter
    ) -> Iterator[PlaceWait]:
        """Queue a request for the duration of the context.

        It may have its turn at once. Its reservation ends with the context, so
        that it must be sent without delay.

        :param request: admitted request.
        :param waiter: what it waits for.
        :raises ServingError: ``queue_full``.
        """
        wait = PlaceWait(request, waiter, self._entry(request, waiter))
        is_taken = False
        try:
            self._join(wait)
            yield wait
            is_taken = True
        finally:
            self._leave(wait, is_taken=is_taken)

    def assign(self) -> None:
        """Give all free places to the requests that wait for them."""
        now = self.clock()
        self._looked_at = now
        self._assign(now, '')

    def assign_paced(self, shortest: float = 0) -> None:
        """Give away all free places unless that has just been done.

        :param shortest: shortest time between two looks, seconds.
        """
        paced = min(len(self) * _LOOK_SECONDS_PER_REQUEST, _MAX_LOOK_SECONDS)
        if self.clock() - self._looked_at >= max(paced, shortest):
            self.assign()

    def end_run(self, record: TargetRecord, run_seconds: float) -> None:
        """Give away the place of a request that has ended.

        :param record: its target.
        :param run_seconds: time since it was sent; 0 if the target did not run
            it.
        """
        if run_seconds:
            self.places.record_run(record.service, run_seconds)
        if len(self):
            self._assign(self.clock(), record.target_id)

    def requeue(self, wait: PlaceWait) -> None:
        """Queue a request for another service, to which its route has moved.

        :param wait: the request.
        """
        self.waits_by_id.pop(wait.entry.request_id, None)
        self.places.queue.remove(wait.entry.request_id)
        wait.entry = self._entry(wait.request, wait.waiter)
        try:
            self.places.queue.push(wait.entry)
        except ServingError as error:
            wait.errors.append(error)
            wait.waiter.changed.set()
        self.waits_by_id[wait.entry.request_id] = wait

    def end_waits(self, error: Callable[[], ServingError]) -> None:
        """Reject all requests that wait.

        :param error: returns the reason.
        """
        for wait in list(self.waits_by_id.values()):
            if not wait.has_turn():
                self.places.queue.remove(wait.entry.request_id)
                wait.errors.append(error())
                wait.waiter.changed.set()

    def expect(
        self, wait: PlaceWait, full: list[TargetRecord], now: float
    ) -> ExpectedTurn:
        """Return when a request is expected to get a place.

        :param wait: the request.
        :param full: targets without a free place that can run it.
        :param now: seconds.
        """
        full_ids = [record.target_id for record in full]
        return self.places.expect(
            wait.entry,
            full,
            lambda deployment: self.may_run(full_ids, deployment, now),
            now,
        )

    def check(
        self, wait: PlaceWait, full: list[TargetRecord], now: float
    ) -> None:
        """Reject a request whose turn comes after its caller has given up.

        :param wait: the request.
        :param full: targets without a free place that can run it.
        :param now: seconds.
        :raises ServingError: ``queue_full``.
        """
        expected = self.expect(wait, full, now)
        try:
            self.places.check(wait.entry, expected, now)
        except ServingError as error:
            self._log(wait, 'reject', error.detail, expected)
            raise
        wait.expected = expected

    def too_late(
        self, wait: PlaceWait, full: list[TargetRecord], now: float
    ) -> ServingError:
        """Return the error of a request that has waited until its deadline.

        :param wait: the request.
        :param full: targets without a free place that can run it.
        :param now: seconds.
        """
        expected = self.expect(wait, full, now)
        reason = 'no place at a target became free in time'
        self._log(wait, 'reject', reason, expected)
        return ServingError(
            ErrorKind.queue_full,
            reason,
            retry_after=self.places.retry_after(expected, now),
        )

    def _entry(self, request: RoutedRequest, waiter: Waiter) -> QueuedRequest:
        number = str(next(self._numbers))
        metadata = request.metadata
        parts = [request.service, metadata.model, metadata.adapter]
        parts.append(request.begun_version)
        if self.is_restricted(request):
            # It must not stand in the way of those behind it.
            parts.append(number)
        stated = metadata.prompt_tokens + metadata.output_tokens
        return QueuedRequest(
            request_id=number,
            organisation=request.organisation_name(),
            deployment=_SEPARATOR.join(parts),
            tokens=stated or _DEFAULT_TOKENS,
            priority=0,
            deadline=waiter.gives_up_at,
            enqueued_at=self.clock(),
            level=request.priority(),
            due_at=waiter.target_at,
            has_come_back=request.has_come_back or request.exchange.started,
        )

    def _join(self, wait: PlaceWait) -> None:
        """Queue a request, or give it a place for which nobody waits."""
        now = self.clock()
        self.waits_by_id[wait.entry.request_id] = wait
        free = self.options(wait.request, now)
        if free and not self._is_awaited(free, now):
            self._give(wait)
        if wait.has_turn():
            return
        try:
            self.places.queue.push(wait.entry)
        except ServingError as error:
            self._log(wait, 'reject', error.detail)
            raise
        if free:
            # Those before it have not been given this place yet.
            self.assign()

    def _is_awaited(self, free: list[TargetRecord], now: float) -> bool:
        """Return whether requests wait that could use one of some targets."""
        free_ids = [record.target_id for record in free]
        return any(
            self.may_run(free_ids, deployment, now)
            for deployment in self.places.queue.deployments()
        )

    def _leave(self, wait: PlaceWait, *, is_taken: bool) -> None:
        self.waits_by_id.pop(wait.entry.request_id, None)
        self.places.queue.remove(wait.entry.request_id)
        if wait.target is None:
            return
        self.places.release(wait.target.target_id)
        if not is_taken and len(self):
            self._assign(self.clock(), wait.target.target_id)

    def _assign(self, now: float, target_id: str) -> None:
        """Give away free places, of one target if its id is not empty."""
        queue = self.places.queue
        unserved: list[PlaceWait] = []

        can_start = _StartCheck(self, now, self._free_ids(target_id, now))
        while can_start.free_ids and len(queue):
            entry = queue.pop(now, can_start)
            if entry is None:
                break
            wait = self.waits_by_id[entry.request_id]
            self._give(wait)
            if not wait.has_turn():
                unserved.append(wait)
        # Requests whose time is over see that themselves.
        queue.expire(now)
        for moved in unserved:
            self.requeue(moved)

    def _free_ids(self, target_id: str, now: float) -> list[str]:
        """Return the targets with a free place, which are few while any wait.

        :param target_id: only target to look at; empty for all.
        """
        records_by_id = self.fleet.registry.records_by_id
        records = [
            record
            for record in records_by_id.values()
            if target_id in {'', record.target_id}
        ]
        free = self.places.with_place(records, now)
        return [record.target_id for record in free]

    def _give(self, wait: PlaceWait) -> None:
        try:
            wait.target = self.pick(wait.request)
        except ServingError as error:
            wait.errors.append(error)
        if wait.target is not None:
            self.places.reserve(wait.target.target_id)
            if wait.expected is not None:
                self._log(
                    wait,
                    wait.target.target_id,
                    'a place became free',
                    wait.expected,
                )
        if wait.has_turn():
            wait.waiter.changed.set()

    def may_run(
        self, target_ids: list[str], deployment: str, now: float
    ) -> bool:
        """Return whether one of some targets may run a sub-queue's requests.

        :param target_ids: ids of the targets.
        :param deployment: name of the sub-queue.
        :param now: seconds.
        """
        service, model, adapter = deployment.split(_SEPARATOR)[:3]
        return any(
            self.fleet.may_run(target_id, service, model, adapter, now)
            for target_id in target_ids
        )

    def _log(
        self,
        wait: PlaceWait,
        choice: str,
        reason: str,
        expected: ExpectedTurn | None = None,
    ) -> None:
        """Write the line of a request that has waited or is not to wait."""
        entry = wait.entry
        self.counts('reject' if choice == 'reject' else 'turn')
        log_decision(
            'queue',
            choice,
            reason,
            request_id=wait.request.metadata.request_id,
            organisation=entry.organisation,
            priority=entry.level,
            has_come_back=entry.has_come_back,
            waiting=len(self),
            waited_ms=round((self.clock() - entry.enqueued_at) * _MS),
            expected_ms=_milliseconds(expected),
            places_per_second=_rate(expected),
        )


@dataclass(slots=True)
class _StartCheck:
    """Checks whether queued requests can start; used for one look.

    :param free_ids: targets that had a free place at its begin.
    :param full: sub-queues without a free place; places only become fewer
        during a look.
    """

    turns: PlaceTurns
    now: float
    free_ids: list[str]
    full: set[str] = field(default_factory=set)

    def __call__(self, entry: QueuedRequest) -> bool:
        if entry.deployment in self.full:
            return False
        request = self.turns.waits_by_id[entry.request_id].request
        may_run = self.turns.may_run(self.free_ids, entry.deployment, self.now)
        if may_run and self.turns.options(request, self.now):
            return True
        self.full.add(entry.deployment)
        return False


def _milliseconds(expected: ExpectedTurn | None) -> int | None:
    """Return the expected wait; ``None`` if it is unknown or without end."""
    if expected is None or not math.isfinite(expected.seconds):
        return None
    return round(expected.seconds * _MS)


def _rate(expected: ExpectedTurn | None) -> float | None:
    if expected is None or not math.isfinite(expected.places_per_second):
        return None
    return round(expected.places_per_second, 2)
