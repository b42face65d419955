"""Opens the client and the sockets of a gateway instance and runs it."""

from collections.abc import Callable
from contextlib import AsyncExitStack

import httpx

from cowsliprack.protocol.platform_parts import PlatformParts
from cowsliprack.state.gateway_settings import GatewaySettings
from cowsliprack.transport.checked_transport import CheckedTransport
from cowsliprack.transport.gateway import Gateway
from cowsliprack.transport.peer_sockets import PeerSockets


async def run_gateway(
    settings: GatewaySettings,
    make_parts: Callable[[GatewaySettings, httpx.AsyncClient], PlatformParts],
) -> None:
    """Run one gateway instance until SIGTERM or SIGINT.

    :param settings: settings of the instance.
    :param make_parts: creates the implementations of the platform's protocols.
    """
    client = httpx.AsyncClient(transport=CheckedTransport(), trust_env=False)
    parts = make_parts(settings, client)
    secret = await parts.fleet_secret(parts.store)
    async with AsyncExitStack() as stack:
        stack.push_async_callback(client.aclose)
        sockets = PeerSockets(
            settings.instance_id,
            settings.peer_host,
            settings.peer_port,
            secret,
        )
        await stack.enter_async_context(sockets)
        await Gateway(settings, parts, client, sockets).run()
