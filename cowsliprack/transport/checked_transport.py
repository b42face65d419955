"""HTTP/1.1 transport that inspects each connection before reusing it.

Targets may send bytes after a complete response, or a response too late. A
connection with unread bytes, or one that its peer has closed, is not reused, so
that these bytes never reach another request.
"""

import select
import socket
import struct
import time
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import anyio
import h11
import httpx
from anyio.abc import SocketAttribute, SocketStream

from cowsliprack.transport.final_status import is_final_status
from cowsliprack.transport.running_time import RunningTime

# Instances and targets are milliseconds apart. The kernel retransmits a lost
# SYN only after a second, when many callers have already timed out.
_CONNECT_TIMEOUT_SECONDS = 0.25
# A target may close a connection that has been idle for longer just as it is
# reused. Idle times that targets state are longer than this.
_MAX_IDLE_SECONDS = 4.0
# Share of the idle time stated by a target for which a connection is reused.
_STATED_IDLE_SHARE = 0.6
_READ_BYTES = 65536
_MAX_HEAD_BYTES = 65536
# Interim responses before the final one.
_MAX_INTERIM_RESPONSES = 8
# Interval at which idle connections with unread bytes are closed.
_SWEEP_SECONDS = 1.0
# Closes connections whose bytes stay unacknowledged, since a host that has
# disappeared sends no reset.
_TCP_USER_TIMEOUT_MS = 4000
# SO_LINGER (on, 0 seconds): the connection is reset when it is closed.
_DISCARD = struct.pack('ii', 1, 0)
_KEEP_ALIVE = b'keep-alive'
_CONNECTION_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
_BODY_ERRORS = (h11.RemoteProtocolError, *_CONNECTION_ERRORS)
# The same as of httpcore.
SEND_STARTED_EVENT = 'http11.send_request_headers.started'


@dataclass(slots=True, eq=False)
class _Connection:
    """Connection and the state of its HTTP protocol.

    :param used_until: time after which it is not reused, seconds.
    :param discards: whether bytes still to be sent are dropped with it.
    """

    address: tuple[str, int]
    stream: SocketStream
    protocol: h11.Connection
    used_until: float = 0
    discards: bool = False

    async def send(self, request: httpx.Request) -> None:
        """Write a whole request."""
        head = h11.Request(
            method=request.method.encode(),
            target=request.url.raw_path,
            headers=request.headers.raw,
        )
        parts = [self.protocol.send(head)]
        body = await request.aread()
        if body:
            parts.append(self.protocol.send(h11.Data(data=body)))
        parts.append(self.protocol.send(h11.EndOfMessage()))
        await self.stream.send(b''.join(part for part in parts if part))

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next event of the response."""
        while True:
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            try:
                received = await self.stream.receive(_READ_BYTES)
            except anyio.EndOfStream:
                received = b''
            self.protocol.receive_data(received)

    def is_reusable(self, now: float) -> bool:
        """Return whether the connection may carry another request."""
        if now >= self.used_until or self.protocol.trailing_data[0]:
            return False
        raw = self.stream.extra(SocketAttribute.raw_socket)  # noqa: S610
        poll = select.poll()
        poll.register(raw, select.POLLIN | select.POLLHUP | select.POLLERR)
        return not poll.poll(0)

    async def abort(self) -> None:
        """Close at once, so that the target can cancel the request."""
        raw = self.stream.extra(SocketAttribute.raw_socket)  # noqa: S610
        # A connection that its peer has reset is closed already.
        if self.discards and raw.fileno() >= 0:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _DISCARD)
        await anyio.aclose_forcefully(self.stream)


class _ResponseStream(httpx.AsyncByteStream):
    """Response body that releases its connection once it is complete."""

    def __init__(
        self,
        connection: _Connection,
        release: Callable[[_Connection], None],
    ) -> None:
        self._connection = connection
        self._release = release
        self._complete = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        while True:
            try:
                event = await self._connection.next_event()
            except _BODY_ERRORS as error:
                raise httpx.ReadError(repr(error)) from error
            if isinstance(event, h11.Data):
                yield bytes(event.data)
                continue
            self._complete = isinstance(event, h11.EndOfMessage)
            if not self._complete:
                raise httpx.ReadError('the response ended early')
            return

    async def aclose(self) -> None:
        """Release the connection after a complete response, else close it."""
        connection = self._connection
        if self._complete and connection.protocol.our_state is h11.DONE:
            if connection.protocol.their_state is h11.DONE:
                self._release(connection)
                return
        await connection.abort()


@dataclass(slots=True)
class CheckedTransport(httpx.AsyncBaseTransport):
    """HTTPX transport with a pool of connections by address.

    The request extension ``trace`` is called before the first byte is sent;
    the extension ``fresh`` requests a new connection. With ``discards``, bytes
    of a request that is given up are not sent any more; otherwise the kernel
    sends them for some seconds after the connection was closed.

    :param clock: monotonic time, seconds.
    :param opened: number of connections opened so far.
    :param running_time: extends the timeout of connections.
    """

    clock: Callable[[], float] = time.monotonic
    opened: int = 0
    running_time: RunningTime = field(default_factory=RunningTime)
    _idle_by_address: dict[tuple[str, int], deque[_Connection]] = field(
        default_factory=dict,
    )
    _swept_at: float = 0

    async def handle_async_request(
        self,
        request: httpx.Request,
    ) -> httpx.Response:
        """Send a request and return its response once the head has arrived.

        :param request: request to send, with a body of known length.
        :raises httpx.ConnectError: no connection could be opened.
        :raises httpx.RemoteProtocolError: the response is not valid HTTP.
        :raises httpx.ReadError: the connection failed before the response.
        """
        address = (request.url.host, request.url.port or 80)
        await self._sweep()
        connection = await self._connect(address, request)
        connection.discards = request.extensions.get('discards', False)
        try:
            return await self._exchange(connection, request)
        except (h11.RemoteProtocolError, h11.LocalProtocolError) as error:
            await connection.abort()
            raise httpx.RemoteProtocolError(repr(error)) from error
        except _CONNECTION_ERRORS as error:
            await connection.abort()
            raise httpx.ReadError(repr(error)) from error
        except BaseException:
            with anyio.CancelScope(shield=True):
                await connection.abort()
            raise

    async def aclose(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle_by_address):
            await self.close_idle(address)

    async def close_idle(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address.

        :param address: host and port.
        """
        for connection in self._idle_by_address.pop(address, ()):
            await connection.abort()

    async def _sweep(self) -> None:
        """Close the idle connections that can't be reused.

        A target may send bytes after a complete response until its connection
        is closed, and no other request to it might follow.
        """
        now = self.clock()
        if now - self._swept_at < _SWEEP_SECONDS:
            return
        self._swept_at = now
        unusable = [
            connection
            for idle in self._idle_by_address.values()
            for connection in idle
            if not connection.is_reusable(now)
        ]
        for connection in unusable:
            self._idle_by_address[connection.address].remove(connection)
        for connection in unusable:
            await connection.abort()

    async def _connect(
        self,
        address: tuple[str, int],
        request: httpx.Request,
    ) -> _Connection:
        idle = self._idle_by_address.get(address)
        while idle:
            connection = idle.pop()
            is_fresh = request.extensions.get('fresh', False)
            if not is_fresh and connection.is_reusable(self.clock()):
                return connection
            await connection.abort()
        try:
            with self.running_time.fail_after(_CONNECT_TIMEOUT_SECONDS):
                stream = await anyio.connect_tcp(*address)
        except (OSError, TimeoutError) as error:
            raise httpx.ConnectError(repr(error)) from error
        self.opened += 1
        raw = stream.extra(SocketAttribute.raw_socket)  # noqa: S610
        raw.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _TCP_USER_TIMEOUT_MS,
        )
        protocol = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=_MAX_HEAD_BYTES,
        )
        return _Connection(address, stream, protocol)

    async def _exchange(
        self,
        connection: _Connection,
        request: httpx.Request,
    ) -> httpx.Response:
        trace = request.extensions.get('trace')
        if trace is not None:
            await trace(SEND_STARTED_EVENT, {})
        await connection.send(request)
        event = await connection.next_event()
        for _ in range(_MAX_INTERIM_RESPONSES):
            if isinstance(event, h11.InformationalResponse):
                event = await connection.next_event()
        if not isinstance(event, h11.Response):
            raise httpx.ReadError(
                'the connection ended without a final response'
            )
        if not is_final_status(event.status_code):
            raise httpx.RemoteProtocolError(
                f'the response has the status {event.status_code}'
            )
        connection.used_until = self.clock() + _idle_seconds(event)
        return httpx.Response(
            event.status_code,
            headers=event.headers.raw_items(),
            stream=_ResponseStream(connection, self._release),
        )

    def _release(self, connection: _Connection) -> None:
        try:
            connection.protocol.start_next_cycle()
        except h11.LocalProtocolError:
            return
        idle = self._idle_by_address.setdefault(connection.address, deque())
        idle.append(connection)


def _idle_seconds(response: h11.Response) -> float:
    for name, header_value in response.headers:
        if name == _KEEP_ALIVE:
            for part in header_value.split(b','):
                key, _, seconds = part.strip().partition(b'=')
                if key == b'timeout' and seconds.isdigit():
                    stated = int(seconds) * _STATED_IDLE_SHARE
                    return min(stated, _MAX_IDLE_SECONDS)
    return _MAX_IDLE_SECONDS
