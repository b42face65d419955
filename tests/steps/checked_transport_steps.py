"""Steps for connections that are inspected before each reuse."""

import asyncio
import contextlib

import httpx
from behave import given, then, when

from cowsliprack.exceptions import StoreUnavailableError
from cowsliprack.platform.engine_client import EngineClient
from cowsliprack.platform.store import PlatformStore
from cowsliprack.protocol.engine import OrderPreconditions
from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.engine_state import EngineOrder
from cowsliprack.transport.checked_transport import CheckedTransport
from cowsliprack.transport.reach_watch import is_answering
from cowsliprack.transport.running_time import RunningTime
from cowsliprack.transport.target_client import SendTrace
from tests.support.routed import target_record

_PAUSE_SECONDS = 0.05
_BYTES_AFTER_RESPONSE = {
    'keeps the connection': (b'', b'', False),
    'sends a second response': (
        b'',
        b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray',
        False,
    ),
    'sends invalid bytes': (b'', b'\x00garbage', False),
    'closes the connection': (b'', b'', True),
    'asks to close the connection': (b'connection: close\r\n', b'', False),
    'states an idle time of 0 s': (b'keep-alive: timeout=0\r\n', b'', False),
}
_FAULTY_RESPONSES = {
    'ends before its length': (
        b'HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nshort'
    ),
    'ends in the middle of a chunk': (
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nsho'
    ),
    'is not HTTP': b'SSH-2.0-x\r\n\r\n',
    'never begins': b'',
    'ends after an interim head': b'HTTP/1.1 199 X\r\n\r\n',
    'has no length': b'HTTP/1.1 200 OK\r\n\r\nthe whole response',
}


_FIRST_RESPONSE = b'HTTP/1.1 %s X\r\ncontent-length: 5\r\n\r\nfirst'


# A start that is sent once, and bytes that are repeated without end.
_ENDLESS_BYTES = {
    'a head line': (b'HTTP/1.1 200 OK\r\nx-padding: ', b'a' * 4096),
    'head lines': (b'HTTP/1.1 200 OK\r\n', b'x-padding: a\r\n' * 256),
    'interim responses': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 128),
    'the size line of a chunk': (
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;',
        b'a' * 4096,
    ),
    'trailer lines': (
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n',
        b'x-padding: a\r\n' * 256,
    ),
}
# Time in which a server without a reader would not notice anything.
_ENDLESS_SECONDS = 5.0


async def _send_without_end(server, writer, what):
    start, endless = _ENDLESS_BYTES[what]
    writer.write(start)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_ENDLESS_SECONDS):
            try:
                while True:
                    writer.write(endless)
                    server.sent_bytes += len(endless)
                    await writer.drain()
                    await asyncio.sleep(0)
            except ConnectionError:
                server.was_closed = True


async def _read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    return head.split(b' ')[1]


class _Server:
    def __init__(self, response=None, after=None, first_status=None):
        self.response = response
        self.after = after
        # Status of the first response only.
        self.first_status = first_status
        self.connections = 0
        self.endless = ''
        self.sent_bytes = 0
        self.was_closed = False

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while await self._serve_one(reader, writer):
                continue
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        path = await _read_head(reader)
        if self.endless and self.after is None:
            await _send_without_end(self, writer, self.endless)
            return False
        if self.response is not None:
            writer.write(self.response)
            await writer.drain()
            return False
        if self.first_status is not None:
            writer.write(_FIRST_RESPONSE % self.first_status)
            await writer.drain()
            self.first_status = None
            return True
        header, stray, closes = self.after
        writer.write(
            b'HTTP/1.1 200 OK\r\n%scontent-length: %d\r\n\r\n%s'
            % (header, len(path), path)
        )
        await writer.drain()
        if self.endless:
            await _send_without_end(self, writer, self.endless)
            return False
        if stray:
            await asyncio.sleep(_PAUSE_SECONDS / 2)
            writer.write(stray)
            await writer.drain()
        return not closes


@given('a server that responds and then {what}')
def given_server(context, what):
    context.server = _Server(after=_BYTES_AFTER_RESPONSE[what])


@given('a server that sends {what} without end')
def given_endless(context, what):
    context.server = _Server()
    context.server.endless = what


@given('a server that never stops sending {what} after its response')
def given_endless_after(context, what):
    context.server = _Server(
        after=_BYTES_AFTER_RESPONSE['keeps the connection']
    )
    context.server.endless = what


@given('a server whose response {fault}')
def given_faulty_response(context, fault):
    context.server = _Server(response=_FAULTY_RESPONSES[fault])


@given('a server whose first response has the status {status}')
def given_first_status(context, status):
    context.server = _Server(
        after=_BYTES_AFTER_RESPONSE['keeps the connection'],
        first_status=b'' if status == 'none' else status.encode(),
    )


@given('a server that refuses connections')
def given_refusing(context):
    context.server = None


async def _send_requests(context, paths, method='GET'):
    listener = None
    port = 9
    if context.server is not None:
        listener = await asyncio.start_server(
            context.server.serve, '127.0.0.1', 0
        )
        port = listener.sockets[0].getsockname()[1]
    context.responses = []
    context.statuses = []
    context.traces = []
    async with httpx.AsyncClient(transport=CheckedTransport()) as client:
        for path in paths:
            trace = SendTrace()
            context.traces.append(trace)
            try:
                response = await client.request(
                    method,
                    f'http://127.0.0.1:{port}{path}',
                    extensions={'trace': trace},
                )
                context.responses.append(response.text)
                context.statuses.append(response.status_code)
            except httpx.HTTPError as error:
                context.responses.append(error)
            await asyncio.sleep(_PAUSE_SECONDS)
            method = 'GET'
        if context.server is not None and context.server.endless:
            await asyncio.sleep(_PAUSE_SECONDS)
    if listener is not None:
        listener.close()


@when('two requests are sent one after the other')
def when_two(context):
    asyncio.run(_send_requests(context, ['/first', '/second']))


@when('a request with the method {method} is sent, and then another one')
def when_method(context, method):
    asyncio.run(_send_requests(context, ['/first', '/second'], method))


@when('one request is sent')
def when_one(context):
    asyncio.run(_send_requests(context, ['/only']))


async def _order(client, address):
    answer = await EngineClient(client).send_order(
        target_record('e1', address=address),
        EngineOrder('e1', OrderKind.load, 'm0'),
        OrderPreconditions('g1', 1, 0),
        lambda: True,
    )
    return answer.value


async def _survey(client, address):
    survey = await EngineClient(client).survey(
        target_record('e1', address=address)
    )
    return 'no report' if survey is None else 'a report'


async def _health_check(client, address):
    is_answered = await is_answering(
        client, RunningTime(), f'http://{address}/health'
    )
    return 'reached' if is_answered else 'not reached'


async def _store_read(client, address):
    try:
        await PlatformStore(f'http://{address}', client).read('kind/name')
    except StoreUnavailableError:
        return 'unavailable'
    return 'read'


async def _store_write(client, address):
    try:
        await PlatformStore(f'http://{address}', client).create('kind/name', {})
    except StoreUnavailableError:
        return 'unavailable'
    return 'written'


_CALLS = {
    'an order': _order,
    'a survey': _survey,
    'a health check': _health_check,
    'a store read': _store_read,
    'a store write': _store_write,
}


async def _call(context, call):
    listener = await asyncio.start_server(context.server.serve, '127.0.0.1', 0)
    address = f'127.0.0.1:{listener.sockets[0].getsockname()[1]}'
    async with httpx.AsyncClient(transport=CheckedTransport()) as client:
        context.result = await call(client, address)
    listener.close()


@when('{call} gets that response')
def when_platform_call(context, call):
    asyncio.run(_call(context, _CALLS[call]))


@then('the call ends as "{result}"')
def then_call_ends(context, result):
    assert context.result == result, context.result


async def _send_to_two_servers(context):
    now = 0.0
    other = _Server(after=_BYTES_AFTER_RESPONSE['keeps the connection'])
    transport = CheckedTransport(clock=lambda: now)
    async with httpx.AsyncClient(transport=transport) as client:
        for server in (context.server, other):
            listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
            port = listener.sockets[0].getsockname()[1]
            await client.get(f'http://127.0.0.1:{port}/only')
            await asyncio.sleep(_PAUSE_SECONDS)
            now += 2
        await asyncio.sleep(_PAUSE_SECONDS)
        context.was_closed_by_client = context.server.was_closed


@when('one request is sent, and 2 seconds later one to another server')
def when_other_server(context):
    asyncio.run(_send_to_two_servers(context))


@then('the server has noticed that its connection was closed')
def then_closed(context):
    assert context.server.was_closed


@then('it could send at most {megabytes:d} MB')
def then_sent_bytes(context, megabytes):
    assert context.server.sent_bytes <= megabytes * 1_000_000, (
        context.server.sent_bytes
    )


@then('each gets its own response')
def then_own(context):
    assert context.responses == ['/first', '/second'], context.responses


@then('the second gets its own response')
def then_second(context):
    assert context.responses[1] == '/second', context.responses


@then('the first is returned with the status {status:d}')
def then_status(context, status):
    assert context.statuses[0] == status, context.statuses


@then('{count:d} connections were opened')
def then_connections(context, count):
    assert context.server.connections == count, context.server.connections


@then('it fails and its bytes count as sent')
@then('the first fails and its bytes count as sent')
def then_sent(context):
    assert isinstance(context.responses[0], httpx.HTTPError), context.responses
    assert context.traces[0].sent


@then('it fails and no byte counts as sent')
def then_not_sent(context):
    assert isinstance(context.responses[0], httpx.ConnectError), (
        context.responses
    )
    assert not context.traces[0].sent


@then('it gets the whole response')
def then_whole_response(context):
    assert context.responses == ['the whole response'], context.responses
