"""Places of targets, and which waiting request gets the next free one.

Addresses days on which callers compete for too few places. A request beyond the
places of a target would wait in that target's queue, behind all that was sent
there before, although another target may have a place sooner and a more urgent
request may come. It waits in the :class:`.FairQueue` of its instance instead.

Estimated counts are used as follows. Requests of this instance are counted
exactly. Those of others come from the leader: a member reports at least every
0.4 s, and the leader sends a count again only when it has changed by 3. The
margin of :func:`default_places` covers both, so that the batch of a target
stays full until the end of a request is known. While the leader is silent,
others are taken to end their requests without starting new ones, so that no
place stays empty for long; this may send more than the places allow, and
targets reject the excess.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from cowsliprack.coordination.fair_queue import FairQueue, QueuedRequest
from cowsliprack.coordination.target_selector import TargetSelector
from cowsliprack.exceptions import ErrorKind, ServingError
from cowsliprack.state.target_registry import TargetRecord

# Requests by which a leader's count may be off without being sent again.
_COUNT_STEP = 2
# One place more for this many slots: of requests that run for 6.4 s, one in 16
# ends within the 0.4 s between two reports.
_SLOTS_PER_SPARE_PLACE = 16
# Age of the leader's last view up to which its counts hold. Views come several
# times a second, and a change of the leader without a fault takes less.
_COUNT_LIFETIME_SECONDS = 1.0
# Time after that in which the requests of others are taken to end one by one.
# At once, all instances would send all that waits in the same moment.
_COUNT_DECAY_SECONDS = 5.0
# Maximum number of waiting requests of one instance.
_MAX_WAITING = 1000
# Weight of a new sample in the average run time of a service's requests.
_SMOOTHING = 0.1
# Share of its slots that a target without a free place runs at least, as taken.
_MIN_BUSY_SHARE = 0.5
# Shortest run time that is assumed, seconds.
_MIN_RUN_SECONDS = 0.001
# Longest time that a caller is asked to stay away: places become free earlier
# when the load ends.
_MAX_RETRY_SECONDS = 10.0

Places = Callable[[TargetRecord, float], int]


def default_places(record: TargetRecord, _now: float) -> int:
    """Return the requests of all instances that a target should have.

    :param record: the target.
    :param _now: seconds.
    """
    spare = -(-record.slots // _SLOTS_PER_SPARE_PLACE)
    return record.slots + _COUNT_STEP + spare


@dataclass(frozen=True, slots=True)
class ExpectedTurn:
    """When a waiting request is expected to get a place.

    :param seconds: ``inf`` if no place becomes free; 0 if that is not known.
    :param places_per_second: rate at which its places become free.
    """

    seconds: float
    places_per_second: float


@dataclass(slots=True)
class PlaceQueue:
    """Requests of one instance that wait for a place, and the free places.

    :param target_selector: counts running requests.
    :param view_at: returns the time of the leader's last view, seconds.
    :param instances: returns the number of instances that may send to the same
        targets.
    :param places: returns the requests of all instances that a target should
        run concurrently.
    :param run_seconds_by_service: average time for which a request has a place.
    """

    target_selector: TargetSelector
    view_at: Callable[[], float]
    instances: Callable[[], int] = int
    places: Places = default_places
    queue: FairQueue = field(default_factory=lambda: FairQueue(_MAX_WAITING))
    run_seconds_by_service: dict[str, float] = field(default_factory=dict)
    _reserved_by_id: Counter[str] = field(default_factory=Counter)

    def with_place(
        self, records: Iterable[TargetRecord], now: float
    ) -> list[TargetRecord]:
        """Return the targets that have a free place.

        :param records: targets.
        :param now: seconds.
        """
        others_share = self._others_share(now)
        return [
            record
            for record in records
            if self._has_place(record, others_share, now)
        ]

    def running(self, target_id: str, now: float) -> float:
        """Return the estimated requests that a target has, with reservations.

        :param target_id: id of the target.
        :param now: seconds.
        """
        return self._running(target_id, self._others_share(now))

    def reserve(self, target_id: str) -> None:
        """Keep a place for a request that has got its turn.

        :param target_id: id of the target.
        """
        self._reserved_by_id[target_id] += 1

    def release(self, target_id: str) -> None:
        """End a reservation; the request is sent now, or never.

        :param target_id: id of the target.
        """
        self._reserved_by_id[target_id] -= 1
        if not self._reserved_by_id[target_id]:
            self._reserved_by_id.pop(target_id)

    def record_run(self, service: str, seconds: float) -> None:
        """Record for how long a request had its place.

        :param service: name of the target's service.
        :param seconds: from its send to its end.
        """
        known = self.run_seconds_by_service.get(service, seconds)
        self.run_seconds_by_service[service] = max(
            known + _SMOOTHING * (seconds - known), _MIN_RUN_SECONDS
        )

    def places_per_second(
        self, records: Iterable[TargetRecord], now: float
    ) -> float:
        """Return the rate at which places become free for this instance.

        An instance gets the places of the requests that it has sent, or its
        part of all, whichever is more. It is not known at how many instances
        requests wait for a target; the root of their number is assumed. With
        all of them, requests were rejected for expected waits of 16 s and more
        while a place became free within a second.

        :param records: targets of one service.
        :param now: seconds.
        :returns: ``inf`` before the first request of the service has ended.
        """
        competing = math.sqrt(max(self.instances(), 1))
        rate = float(0)
        for record in records:
            seconds = self.run_seconds_by_service.get(record.service, 0)
            if not seconds:
                return math.inf
            own = self.target_selector.own_by_id[record.target_id]
            # One that recovers runs few requests, but gets more within a
            # second.
            running = max(
                self.running(record.target_id, now),
                record.slots * _MIN_BUSY_SHARE,
            )
            rate += max(own, running / competing) / seconds
        return rate

    def expect(
        self,
        entry: QueuedRequest,
        records: Iterable[TargetRecord],
        contends: Callable[[str], bool],
        now: float,
    ) -> ExpectedTurn:
        """Return when an entry is expected to get a place of some targets.

        :param entry: that waits or is about to wait.
        :param records: targets without a free place that can run it.
        :param contends: whether entries of a deployment want their places too.
        :param now: seconds.
        """
        rate = self.places_per_second(records, now)
        seconds = self.queue.seconds_until_turn(entry, contends, rate, now)
        return ExpectedTurn(seconds, rate)

    def check(
        self, entry: QueuedRequest, expected: ExpectedTurn, now: float
    ) -> None:
        """Reject a request whose turn comes after its caller has given up.

        :param entry: with the time at which its caller gives up.
        :param expected: its turn.
        :param now: seconds.
        :raises ServingError: ``queue_full`` with the time at which a place is
            expected.
        """
        if now + expected.seconds <= entry.deadline:
            return
        raise ServingError(
            ErrorKind.queue_full,
            'no place at a target is expected to become free in time',
            retry_after=self.retry_after(expected, now),
        )

    def retry_after(self, expected: ExpectedTurn, now: float) -> float:
        """Return when the caller of a rejected request may expect a place.

        :param expected: the turn that the request would have.
        :param now: seconds.
        :returns: seconds, spread over the callers that are rejected.
        """
        return self.queue.promise_retry(
            expected.seconds,
            expected.places_per_second,
            now,
            _MAX_RETRY_SECONDS,
        )

    def _others_share(self, now: float) -> float:
        """Return the part of others' requests that are taken to run still."""
        silent = now - self.view_at() - _COUNT_LIFETIME_SECONDS
        return min(max(1 - silent / _COUNT_DECAY_SECONDS, 0), 1)

    def _running(self, target_id: str, others_share: float) -> float:
        running = self.target_selector.running(target_id, others_share)
        return running + self._reserved_by_id.get(target_id, 0)

    def _has_place(
        self, record: TargetRecord, others_share: float, now: float
    ) -> bool:
        running = self._running(record.target_id, others_share)
        if running >= self.places(record, now):
            return False
        selector = self.target_selector
        own = selector.own_by_id[record.target_id]
        own += self._reserved_by_id.get(record.target_id, 0)
        if not selector.paces.may_send(record.target_id, own, now):
            return False
        if record.target_id not in selector.pauses.brittle_by_id:
            return True
        return selector.pauses.may_send(record, running, now)
