"""Steps for streams that are taken up after restarts of the gateways."""

import contextlib
import time

from behave import then, when

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
