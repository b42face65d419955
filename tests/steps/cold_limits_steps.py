"""Steps for limits of cold targets."""

import math

from behave import given, then, when

from cowsliprack.coordination.target_limits import TargetLimits
from tests.support.cold_world import ColdWorld
from tests.support.limit_world import TARGET

_LAST_SECONDS = 4


@given(
    '{count:d} instances that send {demand:d} requests a second to a target '
    'that is cold for {cold:g} s at {rate:g} a second'
)
def given_cold_world(context, count, demand, cold, rate):
    context.world = ColdWorld(count, demand, rate, cold)


@when('they go on for {seconds:d} s, while {case}')
def when_cold_goes_on(context, seconds, case):
    world = context.world
    if case.startswith('no leader'):
        world.leader_answers = lambda _now: False
    count = int(case.split()[0]) if 'cut off' in case else 0
    if 'at 4 s' in case:
        world.run(4)
        seconds -= 4
    world.cut_off = set(range(count))
    if case.startswith('nothing'):
        arrive = world._arrive
        world._events = [event for event in world._events if event[2] != arrive]
        world._events.sort()
        world._at(6, arrive)
    world.run(seconds)


@then('in no second the cold target gets more than {most:d} requests')
def then_cold_kept(context, most):
    arrivals = context.world.arrivals
    found = max(
        sum(start <= at < start + 1 for at in arrivals) for start in arrivals
    )
    assert found <= most, found


@then('it gets at least {rate:g} requests a second')
def then_cold_used(context, rate):
    arrivals = context.world.arrivals
    seconds = context.world.now - arrivals[0]
    assert len(arrivals) >= rate * seconds, (len(arrivals), seconds)


@then('no instance knows a cold target')
def then_none_cold(context):
    world = context.world
    known = [limits.cold.count(world.now) for limits in world.limits]
    assert not any(known), known


@then('the last 4 s have at least {rate:d} requests a second')
def then_last_seconds(context, rate):
    world = context.world
    since = world.now - _LAST_SECONDS
    late = sum(at >= since for at in world.arrivals)
    assert late >= rate * _LAST_SECONDS, late


@given(
    'an instance and a target that takes {rate:g} requests a second while it '
    'is cold'
)
def given_cold_instance(context, rate):
    context.limits = TargetLimits()
    context.cold_rate = rate


@when(
    'it learns that the target is cold for {first:g} s, and after 1 s for '
    '{second:g} s'
)
def when_cold_learned(context, first, second):
    cold = context.limits.cold
    cold.record(TARGET, context.cold_rate, first, 0.0)
    cold.record(TARGET, context.cold_rate, second, 1.0)


@when('an answer names a limit of {rate:g} requests a second')
def when_cold_named(context, rate):
    context.limits.record_answer(TARGET, rate, 1.0)


@then('2 s after the first news the target has {limit}')
def then_cold_limit(context, limit):
    is_limited = math.isfinite(context.limits.rate(TARGET, 2.0))
    assert is_limited == (limit == 'a limit')


@then('the limit of the target is {rate:g} requests a second')
def then_cold_rate(context, rate):
    found = context.limits.rate(TARGET, 2.0)
    assert found == rate, found
