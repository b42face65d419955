"""Shards of the configuration as kept in memory and sent in messages."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from cowsliprack.protocol.configuration_codec import (
    Body,
    Manifest,
    Shard,
    decode_shard,
)

# Limit of the shards in one message; the frame limit is twice as high.
MAX_PART_BYTES = 200_000


@dataclass(frozen=True, slots=True)
class VerifiedShard:
    """A shard whose digest was checked.

    :param encoded: body as JSON, which takes less memory than the mapping.
    :param entries: decoded body.
    """

    digest: str
    encoded: bytes
    entries: Shard

    def body(self) -> Body:
        """Return the shard as a JSON-compatible mapping."""
        return msgspec.json.decode(self.encoded)


@dataclass(slots=True)
class IncomingGeneration:
    """A newer generation whose shards have not all been received."""

    manifest: Manifest
    shards: dict[int, VerifiedShard]

    def missing(self) -> dict[int, str]:
        """Return the digests of the missing shards, by number."""
        return {
            number: digest
            for number, digest in self.manifest.digests.items()
            if number not in self.shards
        }


def verify_shard(number: int, digest: str, body: Body) -> VerifiedShard:
    """Check the digest of a shard and decode it.

    :param number: of the shard.
    :param digest: expected by the manifest.
    :param body: JSON-compatible.
    :raises ConfigurationError: the digest differs or the body is invalid.
    """
    entries = decode_shard(number, digest, body)
    return VerifiedShard(digest, msgspec.json.encode(body), entries)


def digest_of(shard: VerifiedShard | None) -> str:
    """Return the digest of a shard; empty without a shard."""
    return shard.digest if shard else ''


def body_of(shard: VerifiedShard | None) -> Body:
    """Return the body of a shard; empty without a shard."""
    return shard.body() if shard else {}


def split_parts(bodies: dict[int, Body]) -> Iterable[dict[int, Body]]:
    """Split shards into parts below the size limit; yield at least one.

    A shard above the limit is a part of its own.

    :param bodies: of shards by number.
    """
    part: dict[int, Body] = {}
    size = 0
    for number, body in bodies.items():
        length = len(msgspec.msgpack.encode(body))
        if part and size + length > MAX_PART_BYTES:
            yield part
            part = {}
            size = 0
        part[number] = body
        size += length
    yield part
