"""Reads and writes the configuration in the platform store.

The shards are written first, under keys that contain their digest, and the
manifest last, by a conditional update, so a partly written change is not
visible. A shard that is no longer used is deleted by the change after the one
that replaced it, so a reader with the previous manifest still finds it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import anyio
import msgspec

from cowsliprack.exceptions import (
    ConfigurationError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from cowsliprack.protocol.configuration_codec import (
    MANIFEST_KEY,
    Body,
    EncodedConfiguration,
    Manifest,
    decode_configuration,
    decode_manifest,
    encode_configuration,
    manifest_body,
    shard_digest,
    shard_key,
)
from cowsliprack.protocol.store import ObjectStore, new_attempt_id
from cowsliprack.state.configuration import Configuration

# The store counts as unavailable after this many tries of one call.
_MAX_TRIES = 6
# Delay between tries; the store client adds its own backoff.
RETRY_DELAY_SECONDS = 0.3
# Attempt ids of earlier changes in a manifest. Not more changes than these can
# be applied while one operator waits for an answer.
_MAX_EARLIER_ATTEMPTS = 16
_UNCONFIRMED_CHANGE = 'the store did not answer; the change may be in force'


class ConfigurationConflictError(StoreError):
    """The change of another operator was applied first."""


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """The configuration in force as read from the store.

    :param version: version of the manifest object; ``None`` before the first
        change.
    """

    version: int | None
    manifest: Manifest
    configuration: Configuration


async def read_manifest(store: ObjectStore) -> tuple[int | None, Manifest]:
    """Return the version and the content of the manifest.

    :param store: platform store.
    :raises StoreUnavailableError: no answer.
    :raises ConfigurationError: the manifest is malformed.
    """
    stored = await store.read(MANIFEST_KEY)
    if stored is None:
        return None, Manifest(generation=0)
    return stored.version, decode_manifest(stored.body)


async def read_shard(
    store: ObjectStore,
    number: int,
    digest: str,
) -> Body | None:
    """Return a shard, or ``None`` if it no longer exists or does not match.

    :param store: platform store.
    :param number: number of the shard.
    :param digest: digest of the shard from a manifest.
    :raises StoreUnavailableError: no answer.
    """
    stored = await store.read(shard_key(number, digest))
    if stored is None:
        return None
    body = stored.body.get('shard')
    if not isinstance(body, dict) or shard_digest(body) != digest:
        return None
    return body


async def read_configuration(store: ObjectStore) -> StoredConfiguration:
    """Return the configuration in force.

    :param store: platform store.
    :raises StoreUnavailableError: no answer, or manifest and shards differ.
    :raises ConfigurationError: the manifest or a shard is malformed.
    """
    for _ in range(_MAX_TRIES):
        version, manifest = await read_manifest(store)
        shards = {}
        for number, digest in manifest.digests.items():
            shards[number] = await read_shard(store, number, digest)
        if None not in shards.values():
            configuration = decode_configuration(manifest, shards)
            return StoredConfiguration(version, manifest, configuration)
        # The manifest was replaced while its shards were read.
        await anyio.sleep(RETRY_DELAY_SECONDS)
    raise StoreUnavailableError('manifest and shards do not agree')


async def write_configuration(
    store: ObjectStore,
    base: StoredConfiguration,
    configuration: Configuration,
) -> Manifest:
    """Apply a configuration as the generation after the base.

    :param store: platform store.
    :param base: configuration that the change is based on.
    :param configuration: new configuration; its generation is replaced.
    :returns: the manifest that is now in force.
    :raises ConfigurationConflictError: another change was applied first;
        nothing of this change is in force.
    :raises StoreUnavailableError: no answer; the change may be in force.
    """
    generation = base.manifest.generation + 1
    encoded = encode_configuration(
        replace(configuration, generation=generation)
    )
    changed_shards = _changed_shards(base.manifest, encoded)
    await _delete_unused_shards(store, base.manifest.superseded)
    for key, body in changed_shards.items():
        await _retry(_write_shard, store, key, body, generation)
    manifest = _next_manifest(base.manifest, encoded.manifest)
    try:
        await _commit(store, base.version, manifest)
    except ConfigurationConflictError:
        await _delete_unused_shards(store, tuple(changed_shards))
        raise
    return manifest


def _changed_shards(
    old: Manifest,
    encoded: EncodedConfiguration,
) -> dict[str, Body]:
    return {
        shard_key(number, digest): encoded.shards[number]
        for number, digest in encoded.manifest.digests.items()
        if old.digests.get(number) != digest
    }


def _next_manifest(old: Manifest, new: Manifest) -> Manifest:
    attempts = (old.attempt, *old.earlier_attempts)
    return msgspec.structs.replace(
        new,
        attempt=new_attempt_id(),
        earlier_attempts=attempts[:_MAX_EARLIER_ATTEMPTS],
        superseded=tuple(sorted(_shard_keys(old) - _shard_keys(new))),
    )


def _shard_keys(manifest: Manifest) -> set[str]:
    return {
        shard_key(number, digest) for number, digest in manifest.digests.items()
    }


async def _write_shard(
    store: ObjectStore,
    key: str,
    shard: Body,
    generation: int,
) -> None:
    # The generation protects the shard from deletion until the manifest that
    # names it is written; see ``_delete_unused_shards``.
    body: dict[str, object] = {
        'attempt': new_attempt_id(),
        'generation': generation,
        'shard': shard,
    }
    stored = await store.read(key)
    if stored is None:
        await store.create(key, body)
    elif _generation(stored.body) < generation:
        await store.update(key, body, stored.version)


async def _commit(
    store: ObjectStore,
    version: int | None,
    manifest: Manifest,
) -> None:
    body = manifest_body(manifest)
    for _ in range(_MAX_TRIES):
        try:
            if version is None:
                await store.create(MANIFEST_KEY, body)
            else:
                await store.update(MANIFEST_KEY, body, version)
        except StoreConflictError:
            await _resolve_conflict(store, manifest)
            return
        except StoreUnavailableError:
            # Repeating is safe: the write is conditional, so at most one of
            # the repetitions takes effect.
            await anyio.sleep(RETRY_DELAY_SECONDS)
        else:
            return
    raise StoreUnavailableError(_UNCONFIRMED_CHANGE)


async def _resolve_conflict(store: ObjectStore, manifest: Manifest) -> None:
    """Return if the own write caused the conflict, otherwise raise."""
    for _ in range(_MAX_TRIES):
        current = await _read_manifest_in_force(store)
        # The conflict shows that this generation exists already, so a
        # manifest of an earlier one is a stale read.
        if current.generation >= manifest.generation:
            _check_attempt(current, manifest.attempt)
            return
        await anyio.sleep(RETRY_DELAY_SECONDS)
    raise StoreUnavailableError(_UNCONFIRMED_CHANGE)


async def _read_manifest_in_force(store: ObjectStore) -> Manifest:
    try:
        _, current = await read_manifest(store)
    except StoreUnavailableError:
        return Manifest(generation=0)
    return current


def _check_attempt(current: Manifest, attempt: str) -> None:
    if attempt not in {current.attempt, *current.earlier_attempts}:
        raise ConfigurationConflictError(
            f'another change came first: generation {current.generation} is '
            'in force and nothing of this change is',
        )


async def _delete_unused_shards(
    store: ObjectStore, keys: tuple[str, ...]
) -> None:
    """Delete shards that the manifest does not name; ignore failures.

    The versions are read before the manifest. A shard that another operator
    is about to use has a later generation than that manifest, or is rewritten
    after its version was read, so that the conditional delete fails.
    """
    try:
        versions = await _read_versions(store, keys)
        _, manifest = await read_manifest(store)
        used_keys = _shard_keys(manifest)
        for key, (version, generation) in versions.items():
            if key not in used_keys and generation <= manifest.generation:
                await store.delete(key, version)
    except (StoreError, ConfigurationError):
        return


async def _read_versions(
    store: ObjectStore,
    keys: tuple[str, ...],
) -> dict[str, tuple[int, int]]:
    versions = {}
    for key in keys:
        stored = await store.read(key)
        if stored is not None:
            versions[key] = (stored.version, _generation(stored.body))
    return versions


def _generation(body: Mapping[str, object]) -> int:
    generation = body.get('generation')
    return generation if isinstance(generation, int) else 0


async def _retry(call: Any, *arguments: Any) -> Any:
    for _ in range(_MAX_TRIES - 1):
        try:
            return await call(*arguments)
        except (StoreUnavailableError, StoreConflictError):
            await anyio.sleep(RETRY_DELAY_SECONDS)
    return await call(*arguments)
