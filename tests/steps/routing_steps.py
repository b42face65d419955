"""Steps for target selection."""

import random
from collections import Counter

from behave import given, then, when

from cowsliprack.coordination.routing import RoutingQuery, choose_target
from cowsliprack.state.fleet import TargetState, TargetStatus


def _parse_candidate(text):
    location, load, *attributes = text.split()
    target_id, zone = location.split('@')
    running, slots = load.split('/')
    status = TargetStatus(
        target_id, zone, int(slots), reported_running=int(running)
    )
    for attribute_text in attributes:
        name, _, amount = attribute_text.partition('=')
        if name in {'leaving', 'crashed'}:
            status.state = TargetState(name)
        elif name == 'prefix':
            status.prefix_digests.add('p')
        else:
            field_name = {'sent': 'sent_since_report'}.get(name, name)
            setattr(status, field_name, int(amount))
    return status


def _parse_query(text):
    name, _, setting = text.partition('=')
    names = frozenset((setting,))
    if name in {'distance', 'limit'}:
        field_name = {'distance': 'zone_distance', 'limit': 'load_limit'}[name]
        return RoutingQuery(zone='a', **{field_name: float(setting)})
    changes = {
        '': {},
        'excluded': {'excluded': names},
        'suspect': {'suspect': True, 'suspect_targets': names},
        'prefix': {'prefix_digest': 'p'},
        'affine': {'affine_targets': names},
    }
    return RoutingQuery(zone='a', **changes[name])


@given('the routing candidates "{candidates}"')
def given_candidates(context, candidates):
    context.candidates = [
        _parse_candidate(text) for text in candidates.split(', ')
    ]


@when('{count:d} requests are routed with "{query}"')
def when_routed(context, count, query):
    rng = random.Random(7)
    context.decisions = [
        choose_target(context.candidates, _parse_query(query), rng)
        for _ in range(count)
    ]


@when('{count:d} requests are routed with ""')
def when_routed_plainly(context, count):
    when_routed(context, count, '')


@then('only the targets "{chosen}" are chosen because of "{reason}"')
def then_chosen(context, chosen, reason):
    seen = {
        ('none', 'none')
        if decision is None
        else (decision.target_id, decision.reason)
        for decision in context.decisions
    }
    assert seen == {(chosen, reason)}, seen


@then('no target gets more than {limit:d} of them')
def then_spread(context, limit):
    counts = Counter(decision.target_id for decision in context.decisions)
    assert max(counts.values()) <= limit, counts
