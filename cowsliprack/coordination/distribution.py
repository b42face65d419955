"""Distribution of the configuration from the platform store and peers.

Leaders learn of changes from the platform store, other instances from
heartbeats. A generation that is not higher than the one in force is ignored,
whatever its source, so a stale source never reverts a configuration.
"""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from cowsliprack.coordination.configuration_parts import (
    IncomingGeneration,
    VerifiedShard,
    body_of,
    digest_of,
    split_parts,
    verify_shard,
)
from cowsliprack.coordination.configuration_patch import (
    Patch,
    PatchHistory,
    apply_entries,
    compare_shards,
)
from cowsliprack.exceptions import ConfigurationError
from cowsliprack.protocol.configuration_codec import (
    Body,
    Manifest,
    decode_manifest,
    manifest_body,
    merge_shards,
)
from cowsliprack.protocol.peer import ConfigurationPull, ConfigurationShards
from cowsliprack.state.configuration import Configuration

# Time without an answer after which a pull is sent to another peer.
PULL_TIMEOUT_SECONDS = 1.0
# Time for which a peer is pulled from after it announced a newer generation.
ANNOUNCEMENT_LIFETIME_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class SendPull:
    """Ask a peer for a newer configuration."""

    instance_id: str
    message: ConfigurationPull


@dataclass(slots=True)
class _Announcement:
    generation: int
    received_at: float


@dataclass(slots=True)
class ConfigurationRelay:
    """Configuration in force, a newer one being fetched, and its age.

    :param rng: selects the peers that are pulled from.
    :param started_at: seconds.
    :param rejected: number of malformed messages and of shards whose digest
        or content was invalid.
    """

    rng: random.Random
    started_at: float
    configuration: Configuration = field(default_factory=Configuration)
    rejected: int = 0
    _manifest: Manifest = field(default_factory=lambda: Manifest(0))
    _shards: dict[int, VerifiedShard] = field(default_factory=dict)
    _history: PatchHistory = field(default_factory=PatchHistory)
    _incoming: IncomingGeneration | None = None
    _announcements_by_id: dict[str, _Announcement] = field(
        default_factory=dict,
    )
    _pulled_at: float = float('-inf')
    _confirmed_at: float | None = None

    @property
    def generation(self) -> int:
        """Generation in force; 0 before the first."""
        return self._manifest.generation

    def on_manifest(self, manifest: Manifest, now: float) -> bool:
        """Process the manifest from the platform store.

        :param manifest: as read or reported by a watch.
        :param now: seconds.
        :returns: whether a newer configuration came into force.
        """
        if (
            manifest.generation == self.generation
            and not self._is_newer_known()
        ):
            self._record_confirmation(now)
        return self._begin_collecting(manifest)

    def missing_shards(self) -> dict[int, str]:
        """Return the digests of the shards to be fetched, by number."""
        return self._incoming.missing() if self._incoming else {}

    def on_shard(self, number: int, body: Body) -> bool:
        """Process a shard that was read from the platform store.

        :param number: of the shard.
        :param body: JSON-compatible; ignored unless it has the digest of a
            missing shard.
        :returns: whether a newer configuration came into force.
        """
        self._add_shards({number: body})
        return self._install_if_complete()

    def on_store_progress(self, now: float) -> None:
        """Record that the store holds nothing newer.

        :param now: seconds.
        """
        if not self._is_newer_known():
            self._record_confirmation(now)

    def on_announcement(
        self,
        instance_id: str,
        generation: int,
        now: float,
        confirmed_at: float | None = None,
    ) -> None:
        """Process the announcement of the configuration that a peer holds.

        :param instance_id: of the peer.
        :param generation: that the peer holds.
        :param now: seconds.
        :param confirmed_at: last time at which it is known to have been the
            latest one. With the time of the message instead, instances could
            confirm each other forever.
        """
        announcement = _Announcement(generation, now)
        self._announcements_by_id[instance_id] = announcement
        # If a newer generation is known here, a peer that has not learned of
        # it cannot confirm the one in force.
        peer_confirms = (
            confirmed_at is not None and generation == self.generation
        )
        if peer_confirms and not self._is_newer_known():
            self._record_confirmation(confirmed_at)

    def tick(self, now: float) -> list[SendPull]:
        """Return the pull that is due, if one is.

        :param now: seconds.
        """
        self._announcements_by_id = {
            instance_id: announcement
            for instance_id, announcement in self._announcements_by_id.items()
            if now - announcement.received_at < ANNOUNCEMENT_LIFETIME_SECONDS
        }
        if now - self._pulled_at < PULL_TIMEOUT_SECONDS:
            return []
        newer_peers = self._newer_peers()
        if not newer_peers:
            return []
        self._pulled_at = now
        # A random choice soon tries another peer when one does not answer.
        return [SendPull(self.rng.choice(newer_peers), self._pull_message())]

    def on_pull(self, pull: ConfigurationPull) -> list[ConfigurationShards]:
        """Return the answer to a peer that holds an older generation.

        :param pull: what the peer holds.
        """
        if self.generation <= pull.generation:
            return []
        if pull.generation and not pull.digests:
            patch = self._history.since(pull.generation)
            # Without a patch, the peer pulls again with the digests that it
            # has and is sent the other shards.
            return [
                self._patch_message(patch)
                if patch
                else self._shards_message({})
            ]
        wanted = {
            number: shard.body()
            for number, shard in self._shards.items()
            if pull.digests.get(number) != shard.digest
        }
        return [self._shards_message(part) for part in split_parts(wanted)]

    def on_shards(self, message: ConfigurationShards, now: float) -> bool:
        """Process a newer configuration, or a part of it, from a peer.

        :param message: of the peer.
        :param now: seconds.
        :returns: whether a newer configuration came into force.
        """
        if message.generation <= self.generation:
            return False
        try:
            return self._process_shards(message, now)
        except (ConfigurationError, TypeError, AttributeError):
            # Another release of the program may use another message format.
            self.rejected += 1
            return False

    def isolated_for(self, now: float) -> float:
        """Return the seconds since the configuration was confirmed as latest.

        :param now: seconds.
        """
        since = (
            self.started_at
            if self._confirmed_at is None
            else self._confirmed_at
        )
        return max(0, now - since)

    def _is_newer_known(self) -> bool:
        return bool(self._incoming or self._newer_peers())

    def _record_confirmation(self, at: float) -> None:
        earlier = at if self._confirmed_at is None else self._confirmed_at
        self._confirmed_at = max(earlier, at)

    def _newer_peers(self) -> list[str]:
        generation = self.generation
        return [
            instance_id
            for instance_id, announcement in self._announcements_by_id.items()
            if announcement.generation > generation
        ]

    def _pull_message(self) -> ConfigurationPull:
        if self._incoming is None:
            return ConfigurationPull(self.generation)
        shards = self._incoming.shards
        digests = {number: shard.digest for number, shard in shards.items()}
        # Generation 0 asks for all shards, as none can be reused.
        return ConfigurationPull(self.generation if digests else 0, digests)

    def _begin_collecting(self, manifest: Manifest) -> bool:
        """Start collecting a generation unless it is old or being collected.

        Shards with the digests of the new manifest are reused.
        """
        incoming = self._incoming
        latest = incoming.manifest.generation if incoming else self.generation
        if manifest.generation <= latest:
            return False
        found = {**self._shards, **(incoming.shards if incoming else {})}
        shards = {
            number: found[number]
            for number, digest in manifest.digests.items()
            if number in found and found[number].digest == digest
        }
        self._incoming = IncomingGeneration(manifest, shards)
        return self._install_if_complete()

    def _add_shards(self, bodies: Mapping[int, Body]) -> None:
        incoming = self._incoming
        if incoming is None:
            return
        missing = incoming.missing()
        for number in missing.keys() & bodies.keys():
            digest = missing[number]
            try:
                shard = verify_shard(number, digest, bodies[number])
            except ConfigurationError:
                self.rejected += 1
            else:
                incoming.shards[number] = shard

    def _install_if_complete(self) -> bool:
        incoming = self._incoming
        if incoming is None or incoming.missing():
            return False
        self._incoming = None
        self._history.add(self._make_patch(incoming))
        self._manifest = incoming.manifest
        self._shards = incoming.shards
        self._pulled_at = float('-inf')
        self.configuration = merge_shards(
            incoming.manifest,
            {
                number: shard.entries
                for number, shard in incoming.shards.items()
            },
        )
        return True

    def _make_patch(self, incoming: IncomingGeneration) -> Patch:
        old = self._shards
        new = incoming.shards
        changed = [
            number
            for number in old.keys() | new.keys()
            if digest_of(old.get(number)) != digest_of(new.get(number))
        ]
        return Patch(
            self.generation,
            incoming.manifest.generation,
            {number: digest_of(new.get(number)) for number in changed},
            {
                number: compare_shards(
                    body_of(old.get(number)),
                    body_of(new.get(number)),
                )
                for number in changed
            },
        )

    def _shards_message(self, shards: dict[int, Body]) -> ConfigurationShards:
        body = manifest_body(self._manifest)
        return ConfigurationShards(self.generation, body, shards)

    def _patch_message(self, patch: Patch) -> ConfigurationShards:
        manifest = msgspec.structs.replace(
            self._manifest,
            digests=dict(patch.digests),
            superseded=(),
            earlier_attempts=(),
        )
        return ConfigurationShards(
            self.generation,
            manifest_body(manifest),
            dict(patch.entries),
            base=patch.base,
        )

    def _process_shards(self, message: ConfigurationShards, now: float) -> bool:
        manifest = decode_manifest(message.manifest)
        if message.base:
            return self._process_patch(manifest, message)
        installed = self._begin_collecting(manifest)
        if not installed and self._incoming:
            self._add_shards(message.shards)
            installed = self._install_if_complete()
        if self._incoming:
            # Other parts of the answer may still be in transit; pull at once
            # only if this one carried no shards.
            self._pulled_at = now if message.shards else float('-inf')
        return installed

    def _process_patch(
        self,
        manifest: Manifest,
        message: ConfigurationShards,
    ) -> bool:
        if message.base != self.generation:
            return False
        digests = {**self._manifest.digests, **manifest.digests}
        present = {
            number: digest for number, digest in digests.items() if digest
        }
        self._begin_collecting(
            msgspec.structs.replace(manifest, digests=present)
        )
        bodies = {
            number: apply_entries(body_of(self._shards.get(number)), entries)
            for number, entries in message.shards.items()
        }
        self._add_shards(bodies)
        installed = self._install_if_complete()
        if not installed:
            # The next pull carries digests and is answered with shards.
            self._pulled_at = float('-inf')
        return installed
