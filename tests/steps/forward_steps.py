"""Steps for requests on their way to targets and back."""

import json
import re
import socket
import threading
import time

import httpx
from behave import given, then, when

from tests.support.object_store import InMemoryStore
from tests.support.raw_target import RawTarget
from tests.support.request_path_server import CHAT, KEY, RequestPathServer

ENCODED_KEY = ''.join(f'%{ord(letter):02X}' for letter in KEY)
ORDER = '/services/orders/new'


def _start(context, kind, script, count=2):
    behaviours = script.split('; ')
    deployments = ('m',) if kind == 'e' else ()
    context.targets = [
        RawTarget(f'{kind}{number}', behaviours, deployments)
        for number in range(1, count + 1)
    ]
    for target in context.targets:
        context.add_cleanup(target.close)
        if script == 'unreachable':
            target.close()
    urls = {target.target_id: target.url for target in context.targets}
    context.store = InMemoryStore()
    context.server = RequestPathServer(urls, context.store)
    context.add_cleanup(context.server.close)


@given('services that do in turn: {script}')
def given_services(context, script):
    _start(context, 's', script)


@given('services of which the first is unreachable')
def given_first_unreachable(context):
    _start(context, 's', 'answer')
    context.targets[0].close()


@given('engines that do in turn: {script}')
def given_engines(context, script):
    _start(context, 'e', script)


@given('one engine that does in turn: {script}')
def given_engine(context, script):
    _start(context, 'e', script, count=1)


@given('a store that fails in turn: {faults}')
def given_faults(context, faults):
    context.store.faults = faults.split()


def _seen(context):
    return [record for target in context.targets for record in target.seen]


def _outcome(answer):
    if answer.status_code == 200:
        return '200'
    error = answer.json()['error']
    return f'{error["kind"]}, {error["ran"]}'


@when('an order is sent')
def when_order(context):
    with context.server.client() as client:
        context.answer = client.post(
            ORDER, content=b'one', headers={'x-request-deadline-ms': '1000'}
        )


@then('the order ends with {outcome}')
def then_order(context, outcome):
    assert _outcome(context.answer) == outcome, context.answer.text


@then('the error is true by what the services saw')
def then_true(context):
    if 'not run' not in context.answer.text:
        return
    refused = '"busy"' in context.answer.text or 'busy' in context.answer.text
    assert refused or not _seen(context), _seen(context)


@then('the services saw the order at most once')
def then_once(context):
    bodies = [record for record in _seen(context) if b'POST' in record]
    accepted = [record for record in bodies if not _was_refused(context)]
    assert len(accepted) <= 1, bodies


def _was_refused(context):
    return getattr(context, 'refused_first', False)


@when('{count:d} orders are sent')
def when_orders(context, count):
    with context.server.client() as client:
        context.answers = [client.post(ORDER) for _ in range(count)]


@then('each order is answered once')
def then_each(context):
    assert {answer.status_code for answer in context.answers} == {200}
    assert len(_seen(context)) == len(context.answers)


@when('a completion is requested')
def when_completion(context):
    with context.server.client() as client:
        context.answer = client.post('/v1/chat/completions', json=CHAT)


@then('the completion ends with {outcome}')
def then_completion(context, outcome):
    assert _outcome(context.answer) == outcome, context.answer.text
    if outcome == '200':
        assert context.answer.json()['id'] in _request_ids(context)


def _request_ids(context):
    return [
        found.decode()
        for record in _seen(context)
        for found in re.findall(rb'x-request-id: (\w+)', record)
    ]


@when('{count:d} completions are requested on kept connections')
def when_completions(context, count):
    with context.server.client() as client:
        context.answers = [
            client.post('/v1/chat/completions', json=CHAT) for _ in range(count)
        ]


@then('each completion is the answer to its own request')
def then_own(context):
    codes = {answer.status_code for answer in context.answers}
    assert codes == {200}, [answer.text for answer in context.answers]
    ids = [answer.json()['id'] for answer in context.answers]
    assert len(set(ids)) == len(ids)


def _read_stream(context, **headers):
    context.started_at = time.monotonic()
    context.words, context.end = [], 'nothing'
    with (
        context.server.client() as client,
        client.stream(
            'POST',
            '/v1/chat/completions',
            json={**CHAT, 'stream': True},
            headers=headers,
        ) as answer,
    ):
        if answer.status_code != 200:
            answer.read()
            context.end = answer.json()['error']['kind']
        for line in answer.iter_lines():
            if line == 'data: [DONE]':
                context.end = 'the marker'
            elif line.startswith('data: '):
                _take_event(context, json.loads(line[6:]))
    context.seconds = time.monotonic() - context.started_at


def _take_event(context, event):
    if 'error' in event:
        context.end = event['error']['kind']
        assert event['error']['ran'] == 'may have run'
        return
    assert context.end == 'nothing', 'an event after the end'
    context.words.append(event['choices'][0]['delta']['content'].strip())


@when('a stream is requested')
def when_stream(context):
    _read_stream(context)


@when('a stream is requested with a deadline of {seconds:d} seconds')
def when_stream_deadline(context, seconds):
    context.deadline = seconds
    _read_stream(context, **{'x-request-deadline-ms': str(seconds * 1000)})


@when('a stream is requested and the key is withdrawn after a second')
def when_withdrawn(context):
    threading.Timer(1, context.server.withdraw_keys).start()
    _read_stream(context)


@when('two streams are requested one after the other')
def when_two_streams(context):
    _read_stream(context)
    assert context.words == ['w0']
    _read_stream(context, **{'x-request-deadline-ms': '4000'})


@then('the caller sees "{words}" and the stream ends with {end}')
def then_stream(context, words, end):
    assert (context.words, context.end) == (words.split(), end), (
        context.words,
        context.end,
    )


@then('the caller sees "" and the stream ends with {end}')
def then_stream_empty(context, end):
    then_stream(context, '', end)


@then('it ended before its deadline')
def then_before_deadline(context):
    # Half a second of slack for a busy machine; without the bound the
    # target would be silent for a minute.
    assert context.seconds < context.deadline + 0.5, context.seconds


def _send_raw(context, path, head, body=''):
    lines = head.replace('ENC', ENCODED_KEY).replace('KEY', KEY).split(' | ')
    path = path.replace('ENC', ENCODED_KEY).replace('KEY', KEY)
    body = body.replace('KEY', KEY)
    message = '\r\n'.join(
        [
            f'POST {path} HTTP/1.1',
            'Host: h',
            f'Content-Length: {len(body)}',
            *lines,
            '',
            body,
        ]
    )
    with socket.create_connection(context.server.address, 10) as connection:
        connection.sendall(message.encode())
        context.raw_answer = ''
        while not context.raw_answer.endswith('}'):
            context.raw_answer += connection.recv(65536).decode()


@when('this is sent to "{path}": "{head}"')
def when_raw(context, path, head):
    _send_raw(context, path, head)


@when('the body "{body}" is sent to "{path}"')
def when_raw_body(context, path, body):
    _send_raw(context, path, 'X-Api-Key: KEY', body)


@then('the services saw a request without the key')
def then_no_key(context):
    assert ' 200 ' in context.raw_answer, context.raw_answer
    (record,) = _seen(context)
    text = record.decode().upper()
    assert KEY.upper() not in text, record
    assert ENCODED_KEY.upper() not in text, record


@then('it is refused as {kind} and the services saw nothing')
def then_refused(context, kind):
    assert f'"kind":"{kind}"' in context.raw_answer, context.raw_answer
    assert KEY not in context.raw_answer
    assert not _seen(context)


@when('{count:d} callers read from the service')
def when_callers(context, count):
    context.answers = []
    for _ in range(count):
        with context.server.client() as client:
            context.answers.append(client.get(ORDER))


@when('{count:d} callers request a completion')
def when_chat_callers(context, count):
    context.answers = []
    for _ in range(count):
        with context.server.client() as client:
            answer = client.post('/v1/chat/completions', json=CHAT)
        context.answers.append(answer)


@then('both reads are refused as {kind}')
def then_both_refused(context, kind):
    kinds = [answer.json()['error']['kind'] for answer in context.answers]
    assert kinds == [kind, kind], kinds


@then('each service saw the request once')
def then_each_once(context):
    assert [len(target.seen) for target in context.targets] == [1, 1]


@then('the targets saw no cookie')
def then_no_cookie(context):
    assert _seen(context)
    assert not any(b'cookie' in record.lower() for record in _seen(context))


def _send_keyed(context):
    headers = {'idempotency-key': 'k1', 'x-request-deadline-ms': '3000'}
    with context.server.client() as client:
        return client.post(ORDER, content=b'one', headers=headers)


def _describe(answer):
    if 'idempotency-replayed' in answer.headers:
        return f'{answer.status_code} replayed'
    return _outcome(answer).partition(',')[0]


@when('a keyed order is sent and repeated')
def when_keyed(context):
    script = context.targets[0].script
    context.refused_first = script[0] == 'refuse'
    if script[0] == 'slow':
        _leave_early(context)
        time.sleep(1)
        context.described = ['left']
    else:
        context.described = [_describe(_send_keyed(context))]
    context.described.append(_describe(_send_keyed(context)))


def _leave_early(context):
    headers = {'idempotency-key': 'k1'}
    try:
        with context.server.client() as client:
            client.post(ORDER, content=b'one', headers=headers, timeout=0.2)
    except httpx.ReadTimeout:
        return
    raise AssertionError('the answer came too early')


@then('the two answers are "{answers}"')
def then_two(context, answers):
    assert '; '.join(context.described) == answers, context.described
