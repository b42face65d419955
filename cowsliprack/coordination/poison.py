"""Detection of requests and prompt parts that crash the targets that run them.

A crash ends all requests on its target, and only one of them is the cause. Each
crash therefore counts against all of them, and an answer that reaches its end
after the crash proves that a request, and each part of its prompt, is not the
cause. An answer before the crash proves nothing: a request may come to crash
targets that have served it.
"""

import hashlib
import math
from dataclasses import dataclass

from cowsliprack.coordination.recent_answers import RecentAnswers
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
# many requests, and refusing it for a crash of one of them refuses all. It is
# also the limit for parts that were answered shortly before the crashes.
SHARED_PART_CRASH_LIMIT = 4
# Time after which a crash no longer counts, so that a request that was only in
# flight together with the cause is not refused permanently.
CRASH_LIFETIME_SECONDS = 600
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
    :param has_proved_parts: whether its answer has disproved the crashes of
        its prompt parts.
    """

    digest: str
    target_id: str
    parts: tuple[str, ...] = ()
    answered_since: float | None = None
    has_proved_parts: bool = False

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
        # Crashes that an answer has disproved; another instance may still
        # send notices of them.
        self._disproved_by_digest: dict[str, dict[str, float]] = {}
        self._in_flight_by_id: dict[int, InFlightRequest] = {}
        self._expiry_by_seen_crash: dict[str, float] = {}
        self._answers = RecentAnswers(MAX_DIGESTS)
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

    def record_answer(self, in_flight_id: int, now: float) -> list[SoundNotice]:
        """Record that the answer to a request has begun or goes on.

        Once it has gone on for longer than a crash needs, it disproves the
        earlier crashes of the request's prompt parts.

        :param in_flight_id: returned by ``add_in_flight``; unknown ids are
            ignored.
        :param now: seconds.
        :returns: notices for all other instances.
        """
        request = self._in_flight_by_id.get(in_flight_id)
        if request is None:
            return []
        if request.answered_since is None:
            request.answered_since = now
        if request.has_proved_parts or request.is_beginning(now):
            return []
        request.has_proved_parts = True
        return self.on_answered(request.parts, request.answered_since, now)

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
        whole, *parts = digests
        return self.crash_count(whole, now) > 0 or any(
            self.crash_count(part, now) > 0
            and not self._answers.count(part, now)
            for part in parts
        )

    def suspect_targets(self, now: float) -> frozenset[str]:
        """Return the targets that run a suspect request of this instance.

        :param now: seconds.
        """
        return frozenset(
            request.target_id
            for request in self._in_flight_by_id.values()
            if self.is_any_suspect((request.digest, *request.parts), now)
        )

    def on_answered(
        self,
        digests: tuple[str, ...],
        started_at: float,
        now: float,
    ) -> list[SoundNotice]:
        """Drop the crashes that an answer has disproved.

        These are the ones before its request was sent, or before the answer
        began. A request that comes to crash targets may still be answered by a
        target that had begun before.

        :param digests: of the request and of the shared parts of its prompt.
        :param started_at: when the request was sent or its answer began,
            seconds.
        :param now: time until which the answer has been received, seconds.
        :returns: notices for all other instances.
        """
        notices = []
        for digest in digests:
            self._answers.record(digest, now)
            counted = self._expiry_by_crash_by_digest.get(digest, {})
            disproved = tuple(
                crash
                for crash, expiry in counted.items()
                if expiry - self._lifetime < started_at
            )
            if disproved:
                notice = SoundNotice(digest, disproved)
                self.on_sound_notice(notice, now)
                notices.append(notice)
        return notices

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
        )
        notices = [
            PoisonNotice(
                digest,
                crash,
                target_id,
                self._lifetime,
                self._answers.count(digest, now) > 0,
            )
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
        if notice.recently_answered:
            self._learn_answered(notice.digest, now)
        lifetime = min(notice.lifetime, self._lifetime)
        if lifetime <= 0 or self._is_disproved(notice):
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
        """Drop crashes of a request or part that a target has answered.

        :param notice: from another instance or from ``on_answered``.
        :param now: seconds.
        :returns: whether it was not known yet, so that a leader relays it once.
        """
        digest = notice.digest
        is_new = self._learn_answered(digest, now)
        counted = self._expiry_by_crash_by_digest.get(digest, {})
        crashes = notice.crash_ids
        if crashes is None:
            # Earlier builds do not name the crashes that they have dropped.
            crashes = tuple(counted)
        for crash in crashes:
            is_new |= self._disprove(digest, crash, now)
        if not counted:
            self._expiry_by_crash_by_digest.pop(digest, None)
            self._trials_by_digest.pop(digest, None)
        return is_new

    def reply(self, notice: AnyPoisonNotice, now: float) -> SoundNotice | None:
        """Return what the sender of a crash notice does not know of its digest.

        That is an answer at this instance after the crash, which disproves it,
        or shortly before it.

        :param notice: from another instance.
        :param now: seconds.
        """
        if not isinstance(notice, PoisonNotice):
            return None
        if self._is_disproved(notice):
            return SoundNotice(notice.digest, (notice.crash_id,))
        if self._answers.count(notice.digest, now):
            return SoundNotice(notice.digest, ())
        return None

    def notices(self, now: float) -> list[PoisonNotice]:
        """Return notices of all counted crashes, for an instance that starts.

        :param now: seconds.
        """
        return [
            PoisonNotice(
                digest,
                crash,
                crash.rpartition('/')[0],
                expiry - now,
                self._answers.count(digest, now) > 0,
            )
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
            >= self._crash_limit(digests, position, now)
            and not self._is_explained(digest, now)
        ]

    def _crash_limit(
        self,
        digests: tuple[str, ...],
        position: int,
        now: float,
    ) -> int:
        if position == 0:
            return CRASH_LIMIT
        is_last_part = position == len(digests) - 1
        if is_last_part and not self._answers.count(digests[position], now):
            return CRASH_LIMIT
        return SHARED_PART_CRASH_LIMIT

    def _is_explained(self, digest: str, now: float) -> bool:
        """Return whether another digest explains the crashes of this one.

        The other one was in flight in each of these crashes, and in more or
        has had fewer answers: what is in many requests is in flight in a crash
        by chance.
        """
        crashes = self._expiry_by_crash_by_digest[digest].keys()
        answers = self._answers.count(digest, now)
        return any(
            crashes <= others.keys()
            and (
                len(others) > len(crashes)
                or self._answers.count(other, now) < answers
            )
            for other, others in self._expiry_by_crash_by_digest.items()
        )

    def _next_trial_at(self, digest: str) -> float:
        expiries = self._expiry_by_crash_by_digest[digest].values()
        crashed_at = max(expiries) - self._lifetime
        trials = self._trials_by_digest.get(digest, Trials())
        wait = _TRIAL_SECONDS * 2**trials.count
        return max(crashed_at, trials.last_at) + wait

    def _learn_answered(self, digest: str, now: float) -> bool:
        """Record an answer of another instance; return whether it is news."""
        is_new = not self._answers.count(digest, now)
        if is_new:
            self._answers.record(digest, now)
        return is_new

    def _is_disproved(self, notice: PoisonNotice) -> bool:
        disproved = self._disproved_by_digest.get(notice.digest, {})
        return notice.crash_id in disproved

    def _disprove(self, digest: str, crash: str, now: float) -> bool:
        """Drop a crash of a digest; return whether that was not known yet."""
        self._expiry_by_crash_by_digest.get(digest, {}).pop(crash, None)
        disproved = self._disproved_by_digest.setdefault(digest, {})
        is_new = crash not in disproved
        disproved[crash] = now + self._lifetime
        if len(self._disproved_by_digest) > MAX_DIGESTS:
            self._disproved_by_digest.pop(next(iter(self._disproved_by_digest)))
        return is_new

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
        for digest, expiries in list(self._disproved_by_digest.items()):
            _drop_expired(expiries, now)
            if not expiries:
                self._disproved_by_digest.pop(digest)
        _drop_expired(self._expiry_by_seen_crash, now)


def _drop_expired(expiry_by_crash: dict[str, float], now: float) -> None:
    for crash, expiry in list(expiry_by_crash.items()):
        if expiry <= now:
            expiry_by_crash.pop(crash)
