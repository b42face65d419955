"""Queue of one instance: fair between organisations, in tokens.

Deficit round robin decides between organisations; within an organisation the
higher priority and then the earlier entry goes first. Each organisation has
one sub-queue per deployment. Only the head of a sub-queue is checked for
whether it can start, so a sub-queue that waits for a cold start costs one
check regardless of its length.
"""

import heapq
import math
from bisect import bisect_left, insort
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from cowsliprack.coordination.credit import WaitingTokens
from cowsliprack.exceptions import ErrorKind, ServingError

# Growth of each organisation's deficit in one round.
_QUANTUM_TOKENS = 500
# Time constant of the smoothed rate at which entries are dequeued.
_RATE_SMOOTHING_SECONDS = 5.0
# Bounds of the retry time in a refusal.
_MIN_RETRY_AFTER_SECONDS = 0.5
_MAX_RETRY_AFTER_SECONDS = 60.0
# The deadline heap is rebuilt when it holds this many deadlines more than
# twice the number of queued entries; the rest belong to removed entries.
_MIN_STALE_DEADLINES = 64

# Negated priority and sequence number: the highest priority comes first, then
# the order of arrival.
_SortKey = tuple[int, int]


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that is queued on this instance.

    :param tokens: prompt plus maximum output.
    :param priority: the highest is served first within the organisation.
    :param deadline: seconds, on the clock of the queue.
    """

    request_id: str
    organisation: str
    deployment: str
    tokens: float
    priority: int
    deadline: float
    enqueued_at: float


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


class FairQueue:
    """Queued requests of one instance.

    :param max_length: maximum number of entries. An organisation may hold at
        most as many as there are free places, so that one organisation never
        fills the queue for the others.
    """

    def __init__(self, max_length: int) -> None:
        """Create an empty queue."""
        self._max_length = max_length
        self._sequence = 0
        self._entries_by_id: dict[str, _IndexedEntry] = {}
        self._queues_by_organisation: dict[str, _OrganisationQueue] = {}
        self._deadlines: list[tuple[float, int, str]] = []
        self._overdue: list[QueuedRequest] = []
        self._decayed_dequeues = float(0)
        self._last_dequeue_at = float(0)

    def __len__(self) -> int:
        """Return the number of queued entries."""
        return len(self._entries_by_id)

    def push(self, entry: QueuedRequest) -> None:
        """Add an entry.

        :param entry: with a request id that is not queued.
        :raises ServingError: ``queue_full`` with a time to retry.
        :raises ValueError: the request id is queued.
        """
        if entry.request_id in self._entries_by_id:
            raise ValueError(f'request {entry.request_id} is already queued')
        queue = self._queues_by_organisation.get(entry.organisation)
        own_length = queue.length if queue else 0
        if own_length >= self._max_length - len(self._entries_by_id):
            raise ServingError(
                ErrorKind.queue_full,
                'too many requests of the organisation are waiting',
                retry_after=self._estimate_retry_after(entry.enqueued_at),
            )
        if queue is None:
            queue = _OrganisationQueue()
            self._queues_by_organisation[entry.organisation] = queue
        self._sequence += 1
        key = (-entry.priority, self._sequence)
        self._entries_by_id[entry.request_id] = _IndexedEntry(entry, key)
        _insert(queue, entry, key)
        heapq.heappush(
            self._deadlines,
            (entry.deadline, self._sequence, entry.request_id),
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
        best: tuple[int, str, QueuedRequest] | None = None
        startable = []
        for name, queue in self._queues_by_organisation.items():
            entry = _first_startable(queue, can_start)
            if entry is None:
                continue
            startable.append(queue)
            missing_tokens = max(0, entry.tokens - queue.deficit)
            rounds = math.ceil(missing_tokens / _QUANTUM_TOKENS)
            if best is None or rounds < best[0]:
                best = (rounds, name, entry)
            if rounds == 0:
                break
        if best is None:
            return None
        rounds, organisation, entry = best
        for startable_queue in startable:
            startable_queue.deficit += rounds * _QUANTUM_TOKENS
        self._queues_by_organisation[organisation].deficit -= entry.tokens
        self.remove(entry.request_id)
        self._record_dequeue(now)
        return entry

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
        queue = self._queues_by_organisation[entry.organisation]
        _delete(queue, entry.deployment, indexed.key)
        if queue.length == 0:
            self._queues_by_organisation.pop(entry.organisation)
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
        queue = self._queues_by_organisation[entry.organisation]
        last_key = queue.queues_by_deployment[entry.deployment].keys[-1]
        _delete(queue, entry.deployment, indexed.key)
        self._sequence += 1
        indexed.key = (last_key[0], self._sequence)
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

    def count_for_deployment(self, deployment: str) -> int:
        """Return the number of queued entries of a deployment.

        :param deployment: name of the deployment.
        """
        return sum(
            len(queue.queues_by_deployment[deployment].keys)
            for queue in self._queues_by_organisation.values()
            if deployment in queue.queues_by_deployment
        )

    def tokens_for_organisation(self, organisation: str) -> float:
        """Return the tokens of an organisation's queued entries.

        :param organisation: id of the organisation.
        """
        queue = self._queues_by_organisation.get(organisation)
        return queue.tokens if queue else 0

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
        waiting_by_name = {}
        for name, queue in self._queues_by_organisation.items():
            ready = [head for head in queue.heads if is_ready(head[1])]
            # Requests on open routes have no organisation and need no credit.
            if ready and name:
                waiting_by_name[name] = _credit_needed(queue, ready)
        return waiting_by_name

    def _collect_overdue(self, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            _, sequence, request_id = heapq.heappop(self._deadlines)
            indexed = self._entries_by_id.get(request_id)
            if indexed is not None and indexed.key[1] == sequence:
                self._overdue.append(indexed.entry)
                self.remove(request_id)

    def _rebuild_deadlines(self) -> None:
        self._deadlines = [
            (indexed.entry.deadline, indexed.key[1], request_id)
            for request_id, indexed in self._entries_by_id.items()
        ]
        heapq.heapify(self._deadlines)

    def _record_dequeue(self, now: float) -> None:
        elapsed = max(0, now - self._last_dequeue_at)
        decay = math.exp(-elapsed / _RATE_SMOOTHING_SECONDS)
        self._decayed_dequeues = self._decayed_dequeues * decay + 1
        self._last_dequeue_at = now

    def _estimate_retry_after(self, now: float) -> float:
        """Estimate the time until a tenth of the queue has been served."""
        elapsed = max(0, now - self._last_dequeue_at)
        rate = (
            self._decayed_dequeues
            * math.exp(-elapsed / _RATE_SMOOTHING_SECONDS)
            / _RATE_SMOOTHING_SECONDS
        )
        if rate <= 0:
            return _MAX_RETRY_AFTER_SECONDS
        seconds = len(self) / 10 / rate
        return min(
            _MAX_RETRY_AFTER_SECONDS, max(_MIN_RETRY_AFTER_SECONDS, seconds)
        )


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
) -> WaitingTokens:
    key, deployment = heads[0]
    first = queue.queues_by_deployment[deployment].entries_by_key[key]
    total = sum(queue.queues_by_deployment[name].tokens for _, name in heads)
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
