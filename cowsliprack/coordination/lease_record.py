"""Content of the lease object of a zone and what an instance observed of it."""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
import structlog

from cowsliprack.coordination.known_weight_store import (
    WeightStoreRecord,
    parse_weight_store,
)
from cowsliprack.protocol.gateway_messages import PeerView
from cowsliprack.protocol.store import StoredObject, new_attempt_id
from cowsliprack.state.store_version import join_version

# A renewal is due after a third of the duration, so that two may fail before
# the lease expires.
RENEWALS_PER_DURATION = 3
# Time without a heartbeat of the leader after which followers read the lease
# RENEWALS_PER_DURATION times per duration.
_HEARTBEAT_TIMEOUT_SECONDS = 1.5
# Read interval of followers that receive heartbeats of the leader.
_FOLLOWER_READ_SECONDS = 30.0
# Time after the announced end of a lease before another instance acquires it;
# allows for clock drift.
END_MARGIN_SECONDS = 0.1
NEVER = float('-inf')

# Seconds since each software version of each service was seen.
VersionAges = dict[str, dict[str, float]]
# Largest version ages in the lease, as JSON. Versions are texts of any length
# that targets state, and the store refuses large objects.
_MAX_VERSION_BYTES = 20_000
# Largest list of instances in the lease, as JSON: about 120 instances. Larger
# regions record their number only.
_MAX_PEER_BYTES = 8_000

_log = structlog.get_logger('cowsliprack.lease')


@dataclass(frozen=True, slots=True)
class LeaseMembers:
    """The instances of a region, as its leader records them in the lease.

    After a loss of all instances, nothing else states how many there are.

    :param count: instances that share the limits; 0 if unknown.
    :param peers: all of them; none if they are unknown or too many.
    """

    count: int = 0
    peers: tuple[PeerView, ...] = ()

    def fields(self) -> dict[str, object]:
        """Return the fields of the lease object."""
        peers = msgspec.to_builtins(self.peers)
        if len(msgspec.json.encode(peers)) > _MAX_PEER_BYTES:
            peers = ()
        return {'members': self.count, 'peers': peers} if self.count else {}


@dataclass(frozen=True, slots=True)
class LeaseBody:
    """Content of the lease object.

    :param session: identifies the process, as an instance id may be reused.
    :param fencing: grows with each change of holder.
    :param duration: seconds for which a candidate waits without a renewal.
    :param attempt: identifies the write.
    :param predecessor_seconds: time from the write for which an earlier
        holder may still act as degraded leader.
    :param era: of the store when the object was written. It is lower than the
        store's if the store has come back from a copy since.
    :param version_ages: by service and software version, the seconds from the
        last target that ran it to the write; ``None`` if the holder did not
        know all of them, or is of an earlier build.
    :param released_by: id of the instance that released the lease; empty if it
        is held, or was released by an earlier build, which drops the field.
    :param members: of the region; empty if the holder did not know them, or is
        of an earlier build.
    :param weight_store: likewise what it has learned of the weight store.
    """

    holder: str = ''
    session: str = ''
    address: str = ''
    fencing: int = 0
    duration: float = 0
    attempt: str = ''
    predecessor_seconds: float = 0
    era: int = 0
    version_ages: VersionAges | None = None
    released_by: str = ''
    members: LeaseMembers = LeaseMembers()
    weight_store: WeightStoreRecord = WeightStoreRecord()


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the lease object."""

    key: str


@dataclass(frozen=True, slots=True)
class WriteLease:
    """Write the lease object if its version is the expected one.

    :param expected_version: version to replace; ``None`` creates the object.
    :param sent_at: own clock before the write was sent, seconds.
    :param releases: whether the write releases the lease.
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
        era=int(str(body.get('era', 0))),
        version_ages=_parse_version_ages(body.get('version_ages')),
        released_by=str(body.get('released_by', '')),
        members=_parse_members(body),
        weight_store=parse_weight_store(body),
    )


def _parse_members(body: Mapping[str, object]) -> LeaseMembers:
    try:
        return LeaseMembers(
            msgspec.convert(body.get('members', 0), int),
            msgspec.convert(body.get('peers', ()), tuple[PeerView, ...]),
        )
    except msgspec.ValidationError as error:
        _log.warning('lease_members_malformed', error=str(error))
        return LeaseMembers()


def _parse_version_ages(ages: object) -> VersionAges | None:
    if ages is None:
        return None
    try:
        return msgspec.convert(ages, VersionAges)
    except msgspec.ValidationError as error:
        _log.warning('version_ages_malformed', error=str(error))
        return None


@dataclass(frozen=True, slots=True)
class Candidate:
    """Instance that may write the lease object.

    :param duration: of the lease, seconds.
    :param session: unique to each process.
    """

    instance_id: str
    address: str
    duration: float
    session: str

    def body(
        self,
        fencing: int,
        predecessor_seconds: float,
        era: int,
        version_ages: VersionAges,
    ) -> dict[str, object]:
        """Return the body of a new write attempt.

        :param fencing: number to hold the lease with.
        :param predecessor_seconds: as in ``LeaseBody``.
        :param era: of the store.
        :param version_ages: as in ``LeaseBody``; empty if they are not known.
        """
        body: dict[str, object] = {
            'holder': self.instance_id,
            'session': self.session,
            'address': self.address,
            'fencing': fencing,
            'duration': self.duration,
            'attempt': new_attempt_id(),
            'predecessor_seconds': predecessor_seconds,
            'era': era,
        }
        if not version_ages:
            return body
        if len(msgspec.json.encode(version_ages)) > _MAX_VERSION_BYTES:
            _log.warning('version_ages_too_large', services=len(version_ages))
            return body
        return {**body, 'version_ages': version_ages}


class LeaseObservation:
    """The lease object as last read, with the messages of its holder.

    :param duration: minimum seconds without a change before a takeover.
    :param first_start: whether no process of the system ran before, so that a
        missing object has never existed.
    :ivar announced_end: time at which the holder stops, as it has announced,
        seconds.
    """

    def __init__(self, duration: float, *, first_start: bool) -> None:
        """Start without any observation."""
        self.record: LeaseBody | None = None
        self.version: int | None = None
        # Era of the store when it was last read; ``None`` before that.
        self.era: int | None = None
        self._first_start = first_start
        # When the store was first seen to have come back from a copy.
        self._returned_at = NEVER
        self.highest_fencing = 0
        self._duration = duration
        self._changed_at = NEVER
        self._read_at = NEVER
        self._heartbeat_at = NEVER
        # Version that the holder last wrote, as it has announced.
        self._announced_version: int | None = None
        self.announced_end = NEVER

    def observe_object(
        self, stored: StoredObject | None, now: float, era: int
    ) -> LeaseBody:
        """Record the object as read or written.

        :param stored: ``None`` if it does not exist.
        :param now: own clock after the answer arrived; being later than the
            read, it only makes this instance wait longer.
        :param era: of the store.
        """
        body = parse_body(stored.body) if stored else LeaseBody()
        version = stored.version if stored else None
        if self.era is None or era > self.era:
            if self._is_return(body, era, exists=stored is not None):
                self._returned_at = now
            self.era = era
        if version != self.version or self.record is None:
            self._changed_at = now
        self.version = version
        self.record = body
        self._read_at = now
        self.observe_fencing(body.fencing)
        return body

    def observe_fencing(self, fencing: int) -> None:
        """Record the highest fencing number seen.

        :param fencing: number of a lease holder.
        """
        self.highest_fencing = max(self.highest_fencing, fencing)

    def observe_heartbeat(self, fencing: int, now: float) -> None:
        """Record a heartbeat of an instance that holds the lease.

        :param fencing: its fencing number.
        :param now: own clock, seconds.
        """
        self.observe_fencing(fencing)
        if fencing >= self.highest_fencing:
            self._heartbeat_at = now

    def observe_term(
        self, version: int | None, remaining: float, now: float
    ) -> None:
        """Record until when the holder acts on the version that it wrote.

        The message is delayed, so the holder stops before the recorded time.
        The end is the same as long as the holder writes no other version, so
        the earliest one that follows from its messages is recorded.

        :param version: of the object that the holder last wrote.
        :param remaining: seconds; zero or less if it has stopped.
        :param now: own clock, seconds.
        """
        end = now + remaining
        if version is not None and version == self._announced_version:
            end = min(end, self.announced_end)
        self._announced_version = version
        self.announced_end = end
        if end <= now:
            self._forget_heartbeat()

    def _forget_heartbeat(self) -> None:
        """Forget the last heartbeat because the leader has stopped."""
        self._heartbeat_at = NEVER

    def next_fencing(self) -> int:
        """Return a fencing number above every earlier one.

        Versions are store-wide and only grow, so this holds even after the
        object was deleted and created again, or lost with the store's last
        writes.
        """
        least = join_version(self.era or 0, 0)
        return max(self.highest_fencing, self.version or least) + 1

    def may_acquire(self, instance_id: str, now: float) -> bool:
        """Return whether the lease is free or its holder must have stopped.

        :param instance_id: of this instance; a lease of its own needs no
            waiting, as the earlier process of the instance has ended.
        :param now: own clock, seconds.
        """
        if self.record is None:
            return False
        is_fresh = now - self._read_at < self._read_interval()
        if now - self._returned_at < self._takeover_delay():
            # Another instance may hold the lease by a write that is lost.
            return False
        if self.record.holder in {instance_id, ''}:
            return is_fresh
        if self.version == self._announced_version:
            # The object has not been written since the announcement, so the
            # holder stops at the announced time.
            return is_fresh and now >= self.announced_end + END_MARGIN_SECONDS
        return is_fresh and now - self._changed_at >= self._takeover_delay()

    def read_due(self, now: float) -> float:
        """Return when a follower next reads the lease.

        :param now: own clock, seconds.
        """
        if self._is_leader_alive(now):
            return self._read_at + _FOLLOWER_READ_SECONDS
        due = self._read_at + self._read_interval()
        takeover_at = self.announced_end + END_MARGIN_SECONDS
        if self._read_at < takeover_at <= now:
            return takeover_at
        expiry = self._changed_at + self._takeover_delay()
        return due if expiry <= self._read_at else min(due, expiry)

    def _is_return(self, body: LeaseBody, era: int, *, exists: bool) -> bool:
        """Return whether the store came back from a copy before this read."""
        if self.era is not None:
            return True
        return body.era != era if exists else not self._first_start

    def _is_leader_alive(self, now: float) -> bool:
        return now - self._heartbeat_at < _HEARTBEAT_TIMEOUT_SECONDS

    def _read_interval(self) -> float:
        return self._duration / RENEWALS_PER_DURATION

    def _takeover_delay(self) -> float:
        recorded = self.record.duration if self.record else 0
        return max(recorded, self._duration)
