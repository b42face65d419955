"""Keeps the origins of streams in the store, beyond a kill of all instances.

The members of a region send the streams that they begin to the leader, which
writes them in batches. The number of calls to the store depends neither on the
number of instances nor on that of streams.
"""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice

import anyio
import msgspec
import structlog

from cowsliprack.coordination.stream_origins import MAX_ORIGINS
from cowsliprack.exceptions import (
    StoreConflictError,
    StoreError,
)
from cowsliprack.protocol.gateway_messages import StreamsBegun
from cowsliprack.protocol.store import ObjectStore, StoredObject
from cowsliprack.state.stream_origin import StreamOrigin

# Time in which the leader collects streams for one write.
WRITE_SECONDS = 0.5
# Shortest time in which a member collects streams for its messages to the
# leader, and the messages a second of all members together.
_SEND_SECONDS = 0.1
_MESSAGES_PER_SECOND = 200
_KIND = 'cowsliprack-streams'
# Objects that are written in turn: a batch is replaced after 128 s at the
# earliest, when its streams can no longer be taken up.
OBJECTS = 256
# Streams in one write, of 25 bytes each: half of the largest value.
_MAX_BATCH = 20_000
# Streams in one message, about 6 KB.
_MAX_MESSAGE = 200
# Shortest time between two reads of an instance, and the reads a second of all
# instances together.
_READ_INTERVAL_SECONDS = 1.0
_READS_PER_SECOND = 50
_KEY_SEPARATOR = ' '

_log = structlog.get_logger('cowsliprack.region')


class _Batch(msgspec.Struct):
    """Streams of one write.

    :param number: grows with each write.
    :param streams: service, software version, and the keys of streams that
        these began, separated by blanks.
    """

    number: int
    streams: list[tuple[str, str, str]]

    def find(self, key: str) -> StreamOrigin | None:
        """Return what began a stream; ``None`` if it is not in the batch.

        :param key: see ``origin_key``; keys have the same length.
        """
        for service, version, keys in self.streams:
            if key in keys:
                return StreamOrigin(service, version)
        return None


def begun_messages(
    begun: Iterable[tuple[str, StreamOrigin]],
) -> Iterator[StreamsBegun]:
    """Yield the messages that tell an instance of streams.

    :param begun: key and origin of each stream.
    """
    for origin, keys in _keys_by_origin(begun).items():
        for first in range(0, len(keys), _MAX_MESSAGE):
            yield StreamsBegun(
                origin.service,
                origin.software_version,
                tuple(keys[first : first + _MAX_MESSAGE]),
            )


def _keys_by_origin(
    begun: Iterable[tuple[str, StreamOrigin]],
) -> dict[StreamOrigin, list[str]]:
    keys_by_origin: defaultdict[StreamOrigin, list[str]] = defaultdict(list)
    for key, origin in begun:
        keys_by_origin[origin].append(key)
    return keys_by_origin


@dataclass(slots=True)
class OriginRecorder:
    """Writes the origins of streams to the store, and finds them there.

    :param store: store of the platform.
    :param clock: seconds; must keep running during suspension.
    :param is_leading: whether this instance writes for all others.
    :param send_to_leader: sends a message to a leader that writes; returns
        whether there is one.
    :param recent: returns the streams begun lately that this instance knows;
        they are written again where earlier writes may be missing.
    :param is_own: returns whether this instance began a stream.
    :param instances: returns the number of instances of the region.
    """

    store: ObjectStore
    clock: Callable[[], float]
    is_leading: Callable[[], bool]
    send_to_leader: Callable[[StreamsBegun], bool]
    recent: Callable[[], Iterable[tuple[str, StreamOrigin]]]
    is_own: Callable[[str], bool]
    instances: Callable[[], int] = int
    _origin_by_pending_key: dict[str, StreamOrigin] = field(
        default_factory=dict
    )
    _due: anyio.Event = field(default_factory=anyio.Event)
    # One call to the store at a time, as both reads and writes change what is
    # known of its objects.
    _calling: anyio.Lock = field(default_factory=anyio.Lock)
    _batches: list[_Batch] = field(default_factory=list)
    _version_by_key: dict[str, int] = field(default_factory=dict)
    # Whether the objects must be listed before the next write.
    _must_list: bool = True
    _era: int = 0
    _last_number: int = 0
    _read_at: float = -math.inf

    def add(self, key: str, origin: StreamOrigin) -> None:
        """Record a stream with the next write; a later origin replaces it.

        :param key: see ``origin_key``.
        :param origin: of the stream.
        """
        pending = self._origin_by_pending_key
        pending.pop(key, None)
        pending[key] = origin
        if len(pending) > MAX_ORIGINS:
            pending.pop(next(iter(pending)))
        self._due.set()

    def forget(self, key: str) -> None:
        """Do not record a stream that has not been sent or written yet.

        :param key: see ``origin_key``.
        """
        self._origin_by_pending_key.pop(key, None)

    def leader_found(self) -> None:
        """Send what could not be sent before."""
        if self._origin_by_pending_key:
            self._due.set()

    async def run(self) -> None:
        """Write or send the streams that are added, until cancelled."""
        while True:
            await self._due.wait()
            await anyio.sleep(self.gathering_seconds())
            self._due = anyio.Event()
            await self.flush()

    def gathering_seconds(self) -> float:
        """Return the time in which streams are collected, in seconds."""
        if self.is_leading():
            return WRITE_SECONDS
        return max(_SEND_SECONDS, self.instances() / _MESSAGES_PER_SECOND)

    async def flush(self) -> None:
        """Write the added streams, or send them to the leader.

        A write that fails is repeated with the next streams.
        """
        if not self.is_leading():
            self._must_list = True
            self._send()
            return
        try:
            async with self._calling:
                await self._write()
        except StoreError as error:
            _log.warning(
                'streams_not_recorded',
                reason=str(error),
                pending=len(self._origin_by_pending_key),
            )
        if self._origin_by_pending_key:
            self._due.set()

    async def find(self, key: str) -> StreamOrigin | None:
        """Return the recorded origin of a stream; ``None`` if there is none.

        :param key: see ``origin_key``.
        """
        found = self._find_read(key)
        if found is not None:
            return found
        async with self._calling:
            if self.clock() - self._read_at >= self._read_interval():
                await self._try_read()
        return self._find_read(key)

    def _find_read(self, key: str) -> StreamOrigin | None:
        for batch in reversed(self._batches):
            found = batch.find(key)
            if found is not None:
                return found
        return None

    def _read_interval(self) -> float:
        return max(_READ_INTERVAL_SECONDS, self.instances() / _READS_PER_SECOND)

    async def _try_read(self) -> None:
        try:
            await self._read()
        except StoreError as error:
            _log.warning('recorded_streams_not_read', reason=str(error))

    async def _read(self) -> list[StoredObject]:
        self._read_at = self.clock()
        stored = await self.store.list(f'{_KIND}/')
        batches = filter(None, map(_parse_batch, stored))
        self._batches = sorted(batches, key=lambda batch: batch.number)
        _log.info('recorded_streams_read', objects=len(stored))
        return stored

    async def _prepare_writes(self) -> None:
        stored = await self._read()
        self._version_by_key = {found.key: found.version for found in stored}
        self._must_list = False
        self._era = self.store.era
        if self._batches:
            newest = self._batches[-1].number
            self._last_number = max(self._last_number, newest)

    async def _write(self) -> None:
        must_list = self._must_list or self.store.era != self._era
        if must_list:
            self._origin_by_pending_key = {
                **dict(self.recent()),
                **self._origin_by_pending_key,
            }
        written = list(islice(self._origin_by_pending_key.items(), _MAX_BATCH))
        if not written:
            return
        if must_list:
            await self._prepare_writes()
        self._last_number += 1
        await self._put(_Batch(self._last_number, _packed(written)))
        origin_by_written_key = dict(written)
        self._origin_by_pending_key = {
            key: origin
            for key, origin in self._origin_by_pending_key.items()
            if origin_by_written_key.get(key) != origin
        }

    async def _put(self, batch: _Batch) -> None:
        key = f'{_KIND}/{batch.number % OBJECTS}'
        body: dict[str, object] = msgspec.to_builtins(batch)
        try:
            version = self._version_by_key.get(key)
            if version is None:
                stored = await self.store.create(key, body)
            else:
                stored = await self.store.update(key, body, version)
        except StoreConflictError:
            # Another leader has written, an earlier call has taken effect, or
            # the store has come back from a copy.
            self._must_list = True
            raise
        self._version_by_key[key] = stored.version

    def _send(self) -> None:
        # Members send theirs to a new leader themselves, and those that they
        # had sent to this instance before may have begun elsewhere since.
        self._origin_by_pending_key = {
            key: origin
            for key, origin in self._origin_by_pending_key.items()
            if self.is_own(key)
        }
        sent = map(
            self.send_to_leader,
            begun_messages(self._origin_by_pending_key.items()),
        )
        if all(sent):
            self._origin_by_pending_key.clear()


def _packed(
    begun: Iterable[tuple[str, StreamOrigin]],
) -> list[tuple[str, str, str]]:
    return [
        (origin.service, origin.software_version, _KEY_SEPARATOR.join(keys))
        for origin, keys in _keys_by_origin(begun).items()
    ]


def _parse_batch(stored: StoredObject) -> _Batch | None:
    try:
        return msgspec.convert(stored.body, _Batch)
    except msgspec.ValidationError as error:
        _log.warning(
            'recorded_streams_malformed', key=stored.key, error=str(error)
        )
        return None
