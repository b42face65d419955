"""Serves an ASGI application on several addresses until it is told to stop."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from hypercorn.asyncio import serve as serve_http
from hypercorn.config import Config

from cowsliprack.transport.exchange import Receive, Send

_BACKLOG = 1024
_MAX_HEADER_BYTES = 65_536
# Longer than any idle time that a configuration lets callers use, seconds.
_KEEP_ALIVE_SECONDS = 90
_MOST_REQUESTS_PER_CONNECTION = 1_000_000

Application = Callable[[dict[str, Any], Receive, Send], Awaitable[None]]


async def serve_addresses(
    application: Application,
    addresses: list[str],
    stopped: anyio.Event,
    closing_seconds: float,
) -> None:
    """Serve until stopped, then close the connections.

    :param application: gets the HTTP requests, in the ASGI protocol.
    :param addresses: each ``ip:port``.
    :param stopped: set when idle connections shall be closed and no new ones
        taken.
    :param closing_seconds: for which requests may then go on.
    """
    config = Config()
    config.bind = addresses
    config.errorlog = None
    config.backlog = _BACKLOG
    config.graceful_timeout = closing_seconds
    config.keep_alive_timeout = _KEEP_ALIVE_SECONDS
    config.keep_alive_max_requests = _MOST_REQUESTS_PER_CONNECTION
    config.h11_max_incomplete_size = _MAX_HEADER_BYTES
    config.include_server_header = False

    async def handle(  # noqa: WPS430
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        if scope['type'] == 'lifespan':
            await _serve_lifespan(receive, send)
        elif scope['type'] == 'http':
            await application(scope, receive, send)

    await serve_http(handle, config, shutdown_trigger=stopped.wait)


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    phase = ''
    while phase != 'lifespan.shutdown':
        phase = (await receive())['type']
        await send({'type': f'{phase}.complete'})
