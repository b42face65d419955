"""Steps for answers of targets that have no length."""

import re
import socket
import struct
import threading
import time

import anyio
import httpx
from behave import given, then, when

from cowsliprack.coordination.fleet_view import FleetView
from cowsliprack.coordination.stream_origins import origin_key
from cowsliprack.coordination.target_selector import TargetSelector
from cowsliprack.exceptions import ServingError, TargetsUnreachableError
from cowsliprack.platform.headers import PLATFORM_DIALECT
from cowsliprack.protocol.dialect import RequestMetadata
from cowsliprack.protocol.overload_messages import OutcomeCount
from cowsliprack.state.target_registry import TargetRegistry
from cowsliprack.transport.bounded_body import AnswerMemory
from cowsliprack.transport.checked_transport import CheckedTransport
from cowsliprack.transport.exchange import exchange_from_scope
from cowsliprack.transport.poison_watch import PoisonWatch
from cowsliprack.transport.route_relay import RouteRelay
from tests.support.routed import (
    TABLE,
    lone_origins,
    routed_request,
    target_record,
)

_HEAD = (
    b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
    b'x-attempt-id: id\r\nconnection: close\r\n\r\n'
)
_FIRST = b'id: 1\ndata: one\n\n'
_SECOND = b'id: 2\ndata: two\n\n'
_ANSWER = b'{"parts": 2}'
_BODIES = {
    'after its last event': _FIRST + _SECOND,
    'inside its second event': _FIRST + _SECOND[:9],
    'inside its first event': _FIRST[:9],
    'before its first event': b'',
    'with a reset': _FIRST,
}
# SO_LINGER value (on, 0 seconds) that makes close() send a TCP reset.
_RESET = struct.pack('ii', 1, 0)
# More sends than a request is allowed.
_MAX_SENDS = 100
# Until an earlier part of a stream has been read.
_BEFORE_NEXT_PART_SECONDS = 0.1
# Until the bytes before a reset have been read.
_BEFORE_RESET_SECONDS = 0.1


class _Engine:
    """Engine that breaks its first response and goes on with the second one.

    :param whole: body of a response that is not broken.
    """

    def __init__(self, end, broken, whole):
        self.end = end
        self.broken = broken
        self.whole = whole
        self.heads = []
        self.listener = socket.create_server(('127.0.0.1', 0))
        port = self.listener.getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._answer_and_close, args=(connection,), daemon=True
            ).start()

    def _answer_and_close(self, connection):
        with connection:
            self._answer(connection)

    def _answer(self, connection):
        head = connection.recv(65536)
        self.heads.append(head)
        if len(self.heads) > 1:
            rest = _SECOND if b'last-event-id: 1' in head else self.whole
            connection.sendall(_HEAD + rest)
            return
        connection.sendall(_HEAD + self.broken)
        if self.end == 'with a reset':
            time.sleep(_BEFORE_RESET_SECONDS)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)


class _Finder:
    """Finds one target, which may be reached only for the first sends.

    :param sends: number of sends for which the target is reached.
    """

    def __init__(self, record, sends):
        self._record = record
        self._sends = sends

    async def find(self, request):
        if request.sends >= self._sends:
            raise TargetsUnreachableError(request.service)
        return self._record


class _Passing:
    """Another instance that serves each request."""

    async def pass_on(self, _request):
        return True


@given('an engine whose stream without a length ends {end}')
def given_engine(context, end):
    context.engine = _Engine(end, _BODIES[end], _FIRST + _SECOND)
    context.add_cleanup(context.engine.listener.close)


@given('an engine whose answer without a length ends {end}')
def given_plain_answer(context, end):
    body = _ANSWER[:5] if end == 'with a reset' else _ANSWER
    context.engine = _Engine(end, body, _ANSWER)
    context.add_cleanup(context.engine.listener.close)


_LATER_TEXT = b'data: this text is no part of the stream\n\n'
_LATER_HEADS = {
    '500 and a text': b'HTTP/1.1 500 X',
    '503 and a text': b'HTTP/1.1 503 X',
    '404 and a text': b'HTTP/1.1 404 X',
    '400 and not run': b'HTTP/1.1 400 X\r\nx-not-run: 1',
    '200 and a text': b'HTTP/1.1 200 OK',
    'a head that is no HTTP': b'data: HTTP/1.1 200 OK',
    '600 and a text': b'HTTP/1.1 600 X',
    '000 and a text': b'HTTP/1.1 000 X',
    '20 and a text': b'HTTP/1.1 20 X',
    '-200 and a text': b'HTTP/1.1 -200 X',
}


class _ErringEngine(_Engine):
    """Engine that breaks its first response and answers later with an error."""

    def _answer(self, connection):
        head = connection.recv(65536)
        self.heads.append(head)
        if len(self.heads) == 1:
            connection.sendall(_HEAD + _FIRST + _SECOND[:9])
            return
        length = len(_LATER_TEXT)
        connection.sendall(
            _LATER_HEADS[self.end]
            + b'\r\nx-attempt-id: id\r\ncontent-length: %d\r\n\r\n' % length
            + _LATER_TEXT
        )


@given(
    'an engine whose stream breaks off, and which then answers with {answer}'
)
def given_erring(context, answer):
    context.engine = _ErringEngine(answer, b'', b'')
    context.add_cleanup(context.engine.listener.close)


class _StatusEngine(_Engine):
    """Engine whose first answer has another status; the second one is whole.

    :ivar end: the status.
    :ivar broken: further header lines of the first answer.
    """

    def _answer(self, connection):
        self.heads.append(connection.recv(65536))
        is_first = len(self.heads) == 1
        connection.sendall(
            b'HTTP/1.1 %s X\r\nx-attempt-id: id\r\ncontent-length: %d\r\n'
            b'connection: close\r\n%s\r\n%s'
            % (
                self.end.encode() if is_first else b'200',
                len(_ANSWER),
                self.broken if is_first else b'',
                _ANSWER,
            )
        )


@given('an engine whose first answer has the status {status:w}')
def given_status(context, status):
    context.engine = _StatusEngine(status, b'', b'')
    context.add_cleanup(context.engine.listener.close)


@given(
    'an engine whose first answer has the status {status:w} and says "not run"'
)
def given_status_not_run(context, status):
    context.engine = _StatusEngine(status, b'x-not-run: 1\r\n', b'')
    context.add_cleanup(context.engine.listener.close)


class _EndingEngine(_Engine):
    """Engine whose process may end with the connection of its answer."""

    def _answer(self, connection):
        self.heads.append(connection.recv(65536))
        connection.sendall(_HEAD + self.broken)
        if self.end == 'crashes':
            # Wakes the thread that accepts; close() alone leaves it listening.
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()


@given('an engine that {fate} after event 1 of a stream without a length')
def given_ending_stream(context, fate):
    _listen(context, _EndingEngine(fate, _FIRST, b''))


@given('an engine that {fate} in the body of an answer without a length')
def given_ending_answer(context, fate):
    body = _ANSWER[:5] if fate == 'crashes' else _ANSWER
    _listen(context, _EndingEngine(fate, body, b''))


def _listen(context, engine):
    context.engine = engine
    context.registry = TargetRegistry()
    record = target_record('e1', address=engine.address)
    context.registry.records_by_id[record.target_id] = record
    context.add_cleanup(engine.listener.close)


_REACHED_SENDS = {'reached only from another instance': 1, 'the first one': 2}


@given('the second target of a request is {second}')
def given_second(context, second):
    context.reached_sends = _REACHED_SENDS[second]


@then('the instance {knows} what began the stream')
def then_origin(context, knows):
    key = origin_key('', 'id')
    origin = context.origins.origins.find(key, time.monotonic())
    assert (origin is not None) == (knows == 'says'), origin


def _events(ids):
    return b''.join(
        b'id: %s\ndata: piece\n\n' % number.encode() for number in ids.split()
    )


class _UnorderedEngine(_Engine):
    """Engine that breaks its first stream off and begins later ones freely."""

    def _answer(self, connection):
        self.heads.append(connection.recv(65536))
        is_first = len(self.heads) == 1
        # Inside an event, the end of the connection is no end of the stream.
        connection.sendall(
            _HEAD + (self.broken + b'id' if is_first else self.whole)
        )


@given('an engine that sends the events {first} and then, asked again, {later}')
def given_unordered(context, first, later):
    context.engine = _UnorderedEngine('', _events(first), _events(later))
    context.add_cleanup(context.engine.listener.close)


@when('a caller that has the events up to {known} asks for a stream at {path}')
def when_known(context, known, path):
    context.resume_after = '' if known == 'none' else known
    when_asked(context, path)


class _LongEventEngine(_Engine):
    """Engine whose first stream has whole events and a long one in one part."""

    def _answer(self, connection):
        head = connection.recv(65536)
        self.heads.append(head)
        if len(self.heads) > 1:
            rest = _SECOND if b'last-event-id: 1' in head else self.whole
            connection.sendall(_HEAD + rest)
            return
        connection.sendall(_HEAD)
        whole_events = self.whole
        if self.end == 'event 1':
            connection.sendall(_FIRST)
            time.sleep(_BEFORE_NEXT_PART_SECONDS)
            whole_events = _SECOND
        connection.sendall(whole_events + b'id: 3\ndata: ' + b'x' * 2000)


@given('an engine that sends {first}, then whole events before a long one')
def given_long_event(context, first):
    context.engine = _LongEventEngine(first, b'', _FIRST + _SECOND)
    context.add_cleanup(context.engine.listener.close)


@given('at most {count:d} bytes of unfinished answers are kept')
def given_bound(context, count):
    context.answers = AnswerMemory(max_bytes=count)


_RESUMED_AFTER = {'from the start': None, 'after event 1': '1'}


@then('the second request goes on {where}')
def then_resumed(context, where):
    found = re.search(rb'last-event-id: (.*)\r\n', context.engine.heads[1])
    resumed_after = found and found[1].decode()
    assert resumed_after == _RESUMED_AFTER[where], resumed_after


@then('the caller has got nothing of the later answer')
def then_no_text(context):
    written = b''.join(message.get('body', b'') for message in context.messages)
    assert b'this text' not in written, written


class _RepeatingTarget(_Engine):
    """Target that writes a refusal twice on its connection.

    :ivar runs: requests that it has run.
    """

    runs = 0

    def _answer(self, connection):
        refusal = (
            b'HTTP/1.1 503 X\r\nx-attempt-id: id\r\nx-not-run: 1\r\n'
            b'content-length: 0\r\n\r\n'
        )
        head = connection.recv(65536)
        if not self.heads:
            self.heads.append(head)
            connection.sendall(refusal)
            while connection.recv(65536):
                self.runs += 1
                connection.sendall(refusal)
            return
        self.heads.append(head)
        self.runs += 1
        connection.sendall(
            b'HTTP/1.1 200 OK\r\nx-attempt-id: id\r\ncontent-length: 2\r\n'
            b'connection: close\r\n\r\nok'
        )


@given('a target that refuses a request, then runs it and writes {kept} again')
def given_repeating(context, kept):
    assert kept == 'the refusal'
    context.engine = _RepeatingTarget('', b'', b'')
    context.add_cleanup(context.engine.listener.close)


@then('the target has run the request {count:d} times')
def then_runs(context, count):
    assert context.engine.runs == count, context.engine.runs


@then('the caller gets {status:d}')
def then_caller_status(context, status):
    started = [
        message['status']
        for message in context.messages
        if message['type'] == 'http.response.start'
    ]
    assert started == [status], (started, context.error)


_FRAMED_HEADS = {
    'a length': b'content-length: %d\r\n' % len(_ANSWER),
    'chunks': b'transfer-encoding: chunked\r\n',
    'no length': b'connection: close\r\n',
}
_FRAMED_BODIES = {
    'a length': _ANSWER,
    'chunks': b'%x\r\n%s\r\n0\r\n\r\n' % (len(_ANSWER), _ANSWER),
    'no length': _ANSWER,
}
_BODY_BYTES_BEFORE_CUT = 8


class _CuttingEngine(_Engine):
    """Engine that stops in its first answer and gives the second one whole.

    :param where: where it stops.
    :param framing: of both answers.
    """

    def __init__(self, where, framing, end):
        head = (
            b'HTTP/1.1 200 OK\r\nx-attempt-id: id\r\n'
            + _FRAMED_HEADS[framing]
            + b'content-type: text/plain\r\n'
        )
        body = _FRAMED_BODIES[framing]
        self.whole_answer = b'%s\r\n%s' % (head, body)
        stops = {
            'inside a head line': len(head) - 7,
            'after a head line': len(head),
            'after the head': len(head) + 2,
            'inside the body': len(head) + 2 + _BODY_BYTES_BEFORE_CUT,
        }
        super().__init__(end, self.whole_answer[: stops[where]], b'')

    def _answer(self, connection):
        self.heads.append(connection.recv(65536))
        if len(self.heads) > 1:
            connection.sendall(self.whole_answer)
            return
        connection.sendall(self.broken)
        if self.end == 'resets':
            time.sleep(_BEFORE_RESET_SECONDS)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)


@given('an engine that stops {where} of an answer with {framing}, and {end:w}')
def given_cutting(context, where, framing, end):
    context.engine = _CuttingEngine(where, framing, end)
    context.add_cleanup(context.engine.listener.close)


@then('no answer is framed as whole unless it is')
def then_no_false_end(context):
    body = b''.join(message.get('body', b'') for message in context.messages)
    has_ended = any(
        message['type'] == 'http.response.body'
        and not message.get('more_body', False)
        for message in context.messages
    )
    assert not has_ended or body == _ANSWER, context.messages


@when('a caller asks for a stream at {path}')
@when('a caller asks for an answer at {path}')
def when_asked(context, path):
    context.messages = []
    context.error = None
    began_at = time.monotonic()
    anyio.run(_serve, context, path)
    context.took = time.monotonic() - began_at


async def _serve(context, path):
    async def send(message):
        context.messages.append(message)

    scope = {
        'method': 'GET',
        'path': f'{path}1',
        'query_string': b'',
        'headers': [(b'host', b'desk.example'), (b'x-attempt-id', b'id')],
    }
    record = target_record('e1', address=context.engine.address)
    context.selector = TargetSelector('z')
    context.origins = lone_origins()
    # No process ran before, so that streams may be taken up.
    context.origins.inherit(('', {}))
    async with httpx.AsyncClient(transport=CheckedTransport()) as client:
        relay = RouteRelay(
            client=client,
            dialect=PLATFORM_DIALECT,
            fleet=FleetView(),
            target_selector=context.selector,
            finder=_Finder(
                record, getattr(context, 'reached_sends', _MAX_SENDS)
            ),
            poison=PoisonWatch(
                getattr(context, 'registry', TargetRegistry()), time.monotonic
            ),
            origins=context.origins,
            passing=_Passing(),
            apply_retry_limit=lambda _budget: None,
            table=lambda: TABLE,
            demand_changed=lambda: None,
            clock=time.monotonic,
            answers=getattr(context, 'answers', AnswerMemory()),
        )
        request = routed_request(
            f'{path}1',
            'llm',
            time.monotonic() - getattr(context, 'waited', 0),
            5,
            exchange=exchange_from_scope(scope, None, send),
            metadata=RequestMetadata(
                'id',
                '',
                None,
                model=getattr(context, 'model', ''),
                resume_after=getattr(context, 'resume_after', ''),
            ),
        )
        try:
            await relay.serve(request)
        except ServingError as error:
            context.error = error


@given('the request names the model a and came {waited:g} seconds ago')
def given_model(context, waited):
    context.model = 'a'
    context.waited = waited


@then('{late:d} request of a is late and {paused:d} has paused')
def then_outcomes(context, late, paused):
    expected = (OutcomeCount('a', late, paused),) if late + paused else ()
    counts = context.selector.outcomes.counts()
    assert counts == expected, counts


@then('its response is {state:w} with the events {events}')
def then_response(context, state, events):
    body = b''.join(message.get('body', b'') for message in context.messages)
    ids = [line[4:] for line in body.split(b'\n') if line.startswith(b'id:')]
    assert b' '.join(ids).decode() == events.replace('none', ''), body
    ended = any(
        message['type'] == 'http.response.body'
        and not message.get('more_body', False)
        for message in context.messages
    )
    assert ended == (state == 'complete'), (context.messages, context.error)


@then('the outcome is the whole answer')
def then_whole_answer(context):
    body = b''.join(message.get('body', b'') for message in context.messages)
    assert (context.error, body) == (None, _ANSWER), context.messages


@then('the outcome is {kind:w}')
def then_error(context, kind):
    assert context.error.kind.value == kind, context.error
    assert not context.messages, context.messages


@then('the engine got {count:d} requests')
def then_requests(context, count):
    assert len(context.engine.heads) == count, context.engine.heads


class _SlowEngine(_Engine):
    """Engine that sends parts of a stream with pauses between them.

    :param parts: sent after the first event; the last one again and again.
    """

    def __init__(self, parts, pause, *, ends):
        self.parts = parts
        self.pause = pause
        self.ends = ends
        super().__init__('', b'', b'')

    def _answer(self, connection):
        connection.recv(65536)
        connection.sendall(_HEAD + _FIRST)
        for part in self.parts:
            time.sleep(self.pause)
            connection.sendall(part)
        while not self.ends:
            time.sleep(self.pause)
            try:
                connection.sendall(self.parts[-1])
            except OSError:
                return


@given('an engine that sends one of 4 events every {pause:g} seconds')
def given_slow(context, pause):
    parts = [b'id: %d\ndata: more\n\n' % number for number in (2, 3, 4)]
    context.engine = _SlowEngine(parts, pause, ends=True)
    context.add_cleanup(context.engine.listener.close)


@given('an engine that sends a byte without an end every {pause:g} seconds')
def given_dripping(context, pause):
    context.engine = _SlowEngine([b'x'], pause, ends=False)
    context.add_cleanup(context.engine.listener.close)


@given('an engine that sends comments without end every {pause:g} seconds')
def given_commenting(context, pause):
    context.engine = _SlowEngine([b': still here\n\n'], pause, ends=False)
    context.add_cleanup(context.engine.listener.close)


@then('it has ended within {seconds:g} seconds')
def then_ended(context, seconds):
    assert context.took <= seconds, context.took
