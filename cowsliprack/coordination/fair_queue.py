"""Queue of one instance: fair between organisations, in tokens.

Deficit round robin decides between organisations; within an organisation the
higher priority and then the earlier entry goes first. Entries of one
organisation and deployment stand in one line, and only the head of a line is
asked whether it can start, so a line that waits for a cold start costs one
question however long it is.
"""

import heapq
import math
from bisect import bisect_left, insort
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from cowsliprack.coordination.credit import WaitingTokens
from cowsliprack.exceptions import ErrorKind, ServingError

# Tokens by which each organisation's deficit grows in one round.
_QUANTUM = 500
# Time constant of the smoothed rate of departures, seconds.
_SMOOTHING = 5.0
# Bounds of the estimate in a refusal, seconds.
_SHORTEST_RETRY = 0.5
_LONGEST_RETRY = 60.0
# Overdue records are rebuilt when most of them belong to entries that left.
_REBUILD_SIZE = 64

# Higher priority first, then in the order of arrival.
_Key = tuple[int, int]


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits on this instance.

    :param tokens: prompt plus maximum output.
    :param priority: higher goes first within the organisation.
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
    """What waits for one deployment.

    :param earliest_deadline: seconds, on the clock of the queue.
    :param oldest_since: seconds, on the clock of the queue.
    :param priority: highest of the entries.
    """

    count: int
    earliest_deadline: float
    oldest_since: float
    priority: int
    tokens_by_organisation: dict[str, float]


@dataclass(slots=True)
class _Place:
    entry: QueuedRequest
    key: _Key


@dataclass(slots=True)
class _Line:
    """Entries of one organisation for one deployment, sorted by key."""

    keys: list[_Key] = field(default_factory=list)
    entries_by_key: dict[_Key, QueuedRequest] = field(default_factory=dict)
    tokens: float = 0


@dataclass(slots=True)
class _Lines:
    """Lines of one organisation.

    :param heads: key of the head of each line with its deployment, sorted.
    """

    deficit: float = 0
    length: int = 0
    tokens: float = 0
    heads: list[tuple[_Key, str]] = field(default_factory=list)
    lines_by_deployment: dict[str, _Line] = field(default_factory=dict)


class FairQueue:
    """Waiting requests of one instance.

    :param max_length: entries in all. An organisation may hold as many as
        there are places left, so that one organisation never fills the queue
        for the others.
    """

    def __init__(self, max_length: int) -> None:
        """Start empty."""
        self._max_length = max_length
        self._sequence = 0
        self._places_by_id: dict[str, _Place] = {}
        self._lines_by_organisation: dict[str, _Lines] = {}
        self._deadlines: list[tuple[float, int, str]] = []
        self._overdue: list[QueuedRequest] = []
        self._departures = float(0)
        self._departed_at = float(0)

    def __len__(self) -> int:
        """Return the number of waiting entries."""
        return len(self._places_by_id)

    def push(self, entry: QueuedRequest) -> None:
        """Add an entry.

        :param entry: with a request id that is not waiting.
        :raises ServingError: ``queue_full`` with a time to retry.
        """
        if entry.request_id in self._places_by_id:
            raise ValueError(f'request {entry.request_id} is waiting already')
        lines = self._lines_by_organisation.get(entry.organisation)
        own_length = lines.length if lines else 0
        if own_length >= self._max_length - len(self._places_by_id):
            raise ServingError(
                ErrorKind.queue_full,
                'too many requests of the organisation are waiting',
                retry_after=self._retry_after(entry.enqueued_at),
            )
        if lines is None:
            lines = _Lines()
            self._lines_by_organisation[entry.organisation] = lines
        self._sequence += 1
        key = (-entry.priority, self._sequence)
        self._places_by_id[entry.request_id] = _Place(entry, key)
        _insert(lines, entry, key)
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
            asked for entries that are not returned, so it must change
            nothing.
        """
        self._collect_overdue(now)
        first: tuple[int, str, QueuedRequest] | None = None
        startable = []
        for name, lines in self._lines_by_organisation.items():
            entry = _first_startable(lines, can_start)
            if entry is None:
                continue
            startable.append(lines)
            missing = max(0, entry.tokens - lines.deficit)
            rounds = math.ceil(missing / _QUANTUM)
            if first is None or rounds < first[0]:
                first = (rounds, name, entry)
            if rounds == 0:
                break
        if first is None:
            return None
        rounds, organisation, entry = first
        for startable_lines in startable:
            startable_lines.deficit += rounds * _QUANTUM
        self._lines_by_organisation[organisation].deficit -= entry.tokens
        self.remove(entry.request_id)
        self._note_departure(now)
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
        """Remove an entry, for example of a caller that went away.

        :param request_id: of the entry.
        :returns: the entry, or nothing when it does not wait.
        """
        place = self._places_by_id.pop(request_id, None)
        if place is None:
            return None
        entry = place.entry
        lines = self._lines_by_organisation[entry.organisation]
        _delete(lines, entry.deployment, place.key)
        if lines.length == 0:
            self._lines_by_organisation.pop(entry.organisation)
        if len(self._deadlines) > _REBUILD_SIZE + 2 * len(self):
            self._rebuild_deadlines()
        return entry

    def move_to_end(self, request_id: str) -> None:
        """Put an entry behind all others of its line, whatever its priority.

        It was admitted before, so the limits on the length do not apply.

        :param request_id: of the entry; unknown ids are ignored.
        """
        place = self._places_by_id.get(request_id)
        if place is None:
            return
        entry = place.entry
        lines = self._lines_by_organisation[entry.organisation]
        last_key = lines.lines_by_deployment[entry.deployment].keys[-1]
        _delete(lines, entry.deployment, place.key)
        self._sequence += 1
        place.key = (last_key[0], self._sequence)
        _insert(lines, entry, place.key)
        heapq.heappush(
            self._deadlines,
            (entry.deadline, self._sequence, request_id),
        )
        if len(self._deadlines) > _REBUILD_SIZE + 2 * len(self):
            self._rebuild_deadlines()

    def entries(self) -> Iterator[QueuedRequest]:
        """Yield the waiting entries in the order of arrival."""
        for place in self._places_by_id.values():
            yield place.entry

    def count_of(self, deployment: str) -> int:
        """Return the number of entries that wait for a deployment.

        :param deployment: name of the deployment.
        """
        return sum(
            len(lines.lines_by_deployment[deployment].keys)
            for lines in self._lines_by_organisation.values()
            if deployment in lines.lines_by_deployment
        )

    def tokens_of(self, organisation: str) -> float:
        """Return the tokens of an organisation's waiting entries.

        :param organisation: id of the organisation.
        """
        lines = self._lines_by_organisation.get(organisation)
        return lines.tokens if lines else 0

    def waiting_by_deployment(self) -> dict[str, WaitingSummary]:
        """Return what waits for each deployment."""
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
        """Return the tokens for which credit is needed now.

        :param is_ready: whether a deployment is loaded; what waits for a cold
            start needs no credit yet.
        """
        waiting_by_name = {}
        for name, lines in self._lines_by_organisation.items():
            ready = [head for head in lines.heads if is_ready(head[1])]
            # Requests on open routes belong to nobody and take no credit.
            if ready and name:
                waiting_by_name[name] = _credit_needed(lines, ready)
        return waiting_by_name

    def _collect_overdue(self, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            _, sequence, request_id = heapq.heappop(self._deadlines)
            place = self._places_by_id.get(request_id)
            if place is not None and place.key[1] == sequence:
                self._overdue.append(place.entry)
                self.remove(request_id)

    def _rebuild_deadlines(self) -> None:
        self._deadlines = [
            (place.entry.deadline, place.key[1], request_id)
            for request_id, place in self._places_by_id.items()
        ]
        heapq.heapify(self._deadlines)

    def _note_departure(self, now: float) -> None:
        elapsed = max(0, now - self._departed_at)
        decay = math.exp(-elapsed / _SMOOTHING)
        self._departures = self._departures * decay + 1
        self._departed_at = now

    def _retry_after(self, now: float) -> float:
        """Estimate when a tenth of the queue will have been served."""
        elapsed = max(0, now - self._departed_at)
        rate = self._departures * math.exp(-elapsed / _SMOOTHING) / _SMOOTHING
        if rate <= 0:
            return _LONGEST_RETRY
        seconds = len(self) / 10 / rate
        return min(_LONGEST_RETRY, max(_SHORTEST_RETRY, seconds))


def _insert(lines: _Lines, entry: QueuedRequest, key: _Key) -> None:
    line = lines.lines_by_deployment.setdefault(entry.deployment, _Line())
    if line.keys:
        _forget_head(lines, line.keys[0], entry.deployment)
    insort(line.keys, key)
    line.entries_by_key[key] = entry
    line.tokens += entry.tokens
    insort(lines.heads, (line.keys[0], entry.deployment))
    lines.length += 1
    lines.tokens += entry.tokens


def _delete(lines: _Lines, deployment: str, key: _Key) -> None:
    line = lines.lines_by_deployment[deployment]
    _forget_head(lines, line.keys[0], deployment)
    line.keys.pop(bisect_left(line.keys, key))
    tokens = line.entries_by_key.pop(key).tokens
    line.tokens -= tokens
    lines.tokens -= tokens
    lines.length -= 1
    if line.keys:
        insort(lines.heads, (line.keys[0], deployment))
    else:
        lines.lines_by_deployment.pop(deployment)


def _forget_head(lines: _Lines, key: _Key, deployment: str) -> None:
    lines.heads.pop(bisect_left(lines.heads, (key, deployment)))


def _first_startable(
    lines: _Lines,
    can_start: Callable[[QueuedRequest], bool],
) -> QueuedRequest | None:
    for key, deployment in lines.heads:
        entry = lines.lines_by_deployment[deployment].entries_by_key[key]
        if can_start(entry):
            return entry
    return None


def _credit_needed(
    lines: _Lines,
    heads: list[tuple[_Key, str]],
) -> WaitingTokens:
    key, deployment = heads[0]
    first = lines.lines_by_deployment[deployment].entries_by_key[key]
    total = sum(lines.lines_by_deployment[name].tokens for _, name in heads)
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
