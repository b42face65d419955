"""Queue of one instance: fair between organisations, in tokens.

The most urgent level goes first, but each level is served at least once in a
fixed number of turns. Within a level deficit round robin decides between
organisations. Within an organisation the higher priority goes first, then
callers that have come back after a rejection, then the entry whose latency
target comes first; entries that have missed theirs go last. Each organisation
has one sub-queue per deployment. Only the head of a sub-queue is checked for
whether it can start, so a sub-queue that waits for a cold start costs one
check regardless of its length.
"""

import heapq
import math
import random
from bisect import bisect_left, insort
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from cowsliprack.coordination.credit import WaitingTokens
from cowsliprack.exceptions import ErrorKind, ServingError

# Growth of each organisation's deficit in one round.
_QUANTUM_TOKENS = 500
# A level that waits is served at least once in this number of turns, plus one
# turn for each further level that is owed one. A burst of less urgent requests
# thus takes an eighth of the places from an urgent kind, which needs all of
# them only if it fills the targets by itself.
MAX_TURNS_BETWEEN = 8
# Time constant of the smoothed rate at which entries are dequeued.
_RATE_SMOOTHING_SECONDS = 5.0
# Bounds of the retry time in a refusal.
_MIN_RETRY_AFTER_SECONDS = 0.5
_MAX_RETRY_AFTER_SECONDS = 60.0
# Lowest rate of places that a retry time is computed from, per second.
_MIN_RATE = 0.01
# The deadline heap is rebuilt when it holds this many deadlines more than
# twice the number of queued entries; the rest belong to removed entries.
_MIN_STALE_DEADLINES = 64

# Longest and shortest factor by which a retry time is spread, so that callers
# that are rejected together do not come back together.
_RETRY_SPREAD = (1.0, 1.3)
# Urgency of an entry within its organisation and priority.
_RETURNED, _IN_TIME, _LATE = range(3)

# Negated priority, urgency, time by which the entry is due and sequence number.
_SortKey = tuple[int, int, float, int]


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that is queued on this instance.

    :param tokens: prompt plus maximum output.
    :param priority: the highest is served first within the organisation.
    :param deadline: seconds, on the clock of the queue.
    :param level: 0 is the most urgent; levels go before organisations.
    :param due_at: latency target, seconds on the clock of the queue; ``inf``
        for none.
    :param has_come_back: whether its caller was rejected before, or has a part
        of its answer.
    """

    request_id: str
    organisation: str
    deployment: str
    tokens: float
    priority: int
    deadline: float
    enqueued_at: float
    level: int = 0
    due_at: float = math.inf
    has_come_back: bool = False


@dataclass(frozen=True, slots=True)
class WaitingSummary:
    """Queued entries of one deployment.

    :param earliest_deadline: seconds, on the clock of the queue.
    :param oldest_since: time at which the oldest entry was queued, seconds,
        on the clock of the queue.
    :param priority: highest priority of the entries.
    """

    count: int
    earliest_deadline: float
    oldest_since: float
    priority: int
    tokens_by_organisation: dict[str, float]


@dataclass(slots=True)
class _IndexedEntry:
    entry: QueuedRequest
    key: _SortKey


@dataclass(slots=True)
class _DeploymentQueue:
    """Entries of one organisation for one deployment, sorted by key."""

    keys: list[_SortKey] = field(default_factory=list)
    entries_by_key: dict[_SortKey, QueuedRequest] = field(default_factory=dict)
    tokens: float = 0


@dataclass(slots=True)
class _OrganisationQueue:
    """Sub-queues of one organisation.

    :param deficit: tokens that the organisation may be served before the
        next round.
    :param heads: key of the head of each sub-queue with its deployment,
        sorted.
    """

    deficit: float = 0
    length: int = 0
    tokens: float = 0
    heads: list[tuple[_SortKey, str]] = field(default_factory=list)
    queues_by_deployment: dict[str, _DeploymentQueue] = field(
        default_factory=dict
    )


@dataclass(slots=True)
class _Level:
    """Entries of one level.

    :param passed: turns of other levels since the last one of this level, while
        it had entries.
    """

    queues_by_organisation: dict[str, _OrganisationQueue] = field(
        default_factory=dict
    )
    passed: int = 0


@dataclass(slots=True)
class _SmoothedRate:
    """Events per second, smoothed over some seconds."""

    decayed: float = 0
    updated_at: float = 0

    def record(self, now: float) -> None:
        self.decayed = self._decayed_at(now) + 1
        self.updated_at = now

    def per_second(self, now: float) -> float:
        return self._decayed_at(now) / _RATE_SMOOTHING_SECONDS

    def _decayed_at(self, now: float) -> float:
        elapsed = max(0, now - self.updated_at)
        return self.decayed * math.exp(-elapsed / _RATE_SMOOTHING_SECONDS)


class FairQueue:
    """Queued requests of one instance.

    :param max_length: maximum number of entries. An organisation may hold at
        most as many as there are free places, so that one organisation never
        fills the queue for the others.
    """

    def __init__(
        self, max_length: int, rng: random.Random | None = None
    ) -> None:
        """Create an empty queue."""
        self._max_length = max_length
        self._rng = rng or random.Random()
        self._sequence = 0
        self._entries_by_id: dict[str, _IndexedEntry] = {}
        self._levels: dict[int, _Level] = {}
        self._deadlines: list[tuple[float, int, str]] = []
        self._due_times: list[tuple[float, int, str]] = []
        self._overdue: list[QueuedRequest] = []
        self._turns_by_level: dict[int, _SmoothedRate] = {}
        self._promised: list[float] = []

    def __len__(self) -> int:
        """Return the number of queued entries."""
        return len(self._entries_by_id)

    def __contains__(self, request_id: str) -> bool:
        """Return whether a request is queued.

        :param request_id: of the entry.
        """
        return request_id in self._entries_by_id

    def push(self, entry: QueuedRequest) -> None:
        """Add an entry.

        :param entry: with a request id that is not queued.
        :raises ServingError: ``queue_full`` with a time to retry.
        :raises ValueError: the request id is queued.
        """
        if entry.request_id in self._entries_by_id:
            raise ValueError(f'request {entry.request_id} is already queued')
        own_length = sum(
            queue.length for queue in self._queues_of(entry.organisation)
        )
        if own_length >= self._max_length - len(self._entries_by_id):
            raise ServingError(
                ErrorKind.queue_full,
                'too many requests of the organisation are waiting',
                retry_after=self._estimate_retry_after(entry.enqueued_at),
            )
        if entry.level not in self._levels:
            self._levels[entry.level] = _Level()
            self._levels = dict(sorted(self._levels.items()))
        queue = self._levels[entry.level].queues_by_organisation.setdefault(
            entry.organisation, _OrganisationQueue()
        )
        self._sequence += 1
        key = _sort_key(entry, self._sequence)
        self._entries_by_id[entry.request_id] = _IndexedEntry(entry, key)
        _insert(queue, entry, key)
        heapq.heappush(
            self._deadlines,
            (entry.deadline, self._sequence, entry.request_id),
        )
        if math.isfinite(entry.due_at):
            heapq.heappush(
                self._due_times,
                (entry.due_at, self._sequence, entry.request_id),
            )

    def pop(
        self,
        now: float,
        can_start: Callable[[QueuedRequest], bool],
    ) -> QueuedRequest | None:
        """Remove and return the entry that is served next.

        :param now: seconds.
        :param can_start: whether an entry has its credit and a target; it is
            also called for entries that are not returned, so it must not
            reserve anything.
        """
        self._collect_overdue(now)
        self._demote_late(now)
        for number in self._levels_in_turn():
            entry = _take_turn(self._levels[number], can_start)
            if entry is not None:
                self.remove(entry.request_id)
                self._record_turn(number, now)
                return entry
        return None

    def seconds_until_turn(
        self,
        entry: QueuedRequest,
        contends: Callable[[str], bool],
        places_per_second: float,
        now: float,
    ) -> float:
        """Return when an entry is expected to get its turn, in seconds.

        :param entry: queued or about to be.
        :param contends: whether entries of a deployment want the same places.
        :param places_per_second: rate at which these places become free.
        :param now: seconds.
        :returns: ``inf`` if no place becomes free.
        """
        if places_per_second <= 0:
            return math.inf
        urgent, own = self._count_ahead(entry, contends)
        # More urgent requests that are still to come take places as well.
        taken = sum(
            rate.per_second(now)
            for level, rate in self._turns_by_level.items()
            if level < entry.level
        )
        least = places_per_second / MAX_TURNS_BETWEEN
        seconds = urgent / places_per_second
        seconds += (own + 1) / max(places_per_second - taken, least)
        return min(seconds, (own + 1) / least)

    def promise_retry(
        self,
        seconds: float,
        places_per_second: float,
        now: float,
        longest: float = _MAX_RETRY_AFTER_SECONDS,
    ) -> float:
        """Return the Retry-After of a request whose turn comes too late.

        Callers that are rejected one after the other are given one place after
        the other, so that they do not come back for the same place.

        :param seconds: until the turn of the request.
        :param places_per_second: rate at which places become free.
        :param now: seconds.
        :param longest: longest time before it is spread, seconds.
        """
        self._promised = [until for until in self._promised if until > now]
        promised = len(self._promised) / max(places_per_second, _MIN_RATE)
        expected = min(seconds + promised, longest)
        retry_after = expected * self._rng.uniform(*_RETRY_SPREAD)
        self._promised.append(now + retry_after)
        return retry_after

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return the entries whose deadline has passed.

        :param now: seconds.
        """
        self._collect_overdue(now)
        overdue = self._overdue
        self._overdue = []
        return overdue

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove an entry, for example of a caller that disconnected.

        :param request_id: of the entry.
        :returns: the entry, or ``None`` when it is not queued.
        """
        indexed = self._entries_by_id.pop(request_id, None)
        if indexed is None:
            return None
        entry = indexed.entry
        level = self._levels[entry.level]
        queue = level.queues_by_organisation[entry.organisation]
        _delete(queue, entry.deployment, indexed.key)
        if queue.length == 0:
            level.queues_by_organisation.pop(entry.organisation)
        if not level.queues_by_organisation:
            self._levels.pop(entry.level)
        if len(self._deadlines) > _MIN_STALE_DEADLINES + 2 * len(self):
            self._rebuild_deadlines()
        return entry

    def move_to_end(self, request_id: str) -> None:
        """Move an entry to the end of its sub-queue, whatever its priority.

        It was admitted before, so the limits on the length do not apply.

        :param request_id: of the entry; unknown ids are ignored.
        """
        indexed = self._entries_by_id.get(request_id)
        if indexed is None:
            return
        entry = indexed.entry
        queue = self._queue_of(entry)
        last_key = queue.queues_by_deployment[entry.deployment].keys[-1]
        _delete(queue, entry.deployment, indexed.key)
        self._sequence += 1
        indexed.key = (*last_key[:-1], self._sequence)
        _insert(queue, entry, indexed.key)
        heapq.heappush(
            self._deadlines,
            (entry.deadline, self._sequence, request_id),
        )
        if len(self._deadlines) > _MIN_STALE_DEADLINES + 2 * len(self):
            self._rebuild_deadlines()

    def entries(self) -> Iterator[QueuedRequest]:
        """Yield the queued entries in the order of arrival."""
        for indexed in self._entries_by_id.values():
            yield indexed.entry

    def deployments(self) -> set[str]:
        """Return the deployments with queued entries."""
        names: set[str] = set()
        for level in self._levels.values():
            for queue in level.queues_by_organisation.values():
                names.update(queue.queues_by_deployment)
        return names

    def count_for_deployment(self, deployment: str) -> int:
        """Return the number of queued entries of a deployment.

        :param deployment: name of the deployment.
        """
        return sum(
            len(queue.queues_by_deployment[deployment].keys)
            for level in self._levels.values()
            for queue in level.queues_by_organisation.values()
            if deployment in queue.queues_by_deployment
        )

    def tokens_for_organisation(self, organisation: str) -> float:
        """Return the tokens of an organisation's queued entries.

        :param organisation: id of the organisation.
        """
        return sum(queue.tokens for queue in self._queues_of(organisation))

    def waiting_by_deployment(self) -> dict[str, WaitingSummary]:
        """Return a summary of the queued entries of each deployment."""
        entries_by_deployment: dict[str, list[QueuedRequest]] = {}
        for entry in self.entries():
            entries_by_deployment.setdefault(entry.deployment, []).append(entry)
        return {
            deployment: _summarise(entries)
            for deployment, entries in entries_by_deployment.items()
        }

    def waiting_by_organisation(
        self,
        is_ready: Callable[[str], bool],
    ) -> dict[str, WaitingTokens]:
        """Return the tokens for which each organisation needs credit now.

        :param is_ready: whether a deployment is loaded; entries that wait for
            a cold start need no credit yet.
        """
        waiting_by_name: dict[str, WaitingTokens] = {}
        for level in self._levels.values():
            for name, queue in level.queues_by_organisation.items():
                ready = [head for head in queue.heads if is_ready(head[1])]
                # Requests on open routes have no organisation and need no
                # credit.
                if ready and name:
                    waiting_by_name[name] = _credit_needed(
                        queue, ready, waiting_by_name.get(name)
                    )
        return waiting_by_name

    def _queue_of(self, entry: QueuedRequest) -> _OrganisationQueue:
        level = self._levels[entry.level]
        return level.queues_by_organisation[entry.organisation]

    def _queues_of(self, organisation: str) -> list[_OrganisationQueue]:
        return [
            level.queues_by_organisation[organisation]
            for level in self._levels.values()
            if organisation in level.queues_by_organisation
        ]

    def _levels_in_turn(self) -> list[int]:
        """Return the levels in the order in which they are tried.

        Levels that are owed a turn come first, the one that has waited longest
        before the others.
        """
        return sorted(
            self._levels,
            key=lambda number: (
                -max(self._levels[number].passed - MAX_TURNS_BETWEEN + 2, 0)
            ),
        )

    def _record_turn(self, number: int, now: float) -> None:
        for other, level in self._levels.items():
            level.passed = 0 if other == number else level.passed + 1
        rate = self._turns_by_level.setdefault(number, _SmoothedRate())
        rate.record(now)

    def _count_ahead(
        self, entry: QueuedRequest, contends: Callable[[str], bool]
    ) -> tuple[int, int]:
        """Return the entries of more urgent levels and of the own one ahead."""
        indexed = self._entries_by_id.get(entry.request_id)
        key = indexed.key if indexed else _sort_key(entry, self._sequence + 1)
        urgent = 0
        own_level: dict[str, _OrganisationQueue] = {}
        for number, level in self._levels.items():
            if number < entry.level:
                queues = level.queues_by_organisation.values()
                urgent += sum(_count(queue, contends) for queue in queues)
            elif number == entry.level:
                own_level = level.queues_by_organisation
        own_queue = own_level.get(entry.organisation, _OrganisationQueue())
        own = sum(
            bisect_left(sub_queue.keys, key)
            for name, sub_queue in own_queue.queues_by_deployment.items()
            if contends(name)
        )
        # Each other organisation gets about as many turns until then.
        others = sum(
            min(_count(queue, contends), own + 1)
            for name, queue in own_level.items()
            if name != entry.organisation
        )
        return urgent, own + others

    def _demote_late(self, now: float) -> None:
        """Move entries that have missed their latency target behind others."""
        while self._due_times and self._due_times[0][0] <= now:
            _, sequence, request_id = heapq.heappop(self._due_times)
            indexed = self._entries_by_id.get(request_id)
            if indexed is None or indexed.key[-1] != sequence:
                continue
            entry = indexed.entry
            queue = self._queue_of(entry)
            _delete(queue, entry.deployment, indexed.key)
            indexed.key = (indexed.key[0], _LATE, entry.deadline, sequence)
            _insert(queue, entry, indexed.key)

    def _collect_overdue(self, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            _, sequence, request_id = heapq.heappop(self._deadlines)
            indexed = self._entries_by_id.get(request_id)
            if indexed is not None and indexed.key[-1] == sequence:
                self._overdue.append(indexed.entry)
                self.remove(request_id)

    def _rebuild_deadlines(self) -> None:
        self._deadlines = [
            (indexed.entry.deadline, indexed.key[-1], request_id)
            for request_id, indexed in self._entries_by_id.items()
        ]
        heapq.heapify(self._deadlines)

    def _estimate_retry_after(self, now: float) -> float:
        """Estimate the time until a tenth of the queue has been served."""
        rate = sum(
            turns.per_second(now) for turns in self._turns_by_level.values()
        )
        if rate <= 0:
            return _MAX_RETRY_AFTER_SECONDS
        seconds = len(self) / 10 / rate
        seconds *= self._rng.uniform(*_RETRY_SPREAD)
        return min(
            _MAX_RETRY_AFTER_SECONDS, max(_MIN_RETRY_AFTER_SECONDS, seconds)
        )


def _sort_key(entry: QueuedRequest, sequence: int) -> _SortKey:
    if entry.due_at <= entry.enqueued_at:
        return (-entry.priority, _LATE, entry.deadline, sequence)
    urgency = _RETURNED if entry.has_come_back else _IN_TIME
    return (-entry.priority, urgency, entry.due_at, sequence)


def _count(queue: _OrganisationQueue, contends: Callable[[str], bool]) -> int:
    return sum(
        len(sub_queue.keys)
        for name, sub_queue in queue.queues_by_deployment.items()
        if contends(name)
    )


def _take_turn(
    level: _Level,
    can_start: Callable[[QueuedRequest], bool],
) -> QueuedRequest | None:
    """Return the entry of a level that is served next, and charge for it."""
    best: tuple[int, _OrganisationQueue, QueuedRequest] | None = None
    startable = []
    for queue in level.queues_by_organisation.values():
        entry = _first_startable(queue, can_start)
        if entry is None:
            continue
        startable.append(queue)
        missing_tokens = max(0, entry.tokens - queue.deficit)
        rounds = math.ceil(missing_tokens / _QUANTUM_TOKENS)
        if best is None or rounds < best[0]:
            best = (rounds, queue, entry)
        if rounds == 0:
            break
    if best is None:
        return None
    rounds, best_queue, best_entry = best
    for startable_queue in startable:
        startable_queue.deficit += rounds * _QUANTUM_TOKENS
    best_queue.deficit -= best_entry.tokens
    return best_entry


def _insert(
    queue: _OrganisationQueue, entry: QueuedRequest, key: _SortKey
) -> None:
    sub_queue = queue.queues_by_deployment.setdefault(
        entry.deployment, _DeploymentQueue()
    )
    if sub_queue.keys:
        _remove_head(queue, sub_queue.keys[0], entry.deployment)
    insort(sub_queue.keys, key)
    sub_queue.entries_by_key[key] = entry
    sub_queue.tokens += entry.tokens
    insort(queue.heads, (sub_queue.keys[0], entry.deployment))
    queue.length += 1
    queue.tokens += entry.tokens


def _delete(queue: _OrganisationQueue, deployment: str, key: _SortKey) -> None:
    sub_queue = queue.queues_by_deployment[deployment]
    _remove_head(queue, sub_queue.keys[0], deployment)
    sub_queue.keys.pop(bisect_left(sub_queue.keys, key))
    tokens = sub_queue.entries_by_key.pop(key).tokens
    sub_queue.tokens -= tokens
    queue.tokens -= tokens
    queue.length -= 1
    if sub_queue.keys:
        insort(queue.heads, (sub_queue.keys[0], deployment))
    else:
        queue.queues_by_deployment.pop(deployment)


def _remove_head(
    queue: _OrganisationQueue, key: _SortKey, deployment: str
) -> None:
    queue.heads.pop(bisect_left(queue.heads, (key, deployment)))


def _first_startable(
    queue: _OrganisationQueue,
    can_start: Callable[[QueuedRequest], bool],
) -> QueuedRequest | None:
    for key, deployment in queue.heads:
        entry = queue.queues_by_deployment[deployment].entries_by_key[key]
        if can_start(entry):
            return entry
    return None


def _credit_needed(
    queue: _OrganisationQueue,
    heads: list[tuple[_SortKey, str]],
    urgent: WaitingTokens | None,
) -> WaitingTokens:
    """Return the tokens of an organisation, with those of urgent levels."""
    key, deployment = heads[0]
    first = queue.queues_by_deployment[deployment].entries_by_key[key]
    total = sum(queue.queues_by_deployment[name].tokens for _, name in heads)
    if urgent is not None:
        return WaitingTokens(urgent.needed, urgent.total + total)
    return WaitingTokens(first.tokens, total)


def _summarise(entries: list[QueuedRequest]) -> WaitingSummary:
    tokens_by_organisation: dict[str, float] = defaultdict(float)
    for waiting in entries:
        tokens_by_organisation[waiting.organisation] += waiting.tokens
    return WaitingSummary(
        count=len(entries),
        earliest_deadline=min(entry.deadline for entry in entries),
        oldest_since=min(entry.enqueued_at for entry in entries),
        priority=max(entry.priority for entry in entries),
        tokens_by_organisation=dict(tokens_by_organisation),
    )
