"""What an instance must remember between two terms as holder of a lease.

Holders must not take turns within one lease: an engine could get orders of one
instance, of another, and of the first one again. The lease object shows only
its last write, so each instance keeps to this on its own.
"""

from collections.abc import Callable

import structlog

from cowsliprack.coordination.lease_record import (
    NEVER,
    Candidate,
    LeaseObservation,
)

# Added to the duration of a lease: orders on their way when a term ends arrive
# after it; the leader gives up the longest ones after 0.3 s.
_ARRIVAL_SECONDS = 0.4

_log = structlog.get_logger('cowsliprack.lease')


def rest_seconds(duration: float) -> float:
    """Return how long an instance rests after a term, in seconds.

    :param duration: of the lease, seconds.
    """
    return duration + _ARRIVAL_SECONDS


def _always() -> bool:
    return True


class LeaseTerms:
    """The terms of one instance: when it ordered last, and when it may again.

    :param candidate: this instance.
    :param ordered_until: until when an earlier process of the instance may have
        ordered, seconds.
    :ivar others_rest: returns whether all other instances are of builds that
        rest between two terms.
    """

    def __init__(
        self,
        candidate: Candidate,
        ordered_until: float,
    ) -> None:
        """Start without a term of this process."""
        self.others_rest: Callable[[], bool] = _always
        self._candidate = candidate
        self._rest = rest_seconds(candidate.duration)
        # Last moment at which this instance could order.
        self._ordered_until = ordered_until
        self._duration = candidate.duration
        # When the last order that got no answer was written. Those of an
        # earlier process are not known.
        self._in_doubt_at = ordered_until
        self._acquired_at = NEVER
        # Deadline of the last term.
        self._deadline = NEVER
        self._logged_until = NEVER

    def begin(self, sent_at: float) -> None:
        """Record a new term.

        :param sent_at: own clock before the lease was requested, seconds.
        """
        self._acquired_at = sent_at

    def end(self, ordered_until: float, deadline: float) -> None:
        """Record the end of a term.

        :param ordered_until: own clock at the last moment at which this
            instance could order, seconds.
        :param deadline: of the lease, own clock, seconds.
        """
        self._ordered_until = max(self._ordered_until, ordered_until)
        self._deadline = deadline

    def leave_in_doubt(self, written_at: float) -> None:
        """Record an order without an answer.

        :param written_at: own clock as it was written, seconds.
        """
        self._in_doubt_at = max(self._in_doubt_at, written_at)

    def seconds_in_doubt(self, now: float) -> float:
        """Return how long the next leader must not order yet, in seconds.

        An engine that is held up reads an order when it goes on, maybe after
        those of the next leader, which therefore come one duration of the lease
        after the last order without an answer.

        :param now: own clock, seconds.
        """
        return max(self._in_doubt_at + self._duration - now, 0)

    def kept_until(self) -> float:
        """Return until when a term that ends early keeps the lease, in seconds.

        A holder of an earlier build that led before does not rest, so the lease
        is free no sooner than one duration after it was acquired.
        """
        return NEVER if self.others_rest() else self._acquired_at + self._rest

    def closed_until(self, held_until: float, now: float) -> float:
        """Return until when others leave the lease alone if the term ends now.

        :param held_until: deadline of the lease, if it is held, seconds.
        :param now: own clock, seconds.
        :returns: own clock, seconds; ``now`` if the lease is released at once.
        """
        is_kept = now < self.kept_until()
        return max(held_until, self._deadline) if is_kept else now

    def may_begin(
        self, observation: LeaseObservation, fencing: int, now: float
    ) -> bool:
        """Return whether a term may begin so soon after earlier ones.

        :param observation: the lease object, just found to be free.
        :param fencing: number of the last term of this process; 0 if none.
        :param now: own clock, seconds.
        """
        rests_until = self._ordered_until + self._rest
        if now >= rests_until or self._is_last_holder(observation, fencing):
            return True
        if self._logged_until != rests_until:
            self._logged_until = rests_until
            _log.info(
                'lease_rests',
                reason='another instance may have led since the last term of '
                'this one',
                seconds=round(rests_until - now, 3),
                fencing=fencing,
                highest_fencing=observation.highest_fencing,
            )
        return False

    def _is_last_holder(
        self, observation: LeaseObservation, fencing: int
    ) -> bool:
        """Return whether nobody else has led since the last term.

        Each write replaces the version read before it, so an object that this
        instance wrote shows that there was no other holder.
        """
        record = observation.record
        if record is None or observation.version is None:
            return False
        if observation.highest_fencing > record.fencing:
            return False
        if record.session == self._candidate.session:
            return True
        if fencing:
            # A release of this process names no holder.
            return record.fencing == fencing
        last_holder = record.holder or record.released_by
        return last_holder == self._candidate.instance_id
