"""What an instance has seen of the lease object of its zone."""

from collections.abc import Mapping
from dataclasses import dataclass

from cowsliprack.protocol.store import StoredObject, new_attempt_id

# A renewal is due after a third of the duration, so that two may fail before
# the lease lapses.
RENEWALS_PER_DURATION = 3
# Seconds without a heartbeat of the leader after which followers read the
# lease; while they hear it, they read it only at the slow interval.
_SILENCE_SECONDS = 1.5
_SLOW_READ_SECONDS = 30.0
# Seconds after the told end of a lease before another instance takes it;
# covers different clock rates.
TOLD_MARGIN = 0.1
NEVER = float('-inf')


@dataclass(frozen=True, slots=True)
class LeaseBody:
    """Content of the lease object.

    :param session: identifies the process, since an id may be used again.
    :param fencing: grows with each change of holder.
    :param duration: seconds that a challenger waits.
    :param predecessor_seconds: at the time of the write, for how long an
        earlier holder may still act as degraded leader.
    """

    holder: str = ''
    session: str = ''
    address: str = ''
    fencing: int = 0
    duration: float = 0
    attempt: str = ''
    predecessor_seconds: float = 0


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the lease object."""

    key: str


@dataclass(frozen=True, slots=True)
class WriteLease:
    """Write the lease object on condition.

    :param expected_version: version to replace; ``None`` creates it.
    :param sent_at: own clock before the write was sent, seconds.
    """

    key: str
    body: dict[str, object]
    expected_version: int | None
    attempt: str
    sent_at: float
    releases: bool = False


LeaseAction = ReadLease | WriteLease


def parse_body(body: Mapping[str, object]) -> LeaseBody:
    """Return the content of a lease object.

    :param body: body of the stored object.
    """
    return LeaseBody(
        holder=str(body.get('holder', '')),
        session=str(body.get('session', '')),
        address=str(body.get('address', '')),
        fencing=int(str(body.get('fencing', 0))),
        duration=float(str(body.get('duration', 0))),
        attempt=str(body.get('attempt', '')),
        predecessor_seconds=float(str(body.get('predecessor_seconds', 0))),
    )


@dataclass(frozen=True, slots=True)
class Candidate:
    """Who writes the lease object.

    :param session: unique for each process.
    """

    instance_id: str
    address: str
    duration: float
    session: str

    def body(
        self,
        fencing: int,
        predecessor_seconds: float,
    ) -> dict[str, object]:
        """Return the body of a new write attempt.

        :param fencing: number to hold the lease with.
        :param predecessor_seconds: as in ``LeaseBody``.
        """
        return {
            'holder': self.instance_id,
            'session': self.session,
            'address': self.address,
            'fencing': fencing,
            'duration': self.duration,
            'attempt': new_attempt_id(),
            'predecessor_seconds': predecessor_seconds,
        }


class LeaseObservation:
    """The record as last seen and when its version last changed.

    :param duration: seconds that this instance waits at least.
    """

    def __init__(self, duration: float) -> None:
        """Start with nothing seen."""
        self.record: LeaseBody | None = None
        self.version: int | None = None
        self.highest_fencing = 0
        self._duration = duration
        self._changed_at = NEVER
        self._read_at = NEVER
        self._heard_at = NEVER
        # What the holder said of its lease: the version of the object, and
        # until when it acts by it.
        self._told_version: int | None = None
        self._told_until = NEVER

    def observe_object(
        self, stored: StoredObject | None, now: float
    ) -> LeaseBody:
        """Take the object as read or written.

        :param stored: ``None`` when there is none.
        :param now: own clock after the answer arrived; a later time than that
            of the read only makes this instance wait longer.
        """
        body = parse_body(stored.body) if stored else LeaseBody()
        version = stored.version if stored else None
        if version != self.version or self.record is None:
            self._changed_at = now
        self.version = version
        self.record = body
        self._read_at = now
        self.observe_fencing(body.fencing)
        return body

    def observe_fencing(self, fencing: int) -> None:
        """Remember the highest number seen anywhere.

        :param fencing: number of a lease holder.
        """
        self.highest_fencing = max(self.highest_fencing, fencing)

    def observe_heartbeat(self, fencing: int, now: float) -> None:
        """Note a heartbeat of an instance that holds the lease.

        :param fencing: its number.
        :param now: own clock, seconds.
        """
        self.observe_fencing(fencing)
        if fencing >= self.highest_fencing:
            self._heard_at = now

    def observe_term(
        self, version: int | None, left: float, now: float
    ) -> None:
        """Note until when the holder acts by the lease as it stands.

        A message takes time, so the holder stops earlier than is noted here.

        :param version: of the object that the holder last wrote.
        :param left: seconds; zero or less when it has stopped.
        :param now: own clock, seconds.
        """
        self._told_version = version
        self._told_until = now + left
        if left <= 0:
            self.lose_leader()

    def lose_leader(self) -> None:
        """Forget the last heartbeat, because the leader leaves."""
        self._heard_at = NEVER

    def next_fencing(self) -> int:
        """Return a number above every earlier one.

        Versions are store-wide, so this holds even if the object was deleted
        and created again.
        """
        return max(self.highest_fencing, self.version or 0) + 1

    def may_acquire(self, instance_id: str, now: float) -> bool:
        """Return whether the record is free or has not changed for long.

        :param instance_id: of this instance; a record of its own needs no
            waiting, since an earlier process of an instance has ended.
        :param now: own clock, seconds.
        """
        if self.record is None:
            return False
        fresh = now - self._read_at < self._interval()
        if self.record.holder in {instance_id, ''}:
            return fresh
        if self.version == self._told_version:
            # The object has not been written since, so the holder has
            # stopped by then.
            return fresh and now >= self._told_until + TOLD_MARGIN
        return fresh and now - self._changed_at >= self._waiting_time()

    def read_due(self, now: float) -> float:
        """Return when a follower reads the record next.

        :param now: own clock, seconds.
        """
        if self._hears(now):
            return self._read_at + _SLOW_READ_SECONDS
        due = self._read_at + self._interval()
        told_over = self._told_until + TOLD_MARGIN
        if self._read_at < told_over <= now:
            return told_over
        expiry = self._changed_at + self._waiting_time()
        return due if expiry <= self._read_at else min(due, expiry)

    def _hears(self, now: float) -> bool:
        return now - self._heard_at < _SILENCE_SECONDS

    def _interval(self) -> float:
        return self._duration / RENEWALS_PER_DURATION

    def _waiting_time(self) -> float:
        recorded = self.record.duration if self.record else 0
        return max(recorded, self._duration)
