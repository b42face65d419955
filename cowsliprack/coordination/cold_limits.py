"""Request rates of cold targets, and an instance's share of each.

A cold target takes few requests a second from all instances together and
crashes at a rate well above that. Load that this answers: a zone is taken back
after an evacuation, its targets are the least loaded ones, and all instances
send to them at the same moment.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from cowsliprack.coordination.demand_rates import DemandRates
from cowsliprack.protocol.overload_messages import ColdShare, ColdUse

# Age of the leader's division from which limits are divided evenly.
_SHARE_LIFETIME_SECONDS = 5.0


@dataclass(slots=True)
class ColdLimit:
    """Limit of one cold target.

    :param rate: requests per second from all instances together.
    :param until: when the target stops to be cold, seconds.
    :param share: requests per second that the leader has granted; ``None`` if
        it has not divided this limit.
    """

    rate: float
    until: float
    share: float | None = None


@dataclass(slots=True)
class ColdLimits:
    """Limits of the cold targets that one instance knows.

    :param limit_by_id: those that have not ended when they were last read.
    """

    limit_by_id: dict[str, ColdLimit] = field(default_factory=dict)
    _divided_at: float = -math.inf

    def record(
        self, target_id: str, rate: float, seconds_left: float, now: float
    ) -> bool:
        """Record that a target is cold.

        What several sources say differs by the age of their readings; the
        latest end holds.

        :param target_id: id of the target.
        :param rate: requests per second that it takes; 0 for no limit.
        :param seconds_left: time for which it stays cold.
        :param now: seconds.
        :returns: whether this was not known.
        """
        if rate <= 0 or seconds_left <= 0:
            return False
        until = now + seconds_left
        known = self._current(target_id, now)
        if known is None:
            self.limit_by_id[target_id] = ColdLimit(rate, until)
            return True
        known.rate = rate
        known.until = max(known.until, until)
        return False

    def rate(self, target_id: str, now: float) -> float:
        """Return the limit of a target, requests per second; ``inf`` for none.

        :param target_id: id of the target.
        :param now: seconds.
        """
        limit = self._current(target_id, now)
        return math.inf if limit is None else limit.rate

    def share(self, target_id: str, instances: int, now: float) -> float:
        """Return the requests per second of this instance; ``inf`` for any.

        :param target_id: id of the target.
        :param instances: that may send to the target.
        :param now: seconds.
        """
        limit = self._current(target_id, now)
        if limit is None:
            return math.inf
        is_divided = now - self._divided_at <= _SHARE_LIFETIME_SECONDS
        if is_divided and limit.share is not None:
            return limit.share
        return limit.rate / max(instances, 1)

    def apply_division(self, shares: Iterable[ColdShare], now: float) -> None:
        """Apply the leader's division of all limits that it knows.

        :param shares: shares of this instance.
        :param now: seconds.
        """
        self._divided_at = now
        for share in shares:
            self.record(share.target_id, share.rate, share.seconds_left, now)
            limit = self._current(share.target_id, now)
            if limit is not None:
                limit.share = share.share

    def uses(self, wanted: DemandRates, now: float) -> tuple[ColdUse, ...]:
        """Return what the leader needs in order to divide the limits.

        :param wanted: own requests per second, by target.
        :param now: seconds.
        """
        self.limit_by_id = {
            target_id: limit
            for target_id, limit in self.limit_by_id.items()
            if limit.until > now
        }
        return tuple(
            ColdUse(
                target_id,
                limit.rate,
                limit.until - now,
                wanted.rate(target_id, now),
                limit.share or 0,
            )
            for target_id, limit in self.limit_by_id.items()
        )

    def count(self, now: float) -> int:
        """Return the number of cold targets.

        :param now: seconds.
        """
        return sum(limit.until > now for limit in self.limit_by_id.values())

    def prune(self, known: Iterable[str]) -> None:
        """Remove the limits of targets that no longer exist.

        :param known: ids of existing targets.
        """
        for target_id in set(self.limit_by_id).difference(known):
            self.limit_by_id.pop(target_id)

    def _current(self, target_id: str, now: float) -> ColdLimit | None:
        limit = self.limit_by_id.get(target_id)
        return limit if limit is not None and limit.until > now else None
