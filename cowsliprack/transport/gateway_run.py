"""Opens the client and the sockets of a gateway instance and runs it."""

from collections.abc import Callable
from contextlib import AsyncExitStack

import httpx

from cowsliprack.protocol.platform_bindings import PlatformBindings
from cowsliprack.state.gateway_settings import GatewaySettings
from cowsliprack.transport.checked_transport import CheckedTransport
from cowsliprack.transport.gateway import Gateway
from cowsliprack.transport.peer_sockets import PeerSockets
from cowsliprack.transport.running_time import RunningTime
from cowsliprack.transport.signals import ignore_hangup


async def run_gateway(
    settings: GatewaySettings,
    make_bindings: Callable[
        [GatewaySettings, httpx.AsyncClient, RunningTime], PlatformBindings
    ],
) -> None:
    """Run one gateway instance until SIGTERM or SIGINT.

    :param settings: settings of the instance.
    :param make_bindings: creates the platform's protocol clients.
    """
    ignore_hangup()
    running_time = RunningTime()
    client = httpx.AsyncClient(
        transport=CheckedTransport(running_time=running_time), trust_env=False
    )
    bindings = make_bindings(settings, client, running_time)
    secret = await bindings.read_fleet_secret(
        bindings.store, settings.first_start
    )
    async with AsyncExitStack() as stack:
        stack.push_async_callback(client.aclose)
        sockets = PeerSockets(
            settings.instance_id,
            settings.peer_host,
            settings.peer_port,
            secret,
        )
        await stack.enter_async_context(sockets)
        await Gateway(
            settings, bindings, client, sockets, secret, running_time
        ).run()
