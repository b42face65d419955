"""Encoding of a configuration as a manifest and 256 shards.

The store key of a shard contains its digest, and a stored shard is never
changed. A manifest therefore always refers to exactly the shards that it was
written with, and an incomplete write is invisible until its manifest is
stored.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from cowsliprack.exceptions import ConfigurationError
from cowsliprack.state.configuration import (
    Configuration,
    Deployment,
    Organisation,
    Policy,
    Service,
    Target,
)

MANIFEST_KEY = 'configuration/manifest'
SHARDS_PREFIX = 'configuration/shards/'
SHARD_COUNT = 256
# 128 bits make an accidental collision practically impossible.
_DIGEST_BYTES = 16

Body = dict[str, Any]


class Manifest(msgspec.Struct, frozen=True):
    """Root of one generation of the configuration.

    :param digests: digest of each non-empty shard, by shard number.
    :param attempt: id of the write.
    :param earlier_attempts: ids of the writes of previous generations, latest
        first. A writer whose response was lost looks for its own id here.
    :param superseded: store keys of shards that only the previous generation
        used.
    """

    generation: int
    digests: dict[int, str] = {}
    zones: tuple[str, ...] = ()
    policy: Policy = msgspec.field(default_factory=Policy)
    attempt: str = ''
    earlier_attempts: tuple[str, ...] = ()
    superseded: tuple[str, ...] = ()


class Shard(msgspec.Struct, frozen=True):
    """Entries whose names hash to one shard number, by section."""

    organisations: dict[str, Organisation] = {}
    keys: dict[str, str] = {}
    deployments: dict[str, Deployment] = {}
    services: dict[str, Service] = {}
    targets: dict[str, Target] = {}


@dataclass(frozen=True, slots=True)
class EncodedConfiguration:
    """A manifest and the bodies of its shards, by shard number."""

    manifest: Manifest
    shards: Mapping[int, Body]


def shard_number(name: str) -> int:
    """Return the number of the shard that contains an entry.

    :param name: name of the entry; for an API key, its digest.
    """
    return hashlib.blake2b(name.encode(), digest_size=1).digest()[0]


def shard_digest(body: Mapping[str, Any]) -> str:
    """Return the digest of a shard.

    :param body: JSON-compatible body of the shard.
    """
    encoded = msgspec.json.encode(body, order='sorted')
    return hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).hexdigest()


def shard_key(number: int, digest: str) -> str:
    """Return the store key of a shard."""
    return f'{SHARDS_PREFIX}{number}/{digest}'


def encode_configuration(configuration: Configuration) -> EncodedConfiguration:
    """Encode a configuration as a manifest and shards.

    :param configuration: configuration to encode.
    """
    sections: dict[str, Mapping[str, object]] = {
        'organisations': configuration.organisations_by_id,
        'keys': configuration.organisation_id_by_key_digest,
        'deployments': configuration.deployments_by_name,
        'services': configuration.services_by_route,
        'targets': configuration.targets_by_id,
    }
    shards: dict[int, Body] = {}
    for section, entries in sections.items():
        for name, entry in _to_builtins(entries).items():
            shard = shards.setdefault(shard_number(name), {})
            shard.setdefault(section, {})[name] = entry
    manifest = Manifest(
        generation=configuration.generation,
        digests={number: shard_digest(body) for number, body in shards.items()},
        zones=configuration.zones,
        policy=configuration.policy,
    )
    return EncodedConfiguration(manifest, shards)


def decode_configuration(
    manifest: Manifest,
    bodies: Mapping[int, Body],
) -> Configuration:
    """Decode the configuration of a manifest.

    :param manifest: root of the generation.
    :param bodies: body of each shard in the manifest, by shard number.
    :raises ConfigurationError: a shard is missing or malformed, or its digest
        is not the one in the manifest.
    """
    shards = {
        number: decode_shard(number, digest, bodies.get(number))
        for number, digest in manifest.digests.items()
    }
    return merge_shards(manifest, shards)


def decode_shard(number: int, digest: str, body: Body | None) -> Shard:
    """Decode a shard.

    :param number: number of the shard.
    :param digest: digest of the shard in its manifest.
    :param body: JSON-compatible body; ``None`` if the shard is missing.
    :raises ConfigurationError: the shard is missing or malformed, or has
        another digest.
    """
    if body is None or shard_digest(body) != digest:
        raise ConfigurationError(
            [
                f'shard {number} is missing or does not match its digest',
            ]
        )
    try:
        return msgspec.convert(body, Shard)
    except msgspec.ValidationError as error:
        raise ConfigurationError([f'shard {number}: {error}']) from None


def merge_shards(
    manifest: Manifest,
    shards: Mapping[int, Shard],
) -> Configuration:
    """Merge the decoded shards of a manifest into a configuration.

    :param manifest: root of the generation.
    :param shards: each shard in the manifest, by shard number.
    """
    merged = Shard()
    for number in manifest.digests:
        shard = shards[number]
        for section in Shard.__struct_fields__:
            getattr(merged, section).update(getattr(shard, section))
    return Configuration(
        generation=manifest.generation,
        zones=manifest.zones,
        organisations_by_id=merged.organisations,
        organisation_id_by_key_digest=merged.keys,
        deployments_by_name=merged.deployments,
        services_by_route=merged.services,
        targets_by_id=merged.targets,
        policy=manifest.policy,
    )


def manifest_body(manifest: Manifest) -> Body:
    """Return a manifest as a JSON-compatible mapping."""
    return msgspec.to_builtins(manifest, str_keys=True)


def decode_manifest(body: Mapping[str, Any]) -> Manifest:
    """Decode the manifest from a stored object or a message.

    :param body: JSON-compatible body of the manifest.
    :raises ConfigurationError: the manifest is malformed.
    """
    try:
        return msgspec.convert(body, Manifest, str_keys=True)
    except msgspec.ValidationError as error:
        raise ConfigurationError([f'{MANIFEST_KEY}: {error}']) from None


def _to_builtins(entries: object) -> Body:
    # Sets are sorted so that equal entries have equal digests.
    encoded = msgspec.json.encode(entries, order='deterministic')
    return msgspec.json.decode(encoded)
