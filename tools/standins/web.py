"""Minimal ASGI request handling and server shared by the stand-ins."""

import json
import socket
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


@dataclass(slots=True)
class Request:
    """HTTP request whose body has been read, with methods to respond.

    :param headers: pairs in the order and case received.
    :param started: status and headers of the response have been sent.
    """

    method: str
    path: str
    query: str
    headers: list[tuple[str, str]]
    body: bytes
    receive: Receive
    send: Send
    started: bool = field(default=False)

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or ``None``.

        :param name: in lower case.
        """
        for header, text in self.headers:
            if header.lower() == name:
                return text
        return None

    def query_parameter(self, name: str, default: str = '') -> str:
        """Return the first value of a query parameter.

        :param name: of the parameter.
        :param default: returned if it is missing.
        """
        return parse_qs(self.query).get(name, [default])[0]

    def json(self) -> dict[str, Any]:
        """Return the body decoded as JSON, or ``{}`` if it is empty."""
        return json.loads(self.body) if self.body else {}

    async def start(
        self,
        status: int = 200,
        content_type: str = 'application/json',
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send the status and headers of the response.

        :param status: HTTP status.
        :param content_type: of the body.
        :param headers: additional headers.
        """
        pairs = [(b'content-type', content_type.encode())]
        for name, text in (headers or {}).items():
            pairs.append((name.encode(), text.encode()))
        await self.send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': pairs,
            }
        )
        self.started = True

    async def write(self, chunk: bytes, *, more: bool = True) -> None:
        """Send a chunk of the response body.

        :param chunk: bytes to send.
        :param more: whether more chunks follow.
        """
        await self.send(
            {
                'type': 'http.response.body',
                'body': chunk,
                'more_body': more,
            }
        )

    async def send_json(
        self,
        document: object,
        status: int = 200,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send a complete JSON response.

        :param document: JSON-serialisable.
        :param status: HTTP status.
        :param headers: additional headers.
        """
        await self.start(status, headers=headers)
        await self.write(json.dumps(document).encode(), more=False)

    async def wait_for_disconnect(self) -> None:
        """Return when the caller has closed the connection."""
        message = await self.receive()
        while message['type'] != 'http.disconnect':
            message = await self.receive()


Handler = Callable[[Request], Awaitable[None]]


async def run_server(handler: Handler, host: str, port: int) -> None:
    """Serve until cancelled, and print the address once it is bound.

    :param handler: called for each request.
    :param host: IP address to listen on.
    :param port: 0 selects a free port.
    """
    listener = bind(host, port)
    address, bound_port = listener.getsockname()
    print(f'listening {address}:{bound_port}', flush=True)
    await serve_on(listener, handler)


def bind(host: str = '127.0.0.1', port: int = 0) -> socket.socket:
    """Return a listening socket.

    :param host: IP address to listen on.
    :param port: 0 selects a free port.
    """
    return socket.create_server((host, port), backlog=256)


async def _never() -> None:
    await anyio.sleep_forever()


async def serve_on(
    listener: socket.socket,
    handler: Handler,
    wait_for_shutdown: Callable[[], Awaitable[object]] = _never,
) -> None:
    """Serve on a socket until ``wait_for_shutdown`` returns.

    :param listener: listening socket, see :func:`bind`.
    :param handler: called for each request.
    :param wait_for_shutdown: returns when the server is to stop.
    """
    config = Config()
    config.bind = [f'fd://{listener.fileno()}']
    config.graceful_timeout = 0
    config.keep_alive_timeout = 3600
    config.errorlog = None
    await serve(
        _build_asgi_application(handler),
        config,
        shutdown_trigger=wait_for_shutdown,
    )


def _build_asgi_application(handler: Handler) -> Any:
    async def application(  # noqa: WPS430
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        if scope['type'] == 'lifespan':
            await _run_lifespan(receive, send)
            return
        body = await _read_body(receive)
        request = Request(
            method=scope['method'],
            path=scope['path'],
            query=scope['query_string'].decode(),
            headers=[
                (name.decode('latin-1'), text.decode('latin-1'))
                for name, text in scope['headers']
            ],
            body=body,
            receive=receive,
            send=send,
        )
        await handler(request)

    return application


async def _run_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        phase = message['type']
        await send({'type': f'{phase}.complete'})
        if phase == 'lifespan.shutdown':
            return


async def _read_body(receive: Receive) -> bytes:
    chunks = []
    more = True
    while more:
        message = await receive()
        chunks.append(message.get('body', b''))
        more = message.get('more_body', False)
    return b''.join(chunks)
