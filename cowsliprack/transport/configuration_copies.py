"""Sends the configuration in force to the members of a leader.

A copy for each of hundreds of members at once would occupy the leader's link
for seconds, in which it reaches neither engines nor the store.
"""

import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import structlog

from cowsliprack.coordination.region_state import Member
from cowsliprack.coordination.token_credit import TokenBucket
from cowsliprack.exceptions import PeerMessageError
from cowsliprack.protocol.gateway_messages import (
    CompressedConfiguration,
    ConfigurationCopy,
)
from cowsliprack.protocol.message_level import (
    COMPRESSED_CONFIGURATION_LEVEL,
    message_level,
)
from cowsliprack.protocol.peer import AnyPeerMessage

# Share of the link that copies may use.
_LINK_SHARE = 0.4
# Copies that may leave at once, in seconds of that share.
_BURST_SECONDS = 0.05
_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1e6
# The platform's store holds no larger object.
_MAX_CONFIGURATION_BYTES = 2**20

_log = structlog.get_logger('cowsliprack.region')

Deliver = Callable[[str, str, AnyPeerMessage], bool]


@dataclass(frozen=True, slots=True)
class _Copy:
    generation: int
    plain: ConfigurationCopy
    compressed: CompressedConfiguration


class ConfigurationCopies:
    """Copies that one leader sends.

    :param read_copy: returns the configuration in force as stored.
    :param deliver: sends a message to an instance (id, address, message).
    :param link_megabits: bandwidth of the instance's link a second.
    """

    def __init__(
        self,
        read_copy: Callable[[], bytes],
        deliver: Deliver,
        link_megabits: float,
    ) -> None:
        """Send nothing until the first call."""
        self._read_copy = read_copy
        self._deliver = deliver
        rate = link_megabits * _BITS_PER_MEGABIT / _BITS_PER_BYTE * _LINK_SHARE
        burst = rate * _BURST_SECONDS
        self._allowed_bytes = TokenBucket(rate, burst, burst)
        self._copy: _Copy | None = None

    def send(
        self, members: Iterable[Member], generation: int, now: float
    ) -> None:
        """Send copies that are due, as far as the link allows.

        :param members: that report to this leader.
        :param generation: generation of the configuration in force.
        :param now: seconds.
        """
        waiting = [
            member for member in members if member.needs_copy(generation, now)
        ]
        waiting.sort(key=lambda member: member.copied_at)
        bucket = self._allowed_bytes
        bucket.refill(now)
        for member in waiting:
            if bucket.level <= 0:
                return
            message = self._message_for(member, generation)
            bucket.level -= _size(message)
            member.record_copy(generation, now)
            report = member.report
            self._deliver(report.instance_id, report.address, message)

    def _message_for(
        self, member: Member, generation: int
    ) -> ConfigurationCopy | CompressedConfiguration:
        copy = self._copy
        if copy is None or copy.generation != generation:
            spec = self._read_copy()
            copy = _Copy(
                generation,
                ConfigurationCopy(spec),
                CompressedConfiguration(zlib.compress(spec)),
            )
            self._copy = copy
            _log.info(
                'configuration_copied',
                generation=generation,
                bytes=len(spec),
                compressed_bytes=len(copy.compressed.packed),
            )
        level = message_level(member.report.boot)
        if level >= COMPRESSED_CONFIGURATION_LEVEL:
            return copy.compressed
        return copy.plain


def unpack_configuration(
    message: ConfigurationCopy | CompressedConfiguration,
) -> bytes:
    """Return the configuration as stored.

    :param message: from the leader.
    :raises PeerMessageError: it cannot be unpacked or is too large.
    """
    if isinstance(message, ConfigurationCopy):
        return message.spec
    unpacker = zlib.decompressobj()
    try:
        spec = unpacker.decompress(message.packed, _MAX_CONFIGURATION_BYTES)
    except zlib.error as error:
        raise PeerMessageError(
            f'configuration not unpacked: {error}'
        ) from error
    if not unpacker.eof:
        raise PeerMessageError('configuration truncated or too large')
    return spec


def _size(message: ConfigurationCopy | CompressedConfiguration) -> int:
    if isinstance(message, ConfigurationCopy):
        return len(message.spec)
    return len(message.packed)
