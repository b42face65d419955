"""Decides when an idle replica is unloaded although its memory is not needed.

The rule compares the cost of keeping the replica with the cost of the cold
start after an unload, from the policy's weights and the usage history.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from cowsliprack.coordination.weekly import WeeklyUsage
from cowsliprack.state.configuration import Deployment, Policy

_NEVER = float('-inf')
# Gaps between uses are counted in buckets of doubling width, from 1 second to
# 12 days.
_BUCKET_COUNT = 20
# With fewer recorded gaps the configured idle time decides.
_MIN_GAPS = 2.5
# Older gaps count less, so that the histogram follows changing usage.
_GAP_DECAY = 0.98
# Total weight of a uniform prior over the buckets.
_PRIOR_WEIGHT = 1.0
# The estimate shortens or lengthens the configured idle time by at most this
# factor, which bounds the effect of a wrong estimate.
_MAX_IDLE_TIME_FACTOR = 10.0
# Assumed, because no measured value exists.
_REFUSED_COLD_START_FRACTION = 0.1
_HOUR_SECONDS = 3600.0


def _empty_weights() -> list[float]:
    return [float(0) for _ in range(_BUCKET_COUNT)]


@dataclass(slots=True)
class GapHistogram:
    """Decaying histogram of the gaps between uses of one deployment.

    :param weights: decayed number of gaps in each bucket.
    """

    weights: list[float] = field(default_factory=_empty_weights)

    def add(self, gap: float) -> None:
        """Count a gap.

        :param gap: seconds; gaps below 1 second count as continuous use.
        """
        if gap < 1:
            return
        self.weights = [weight * _GAP_DECAY for weight in self.weights]
        bucket = min(_BUCKET_COUNT - 1, int(gap).bit_length() - 1)
        self.weights[bucket] += 1

    def total(self) -> float:
        """Return the decayed number of gaps."""
        return sum(self.weights)

    def expected_cost(
        self, idle: float, keep_seconds: float, costs: 'Costs'
    ) -> float:
        """Return the expected cost of keeping a replica for some time.

        :param idle: seconds since the last use.
        :param keep_seconds: time from now after which it would be unloaded.
        :param costs: costs of the deployment.
        """
        total = float(0)
        cost = float(0)
        for bucket, counted in enumerate(self.weights):
            shortest = 2.0**bucket
            longest = 2 * shortest
            if longest <= idle:
                continue
            start = max(shortest, idle) - idle
            end = longest - idle
            # Within a bucket all lengths are equally likely.
            weight = counted + _PRIOR_WEIGHT / _BUCKET_COUNT
            weight *= (end - start) / shortest
            total += weight
            cost += weight * _cost_of_gap_between(
                start, end, keep_seconds, costs
            )
        return cost / total if total else costs.cold_start


@dataclass(frozen=True, slots=True)
class Costs:
    """Costs that the decision compares.

    :param idle: cost per second of an idle replica.
    :param cold_start: cost of the cold start that follows an unload.
    """

    idle: float
    cold_start: float


def _cost_of_gap_between(
    start: float,
    end: float,
    keep_seconds: float,
    costs: Costs,
) -> float:
    """Return the expected cost if the next use is between two times."""
    unloaded = keep_seconds * costs.idle + costs.cold_start
    if keep_seconds <= start:
        return unloaded
    last = min(keep_seconds, end)
    served = (last - start) / (end - start)
    kept = (start + last) / 2 * costs.idle
    return served * kept + (1 - served) * unloaded


def idle_costs(
    deployment: Deployment, policy: Policy, accelerators: float
) -> Costs:
    """Return the costs of an idle replica and of a cold start.

    :param deployment: the deployment.
    :param policy: weights of the questionnaire.
    :param accelerators: accelerators that the replica occupies, in proportion
        to its memory.
    """
    refusal = policy.refusal_weight * _REFUSED_COLD_START_FRACTION
    per_second = policy.cold_start_weight + refusal
    return Costs(
        policy.idle_weight * accelerators,
        per_second * deployment.load_seconds,
    )


@dataclass(frozen=True, slots=True)
class IdleReplica:
    """A replica without waiting requests.

    :param idle: seconds since its last use.
    :param gaps: ``None`` when no gap has been recorded.
    :param probability: fraction of weeks with a use in the present hour.
    """

    deployment: Deployment
    idle: float
    costs: Costs
    gaps: GapHistogram | None = None
    probability: float = 0


IdleRule = Callable[[IdleReplica], bool]


def has_idle_time_passed(replica: IdleReplica) -> bool:
    """Return whether the configured idle time has passed.

    :param replica: without waiting requests.
    """
    return replica.idle >= replica.deployment.idle_seconds


def is_unload_cheaper(replica: IdleReplica) -> bool:
    """Return whether an unload costs less than keeping the replica.

    :param replica: without waiting requests.
    """
    configured = replica.deployment.idle_seconds
    if replica.idle < configured / _MAX_IDLE_TIME_FACTOR:
        return False
    if replica.idle >= configured * _MAX_IDLE_TIME_FACTOR:
        return True
    costs = replica.costs
    if replica.probability * costs.cold_start > costs.idle * _HOUR_SECONDS / 2:
        return False
    gaps = replica.gaps
    if gaps is None or gaps.total() < _MIN_GAPS:
        return has_idle_time_passed(replica)
    keeping = min(
        gaps.expected_cost(replica.idle, 2.0**bucket, costs)
        for bucket in range(_BUCKET_COUNT)
    )
    return keeping >= costs.cold_start


class UsageHistory:
    """Usage history of each deployment: last use, gaps and weekly pattern."""

    def __init__(self) -> None:
        """Start with an empty history."""
        self.weekly = WeeklyUsage()
        self._last_used_by_deployment: dict[str, float] = {}
        self._gaps_by_deployment: dict[str, GapHistogram] = {}

    def record_use(self, deployment: str, now: float) -> None:
        """Record that requests were served or are waiting.

        :param deployment: name of the deployment.
        :param now: seconds.
        """
        last = self._last_used_by_deployment.get(deployment)
        self._last_used_by_deployment[deployment] = now
        self.weekly.record_use(deployment)
        if last is not None and now - last >= 1:
            gaps = self._gaps_by_deployment.setdefault(
                deployment, GapHistogram()
            )
            gaps.add(now - last)

    def last_used(self, deployment: str) -> float:
        """Return the time of the last use, seconds.

        :param deployment: name of the deployment.
        """
        return self._last_used_by_deployment.get(deployment, _NEVER)

    def idle_replica(
        self,
        deployment: Deployment,
        idle: float,
        costs: Costs,
    ) -> IdleReplica:
        """Return a replica with its usage history, as input of an idle rule.

        :param deployment: the deployment.
        :param idle: seconds since it was loaded or used.
        :param costs: costs of the deployment.
        """
        return IdleReplica(
            deployment,
            idle,
            costs,
            self._gaps_by_deployment.get(deployment.name),
            self.weekly.probability(deployment.name),
        )

    def dump(self) -> dict[str, object]:
        """Return the history to store, limited to the size of one object."""
        kept = self.weekly.most_used()
        gaps = {
            name: [round(weight, 2) for weight in record.weights]
            for name, record in self._gaps_by_deployment.items()
            if name in kept
        }
        return {'weekly': self.weekly.dump(kept), 'gaps': gaps}

    def load(self, body: Mapping[str, object]) -> None:
        """Add a stored history for deployments without a history.

        :param body: as returned by ``dump``.
        """
        gaps = body.get('gaps', {})
        weekly = body.get('weekly', {})
        if isinstance(weekly, dict):
            self.weekly.load(weekly)
        if not isinstance(gaps, dict):
            return
        for name, weights in gaps.items():
            if len(weights) == _BUCKET_COUNT:
                record = GapHistogram([float(weight) for weight in weights])
                self._gaps_by_deployment.setdefault(name, record)
