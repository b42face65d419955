"""Leader election of a zone by a lease: one object in the platform store.

The fencing number is part of the body and grows with each change of holder;
a renewal keeps it. Times are those of the holder's own clock, which must keep
running while the process is suspended.
"""

import random
from collections.abc import Callable
from enum import StrEnum, unique

import structlog

from cowsliprack.coordination.known_weight_store import WeightStoreRecord
from cowsliprack.coordination.lease_record import (
    NEVER,
    RENEWALS_PER_DURATION,
    Candidate,
    LeaseAction,
    LeaseBody,
    LeaseMembers,
    LeaseObservation,
    ReadLease,
    VersionAges,
    WriteLease,
)
from cowsliprack.coordination.lease_terms import LeaseTerms
from cowsliprack.protocol.store import StoredObject, new_attempt_id
from cowsliprack.state.store_version import era_of

# The holder stops this much earlier, which allows for clock drift.
_CLOCK_MARGIN_SECONDS = 0.1
# Time for which a holder that cannot reach the store continues as degraded
# leader.
DEGRADED_SECONDS = 900.0
_FIRST_BACKOFF_SECONDS = 0.5
_MAX_BACKOFF_SECONDS = 5.0
_MAX_BACKOFF_DOUBLINGS = 8

_log = structlog.get_logger('cowsliprack.lease')


@unique
class Role(StrEnum):
    """Role of an instance in its zone.

    With ``lapsed``, the lease has expired: the holder must not act until it
    has renewed it. With ``degraded``, it has expired while the store does not
    answer: the holder orders only targets that check fencing numbers.
    """

    follower = 'follower'
    leader = 'leader'
    lapsed = 'lapsed'
    degraded = 'degraded'


class Lease:
    """State machine for the lease of one zone.

    At most one action is pending; the caller performs it and reports
    exactly one result (``on_read``, ``on_written``, ``on_conflict`` or
    ``on_no_answer``) before it takes the next from ``tick``.

    :param duration: seconds for which a renewal is valid.
    :param rng: randomness of the backoff.
    :param started_at: when the process started, on the own clock, seconds.
    :param first_start: whether no process of the system ran before.
    :param version_ages: returns what each write says of software versions, see
        ``LeaseBody``; empty if it is not known.
    :ivar members: returns the instances of the region for each write.
    :ivar weight_store: returns what is known of the weight store likewise.
    """

    def __init__(
        self,
        zone: str,
        instance_id: str,
        address: str,
        duration: float,
        rng: random.Random,
        *,
        started_at: float,
        first_start: bool = True,
        version_ages: Callable[[], VersionAges] = dict,
    ) -> None:
        """Start as a follower that has not read the lease."""
        self.key = f'leases/{zone}'
        self.fencing = 0
        self.observation = LeaseObservation(duration, first_start=first_start)
        # Time until which an earlier holder may act as degraded leader.
        self.predecessor_until = NEVER
        self.predecessor: LeaseBody | None = None
        # Object that the last attempt to acquire the lease replaces.
        self.replaced = LeaseBody()
        self._candidate = Candidate(
            instance_id, address, duration, new_attempt_id()
        )
        # At a first start no earlier process of this instance has ordered.
        self.terms = LeaseTerms(
            self._candidate, NEVER if first_start else started_at
        )
        self._rng = rng
        self._first_start = first_start
        self._version_ages = version_ages
        self.members: Callable[[], LeaseMembers] = LeaseMembers
        self.weight_store: Callable[[], WeightStoreRecord] = WeightStoreRecord
        # ``None`` while the lease is not held.
        self._deadline: float | None = None
        # Era of the store in which this instance last wrote the lease.
        self._written_era = 0
        self._store_unavailable = False
        self._failures = 0
        self._next_action_at = NEVER
        self._pending_action: LeaseAction | None = None
        # Writes whose result is unknown, with the time before they were sent.
        self._sent_at_by_attempt: dict[str, float] = {}
        self._must_read = True
        self._released = False
        # The release has not yet been written, and is not due before then.
        self._releasing = False
        self._kept_until = NEVER

    def role(self, now: float) -> Role:
        """Return the role of this instance.

        :param now: own clock, seconds.
        """
        if self._deadline is None:
            return Role.follower
        if now < self._deadline:
            return Role.leader
        may_degrade = now < self._deadline + DEGRADED_SECONDS
        if self._store_unavailable and may_degrade:
            return Role.degraded
        return Role.lapsed

    def is_leader(self, now: float) -> bool:
        """Return whether the lease is held and has not lapsed.

        :param now: own clock, seconds.
        """
        return self.role(now) is Role.leader

    def is_engaged(self) -> bool:
        """Return whether it is held, or its release is not completed."""
        return self._deadline is not None or self._releasing

    def held_until(self) -> float:
        """Return the deadline of the lease on the own clock in seconds."""
        return NEVER if self._deadline is None else self._deadline

    def may_order(self, now: float, *, checks_fencing: bool) -> bool:
        """Return whether an order may be sent now.

        :param now: own clock, read immediately before the order.
        :param checks_fencing: whether the target rejects stale numbers.
        """
        role = self.role(now)
        if role is Role.degraded:
            return checks_fencing
        return role is Role.leader

    def inherited(self) -> tuple[str, VersionAges] | None:
        """Return what another process has left of software versions.

        :returns: id of its write and the ages as of then; empty if no process
            of the system ran before. ``None`` if nothing is known.
        """
        record = self.observation.record
        if record is None or record.session == self._candidate.session:
            return None
        if record.version_ages is not None:
            return record.attempt, record.version_ages
        has_no_record = self.observation.version is None
        return ('', {}) if has_no_record and self._first_start else None

    def observe_heartbeat(self, fencing: int, now: float) -> None:
        """Record a heartbeat of an instance that holds the lease.

        :param fencing: its fencing number.
        :param now: own clock, seconds.
        """
        self.observe_fencing(fencing, now)
        self.observation.observe_heartbeat(fencing, now)

    def observe_term(
        self,
        fencing: int,
        version: int | None,
        remaining: float,
        now: float,
    ) -> None:
        """Record the remaining term that the holder announces.

        :param fencing: its fencing number.
        :param version: of the object that it last wrote.
        :param remaining: seconds until it stops; zero if it has stopped.
        :param now: own clock, seconds.
        """
        if fencing < self.observation.highest_fencing:
            return
        self.observe_heartbeat(fencing, now)
        self.observation.observe_term(version, remaining, now)

    def observe_fencing(self, fencing: int, now: float) -> None:
        """Record a fencing number; one above the own ends the lease.

        :param fencing: seen in a message, a report or an answer.
        :param now: own clock, seconds.
        """
        self.observation.observe_fencing(fencing)
        if self._deadline is not None and fencing > self.fencing:
            self._step_down(now)

    def tick(
        self,
        now: float,
        *,
        competes: bool = True,
    ) -> LeaseAction | None:
        """Return the next store operation, if one is due.

        :param now: own clock, seconds.
        :param competes: whether to acquire the lease if it is free.
        """
        held_until = self._deadline
        if held_until is not None and now >= held_until + DEGRADED_SECONDS:
            self._step_down(now)
        if self._pending_action is not None or now < self._next_action_at:
            return None
        if self._released:
            return self._next_release_action(now)
        is_read_due = now >= self.observation.read_due(now)
        if not self._must_read and self._deadline is not None:
            return self._write(self.fencing, now)
        if (
            competes
            and not self._must_read
            and self.observation.may_acquire(
                self._candidate.instance_id,
                now,
            )
            and self.terms.may_begin(self.observation, self.fencing, now)
        ):
            return self._acquire(now)
        if self._must_read or is_read_due:
            self._pending_action = ReadLease(self.key)
            return self._pending_action
        return None

    def release(self, now: float) -> WriteLease | None:
        """Stop leading at once; return the write that releases the lease.

        While a renewal is pending, ``None`` is returned and ``tick`` returns
        the write once the renewal was answered. A failed write is repeated.
        The write is due no sooner than ``LeaseTerms.kept_until``.

        :param now: own clock, seconds.
        """
        self._released = True
        if self._deadline is None:
            return None
        self._releasing = True
        self._step_down(now)
        self._kept_until = self.terms.kept_until()
        if now < self._kept_until:
            _log.info(
                'lease_kept',
                reason='an instance of an earlier build does not rest',
                seconds=round(self._kept_until - now, 3),
                fencing=self.fencing,
            )
            return None
        if self._pending_action is not None:
            return None
        return self._write(self.fencing, now, releases=True)

    def resume(self) -> None:
        """Compete again once a release is completed."""
        if not self._releasing:
            self._released = False

    def on_read(
        self, stored: StoredObject | None, now: float, era: int = 0
    ) -> None:
        """Process the result of a read.

        :param stored: the object; ``None`` if it does not exist.
        :param now: own clock after the answer arrived.
        :param era: of the store.
        """
        self._on_answer(now)
        self._must_read = False
        self._next_action_at = now
        body = self.observation.observe_object(stored, now, era)
        if self._deadline is not None and era > self._written_era:
            self._keep_after_return(body, now)
            return
        sent_at = self._sent_at_by_attempt.get(body.attempt)
        self._sent_at_by_attempt.clear()
        if sent_at is not None:
            self._written_era = era
            self._extend_lease(body, sent_at)
            return
        is_own = body.session == self._candidate.session
        if not (is_own and body.fencing == self.fencing):
            self._step_down(now)

    def on_written(self, stored: StoredObject, now: float) -> None:
        """Process the result of a successful write.

        :param stored: the object as written.
        :param now: own clock after the answer arrived.
        """
        write = self._pending_action
        self._on_answer(now)
        era = era_of(stored.version)
        # The store came back between the last read and this write.
        is_returned = self.observation.era not in {None, era}
        is_held = self.role(now) is Role.leader
        self._written_era = era
        body = self.observation.observe_object(stored, now, era)
        self._sent_at_by_attempt.clear()
        if isinstance(write, WriteLease) and write.releases:
            self._releasing = False
        elif is_returned and not is_held:
            self._step_down(now)
            self._must_read = True
        elif isinstance(write, WriteLease):
            self._extend_lease(body, write.sent_at)
            renewal = self._candidate.duration / RENEWALS_PER_DURATION
            self._next_action_at = write.sent_at + renewal
        if self._releasing:
            self._next_action_at = now

    def on_conflict(self, now: float) -> None:
        """Process a write that was rejected because of another version.

        An earlier attempt of this process may have succeeded, so the object is
        read again.

        :param now: own clock, seconds.
        """
        self._on_answer(now)
        self._must_read = True
        self._next_action_at = now

    def on_no_answer(self, now: float) -> None:
        """Process a call without an answer; a write may have taken effect.

        :param now: own clock, seconds.
        """
        write = self._pending_action
        if isinstance(write, WriteLease) and not write.releases:
            self._sent_at_by_attempt[write.attempt] = write.sent_at
        self._pending_action = None
        self._store_unavailable = True
        self._must_read = True
        max_delay = _FIRST_BACKOFF_SECONDS * 2**self._failures
        max_delay = min(_MAX_BACKOFF_SECONDS, max_delay)
        self._failures = min(self._failures + 1, _MAX_BACKOFF_DOUBLINGS)
        self._next_action_at = now + self._rng.uniform(0, max_delay)

    def _keep_after_return(self, body: LeaseBody, now: float) -> None:
        """Decide from local state whether to keep the lease after a return.

        The object is of an older copy, and the next action of a holder writes
        it again. Once its deadline
        has passed, another instance may have acquired the lease by a write that
        is lost, even if the copy still names this one.
        """
        self._sent_at_by_attempt.clear()
        is_newest = self.fencing >= max(
            body.fencing, self.observation.highest_fencing
        )
        if not is_newest or self.role(now) is not Role.leader:
            self._step_down(now)

    def _next_release_action(self, now: float) -> LeaseAction | None:
        """Return the next action of a release that is not completed."""
        if not self._releasing or now < self._kept_until:
            return None
        if self._must_read:
            self._pending_action = ReadLease(self.key)
            return self._pending_action
        record = self.observation.record
        if record is None or record.session != self._candidate.session:
            self._releasing = False
            return None
        return self._write(self.fencing, now, releases=True)

    def _on_answer(self, now: float) -> None:
        if self.role(now) is Role.degraded:
            self.terms.end(now, self.held_until())
        self._pending_action = None
        self._failures = 0
        self._store_unavailable = False

    def _extend_lease(self, body: LeaseBody, sent_at: float) -> None:
        superseded = body.fencing < self.observation.highest_fencing
        if superseded or self._released:
            return
        if self._deadline is None:
            self.terms.begin(sent_at)
        self.fencing = body.fencing
        self._deadline = (
            sent_at + self._candidate.duration - _CLOCK_MARGIN_SECONDS
        )

    def _step_down(self, now: float) -> None:
        if self._deadline is None:
            return
        is_degraded = self.role(now) is Role.degraded
        ordered_until = now if is_degraded else min(now, self._deadline)
        self.terms.end(ordered_until, self._deadline)
        self._deadline = None
        self._must_read = True

    def _acquire(self, now: float) -> WriteLease:
        record = self.observation.record or LeaseBody()
        self.replaced = record
        predecessor_seconds = record.predecessor_seconds
        self._note_predecessor(record, now)
        if record.holder and record.session != self._candidate.session:
            predecessor_seconds = DEGRADED_SECONDS
        # This process does not act for an earlier term of its own. Its
        # knowledge of older holders may be newer than the record.
        self.predecessor_until = max(
            self.predecessor_until, now + predecessor_seconds
        )
        return self._write(self.observation.next_fencing(), now)

    def _note_predecessor(self, record: LeaseBody, now: float) -> None:
        is_other = record.holder and record.session != self._candidate.session
        # With several earlier holders, the state of one says nothing about the
        # others.
        is_only = (
            record.predecessor_seconds <= 0 and self.predecessor_until <= now
        )
        self.predecessor = record if is_other and is_only else None

    def on_predecessor_stopped(self, now: float) -> None:
        """Record that every earlier holder has stopped.

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
        era = self.observation.era or 0
        body = self._candidate.body(
            fencing, remaining, era, self._version_ages()
        )
        body.update(self.members().fields())
        body.update(self.weight_store().fields())
        if releases:
            released_by = self._candidate.instance_id
            body.update(
                holder='', session='', address='', released_by=released_by
            )
        action = WriteLease(
            self.key,
            body,
            self.observation.version,
            str(body['attempt']),
            now,
            releases,
        )
        self._pending_action = action
        return action
