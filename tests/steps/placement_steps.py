"""Steps for the placement of deployments."""

import dataclasses

from behave import given, then, when

from cowsliprack.coordination.placement import (
    CandidateTarget,
    Placement,
    PlacementRequest,
    Refusal,
    ResidentReplica,
    place,
)
from cowsliprack.state.configuration import Deployment, Target, TargetKind


@given(
    'a request at {now:g} for a deployment of {memory:d} megabytes that loads'
    ' in {seconds:g} seconds'
)
def given_request(context, now, memory, seconds):
    deployment = Deployment(
        'new', 'model', '1', 1, memory, 'pool', load_seconds=seconds
    )
    context.request = PlacementRequest(deployment, (), 1, 0, now)
    context.candidates = {}


def _change(context, **changes):
    context.request = dataclasses.replace(context.request, **changes)


@given('a target {name:w} with {free:d} free megabytes')
def given_target(context, name, free):
    target = Target(name, TargetKind.engine, 'a', name, 'pool', 100)
    context.candidates[name] = CandidateTarget(target, free)


def _add_resident(context, name, resident):
    candidate = context.candidates[name]
    context.candidates[name] = dataclasses.replace(
        candidate, residents=(*candidate.residents, resident)
    )


@given(
    '{name:w} holds {other:w} with {memory:d} megabytes, last used at'
    ' {used:g}, which is {state:w}'
)
def given_resident(context, name, other, memory, used, state):
    resident = ResidentReplica(other, memory, used, 5, state == 'evictable')
    _add_resident(context, name, resident)


@given('{adapter:w} depends on {base:w}')
def given_dependents(context, adapter, base):
    candidate = context.candidates['e1']
    residents = tuple(
        dataclasses.replace(entry, dependents=frozenset((adapter,)))
        if entry.deployment == base
        else entry
        for entry in candidate.residents
    )
    context.candidates['e1'] = dataclasses.replace(
        candidate, residents=residents
    )


@given('the deployment is an adapter on a base of {memory:d} megabytes')
def given_adapter(context, memory):
    base = Deployment('base', 'model', '1', 1, memory, 'pool')
    _change(context, base=base)


@given('the base is {state:w} on {name:w}')
def given_base(context, state, name):
    if state == 'loaded':
        _add_resident(context, name, ResidentReplica('base', 30, 10, 5, True))


@given('{count:d} replicas of the base may still be loaded')
def given_base_left(context, count):
    _change(context, base_remaining=count)


@given('the allowance is exhausted')
def given_no_allowance(context):
    _change(context, remaining=0)


@given('e1 accepts no orders')
def given_no_orders(context):
    candidate = context.candidates['e1']
    context.candidates['e1'] = dataclasses.replace(
        candidate, accepts_orders=False
    )


@given('the deployment has another pool')
def given_other_pool(context):
    deployment = dataclasses.replace(context.request.deployment, pool='other')
    _change(context, deployment=deployment)


@when('the deployment is placed with a deadline at {deadline:g}')
def when_placed(context, deadline):
    candidates = tuple(context.candidates.values())
    _change(context, candidates=candidates, deadline=deadline)
    context.decision = place(context.request)


def _describe(decision):
    if isinstance(decision, Refusal):
        return 'refused'
    assert isinstance(decision, Placement)
    parts = [decision.target_id]
    if decision.evict:
        parts.append(f'evicting {",".join(sorted(decision.evict))}')
    if decision.load_base:
        parts.append('with the base')
    if not decision.in_time:
        parts.append('too late')
    return ' '.join(parts)


@then('the decision is {expected} because of "{reason}"')
def then_decision(context, expected, reason):
    assert _describe(context.decision) == expected, context.decision
    assert context.decision.reason == reason, context.decision
    assert context.decision.inputs


@then('the retry delay is between {low:g} and {high:g} seconds')
def then_retry(context, low, high):
    assert low <= context.decision.retry_after <= high, context.decision
