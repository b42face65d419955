"""Request and response of one HTTP call over the ASGI protocol."""

import math
from collections.abc import Awaitable, Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec

from cowsliprack.coordination.caller_memory import CallerMemory, Holding
from cowsliprack.exceptions import ErrorKind, ServingError
from cowsliprack.protocol.credentials import HeaderList
from cowsliprack.protocol.sse import error_body
from cowsliprack.transport.clock import read_clock
from cowsliprack.transport.final_status import is_final_status

AsgiMessage = dict[str, Any]
Receive = Callable[[], Awaitable[AsgiMessage]]
Send = Callable[[AsgiMessage], Awaitable[None]]

_JSON = 'application/json'
# Key of a function in the state of an ASGI scope that closes the connection
# without sending what its caller has not taken yet.
ABORT_KEY = 'abort'
# Longer parts of an answer are sent in slices, so that the rest is not copied
# to the buffer of a connection whose caller reads slowly.
_SLICE_BYTES = 65_536


def _keep_open() -> bool:
    return False


def _abort_nothing() -> None:
    """Close nothing: there is no connection of a caller."""


def memory_full() -> ServingError:
    """Return the error of a request whose bytes were dropped."""
    return ServingError(
        ErrorKind.memory_full,
        'the instance holds too many bytes for its callers',
    )


@dataclass(slots=True)
class Exchange:
    """One request of a caller and the state of its answer.

    :param path: decoded, without the query.
    :param raw_path: as the caller sent it, without the query.
    :param started: status and headers have been sent.
    :param should_close: whether to close the connection after the answer.
    :param abort: closes the connection at once.
    :param memory: account of the bytes that are held for callers, if any.
    :param holding: the part of this request.
    :param body_bytes: size of the body that is held.
    """

    method: str
    path: str
    raw_path: str
    query: bytes
    headers: HeaderList
    receive: Receive = field(repr=False)
    send: Send = field(repr=False)
    started: bool = False
    status: int = 0
    should_close: Callable[[], bool] = field(default=_keep_open, repr=False)
    abort: Callable[[], None] = field(default=_abort_nothing, repr=False)
    memory: CallerMemory | None = field(default=None, repr=False)
    holding: Holding = field(default_factory=Holding, repr=False)
    body_bytes: int = 0

    @contextmanager
    def counted(self, memory: CallerMemory | None) -> Iterator[None]:
        """Count what is held for the caller while the context is entered.

        :param memory: account of the bytes; ``None`` for none.
        """
        if memory is None:
            yield
            return
        self.memory = memory
        memory.add(self.holding, read_clock())
        try:
            yield
        finally:
            memory.remove(self.holding)
            self.holding.detach()

    async def read_body(self, limit: int) -> bytes:
        """Return the request body, reading at most about the limit.

        :param limit: bytes.
        :raises ServingError: ``body_too_large``, ``bad_request`` when the
            caller disconnected, or ``memory_full``.
        """
        # Chunks may be of one byte each, so they are joined as they arrive.
        body = bytearray()
        holding = self.holding
        with anyio.CancelScope() as scope:
            holding.drop = _body_dropper(body, scope)
            await self._read_into(body, limit)
        holding.detach()
        if holding.is_dropped:
            raise memory_full()
        holding.waits_for_caller = False
        return bytes(body)

    async def _read_into(self, body: bytearray, limit: int) -> None:
        more = True
        while more:
            message = await self.receive()
            if message['type'] == 'http.disconnect':
                raise ServingError(
                    ErrorKind.bad_request,
                    'the caller closed the connection',
                )
            if self.holding.is_dropped:
                # The cancellation waits while messages keep coming.
                return
            body.extend(message.get('body', b''))
            if len(body) > limit:
                raise ServingError(
                    ErrorKind.body_too_large,
                    f'the body is larger than {limit} bytes',
                )
            self.body_bytes = len(body)
            self._keep(self.body_bytes)
            more = message.get('more_body', False)

    def _keep(self, held_bytes: int) -> None:
        if self.memory is not None:
            self.memory.keep(self.holding, held_bytes, read_clock())

    async def wait_for_disconnect(self) -> None:
        """Return when the caller has closed the connection."""
        message = await self.receive()
        while message['type'] != 'http.disconnect':
            message = await self.receive()

    async def start(
        self,
        status: int,
        headers: Iterable[tuple[str, str]],
    ) -> None:
        """Send status and headers.

        :param status: HTTP status.
        :param headers: names and values.
        """
        await self.start_raw(
            status,
            [
                (name.lower().encode('latin-1'), text.encode('latin-1'))
                for name, text in headers
            ],
        )

    async def start_raw(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        """Send status and headers as bytes.

        :param status: HTTP status.
        :param headers: names in lower case, and values.
        :raises ServingError: ``target_failed``, without sending, as no response
            may have the status.
        """
        # Other instances, also of earlier builds, and records state it too.
        if not is_final_status(status):
            raise ServingError(
                ErrorKind.target_failed, f'the answer has the status {status}'
            )
        self.started = True
        self.status = status
        if self.should_close():
            headers = [*headers, (b'connection', b'close')]
        await self.send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )

    async def write(self, chunk: bytes, *, more: bool = True) -> None:
        """Send a part of the body.

        :param chunk: bytes.
        :param more: whether further parts follow.
        """
        if len(chunk) > _SLICE_BYTES:
            chunk = await self._write_slices(chunk)
        await self.send(
            {
                'type': 'http.response.body',
                'body': chunk,
                'more_body': more,
            }
        )

    async def _write_slices(self, chunk: bytes) -> bytes:
        """Send all but the last slice of a part of the body; return that."""
        self.holding.waits_for_caller = True
        for start in range(0, len(chunk), _SLICE_BYTES):
            # The whole of it is held until its caller has taken the last
            # slice; each one before is progress.
            self._keep(self.body_bytes + len(chunk))
            end = start + _SLICE_BYTES
            if end >= len(chunk):
                return chunk[start:]
            await self.send(
                {
                    'type': 'http.response.body',
                    'body': chunk[start:end],
                    'more_body': True,
                }
            )
        return b''

    async def answer(
        self,
        body: bytes,
        content_type: str = _JSON,
        status: int = 200,
        headers: Iterable[tuple[str, str]] = (),
    ) -> None:
        """Send a complete answer.

        :param body: bytes.
        :param content_type: of the body.
        :param status: HTTP status.
        :param headers: further names and values.
        """
        await self.start(
            status,
            [
                ('content-type', content_type),
                ('content-length', str(len(body))),
                *headers,
            ],
        )
        await self.write(body, more=False)

    async def answer_error(
        self,
        error: ServingError,
        request_id: str = '',
    ) -> None:
        """Send an error answer.

        :param error: its kind determines the status.
        :param request_id: returned in a header for the caller's bug reports.
        """
        headers = [('x-request-id', request_id)] if request_id else []
        if error.retry_after is not None:
            # The header allows only whole seconds; the body is exact.
            seconds = max(1, math.ceil(error.retry_after))
            headers.append(('retry-after', str(seconds)))
        if error.status == 401:
            headers.append(('www-authenticate', 'Bearer'))
        await self.answer(
            msgspec.json.encode(error_body(error)),
            status=error.status,
            headers=headers,
        )


def request_dropper(
    exchange: Exchange, scope: anyio.CancelScope
) -> Callable[[], None]:
    """Return a function that ends a request whose bytes are dropped.

    :param exchange: of the request.
    :param scope: in which it is served.
    """

    def drop() -> None:  # noqa: WPS430
        scope.cancel()
        if exchange.started:
            # Its caller does not read, so an orderly end would not come.
            exchange.abort()

    return drop


def dropped_in_doubt() -> ServingError:
    """Return the error of a dropped request that a target may have run."""
    return ServingError(
        ErrorKind.target_failed,
        'its bytes were dropped while a target had it',
    )


def _body_dropper(
    body: bytearray, scope: anyio.CancelScope
) -> Callable[[], None]:
    """Return a function that drops a body that is being read."""

    def drop() -> None:  # noqa: WPS430
        body.clear()
        scope.cancel()

    return drop


def exchange_from_scope(
    scope: Mapping[str, Any],
    receive: Receive,
    send: Send,
    should_close: Callable[[], bool] = _keep_open,
) -> Exchange:
    """Return the exchange of one ASGI request.

    :param scope: of the connection.
    :param receive: ASGI callable.
    :param send: ASGI callable.
    :param should_close: whether to close the connection after the answer.
    """
    raw_path = scope.get('raw_path') or scope['path'].encode()
    return Exchange(
        method=scope['method'],
        path=scope['path'],
        raw_path=raw_path.partition(b'?')[0].decode('latin-1'),
        query=scope['query_string'],
        headers=scope['headers'],
        receive=receive,
        send=send,
        should_close=should_close,
        abort=scope.get('state', {}).get(ABORT_KEY, _abort_nothing),
    )
