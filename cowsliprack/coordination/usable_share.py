"""Which part of its zone's shares a leader may use, over time.

The part follows from the lease, from earlier leaders that may still run, and
from what they may have granted and lent. The parts of all leaders of a zone
that run at once never exceed the whole.
"""

import math

from cowsliprack.coordination.loans import (
    CLOCK_MARGIN_SECONDS,
    LOAN_EXPIRY_SECONDS,
    MAX_CLOCK_DRIFT,
)

# A leader without a lease continues for this time, seconds.
DEGRADED_SECONDS = 900.0
_HALF = 0.5


class UsableShare:
    """Time of one leader in office.

    :param now: seconds, on a clock that runs during suspension.
    :param drain: seconds until what an earlier leader granted has expired.
    :param predecessor_stopped: whether every earlier leader of the zone is
        known to have stopped, not only the last one.
    :param lease_until: deadline of the lease.
    """

    def __init__(
        self,
        now: float,
        drain: float,
        *,
        predecessor_stopped: bool = False,
        lease_until: float = math.inf,
    ) -> None:
        """Start without a part until earlier grants have expired."""
        self._drain = drain
        self._drained_at = now + drain
        self._loans_ended_at = now + LOAN_EXPIRY_SECONDS
        degraded = (
            DEGRADED_SECONDS * (1 + 2 * MAX_CLOCK_DRIFT) + CLOCK_MARGIN_SECONDS
        )
        self._alone_at = now + drain + degraded
        self._lease_until = lease_until
        self._is_stopped = False
        if predecessor_stopped:
            self.predecessor_stopped(now)

    def predecessor_stopped(self, now: float) -> None:
        """Note that every earlier leader is known to have stopped.

        :param now: seconds.
        """
        self._alone_at = min(self._alone_at, now + self._drain)

    def renew(self, lease_until: float) -> None:
        """Note that the lease was renewed, which ends a degraded period.

        :param lease_until: new deadline. Only a conditional update of the
            own lease version shows that nobody else held it in between.
        """
        self._lease_until = lease_until

    def degrade(self, now: float) -> None:
        """Note that the lease has lapsed.

        :param now: seconds.
        """
        self._lease_until = min(self._lease_until, now)

    def step_down(self) -> None:
        """Use nothing any more."""
        self._is_stopped = True

    def is_degraded(self, now: float) -> bool:
        """Return whether the lease has lapsed.

        :param now: seconds.
        """
        return now >= self._lease_until

    def part(self, now: float) -> float:
        """Return the part of the zone's shares that may be used.

        A leader that is at half because of its predecessor uses nothing
        without a lease: its successor gets the half that it had.

        :param now: seconds.
        :returns: 0, one half or 1.
        """
        is_alone = now >= max(self._alone_at, self._loans_ended_at)
        if self._is_stopped or now < self._drained_at:
            return 0
        if not self.is_degraded(now):
            return 1 if is_alone else _HALF
        is_in_time = now < self._lease_until + DEGRADED_SECONDS
        return _HALF if is_alone and is_in_time else 0

    def lendable_part(self, now: float) -> float:
        """Return the part that may be lent in all.

        What is lent must fit into the part that remains without a lease,
        because a successor does not know of it.

        :param now: seconds.
        """
        has_all = self.part(now) == 1
        return _HALF if has_all else 0

    def expected_parts(self, now: float) -> list[tuple[float, float]]:
        """Return when the part will grow, as long as the lease is renewed.

        :param now: seconds.
        :returns: times in seconds with the part from then on.
        """
        if self._is_stopped or self.is_degraded(now):
            return []
        alone_at = max(self._alone_at, self._loans_ended_at)
        parts = ((self._drained_at, _HALF), (alone_at, 1))
        return [(moment, part) for moment, part in parts if moment > now]

    def changes(self) -> tuple[float, ...]:
        """Return the times at which the part may change by itself."""
        return (
            self._drained_at,
            self._loans_ended_at,
            self._alone_at,
            self._lease_until,
            self._lease_until + DEGRADED_SECONDS,
        )
