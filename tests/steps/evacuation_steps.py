"""Steps for evacuated zones before real instances."""

import itertools
import time

from behave import given, then, when

from tests.support.gateway_cluster import KEY, GatewayCluster, request

_ids = itertools.count(1)
_GATEWAYS = ('g1', 'g2')
_LOOKUPS = 6


def _send(cluster, gateway, method, path, headers=()):
    """Return the id and the status of a new request."""
    request_id = f'evacuation-{next(_ids)}'
    sent = [
        ('X-Attempt-Id', request_id),
        ('X-Deadline-Ms', '1500'),
        ('X-Key', KEY),
        *headers,
    ]
    body = b'{}' if method == 'POST' else b''
    port = cluster.ports[gateway]['front']
    status = request(port, method, path, sent, body)[0]
    return request_id, status


def _lookups(cluster):
    """Send lookups at both gateways; return how many each service ran."""
    sent = [
        _send(cluster, gateway, 'GET', '/stock/1')[0]
        for gateway in _GATEWAYS
        for _ in range(_LOOKUPS)
    ]
    return [
        len(set(cluster.engines[name].executed_ids).intersection(sent))
        for name in ('s1', 's2')
    ]


def _model_statuses(cluster):
    headers = (
        ('X-Model', 'm0'),
        ('X-Token-Count', '20,20'),
        ('X-Prompt-Prefix', 'ab:10,cd:10'),
    )
    return [
        _send(cluster, gateway, 'POST', '/chat/x', headers)[1]
        for gateway in _GATEWAYS
    ]


@given('two gateways that keep from evacuated zones, with {name:w} in zone-b')
def given_evacuating(context, name):
    cluster = GatewayCluster()
    context.cluster = cluster
    context.add_cleanup(cluster.close)
    cluster.settings_lines = ('bounds.evac_ms=5000',)
    cluster.engines[name].zone = 'zone-b'
    cluster.call(cluster.engines[name].register)
    for gateway in _GATEWAYS:
        cluster.start(gateway)


@when('zone-a is evacuated')
def when_zone_evacuated(context):
    cluster = context.cluster
    cluster.call(cluster.platform.put, 'evacuations', 'zone-a', {})


@when('the evacuation of zone-a is withdrawn')
def when_zone_returned(context):
    cluster = context.cluster
    cluster.call(cluster.platform.put, 'evacuations', 'zone-a', None)


@then('within {seconds:d} s lookups at both gateways reach s1 only')
def then_s1_only(context, seconds):
    end = time.monotonic() + seconds
    while _lookups(context.cluster)[1]:
        assert time.monotonic() < end, 'the evacuated zone is still used'
    for _ in range(3):
        found = _lookups(context.cluster)
        assert found == [2 * _LOOKUPS, 0], found


@then('within {seconds:d} s lookups at both gateways reach s2 as well')
def then_s2_too(context, seconds):
    end = time.monotonic() + seconds
    while not _lookups(context.cluster)[1]:
        assert time.monotonic() < end, 'the zone is not used again'


@then('requests for a model of zone-a are rejected as not run')
def then_model_rejected(context):
    statuses = _model_statuses(context.cluster)
    assert statuses == [503, 503], statuses


@then('requests for a model of zone-a are answered')
def then_model_answered(context):
    statuses = _model_statuses(context.cluster)
    assert statuses == [200, 200], statuses
