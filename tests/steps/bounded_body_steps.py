"""Steps for response bodies that never end."""

import asyncio
import contextlib
import gc
import itertools
import time
import tracemalloc

import httpx
from behave import given, then, when

from cowsliprack.coordination.fleet_view import FleetView
from cowsliprack.coordination.freshness import Freshness
from cowsliprack.coordination.target_selector import TargetSelector
from cowsliprack.exceptions import ServingError, TargetError
from cowsliprack.metrics import Metrics
from cowsliprack.platform.engine_client import EngineClient
from cowsliprack.platform.headers import PLATFORM_DIALECT
from cowsliprack.protocol.engine import OrderPreconditions
from cowsliprack.protocol.target import Order, OrderKind
from cowsliprack.state.engine_state import EngineOrder
from cowsliprack.state.target_registry import TargetRegistry
from cowsliprack.transport.bounded_body import AnswerMemory, read_body
from cowsliprack.transport.checked_transport import CheckedTransport
from cowsliprack.transport.exchange import exchange_from_scope
from cowsliprack.transport.poison_watch import PoisonWatch
from cowsliprack.transport.reach_watch import is_answering
from cowsliprack.transport.route_relay import RouteRelay
from cowsliprack.transport.route_server import RouteServer
from cowsliprack.transport.running_time import RunningTime
from cowsliprack.transport.target_client import TargetClient
from tests.support.gateway_cluster import KEY
from tests.support.routed import (
    TABLE,
    lone_origins,
    routed_request,
    target_record,
)

_CHUNK = b'1000\r\n%s\r\n' % (b' ' * 4096)
_CHUNKED_HEAD = b'transfer-encoding: chunked\r\n\r\n'
_EVENT = b'id: 1\ndata: first\n\n'
# The rest of the head with the start of the body, the bytes that are repeated,
# and the pause between them in seconds.
_BODIES = {
    'in chunks': (_CHUNKED_HEAD, _CHUNK, 0),
    'without a length': (b'\r\n', b' ' * 4096, 0),
    'of a far too large length': (
        b'content-length: 100000000000\r\n\r\n',
        b' ' * 4096,
        0,
    ),
    'with an endless first event': (_CHUNKED_HEAD, _CHUNK, 0),
    'with an endless second event': (
        b'%s%x\r\n%s\r\n' % (_CHUNKED_HEAD, len(_EVENT), _EVENT),
        _CHUNK,
        0,
    ),
    'with parts of an event': (_CHUNKED_HEAD, b'1\r\na\r\n', 0.05),
}
# Time in which a target without a reader would not notice anything.
_ENDLESS_SECONDS = 5.0
_SILENT_SECONDS = 0.5


class _EndlessTarget:
    def __init__(self, framing):
        self._start, self._endless, self._pause = _BODIES[framing]
        self.sent_bytes = 0
        self.was_closed = False
        self.ended = asyncio.Event()
        self._open = 0

    async def serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\nx-attempt-id: id\r\n%s' % self._start)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_ENDLESS_SECONDS):
                await self._send_until_closed(writer)
        self.ended.set()
        writer.close()

    async def _send_until_closed(self, writer):
        try:
            while True:
                writer.write(self._endless)
                self.sent_bytes += len(self._endless)
                await writer.drain()
                await asyncio.sleep(self._pause)
        except ConnectionError:
            self.was_closed = True


@given('a target whose response body {framing} never ends')
def given_target(context, framing):
    context.framing = framing


@when('it gets {call}')
def when_called(context, call):
    asyncio.run(_call(context, _CALLS[call]))


async def _call(context, call):
    context.target = _EndlessTarget(context.framing)
    listener = await asyncio.start_server(context.target.serve, '127.0.0.1', 0)
    address = f'127.0.0.1:{listener.sockets[0].getsockname()[1]}'
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_ENDLESS_SECONDS):
            context.result = await call(context, address)
    async with asyncio.timeout(_ENDLESS_SECONDS * 2):
        await context.target.ended.wait()
    listener.close()


async def _survey(_context, address):
    async with httpx.AsyncClient(transport=CheckedTransport()) as client:
        survey = await EngineClient(client).survey(
            target_record('e1', address=address)
        )
    return 'no report' if survey is None else 'a report'


async def _order(_context, address):
    async with httpx.AsyncClient(transport=CheckedTransport()) as client:
        answer = await EngineClient(client).send_order(
            target_record('e1', address=address),
            EngineOrder('e1', OrderKind.load, 'm0'),
            OrderPreconditions('g1', 1, 0),
            lambda: True,
        )
    return answer.value


async def _health_check(_context, address):
    async with httpx.AsyncClient(transport=CheckedTransport()) as client:
        is_answered = await is_answering(
            client, RunningTime(), f'http://{address}/health'
        )
    return 'reached' if is_answered else 'not reached'


async def _older_report(_context, address):
    client = TargetClient()
    try:
        await client.read_report(f'http://{address}')
    except TargetError as error:
        return error.ran.value
    finally:
        await client.aclose()
    return 'a report'


async def _older_order(_context, address):
    client = TargetClient()
    order = Order('o1', OrderKind.load, 't1', 'd', 1)
    try:
        return (await client.send_order(f'http://{address}', order)).value
    finally:
        await client.aclose()


class _Finder:
    def __init__(self, record):
        self._record = record

    async def find(self, _request):
        return self._record


async def _send(_message):
    await asyncio.sleep(0)


def _scope(path):
    return {
        'method': 'GET',
        'path': path,
        'query_string': b'',
        'headers': [
            (b'host', b'desk.example'),
            (b'x-attempt-id', b'id'),
            (b'x-key', KEY.encode()),
        ],
    }


def _relay(context, client, address):
    context.selector = TargetSelector('z')
    return RouteRelay(
        client=client,
        dialect=PLATFORM_DIALECT,
        fleet=FleetView(),
        target_selector=context.selector,
        finder=_Finder(target_record('e1', address=address)),
        poison=PoisonWatch(TargetRegistry(), time.monotonic),
        origins=lone_origins(),
        passing=None,
        apply_retry_limit=lambda _budget: None,
        table=lambda: TABLE,
        demand_changed=lambda: None,
        clock=time.monotonic,
    )


async def _forward(context, address, path, service):
    async with httpx.AsyncClient(transport=CheckedTransport()) as client:
        relay = _relay(context, client, address)
        request = routed_request(
            path,
            service,
            time.monotonic(),
            _ENDLESS_SECONDS * 2,
            exchange=exchange_from_scope(_scope(path), None, _send),
        )
        try:
            await relay.serve(request)
        except ServingError as error:
            return error.kind.value
    return 'answered'


async def _request(context, address):
    return await _forward(context, address, '/stock/1', 'shop')


async def _stream(context, address):
    if context.framing != 'with parts of an event':
        return await _forward(context, address, '/report/1', 'llm')
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_SILENT_SECONDS * 2):
            serving = asyncio.create_task(
                _forward(context, address, '/report/1', 'llm')
            )
            await asyncio.sleep(_SILENT_SECONDS)
            context.silence = context.selector.silence('e1', time.monotonic())
            await asyncio.shield(serving)
    serving.cancel()
    return 'cancelled'


async def _grant(_organisation, _tokens):
    return None


def _server(relay):
    return RouteServer(
        dialect=PLATFORM_DIALECT,
        relay=relay,
        freshness=Freshness(60, time.monotonic()),
        credit=None,
        metrics=Metrics(),
        table=lambda: TABLE,
        reserve=_grant,
        closing=bool,
        stopped=bool,
        clock=time.monotonic,
    )


async def _serve_at_once(context, address):
    """Let an instance serve requests at once, and watch what it keeps."""
    async with httpx.AsyncClient(transport=CheckedTransport()) as client:
        relay = _relay(context, client, address)
        relay.answers.max_bytes = context.max_bytes
        server = _server(relay)

        async def serve():
            messages = [{'type': 'http.request', 'body': b''}]

            async def receive():
                return messages.pop() if messages else await asyncio.Future()

            await server(_scope(context.path), receive, _send)

        serving = [asyncio.create_task(serve()) for _ in range(context.count)]
        context.peak_bytes = 0
        while not all(task.done() for task in serving):
            context.peak_bytes = max(
                context.peak_bytes, relay.answers.kept_bytes
            )
            await asyncio.sleep(0.001)


@when(
    'an instance that keeps at most {megabytes:d} MB serves {count:d} requests '
    'for {path} at once'
)
def when_served_at_once(context, megabytes, count, path):
    context.max_bytes = megabytes * 1_000_000
    context.count = count
    context.path = path
    asyncio.run(_call(context, _serve_at_once))


@then('it keeps more than 0 MB and at most {megabytes:d} MB at a time')
def then_peak(context, megabytes):
    assert 0 < context.peak_bytes <= megabytes * 1_000_000, context.peak_bytes


class _Response:
    """Response whose chunks come at intervals; it may stall at its end."""

    def __init__(self, chunks, stalls=False):
        self._chunks = chunks
        self._stalls = stalls

    async def aiter_raw(self):
        for chunk in self._chunks:
            await asyncio.sleep(0.001)
            yield chunk
        if self._stalls:
            await asyncio.Future()


@given('unfinished answers that may take {count:d} bytes together')
def given_memory(context, count):
    context.answers = AnswerMemory(max_bytes=count)
    context.responses = {}


@given('an answer that stalls after {count:d} bytes')
def given_stalled(context, count):
    context.responses['stalled'] = _Response([b'x' * count], stalls=True)


@given('{count:d} answers without end')
def given_endless(context, count):
    for number in range(count):
        context.responses[f'endless {number}'] = _Response(
            itertools.repeat(b'x' * 10)
        )


@when('answers of {sizes} bytes are read besides')
def when_read(context, sizes):
    for size in sizes.split(', '):
        chunks = [b'x' * 10] * (int(size) // 10)
        context.responses[f'sound {size}'] = _Response(chunks)
    asyncio.run(_read_all(context))


async def _read_all(context):
    context.result_by_name = {}

    async def read(name, response):
        try:
            body = await read_body(response, 10**9, context.answers)
        except httpx.RemoteProtocolError:
            context.result_by_name[name] = 'given up'
        else:
            context.result_by_name[name] = len(body)

    async with asyncio.timeout(_ENDLESS_SECONDS), asyncio.TaskGroup() as tasks:
        for name, response in context.responses.items():
            tasks.create_task(read(name, response))


@then('only the {kind} answers are given up')
def then_given_up(context, kind):
    for name, outcome in context.result_by_name.items():
        sort, _, size = name.partition(' ')
        expected = 'given up' if sort == kind else int(size)
        assert outcome == expected, (name, outcome)


@then('no unfinished answer is counted any more')
def then_none_counted(context):
    assert not context.answers.kept_bytes, context.answers.kept_bytes


async def _serve(context, address):
    """Let an instance serve requests one after the other."""
    messages = []

    async def receive():
        if messages:
            return messages.pop()
        return await asyncio.Future()

    async with httpx.AsyncClient(transport=CheckedTransport()) as client:
        server = _server(_relay(context, client, address))
        for _ in range(context.count):
            messages.append({'type': 'http.request', 'body': b''})
            await server(_scope(context.path), receive, _send)


@when('an instance serves {count:d} requests for {path}')
def when_served(context, count, path):
    context.count = count
    context.path = path
    # Only what nothing refers to any more is freed at once.
    gc.collect()
    gc.disable()
    context.add_cleanup(gc.enable)
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)
    asyncio.run(_call(context, _serve))
    context.kept_bytes, _ = tracemalloc.get_traced_memory()


@then('it keeps at most {megabytes:d} MB of their bytes')
def then_kept(context, megabytes):
    assert context.kept_bytes <= megabytes * 1_000_000, context.kept_bytes


_CALLS = {
    'a survey': _survey,
    'an order': _order,
    'a health check': _health_check,
    'a report of the older path': _older_report,
    'an order of the older path': _older_order,
    'a repeatable request': _request,
    'a stream': _stream,
}


@then('the result is "{expected}"')
def then_result(context, expected):
    assert getattr(context, 'result', None) == expected, context.result


@then('the target has noticed that its connection was closed')
def then_closed(context):
    assert context.target.was_closed


@then('the target could send at most {megabytes:d} MB')
def then_sent(context, megabytes):
    sent = context.target.sent_bytes
    assert sent <= megabytes * 1_000_000, sent


@then('the target has been silent for at least {seconds:g} seconds')
def then_silent(context, seconds):
    assert context.silence >= seconds, context.silence
