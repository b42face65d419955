"""Steps for the closing of idle connections."""

import asyncio
import time

import anyio
import anyio.lowlevel
from behave import given, then, when

from cowsliprack.coordination.freshness import Freshness
from cowsliprack.coordination.waiting_requests import WaitingRequests
from cowsliprack.metrics import Metrics
from cowsliprack.platform.headers import PLATFORM_DIALECT
from cowsliprack.transport.http_listener import serve_addresses
from cowsliprack.transport.route_server import RouteServer
from tests.support.gateway_cluster import HOST, free_port
from tests.support.routed import TABLE

_REQUEST = (
    b'GET /open/%%d HTTP/1.1\r\nhost: %s\r\nx-attempt-id: id\r\n\r\n'
    % HOST.encode()
)
_TIMEOUT_SECONDS = 2.0
# As long as a request on its way to a target.
_HANDLING_SECONDS = 0.05


class _Relay:
    """Records the requests that would go to a target, and answers them."""

    def __init__(self, numbers):
        self.numbers = numbers

    async def serve(self, request):
        number = int(request.path.rpartition('/')[2])
        if number:
            self.numbers.add(number)
            await anyio.sleep(_HANDLING_SECONDS)
        await request.exchange.answer(b'ok')


@given("{count:d} kept connections to a gateway's listener, each idle")
def given_connections(context, count):
    context.count = count


@when('the listener is stopped and {steps:d} steps later each sends a request')
def when_stopped(context, steps):
    context.handled = set()
    context.answered = set()
    anyio.run(_stop_and_send, context, steps)


async def _stop_and_send(context, steps):
    address = f'127.0.0.1:{free_port()}'
    stopped = anyio.Event()

    waiting_requests = WaitingRequests()
    server = RouteServer(
        dialect=PLATFORM_DIALECT,
        relay=_Relay(context.handled),
        freshness=Freshness(60, time.monotonic()),
        credit=None,
        metrics=Metrics(),
        table=lambda: TABLE,
        reserve=None,
        closing=stopped.is_set,
        stopped=lambda: waiting_requests.closed,
        clock=time.monotonic,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            serve_addresses, server, [address], stopped, _TIMEOUT_SECONDS
        )
        connections = [await _connect(address) for _ in range(context.count)]
        for reader, writer in connections:
            writer.write(_REQUEST % 0)
            await reader.readuntil(b'ok')
        stopped.set()
        waiting_requests.close()
        for _ in range(steps):
            await anyio.lowlevel.checkpoint()
        for number, (_, writer) in enumerate(connections, 1):
            writer.write(_REQUEST % number)
        for number, (reader, writer) in enumerate(connections, 1):
            await _read_answer(context, number, reader)
            writer.close()


async def _connect(address):
    host, _, port = address.rpartition(':')
    with anyio.fail_after(_TIMEOUT_SECONDS):
        while True:
            try:
                return await asyncio.open_connection(host, int(port))
            except ConnectionRefusedError:
                await anyio.sleep(0.01)


async def _read_answer(context, number, reader):
    try:
        with anyio.fail_after(_TIMEOUT_SECONDS):
            await reader.readuntil(b'ok')
    except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
        return
    context.answered.add(number)


@then('every request that was passed on is answered')
def then_answered(context):
    lost = context.handled - context.answered
    assert not lost, (len(lost), len(context.handled))
