"""Steps for terms of real gateways that end in turn."""

import random
import signal
import time

from behave import given, then, when

from tests.support.gateway_cluster import GatewayCluster
from tests.support.leader_turns import (
    TURNS,
    ModelLoad,
    all_turns,
    end_in_turn,
    newest_order,
    terms,
    wait_for_orders,
)

# Longest time from the end of a term to the next one's first order.
_TURN_SECONDS = 10.0
_SETTLE_SECONDS = 0.5
_MODELS = tuple(f'm{number}' for number in range(8))


@given(
    '{count:d} gateways with a lease of {lease_ms:d} ms, and requests for more '
    'models than fit into the engines'
)
def given_loaded(context, count, lease_ms):
    cluster = GatewayCluster(lease_ms, _MODELS, cuts_store=True)
    context.cluster = cluster
    context.add_cleanup(cluster.close)
    names = [f'g{number}' for number in range(1, count + 1)]
    for name in names:
        cluster.launch(name)
    for name in names:
        cluster.wait_ready(name)
    load = ModelLoad(cluster, random.Random(count))
    context.add_cleanup(load.close)
    assert wait_for_orders(cluster), 'no orders'
    # A process that has just started may have to wait for a lease.
    time.sleep(lease_ms / 1000 + _SETTLE_SECONDS)


@when(
    'each leader is {turn} after its first order, for {seconds:d} seconds in '
    'all, seed {seed:d}'
)
def when_ended_in_turn(context, turn, seconds, seed):
    context.changes = end_in_turn(
        context.cluster, TURNS[turn], random.Random(seed), seconds
    )


@then('no engine got orders of X, of Y and of X within one lease')
def then_no_turns(context):
    cluster = context.cluster
    triples_by_engine = all_turns(cluster)
    assert not any(triples_by_engine.values()), (
        {
            name: triples[0]
            for name, triples in triples_by_engine.items()
            if triples
        },
        {name: terms(cluster, name) for name in cluster.processes},
    )


@then('other gateways followed at least {count:d} times')
def then_changes(context, count):
    assert context.changes >= count, (
        context.changes,
        {name: terms(context.cluster, name) for name in context.cluster.ports},
    )


@when(
    'the leader is cut off until the other one leads, and that one is told to '
    'stop'
)
def when_cut_and_stopped(context):
    cluster = context.cluster
    before = newest_order(cluster)
    context.first = before.holder
    context.second = 'g2' if context.first == 'g1' else 'g1'
    cluster.cut_off(context.first, 'reset')
    assert wait_for_orders(cluster, before, _TURN_SECONDS)
    cluster.end_cut()
    cluster.signal(context.second, signal.SIGTERM)


@then('the first leads again, and each term names the lease that it replaced')
def then_named(context):
    cluster = context.cluster
    end = time.monotonic() + _TURN_SECONDS
    while not terms(cluster, context.first)[2:]:
        assert time.monotonic() < end, cluster.log(context.first)[-2000:]
        time.sleep(0.05)
    first, _, third = terms(cluster, context.first)[:3]
    second = terms(cluster, context.second)[0]
    seen = [
        (begin['previous_fencing'], begin['previous_holder'])
        for begin in (first, second, third)
    ]
    assert seen == [(0, ''), (first['fencing'], ''), (second['fencing'], '')]
    assert first['since_last_term'] is None
    assert second['since_last_term'] is None
    assert 0 < third['since_last_term'] < 2 * _TURN_SECONDS


@then('the first term has ended by {first:w} and the second one by {second:w}')
def then_reasons(context, first, second):
    for name, reason in ((context.first, first), (context.second, second)):
        ended = terms(context.cluster, name)[1]
        assert ended['reason'] == reason, ended
        assert ended['unanswered_orders'] >= 0, ended
