"""Steps for connections that are inspected before each reuse."""

import asyncio
import contextlib

import httpx
from behave import given, then, when

from cowsliprack.transport.checked_transport import CheckedTransport
from cowsliprack.transport.target_client import SendTrace

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
    'has no length': b'HTTP/1.1 200 OK\r\n\r\nthe whole response',
}


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
    def __init__(self, response=None, after=None):
        self.response = response
        self.after = after
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


@given('a server that refuses connections')
def given_refusing(context):
    context.server = None


async def _send_requests(context, paths):
    listener = None
    port = 9
    if context.server is not None:
        listener = await asyncio.start_server(
            context.server.serve, '127.0.0.1', 0
        )
        port = listener.sockets[0].getsockname()[1]
    context.responses = []
    context.traces = []
    async with httpx.AsyncClient(transport=CheckedTransport()) as client:
        for path in paths:
            trace = SendTrace()
            context.traces.append(trace)
            try:
                response = await client.get(
                    f'http://127.0.0.1:{port}{path}',
                    extensions={'trace': trace},
                )
                context.responses.append(response.text)
            except httpx.HTTPError as error:
                context.responses.append(error)
            await asyncio.sleep(_PAUSE_SECONDS)
        if context.server is not None and context.server.endless:
            await asyncio.sleep(_PAUSE_SECONDS)
    if listener is not None:
        listener.close()


@when('two requests are sent one after the other')
def when_two(context):
    asyncio.run(_send_requests(context, ['/first', '/second']))


@when('one request is sent')
def when_one(context):
    asyncio.run(_send_requests(context, ['/only']))


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


@then('{count:d} connections were opened')
def then_connections(context, count):
    assert context.server.connections == count, context.server.connections


@then('it fails and its bytes count as sent')
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
