"""Detection of requests that crash the targets that run them."""

import hashlib
import math
from dataclasses import dataclass

from cowsliprack.protocol.peer import PoisonNotice

# Number of crashes from which a request is refused.
CRASH_LIMIT = 2
# Time after which a crash no longer counts, so that a request that was only in
# flight together with the cause is not refused permanently.
CRASH_LIFETIME_SECONDS = 600
# Number of requests with crashes that are stored; bounds the memory to about
# 3 MB per instance.
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


def crash_id(target_id: str, boot_id: str) -> str:
    """Return the id of the crash that ended one process of a target.

    All instances that lose requests in one crash must derive the same id;
    otherwise one crash would count as two.

    :param target_id: id of the target.
    :param boot_id: boot id of the process that ended.
    """
    return f'{target_id}/{boot_id}'


@dataclass(frozen=True, slots=True)
class InFlightRequest:
    """A request in flight on a target."""

    digest: str
    target_id: str


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
        self._last_in_flight_id = 0
        self._next_expiry_at = -math.inf

    def add_in_flight(self, digest: str, target_id: str) -> int:
        """Add a request that is about to be sent to a target.

        :param digest: see ``request_digest``.
        :param target_id: id of the target.
        :returns: id for ``remove_in_flight``.
        """
        self._last_in_flight_id += 1
        self._in_flight_by_id[self._last_in_flight_id] = InFlightRequest(
            digest, target_id
        )
        return self._last_in_flight_id

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

    def is_suspect(self, digest: str, now: float) -> bool:
        """Return whether a request may not share a target with other suspects.

        :param digest: see ``request_digest``.
        :param now: seconds.
        """
        return 0 < self.crash_count(digest, now) < CRASH_LIMIT

    def suspect_targets(self, now: float) -> frozenset[str]:
        """Return the targets that run a suspect request of this instance.

        :param now: seconds.
        """
        return frozenset(
            request.target_id
            for request in self._in_flight_by_id.values()
            if self.crash_count(request.digest, now)
        )

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
            request.digest for request in lost_requests.values()
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
        if lifetime <= 0:
            return False
        crashes_by_digest = self._expiry_by_crash_by_digest
        expiry_by_crash = crashes_by_digest.setdefault(notice.digest, {})
        if notice.crash_id in expiry_by_crash:
            return False
        expiry_by_crash[notice.crash_id] = now + lifetime
        if len(crashes_by_digest) > MAX_DIGESTS:
            crashes_by_digest.pop(next(iter(crashes_by_digest)))
        return True

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
        _drop_expired(self._expiry_by_seen_crash, now)


def _drop_expired(expiry_by_crash: dict[str, float], now: float) -> None:
    for crash, expiry in list(expiry_by_crash.items()):
        if expiry <= now:
            expiry_by_crash.pop(crash)
