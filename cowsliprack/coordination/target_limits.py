"""Request rates that targets in need have named in their answers."""

import math
from dataclasses import dataclass, field

# A limit that no answer has confirmed for this time no longer holds; a target
# that gets requests at its limit confirms it within seconds.
_LIMIT_LIFETIME_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """What a target last said of its limit.

    :param rate: requests per second from all instances; ``inf`` for none.
    :param stated_at: when an answer said so, seconds.
    """

    rate: float
    stated_at: float


@dataclass(slots=True)
class TargetLimits:
    """Limits that targets have named to one instance."""

    stated_by_id: dict[str, StatedLimit] = field(default_factory=dict)

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

    def rate(self, target_id: str, now: float) -> float:
        """Return the limit of a target, requests per second; ``inf`` for none.

        :param target_id: id of the target.
        :param now: seconds.
        """
        stated = self.stated_by_id.get(target_id)
        if stated is None or now - stated.stated_at > _LIMIT_LIFETIME_SECONDS:
            return math.inf
        return stated.rate
