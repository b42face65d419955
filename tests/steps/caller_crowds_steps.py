"""Steps for crowds of callers that stall or do not read."""

import os
import time
from unittest import mock

from behave import given, then, when

from tests.support.caller_crowd import (
    Crowd,
    Routes,
    is_served,
    open_descriptors,
    peak_mb,
    wait_settled,
)
from tests.support.gateway_cluster import GatewayCluster
from tools.fleet import Fleet, generation
from tools.processes import ProcessGroup, wait_until

_BODY_BYTES = 1_000_000
_MAX_BODY_BYTES = 4_194_304
_PIECE_BYTES = 10_000
# Longer than the callers of a crowd stay.
_SLOW_SECONDS = 120
_APPLY_SECONDS = 20
_HALF_HEAD = b'POST /order/1 HTTP/1.1\r\nHost: desk.example\r\n'
# Long enough for the gateway to notice that connections were closed.
_LEAVING_SECONDS = 1.0
# Connections to targets and the store that may be kept open for later use.
_KEPT_DESCRIPTORS = 16
# The time in which a body without progress is dropped in any case.
_FREE_SECONDS = 30


def _short(routes, count):
    return [
        routes.lengthy(n, _BODY_BYTES, _BODY_BYTES - 1) for n in range(count)
    ]


def _large_chunks(routes, count):
    return [routes.chunked(n, 15, 61_440) for n in range(count)]


def _one_byte_chunks(routes, count):
    return [routes.chunked(n, 60_000, 1) for n in range(count)]


def _whole(routes, count):
    return [routes.whole(n, _BODY_BYTES) for n in range(count)]


def _keyed(routes, count):
    return [
        routes.whole(n, _BODY_BYTES, f'Idempotency-Key: crowd-{n}')
        for n in range(count)
    ]


def _ahead(routes, count):
    return [routes.ahead(n, 400, 6000) for n in range(count)]


def _idle(_routes, count):
    return [b'' if n % 2 else _HALF_HEAD for n in range(count)]


def _mixed(routes, _count):
    return [
        *_idle(routes, 60),
        *_short(routes, 120),
        *_large_chunks(routes, 60),
        *_one_byte_chunks(routes, 12),
        *_whole(routes, 60),
        *_ahead(routes, 20),
    ]


_PAYLOADS_BY_CROWD = {
    'bodies that stop one byte short': _short,
    'chunked bodies of large chunks without the last one': _large_chunks,
    'chunked bodies of one-byte chunks without the last one': _one_byte_chunks,
    'whole bodies for a model that lies on no engine': _whole,
    'whole bodies for a service that answers later': _whole,
    'whole bodies with keys for a service that answers later': _keyed,
    'connections with requests ahead and no answer read': _ahead,
    'connections that send nothing or half a head': _idle,
    'connections of all these kinds': _mixed,
}


@given(
    'a gateway on a machine with {megabytes:d} MB and {descriptors:d} '
    'descriptors'
)
def given_gateway(context, megabytes, descriptors):
    cluster = GatewayCluster()
    context.cluster = cluster
    context.add_cleanup(cluster.close)
    cluster.settings_lines = (
        f'limits.memory_mb={megabytes}',
        f'limits.max_fds={descriptors}',
    )
    cluster.configure(version=2, max_body_bytes=_MAX_BODY_BYTES)
    for name in ('e1', 'e2'):
        # The model m3 is loaded after its callers have given up.
        cluster.engines[name].faults.order_delays = [9] * 200
    cluster.start('g1')
    context.routes = Routes()
    context.log = lambda: cluster.log('g1')
    _watch(context, cluster.processes['g1'], cluster.ports['g1']['front'])


@given(
    'an instance that serves on a machine with {megabytes:d} MB and '
    '{descriptors:d} descriptors'
)
def given_instance(context, megabytes, descriptors):
    processes = ProcessGroup()
    context.add_cleanup(processes.close)
    fleet = Fleet(processes)
    limits = {
        'COWSLIPRACK_MEMORY_MB': str(megabytes),
        'COWSLIPRACK_MAX_DESCRIPTORS': str(descriptors),
    }
    with mock.patch.dict(os.environ, limits):
        fleet.start()
    slow = processes.start_service('slow-1')
    slow.control(seconds=_SLOW_SECONDS)
    fleet.questionnaire['targets']['slow-1'] = {
        'kind': 'service',
        'zone': 'zone-a',
        'url': slow.url,
        'pool': 'slow',
    }
    fleet.questionnaire['services']['reports'] = {
        'pool': 'slow',
        'open_to_all': True,
    }
    child = fleet.instances_by_id['a1']
    before = generation(child)
    fleet.apply()
    assert wait_until(lambda: generation(child) > before, _APPLY_SECONDS)
    context.routes = Routes('/services/stock/1', '/services/reports/1', ())
    context.log = child.log_path.read_text
    _watch(context, child.process, int(child.url.rpartition(':')[2]))


def _watch(context, process, port):
    context.process = process
    context.port = port
    context.crowd = Crowd(port)
    context.add_cleanup(context.crowd.leave)
    context.descriptors = 0
    wait_settled(process)
    context.descriptors_before = open_descriptors(process)


@when('a crowd comes with {count:d} {kind}, in pieces')
def when_crowd_in_pieces(context, count, kind):
    _send(context, count, kind, _PIECE_BYTES)


@when('a crowd comes with {count:d} {kind}')
def when_crowd(context, count, kind):
    _send(context, count, kind, 0)


def _send(context, count, kind, piece):
    payloads = _PAYLOADS_BY_CROWD[kind](context.routes, count)
    assert len(payloads) == count
    context.crowd.send(payloads, piece)
    context.descriptors = open_descriptors(context.process)
    wait_settled(context.process)


@when('the crowd has left')
def when_left(context):
    context.crowd.leave()
    time.sleep(_LEAVING_SECONDS)
    wait_settled(context.process)


@then(
    'the process has had at most {megabytes:d} MB and {descriptors:d} '
    'descriptors'
)
@then(
    'the gateway has had at most {megabytes:d} MB and {descriptors:d} '
    'descriptors'
)
def then_bounded(context, megabytes, descriptors):
    peak = peak_mb(context.process)
    seen = max(context.descriptors, open_descriptors(context.process))
    assert peak <= megabytes and seen <= descriptors, (
        f'{peak:.0f} MB, {seen} descriptors, '
        f'{context.crowd.closed} of the crowd closed'
    )


@then('an ordinary request is answered')
def then_answered(context):
    assert is_served(context.port, context.routes.ordinary), context.log()[
        -2000:
    ]


@then('the descriptors that the crowd took are free again')
def then_free(context):
    most = context.descriptors_before + _KEPT_DESCRIPTORS
    end = time.monotonic() + _FREE_SECONDS
    while open_descriptors(context.process) > most:
        assert time.monotonic() < end, (
            f'{open_descriptors(context.process)} descriptors, '
            f'{context.descriptors_before} before the crowd'
        )
        time.sleep(0.2)
