"""Request rates that targets in need have named, and an instance's share.

A limit holds for all instances together. The leader divides it by what each
instance has lately wanted to send; without the leader it is divided evenly.
"""

import math
import random
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field

from cowsliprack.coordination.cold_limits import ColdLimits
from cowsliprack.coordination.demand_rates import DemandRates
from cowsliprack.protocol.gateway_messages import LimitShare, LimitUse
from cowsliprack.protocol.overload_messages import ColdShare, ColdUse

# A limit that no answer has confirmed for this time no longer holds; a target
# that gets requests at its limit confirms it within seconds.
_LIMIT_LIFETIME_SECONDS = 60.0
# Time after the last statement for which a target with a limit is avoided. One
# that gets no requests cannot say that its limit has ended, so that after this
# time it gets them again, within the limit.
AVOIDED_SECONDS = 10.0
# Age of the leader's division from which limits are divided evenly. A leader's
# lease lapses at about the same time.
_SHARE_LIFETIME_SECONDS = 5.0
# Time on the way of a statement that comes through the leader; less exact than
# an own one, so that an echo of an older statement does not replace it.
_RELAY_SECONDS = 0.05
# Smallest share that an instance gets; with less, its callers would give up
# before their turn, so that a small limit goes to few instances.
_MIN_SHARE_PER_SECOND = 0.25
# Advantage of instances that have a share over others, so that shares do not
# move with every small change of demand.
_HOLDER_WEIGHT = 2
# Requests that a share which was not used may send at once, in seconds of the
# share; at least one request.
_SAVED_SECONDS = 0.25
# Time without a request from which an instance does not keep what it has saved
# for a cold target. Many instances could send theirs in the same second.
_COLD_IDLE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """What a target last said of its limit.

    :param rate: requests per second from all instances; ``inf`` for none.
    :param stated_at: when an answer said so, seconds.
    """

    rate: float
    stated_at: float


@dataclass(slots=True)
class _Allowed:
    """Requests that may be sent to one target now.

    :param requests: saved up; a request may be sent from 1 on.
    """

    updated_at: float
    requests: float = 0

    def refill(self, share: float, now: float) -> None:
        """Add the requests of the time since the last call.

        An instance without a share keeps nothing: what many instances have
        saved could be sent at the same time.
        """
        most = max(share * _SAVED_SECONDS, 1) if share else 0
        added = max(now - self.updated_at, 0) * share
        self.requests = min(self.requests + added, most)
        self.updated_at = now


@dataclass(slots=True)
class TargetLimits:
    """Limits of targets as one instance knows and observes them.

    :param instances: number of instances among which the leader divides.
    :param waiting_by_id: own requests that wait for their turn at a target.
    :param wanted: own requests per second, by target.
    :param cold: limits of cold targets, which hold beside the stated ones.
    """

    instances: int = 1
    cold: ColdLimits = field(default_factory=ColdLimits)
    rng: random.Random = field(default_factory=random.Random)
    stated_by_id: dict[str, StatedLimit] = field(default_factory=dict)
    waiting_by_id: Counter[str] = field(default_factory=Counter)
    wanted: DemandRates = field(default_factory=DemandRates)
    _share_by_id: dict[str, float] = field(default_factory=dict)
    _divided_at: float = -math.inf
    _allowed_by_id: dict[str, _Allowed] = field(default_factory=dict)

    def record_answer(
        self,
        target_id: str,
        rate: float | None,
        now: float,
    ) -> bool:
        """Record what an answer says; return whether the limit has changed.

        :param target_id: id of the target.
        :param rate: requests per second; ``None`` if the answer names none.
        :param now: seconds.
        """
        if rate is None and target_id not in self.stated_by_id:
            return False
        before = self.rate(target_id, now)
        stated = StatedLimit(math.inf if rate is None else rate, now)
        self.stated_by_id[target_id] = stated
        return stated.rate != before

    def apply_division(
        self,
        shares: Iterable[LimitShare],
        instances: int,
        now: float,
    ) -> None:
        """Apply the leader's division of all limits that it knows.

        :param shares: shares of this instance.
        :param instances: number of instances of the region.
        :param now: seconds.
        """
        self.instances = instances
        self._divided_at = now
        self._share_by_id = {}
        for share in shares:
            self._share_by_id[share.target_id] = share.share
            rate = math.inf if share.rate is None else share.rate
            stated = StatedLimit(rate, now - share.age - _RELAY_SECONDS)
            known = self.stated_by_id.get(share.target_id)
            if known is None or known.stated_at < stated.stated_at:
                self.stated_by_id[share.target_id] = stated

    def uses(self, now: float) -> tuple[LimitUse, ...]:
        """Return what the leader needs in order to divide the limits.

        :param now: seconds.
        """
        self._expire(now)
        return tuple(
            LimitUse(
                target_id,
                None if math.isinf(stated.rate) else stated.rate,
                now - stated.stated_at,
                self.wanted.rate(target_id, now),
                self._share_by_id.get(target_id, 0),
            )
            for target_id, stated in self.stated_by_id.items()
        )

    def rate(self, target_id: str, now: float) -> float:
        """Return the limit of a target, requests per second; ``inf`` for none.

        :param target_id: id of the target.
        :param now: seconds.
        """
        return min(
            self._stated_rate(target_id, now), self.cold.rate(target_id, now)
        )

    def has_any(self) -> bool:
        """Return whether any target has lately had a limit."""
        return bool(self.stated_by_id or self.cold.limit_by_id)

    def limited(self, target_ids: Iterable[str], now: float) -> list[str]:
        """Return the targets that have a limit.

        :param target_ids: ids of targets.
        :param now: seconds.
        """
        return [
            target_id
            for target_id in target_ids
            if math.isfinite(self.rate(target_id, now))
        ]

    def is_avoided(self, target_id: str, now: float) -> bool:
        """Return whether requests should go to other targets if they can.

        :param target_id: id of the target.
        :param now: seconds.
        """
        if math.isinf(self._stated_rate(target_id, now)):
            return False
        return now - self.stated_by_id[target_id].stated_at < AVOIDED_SECONDS

    def seconds_until_free(self, target_id: str, now: float) -> float:
        """Return when a request may be sent; 0 for now, ``inf`` for unknown.

        :param target_id: id of the target.
        :param now: seconds.
        """
        share = self._share(target_id, now)
        if math.isinf(share):
            return 0
        missing = 1 - self._refilled(target_id, share, now).requests
        if missing <= 0:
            return 0
        return missing / share if share else math.inf

    def seconds_of_queue(self, target_ids: list[str], now: float) -> float:
        """Return how long one more request would wait for its turn.

        :param target_ids: limited targets that could run it.
        :param now: seconds.
        """
        return min(
            self._seconds_of_turn(target_id, now) for target_id in target_ids
        )

    def take(self, target_id: str, now: float) -> None:
        """Count a request that is about to be sent.

        :param target_id: id of the target.
        :param now: seconds.
        """
        share = self._share(target_id, now)
        if math.isfinite(share):
            self._refilled(target_id, share, now).requests -= 1

    def want(self, target_ids: Iterable[str], now: float) -> None:
        """Count a request that some limited targets could run.

        :param target_ids: ids of these targets.
        :param now: seconds.
        """
        for target_id in target_ids:
            self.wanted.add(target_id, 1, now)

    @contextmanager
    def waiting(self, target_ids: list[str]) -> Iterator[None]:
        """Count a request as waiting for the duration of the context.

        :param target_ids: limited targets that could run it.
        """
        self.waiting_by_id.update(target_ids)
        try:
            yield
        finally:
            self.waiting_by_id.subtract(target_ids)

    def prune(self, known: Iterable[str]) -> None:
        """Remove the state of targets that no longer exist.

        :param known: ids of existing targets.
        """
        kept = set(known)
        for target_id in set(self.stated_by_id).difference(kept):
            self._forget(target_id)
        self.cold.prune(kept)

    def _stated_rate(self, target_id: str, now: float) -> float:
        stated = self.stated_by_id.get(target_id)
        if stated is None or now - stated.stated_at > _LIMIT_LIFETIME_SECONDS:
            return math.inf
        return stated.rate

    def _share(self, target_id: str, now: float) -> float:
        """Return the requests per second of this instance, ``inf`` for any."""
        return min(
            self._stated_share(target_id, now),
            self.cold.share(target_id, self.instances, now),
        )

    def _stated_share(self, target_id: str, now: float) -> float:
        rate = self._stated_rate(target_id, now)
        if math.isinf(rate):
            return rate
        even_share = rate / max(self.instances, 1)
        if now - self._divided_at > _SHARE_LIFETIME_SECONDS:
            return even_share
        return self._share_by_id.get(target_id, even_share)

    def _seconds_of_turn(self, target_id: str, now: float) -> float:
        share = self._share(target_id, now)
        saved = self._refilled(target_id, share, now).requests
        missing = self.waiting_by_id[target_id] + 1 - saved
        # The leader may be about to grant a share; then it is seldom smaller.
        expected = share or self.rate(target_id, now) / max(self.instances, 1)
        return missing / expected if expected else math.inf

    def _refilled(self, target_id: str, share: float, now: float) -> _Allowed:
        allowed = self._allowed_by_id.get(target_id)
        is_cold = math.isfinite(self.cold.rate(target_id, now))
        if is_cold and (
            allowed is None or now - allowed.updated_at > _COLD_IDLE_SECONDS
        ):
            # With equal shares, the first requests of all instances would
            # arrive at the same moment.
            allowed = _Allowed(now, self.rng.random())
        elif allowed is None:
            allowed = _Allowed(now)
        self._allowed_by_id[target_id] = allowed
        allowed.refill(share, now)
        return allowed

    def _expire(self, now: float) -> None:
        for target_id, stated in list(self.stated_by_id.items()):
            if now - stated.stated_at > _LIMIT_LIFETIME_SECONDS:
                self._forget(target_id)

    def _forget(self, target_id: str) -> None:
        self.stated_by_id.pop(target_id)
        self._allowed_by_id.pop(target_id, None)
        self.wanted.forget(target_id)


@dataclass(frozen=True, slots=True)
class ReportedUses:
    """Limits and demand in the last report of one instance.

    :param age: seconds since the report arrived.
    :param cold: cold targets and demand.
    """

    instance_id: str
    uses: tuple[LimitUse, ...]
    age: float
    cold: tuple[ColdUse, ...] = ()


def newest_limits(reports: Iterable[ReportedUses]) -> dict[str, LimitUse]:
    """Return the latest statement of each target.

    :param reports: of all instances.
    """
    newest: dict[str, LimitUse] = {}
    for report in reports:
        for use in report.uses:
            stated = LimitUse(use.target_id, use.rate, use.age + report.age)
            known = newest.get(use.target_id)
            if known is None or stated.age < known.age:
                newest[use.target_id] = stated
    return newest


def divide_limits(
    instance_id: str,
    reports: list[ReportedUses],
) -> tuple[LimitShare, ...]:
    """Return the shares of one instance of all limits.

    :param instance_id: id of the instance.
    :param reports: of all instances.
    """
    uses_by_instance = {one.instance_id: one.uses for one in reports}
    return tuple(
        LimitShare(
            target_id,
            stated.rate,
            _share_of(
                instance_id,
                stated.rate or 0,
                target_id,
                uses_by_instance,
            ),
            stated.age,
        )
        for target_id, stated in newest_limits(reports).items()
    )


def divide_cold_limits(
    instance_id: str,
    reports: list[ReportedUses],
    instances: int,
) -> tuple[ColdShare, ...]:
    """Return the shares of one instance of the limits of cold targets.

    Instances that do not know yet that a target is cold, or are cut off, have
    an even share, so that the sum of all shares never exceeds the limit.

    :param instance_id: id of the instance.
    :param reports: of all instances.
    :param instances: number of instances, including those that are cut off.
    """
    shares = []
    for target_id, cold in _coldest(reports).items():
        uses_by_instance = {
            report.instance_id: report.cold
            for report in reports
            if any(use.target_id == target_id for use in report.cold)
        }
        even_share = cold.rate / max(instances, 1)
        share = even_share
        if instance_id in uses_by_instance:
            divided = min(even_share * len(uses_by_instance), cold.rate)
            share = _share_of(instance_id, divided, target_id, uses_by_instance)
        shares.append(ColdShare(target_id, cold.rate, cold.seconds_left, share))
    return tuple(shares)


def _coldest(reports: Iterable[ReportedUses]) -> dict[str, ColdUse]:
    """Return the latest end that any instance states for each cold target."""
    coldest: dict[str, ColdUse] = {}
    for report in reports:
        for use in report.cold:
            left = use.seconds_left - report.age
            known = coldest.get(use.target_id)
            if left > 0 and (known is None or known.seconds_left < left):
                coldest[use.target_id] = ColdUse(use.target_id, use.rate, left)
    return coldest


def _share_of(
    instance_id: str,
    rate: float,
    target_id: str,
    uses_by_instance: Mapping[str, Iterable[LimitUse | ColdUse]],
) -> float:
    """Return the part of a limit for one instance, requests per second."""
    wanted_by_id = {}
    weight_by_id = {}
    for holder_id, uses in uses_by_instance.items():
        for use in uses:
            if use.target_id == target_id and use.wanted:
                weight = _HOLDER_WEIGHT if use.share else 1
                wanted_by_id[holder_id] = use.wanted
                weight_by_id[holder_id] = use.wanted * weight
    most = max(int(rate / _MIN_SHARE_PER_SECOND), 1)
    holders = sorted(weight_by_id, key=weight_by_id.__getitem__)[-most:]
    if instance_id not in holders:
        return 0
    total = sum(wanted_by_id[holder] for holder in holders)
    return rate * wanted_by_id[instance_id] / total
