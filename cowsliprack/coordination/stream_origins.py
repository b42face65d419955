"""Software versions that began streams, and who keeps them.

What two software versions of a service write does not fit into one stream. An
instance that a caller asks to go on with a stream must therefore know which
version began it, also after the death of the instance that sent it. While all
targets of a service run one version, nothing needs to be sent.
"""

import hashlib
import math
import zlib
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from functools import partial

from cowsliprack.protocol.gateway_messages import PeerView
from cowsliprack.state.stream_origin import StreamOrigin
from cowsliprack.state.target_registry import TargetRegistry

# Time for which a stream may still be taken up, and for which a version that
# has left may have begun one; several times the time limits of routes.
ORIGIN_LIFETIME_SECONDS = 120
# Number of origins that are stored; about 4 MB.
MAX_ORIGINS = 20_000
# Instances of an availability zone that may keep origins; bounds the number of
# connections between instances.
_MAX_CANDIDATES_PER_ZONE = 6
# Instances that keep an origin, or one of each zone if there are more zones.
# One of them may be the instance that began the stream.
_KEEPERS = 4
_KEY_BYTES = 12


def origin_key(organisation: str, attempt_id: str) -> str:
    """Return the key under which the origin of a stream is stored.

    :param organisation: name of the caller's organisation, empty on open
        routes.
    :param attempt_id: id of the caller's attempt that began the stream.
    :returns: 24 hexadecimal digits.
    """
    text = f'{organisation}\n{attempt_id}'.encode()
    return hashlib.blake2b(text, digest_size=_KEY_BYTES).hexdigest()


def keepers(key: str, peers: Iterable[PeerView]) -> list[PeerView]:
    """Return the instances that keep an origin, at least one of each zone.

    All instances choose the same ones, and a change of the peers moves few
    origins (rendezvous hashing).

    :param key: see ``origin_key``.
    :param peers: instances of the region, ordered by id.
    """
    ranked = sorted(_candidates(peers), key=partial(_weight, key), reverse=True)
    zones: set[str] = set()
    chosen = []
    others = []
    for peer in ranked:
        is_first = peer.zone not in zones
        zones.add(peer.zone)
        (chosen if is_first else others).append(peer)
    return [*chosen, *others[: max(_KEEPERS - len(chosen), 0)]]


def _candidates(peers: Iterable[PeerView]) -> list[PeerView]:
    count_by_zone: Counter[str] = Counter()
    candidates = []
    for peer in peers:
        count_by_zone[peer.zone] += 1
        if count_by_zone[peer.zone] <= _MAX_CANDIDATES_PER_ZONE:
            candidates.append(peer)
    return candidates


def _weight(key: str, peer: PeerView) -> int:
    return zlib.crc32(f'{key}/{peer.instance_id}'.encode())


@dataclass(slots=True)
class _Entry:
    origin: StreamOrigin
    expires_at: float
    is_own: bool
    is_final: bool


@dataclass(slots=True)
class StreamOrigins:
    """Origins of streams, of this instance and of others, by key."""

    _entries_by_key: dict[str, _Entry] = field(default_factory=dict)

    def record(
        self,
        key: str,
        origin: StreamOrigin,
        now: float,
        *,
        is_own: bool,
        is_final: bool = False,
    ) -> None:
        """Record the origin of a stream; a later one replaces it.

        :param key: see ``origin_key``.
        :param origin: of the stream.
        :param now: seconds.
        :param is_own: whether this instance began the stream.
        :param is_final: whether the caller has events, so that no later send
            can begin the stream elsewhere.
        """
        entries = self._entries_by_key
        # The newest is the last, so that the oldest is dropped at the bound.
        entries.pop(key, None)
        entries[key] = _Entry(
            origin, now + ORIGIN_LIFETIME_SECONDS, is_own, is_final
        )
        while entries:
            oldest = next(iter(entries))
            is_expired = entries[oldest].expires_at <= now
            if len(entries) <= MAX_ORIGINS and not is_expired:
                return
            entries.pop(oldest)

    def forget(self, key: str) -> None:
        """Remove the origin of a stream, if it is known.

        :param key: see ``origin_key``.
        """
        self._entries_by_key.pop(key, None)

    def find_own(self, key: str, now: float) -> StreamOrigin | None:
        """Return the origin of a stream that this instance began.

        :param key: see ``origin_key``.
        :param now: seconds.
        """
        entry = self._entries_by_key.get(key)
        is_own = entry is not None and entry.is_own
        return self.find(key, now) if is_own else None

    def find(self, key: str, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, if it is known.

        :param key: see ``origin_key``.
        :param now: seconds.
        """
        entry = self._entries_by_key.get(key)
        if entry is None or entry.expires_at <= now:
            return None
        return entry.origin

    def find_settled(self, key: str, now: float) -> StreamOrigin | None:
        """Return an origin that does not rest on announcements of others.

        This instance began the stream, or has read its origin from the store.

        :param key: see ``origin_key``.
        :param now: seconds.
        """
        entry = self._entries_by_key.get(key)
        is_settled = entry is not None and (entry.is_own or entry.is_final)
        return self.find(key, now) if is_settled else None

    def own(self, service: str, now: float) -> list[tuple[str, StreamOrigin]]:
        """Return the streams of a service that this instance began.

        :param service: name of the service.
        :param now: seconds.
        """
        return [
            (key, entry.origin)
            for key, entry in self._entries_by_key.items()
            if entry.is_own
            and entry.expires_at > now
            and entry.origin.service == service
        ]

    def begun_since(
        self,
        services: Collection[str],
        since: float,
        *,
        only_own: bool,
    ) -> list[tuple[str, StreamOrigin]]:
        """Return the streams of services that began after a time.

        :param services: names of the services.
        :param since: seconds.
        :param only_own: whether to leave out those of other instances.
        """
        expires_after = since + ORIGIN_LIFETIME_SECONDS
        return [
            (key, entry.origin)
            for key, entry in self._entries_by_key.items()
            if entry.expires_at > expires_after
            and entry.origin.service in services
            and (entry.is_own or not only_own)
        ]


@dataclass(slots=True)
class VersionHistory:
    """Software versions that targets of each service have run lately.

    Versions that left before this process began are missing until a complete
    history has been joined.
    """

    _is_joined: bool = False
    _observed_since: float = math.inf
    _running_by_service: dict[str, set[str]] = field(default_factory=dict)
    _last_seen: dict[tuple[str, str], float] = field(default_factory=dict)

    def observe(self, registry: TargetRegistry, now: float) -> None:
        """Apply a new list of targets.

        :param registry: all registered targets.
        :param now: seconds.
        """
        self._observed_since = min(self._observed_since, now)
        self._mark_running(now)
        running: dict[str, set[str]] = {}
        for record in registry.records_by_id.values():
            versions = running.setdefault(record.service, set())
            if record.software_version:
                versions.add(record.software_version)
        self._running_by_service = running
        self._mark_running(now)

    def join(
        self, ages_by_service: Mapping[str, Mapping[str, float]], now: float
    ) -> None:
        """Include a complete history.

        :param ages_by_service: see ``ages``; of a complete history, or empty if
            no target has run before.
        :param now: seconds.
        """
        self._is_joined = True
        for service, ages in ages_by_service.items():
            for version, age in ages.items():
                known = self._last_seen.get((service, version), -math.inf)
                self._last_seen[service, version] = max(known, now - age)

    def is_complete(self, now: float) -> bool:
        """Return whether no version that may have begun a stream is missing.

        :param now: seconds.
        """
        observed_seconds = now - self._observed_since
        return self._is_joined or observed_seconds >= ORIGIN_LIFETIME_SECONDS

    def versions(self, now: float) -> dict[str, set[str]]:
        """Return the versions of each service that may have begun a stream.

        :param now: seconds.
        """
        return {service: set(ages) for service, ages in self.ages(now).items()}

    def ages(self, now: float) -> dict[str, dict[str, float]]:
        """Return the seconds since each version of each service was seen.

        Services with targets that state no version are included.

        :param now: seconds.
        """
        self._mark_running(now)
        ages_by_service: dict[str, dict[str, float]] = {
            service: {} for service in self._running_by_service
        }
        for (service, version), seen_at in self._last_seen.items():
            ages_by_service.setdefault(service, {})[version] = now - seen_at
        return ages_by_service

    def _mark_running(self, now: float) -> None:
        for service, versions in self._running_by_service.items():
            for version in versions:
                self._last_seen[service, version] = now
        self._last_seen = {
            name: seen_at
            for name, seen_at in self._last_seen.items()
            if now - seen_at < ORIGIN_LIFETIME_SECONDS
        }
