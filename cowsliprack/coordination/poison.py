"""Detection of requests and prompt parts that crash the targets that run them.

A crash ends all requests on its target, and only one of them is the cause. Each
crash therefore counts against all of them, and an answer that reached its end
proves that a request, and each part of its prompt, is not the cause.
"""

import hashlib
import math
from dataclasses import dataclass

from cowsliprack.protocol.peer import (
    AnyPoisonNotice,
    PoisonNotice,
    SoundNotice,
    TrialNotice,
)

# Number of crashes from which a request is refused, or the last of the prompt
# parts that it shares with others.
CRASH_LIMIT = 2
# The same for earlier parts: prompts share prefixes, so an earlier part is in
# many requests, and refusing it for a crash of one of them refuses all.
EARLIER_PART_CRASH_LIMIT = 4
# Time after which a crash no longer counts, so that a request that was only in
# flight together with the cause is not refused permanently.
CRASH_LIFETIME_SECONDS = 600
# Time for which a complete answer proves its request and prompt parts sound. A
# part that comes to crash targets later is refused after this time.
SOUND_LIFETIME_SECONDS = 60
# A part crashes its target when the answer begins. Answers that have gone on
# for longer do not count against the parts of their prompts.
_BEGINNING_SECONDS = 0.5
# Time after the last crash until one request is let through to find out whether
# targets still crash on it; doubled with each such trial.
_TRIAL_SECONDS = 30
# Notices of one trial come within this time, also over a second leader.
_SAME_TRIAL_SECONDS = 1
# Number of requests and parts with crashes, and of sound ones, that are stored;
# bounds the memory to about 3 MB each per instance.
MAX_DIGESTS = 10_000
# Time between two passes that remove expired crashes.
_EXPIRY_INTERVAL_SECONDS = 1


def request_digest(organisation: str, body: bytes) -> str:
    """Return the digest that identifies a request on all instances.

    :param organisation: id of the caller's organisation, empty on open
        routes.
    :param body: body as the caller sent it.
    :returns: SHA-256 in hexadecimal.
    """
    hasher = hashlib.sha256()
    name = organisation.encode()
    # The length keeps the boundary between the two parts unambiguous.
    hasher.update(len(name).to_bytes(4, 'big'))
    hasher.update(name)
    hasher.update(body)
    return hasher.hexdigest()


def routed_digest(organisation: str, resource: str, body: bytes) -> str:
    """Return the digest of a request of a route.

    :param organisation: name of the caller's organisation, empty on open
        routes.
    :param resource: method, host, path and query.
    :param body: body as the caller sent it.
    """
    return request_digest(f'{organisation}\n{resource}', body)


def part_digest(part_id: str) -> str:
    """Return the digest that identifies a part of a prompt.

    :param part_id: id of the part, the same for all callers.
    """
    return f'part/{part_id}'


def crash_id(target_id: str, boot_id: str) -> str:
    """Return the id of the crash that ended one process of a target.

    All instances that lose requests in one crash must derive the same id;
    otherwise one crash would count as two.

    :param target_id: id of the target.
    :param boot_id: boot id of the process that ended.
    """
    return f'{target_id}/{boot_id}'


@dataclass(slots=True)
class Trials:
    """Requests that were sent although their digest is refused.

    :param count: number of trials.
    :param last_at: time of the last one, seconds.
    """

    count: int = 0
    last_at: float = -math.inf


@dataclass(slots=True)
class InFlightRequest:
    """A request in flight on a target.

    :param parts: digests of its prompt parts that other requests may share.
    :param answered_since: when its answer began, seconds; ``None`` before.
    """

    digest: str
    target_id: str
    parts: tuple[str, ...] = ()
    answered_since: float | None = None

    def is_beginning(self, now: float) -> bool:
        """Return whether the answer has begun recently or not at all.

        :param now: seconds.
        """
        if self.answered_since is None:
            return True
        return now - self.answered_since < _BEGINNING_SECONDS

    def possible_causes(self, now: float) -> tuple[str, ...]:
        """Return the digests against which a crash at this time counts.

        :param now: seconds.
        """
        if self.is_beginning(now):
            return (self.digest, *self.parts)
        return (self.digest,)


class PoisonTracker:
    """Counts crashes by request digest and tracks the requests in flight.

    Not safe for concurrent use.
    """

    def __init__(self, lifetime: float = CRASH_LIFETIME_SECONDS) -> None:
        """Create a tracker without crashes.

        :param lifetime: seconds until a crash expires.
        """
        self._lifetime = lifetime
        self._expiry_by_crash_by_digest: dict[str, dict[str, float]] = {}
        self._in_flight_by_id: dict[int, InFlightRequest] = {}
        self._expiry_by_seen_crash: dict[str, float] = {}
        self._expiry_by_sound_digest: dict[str, float] = {}
        self._trials_by_digest: dict[str, Trials] = {}
        self._last_in_flight_id = 0
        self._next_expiry_at = -math.inf

    def add_in_flight(
        self,
        digest: str,
        target_id: str,
        parts: tuple[str, ...] = (),
    ) -> int:
        """Add a request that is about to be sent to a target.

        :param digest: see ``request_digest``.
        :param target_id: id of the target.
        :param parts: see ``part_digest``; without the part that no other
            request shares.
        :returns: id for ``remove_in_flight``.
        """
        self._last_in_flight_id += 1
        self._in_flight_by_id[self._last_in_flight_id] = InFlightRequest(
            digest, target_id, parts
        )
        return self._last_in_flight_id

    def record_answer(self, in_flight_id: int, now: float) -> None:
        """Record that the answer to a request has begun.

        :param in_flight_id: returned by ``add_in_flight``; unknown ids are
            ignored.
        :param now: seconds.
        """
        request = self._in_flight_by_id.get(in_flight_id)
        if request is not None and request.answered_since is None:
            request.answered_since = now

    def remove_in_flight(self, in_flight_id: int) -> None:
        """Remove a request that is no longer in flight.

        A request that lost its connection must stay in flight until it is
        known whether the target crashed.

        :param in_flight_id: returned by ``add_in_flight``; unknown ids are
            ignored.
        """
        self._in_flight_by_id.pop(in_flight_id, None)

    def crash_count(self, digest: str, now: float) -> int:
        """Return the number of distinct crashes counted against a request.

        :param digest: see ``request_digest``.
        :param now: seconds.
        """
        expiry_by_crash = self._expiry_by_crash_by_digest.get(digest, {})
        return sum(expiry > now for expiry in expiry_by_crash.values())

    def is_refused(self, digest: str, now: float) -> bool:
        """Return whether a request must not be sent to any target.

        :param digest: see ``request_digest``.
        :param now: seconds.
        """
        return self.crash_count(digest, now) >= CRASH_LIMIT

    def seconds_refused(self, digests: tuple[str, ...], now: float) -> float:
        """Return how long a request will be refused; 0 if it is not refused.

        :param digests: of the request and of the shared parts of its prompt, in
            order.
        :param now: seconds.
        """
        waits = [
            self._next_trial_at(digest) - now
            for digest in self._refused_digests(digests, now)
        ]
        return max([0, *waits])

    def begin_trials(
        self,
        digests: tuple[str, ...],
        now: float,
    ) -> list[TrialNotice]:
        """Record that a request is sent although targets crashed on it.

        :param digests: of the request and of the shared parts of its prompt, in
            order.
        :param now: seconds.
        :returns: notices for all other instances, so that they send no other.
        """
        notices = [
            TrialNotice(digest)
            for digest in self._refused_digests(digests, now)
        ]
        for notice in notices:
            self.on_trial_notice(notice, now)
        return notices

    def on_trial_notice(self, notice: TrialNotice, now: float) -> bool:
        """Postpone the next trial of a request or part.

        :param notice: from another instance or from ``begin_trials``.
        :param now: seconds.
        :returns: whether it was not known yet, so that a leader relays it once.
        """
        trials = self._trials_by_digest.setdefault(notice.digest, Trials())
        if now - trials.last_at < _SAME_TRIAL_SECONDS:
            return False
        trials.count += 1
        trials.last_at = now
        return True

    def is_suspect(self, digest: str, now: float) -> bool:
        """Return whether a request may not share a target with other suspects.

        :param digest: see ``request_digest``.
        :param now: seconds.
        """
        return 0 < self.crash_count(digest, now) < CRASH_LIMIT

    def is_any_suspect(self, digests: tuple[str, ...], now: float) -> bool:
        """Return whether a request may have caused a crash.

        :param digests: of the request and of the shared parts of its prompt.
        :param now: seconds.
        """
        return any(self.crash_count(digest, now) for digest in digests)

    def suspect_targets(self, now: float) -> frozenset[str]:
        """Return the targets that run a suspect request of this instance.

        :param now: seconds.
        """
        return frozenset(
            request.target_id
            for request in self._in_flight_by_id.values()
            if any(
                self.crash_count(digest, now)
                for digest in (request.digest, *request.parts)
            )
        )

    def is_sound(self, digest: str, now: float) -> bool:
        """Return whether an answer to such a request ended recently.

        :param digest: of a request or a prompt part.
        :param now: seconds.
        """
        return self._expiry_by_sound_digest.get(digest, -math.inf) > now

    def on_answered(
        self,
        digests: tuple[str, ...],
        now: float,
    ) -> list[SoundNotice]:
        """Drop the crashes of a request that a target has answered completely.

        :param digests: of the request and of the shared parts of its prompt.
        :param now: seconds.
        :returns: notices for all other instances.
        """
        suspects = [
            digest
            for digest in digests
            if digest in self._expiry_by_crash_by_digest
        ]
        for sound_digest in digests:
            self._record_sound(sound_digest, now)
        return [SoundNotice(suspect) for suspect in suspects]

    def on_crash(
        self,
        target_id: str,
        crash: str,
        now: float,
    ) -> list[PoisonNotice]:
        """Count a crash against each request in flight on the target.

        Only the first report of a crash counts: a later report of the same
        crash must not count against requests sent to the restarted target.

        :param target_id: id of the target.
        :param crash: see ``crash_id``.
        :param now: seconds.
        :returns: notices for all other instances.
        """
        self._expire(now)
        if crash in self._expiry_by_seen_crash:
            return []
        self._expiry_by_seen_crash[crash] = now + self._lifetime
        lost_requests = {
            in_flight_id: request
            for in_flight_id, request in self._in_flight_by_id.items()
            if request.target_id == target_id
        }
        for in_flight_id in lost_requests:
            self._in_flight_by_id.pop(in_flight_id)
        digests = dict.fromkeys(
            digest
            for request in lost_requests.values()
            for digest in request.possible_causes(now)
            if not self.is_sound(digest, now)
        )
        notices = [
            PoisonNotice(digest, crash, target_id, self._lifetime)
            for digest in digests
        ]
        for notice in notices:
            self.on_notice(notice, now)
        return notices

    def on_notice(self, notice: PoisonNotice, now: float) -> bool:
        """Count the crash of a notice.

        :param notice: from another instance or from ``on_crash``.
        :param now: seconds.
        :returns: whether it was not known yet, so that a leader relays it once.
        """
        self._expire(now)
        lifetime = min(notice.lifetime, self._lifetime)
        if lifetime <= 0 or self.is_sound(notice.digest, now):
            return False
        crashes_by_digest = self._expiry_by_crash_by_digest
        expiry_by_crash = crashes_by_digest.setdefault(notice.digest, {})
        if notice.crash_id in expiry_by_crash:
            return False
        expiry_by_crash[notice.crash_id] = now + lifetime
        if len(crashes_by_digest) > MAX_DIGESTS:
            oldest = next(iter(crashes_by_digest))
            crashes_by_digest.pop(oldest)
            self._trials_by_digest.pop(oldest, None)
        return True

    def on_sound_notice(self, notice: SoundNotice, now: float) -> bool:
        """Drop the crashes of a request or part that another instance answered.

        :param notice: from another instance.
        :param now: seconds.
        :returns: whether it was not known yet, so that a leader relays it once.
        """
        is_new = notice.digest in self._expiry_by_crash_by_digest
        self._record_sound(notice.digest, now)
        return is_new

    def reply(self, notice: AnyPoisonNotice, now: float) -> SoundNotice | None:
        """Return the contradiction of a notice by an answer of this instance.

        :param notice: from another instance.
        :param now: seconds.
        """
        is_crash = isinstance(notice, PoisonNotice)
        if is_crash and self.is_sound(notice.digest, now):
            return SoundNotice(notice.digest)
        return None

    def notices(self, now: float) -> list[PoisonNotice]:
        """Return notices of all counted crashes, for an instance that starts.

        :param now: seconds.
        """
        return [
            PoisonNotice(digest, crash, crash.rpartition('/')[0], expiry - now)
            for digest, expiries in self._expiry_by_crash_by_digest.items()
            for crash, expiry in expiries.items()
            if expiry > now
        ]

    def _refused_digests(
        self,
        digests: tuple[str, ...],
        now: float,
    ) -> list[str]:
        return [
            digest
            for position, digest in enumerate(digests)
            if self.crash_count(digest, now)
            >= _crash_limit(position, len(digests))
            and not self._is_explained(digest)
        ]

    def _is_explained(self, digest: str) -> bool:
        """Return whether another digest explains the crashes of this one.

        The other one was in flight in each of these crashes and in more.
        """
        crashes = self._expiry_by_crash_by_digest[digest].keys()
        return any(
            len(others) > len(crashes) and crashes <= others.keys()
            for others in self._expiry_by_crash_by_digest.values()
        )

    def _next_trial_at(self, digest: str) -> float:
        expiries = self._expiry_by_crash_by_digest[digest].values()
        crashed_at = max(expiries) - self._lifetime
        trials = self._trials_by_digest.get(digest, Trials())
        wait = _TRIAL_SECONDS * 2**trials.count
        return max(crashed_at, trials.last_at) + wait

    def _record_sound(self, digest: str, now: float) -> None:
        self._expiry_by_crash_by_digest.pop(digest, None)
        self._trials_by_digest.pop(digest, None)
        # The newest is the last, so that the oldest is dropped at the bound.
        sound = self._expiry_by_sound_digest
        sound.pop(digest, None)
        sound[digest] = now + SOUND_LIFETIME_SECONDS
        if len(sound) > MAX_DIGESTS:
            sound.pop(next(iter(sound)))

    def _expire(self, now: float) -> None:
        # A pass over all digests at each notice would be too expensive.
        if now < self._next_expiry_at:
            return
        self._next_expiry_at = now + _EXPIRY_INTERVAL_SECONDS
        crashes_by_digest = self._expiry_by_crash_by_digest
        for digest, expiries in list(crashes_by_digest.items()):
            _drop_expired(expiries, now)
            if not expiries:
                crashes_by_digest.pop(digest)
                self._trials_by_digest.pop(digest, None)
        _drop_expired(self._expiry_by_seen_crash, now)


def _crash_limit(position: int, count: int) -> int:
    is_earlier_part = 0 < position < count - 1
    return EARLIER_PART_CRASH_LIMIT if is_earlier_part else CRASH_LIMIT


def _drop_expired(expiry_by_crash: dict[str, float], now: float) -> None:
    for crash, expiry in list(expiry_by_crash.items()):
        if expiry <= now:
            expiry_by_crash.pop(crash)
