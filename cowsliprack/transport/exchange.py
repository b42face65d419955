"""Request and response of one HTTP call over the ASGI protocol."""

import math
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from cowsliprack.exceptions import ErrorKind, ServingError
from cowsliprack.protocol.credentials import HeaderList
from cowsliprack.protocol.sse import error_body
from cowsliprack.transport.final_status import is_final_status

AsgiMessage = dict[str, Any]
Receive = Callable[[], Awaitable[AsgiMessage]]
Send = Callable[[AsgiMessage], Awaitable[None]]

_JSON = 'application/json'


def _keep_open() -> bool:
    return False


@dataclass(slots=True)
class Exchange:
    """One request of a caller and the state of its answer.

    :param path: decoded, without the query.
    :param raw_path: as the caller sent it, without the query.
    :param started: status and headers have been sent.
    :param should_close: whether to close the connection after the answer.
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

    async def read_body(self, limit: int) -> bytes:
        """Return the request body, reading at most about the limit.

        :param limit: bytes.
        :raises ServingError: ``body_too_large``, or ``bad_request`` when the
            caller disconnected.
        """
        chunks = []
        size = 0
        more = True
        while more:
            message = await self.receive()
            if message['type'] == 'http.disconnect':
                raise ServingError(
                    ErrorKind.bad_request,
                    'the caller closed the connection',
                )
            chunk = message.get('body', b'')
            size += len(chunk)
            if size > limit:
                raise ServingError(
                    ErrorKind.body_too_large,
                    f'the body is larger than {limit} bytes',
                )
            chunks.append(chunk)
            more = message.get('more_body', False)
        return b''.join(chunks)

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
        await self.send(
            {
                'type': 'http.response.body',
                'body': chunk,
                'more_body': more,
            }
        )

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
    )
