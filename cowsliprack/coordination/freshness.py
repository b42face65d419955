"""Staleness bounds for the current configuration.

A revoked key must stop working within a time limit, also on an instance that
is partitioned from the store. A request with a key therefore requires a proof,
younger than the limit, that the configuration was the latest one.
"""

from dataclasses import dataclass

from cowsliprack.protocol.gateway_messages import LeaderView

# Tolerance for clock rounding between instances, seconds.
_MARGIN_SECONDS = 0.3
# Time after the store's return from a copy within which the operator and the
# targets have written again what is lost, as the platform states for entries of
# targets that lapsed while the store was away.
REWRITE_SECONDS = 2.0
NEVER = float('-inf')


def relayed_proof(view: LeaderView, generation: int) -> float | None:
    """Return when a leader's reading showed the configuration in force here.

    A leader that lacks this configuration may have read a store that came back
    from an older copy.

    :param view: of the leader.
    :param generation: of the configuration in force.
    :returns: seconds on the local clock; ``None`` if it is no proof.
    """
    if view.proof_offset is None or view.generation != generation:
        return None
    return view.stamp + view.proof_offset


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


@dataclass(slots=True)
class StoreHistory:
    """Whether readings of the store show every confirmed configuration.

    A store that has come back from a copy lacks the newest ones until the
    operator has written them again.

    :param era: of the last reading.
    :param returned_at: when a reading first showed a return, seconds.
    :param generation: of the configuration in the store.
    :param is_complete: whether it shows every confirmed configuration.
    """

    era: int | None = None
    returned_at: float = NEVER
    generation: int = 0
    is_complete: bool = True

    def record(self, era: int, generation: int | None, now: float) -> bool:
        """Record a reading; return whether it shows a return of the store.

        :param era: era of the store.
        :param generation: of the configuration that was read; ``None`` if it
            has not changed.
        :param now: seconds.
        """
        is_return = self.era is not None and era > self.era
        if is_return:
            self.returned_at = now
            self.is_complete = False
        self.era = era
        if generation is not None:
            self.generation = generation
        return is_return

    def proves_latest(self, in_force: int, now: float) -> bool:
        """Return whether a reading proves which configuration is the latest.

        Once a store is complete, it stays so until its next return.

        :param in_force: generation of the configuration in force.
        :param now: time at which the reading was answered, seconds.
        """
        if not self.is_complete:
            is_settled = now >= self.returned_at + REWRITE_SECONDS
            self.is_complete = is_settled and self.generation >= in_force
        return self.is_complete
