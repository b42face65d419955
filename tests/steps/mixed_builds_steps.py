"""Steps for gateways of an earlier build beside those of this build."""

import itertools
import json
import re
import signal
import threading
import time
from collections import Counter, defaultdict
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from tests.support.earlier_build import earlier_build
from tests.support.gateway_cluster import KEY, GatewayCluster, request

_ids = itertools.count()
_STATUS_OK = 200
_STATUS_UNAVAILABLE = 503
_LOAD_SECONDS = 4.0
_INTERVAL_SECONDS = 0.3
_STOP_SECONDS = 15
# Time in which a gateway that has started takes part again.
_SETTLE_SECONDS = 2.0
_TAKE_OVER_SECONDS = 15.0
# From a gateway that gets no new callers until it is told to stop.
_DRAIN_SECONDS = 0.3
# Until a leader takes a model that has lost its copies as absent.
_SETTLED_SECONDS = 7.0
_NOT_UNDERSTOOD = re.compile('malformed|invalid|unknown|refused|Traceback')
_KINDS = (
    ('GET', '/stock/1', ''),
    ('POST', '/order/1', ''),
    ('POST', '/chat/x', 'm0'),
    ('POST', '/report/x', 'm1'),
    ('POST', '/report/x', 'm2'),
)


def _cluster(context):
    context.cluster = GatewayCluster()
    context.add_cleanup(context.cluster.close)
    context.tries = defaultdict(list)
    return context.cluster


def _send(context, name, method, path, model, seconds=4):
    number = next(_ids)
    headers = {
        'X-Attempt-Id': f'mixed-{number}',
        'X-Deadline-Ms': f'{seconds * 1000}',
        'X-Key': KEY,
    }
    if model:
        headers['X-Model'] = model
        headers['X-Token-Count'] = '20,20'
        headers['X-Prompt-Prefix'] = f'ab:10,{number:x}:10'
    port = context.cluster.ports[name]['front']
    body = b'' if method == 'GET' else b'{}'
    began_at = time.monotonic()
    try:
        status, answered, _ = request(port, method, path, headers.items(), body)
    except OSError as error:
        status, answered = repr(error), {}
    took = time.monotonic() - began_at
    context.tries[name].append(
        (began_at, f'{path} {model}', headers['X-Attempt-Id'], status)
    )
    return status, answered, took


def _use(context, names, pool, ended):
    """Send one request of each kind to each gateway, again and again."""
    while not ended():
        for name in list(names):
            for kind in _KINDS:
                pool.submit(_send, context, name, *kind)
        time.sleep(_INTERVAL_SECONDS)


@given('a gateway of {commit:w} as the {role:w}, and one of this build')
def given_pair(context, commit, role):
    cluster = _cluster(context)
    leader, member = 'g1', 'g2'
    context.earlier = leader if role == 'leader' else member
    cluster.build_by_name[context.earlier] = earlier_build(commit)
    cluster.start(leader)
    cluster.start(member)
    time.sleep(_SETTLE_SECONDS)
    assert '"term_begins"' in cluster.log(leader)
    assert '"term_begins"' not in cluster.log(member)


@when(
    'callers use both for lookups, orders, streams and models that must be '
    'loaded'
)
def when_used(context):
    end = time.monotonic() + _LOAD_SECONDS
    with ThreadPoolExecutor(64) as pool:
        _use(context, ('g1', 'g2'), pool, lambda: time.monotonic() > end)


@given('three gateways of {commit:w}')
def given_three(context, commit):
    cluster = _cluster(context)
    context.commit = commit
    for name in ('g1', 'g2', 'g3'):
        cluster.build_by_name[name] = earlier_build(commit)
        cluster.start(name)
    time.sleep(_SETTLE_SECONDS)


@when(
    'each is replaced by this build, then by {commit:w} again, while callers '
    'use them'
)
def when_replaced(context, commit):
    cluster = context.cluster
    names = {'g1', 'g2', 'g3'}
    stopped = threading.Event()
    with ThreadPoolExecutor(96) as pool:
        load = threading.Thread(
            target=_use, args=(context, names, pool, stopped.is_set)
        )
        load.start()
        try:
            for is_earlier in (False, True):
                for name in ('g1', 'g2', 'g3'):
                    _replace(cluster, names, name, is_earlier and commit)
        finally:
            stopped.set()
            load.join()


def _replace(cluster, names, name, commit):
    names.discard(name)
    time.sleep(_DRAIN_SECONDS)
    cluster.signal(name, signal.SIGTERM)
    assert cluster.processes[name].wait(_STOP_SECONDS) == 0, name
    cluster.build_by_name.pop(name, None)
    if commit:
        cluster.build_by_name[name] = earlier_build(commit)
    cluster.start(name)
    names.add(name)
    time.sleep(_SETTLE_SECONDS)


def _failures(context):
    return Counter(
        (name, kind, status)
        for name, tries in context.tries.items()
        for _, kind, _, status in tries
        if status != _STATUS_OK
    )


@then('every first try is served')
def then_all_served(context):
    assert context.tries
    assert not _failures(context), _failures(context)


@then('nine in ten first tries are served')
def then_most_served(context):
    failures = _failures(context)
    count = sum(len(tries) for tries in context.tries.values())
    assert failures.total() <= count / 10, failures


@then('no gateway has logged a message or a field that it does not understand')
def then_understood(context):
    for name in context.cluster.processes:
        log = context.cluster.log(name)
        lines = [
            line
            for line in log.splitlines()
            if not line.startswith('{')
            or _NOT_UNDERSTOOD.search(str(json.loads(line).get('event')))
        ]
        assert not lines, (name, lines[:5])


@when('the gateway of this build is killed')
def when_leader_killed(context):
    context.cluster.kill('g1')


@then('the other leads, and callers are served there')
def then_other_leads(context):
    cluster = context.cluster
    end = time.monotonic() + _TAKE_OVER_SECONDS
    while '"term_begins"' not in cluster.log('g2'):
        assert time.monotonic() < end, cluster.log('g2')[-2000:]
        time.sleep(0.1)
    time.sleep(_SETTLE_SECONDS)
    for kind in _KINDS:
        _send(context, 'g2', *kind)
    assert not _failures(context), _failures(context)


@given(
    'a model that lies on no engine and that the weight store loads in '
    '{seconds:g} seconds'
)
def given_absent(context, seconds):
    cluster = context.cluster
    for _ in range(4):
        _send(context, 'g1', 'POST', '/report/x', 'm0')

    def remove():
        for name in ('e1', 'e2'):
            cluster.engines[name].on_disk.discard('m3')
            cluster.engines[name].register()

    cluster.call(remove)
    cluster.configure(version=2, load_seconds=seconds)
    # Demand for another model keeps the leader from loading it ahead.
    end = time.monotonic() + _SETTLED_SECONDS
    while time.monotonic() < end:
        _send(context, 'g1', 'POST', '/report/x', 'm0')
        time.sleep(_INTERVAL_SECONDS)


@when('a caller asks both for it for {seconds:g} seconds')
def when_both_asked(context, seconds):
    with ThreadPoolExecutor(2) as pool:
        answers = {
            name: pool.submit(
                _send, context, name, 'POST', '/report/x', 'm3', seconds
            )
            for name in ('g1', 'g2')
        }
        context.answers = {
            name: answer.result() for name, answer in answers.items()
        }


@then('this build rejects it within 1 second and says when to come back')
def then_rejected(context):
    status, headers, took = context.answers['g1']
    assert (status, took < 1) == (_STATUS_UNAVAILABLE, True), context.answers
    assert float(headers['retry-after']) > 1, headers


@then('{commit:w} answers that it has not run')
def then_not_run(context, commit):
    status, _, took = context.answers['g2']
    assert (status, took > 1) == (_STATUS_UNAVAILABLE, True), context.answers
