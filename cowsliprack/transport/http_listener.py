"""Serves an ASGI application on several addresses."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from hypercorn.asyncio import serve as serve_http
from hypercorn.config import Config

from cowsliprack.transport.exchange import Receive, Send

_LISTEN_BACKLOG = 1024
_MAX_HEADER_BYTES = 65_536
# Longer than any idle time that a configuration allows callers.
_KEEP_ALIVE_SECONDS = 90
_MAX_REQUESTS_PER_CONNECTION = 1_000_000

Application = Callable[[dict[str, Any], Receive, Send], Awaitable[None]]


async def serve_addresses(
    application: Application,
    addresses: list[str],
    stopped: anyio.Event,
    graceful_timeout_seconds: float,
) -> None:
    """Serve until stopped, then close the connections.

    :param application: ASGI application that handles the requests.
    :param addresses: each ``ip:port``.
    :param stopped: when set, idle connections are closed and no new ones are
        accepted.
    :param graceful_timeout_seconds: for running requests after the stop.
    """
    config = Config()
    config.bind = addresses
    config.errorlog = None
    config.backlog = _LISTEN_BACKLOG
    config.graceful_timeout = graceful_timeout_seconds
    config.keep_alive_timeout = _KEEP_ALIVE_SECONDS
    config.keep_alive_max_requests = _MAX_REQUESTS_PER_CONNECTION
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
    event_type = ''
    while event_type != 'lifespan.shutdown':
        event_type = (await receive())['type']
        await send({'type': f'{event_type}.complete'})
