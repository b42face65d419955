"""Choice of the target for one request of a route.

Load reports lag, so the load of a target is what the leader last told of all
instances, corrected by what this instance has sent since. Targets that lately
failed or were slow are avoided for a while and tried again carefully.
"""

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from cowsliprack.protocol.gateway_messages import EngineUse
from cowsliprack.state.target_registry import TargetRecord

# Load by which a target in another zone counts as busier, in requests: the
# way there costs two milliseconds, much less than waiting for one request.
_OTHER_ZONE_LOAD = 0.5
# Seconds for which a target that failed is avoided: the first time, and at
# most after failures in a row.
_FIRST_AVOIDANCE = 0.5
_LONGEST_AVOIDANCE = 4.0
# Load that a target counts as carrying while it is avoided, in requests.
_AVOIDED_LOAD = 1000.0
# Seconds without a byte of any answer after which a target with requests
# under way is avoided; events of streams come many times a second.
SILENCE_SECONDS = 1.0
# Part by which one answer changes the average time of a target.
_SMOOTHING = 0.2
# A target counts as slow above this multiple of the median of its service.
_SLOW_FACTOR = 3.0
# Bonus of the target that has lately read the same prompt parts, in requests.
_AFFINITY_LOAD = 3.0
# Most prompts whose last target is remembered.
_MOST_PROMPTS = 4096


@dataclass(slots=True)
class TargetHealth:
    """What the answers of one target have shown.

    :param silent_since: since when requests are under way without a byte of
        an answer; ``None`` while there are none.
    :param failures: in a row.
    :param avoided_until: seconds.
    :param unreachable_since: since when connections fail; ``None`` while they
        do not.
    :param seconds: average time to the first byte; 0 before any.
    """

    silent_since: float | None = None
    failures: int = 0
    avoided_until: float = 0
    unreachable_since: float | None = None
    seconds: float = 0


@dataclass(slots=True)
class TargetSelector:
    """Load and health of targets as one instance knows them.

    :param zone: of this instance.
    :param own_by_id: requests of this instance under way.
    :param told_by_id: requests of all instances, from the leader.
    :param own_when_told_by_id: the own part of that.
    """

    zone: str
    rng: random.Random = field(default_factory=random.Random)
    own_by_id: Counter[str] = field(default_factory=Counter)
    reported_by_id: dict[str, int] = field(default_factory=dict)
    own_at_report_by_id: dict[str, int] = field(default_factory=dict)
    health_by_id: dict[str, TargetHealth] = field(default_factory=dict)
    started_by_model: Counter[str] = field(default_factory=Counter)
    _names_by_id: dict[str, Counter[str]] = field(default_factory=dict)
    _last_by_prompt: dict[str, str] = field(default_factory=dict)

    def choose(
        self,
        candidates: Iterable[TargetRecord],
        now: float,
        prompt: str = '',
    ) -> TargetRecord | None:
        """Return the target that should answer soonest.

        :param candidates: targets that can run the request.
        :param now: seconds.
        :param prompt: id of a prompt part that a target may have kept.
        :returns: ``None`` if connections to all of them failed lately.
        """
        found = [
            record
            for record in candidates
            if not self._is_unreachable(record.target_id, now)
        ]
        if not found:
            return None
        typical = self._typical_seconds(found)
        last = self._last_by_prompt.get(prompt, '') if prompt else ''
        best = min(
            found,
            key=lambda record: (
                (
                    self._load(record, typical, now)
                    - _AFFINITY_LOAD * (record.target_id == last)
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

        :param target_id: where to.
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

        :param target_id: where it was sent.
        :param model: empty for a plain service.
        :param adapter: empty for the model itself.
        """
        self.own_by_id[target_id] -= 1
        self._count(target_id, model, adapter, -1)
        health = self.health_by_id.get(target_id)
        if health is not None and not self.own_by_id[target_id]:
            health.silent_since = None

    def own_running(self, target_id: str, model: str) -> int:
        """Return the requests of this instance for a model on a target.

        :param target_id: of the target.
        :param model: its name.
        """
        counts = self._names_by_id.get(target_id)
        return counts[model] if counts else 0

    def record_bytes(self, target_id: str, now: float) -> None:
        """Note that bytes of an answer have come.

        :param target_id: that sent them.
        :param now: seconds.
        """
        health = self.health_by_id.get(target_id)
        if health is None:
            return
        health.unreachable_since = None
        if health.silent_since is not None:
            health.silent_since = now

    def silence(self, target_id: str, now: float) -> float:
        """Return for how many seconds a target has owed an answer.

        One that takes no connections owes it since the first that failed.

        :param target_id: of the target.
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
        """Return the requests of this instance under way, by engine.

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
            if self.own_by_id[target_id] or self._lacks_connection(target_id)
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
        """Note a good answer.

        :param target_id: that gave it.
        :param seconds: to its first byte.
        """
        health = self.health_by_id.setdefault(target_id, TargetHealth())
        health.failures = 0
        health.avoided_until = 0
        if health.seconds:
            seconds = health.seconds + _SMOOTHING * (seconds - health.seconds)
        health.seconds = seconds

    def record_failure(self, target_id: str, now: float) -> None:
        """Note a failure: a broken connection, no answer, or a bad one.

        :param target_id: that failed.
        :param now: seconds.
        """
        health = self.health_by_id.setdefault(target_id, TargetHealth())
        avoidance = min(
            _FIRST_AVOIDANCE * 2**health.failures,
            _LONGEST_AVOIDANCE,
        )
        health.failures = min(health.failures + 1, 8)
        # Jitter keeps instances from trying the target again all at once.
        health.avoided_until = now + avoidance * self.rng.uniform(0.8, 1.2)

    def record_unreachable(self, target_id: str, now: float) -> None:
        """Note that a target was not reached.

        :param target_id: that took no connection.
        :param now: seconds.
        """
        self.record_failure(target_id, now)
        health = self.health_by_id[target_id]
        if health.unreachable_since is None:
            health.unreachable_since = now

    def update_reported(self, running_by_id: dict[str, int]) -> None:
        """Take the running requests that the leader has told.

        :param running_by_id: of all instances, by target.
        """
        for target_id, running in running_by_id.items():
            self.reported_by_id[target_id] = running
            self.own_at_report_by_id[target_id] = self.own_by_id[target_id]

    def prune(self, known: Iterable[str]) -> None:
        """Drop what is remembered of targets that are gone.

        :param known: ids of targets that still exist.
        """
        # Requests that still run there are counted when they end.
        kept = set(known).union(+self.own_by_id)
        for memory in (
            self.own_by_id,
            self.reported_by_id,
            self.own_at_report_by_id,
            self.health_by_id,
            self._names_by_id,
        ):
            for target_id in set(memory) - kept:
                memory.pop(target_id, None)

    def running(self, target_id: str) -> float:
        """Return the estimated requests under way on a target.

        :param target_id: of the target.
        """
        own = self.own_by_id[target_id]
        told = self.reported_by_id.get(target_id)
        if told is None:
            return own
        return max(
            told + own - self.own_at_report_by_id.get(target_id, 0),
            own,
        )

    def _load(
        self,
        record: TargetRecord,
        typical: float,
        now: float,
    ) -> float:
        load = self.running(record.target_id) + self.rng.random()
        if record.zone != self.zone:
            load += _OTHER_ZONE_LOAD
        health = self.health_by_id.get(record.target_id)
        if health is None:
            return load
        if typical and health.seconds > typical * _SLOW_FACTOR:
            load = (load + 1) * health.seconds / typical
        is_silent = self.silence(record.target_id, now) > SILENCE_SECONDS
        if is_silent or now < health.avoided_until:
            load += _AVOIDED_LOAD
        return load

    def _is_unreachable(self, target_id: str, now: float) -> bool:
        # Once it need not be avoided any more, one request tries it again.
        return self._lacks_connection(target_id) and (
            now < self.health_by_id[target_id].avoided_until
        )

    def _lacks_connection(self, target_id: str) -> bool:
        health = self.health_by_id.get(target_id)
        return health is not None and health.unreachable_since is not None

    def _typical_seconds(self, records: list[TargetRecord]) -> float:
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
        if len(self._last_by_prompt) > _MOST_PROMPTS:
            self._last_by_prompt.pop(next(iter(self._last_by_prompt)))
