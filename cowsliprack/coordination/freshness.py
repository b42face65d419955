"""How recently the configuration in force was known to be the latest.

A withdrawn key must stop working within a bound also on an instance that is
cut off, so a request with a key needs a proof that is younger than the bound.
"""

from dataclasses import dataclass

# Covers the rounding of clocks between instances, seconds.
_MARGIN_SECONDS = 0.3
NEVER = float('-inf')


@dataclass(slots=True)
class RelayedReading:
    """Age of what the leader has read from the store for this instance.

    :param longest: seconds after which the instance reads the store itself;
        with its own reading it must keep the bound for changes.
    :param proved_at: time that the leader's last reading proves.
    """

    longest: float
    proved_at: float = NEVER

    def prove(self, proved_at: float) -> None:
        """Take a reading of the leader.

        :param proved_at: time that it proves, on the own clock, seconds.
        """
        self.proved_at = max(self.proved_at, proved_at)

    def is_old(self, now: float) -> bool:
        """Return whether the instance must read the store itself.

        :param now: seconds.
        """
        return now - self.proved_at > self.longest


@dataclass(slots=True)
class Freshness:
    """Age of the proof that no newer configuration existed.

    :param limit: seconds after which a withdrawn key must have stopped.
    :param proved_at: time at which the reading that proved it was asked for,
        on a clock that goes on during suspension.
    """

    limit: float
    proved_at: float = NEVER

    def prove(self, asked_at: float) -> None:
        """Take a reading that showed no newer configuration.

        :param asked_at: time before the reading was sent, seconds.
        """
        self.proved_at = max(self.proved_at, asked_at)

    def age(self, now: float) -> float:
        """Return the age of the proof in seconds.

        :param now: seconds.
        """
        return now - self.proved_at

    def is_fresh(self, now: float) -> bool:
        """Return whether requests with a key may run.

        :param now: seconds.
        """
        return self.age(now) < self.limit - _MARGIN_SECONDS
