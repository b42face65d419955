"""Serves an ASGI application on sockets and closes them gracefully."""

import asyncio
import socket
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

from cowsliprack.transport.exchange import Receive, Send

LISTEN_BACKLOG = 1024
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


@dataclass(slots=True, eq=False)
class _Connection:
    """An open connection.

    :param handled: number of its requests that the application handles.
    """

    transport: asyncio.Transport
    task: asyncio.Task[Any]
    handled: int = 0


@dataclass(slots=True)
class _Connections:
    """Open connections.

    :param changed: set when a request or a connection has ended.
    """

    opened: set[_Connection] = field(default_factory=set)
    changed: anyio.Event = field(default_factory=anyio.Event)

    @contextmanager
    def registered(self, connection: _Connection) -> Iterator[None]:
        """Register a connection for the duration of the context."""
        self.opened.add(connection)
        try:
            yield
        finally:
            self.opened.discard(connection)
            self._notify()

    @contextmanager
    def handling(self, connection: _Connection) -> Iterator[None]:
        """Count a request of a connection for the duration of the context."""
        connection.handled += 1
        try:
            yield
        finally:
            connection.handled -= 1
            self._notify()

    async def close(self) -> None:
        """Close each connection once none of its requests is handled.

        No more bytes are read from the idle ones first, so that what has been
        read becomes a request that is answered before its connection closes.
        """
        while self.opened:
            changed = self.changed
            await self._close_idle()
            if self.opened:
                await changed.wait()

    async def _close_idle(self) -> None:
        idle = [
            connection for connection in self.opened if not connection.handled
        ]
        for paused in idle:
            paused.transport.pause_reading()
        for _ in range(_SETTLING_STEPS):
            await checkpoint()
        for connection in idle:
            if connection.handled:
                # Its body may still be on the way.
                connection.transport.resume_reading()
            else:
                connection.transport.close()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()


async def serve_addresses(
    application: Application,
    addresses: list[str],
    stopped: anyio.Event,
    graceful_timeout_seconds: float,
) -> None:
    """Serve on addresses, see ``serve_sockets``.

    :param application: ASGI application that handles the requests.
    :param addresses: each ``ip:port``.
    :param stopped: when set, idle connections are closed.
    :param graceful_timeout_seconds: for running requests after the stop.
    """
    sockets = []
    for address in addresses:
        host, _, port = address.rpartition(':')
        sockets.append(
            socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG)
        )
    await serve_sockets(application, sockets, stopped, graceful_timeout_seconds)


async def serve_sockets(
    application: Application,
    sockets: list[socket.socket],
    stopped: anyio.Event,
    graceful_timeout_seconds: float,
) -> None:
    """Serve until stopped, then close the connections.

    Every request that has been read is answered: the library would close a
    connection whose next request it has read at that moment.

    :param application: ASGI application that handles the requests.
    :param sockets: listening sockets; they are closed.
    :param stopped: when set, idle connections are closed and no new ones are
        accepted.
    :param graceful_timeout_seconds: for running requests after the stop.
    """
    connections = _Connections()

    async def handle(  # noqa: WPS430
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        if scope['type'] == 'http':
            with connections.handling(scope['state'][_STATE_KEY]):
                await application(scope, receive, send)

    servers = [
        await asyncio.start_server(
            _acceptor(handle, connections),
            sock=listener,
            backlog=LISTEN_BACKLOG,
        )
        for listener in sockets
    ]
    try:
        await stopped.wait()
    finally:
        for server in servers:
            server.close()
    with anyio.move_on_after(graceful_timeout_seconds):
        await connections.close()
    for connection in connections.opened:
        connection.task.cancel()


def _acceptor(
    application: Application, connections: _Connections
) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], None]:
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
        if task is None:
            return
        connection = _Connection(writer.transport, task)
        # The library passes this on with each request of the connection.
        state = {_STATE_KEY: connection}
        with connections.registered(connection):
            await TCPServer(
                wrapped, loop, config, context, state, reader, writer
            )

    def accept(  # noqa: WPS430
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
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
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        _log.error('connection_failed', exc_info=error)
        transport.close()
