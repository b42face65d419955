"""Steps for instances that are cut off from all targets."""

import itertools
import signal
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from tests.support.gateway_cluster import KEY, request

_ids = itertools.count()
_INTERVAL_SECONDS = 0.25
# Time before the cut, and from the cut to the end of the load.
_WARM_UP_SECONDS = 2.0
_CUT_SECONDS = 8.0
# First tries count from this time after the cut on.
_SETTLED_SECONDS = 3.0
_STATUS_OK = 200
_MAY_HAVE_RUN = frozenset((502, 504))


def _send(port, method, path, model='', seconds=4):
    """Send a first try; return its start, kind, id and status."""
    request_id = f'cut-{next(_ids)}'
    headers = {
        'X-Attempt-Id': request_id,
        'X-Deadline-Ms': f'{seconds * 1000}',
        'X-Key': KEY,
    }
    if model:
        headers['X-Model'] = model
        headers['X-Token-Count'] = '20,30'
        headers['X-Prompt-Prefix'] = f'ab:10,{next(_ids):x}:10'
    sent_at = time.monotonic()
    body = b'' if method == 'GET' else b'{}'
    try:
        status = request(port, method, path, headers.items(), body)[0]
    except OSError as error:
        status = repr(error)
    return sent_at, f'{path} {model}', request_id, status


@when(
    'callers use both gateways, and the connections of {gateway:w} to targets '
    '{old}',
)
def when_cut_under_load(context, gateway, old):
    cluster = context.cluster
    kinds = [
        ('GET', '/stock/1'),
        ('POST', '/order/1'),
        ('POST', '/chat/x', 'm0'),
    ]
    rare = itertools.cycle(('m1', 'm2', 'm3'))
    began_at = time.monotonic()
    context.cut_at = 0
    sent = {'g1': [], 'g2': []}
    with ThreadPoolExecutor(64) as pool:
        while time.monotonic() < began_at + _WARM_UP_SECONDS + _CUT_SECONDS:
            if not context.cut_at and (
                time.monotonic() >= began_at + _WARM_UP_SECONDS
            ):
                cluster.cut_off(gateway, old)
                context.cut_at = time.monotonic()
            every = [*kinds, ('POST', '/report/x', next(rare))]
            for name, results in sent.items():
                port = cluster.ports[name]['front']
                results.extend(
                    pool.submit(_send, port, *kind) for kind in every
                )
            time.sleep(_INTERVAL_SECONDS)
    context.tries = {
        name: [future.result() for future in results]
        for name, results in sent.items()
    }


@given('the events of streams take {seconds:g} second each')
def given_slow(context, seconds):
    for name in ('e1', 'e2'):
        context.cluster.engines[name].event_seconds = seconds


def _cut_off(cluster):
    """Cut g1 off once it knows the other gateway, to which it passes on."""
    end = time.monotonic() + _CUT_SECONDS
    while '"peers":["g1","g2"]' not in cluster.log('g1'):
        assert time.monotonic() < end, cluster.log('g1')[-2000:]
        time.sleep(0.05)
    cluster.cut_off('g1', 'reset')


def _has_lost(cluster, service):
    """Return whether g1 knows that it reaches no target of a service."""
    return any(
        '"reachability"' in line
        and '"choice":"lost"' in line
        and f'"service":"{service}"' in line
        for line in cluster.log('g1').splitlines()
    )


@when('g1 is cut off and passes a stream on, and g2 is told to stop')
def when_stopped(context):
    cluster = context.cluster
    _cut_off(cluster)
    port = cluster.ports['g1']['front']
    end = time.monotonic() + _CUT_SECONDS
    while not _has_lost(cluster, 'llm') and time.monotonic() < end:
        _send(port, 'POST', '/chat/x', 'm0')
    with ThreadPoolExecutor(1) as pool:
        stream = pool.submit(_send, port, 'POST', '/report/x', 'm0', 7)
        time.sleep(0.3)
        cluster.signal('g2', signal.SIGTERM)
        context.stream = stream.result()


@when(
    'g1 is cut off and passes an order on that a service runs and does not '
    'answer, and {who:w} is told to stop'
)
def when_stopped_in_order(context, who):
    cluster = context.cluster
    _cut_off(cluster)
    port = cluster.ports['g1']['front']
    end = time.monotonic() + _CUT_SECONDS
    while not _has_lost(cluster, 'shop') and time.monotonic() < end:
        _send(port, 'GET', '/stock/1')
    for name in ('s1', 's2'):
        cluster.engines[name].faults.unanswered_requests = 1
    with ThreadPoolExecutor(1) as pool:
        order = pool.submit(_send, port, 'POST', '/order/1', '', 8)
        time.sleep(0.3)
        cluster.signal(who, signal.SIGTERM)
        context.order = order.result()
    context.is_gone = cluster.processes[who].poll() is not None
    context.tries = {'g1': [context.order]}


@then('the order ends as one that may have run, before {who:w} has gone')
def then_may_have_run(context, who):
    lines = [
        line
        for name in ('g1', 'g2')
        for line in context.cluster.log(name).splitlines()
        if f'"{context.order[2]}"' in line
    ]
    assert context.order[3] in _MAY_HAVE_RUN, (who, context.order, lines)
    assert not context.is_gone
    is_passed = any(
        '"pass_on"' in line and '"choice":"g2"' in line for line in lines
    )
    assert is_passed, ('the order was not passed on', lines)


@then('the stream ends as a whole')
def then_whole(context):
    assert context.stream[3] == _STATUS_OK, (
        context.stream,
        [
            line
            for name in ('g1', 'g2')
            for line in context.cluster.log(name).splitlines()
            if f'"{context.stream[2]}"' in line
        ],
    )


@then('from 3 seconds after the cut both gateways serve nine in ten')
def then_served(context):
    since = context.cut_at + _SETTLED_SECONDS
    shares = {}
    failures = Counter()
    for name, tries in context.tries.items():
        counted = [one for one in tries if one[0] >= since]
        served = [one for one in counted if one[3] == _STATUS_OK]
        shares[name] = len(served) / len(counted)
        failures.update(
            (name, kind, status)
            for _, kind, _, status in counted
            if status != _STATUS_OK
        )
    assert min(shares.values()) >= 0.9, (shares, failures)


@then('no order ran twice')
def then_once(context):
    ran = Counter(
        headers.get('x-attempt-id')
        for name in ('s1', 's2')
        for headers in context.cluster.engines[name].received_headers
    )
    orders = [
        request_id
        for tries in context.tries.values()
        for _, kind, request_id, _ in tries
        if kind.startswith('/order')
    ]
    assert orders
    assert all(ran[request_id] <= 1 for request_id in orders), ran
