"""Steps for the closing of idle connections."""

import asyncio
import contextlib
import re
import socket
import time
from unittest import mock

import anyio
import anyio.lowlevel
from behave import given, then, when
from structlog.testing import capture_logs

from cowsliprack.coordination.freshness import Freshness
from cowsliprack.coordination.waiting_requests import WaitingRequests
from cowsliprack.metrics import Metrics
from cowsliprack.platform.headers import PLATFORM_DIALECT
from cowsliprack.transport import http_listener
from cowsliprack.transport.http_listener import (
    ListenerLimits,
    serve_addresses,
)
from cowsliprack.transport.route_server import RouteServer
from tests.support.gateway_cluster import HOST, free_port
from tests.support.routed import TABLE

_REQUEST = (
    b'GET /open/%%d HTTP/1.1\r\nhost: %s\r\nx-attempt-id: id\r\n\r\n'
    % HOST.encode()
)
_HEAD_WITH_BODY = (
    b'POST /open/%%d HTTP/1.1\r\nhost: %s\r\nx-attempt-id: id\r\n'
    b'content-length: 4\r\n\r\n' % HOST.encode()
)
_BODY = b'body'
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
    async def send(stop, connections):
        stop()
        await _let_pass(steps)
        for number, (_, writer) in enumerate(connections, 1):
            writer.write(_REQUEST % number)

    anyio.run(_serve, context, send)


@when('the listener is stopped while requests come {steps:d} steps apart')
def when_stopped_among(context, steps):
    async def send(stop, connections):
        for number, (_, writer) in enumerate(connections, 1):
            if number == len(connections) // 2:
                stop()
            writer.write(_REQUEST % number)
            await _let_pass(steps)

    anyio.run(_serve, context, send)


@when(
    'the listener is stopped after the heads of requests, before their bodies'
)
def when_stopped_in_bodies(context):
    async def send(stop, connections):
        for number, (_, writer) in enumerate(connections, 1):
            writer.write(_HEAD_WITH_BODY % number)
        await anyio.sleep(_HANDLING_SECONDS)
        stop()
        await anyio.sleep(_HANDLING_SECONDS)
        for _, writer in connections:
            writer.write(_BODY)

    anyio.run(_serve, context, send)
    assert len(context.read) == context.count, context.read


@when(
    'the listener is stopped {steps:d} steps after the heads of requests, and '
    'their bodies come later'
)
def when_heads_cross(context, steps):
    async def send(stop, connections):
        for number, (_, writer) in enumerate(connections, 1):
            writer.write(_HEAD_WITH_BODY % number)
        await _let_pass(steps)
        stop(refuse=False)
        await anyio.sleep(_HANDLING_SECONDS)
        for _, writer in connections:
            writer.write(_BODY)

    anyio.run(_serve, context, send)


@then('every request was passed on')
def then_all_passed_on(context):
    assert len(context.handled) == context.count, len(context.handled)


@when('the listener is stopped while requests run')
def when_stopped_running(context):
    async def send(stop, connections):
        for number, (_, writer) in enumerate(connections, 1):
            writer.write(_REQUEST % number)
        await anyio.sleep(_HANDLING_SECONDS / 2)
        stop()

    anyio.run(_serve, context, send)
    assert len(context.handled) == context.count, context.handled


@given("{count:d} new connections to a gateway's listener, each with a request")
def given_new_connections(context, count):
    context.count = count


@when('the listener is stopped {steps:d} steps after they have come')
def when_stopped_after_connecting(context, steps):
    async def send(stop, connections):
        # The listener accepts none of them before the event loop goes on.
        for number in range(1, context.count + 1):
            caller = socket.create_connection(context.address)
            caller.sendall(_REQUEST % number)
            connections.append(caller)
        await _let_pass(steps)
        stop()
        connections[:] = [
            await asyncio.open_connection(sock=caller) for caller in connections
        ]

    anyio.run(_serve, context, send, 0)


@when('their callers close them {when}')
def when_callers_close(context, when):
    sent = {
        'while requests run': _REQUEST,
        'after a part of a head': _REQUEST[:20],
        'after a part of a body': _HEAD_WITH_BODY + _BODY[:2],
    }

    async def send(stop, connections):
        for number, (_, writer) in enumerate(connections, 1):
            writer.write(sent.get(when, b'').replace(b'%d', b'%d' % number))
        await anyio.sleep(_HANDLING_SECONDS / 2)
        for _, writer in connections:
            if when.startswith('for sending'):
                writer.write_eof()
            else:
                writer.close()
        for _ in range(round(_TIMEOUT_SECONDS / _HANDLING_SECONDS)):
            context.left = context.limits.opened
            if not context.left:
                break
            await anyio.sleep(_HANDLING_SECONDS)
        stop()

    anyio.run(_serve, context, send)


@then('the listener has closed them too')
def then_closed(context):
    assert context.left == 0, context.left


@when('the listener is ended {how} while requests run')
def when_ended(context, how):
    context.logged = []
    # The error that ends the process.
    with contextlib.suppress(ExceptionGroup):
        anyio.run(_end_listener, context, how)


async def _end_listener(context, how):
    _record_exceptions(context)
    address = f'127.0.0.1:{free_port()}'
    stopped = anyio.Event()

    async def application(_scope, _receive, _respond):
        await anyio.sleep_forever()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            serve_addresses, application, [address], stopped, _HANDLING_SECONDS
        )
        for _ in range(context.count):
            _, writer = await _connect(address)
            writer.write(_REQUEST % 0)
        await anyio.sleep(_HANDLING_SECONDS)
        if how == 'by its graceful timeout':
            stopped.set()
        elif how == 'by its cancellation':
            tasks.cancel_scope.cancel()
        else:
            raise OSError(how)


def _record_exceptions(context):
    asyncio.get_running_loop().set_exception_handler(
        lambda _loop, details: context.logged.append(details)
    )


@then('no exception was logged')
def then_nothing_logged(context):
    assert not context.logged, context.logged


@given('a listener whose connections fail unexpectedly')
def given_failing(context):
    failing = mock.patch.object(
        http_listener, '_CallerServer', side_effect=RuntimeError('unexpected')
    )
    context.add_cleanup(failing.stop)
    failing.start()


@when('a caller connects')
def when_caller_connects(context):
    context.logged = []
    with capture_logs() as context.lines:
        anyio.run(_connect_once, context)


async def _connect_once(context):
    _record_exceptions(context)
    address = f'127.0.0.1:{free_port()}'
    stopped = anyio.Event()

    async def application(_scope, _receive, _respond):
        raise AssertionError('a request was handled')

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            serve_addresses, application, [address], stopped, _TIMEOUT_SECONDS
        )
        reader, _ = await _connect(address)
        with anyio.fail_after(_TIMEOUT_SECONDS):
            context.received = await reader.read()
        stopped.set()


@then('its connection is closed')
def then_connection_closed(context):
    assert context.received == b'', context.received


@then('the failure was logged once')
def then_failure_logged(context):
    assert not context.logged, context.logged
    events = [line['event'] for line in context.lines]
    assert events == ['connection_failed'], context.lines


async def _let_pass(steps):
    for _ in range(steps):
        await anyio.lowlevel.checkpoint()


async def _serve(context, send, kept=None):
    """Serve connections, send requests, and read what comes back.

    :param kept: number of connections that are open before; all by default.
    """
    context.handled = set()
    context.read = set()
    context.status_by_number = {}
    port = free_port()
    address = f'127.0.0.1:{port}'
    context.address = ('127.0.0.1', port)
    context.limits = ListenerLimits()
    stopped = anyio.Event()
    ended = anyio.Event()
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

    async def application(scope, receive, respond):
        number = int(scope['path'].rpartition('/')[2])
        if number:
            context.read.add(number)
        await server(scope, receive, respond)

    async def listen():
        await serve_addresses(
            application, [address], stopped, _TIMEOUT_SECONDS, context.limits
        )
        ended.set()

    def stop(*, refuse=True):
        context.stopped_at = time.monotonic()
        stopped.set()
        if refuse:
            waiting_requests.close()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listen)
        count = context.count if kept is None else kept
        if not count:
            # The listener is open once it has taken a connection.
            (await _connect(address))[1].close()
        connections = [await _connect(address) for _ in range(count)]
        for reader, writer in connections:
            writer.write(_REQUEST % 0)
            await reader.readuntil(b'ok')
        await send(stop, connections)
        for number, (reader, writer) in enumerate(connections, 1):
            await _read_answer(context, number, reader)
            writer.close()
        await ended.wait()
        context.ended_at = time.monotonic()


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
            head = await reader.readuntil(b'\r\n\r\n')
            length = re.search(rb'content-length: (\d+)', head)
            if length:
                await reader.readexactly(int(length[1]))
            else:
                await reader.readuntil(b'ok')
    except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
        return
    context.status_by_number[number] = int(head.split(b' ')[1])


@then('every request that was passed on is answered')
def then_answered(context):
    lost = context.handled - context.status_by_number.keys()
    assert not lost, (len(lost), len(context.handled))


@then('every request that was read is answered')
def then_read_answered(context):
    lost = context.read - context.status_by_number.keys()
    assert not lost, (len(lost), len(context.read))


@then('requests that were not passed on are refused as not run')
def then_refused(context):
    for number, status in context.status_by_number.items():
        expected = 200 if number in context.handled else 503
        assert status == expected, (number, status)


@then('the listener ends as soon as it is stopped')
@then('the listener ends as soon as they have ended')
def then_ended(context):
    seconds = context.ended_at - context.stopped_at
    assert seconds < _TIMEOUT_SECONDS / 2, seconds
