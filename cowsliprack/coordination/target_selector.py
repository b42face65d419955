"""Selects the target for a request of a route.

Load reports lag, so the load of a target is estimated as the last total from
the leader, corrected by the requests that this instance has started or ended
since. Targets that failed recently are avoided with exponential backoff; slow
or silent ones are penalised.
"""

import math
import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from cowsliprack.coordination.request_outcomes import RequestOutcomes
from cowsliprack.coordination.target_limits import TargetLimits
from cowsliprack.coordination.target_pace import TargetPaces
from cowsliprack.coordination.target_pauses import TargetPauses
from cowsliprack.protocol.gateway_messages import EngineUse
from cowsliprack.state.target_registry import TargetRecord

# Load added to targets in other zones, in requests. The network round trip
# takes two milliseconds, much less than waiting for one request.
_OTHER_ZONE_LOAD_PENALTY = 0.5
# Backoff after a failure, in seconds: the first, and the maximum after
# consecutive failures.
_INITIAL_BACKOFF_SECONDS = 0.5
_MAX_BACKOFF_SECONDS = 4.0
# Load added to a target that has named a limit, in requests: its turns are left
# to requests that no other target can run, until another one is so busy that
# its model gets a further replica.
_LIMITED_LOAD_PENALTY = 28.0
# Load added to a target while it is avoided, in requests.
_AVOIDED_LOAD_PENALTY = 1000.0
# Seconds without a response byte after which a target with running requests is
# avoided; streams send events many times a second.
SILENCE_SECONDS = 1.0
# Weight of a new sample in the average response time of a target.
_SMOOTHING = 0.2
# A target is slow above this multiple of the median time of the candidates.
_SLOW_FACTOR = 3.0
# Load subtracted for the target that last ran the same prompt prefix, in
# requests.
_AFFINITY_LOAD_BONUS = 3.0
# Maximum number of prompts whose last target is remembered.
_MAX_PROMPTS = 4096


@dataclass(slots=True)
class TargetHealth:
    """Health of one target as seen from its responses.

    :param silent_since: start of the time without a response byte while
        requests are running; ``None`` while there are none.
    :param failures: number of consecutive failures.
    :param avoided_until: end of the backoff, seconds.
    :param unreachable_since: when connections started to fail; ``None`` while
        they succeed.
    :param seconds: average time to first byte; 0 before the first response.
    :param answered_at: time of the last response byte, seconds.
    """

    silent_since: float | None = None
    failures: int = 0
    avoided_until: float = 0
    unreachable_since: float | None = None
    seconds: float = 0
    answered_at: float = float('-inf')


@dataclass(slots=True)
class TargetSelector:
    """Selects targets by load and health as this instance observes them.

    :param zone: zone of this instance.
    :param own_by_id: running requests of this instance.
    :param reported_by_id: running requests of all instances, as reported by the
        leader.
    :param own_at_report_by_id: running requests of this instance at the time
        of that report.
    :param started_by_model: number of requests ever started.
    :param limits: request rates that targets have named.
    :param pauses: times in which targets want no requests.
    :param paces: how many requests targets should run at a time.
    :param outcomes: late and paused requests by model.
    """

    zone: str
    rng: random.Random = field(default_factory=random.Random)
    own_by_id: Counter[str] = field(default_factory=Counter)
    reported_by_id: dict[str, int] = field(default_factory=dict)
    own_at_report_by_id: dict[str, int] = field(default_factory=dict)
    health_by_id: dict[str, TargetHealth] = field(default_factory=dict)
    started_by_model: Counter[str] = field(default_factory=Counter)
    limits: TargetLimits = field(default_factory=TargetLimits)
    pauses: TargetPauses = field(default_factory=TargetPauses)
    paces: TargetPaces = field(default_factory=TargetPaces)
    outcomes: RequestOutcomes = field(default_factory=RequestOutcomes)
    _names_by_id: dict[str, Counter[str]] = field(default_factory=dict)
    _last_by_prompt: dict[str, str] = field(default_factory=dict)

    def choose(
        self,
        candidates: Iterable[TargetRecord],
        now: float,
        prompt: str = '',
    ) -> TargetRecord | None:
        """Return the target that is expected to respond first.

        :param candidates: targets that can run the request.
        :param now: seconds.
        :param prompt: id of a prompt prefix that a target may have cached.
        :returns: ``None`` if all of them are unreachable.
        """
        reachable = [
            record
            for record in candidates
            if not self.is_unreachable(record.target_id, now)
        ]
        if not reachable:
            return None
        median_seconds = self._median_seconds(reachable)
        last = self._last_by_prompt.get(prompt, '') if prompt else ''
        best = min(
            reachable,
            key=lambda record: (
                (
                    self._load(record, median_seconds, now)
                    - _AFFINITY_LOAD_BONUS * (record.target_id == last)
                )
                / max(record.slots, 1)
            ),
        )
        if prompt:
            self._remember(prompt, best.target_id)
        return best

    def start(
        self,
        target_id: str,
        model: str,
        adapter: str,
        now: float,
    ) -> None:
        """Count a request that is about to be sent.

        :param target_id: id of the target.
        :param model: empty for a plain service.
        :param adapter: empty for the model itself.
        :param now: seconds.
        """
        self.own_by_id[target_id] += 1
        health = self.health_by_id.setdefault(target_id, TargetHealth())
        if health.silent_since is None:
            health.silent_since = now
        self._count(target_id, model, adapter, 1)
        if model:
            self.started_by_model[model] += 1

    def end(self, target_id: str, model: str, adapter: str) -> None:
        """Count the end of a request.

        :param target_id: id of the target.
        :param model: empty for a plain service.
        :param adapter: empty for the model itself.
        """
        self.own_by_id[target_id] -= 1
        self._count(target_id, model, adapter, -1)
        health = self.health_by_id.get(target_id)
        if health is not None and not self.own_by_id[target_id]:
            health.silent_since = None

    def own_running(self, target_id: str, model: str) -> int:
        """Return the running requests of this instance for a model.

        :param target_id: id of the target.
        :param model: its name.
        """
        counts = self._names_by_id.get(target_id)
        return counts[model] if counts else 0

    def record_bytes(
        self, target_id: str, now: float, sent_at: float = math.inf
    ) -> None:
        """Record that bytes of a response have arrived.

        :param target_id: id of the target.
        :param now: seconds.
        :param sent_at: when the request was sent, seconds. Old connections may
            live on while new ones fail, so bytes of an earlier request do not
            show that the target can be reached again.
        """
        health = self.health_by_id.get(target_id)
        if health is None:
            return
        health.answered_at = now
        lost_at = health.unreachable_since
        if lost_at is not None and sent_at > lost_at:
            health.unreachable_since = None
        if health.silent_since is not None:
            health.silent_since = now

    def silence(self, target_id: str, now: float) -> float:
        """Return how long a target has not responded, in seconds.

        For an unreachable target the time starts at the first failed
        connection.

        :param target_id: id of the target.
        :param now: seconds.
        """
        health = self.health_by_id.get(target_id)
        if health is None:
            return 0
        waiting = (health.silent_since, health.unreachable_since)
        return max(
            (now - since for since in waiting if since is not None), default=0
        )

    def engine_uses(self, now: float) -> tuple[EngineUse, ...]:
        """Return the running requests of this instance by engine.

        :param now: seconds.
        """
        return tuple(
            EngineUse(
                target_id,
                self.own_by_id[target_id],
                {name: number for name, number in counts.items() if number},
                self.silence(target_id, now),
            )
            for target_id, counts in self._names_by_id.items()
            if self.own_by_id[target_id] or self.is_disconnected(target_id)
        )

    def _count(
        self,
        target_id: str,
        model: str,
        adapter: str,
        change: int,
    ) -> None:
        if not model:
            return
        counts = self._names_by_id.setdefault(target_id, Counter())
        counts[model] += change
        if adapter:
            counts[f'{model}/{adapter}'] += change

    def record_success(self, target_id: str, seconds: float) -> None:
        """Record a successful response.

        :param target_id: id of the target.
        :param seconds: time to first byte.
        """
        health = self.health_by_id.setdefault(target_id, TargetHealth())
        health.failures = 0
        health.avoided_until = 0
        if health.seconds:
            seconds = health.seconds + _SMOOTHING * (seconds - health.seconds)
        health.seconds = seconds

    def record_failure(self, target_id: str, now: float) -> None:
        """Record a broken connection, a missing or an invalid response.

        :param target_id: id of the target.
        :param now: seconds.
        """
        health = self.health_by_id.setdefault(target_id, TargetHealth())
        backoff = min(
            _INITIAL_BACKOFF_SECONDS * 2**health.failures,
            _MAX_BACKOFF_SECONDS,
        )
        health.failures = min(health.failures + 1, 8)
        # Jitter prevents all instances from retrying at the same time.
        health.avoided_until = now + backoff * self.rng.uniform(0.8, 1.2)

    def record_unreachable(self, target_id: str, now: float) -> None:
        """Record that the connection to a target failed.

        :param target_id: id of the target.
        :param now: seconds.
        """
        self.record_failure(target_id, now)
        health = self.health_by_id[target_id]
        if health.unreachable_since is None:
            health.unreachable_since = now

    def record_reached(self, target_id: str) -> None:
        """Record that a check of the target was answered.

        :param target_id: id of the target.
        """
        health = self.health_by_id.get(target_id)
        if health is not None and health.unreachable_since is not None:
            health.unreachable_since = None
            health.avoided_until = 0
            health.failures = 0

    def record_answered_elsewhere(self, target_id: str) -> None:
        """Record that a target has just answered another instance in time.

        It is not avoided any more for requests of this instance that failed;
        connections that fail from here still are.

        :param target_id: id of the target.
        """
        health = self.health_by_id.get(target_id)
        if health is not None and health.unreachable_since is None:
            health.avoided_until = 0

    def has_answered_since(self, target_id: str, since: float) -> bool:
        """Return whether bytes of a response have arrived since a time.

        :param target_id: id of the target.
        :param since: seconds.
        """
        health = self.health_by_id.get(target_id)
        return health is not None and health.answered_at >= since

    def has_failed(self, target_id: str, now: float) -> bool:
        """Return whether a target is avoided because a request to it failed.

        :param target_id: id of the target.
        :param now: seconds.
        """
        health = self.health_by_id.get(target_id)
        return health is not None and now < health.avoided_until

    def is_disconnected(self, target_id: str) -> bool:
        """Return whether connections to a target fail.

        :param target_id: id of the target.
        """
        health = self.health_by_id.get(target_id)
        return health is not None and health.unreachable_since is not None

    def update_reported(self, running_by_id: dict[str, int]) -> None:
        """Apply the numbers of running requests reported by the leader.

        :param running_by_id: running requests of all instances, by target.
        """
        for target_id, running in running_by_id.items():
            self.reported_by_id[target_id] = running
            self.own_at_report_by_id[target_id] = self.own_by_id[target_id]

    def prune(self, known: Iterable[str]) -> None:
        """Remove the state of targets that no longer exist.

        :param known: ids of existing targets.
        """
        # Requests that still run on a removed target decrement its count when
        # they end.
        kept = set(known).union(+self.own_by_id)
        self.limits.prune(kept)
        self.pauses.prune(kept)
        self.paces.prune(kept)
        for state_by_id in (
            self.own_by_id,
            self.reported_by_id,
            self.own_at_report_by_id,
            self.health_by_id,
            self._names_by_id,
        ):
            for target_id in set(state_by_id) - kept:
                state_by_id.pop(target_id, None)

    def running(self, target_id: str, others_share: float = 1) -> float:
        """Return the estimated number of running requests on a target.

        :param target_id: id of the target.
        :param others_share: part of the requests of other instances, as
            reported, that are taken to run still.
        """
        own = self.own_by_id[target_id]
        told = self.reported_by_id.get(target_id)
        if told is None:
            return own
        others = told - self.own_at_report_by_id.get(target_id, 0)
        return own + max(others, 0) * others_share

    def is_avoided(self, target_id: str, now: float) -> bool:
        """Return whether a target has failed lately or does not respond.

        :param target_id: id of the target.
        :param now: seconds.
        """
        is_silent = self.silence(target_id, now) > SILENCE_SECONDS
        return is_silent or self.has_failed(target_id, now)

    def is_unreachable(self, target_id: str, now: float) -> bool:
        """Return whether connections to a target fail and it is not retried.

        :param target_id: id of the target.
        :param now: seconds.
        """
        # When the backoff ends, the next request tries it again.
        return self.is_disconnected(target_id) and (
            now < self.health_by_id[target_id].avoided_until
        )

    def _load(
        self,
        record: TargetRecord,
        median_seconds: float,
        now: float,
    ) -> float:
        load = self.running(record.target_id) + self.rng.random()
        if record.zone != self.zone:
            load += _OTHER_ZONE_LOAD_PENALTY
        if self.limits.is_avoided(record.target_id, now):
            load += _LIMITED_LOAD_PENALTY
        health = self.health_by_id.get(record.target_id)
        if health is None:
            return load
        if median_seconds and health.seconds > median_seconds * _SLOW_FACTOR:
            load = (load + 1) * health.seconds / median_seconds
        if self.is_avoided(record.target_id, now):
            load += _AVOIDED_LOAD_PENALTY
        return load

    def _median_seconds(self, records: list[TargetRecord]) -> float:
        known = sorted(
            health.seconds
            for record in records
            if (health := self.health_by_id.get(record.target_id))
            and health.seconds
        )
        return known[(len(known) - 1) // 2] if known else 0

    def _remember(self, prompt: str, target_id: str) -> None:
        self._last_by_prompt.pop(prompt, None)
        self._last_by_prompt[prompt] = target_id
        if len(self._last_by_prompt) > _MAX_PROMPTS:
            self._last_by_prompt.pop(next(iter(self._last_by_prompt)))
