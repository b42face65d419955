"""Tasks that read leases and configuration from the platform store.

A leader watches the manifest and lists the leases of all zones. Any other
instance reads the store only while it receives nothing from a leader or has
no other source of configuration changes.
"""

import random
from collections.abc import Callable
from contextlib import aclosing
from dataclasses import dataclass

import anyio
import structlog

from cowsliprack.coordination.distribution import ConfigurationRelay
from cowsliprack.coordination.lease_record import parse_body
from cowsliprack.coordination.links import LeaderInfo
from cowsliprack.coordination.membership import Membership
from cowsliprack.exceptions import ConfigurationError, StoreError
from cowsliprack.protocol.configuration_codec import (
    MANIFEST_KEY,
    decode_manifest,
)
from cowsliprack.protocol.store import ObjectStore, StoredObject, StoreEvent
from cowsliprack.transport.configuration_store import (
    read_manifest,
    read_shard,
)

# An instance reads the store after this time without another source of changes;
# sooner while it has no configuration yet.
_STORE_FALLBACK_SECONDS = 3.0
_STORE_FALLBACK_AT_START_SECONDS = 1.0
# Range of the random interval between reads of the store.
_READ_INTERVAL_SECONDS = (0.3, 1.5)
# Added to that interval for a leader that knows the leaders of all other zones.
_EXTRA_LEASE_INTERVAL_SECONDS = 4.0
_LEASES_PREFIX = 'leases/'

_log = structlog.get_logger('cowsliprack.store_feed')


@dataclass(slots=True)
class StoreFeed:
    """Passes leases and configurations from the store to their consumers.

    :param relay: receives manifests and shards of the configuration.
    :param membership: receives the leaders that the leases name.
    :param leading: returns the fencing number while this instance leads its
        zone, else ``None``.
    :param installed: called after each manifest or shard with whether a new
        configuration became active.
    """

    zone: str
    store: ObjectStore
    relay: ConfigurationRelay
    membership: Membership
    clock: Callable[[], float]
    leading: Callable[[], int | None]
    installed: Callable[[bool], None]
    rng: random.Random

    async def follow_leases(self) -> None:
        """Read the leaders of the zones from their leases until cancelled."""
        while True:
            pause = self.rng.uniform(*_READ_INTERVAL_SECONDS)
            try:
                await self._read_leases()
            except StoreError as error:
                _log.warning('leases_not_read', error=str(error))
            else:
                pause += (
                    _EXTRA_LEASE_INTERVAL_SECONDS
                    if self._knows_leaders()
                    else 0
                )
            await anyio.sleep(pause)

    def _knows_leaders(self) -> bool:
        """Return whether this leader knows the leaders of all other zones.

        Its members depend on one of them when it fails, so leases are read
        more often until the leader of every zone is known.
        """
        if self.leading() is None:
            return False
        known = set(self.membership.leader_ids_by_zone())
        zones = set(self.relay.configuration.zones)
        return zones - {self.zone} <= known

    async def _read_leases(self) -> None:
        if self.leading() is not None:
            for lease in await self.store.list(_LEASES_PREFIX):
                self._apply_lease(lease)
        elif not self.membership.hears_leader(self.clock()):
            stored = await self.store.read(f'{_LEASES_PREFIX}{self.zone}')
            self._apply_lease(stored)

    def _apply_lease(self, stored: StoredObject | None) -> None:
        if stored is None:
            return
        lease = parse_body(stored.body)
        self.membership.on_leader(
            stored.key.removeprefix(_LEASES_PREFIX),
            LeaderInfo(lease.holder, lease.address, lease.fencing),
        )

    async def follow_manifest(self) -> None:
        """Follow changes of the manifest until cancelled."""
        while True:
            try:
                await self._follow_once()
            except (StoreError, ConfigurationError) as error:
                _log.warning('configuration_not_read', error=str(error))
            await anyio.sleep(self.rng.uniform(*_READ_INTERVAL_SECONDS))

    async def _follow_once(self) -> None:
        if self.leading() is not None:
            await self._watch_manifest()
        elif self._must_read_store():
            await self._read_configuration()

    def _must_read_store(self) -> bool:
        started = self.relay.generation > 0
        limit = (
            _STORE_FALLBACK_SECONDS
            if started
            else _STORE_FALLBACK_AT_START_SECONDS
        )
        return self.relay.isolated_for(self.clock()) >= limit

    async def _watch_manifest(self) -> None:
        version = await self._read_configuration()
        watch = self.store.watch(MANIFEST_KEY, version)
        async with aclosing(watch) as events:  # type: ignore[type-var]
            async for event in events:
                self._apply_event(event)
                await self._read_missing_shards()
                if self.leading() is None:
                    return

    def _apply_event(self, event: StoreEvent) -> None:
        now = self.clock()
        if event.body is not None:
            manifest = decode_manifest(event.body)
            self.installed(self.relay.on_manifest(manifest, now))
        elif event.progress:
            self.relay.on_store_progress(now)

    async def _read_configuration(self) -> int:
        asked_at = self.clock()
        version, manifest = await read_manifest(self.store)
        self.installed(self.relay.on_manifest(manifest, asked_at))
        await self._read_missing_shards()
        return version or 0

    async def _read_missing_shards(self) -> None:
        for number, digest in self.relay.missing_shards().items():
            body = await read_shard(self.store, number, digest)
            if body is not None:
                self.installed(self.relay.on_shard(number, body))
