"""Minimal reverse proxy built on the same libraries as an instance.

Forwards every request to one address and streams the response back. It is the
baseline for the cost of any proxy built on Hypercorn and HTTPX.
"""

import functools

import anyio
import fire
import httpx

from tools.standins.web import Request, run_server

_MAX_CONNECTIONS = 512
_TIMEOUT_SECONDS = 60


async def forward(
    client: httpx.AsyncClient,
    url: str,
    request: Request,
) -> None:
    """Forward a request and stream the response back.

    :param client: HTTP client with the connection pool.
    :param url: base URL of the target.
    :param request: request of a caller.
    """
    forwarded = client.build_request(
        request.method,
        f'{url}{request.path}',
        headers={'content-type': 'application/json'},
        content=request.body,
    )
    response = await client.send(forwarded, stream=True)
    try:
        await request.start(response.status_code)
        async for chunk in response.aiter_raw():
            await request.write(chunk)
        await request.write(b'', more=False)
    finally:
        await response.aclose()


def main(url: str, host: str = '127.0.0.1', port: int = 0) -> None:
    """Run the reverse proxy.

    :param url: base URL of the target.
    :param host: IP address to listen on.
    :param port: 0 selects a free port; the address is printed.
    """
    anyio.run(_serve, url, host, port)


async def _serve(url: str, host: str, port: int) -> None:
    limits = httpx.Limits(
        max_connections=_MAX_CONNECTIONS,
        max_keepalive_connections=_MAX_CONNECTIONS,
    )
    async with httpx.AsyncClient(
        trust_env=False,
        limits=limits,
        timeout=_TIMEOUT_SECONDS,
    ) as client:
        handler = functools.partial(forward, client, url)
        await run_server(handler, host, port)


if __name__ == '__main__':
    fire.Fire(main)
