"""Steps for the account of what is held for callers."""

import asyncio
import contextlib
import socket
import time
import tracemalloc
from types import SimpleNamespace

import anyio
from behave import given, then, when

from cowsliprack.coordination.caller_memory import (
    CallerMemory,
    Holding,
    caller_limits,
    choose_closed,
)
from cowsliprack.coordination.freshness import Freshness
from cowsliprack.metrics import Metrics
from cowsliprack.platform.headers import PLATFORM_DIALECT
from cowsliprack.transport.exchange import Exchange
from cowsliprack.transport.http_listener import ListenerLimits, serve_addresses
from cowsliprack.transport.route_server import RouteServer
from tests.support.gateway_cluster import HOST, free_port
from tests.support.routed import TABLE

_TIMEOUT_SECONDS = 10.0
_NOW = 100.0


@given('an account of {count:d} bytes')
def given_account(context, count):
    context.memory = CallerMemory(count)
    context.now = _NOW
    context.crowd = []
    context.ordinary = []
    context.running = []
    context.peak = 0


def _keep(context, holding, held_bytes):
    context.memory.keep(holding, held_bytes, context.now)
    context.peak = max(context.peak, context.memory.held_bytes)


def _open(context, count, among):
    opened = [Holding() for _ in range(count)]
    for holding in opened:
        context.memory.add(holding, context.now)
    among.extend(opened)
    return opened


@when('{count:d} callers send {size:d} bytes each in pieces of 50000 and stall')
def when_stalling(context, count, size):
    callers = _open(context, count, context.crowd)
    for sent in range(50_000, size + 50_000, 50_000):
        for holding in callers:
            _keep(context, holding, min(sent, size))


@when(
    '{seconds:d} seconds later {count:d} callers send {size:d} bytes each '
    'and go on'
)
def when_ordinary(context, seconds, count, size):
    context.now += seconds
    for holding in _open(context, count, context.ordinary):
        for sent in range(size // 4, size + 1, size // 4):
            _keep(context, holding, sent)


@when('{count:d} callers send {size:d} bytes each and wait')
def when_waiting(context, count, size):
    for holding in _open(context, count, context.crowd):
        _keep(context, holding, size)
        holding.waits_for_caller = False


@when('{count:d} callers send {size:d} bytes each and a target may run them')
def when_running(context, count, size):
    for holding in _open(context, count, context.running):
        _keep(context, holding, size)
        holding.waits_for_caller = False
        holding.is_spared = lambda: True


@then('at most {count:d} bytes were held at a time')
def then_peak(context, count):
    assert 0 < context.peak <= count, context.peak


@then('no ordinary caller was dropped')
def then_none_dropped(context):
    dropped = [holding for holding in context.ordinary if holding.is_dropped]
    assert not dropped, len(dropped)
    assert any(holding.is_dropped for holding in context.crowd)


@then('only callers that wait were dropped')
def then_waiting_dropped(context):
    assert not any(holding.is_dropped for holding in context.running)
    assert any(holding.is_dropped for holding in context.crowd)


@then('nothing is counted after all have left')
def then_nothing_counted(context):
    for holding in (*context.crowd, *context.ordinary):
        context.memory.remove(holding)
    assert not context.memory.held_bytes, context.memory.held_bytes


@then('after {seconds:d} seconds it is {state}')
def then_abandoned(context, seconds, state):
    context.memory.drop_abandoned(context.now + seconds)
    assert context.crowd[0].is_dropped == (state == 'dropped')


@given('connections that are {text}')
def given_connections(context, text):
    context.connections = []
    for name in text.split(', '):
        kind, _, rest = name.rpartition(' s')[0].rpartition(' ')
        context.connections.append(
            SimpleNamespace(
                name=name,
                handled=int(kind in {'in use', 'stalled'}),
                requests=int(kind != 'silent'),
                is_reading_body=kind == 'stalled',
                progressed_at=_NOW - int(rest),
            )
        )


@then('the one that is closed for a new one is {name}')
def then_closed(context, name):
    closed = choose_closed(context.connections, _NOW)
    assert (closed.name if closed else 'none') == name, closed


@then(
    '{memory:d} MB and {descriptors:d} descriptors allow {held:d} bytes and '
    '{connections:d} connections'
)
def then_limits(context, memory, descriptors, held, connections):
    limits = caller_limits(memory, descriptors)
    assert (limits.held_bytes, limits.connections) == (held, connections), (
        limits
    )


@given('a body of {count:d} chunks of one byte')
def given_chunks(context, count):
    context.count = count


@then('reading it takes at most {limit:d} bytes at a time')
def then_joined(context, limit):
    left = context.count

    async def receive():
        nonlocal left
        left -= 1
        # A chunk that the parser cuts from its buffer is an object of its own.
        body = bytes(bytearray(b'x'))
        return {'type': 'http.request', 'body': body, 'more_body': left > 0}

    exchange = Exchange('POST', '/', '/', b'', [], receive, None)
    tracemalloc.start()
    try:
        body = anyio.run(exchange.read_body, context.count)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(body) == context.count
    assert peak <= limit, peak


class _Relay:
    """Answers each request with as many bytes as its path says."""

    async def serve(self, request):
        size = int(request.path.rpartition('/')[2])
        await request.exchange.answer(b'x' * size)


@given('a server that holds {count:d} bytes for its callers')
def given_server(context, count):
    context.memory = CallerMemory(count)


async def _serve(context, call):
    address = f'127.0.0.1:{free_port()}'
    stopped = anyio.Event()
    server = RouteServer(
        dialect=PLATFORM_DIALECT,
        relay=_Relay(),
        freshness=Freshness(60, time.monotonic()),
        credit=None,
        metrics=Metrics(),
        table=lambda: TABLE,
        reserve=None,
        closing=lambda: False,
        stopped=lambda: False,
        clock=time.monotonic,
        memory=context.memory,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            serve_addresses,
            server,
            [address],
            stopped,
            1.0,
            ListenerLimits(context.memory),
        )
        await anyio.sleep(0.2)
        with anyio.fail_after(_TIMEOUT_SECONDS):
            await call(int(address.rpartition(':')[2]))
        stopped.set()


async def _until(condition):
    end = time.monotonic() + _TIMEOUT_SECONDS
    for _ in iter(condition, True):
        assert time.monotonic() < end, 'condition not met in time'
        await anyio.sleep(0.01)


async def _begin(port, answer_size, body_size, sent):
    connection = socket.socket()
    # The system's buffers would take whole answers in place of the server's.
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
    connection.connect(('127.0.0.1', port))
    reader, writer = await asyncio.open_connection(
        sock=connection, limit=16_384
    )
    head = (
        f'POST /open/{answer_size} HTTP/1.1\r\nhost: {HOST}\r\n'
        f'x-attempt-id: id\r\ncontent-length: {body_size}\r\n\r\n'
    )
    writer.write(head.encode() + b'x' * sent)
    return reader, writer


@when(
    'a body of {first:d} bytes stalls and one of {second:d} bytes comes whole'
)
def when_bodies(context, first, second):
    async def call(port):
        stalled, stalled_writer = await _begin(port, 1, first, first - 1)
        await _until(lambda: context.memory.held_bytes >= first - 1)
        whole, whole_writer = await _begin(port, 1, second, second)
        context.whole = await whole.readuntil(b'\r\n\r\nx')
        context.refused = b''
        with contextlib.suppress(ConnectionError):
            context.refused = await stalled.read()
        stalled_writer.close()
        whole_writer.close()

    anyio.run(_serve, context, call)


@then('the whole one is answered')
def then_whole(context):
    assert context.whole.startswith(b'HTTP/1.1 200'), context.whole


@then('the stalled one is refused as not run or its connection is closed')
def then_refused(context):
    if context.refused:
        assert context.refused.startswith(b'HTTP/1.1 503'), context.refused
        assert b'memory_full' in context.refused, context.refused


@then('nothing is held once both have left')
def then_nothing_held(context):
    assert not context.memory.held_bytes, context.memory.held_bytes


@when(
    '1 caller reads an answer of {size:d} bytes slowly beside {count:d} that '
    'do not read'
)
def when_reading(context, size, count):
    async def call(port):
        reader, writer = await _begin(port, size, 0, 0)
        await reader.readuntil(b'\r\n\r\n')
        silent = [await _begin(port, size, 0, 0) for _ in range(count)]
        received = 0
        while received < size:
            chunk = await reader.read(32_768)
            assert chunk, f'the answer ended after {received} bytes'
            received += len(chunk)
            await anyio.sleep(0.005)
        context.received = received
        for _, silent_writer in silent:
            silent_writer.transport.abort()
        writer.close()

    context.size = size
    anyio.run(_serve, context, call)
    dropped = sum(context.memory.dropped.values())
    assert dropped, 'the account was never full'


@then('the slow caller gets the whole answer')
def then_whole_answer(context):
    assert context.received == context.size, context.received
