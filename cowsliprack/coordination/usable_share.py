"""Fraction of its zone's shares that a leader may use, over time.

The fraction follows from the lease, from earlier leaders that may still run,
and from what they may have granted and lent. The fractions of all leaders of a
zone that run at the same time never sum to more than 1.
"""

import math

from cowsliprack.coordination.loans import (
    CLOCK_MARGIN_SECONDS,
    LOAN_EXPIRY_SECONDS,
    MAX_CLOCK_DRIFT,
)

# A leader without a lease continues for this time.
DEGRADED_SECONDS = 900.0
_HALF_SHARE = 0.5


class UsableShare:
    """Computes the usable fraction of the shares during one leadership.

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
        """Start with fraction 0 until earlier grants have expired."""
        self._drain = drain
        self._drained_at = now + drain
        self._loans_ended_at = now + LOAN_EXPIRY_SECONDS
        degraded = (
            DEGRADED_SECONDS * (1 + 2 * MAX_CLOCK_DRIFT) + CLOCK_MARGIN_SECONDS
        )
        self._sole_leader_at = now + drain + degraded
        self._lease_until = lease_until
        self._is_stopped = False
        if predecessor_stopped:
            self.predecessor_stopped(now)

    def predecessor_stopped(self, now: float) -> None:
        """Record that every earlier leader is known to have stopped.

        :param now: seconds.
        """
        self._sole_leader_at = min(self._sole_leader_at, now + self._drain)

    def renew(self, lease_until: float) -> None:
        """Record a renewed lease, which ends a degraded period.

        :param lease_until: new deadline. Only a conditional update of the
            own lease version shows that nobody else held it in between.
        """
        self._lease_until = lease_until

    def degrade(self, now: float) -> None:
        """Record that the lease has lapsed.

        :param now: seconds.
        """
        self._lease_until = min(self._lease_until, now)

    def step_down(self) -> None:
        """Use no fraction any more."""
        self._is_stopped = True

    def is_degraded(self, now: float) -> bool:
        """Return whether the lease has lapsed.

        :param now: seconds.
        """
        return now >= self._lease_until

    def fraction(self, now: float) -> float:
        """Return the fraction of the zone's shares that may be used.

        A leader that is limited to half because its predecessor may still run
        uses nothing without a lease: its successor gets that half.

        :param now: seconds.
        :returns: 0, one half or 1.
        """
        is_sole_leader = now >= max(self._sole_leader_at, self._loans_ended_at)
        if self._is_stopped or now < self._drained_at:
            return 0
        if not self.is_degraded(now):
            return 1 if is_sole_leader else _HALF_SHARE
        is_within_limit = now < self._lease_until + DEGRADED_SECONDS
        return _HALF_SHARE if is_sole_leader and is_within_limit else 0

    def lendable_fraction(self, now: float) -> float:
        """Return the fraction that may be lent in total.

        Loans must fit into the fraction that remains without a lease, because
        a successor does not know of them.

        :param now: seconds.
        """
        has_all = self.fraction(now) == 1
        return _HALF_SHARE if has_all else 0

    def expected_fractions(self, now: float) -> list[tuple[float, float]]:
        """Return when the fraction grows, provided the lease is renewed.

        :param now: seconds.
        :returns: times in seconds, each with the fraction from then on.
        """
        if self._is_stopped or self.is_degraded(now):
            return []
        sole_leader_at = max(self._sole_leader_at, self._loans_ended_at)
        fractions = ((self._drained_at, _HALF_SHARE), (sole_leader_at, 1))
        return [
            (moment, fraction) for moment, fraction in fractions if moment > now
        ]

    def change_times(self) -> tuple[float, ...]:
        """Return the times at which the fraction may change by itself."""
        return (
            self._drained_at,
            self._loans_ended_at,
            self._sole_leader_at,
            self._lease_until,
            self._lease_until + DEGRADED_SECONDS,
        )
