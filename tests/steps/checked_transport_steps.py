"""Steps for connections that are inspected before each reuse."""

import asyncio

import httpx
from behave import given, then, when

from cowsliprack.transport.checked_transport import CheckedTransport
from cowsliprack.transport.target_client import SendTrace

_PAUSE = 0.05
_AFTER = {
    'keeps the connection': (b'', b'', False),
    'sends a second answer': (
        b'',
        b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray',
        False,
    ),
    'sends bytes without sense': (b'', b'\x00garbage', False),
    'closes the connection': (b'', b'', True),
    'asks to close the connection': (b'connection: close\r\n', b'', False),
    'states an idle time of 0 s': (b'keep-alive: timeout=0\r\n', b'', False),
}
_ANSWERS = {
    'ends before its length': (
        b'HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nshort'
    ),
    'ends in the middle of a chunk': (
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nsho'
    ),
    'is no answer': b'SSH-2.0-x\r\n\r\n',
    'never begins': b'',
    'has no length': b'HTTP/1.1 200 OK\r\n\r\nthe whole answer',
}


async def _read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    return head.split(b' ')[1]


class _Server:
    def __init__(self, answer=None, after=None):
        self.answer = answer
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
        if self.answer is not None:
            writer.write(self.answer)
            await writer.drain()
            return False
        header, stray, closes = self.after
        writer.write(
            b'HTTP/1.1 200 OK\r\n%scontent-length: %d\r\n\r\n%s'
            % (header, len(path), path)
        )
        await writer.drain()
        if stray:
            await asyncio.sleep(_PAUSE / 2)
            writer.write(stray)
            await writer.drain()
        return not closes


@given('a server that answers and then {what}')
def given_server(context, what):
    context.server = _Server(after=_AFTER[what])


@given('a server whose answer {fault}')
def given_faulty(context, fault):
    context.server = _Server(answer=_ANSWERS[fault])


@given('a server that refuses connections')
def given_refusing(context):
    context.server = None


async def _ask(context, paths):
    listener = None
    port = 9
    if context.server is not None:
        listener = await asyncio.start_server(
            context.server.serve, '127.0.0.1', 0
        )
        port = listener.sockets[0].getsockname()[1]
    context.answers = []
    context.traces = []
    async with httpx.AsyncClient(transport=CheckedTransport()) as client:
        for path in paths:
            trace = SendTrace()
            context.traces.append(trace)
            try:
                answer = await client.get(
                    f'http://127.0.0.1:{port}{path}',
                    extensions={'trace': trace},
                )
                context.answers.append(answer.text)
            except httpx.HTTPError as error:
                context.answers.append(error)
            await asyncio.sleep(_PAUSE)
    if listener is not None:
        listener.close()


@when('two requests are sent one after the other')
def when_two(context):
    asyncio.run(_ask(context, ['/first', '/second']))


@when('one request is sent')
def when_one(context):
    asyncio.run(_ask(context, ['/only']))


@then('each gets its own answer')
def then_own(context):
    assert context.answers == ['/first', '/second'], context.answers


@then('{count:d} connections were opened')
def then_connections(context, count):
    assert context.server.connections == count, context.server.connections


@then('it fails and its bytes count as sent')
def then_sent(context):
    assert isinstance(context.answers[0], httpx.HTTPError), context.answers
    assert context.traces[0].sent


@then('it fails and no byte counts as sent')
def then_not_sent(context):
    assert isinstance(context.answers[0], httpx.ConnectError), context.answers
    assert not context.traces[0].sent


@then('it gets the whole answer')
def then_whole_answer(context):
    assert context.answers == ['the whole answer'], context.answers
