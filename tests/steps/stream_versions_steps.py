"""Steps for streams that are taken up after restarts or silence."""

import contextlib
import itertools
import time

from behave import given, then, when

from cowsliprack.coordination.stream_origins import keepers, origin_key
from cowsliprack.protocol.gateway_messages import PeerView
from tests.support.gateway_streams import (
    begin_stream,
    event_ids,
    read_event,
    take_up,
    versions_run,
)

_MODEL = 'm0'
_EVENT_SECONDS = 0.5
_EVENTS = 5
_SERVED, _UNAVAILABLE = 200, 503
# Time in which a gateway that has started again takes part: the lease of the
# last leader expires after 1.5 s.
_SETTLE_SECONDS = 3.0
_GATEWAYS = ('g1', 'g2')
_MORE_GATEWAYS = ('g3', 'g4', 'g5')
# Time in which the gateways read an entry; a watch takes milliseconds.
_READ_SECONDS = 0.5
# Longest wait for a line of a log; health checks take up to 0.8 s.
_LOG_SECONDS = 5.0


@when('{count:d} streams of m0 have run for {seconds:g} seconds at g1')
def when_running(context, count, seconds):
    cluster = context.cluster
    for name in ('e1', 'e2'):
        cluster.engines[name].event_seconds = _EVENT_SECONDS
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    streams = [begin_stream(cluster, stack, 'g1', _MODEL) for _ in range(count)]
    context.begun = [
        (attempt, read_event(connection)) for attempt, connection in streams
    ]
    time.sleep(seconds)


@given('three more gateways')
def given_more(context):
    for name in _MORE_GATEWAYS:
        context.cluster.launch(name)
    for name in _MORE_GATEWAYS:
        context.cluster.wait_ready(name)


@when(
    'g1 sends a stream of m0 to e1, gets no answer and passes it on to e2',
)
def when_passed_on(context):
    cluster = context.cluster
    # g1 can pass streams on once it knows the others.
    _wait_for_log(cluster, 'g1', '"peers":["g1","g2","g3","g4","g5"]')
    _set_states(cluster, e1='ready', e2='draining')
    cluster.cut_off('g1', 'hang')
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    attempt, connection = begin_stream(
        cluster, stack, 'g1', _MODEL, _attempt_kept_by_others()
    )
    _wait_for_log(cluster, 'g1', '"choice":"lost"', '"service":"llm"')
    _wait_for_log(cluster, 'g1', f'"{attempt}"', '"choice":"e1"')
    for name in ('e1', 'e2'):
        cluster.engines[name].event_seconds = _EVENT_SECONDS
    _set_states(cluster, e1='draining', e2='ready')
    context.begun = [(attempt, read_event(connection))]
    _wait_for_log(cluster, 'g1', f'"{attempt}"', '"pass_on","choice":"g')
    connection.close()
    _set_states(cluster, e1='ready', e2='ready')
    cluster.end_cut()
    _wait_for_log(cluster, 'g1', '"choice":"regained"', '"service":"llm"')


def _attempt_kept_by_others():
    peers = tuple(
        PeerView(name, '', 'zone-a', '')
        for name in (*_GATEWAYS, *_MORE_GATEWAYS)
    )
    attempts = (f'stream-{number}' for number in itertools.count(1000))
    return next(
        attempt
        for attempt in attempts
        if all(
            peer.instance_id != 'g1'
            for peer in keepers(origin_key('desk', attempt), peers)
        )
    )


def _set_states(cluster, **state_by_name):
    for name, state in state_by_name.items():
        engine = cluster.engines[name]
        engine.state = state
        cluster.call(engine.register)
    # Until the gateways have read the entries.
    time.sleep(_READ_SECONDS)


def _wait_for_log(cluster, name, *texts):
    end = time.monotonic() + _LOG_SECONDS
    while not any(
        all(text in line for text in texts)
        for line in cluster.log(name).splitlines()
    ):
        assert time.monotonic() < end, (texts, cluster.log(name)[-2000:])
        time.sleep(0.05)


def _kill_all(cluster):
    for name in _GATEWAYS:
        cluster.kill(name)


def _start_all(cluster):
    for name in _GATEWAYS:
        cluster.launch(name)
    for name in _GATEWAYS:
        cluster.wait_ready(name)
    time.sleep(_SETTLE_SECONDS)


@when('g1 and g2 are killed and start again')
def when_killed(context):
    _kill_all(context.cluster)
    _start_all(context.cluster)


@when('e1 leaves while g1 and g2 are killed and start again')
def when_left(context):
    cluster = context.cluster
    _kill_all(cluster)
    cluster.call(cluster.platform.put, 'servers', 'e1', None)
    _start_all(cluster)


@when('the callers go on at g1 and g2')
def when_taken_up(context):
    for engine in context.cluster.engines.values():
        engine.event_seconds = 0.01
    context.taken_up = []
    for number, (begun_attempt, last_event) in enumerate(context.begun):
        attempt, answer = take_up(
            context.cluster,
            _GATEWAYS[number % len(_GATEWAYS)],
            _MODEL,
            begun_attempt,
            last_event,
        )
        context.taken_up.append((begun_attempt, last_event, attempt, answer))


@then('no stream goes on at another software version')
def then_not_mixed(context):
    for begun_attempt, _, attempt, (status, _, _) in context.taken_up:
        begun_at = versions_run(context.cluster, begun_attempt)
        went_on_at = versions_run(context.cluster, attempt)
        assert went_on_at <= begun_at, (begun_attempt, begun_at, went_on_at)
        assert status in {_SERVED, _UNAVAILABLE}, status


@then('each stream was completed by the software version that began it')
def then_completed(context):
    for begun_attempt, last_event, attempt, answer in context.taken_up:
        status, _, body = answer
        assert status == _SERVED, (begun_attempt, answer)
        expected = list(range(last_event + 1, _EVENTS + 1))
        assert event_ids(body) == expected, (last_event, body)
        begun_at = versions_run(context.cluster, begun_attempt)
        went_on_at = versions_run(context.cluster, attempt)
        assert went_on_at == begun_at, (begun_attempt, begun_at, went_on_at)


@then('engines of {versions} began some of them')
def then_begun(context, versions):
    # Otherwise the streams would show nothing.
    begun_at = set()
    for begun_attempt, _, _, _ in context.taken_up:
        begun_at |= versions_run(context.cluster, begun_attempt)
    assert begun_at == set(versions.split(' and ')), begun_at
