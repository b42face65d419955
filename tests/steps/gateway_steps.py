"""Steps for gateway processes on the platform."""

import itertools
import json
import signal
import socket
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from cowsliprack.platform.wire import (
    EngineReport,
    HeldModel,
    decode_report_holdings,
)
from tests.support.gateway_cluster import (
    KEY,
    GatewayCluster,
    read_answer,
    request,
    send,
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


def _wait_until(holds, seconds):
    end = time.monotonic() + seconds
    while not holds():
        assert time.monotonic() < end, 'did not come about in time'
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


def _ask(context, gateway, method, path, headers, body=b''):
    port = context.cluster.ports[gateway]['front']
    return request(port, method, path, headers.items(), body)


def _stream(context, gateway, model, path):
    request_id, headers = _headers(model=model)
    context.request_id = request_id
    return _ask(context, gateway, 'POST', f'{path}x', headers, b'{}')


@when('a caller asks {gateway} for a stream of {model} at {path}')
def when_stream(context, gateway, model, path):
    try:
        context.answer = _stream(context, gateway, model, path)
    except ConnectionError as error:
        context.answer = error


@when(
    'callers ask g1 and g2 for a stream of {model} at {path} {count:d} '
    'times at once'
)
def when_many(context, model, path, count):
    with ThreadPoolExecutor(count) as callers:
        context.answers = list(
            callers.map(
                lambda number: _stream(
                    context, f'g{number % 2 + 1}', model, path
                ),
                range(count),
            )
        )


def _check_pieces(answer, count):
    status, headers, body = answer
    assert status == 200, answer
    ids = [
        int(line[3:]) for line in body.split(b'\n') if line.startswith(b'id:')
    ]
    assert ids == list(range(1, count + 1)), ids
    assert headers['x-server-seal'].startswith('seal-'), headers


@then('the answer is 200 with {count:d} pieces in order')
def then_pieces(context, count):
    _check_pieces(context.answer, count)


@then('every answer is 200 with {count:d} pieces in order')
def then_all_pieces(context, count):
    for answer in context.answers:
        _check_pieces(answer, count)


@then('no engine held more models than it has places for')
def then_places(context):
    for name in ('e1', 'e2'):
        engine = context.cluster.engines[name]
        assert engine.most_held <= engine.places, (name, engine.orders)


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
    context.answer = _ask(context, gateway, method, path, headers, body)


@when('a caller sends an order to g1 and claims to be another organisation')
def when_claims(context):
    context.request_id, headers = _headers(**{'X-Tenant': 'other'})
    context.answer = _ask(context, 'g1', 'POST', '/order/1', headers, b'pay')


@then('the answer is {status:d}')
def then_status(context, status):
    assert context.answer[0] == status, context.answer


@then('the answer ends early')
def then_early(context):
    assert isinstance(context.answer, ConnectionError), context.answer


def _runs(context):
    return [
        name
        for name, engine in context.cluster.engines.items()
        for run in engine.runs
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
        for headers in engine.seen_headers
    ]
    assert [headers.get('x-tenant') for headers in seen] == [name], seen
    assert KEY not in json.dumps(seen)


@given('the next stream of an engine breaks after {count:d} pieces')
def given_break(context, count):
    # m0 lies on both engines; one of the two gets the request.
    shared = [count]
    for name in ('e1', 'e2'):
        context.cluster.engines[name].faults.break_streams = shared


@given('the next answer of each service carries another id')
def given_wrong_id(context):
    for name in ('s1', 's2'):
        context.cluster.engines[name].faults.wrong_ids = 1


@given('the next request of each service is refused without running it')
def given_refused(context):
    context.cluster.engines['s1'].faults.refuse_requests = 1


@given('every request of each service is refused without running it')
def given_all_refused(context):
    for name in ('s1', 's2'):
        context.cluster.engines[name].faults.refuse_requests = 1000


@given('the next {count:d} answers of each service are failures')
def given_failures(context, count):
    for name in ('s1', 's2'):
        context.cluster.engines[name].faults.failed_answers = count


@given('the next answer of one service is a failure')
def given_one_failure(context):
    context.cluster.engines['s1'].faults.failed_answers = 1


@when('g1 gets {count:d} lookups')
def when_lookups(context, count):
    context.answers = []
    for _ in range(count):
        when_sends(context, 'a lookup', 'g1')
        context.answers.append(context.answer)


@then('each answer is {status:d}')
def then_each(context, status):
    assert {answer[0] for answer in context.answers} == {status}


@then('the answer bears the seal of a target')
def then_sealed(context):
    assert context.answer[1]['x-server-seal'].startswith('seal-')


@then('the answer says when to come back')
def then_retry_after(context):
    assert float(context.answer[1]['retry-after']) > 0, context.answer


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
    assert _ask_again(context) == 200


def _ask_again(context):
    _, headers = _headers()
    send(context.connection, 'GET', '/stock/1', headers.items())
    return read_answer(context.connection)[0]


@when('the key is withdrawn')
def when_withdrawn(context):
    context.cluster.configure(version=9, keys=('another-key',))


@when('the store falls silent')
def when_silent(context):
    context.cluster.platform.faults.silent = True


@then('the connection gets {status:d} within {seconds:d} seconds')
def then_connection(context, status, seconds):
    _wait_until(lambda: _ask_again(context) == status, seconds)


@then('a route open to all is still served by g1')
def then_open(context):
    _, headers = _headers(key='')
    answer = _ask(context, 'g1', 'GET', '/open/1', headers)
    assert answer[0] == 200, answer


@when("the operator moves a route and then the store's history is dropped")
def when_moved(context):
    cluster = context.cluster
    cluster.configure(version=12, prefix='/talk/')
    cluster.call(cluster.platform.compact)
    # A stale writer's older version must change nothing.
    cluster.configure(version=3)


def _status(context, gateway, path):
    _, headers = _headers(model='m0')
    return _ask(context, gateway, 'POST', path, headers, b'{}')[0]


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


@when('service s1 says that it is draining')
def when_draining(context):
    engine = context.cluster.engines['s1']
    engine.state = 'draining'
    context.cluster.call(engine.register)
    time.sleep(0.5)


@when('the entry of service s1 vanishes')
def when_vanishes(context):
    cluster = context.cluster
    cluster.call(cluster.platform.put, 'servers', 's1', None)
    time.sleep(0.5)


@then('{count:d} lookups at both gateways run at s2 only')
def then_only(context, count):
    before = len(context.cluster.engines['s1'].runs)
    for number in range(count):
        _, headers = _headers()
        answer = _ask(context, f'g{number % 2 + 1}', 'GET', '/stock/1', headers)
        assert answer[0] == 200, answer
    assert len(context.cluster.engines['s1'].runs) == before


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


@when('the leading gateway is frozen until the other one leads')
def when_frozen(context):
    cluster = context.cluster
    cluster.signal(context.leader, signal.SIGSTOP)
    _wait_until(lambda: 'term_begins' in cluster.log(context.other), 10)
    _stream(context, context.other, 'm3', '/report/')
    context.seen = {
        name: len(cluster.engines[name].orders) for name in ('e1', 'e2')
    }
    cluster.signal(context.leader, signal.SIGCONT)
    time.sleep(1)


@then('no engine has accepted an order of an old lease')
def then_no_old_order(context):
    for name, seen in context.seen.items():
        engine = context.cluster.engines[name]
        late = engine.orders[seen:]
        assert all(order['fence'] >= engine.highest_fence for order in late), (
            late
        )


@given(
    'the next {count:d} orders of each engine are carried out {seconds:g} '
    'seconds late'
)
def given_late(context, count, seconds):
    for name in ('e1', 'e2'):
        faults = context.cluster.engines[name].faults
        faults.late_orders = [seconds] * count


@given('the next {count:d} orders of each engine get no answer')
def given_lost(context, count):
    for name in ('e1', 'e2'):
        context.cluster.engines[name].faults.lost_orders = count


@given('a service s3 whose host drops every packet')
def given_dark(context):
    # The kernel drops connections to a socket whose queue is full.
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
    context.cluster.engines[name].faults.refuse_requests = count


_METHOD_BY_KIND = {
    'lookups': ('GET', '/stock/x'),
    'orders': ('POST', '/order/x'),
}


@when('a caller sends {count:d} {kind} to g1 at once')
def when_lookups(context, count, kind):
    _send_many(context, count, kind, count)


@when('a caller sends {count:d} {kind} to g1 one after the other')
def when_lookups_in_turn(context, count, kind):
    _send_many(context, count, kind, 1)


def _send_many(context, count, kind, at_once):
    def look_up(_):
        _, headers = _headers()
        began_at = time.monotonic()
        answer = _ask(context, 'g1', *_METHOD_BY_KIND[kind], headers)
        return answer, time.monotonic() - began_at

    with ThreadPoolExecutor(at_once) as callers:
        context.lookups = list(callers.map(look_up, range(count)))


@then('all are answered 200 within {seconds:g} seconds')
def then_all_soon(context, seconds):
    for answer, taken in context.lookups:
        assert answer[0] == 200, answer
        assert taken < seconds, taken


@given('engines that take {seconds:g} seconds for a piece')
def given_slow_pieces(context, seconds):
    for name in ('e1', 'e2'):
        context.cluster.engines[name].event_seconds = seconds


@when('g1 is told to stop while it streams {count:d} pieces')
def when_stop(context, count):
    cluster = context.cluster
    for name in ('e1', 'e2'):
        cluster.engines[name].events = count
    context.pieces = count
    with ThreadPoolExecutor(1) as callers:
        streaming = callers.submit(_stream, context, 'g1', 'm0', '/report/')
        time.sleep(0.2)
        cluster.signal('g1', signal.SIGTERM)
        time.sleep(0.2)
        context.ready = cluster.is_ready('g1')
        context.answer = streaming.result()


@then('g1 says at once that it is not ready')
def then_not_ready(context):
    assert not context.ready


@then('the stream ends whole')
def then_whole(context):
    _check_pieces(context.answer, context.pieces)


@then('g1 exits within {seconds:d} seconds')
def then_exits(context, seconds):
    assert context.cluster.processes['g1'].wait(seconds) == 0


@when('g1 is told to stop and the caller waits for {seconds:d} seconds')
def when_stop_idle(context, seconds):
    context.cluster.signal('g1', signal.SIGTERM)
    time.sleep(seconds)


@then('the connection has been closed without a request on it')
def then_closed(context):
    context.connection.settimeout(1)
    assert context.connection.recv(10) == b''


def _ask_while_stopping(context, ask):
    with ThreadPoolExecutor(1) as callers:
        asking = callers.submit(ask)
        time.sleep(0.3)
        context.cluster.signal('g1', signal.SIGTERM)
        began_at = time.monotonic()
        context.answer = asking.result()
    context.seconds = time.monotonic() - began_at


@when('g1 is told to stop while a caller waits for a stream of {model}')
def when_stop_waiting(context, model):
    _ask_while_stopping(
        context, lambda: _stream(context, 'g1', model, '/report/')
    )


@given('services s1 and s2 run requests without an answer')
def given_silent(context):
    for name in ('s1', 's2'):
        context.cluster.engines[name].faults.silent_runs = 1


@when('g1 is told to stop while a caller waits for an order')
def when_stop_order(context):
    _, headers = _headers()
    _ask_while_stopping(
        context,
        lambda: _ask(context, 'g1', 'POST', '/order/x', headers, b'{}'),
    )


@then('the caller is refused within {seconds:g} seconds with {kind}')
def then_refused_kind(context, seconds, kind):
    status, _, body = context.answer
    assert status == 503, context.answer
    assert json.loads(body)['error']['kind'] == kind, body
    assert context.seconds < seconds, context.seconds


@then('it is told to come back within a second')
def then_come_back(context):
    _, headers, _ = context.answer
    assert 0 < float(headers['retry-after']) <= 1, headers


@then('the caller gets a {status:d} that names {kind}')
def then_named(context, status, kind):
    assert context.answer[0] == status, context.answer
    assert json.loads(context.answer[2])['error']['kind'] == kind


@given('an engine whose report lists an adapter as pending')
def given_pending(context):
    context.report = EngineReport(
        seq=3,
        models=[HeldModel(name='m0', adapters=['a1'])],
        pending=['m0/a2@1', 'gone/a1@1', 'nonsense'],
    )


@then('the survey of the engine counts it')
def then_counted(context):
    holdings = decode_report_holdings(context.report)
    assert holdings['m0'].adapters == {'a1', 'a2'}, holdings
    assert set(holdings) == {'m0'}


@when('both gateways are killed and started again')
def when_power_loss(context):
    for name in ('g1', 'g2'):
        context.cluster.kill(name)
    for name in ('g1', 'g2'):
        context.cluster.launch(name)
    for name in ('g1', 'g2'):
        context.cluster.wait_ready(name)


@when(
    'g2 is killed and started again while the store is away for {seconds:d} '
    'seconds'
)
def when_store_away(context, seconds):
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
    cluster.platform.faults.refused_kinds = {'servers'}
    cluster.launch('g1')
    _wait_until(lambda: cluster.log('g1').count('"started"') >= 2, 10)
    _wait_until(
        lambda: cluster.log('g1').count('configuration_in_force') >= 2, 10
    )
    time.sleep(0.3)


@then('g1 is not ready until the list can be read')
def then_ready_later(context):
    assert not context.cluster.is_ready('g1')
    context.cluster.platform.faults.refused_kinds = set()
    context.cluster.wait_ready('g1')


@then('g2 becomes ready and serves an order')
def then_serves(context):
    context.cluster.wait_ready('g2')
    when_sends(context, 'an order', 'g2')
    then_status(context, 200)


@when('a caller leaves g1 in the middle of a stream of {count:d} pieces')
def when_leaves(context, count):
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
        assert not sum(engine.running.values()), engine.running


@when('g1 is told that its settings have changed')
def when_hup(context):
    context.cluster.signal('g1', signal.SIGHUP)
    time.sleep(0.3)


@then('g1 still serves an order')
def then_still(context):
    when_sends(context, 'an order', 'g1')
    then_status(context, 200)
