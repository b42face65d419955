"""Staleness bounds for the current configuration.

A revoked key must stop working within a time limit, also on an instance that
is partitioned from the store. A request with a key therefore requires a proof,
younger than the limit, that the configuration was the latest one.
"""

from dataclasses import dataclass

# Tolerance for clock rounding between instances, seconds.
_MARGIN_SECONDS = 0.3
NEVER = float('-inf')


@dataclass(slots=True)
class RelayedReading:
    """Age of the last store reading that the leader relayed to this instance.

    :param max_age: age above which the instance reads the store itself,
        seconds; leaves time for that reading within the limit for changes.
    :param proved_at: time of the leader's last reading, seconds.
    """

    max_age: float
    proved_at: float = NEVER

    def prove(self, proved_at: float) -> None:
        """Record a reading of the leader.

        :param proved_at: time of the reading on the local clock, seconds.
        """
        self.proved_at = max(self.proved_at, proved_at)

    def is_expired(self, now: float) -> bool:
        """Return whether the instance must read the store itself.

        :param now: seconds.
        """
        return now - self.proved_at > self.max_age


@dataclass(slots=True)
class Freshness:
    """Age of the proof that no newer configuration existed.

    :param limit: seconds after which a revoked key must have stopped working.
    :param proved_at: when the reading that proved it was requested, seconds, on
        a clock that continues during suspension.
    """

    limit: float
    proved_at: float = NEVER

    def prove(self, asked_at: float) -> None:
        """Record a reading that showed no newer configuration.

        :param asked_at: time before the reading was requested, seconds.
        """
        self.proved_at = max(self.proved_at, asked_at)

    def age(self, now: float) -> float:
        """Return the age of the proof in seconds.

        :param now: seconds.
        """
        return now - self.proved_at

    def is_fresh(self, now: float) -> bool:
        """Return whether requests with a key are allowed.

        :param now: seconds.
        """
        return self.age(now) < self.limit - _MARGIN_SECONDS
