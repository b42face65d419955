"""Steps for the forwarding of requests to targets."""

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


@given('services with the behaviours: {script}')
def given_services(context, script):
    _start(context, 's', script)


@given('services of which the first is unreachable')
def given_first_unreachable(context):
    _start(context, 's', 'answer')
    context.targets[0].close()


@given('engines with the behaviours: {script}')
def given_engines(context, script):
    _start(context, 'e', script)


@given('one engine with the behaviours: {script}')
def given_engine(context, script):
    _start(context, 'e', script, count=1)


@given('a store with the faults: {faults}')
def given_store_faults(context, faults):
    context.store.faults = faults.split()


def _received(context):
    return [record for target in context.targets for record in target.received]


def _outcome(answer):
    # Errors of the server itself have no status above 504.
    if answer.status_code == 200 or answer.status_code > 504:
        return str(answer.status_code)
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


@then('the error agrees with the requests that the services received')
def then_error_agrees(context):
    if 'not run' not in context.answer.text:
        return
    refused = '"busy"' in context.answer.text or 'busy' in context.answer.text
    assert refused or not _received(context), _received(context)


@then('the services received the order at most once')
def then_at_most_once(context):
    bodies = [record for record in _received(context) if b'POST' in record]
    accepted = [record for record in bodies if not _was_refused(context)]
    assert len(accepted) <= 1, bodies


def _was_refused(context):
    return getattr(context, 'first_is_refused', False)


@when('{count:d} orders are sent')
def when_orders(context, count):
    with context.server.client() as client:
        context.answers = [client.post(ORDER) for _ in range(count)]


@then('each order is received and answered once')
def then_each_answered_once(context):
    assert {answer.status_code for answer in context.answers} == {200}
    assert len(_received(context)) == len(context.answers)


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
        for record in _received(context)
        for found in re.findall(rb'x-request-id: (\w+)', record)
    ]


@when('{count:d} completions are requested over pooled connections')
def when_completions(context, count):
    with context.server.client() as client:
        context.answers = [
            client.post('/v1/chat/completions', json=CHAT) for _ in range(count)
        ]


@then('each completion is the answer to its own request')
def then_own_answers(context):
    statuses = {answer.status_code for answer in context.answers}
    assert statuses == {200}, [answer.text for answer in context.answers]
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
                context.end = 'the end marker'
            elif line.startswith('data: '):
                _record_event(context, json.loads(line[6:]))
    context.seconds = time.monotonic() - context.started_at


def _record_event(context, event):
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


@then('the caller receives "{words}" and the stream ends with {end}')
def then_stream(context, words, end):
    assert (context.words, context.end) == (words.split(), end), (
        context.words,
        context.end,
    )


@then('the caller receives "" and the stream ends with {end}')
def then_stream_empty(context, end):
    then_stream(context, '', end)


@then('the stream ended before its deadline')
def then_before_deadline(context):
    # Half a second of tolerance for a busy machine; without a timeout the
    # target would stay silent for a minute.
    assert context.seconds < context.deadline + 0.5, context.seconds


def _send_raw(context, path, headers, body=''):
    lines = headers.replace('ENC', ENCODED_KEY).replace('KEY', KEY).split(' | ')
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


@when('a request with the headers "{headers}" is sent to "{path}"')
def when_raw(context, headers, path):
    _send_raw(context, path, headers)


@when('the body "{body}" is sent to "{path}"')
def when_raw_body(context, path, body):
    _send_raw(context, path, 'X-Api-Key: KEY', body)


@then('the services received a request without the key')
def then_no_key(context):
    assert ' 200 ' in context.raw_answer, context.raw_answer
    (record,) = _received(context)
    text = record.decode().upper()
    assert KEY.upper() not in text, record
    assert ENCODED_KEY.upper() not in text, record


@then('it is refused as {kind} and the services received nothing')
def then_refused(context, kind):
    assert f'"kind":"{kind}"' in context.raw_answer, context.raw_answer
    assert KEY not in context.raw_answer
    assert not _received(context)


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


@then('each service received the request once')
def then_each_once(context):
    assert [len(target.received) for target in context.targets] == [1, 1]


@then('the targets received no cookie')
def then_no_cookie(context):
    assert _received(context)
    assert not any(b'cookie' in record.lower() for record in _received(context))


def _send_keyed(context):
    headers = {'idempotency-key': 'k1', 'x-request-deadline-ms': '3000'}
    with context.server.client() as client:
        return client.post(ORDER, content=b'one', headers=headers)


def _keyed_outcome(answer):
    if 'idempotency-replayed' in answer.headers:
        return f'{answer.status_code} replayed'
    return _outcome(answer).partition(',')[0]


@when('a keyed order is sent and repeated')
def when_keyed(context):
    script = context.targets[0].script
    context.first_is_refused = script[0] == 'refuse'
    if script[0] == 'slow':
        _disconnect_early(context)
        time.sleep(1)
        context.outcomes = ['disconnected']
    else:
        context.outcomes = [_keyed_outcome(_send_keyed(context))]
    context.outcomes.append(_keyed_outcome(_send_keyed(context)))


@when(
    'a keyed order is sent, and repeated after its record got the status '
    '{status:d}'
)
def when_recorded(context, status):
    context.outcomes = [_keyed_outcome(_send_keyed(context))]
    (stored,) = context.store.objects_by_key.values()
    stored.body['status'] = status
    context.outcomes.append(_keyed_outcome(_send_keyed(context)))


def _disconnect_early(context):
    headers = {'idempotency-key': 'k1'}
    try:
        with context.server.client() as client:
            client.post(ORDER, content=b'one', headers=headers, timeout=0.2)
    except httpx.ReadTimeout:
        return
    raise AssertionError('the answer arrived before the client timeout')


@then('the two answers are "{answers}"')
def then_two_answers(context, answers):
    assert '; '.join(context.outcomes) == answers, context.outcomes
