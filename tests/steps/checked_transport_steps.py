"""Steps for connections that are inspected before each reuse."""

import asyncio

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


async def _read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    return head.split(b' ')[1]


class _Server:
    def __init__(self, response=None, after=None):
        self.response = response
        self.after = after
        self.connections = 0

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
        if stray:
            await asyncio.sleep(_PAUSE_SECONDS / 2)
            writer.write(stray)
            await writer.drain()
        return not closes


@given('a server that responds and then {what}')
def given_server(context, what):
    context.server = _Server(after=_BYTES_AFTER_RESPONSE[what])


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
    if listener is not None:
        listener.close()


@when('two requests are sent one after the other')
def when_two(context):
    asyncio.run(_send_requests(context, ['/first', '/second']))


@when('one request is sent')
def when_one(context):
    asyncio.run(_send_requests(context, ['/only']))


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
