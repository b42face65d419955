"""Bytes and connections that an instance holds for its callers.

Addresses crowds of callers that stop short of the end of their bodies, send
many requests ahead, or do not read: one account of all bytes, with a bound, and
the rules for what is dropped above it. Times are passed in; nothing is sent or
closed here.
"""

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

_MEGABYTE = 1_000_000
# An instance with many models and targets needs this much for itself.
_OWN_BYTES = 100 * _MEGABYTE
# Parts of the rest. A body takes up to twice its size while it is joined or
# sent, and the allocator needs room, so the parts stay below half together.
_HELD_SHARE = 0.3
_UNFINISHED_SHARE = 0.25
_CONNECTIONS_SHARE = 0.3
# Three bodies of the largest size that the deployments allow.
_MIN_HELD_BYTES = 3 * 4_194_304
# Two answers of the largest size; above the second bound more memory does not
# help, as it takes tens of endless answers to get there.
_MIN_UNFINISHED_BYTES = 16 * _MEGABYTE
_MAX_UNFINISHED_BYTES = 60 * _MEGABYTE
# A connection without a body takes 12 to 32 KB.
_BYTES_PER_CONNECTION = 32_768
# Descriptors for listeners, the store, other instances and files.
_RESERVED_DESCRIPTORS = 64
_MIN_CONNECTIONS = 16

# Time without progress after which a caller counts as stalled; one that sends
# or reads slowly makes progress several times a second.
STALLED_SECONDS = 1.0
# Time without any progress after which a caller is dropped in any case, above
# all time limits of routes.
ABANDONED_SECONDS = 30.0
# Only callers that hold at least this part of the bound are worth dropping
# before others that hold more.
_SMALL_SHARE = 1 / 64


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds of what an instance holds for its callers.

    :param held_bytes: bodies, bytes read ahead and answers not yet read.
    :param unfinished_bytes: answers that are being read from targets.
    :param connections: open connections of callers.
    """

    held_bytes: int
    unfinished_bytes: int
    connections: int


def caller_limits(memory_mb: float, max_descriptors: int) -> CallerLimits:
    """Return the bounds for a machine.

    :param memory_mb: memory of the machine, MB.
    :param max_descriptors: file descriptors that the process may open.
    """
    spare = max(0, memory_mb * _MEGABYTE - _OWN_BYTES)
    unfinished = min(spare * _UNFINISHED_SHARE, _MAX_UNFINISHED_BYTES)
    # Each request may take a connection to a target as well.
    connections = (max_descriptors - _RESERVED_DESCRIPTORS) // 2
    fitting = max(spare, _OWN_BYTES) * _CONNECTIONS_SHARE
    return CallerLimits(
        held_bytes=max(_MIN_HELD_BYTES, int(spare * _HELD_SHARE)),
        unfinished_bytes=max(_MIN_UNFINISHED_BYTES, int(unfinished)),
        connections=max(
            _MIN_CONNECTIONS,
            min(connections, int(fitting / _BYTES_PER_CONNECTION)),
        ),
    )


@enum.unique
class DropReason(enum.StrEnum):
    """Why bytes that are held for a caller are dropped."""

    memory = 'memory'
    abandoned = 'abandoned'


def _do_nothing() -> None:
    """Drop nothing: there is nothing to end yet."""


def _is_never() -> bool:
    return False


@dataclass(slots=True, eq=False)
class Holding:
    """Bytes that are held for one connection or request.

    :param progressed_at: when the caller last sent or took bytes, seconds.
    :param waits_for_caller: whether the caller has to send or take bytes.
    :param is_dropped: whether no more may be held.
    :param drop: ends what holds the bytes.
    :param is_spared: returns whether dropping could break a promise, because
        the request may run on a target.
    """

    progressed_at: float = 0
    held_bytes: int = 0
    waits_for_caller: bool = True
    is_dropped: bool = False
    drop: Callable[[], None] = _do_nothing
    is_spared: Callable[[], bool] = _is_never

    def detach(self) -> None:
        """Forget the functions, which refer to what holds the bytes."""
        self.drop = _do_nothing
        self.is_spared = _is_never


@dataclass(slots=True)
class CallerMemory:
    """Account of all bytes that an instance holds for its callers.

    :param max_bytes: bound of the sum.
    :param held_bytes: the sum.
    :param peak_bytes: largest sum since it was last reset.
    :param dropped: number of drops by reason.
    :param dropped_bytes: bytes that were dropped.
    """

    max_bytes: int
    held_bytes: int = 0
    peak_bytes: int = 0
    dropped: dict[DropReason, int] = field(
        default_factory=lambda: dict.fromkeys(DropReason, 0)
    )
    dropped_bytes: int = 0
    _holdings: set[Holding] = field(default_factory=set)

    def add(self, holding: Holding, now: float) -> None:
        """Count the bytes of a connection or request from now on.

        :param holding: of the connection or request.
        :param now: seconds.
        """
        holding.progressed_at = now
        self._holdings.add(holding)

    def remove(self, holding: Holding) -> None:
        """Stop counting the bytes of a connection or request.

        :param holding: of the connection or request.
        """
        self._holdings.discard(holding)
        self.held_bytes -= holding.held_bytes
        holding.held_bytes = 0
        holding.is_dropped = True

    def keep(self, holding: Holding, held_bytes: int, now: float) -> None:
        """Record progress of a caller and what is held for it.

        :param holding: of the connection or request.
        :param held_bytes: all that is held.
        :param now: seconds.
        """
        if holding.is_dropped:
            return
        holding.progressed_at = now
        self.held_bytes += held_bytes - holding.held_bytes
        holding.held_bytes = held_bytes
        while self.held_bytes > self.max_bytes:
            self._drop(self._choose(now), DropReason.memory)
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    def drop_abandoned(self, now: float) -> None:
        """Drop what has waited for its caller for too long.

        :param now: seconds.
        """
        abandoned = [
            holding
            for holding in self._holdings
            if holding.waits_for_caller
            and now - holding.progressed_at >= ABANDONED_SECONDS
        ]
        for holding in abandoned:
            self._drop(holding, DropReason.abandoned)

    def _choose(self, now: float) -> Holding:
        """Return what is dropped first.

        That is the most that waits for a stalled caller; else the most, and of
        equal ones what came last, as the others are further on.
        """
        stalled = [
            holding
            for holding in self._holdings
            if holding.waits_for_caller
            and holding.held_bytes >= self.max_bytes * _SMALL_SHARE
            and now - holding.progressed_at >= STALLED_SECONDS
        ]
        if stalled:
            return max(
                stalled, key=lambda held: (held.held_bytes, -held.progressed_at)
            )
        return max(
            [held for held in self._holdings if not held.is_spared()]
            or self._holdings,
            key=lambda held: (held.held_bytes, held.progressed_at),
        )

    def _drop(self, holding: Holding, reason: DropReason) -> None:
        self.dropped[reason] += 1
        self.dropped_bytes += holding.held_bytes
        self.remove(holding)
        holding.drop()


class CallerConnection(Protocol):
    """What the choice of a connection to close depends on.

    :param handled: number of its requests that are handled.
    :param requests: number of requests that have begun on it.
    :param is_reading_body: whether a body has not arrived whole.
    :param progressed_at: when its last bytes arrived, seconds.
    """

    handled: int
    requests: int
    is_reading_body: bool
    progressed_at: float


_Connection = TypeVar('_Connection', bound=CallerConnection)


def choose_closed(
    connections: Iterable[_Connection], now: float
) -> _Connection | None:
    """Return the connection to close for a new one; ``None`` if all are in use.

    Those that never sent a whole head come first, then idle ones, then bodies
    of stalled callers; of each kind the one that is silent for longest.

    :param connections: open connections of callers.
    :param now: seconds.
    """
    candidates = [
        connection
        for connection in connections
        if not connection.handled
        or (
            connection.is_reading_body
            and now - connection.progressed_at >= STALLED_SECONDS
        )
    ]
    return min(
        candidates,
        key=lambda connection: (
            connection.handled,
            min(connection.requests, 1),
            connection.progressed_at,
        ),
        default=None,
    )
