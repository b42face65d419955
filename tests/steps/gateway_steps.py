"""Steps for gateway processes against stand-ins of the platform."""

import contextlib
import itertools
import json
import signal
import socket
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from cowsliprack.coordination.freshness import REWRITE_SECONDS
from cowsliprack.platform.wire import (
    EngineReport,
    HeldModel,
    decode_reported_models,
)
from tests.support.gateway_cluster import (
    KEY,
    RESTART_SECONDS,
    GatewayCluster,
    read_response,
    request,
    send,
)
from tests.support.gateway_streams import (
    begin_stream,
    read_event,
    take_up,
    versions_run,
)

_ids = itertools.count(1)


@given('two gateways on the platform')
def given_gateways(context):
    context.cluster = GatewayCluster()
    context.add_cleanup(context.cluster.close)
    for name in ('g1', 'g2'):
        context.cluster.launch(name)
    for name in ('g1', 'g2'):
        context.cluster.wait_ready(name)
    # The leader has surveyed the engines once it reports their state.
    _wait_until(
        lambda: (
            context.cluster.log('g1').count('"survey"')
            + context.cluster.log('g2').count('"survey"')
            >= 2
        ),
        8,
    )


def _wait_until(condition, seconds):
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, 'condition not met in time'
        time.sleep(0.03)


def _headers(key=KEY, model='', **more):
    request_id = f'attempt-{next(_ids)}'
    headers = {'X-Attempt-Id': request_id, 'X-Deadline-Ms': '7000'}
    if key:
        headers['X-Key'] = key
    if model:
        headers['X-Model'] = model
        headers['X-Token-Count'] = '20,30'
        headers['X-Prompt-Prefix'] = 'ab:10,cd:10'
    headers.update(more)
    return request_id, headers


def _request(context, gateway, method, path, headers, body=b''):
    port = context.cluster.ports[gateway]['front']
    return request(port, method, path, headers.items(), body)


def _stream(context, gateway, model, path):
    request_id, headers = _headers(model=model)
    context.request_id = request_id
    return _request(context, gateway, 'POST', f'{path}x', headers, b'{}')


@when('a caller asks {gateway} for a stream of {model} at {path}')
def when_stream(context, gateway, model, path):
    try:
        context.response = _stream(context, gateway, model, path)
    except ConnectionError as error:
        context.response = error


@when(
    'callers ask g1 and g2 for a stream of {model} at {path} {count:d} '
    'times at once'
)
def when_many(context, model, path, count):
    with ThreadPoolExecutor(count) as callers:
        context.responses = list(
            callers.map(
                lambda number: _stream(
                    context, f'g{number % 2 + 1}', model, path
                ),
                range(count),
            )
        )


def _check_events(response, count):
    assert not isinstance(response, ConnectionError), response
    status, headers, body = response
    assert status == 200, response
    ids = [
        int(line[3:]) for line in body.split(b'\n') if line.startswith(b'id:')
    ]
    assert ids == list(range(1, count + 1)), ids
    assert headers['x-server-seal'].startswith('seal-'), headers


@then('the response is 200 with {count:d} events in order')
def then_events(context, count):
    _check_events(context.response, count)


@then('every response is 200 with {count:d} events in order')
def then_all_events(context, count):
    for response in context.responses:
        _check_events(response, count)


@then('no engine held more models than fit into it')
def then_capacity(context):
    for name in ('e1', 'e2'):
        engine = context.cluster.engines[name]
        assert engine.max_models_held <= engine.max_models, (
            name,
            engine.orders,
        )


@then('{model} was loaded once')
def then_loaded_once(context, model):
    holding = [
        name
        for name in ('e1', 'e2')
        if model in context.cluster.engines[name].models
    ]
    assert len(holding) == 1, holding


_REQUESTS = {
    'an order': ('POST', '/order/1', {}, b'pay'),
    'a lookup': ('GET', '/stock/1', {}, b''),
    'an order with an unknown key': ('POST', '/order/1', {'key': 'no'}, b'pay'),
    'an order without a key': ('POST', '/order/1', {'key': ''}, b'pay'),
    'a request to /nowhere/': ('GET', '/nowhere/1', {}, b''),
    'an order without an id': ('POST', '/order/1', {'X-Attempt-Id': ''}, b'p'),
    'an order of 200000 bytes': ('POST', '/order/1', {}, b'x' * 200000),
}


@when('a caller sends {kind} to {gateway:w}')
def when_sends(context, kind, gateway):
    method, path, changes, body = _REQUESTS[kind]
    context.request_id, headers = _headers(**changes)
    context.response = _request(context, gateway, method, path, headers, body)


@when('a caller sends an order to g1 and claims to be another organisation')
def when_claims(context):
    context.request_id, headers = _headers(**{'X-Tenant': 'other'})
    context.response = _request(
        context, 'g1', 'POST', '/order/1', headers, b'pay'
    )


@then('the response is {status:d}')
def then_status(context, status):
    assert context.response[0] == status, context.response


@then('the response ends early')
def then_early(context):
    assert isinstance(context.response, ConnectionError), context.response


def _runs(context):
    return [
        name
        for name, engine in context.cluster.engines.items()
        for run in engine.executed_ids
        if run == context.request_id
    ]


@then('no target ran it')
def then_no_run(context):
    assert not _runs(context), _runs(context)


@then('it was run once')
def then_one_run(context):
    assert len(_runs(context)) == 1, _runs(context)


@then('it was run at 2 targets')
def then_two_runs(context):
    assert sorted(_runs(context)) == ['s1', 's2'], _runs(context)


@then('the service saw the organisation "{name}" and no key')
def then_organisation(context, name):
    seen = [
        headers
        for engine in context.cluster.engines.values()
        for headers in engine.received_headers
    ]
    assert [headers.get('x-tenant') for headers in seen] == [name], seen
    assert KEY not in json.dumps(seen)


@given('the next stream of an engine breaks after {count:d} events')
def given_break(context, count):
    # Both engines hold m0; one of the two gets the request.
    shared = [count]
    for name in ('e1', 'e2'):
        context.cluster.engines[name].faults.stream_cuts = shared


@given('{name:w} runs another software version')
def given_version(context, name):
    def register():
        engine.software_version = 'v2'
        engine.register()

    engine = context.cluster.engines[name]
    context.cluster.call(register)
    # Until both gateways have read the list of targets.
    for gateway in ('g1', 'g2'):
        _wait_until(lambda: _knows_version(context, gateway, name), 5)  # noqa: B023


def _knows_version(context, gateway, name):
    for line in context.cluster.log(gateway).splitlines():
        entry = json.loads(line) if line.startswith('{') else {}
        if f'{name} ready v2' in entry.get('changed', ()):
            return True
    return False


@then('it was run at {count:d} software version')
def then_versions(context, count):
    versions = versions_run(context.cluster, context.request_id)
    assert len(versions) == count, versions


@when(
    'g1 is killed during {count:d} streams of {model:w} and their callers go '
    'on at g2'
)
def when_taken_up(context, count, model):
    cluster = context.cluster
    _wait_until(lambda: '"peers":["g1","g2"]' in cluster.log('g1'), 5)
    for name in ('e1', 'e2'):
        cluster.engines[name].event_seconds = 0.1
    with contextlib.ExitStack() as stack:
        streams = [
            begin_stream(cluster, stack, 'g1', model) for _ in range(count)
        ]
        begun = [(attempt, read_event(stream)) for attempt, stream in streams]
        cluster.kill('g1')
    context.taken_up = [
        (
            begun_attempt,
            last_event,
            *take_up(cluster, 'g2', model, begun_attempt, last_event),
        )
        for begun_attempt, last_event in begun
    ]


@given('the next response of each service has another id')
def given_wrong_id(context):
    for name in ('s1', 's2'):
        context.cluster.engines[name].faults.wrong_request_ids = 1


@given('the next response of each service has the status {status:d}')
def given_status(context, status):
    for name in ('s1', 's2'):
        context.cluster.engines[name].faults.statuses.append(status)


@given('the next request of each service is refused without running it')
def given_refused(context):
    context.cluster.engines['s1'].faults.refused_requests = 1


@given('every request of each service is refused without running it')
def given_all_refused(context):
    for name in ('s1', 's2'):
        context.cluster.engines[name].faults.refused_requests = 1000


@given('the next {count:d} responses of each service are server errors')
def given_failures(context, count):
    for name in ('s1', 's2'):
        context.cluster.engines[name].faults.failed_responses = count


@given('the next response of one service is a server error')
def given_one_failure(context):
    context.cluster.engines['s1'].faults.failed_responses = 1


@when('g1 gets {count:d} lookups')
def when_lookups(context, count):
    context.responses = []
    for _ in range(count):
        when_sends(context, 'a lookup', 'g1')
        context.responses.append(context.response)


@then('each response is {status:d}')
def then_each(context, status):
    assert {response[0] for response in context.responses} == {status}


@then('the response has the seal header of a target')
def then_sealed(context):
    assert context.response[1]['x-server-seal'].startswith('seal-')


@then('the response says when to retry')
def then_retry_after(context):
    assert float(context.response[1]['retry-after']) > 0, context.response


@when('{seconds:d} seconds pass without a change')
def when_quiet(context, seconds):
    before = sum(context.cluster.platform.calls.values())
    time.sleep(seconds)
    after = sum(context.cluster.platform.calls.values())
    context.calls_per_second = (after - before) / seconds


@then('the store was asked at most {count:d} times a second in all')
def then_few_calls(context, count):
    assert context.calls_per_second <= count, context.calls_per_second


@given('a caller with an open connection to g1')
def given_connection(context):
    port = context.cluster.ports['g1']['front']
    context.connection = socket.create_connection(('127.0.0.1', port), 10)
    context.add_cleanup(context.connection.close)
    assert _send_on_connection(context) == 200


def _send_on_connection(context):
    _, headers = _headers()
    send(context.connection, 'GET', '/stock/1', headers.items())
    return read_response(context.connection)[0]


@when('the key is revoked')
def when_revoked(context):
    context.cluster.configure(version=9, keys=('another-key',))


@when('the store stops responding')
def when_store_stops(context):
    context.cluster.platform.faults.silent = True


@then('the connection gets {status:d} within {seconds:d} seconds')
def then_connection(context, status, seconds):
    _wait_until(lambda: _send_on_connection(context) == status, seconds)


@then('a route open to all is still served by g1')
def then_open(context):
    _, headers = _headers(key='')
    response = _request(context, 'g1', 'GET', '/open/1', headers)
    assert response[0] == 200, response


@when("the operator moves a route and then the store's history is compacted")
def when_moved(context):
    cluster = context.cluster
    cluster.configure(version=12, prefix='/talk/')
    cluster.call(cluster.platform.compact)
    # An older version, from a stale writer, must be ignored.
    cluster.configure(version=3)


def _status(context, gateway, path):
    _, headers = _headers(model='m0')
    return _request(context, gateway, 'POST', path, headers, b'{}')[0]


@then('the new route is served by both gateways within {seconds:d} seconds')
def then_new_route(context, seconds):
    for gateway in ('g1', 'g2'):
        _wait_until(
            lambda gateway=gateway: _status(context, gateway, '/talk/x') == 200,
            seconds,
        )


@then('the old route is not served any more')
def then_old_route(context):
    for gateway in ('g1', 'g2'):
        assert _status(context, gateway, '/chat/x') == 404


@given('malformed and foreign entries among the targets')
def given_foreign(context):
    cluster = context.cluster
    good = {'service': 'shop', 'addr': '127.0.0.1:1', 'zone': 'z'}
    for number, spec in enumerate(
        (
            'text',
            7,
            {'service': 'shop'},
            {**good, 'state': 'sleeping'},
            {**good, 'state': 'ready', 'addr': 'nowhere'},
            {**good, 'state': 'ready', 'slots': 'many'},
            {**good, 'state': 3},
        )
    ):
        cluster.call(cluster.platform.put, 'servers', f'x{number}', spec)
    time.sleep(0.2)


@when('service s1 reports that it is draining')
def when_draining(context):
    engine = context.cluster.engines['s1']
    engine.state = 'draining'
    context.cluster.call(engine.register)
    time.sleep(0.5)


@given(
    'engines without copies on disk that take {seconds:g} seconds for a load'
)
def given_slow_loads(context, seconds):
    for name in ('e1', 'e2'):
        engine = context.cluster.engines[name]
        engine.load_seconds = seconds
        engine.on_disk = set(engine.models)
        context.cluster.call(engine.register)
    time.sleep(0.3)


@when(
    'a caller asks g1 for a stream of {model:w}, and both engines announce '
    'during its load that they leave'
)
def when_leaving_during_load(context, model):
    engines = [context.cluster.engines[name] for name in ('e1', 'e2')]
    with ThreadPoolExecutor(1) as caller:
        answer = caller.submit(_stream, context, 'g1', model, '/report/')
        _wait_until(
            lambda: any(
                order['op'] == 'load' and order['model'] == model
                for engine in engines
                for order in engine.orders
            ),
            5,
        )
        for engine in engines:
            engine.state = 'draining'
            context.cluster.call(engine.register)
        context.response = answer.result()


def _lookup(context, gateway):
    _, headers = _headers()
    return _request(context, gateway, 'GET', '/stock/1', headers)[0]


def _write_registrations(cluster):
    for engine in cluster.engines.values():
        cluster.call(engine.register)


@when('the store comes back from an older copy')
def when_store_returns(context):
    cluster = context.cluster
    copy = cluster.call(cluster.platform.copy)
    # Many revisions later, so that the returned store does not reach the
    # revision that the gateways have read.
    for _ in range(10):
        _write_registrations(cluster)
    time.sleep(0.6)
    cluster.platform.faults.outage = True
    time.sleep(0.5)
    cluster.call(cluster.platform.restore, copy)
    cluster.platform.faults.outage = False
    _write_registrations(cluster)
    _wait_until(
        lambda: any('store_regained' in cluster.log(g) for g in ('g1', 'g2')),
        5,
    )
    # Older proofs of the configuration expire until readings count again.
    time.sleep(REWRITE_SECONDS + 1)
    for gateway in ('g1', 'g2'):
        _wait_until(lambda gateway=gateway: _lookup(context, gateway) == 200, 6)


@when('the store comes back from a copy without the configuration in force')
def when_configuration_lost(context):
    cluster = context.cluster
    copy = cluster.call(cluster.platform.copy)
    cluster.configure(version=5)
    for gateway in ('g1', 'g2'):
        _wait_until(
            lambda gateway=gateway: '"generation":5' in cluster.log(gateway),
            3,
        )
    cluster.call(cluster.platform.restore, copy)


@when('the store comes back from a copy without the secret of the fleet')
def when_secret_lost(context):
    cluster = context.cluster
    cluster.kill('g2')
    copy = cluster.call(cluster.platform.copy)
    copy.objects_by_kind['cowsliprack-fleet'].clear()
    cluster.call(cluster.platform.restore, copy)


@when('g2 is restarted')
def when_restarted(context):
    context.cluster.start('g2')


@when('the operator writes the configuration in force again')
def when_written_again(context):
    context.cluster.configure(version=5)


@when('the entry of service s1 is deleted')
def when_deleted(context):
    cluster = context.cluster
    cluster.call(cluster.platform.put, 'servers', 's1', None)
    time.sleep(0.5)


@then('{count:d} lookups at both gateways run at s2 only')
def then_only(context, count):
    before = len(context.cluster.engines['s1'].executed_ids)
    for number in range(count):
        _, headers = _headers()
        response = _request(
            context, f'g{number % 2 + 1}', 'GET', '/stock/1', headers
        )
        assert response[0] == 200, response
    assert len(context.cluster.engines['s1'].executed_ids) == before


@given('a gateway leads')
def given_leader(context):
    cluster = context.cluster
    leading = [
        name for name in ('g1', 'g2') if 'term_begins' in cluster.log(name)
    ]
    assert len(leading) == 1, leading
    context.leader = leading[0]
    context.other = 'g2' if leading[0] == 'g1' else 'g1'


@when('the leading gateway is killed')
def when_leader_killed(context):
    context.cluster.kill(context.leader)


@then(
    'a stream of {model} at {path} through the other gateway is served within '
    '{seconds:d} seconds'
)
def then_other_serves(context, model, path, seconds):
    _wait_until(
        lambda: _stream(context, context.other, model, path)[0] == 200,
        seconds,
    )


@then(
    'a stream of {model} at {path} through g1 is served within '
    '{seconds:d} seconds'
)
def then_first_serves(context, model, path, seconds):
    _wait_until(
        lambda: _stream(context, 'g1', model, path)[0] == 200,
        seconds,
    )


@when('the leading gateway is suspended until the other one leads')
def when_suspended(context):
    cluster = context.cluster
    cluster.signal(context.leader, signal.SIGSTOP)
    _wait_until(lambda: 'term_begins' in cluster.log(context.other), 10)
    _stream(context, context.other, 'm3', '/report/')
    context.order_counts = {
        name: len(cluster.engines[name].orders) for name in ('e1', 'e2')
    }
    cluster.signal(context.leader, signal.SIGCONT)
    time.sleep(1)


@then('no engine has accepted an order of an old lease')
def then_no_outdated_order(context):
    for name, count in context.order_counts.items():
        engine = context.cluster.engines[name]
        late = engine.orders[count:]
        assert all(order['fence'] >= engine.highest_fence for order in late), (
            late
        )


@given(
    'the next {count:d} orders of each engine are executed {seconds:g} '
    'seconds late'
)
def given_late_orders(context, count, seconds):
    for name in ('e1', 'e2'):
        faults = context.cluster.engines[name].faults
        faults.order_delays = [seconds] * count


@given('the next {count:d} orders of each engine get no response')
def given_lost_responses(context, count):
    for name in ('e1', 'e2'):
        context.cluster.engines[name].faults.lost_order_responses = count


@given('a service s3 whose host drops every packet')
def given_unreachable(context):
    # The kernel drops SYN packets to a socket whose accept queue is full.
    listener = socket.create_server(('127.0.0.1', 0), backlog=0)
    context.add_cleanup(listener.close)
    address = listener.getsockname()
    for _ in range(4):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(address)
        context.add_cleanup(filler.close)
    entry = {
        'service': 'shop',
        'addr': f'127.0.0.1:{address[1]}',
        'zone': 'zone-a',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'cold_left_ms': 0,
        'born': 1,
        'seq': 0,
    }
    context.cluster.call(context.cluster.platform.put, 'servers', 's3', entry)
    _wait_until(lambda: 's3 ready' in context.cluster.log('g1'), 5)


@given('service {name} refuses {count:d} requests without running them')
def given_refusing(context, name, count):
    context.cluster.engines[name].faults.refused_requests = count


_METHOD_AND_PATH_BY_KIND = {
    'lookups': ('GET', '/stock/x'),
    'orders': ('POST', '/order/x'),
}


@when('a caller sends {count:d} {kind} to g1 at once')
def when_sent_at_once(context, count, kind):
    _send_many(context, count, kind, count)


@when('a caller sends {count:d} {kind} to g1 one after the other')
def when_sent_in_turn(context, count, kind):
    _send_many(context, count, kind, 1)


def _send_many(context, count, kind, at_once):
    def send_one(_):
        _, headers = _headers()
        began_at = time.monotonic()
        response = _request(
            context, 'g1', *_METHOD_AND_PATH_BY_KIND[kind], headers
        )
        return response, time.monotonic() - began_at

    with ThreadPoolExecutor(at_once) as callers:
        context.timed_responses = list(callers.map(send_one, range(count)))


@then('all get 200 within {seconds:g} seconds')
def then_all_soon(context, seconds):
    for response, taken in context.timed_responses:
        assert response[0] == 200, response
        assert taken < seconds, taken


@given('engines that take {seconds:g} seconds for an event')
def given_slow_events(context, seconds):
    for name in ('e1', 'e2'):
        context.cluster.engines[name].event_seconds = seconds


@when('g1 gets SIGTERM and then {second:w} while it streams {count:d} events')
def when_stop_and_signal(context, second, count):
    _stop_during_stream(context, count, signal.Signals[second])


@when('g1 gets SIGTERM while it streams {count:d} events')
def when_stop(context, count):
    _stop_during_stream(context, count)


def _stop_during_stream(context, count, second=None):
    cluster = context.cluster
    for name in ('e1', 'e2'):
        cluster.engines[name].events = count
    context.event_count = count
    with ThreadPoolExecutor(1) as callers:
        streaming = callers.submit(_stream, context, 'g1', 'm0', '/report/')
        time.sleep(0.2)
        cluster.signal('g1', signal.SIGTERM)
        time.sleep(0.2)
        context.ready = cluster.is_ready('g1')
        if second is not None:
            cluster.signal('g1', second)
        try:
            context.response = streaming.result()
        except ConnectionError as error:
            context.response = error


@then('g1 reports at once that it is not ready')
def then_not_ready(context):
    assert not context.ready


@then('the stream completes')
def then_completes(context):
    _check_events(context.response, context.event_count)


@then('g1 exits within {seconds:d} seconds')
def then_exits(context, seconds):
    assert context.cluster.processes['g1'].wait(seconds) == 0


@when('g1 gets SIGTERM and the caller waits for {seconds:d} seconds')
def when_stop_idle(context, seconds):
    context.cluster.signal('g1', signal.SIGTERM)
    time.sleep(seconds)


@then('the connection has been closed without a request on it')
def then_closed(context):
    context.connection.settimeout(1)
    assert context.connection.recv(10) == b''


def _send_while_stopping(context, send_request):
    with ThreadPoolExecutor(1) as callers:
        sending = callers.submit(send_request)
        time.sleep(0.3)
        context.cluster.signal('g1', signal.SIGTERM)
        began_at = time.monotonic()
        context.response = sending.result()
    context.seconds = time.monotonic() - began_at


@when('g1 gets SIGTERM while a caller waits for a stream of {model}')
def when_stop_waiting(context, model):
    _send_while_stopping(
        context, lambda: _stream(context, 'g1', model, '/report/')
    )


@given('services s1 and s2 run requests without responding')
def given_silent(context):
    for name in ('s1', 's2'):
        context.cluster.engines[name].faults.unanswered_requests = 1


@when('g1 gets SIGTERM while a caller waits for an order')
def when_stop_order(context):
    _, headers = _headers()
    _send_while_stopping(
        context,
        lambda: _request(context, 'g1', 'POST', '/order/x', headers, b'{}'),
    )


@then('the caller is rejected within {seconds:g} seconds with {kind}')
def then_refused_kind(context, seconds, kind):
    status, _, body = context.response
    assert status == 503, context.response
    assert json.loads(body)['error']['kind'] == kind, body
    assert context.seconds < seconds, context.seconds


@then('it is told to retry within a second')
def then_retry_soon(context):
    _, headers, _ = context.response
    assert 0 < float(headers['retry-after']) <= 1, headers


@then('the caller gets a {status:d} that names {kind}')
def then_named(context, status, kind):
    assert context.response[0] == status, context.response
    assert json.loads(context.response[2])['error']['kind'] == kind


@given('an engine whose report lists an adapter as pending')
def given_pending(context):
    context.report = EngineReport(
        seq=3,
        models=[HeldModel(name='m0', adapters=['a1'])],
        pending=['m0/a2@1', 'gone/a1@1', 'nonsense'],
    )


@then('the survey of the engine includes it')
def then_counted(context):
    holdings = decode_reported_models(context.report)
    assert holdings['m0'].adapters == {'a1', 'a2'}, holdings
    assert set(holdings) == {'m0'}


@when('both gateways are killed and started again')
def when_all_killed(context):
    for name in ('g1', 'g2'):
        context.cluster.kill(name)
    for name in ('g1', 'g2'):
        context.cluster.launch(name)
    for name in ('g1', 'g2'):
        context.cluster.wait_ready(name)


@when(
    'g2 is killed and started again while the store is unavailable for '
    '{seconds:d} seconds'
)
def when_store_unavailable(context, seconds):
    cluster = context.cluster
    cluster.platform.faults.outage = True
    cluster.kill('g2')
    cluster.launch('g2')
    time.sleep(seconds)
    assert not cluster.is_ready('g2')
    cluster.platform.faults.outage = False


@when('g1 starts alone while the list of targets cannot be read')
def when_no_targets(context):
    cluster = context.cluster
    for name in ('g1', 'g2'):
        cluster.kill(name)
    cluster.platform.faults.unavailable_kinds = {'servers'}
    cluster.launch('g1')
    _wait_until(lambda: cluster.log('g1').count('"started"') >= 2, 10)
    _wait_until(
        lambda: cluster.log('g1').count('configuration_in_force') >= 2, 10
    )
    time.sleep(0.3)


@then('g1 is not ready until the list can be read')
def then_ready_later(context):
    assert not context.cluster.is_ready('g1')
    context.cluster.platform.faults.unavailable_kinds = set()
    context.cluster.wait_ready('g1')


@then('g2 becomes ready and serves an order')
def then_serves(context):
    context.cluster.wait_ready('g2')
    when_sends(context, 'an order', 'g2')
    then_status(context, 200)


@when(
    'a caller disconnects from g1 in the middle of a stream of {count:d} events'
)
def when_disconnects(context, count):
    cluster = context.cluster
    for name in ('e1', 'e2'):
        cluster.engines[name].events = count
    context.request_id, headers = _headers(model='m0')
    port = cluster.ports['g1']['front']
    with socket.create_connection(('127.0.0.1', port), 5) as connection:
        send(connection, 'POST', '/chat/x', headers.items(), b'{}')
        connection.recv(100)


@then('no engine runs it half a second later')
def then_not_running(context):
    time.sleep(0.5)
    for engine in context.cluster.engines.values():
        assert not sum(engine.running_by_model.values()), (
            engine.running_by_model
        )


@when('g1 gets SIGHUP')
def when_reloaded(context):
    context.cluster.signal('g1', signal.SIGHUP)
    time.sleep(0.3)


@then('g1 still serves an order')
def then_serves_after_reload(context):
    when_sends(context, 'an order', 'g1')
    then_status(context, 200)


@given('engines that crash on the prompt part "{part}"')
def given_crashing_part(context, part):
    for name in ('e1', 'e2'):
        context.cluster.engines[name].faults.crashing_parts.add(part)


def _send_with_parts(context, gateway, parts):
    """Send a stream request whose body and last prompt part are its own."""
    request_id, headers = _headers(model='m0')
    own_part = f'{next(_ids):x}f'
    headers['X-Prompt-Prefix'] = ','.join(
        f'{part}:10' for part in (*parts.split(), own_part)
    )
    return _request(
        context, gateway, 'POST', '/chat/x', headers, request_id.encode()
    )


@when(
    'callers send {count:d} requests with the prompt parts "{parts}" '
    'to g1 and g2'
)
def when_parts_sent(context, count, parts):
    context.responses = []
    for number in range(count):
        context.responses.append(
            _send_with_parts(context, f'g{number % 2 + 1}', parts)
        )
        # Until the engines run again; each request then meets one.
        time.sleep(2 * RESTART_SECONDS)


@then('no engine crashed later than {seconds:g} second after the second crash')
def then_no_late_crash(context, seconds):
    _check_crash_times(context, ('e1', 'e2'), seconds)


def _check_crash_times(context, names, seconds):
    crashes = sorted(
        crashed_at
        for name in names
        for crashed_at in context.cluster.engines[name].crashed_at
    )
    offsets = [round(crash - crashes[1], 2) for crash in crashes]
    assert max(offsets) <= seconds, offsets


@given('lookups of "{path}" that {gateways} answered before')
def given_answered_lookups(context, path, gateways):
    for gateway in gateways.split(' and '):
        assert _look_up(context, gateway, path)[0] == 200


@given('services that crash on lookups of "{path}"')
def given_crashing_path(context, path):
    for name in ('s1', 's2'):
        context.cluster.engines[name].faults.crashing_paths.add(path)


def _look_up(context, gateway, path):
    _, headers = _headers()
    return _request(context, gateway, 'GET', path, headers)


@when('a caller sends the lookup of "{path}" {count:d} times to g1 and g2')
def when_lookup_repeated(context, path, count):
    for number in range(count):
        _look_up(context, f'g{number % 2 + 1}', path)
        # Until the services run again; each request then meets one.
        time.sleep(2 * RESTART_SECONDS)


@then('lookups of "{path}" are served by g1 and g2')
def then_lookups_served(context, path):
    for gateway in ('g1', 'g2'):
        assert _look_up(context, gateway, path)[0] == 200


@then('no service crashed later than {seconds:g} second after the second crash')
def then_no_late_service_crash(context, seconds):
    _check_crash_times(context, ('s1', 's2'), seconds)


@then('requests with the prompt parts "{parts}" are served by g1 and g2')
def then_parts_served(context, parts):
    for gateway in ('g1', 'g2'):
        response = _send_with_parts(context, gateway, parts)
        _check_events(response, 5)


_TARGETS = {'engines': ('e1', 'e2'), 'services': ('s1', 's2')}


@given('{targets:w} that name a limit of {rate:g} requests a second')
def given_limit(context, targets, rate):
    context.limited = _TARGETS[targets]
    for name in context.limited:
        context.cluster.engines[name].faults.stated_limit = rate


@when(
    'callers send {kind} {rate:d} times a second to g1 and g2 for '
    '{seconds:d} seconds'
)
def when_sent_at_rate(context, kind, rate, seconds):
    context.began_at = time.monotonic()

    def send_one(number):
        due_at = context.began_at + number / rate
        time.sleep(max(due_at - time.monotonic(), 0))
        gateway = f'g{number % 2 + 1}'
        if kind == 'a lookup':
            _, headers = _headers()
            return _request(context, gateway, 'GET', '/stock/1', headers)
        return _stream(context, gateway, 'm0', '/chat/')

    with ThreadPoolExecutor(rate * 4) as callers:
        context.responses = list(callers.map(send_one, range(rate * seconds)))


@then(
    'after {grace:d} seconds no {window:d} seconds have more than {count:d} '
    'arrivals at one of them'
)
def then_arrivals(context, grace, window, count):
    for name in context.limited:
        arrivals = [
            at
            for at in context.cluster.engines[name].arrived_at
            if at > context.began_at + grace
        ]
        most = max(
            sum(start <= at < start + window for at in arrivals)
            for start in arrivals
        )
        assert most <= count, (name, most)


@then('the requests that were not served were refused without running')
def then_refused(context):
    statuses = Counter(response[0] for response in context.responses)
    assert set(statuses) <= {200, 503}, statuses
    # Two targets serve 2 requests a second each for 9 seconds.
    assert statuses[200] >= 18, statuses
    assert all(
        float(response[1]['retry-after']) > 0
        for response in context.responses
        if response[0] == 503
    )
