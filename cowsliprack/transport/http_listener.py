"""Serves an ASGI application on sockets and closes them gracefully."""

import asyncio
import socket
import sys
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import anyio
import structlog
from anyio.lowlevel import checkpoint
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config

from cowsliprack.coordination.caller_memory import (
    ABANDONED_SECONDS,
    CallerMemory,
    Holding,
    choose_closed,
)
from cowsliprack.transport.clock import read_clock
from cowsliprack.transport.exchange import (
    ABORT_KEY,
    AsgiMessage,
    Receive,
    Send,
)

LISTEN_BACKLOG = 1024
# Connections that are accepted before others are closed in their place; the
# event loop would accept the whole backlog at once.
_ACCEPTED_AT_ONCE = 16
# Bytes that are read ahead of a request: a connection's reader stops at twice
# the first number, which one read may exceed by the second.
_READ_AHEAD_BYTES = 16_384
_MAX_READ_BYTES = 32_768
_SWEEP_SECONDS = 1.0
_MAX_HEADER_BYTES = 65_536
# Longer than any idle time that a configuration allows callers.
_KEEP_ALIVE_SECONDS = 90
_MAX_REQUESTS_PER_CONNECTION = 1_000_000
# Steps of the event loop within which bytes that have been read become a
# request that is handled; it takes about ten.
_SETTLING_STEPS = 50

# Key of a request's connection in the state of its ASGI scope.
_STATE_KEY = 'connection'

_log = structlog.get_logger('cowsliprack.listener')

Application = Callable[[dict[str, Any], Receive, Send], Awaitable[None]]
Accept = Callable[[asyncio.StreamReader, asyncio.StreamWriter], None]


def _ignore_sweep(_now: float) -> None:
    """Do nothing after a sweep."""


@dataclass(slots=True, eq=False)
class _Connection:
    """An open connection.

    :param handled: number of its requests that the application handles.
    :param requests: number of requests that have begun on it.
    :param is_reading_body: whether a body has not arrived whole.
    :param progressed_at: when its last bytes arrived, seconds.
    :param unparsed_bytes: at most so many bytes were read and have not gone to
        the application.
    :param last_read_bytes: size of the last read.
    :param unsent_bytes: bytes that its caller had not taken at the last sweep.
    :param taken_at: when its caller was last seen to take bytes, seconds.
    """

    transport: asyncio.Transport
    task: asyncio.Task[Any]
    memory: CallerMemory
    handled: int = 0
    requests: int = 0
    is_reading_body: bool = False
    progressed_at: float = field(default_factory=read_clock)
    buffered_bytes: int = 0
    unparsed_bytes: int = 0
    last_read_bytes: int = 0
    unsent_bytes: int = 0
    taken_at: float = 0
    holding: Holding = field(
        default_factory=partial(Holding, waits_for_caller=False)
    )

    def add_buffered(self, count: int) -> None:
        """Record that bytes have arrived."""
        self.buffered_bytes += count
        self.progressed_at = read_clock()
        self.keep()

    def take_buffered(self, count: int) -> None:
        """Record that bytes go to the parser, which asks when it has none."""
        self.buffered_bytes -= count
        self.last_read_bytes = count
        if self.handled:
            # Earlier ones are part of the body, which is counted elsewhere.
            self.unparsed_bytes = count
        else:
            self.unparsed_bytes += count

    def pass_on(self, count: int) -> None:
        """Record that bytes of a body go to the application."""
        self.unparsed_bytes = max(0, self.unparsed_bytes - count)
        self.keep()

    def begin_request(self) -> None:
        """Record that the application begins to handle a request."""
        self.handled += 1
        self.requests += 1
        self.is_reading_body = True

    def end_request(self) -> None:
        """Record that the application has handled a request."""
        self.handled -= 1
        self.is_reading_body = False
        self.unparsed_bytes = min(self.unparsed_bytes, self.last_read_bytes)
        self.keep()

    def keep(self) -> None:
        """Count what is held for the connection."""
        self.memory.keep(
            self.holding,
            self.buffered_bytes + self.unparsed_bytes + self.unsent_bytes,
            self.progressed_at,
        )

    def check_unsent(self, now: float) -> None:
        """Close the connection if its caller has not taken bytes for long."""
        unsent = self.transport.get_write_buffer_size()
        if not unsent or unsent != self.unsent_bytes:
            self.taken_at = now
        self.unsent_bytes = unsent
        if now - self.taken_at >= ABANDONED_SECONDS:
            self.transport.abort()
        self.keep()


@dataclass(slots=True)
class _RequestChannel:
    """Messages of one request between the library and the application."""

    connection: _Connection
    receive_message: Receive
    send_message: Send
    is_read: bool = False

    async def receive(self) -> AsgiMessage:
        """Return the next message and notice the end of the body."""
        message = await self.receive_message()
        body = message.get('body')
        if body:
            self.connection.pass_on(len(body))
        if not message.get('more_body'):
            self.is_read = True
            self.connection.is_reading_body = False
        return message

    async def send(self, message: AsgiMessage) -> None:
        """Send a message.

        At the end of an answer the library waits until the queue of the
        request's messages has room, so the rest of the body is read.
        """
        if self.is_read or message.get('more_body', True):
            await self.send_message(message)
            return
        discarding = asyncio.ensure_future(self._discard())
        try:
            await self.send_message(message)
        finally:
            discarding.cancel()

    async def _discard(self) -> None:
        while not self.is_read:
            await self.receive()


class _CountingReader(asyncio.StreamReader):
    """Reader that counts what it has buffered for a connection."""

    connection: _Connection | None = None
    _early_bytes = 0

    def feed_data(self, data: bytes) -> None:
        """Buffer bytes that have arrived."""
        super().feed_data(data)
        if self.connection is None:
            self._early_bytes += len(data)
        else:
            self.connection.add_buffered(len(data))

    async def read(self, n: int = -1) -> bytes:
        """Return bytes that have arrived, see the base class."""
        chunk = await super().read(n)
        if self.connection is not None:
            self.connection.take_buffered(len(chunk))
        return chunk

    def count_for(self, connection: _Connection) -> None:
        """Count the bytes of a connection from now on."""
        self.connection = connection
        if self._early_bytes:
            connection.add_buffered(self._early_bytes)


class _CallerServer(TCPServer):
    """Serves a connection until its caller closes it.

    The library goes on waiting for the idle time of the connection, which would
    keep its descriptor for so long.
    """

    async def _read_data(self) -> None:
        await super()._read_data()
        await self.idle_task.stop()

    async def _idle_timeout(self) -> None:
        # The time also begins when the last request has been handled.
        if not self.reader.at_eof():
            await super()._idle_timeout()


@dataclass(slots=True)
class ListenerLimits:
    """What a listener holds for its callers.

    :param memory: account of the bytes.
    :param max_connections: bound of open connections.
    :param closed_connections: number of connections closed for new ones.
    :param opened: number of open connections.
    :param swept: called every second with the time in seconds.
    """

    memory: CallerMemory = field(
        default_factory=lambda: CallerMemory(sys.maxsize)
    )
    max_connections: int = sys.maxsize
    closed_connections: int = 0
    opened: int = 0
    swept: Callable[[float], None] = _ignore_sweep


@dataclass(slots=True)
class _Connections:
    """Open connections.

    :param accepted: number of accepted ones that are not registered yet.
    :param changed: set when a connection begins, or it or a request has ended.
    """

    limits: ListenerLimits
    opened: set[_Connection] = field(default_factory=set)
    accepted: int = 0
    changed: anyio.Event = field(default_factory=anyio.Event)

    @contextmanager
    def registered(self, connection: _Connection) -> Iterator[None]:
        """Register a connection for the duration of the context."""
        self.opened.add(connection)
        self.limits.opened = len(self.opened)
        self.limits.memory.add(connection.holding, read_clock())
        connection.holding.drop = connection.transport.abort
        self._notify()
        try:
            yield
        finally:
            self._forget(connection)
            self._notify()

    def make_room(self) -> bool:
        """Return whether a connection fits, after closing another one."""
        count = len(self.opened) + self.accepted
        if count < self.limits.max_connections:
            return True
        self.limits.closed_connections += 1
        closed = choose_closed(self.opened, read_clock())
        if closed is None:
            return False
        closed.transport.abort()
        self._forget(closed)
        return True

    async def sweep(self) -> None:
        """Drop callers without progress, again and again."""
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            now = read_clock()
            for connection in tuple(self.opened):
                connection.check_unsent(now)
            self.limits.memory.drop_abandoned(now)
            self.limits.swept(now)

    @contextmanager
    def handling(self, connection: _Connection) -> Iterator[None]:
        """Count a request of a connection for the duration of the context."""
        connection.begin_request()
        try:
            yield
        finally:
            connection.end_request()
            self._notify()

    async def close(self) -> None:
        """Close each connection once none of its requests is handled.

        No more bytes are read from the idle ones first, so that what has been
        read becomes a request that is answered before its connection closes.
        """
        while True:
            changed = self.changed
            await self._close_idle()
            if not self.opened:
                break
            await changed.wait()

    async def _close_idle(self) -> None:
        idle = [
            connection for connection in self.opened if not connection.handled
        ]
        for paused in idle:
            paused.transport.pause_reading()
        # Connections that were accepted last are registered meanwhile.
        for _ in range(_SETTLING_STEPS):
            await checkpoint()
        for connection in idle:
            if connection.handled:
                # Its body may still be on the way.
                connection.transport.resume_reading()
            else:
                connection.transport.close()

    def _forget(self, connection: _Connection) -> None:
        self.opened.discard(connection)
        self.limits.opened = len(self.opened)
        self.limits.memory.remove(connection.holding)
        connection.holding.detach()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()


async def serve_addresses(
    application: Application,
    addresses: list[str],
    stopped: anyio.Event,
    graceful_timeout_seconds: float,
    limits: ListenerLimits | None = None,
) -> None:
    """Serve on addresses, see ``serve_sockets``.

    :param application: ASGI application that handles the requests.
    :param addresses: each ``ip:port``.
    :param stopped: when set, idle connections are closed.
    :param graceful_timeout_seconds: for running requests after the stop.
    :param limits: what may be held for callers; ``None`` for no bounds.
    """
    sockets = []
    for address in addresses:
        host, _, port = address.rpartition(':')
        sockets.append(
            socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG)
        )
    await serve_sockets(
        application, sockets, stopped, graceful_timeout_seconds, limits
    )


async def serve_sockets(
    application: Application,
    sockets: list[socket.socket],
    stopped: anyio.Event,
    graceful_timeout_seconds: float,
    limits: ListenerLimits | None = None,
) -> None:
    """Serve until stopped, then close the connections.

    Every request that has been read is answered: the library would close a
    connection whose next request it has read at that moment.

    :param application: ASGI application that handles the requests.
    :param sockets: listening sockets; they are closed.
    :param stopped: when set, idle connections are closed and no new ones are
        accepted.
    :param graceful_timeout_seconds: for running requests after the stop.
    :param limits: what may be held for callers; ``None`` for no bounds.
    """
    connections = _Connections(limits or ListenerLimits())

    async def handle(  # noqa: WPS430
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        if scope['type'] == 'http':
            connection = scope['state'][_STATE_KEY]
            channel = _RequestChannel(connection, receive, send)
            with connections.handling(connection):
                await application(scope, channel.receive, channel.send)

    accept = _acceptor(handle, connections)
    servers = [await _listen(listener, accept) for listener in sockets]
    sweeping = asyncio.ensure_future(connections.sweep())
    sweeping.add_done_callback(_log_failed)
    try:
        await stopped.wait()
    finally:
        sweeping.cancel()
        for server in servers:
            server.close()
    with anyio.move_on_after(graceful_timeout_seconds):
        await connections.close()
    for connection in connections.opened:
        connection.task.cancel()


async def _listen(listener: socket.socket, accept: Accept) -> asyncio.Server:
    """Return a server that accepts a few connections at a time."""
    loop = asyncio.get_running_loop()

    def make_protocol() -> asyncio.StreamReaderProtocol:  # noqa: WPS430
        reader = _CountingReader(limit=_READ_AHEAD_BYTES, loop=loop)
        return asyncio.StreamReaderProtocol(reader, accept, loop=loop)

    server = await loop.create_server(
        make_protocol, sock=listener, backlog=_ACCEPTED_AT_ONCE
    )
    # The event loop takes the number of connections that it accepts at once
    # for the length of the queue as well.
    listener.listen(LISTEN_BACKLOG)
    return server


def _acceptor(application: Application, connections: _Connections) -> Accept:
    """Return the callback that begins to serve an accepted connection."""
    loop = asyncio.get_running_loop()
    config = Config()
    config.errorlog = None
    config.keep_alive_timeout = _KEEP_ALIVE_SECONDS
    config.keep_alive_max_requests = _MAX_REQUESTS_PER_CONNECTION
    config.h11_max_incomplete_size = _MAX_HEADER_BYTES
    config.include_server_header = False
    context = WorkerContext(None)
    wrapped = ASGIWrapper(application)
    # The event loop does not keep its tasks.
    tasks: set[asyncio.Task[None]] = set()

    async def serve(  # noqa: WPS430
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        connections.accepted -= 1
        if task is None:
            return
        transport = writer.transport
        connection = _Connection(transport, task, connections.limits.memory)
        # The library passes this on with each request of the connection.
        state = {_STATE_KEY: connection, ABORT_KEY: transport.abort}
        with connections.registered(connection):
            if isinstance(reader, _CountingReader):
                reader.count_for(connection)
            await _CallerServer(
                wrapped, loop, config, context, state, reader, writer
            )

    def accept(  # noqa: WPS430
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if not connections.make_room():
            writer.transport.abort()
            return
        connections.accepted += 1
        writer.transport.max_size = _MAX_READ_BYTES
        # Of a coroutine function asyncio asks the exception, which logs a
        # traceback when it was cancelled.
        task = loop.create_task(serve(reader, writer))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        task.add_done_callback(partial(_end_failed, writer.transport))

    return accept


def _end_failed(
    transport: asyncio.WriteTransport, task: asyncio.Task[None]
) -> None:
    """Log an unexpected error of a connection, and close it."""
    if _log_failed(task):
        transport.close()


def _log_failed(task: asyncio.Task[None]) -> bool:
    """Log the unexpected error of a task; return whether there was one."""
    if task.cancelled():
        return False
    error = task.exception()
    if error is not None:
        _log.error('connection_failed', exc_info=error)
    return error is not None
