"""Lease of a zone: one object in the platform store.

The fencing number stands in the body and grows with each change of holder;
a renewal keeps it. Time is the holder's own clock, which must keep running
while the process is suspended.
"""

import random
from enum import StrEnum, unique

from cowsliprack.coordination.lease_record import (
    NEVER,
    RENEWALS_PER_DURATION,
    Candidate,
    LeaseAction,
    LeaseBody,
    LeaseObservation,
    ReadLease,
    WriteLease,
)
from cowsliprack.protocol.store import StoredObject, new_attempt_id

# The holder stops this many seconds early, which covers different clock rates.
_CLOCK_MARGIN = 0.1
# Seconds for which a holder without the store continues as degraded leader.
DEGRADED_SECONDS = 900.0
_FIRST_BACKOFF_SECONDS = 0.5
_MAX_BACKOFF_SECONDS = 5.0
_MAX_DOUBLINGS = 8


@unique
class Role(StrEnum):
    """What an instance may do for its zone.

    ``lapsed`` holds the object but must not act until it has renewed it.
    """

    follower = 'follower'
    leader = 'leader'
    lapsed = 'lapsed'
    degraded = 'degraded'


class Lease:
    """State machine for the lease of one zone.

    At most one action is outstanding; the caller carries it out and reports
    exactly one result (``on_read``, ``on_written``, ``on_conflict`` or
    ``on_no_answer``) before it takes the next from ``tick``.

    :param duration: seconds for which one renewal holds.
    :param source: randomness of the backoff.
    """

    def __init__(
        self,
        zone: str,
        instance_id: str,
        address: str,
        duration: float,
        source: random.Random,
    ) -> None:
        """Start as a follower that knows nothing."""
        self.key = f'leases/{zone}'
        self.fencing = 0
        self.observation = LeaseObservation(duration)
        # Until then an earlier holder may still act as degraded leader.
        self.predecessor_until = NEVER
        self.predecessor: LeaseBody | None = None
        self._self = Candidate(instance_id, address, duration, new_attempt_id())
        self._source = source
        # ``None`` while the lease is not held.
        self._deadline: float | None = None
        self._silent_store = False
        self._failures = 0
        self._next_at = NEVER
        self._pending: LeaseAction | None = None
        # Attempts without an answer, with the time before they were sent.
        self._sent_at_by_attempt: dict[str, float] = {}
        self._must_read = True
        self._released = False
        # The object is still to be freed.
        self._releasing = False

    def role(self, now: float) -> Role:
        """Return what this instance may do.

        :param now: own clock, seconds.
        """
        if self._deadline is None:
            return Role.follower
        if now < self._deadline:
            return Role.leader
        within = now < self._deadline + DEGRADED_SECONDS
        if self._silent_store and within:
            return Role.degraded
        return Role.lapsed

    def is_leader(self, now: float) -> bool:
        """Return whether the lease is held and has not lapsed.

        :param now: own clock, seconds.
        """
        return self.role(now) is Role.leader

    def held_until(self) -> float:
        """Return the deadline of the lease on the own clock, seconds."""
        return NEVER if self._deadline is None else self._deadline

    def may_order(self, now: float, *, checks_fencing: bool) -> bool:
        """Return whether an order may be sent at this moment.

        :param now: own clock, read immediately before the order.
        :param checks_fencing: whether the target refuses stale numbers.
        """
        role = self.role(now)
        if role is Role.degraded:
            return checks_fencing
        return role is Role.leader

    def observe_heartbeat(self, fencing: int, now: float) -> None:
        """Note a heartbeat of an instance that holds the lease.

        :param fencing: its fencing number.
        :param now: own clock, seconds.
        """
        self.observe_fencing(fencing)
        self.observation.observe_heartbeat(fencing, now)

    def observe_term(
        self,
        fencing: int,
        version: int | None,
        left: float,
        now: float,
    ) -> None:
        """Note what an instance that holds the lease says of its term.

        :param fencing: its fencing number.
        :param version: of the object that it last wrote.
        :param left: seconds for which it goes on; zero when it has stopped.
        :param now: own clock, seconds.
        """
        if fencing < self.observation.highest_fencing:
            return
        self.observe_heartbeat(fencing, now)
        self.observation.observe_term(version, left, now)

    def observe_fencing(self, fencing: int) -> None:
        """Note a fencing number; a higher one than the own ends the lease.

        :param fencing: seen in a message, a report or an answer.
        """
        self.observation.observe_fencing(fencing)
        if self._deadline is not None and fencing > self.fencing:
            self._step_down()

    def tick(
        self,
        now: float,
        *,
        competes: bool = True,
    ) -> LeaseAction | None:
        """Return the next store operation, if one is due.

        :param now: own clock, seconds.
        :param competes: whether to take a lease that is free.
        """
        held_until = self._deadline
        if held_until is not None and now >= held_until + DEGRADED_SECONDS:
            self._step_down()
        if self._pending is not None or now < self._next_at:
            return None
        if self._released:
            return self._next_release(now)
        due = now >= self.observation.read_due(now)
        if not self._must_read and self._deadline is not None:
            return self._write(self.fencing, now)
        if (
            competes
            and not self._must_read
            and self.observation.may_acquire(
                self._self.instance_id,
                now,
            )
        ):
            return self._acquire(now)
        if self._must_read or due:
            self._pending = ReadLease(self.key)
            return self._pending
        return None

    def release(self, now: float) -> WriteLease | None:
        """Stop leading at once; return the write that frees the lease.

        While a renewal is under way ``None`` is returned, and ``tick`` returns
        the write once that has been answered; also after a write that failed.

        :param now: own clock, seconds.
        """
        self._releasing = self._deadline is not None
        self._released = True
        self._step_down()
        if not self._releasing or self._pending is not None:
            return None
        return self._write(self.fencing, now, releases=True)

    def on_read(self, stored: StoredObject | None, now: float) -> None:
        """Take the answer to a read.

        :param stored: the object or ``None`` when there is none.
        :param now: own clock after the answer arrived.
        """
        self._answered()
        self._must_read = False
        self._next_at = now
        body = self.observation.observe_object(stored, now)
        sent_at = self._sent_at_by_attempt.get(body.attempt)
        self._sent_at_by_attempt.clear()
        if sent_at is not None:
            self._hold(body, sent_at)
            return
        same = body.session == self._self.session
        if not (same and body.fencing == self.fencing):
            self._deadline = None

    def on_written(self, stored: StoredObject, now: float) -> None:
        """Take the answer to a write that won.

        :param stored: the object as written.
        :param now: own clock after the answer arrived.
        """
        write = self._pending
        self._answered()
        body = self.observation.observe_object(stored, now)
        self._sent_at_by_attempt.clear()
        if isinstance(write, WriteLease) and write.releases:
            self._releasing = False
        elif isinstance(write, WriteLease):
            self._hold(body, write.sent_at)
            renewal = self._self.duration / RENEWALS_PER_DURATION
            self._next_at = write.sent_at + renewal
        if self._releasing:
            self._next_at = now

    def on_conflict(self, now: float) -> None:
        """Take the answer that another version was found.

        An earlier attempt of this process may have won; a read decides.

        :param now: own clock, seconds.
        """
        self._answered()
        self._must_read = True
        self._next_at = now

    def on_no_answer(self, now: float) -> None:
        """Take the lack of an answer; a write may have taken effect.

        :param now: own clock, seconds.
        """
        write = self._pending
        if isinstance(write, WriteLease) and not write.releases:
            self._sent_at_by_attempt[write.attempt] = write.sent_at
        self._pending = None
        self._silent_store = True
        self._must_read = True
        ceiling = _FIRST_BACKOFF_SECONDS * 2**self._failures
        ceiling = min(_MAX_BACKOFF_SECONDS, ceiling)
        self._failures = min(self._failures + 1, _MAX_DOUBLINGS)
        self._next_at = now + self._source.uniform(0, ceiling)

    def _next_release(self, now: float) -> LeaseAction | None:
        """Return what is still to be done to free the object, if anything."""
        if not self._releasing:
            return None
        if self._must_read:
            self._pending = ReadLease(self.key)
            return self._pending
        record = self.observation.record
        if record is None or record.session != self._self.session:
            self._releasing = False
            return None
        return self._write(self.fencing, now, releases=True)

    def _answered(self) -> None:
        self._pending = None
        self._failures = 0
        self._silent_store = False

    def _hold(self, body: LeaseBody, sent_at: float) -> None:
        superseded = body.fencing < self.observation.highest_fencing
        if superseded or self._released:
            return
        self.fencing = body.fencing
        self._deadline = sent_at + self._self.duration - _CLOCK_MARGIN

    def _step_down(self) -> None:
        self._deadline = None
        self._must_read = True

    def _acquire(self, now: float) -> WriteLease:
        record = self.observation.record or LeaseBody()
        may_act = record.predecessor_seconds
        self._note_predecessor(record, now)
        if record.holder and record.session != self._self.session:
            may_act = DEGRADED_SECONDS
        # The own process does not act for an earlier term. What it knew of
        # older holders may be newer than the record.
        self.predecessor_until = max(self.predecessor_until, now + may_act)
        return self._write(self.observation.next_fencing(), now)

    def _note_predecessor(self, record: LeaseBody, now: float) -> None:
        is_other = record.holder and record.session != self._self.session
        # With more than one earlier holder, what one address shows says
        # nothing of the others.
        is_only = (
            record.predecessor_seconds <= 0 and self.predecessor_until <= now
        )
        self.predecessor = record if is_other and is_only else None

    def on_predecessor_stopped(self, now: float) -> None:
        """Note that every earlier holder is known to have stopped.

        :param now: seconds.
        """
        self.predecessor_until = min(self.predecessor_until, now)
        self.predecessor = None

    def _write(
        self,
        fencing: int,
        now: float,
        *,
        releases: bool = False,
    ) -> WriteLease:
        remaining = max(0, self.predecessor_until - now)
        body = self._self.body(fencing, remaining)
        if releases:
            body.update(holder='', session='', address='')
        action = WriteLease(
            self.key,
            body,
            self.observation.version,
            str(body['attempt']),
            now,
            releases,
        )
        self._pending = action
        return action
