"""Steps for idle replicas and the weekly usage."""

import json
import random

from behave import given, then, when

from cowsliprack.coordination.forecast import is_preload_worthwhile
from cowsliprack.coordination.idle import (
    Costs,
    UsageHistory,
    has_idle_time_passed,
    idle_costs,
    is_unload_cheaper,
)
from cowsliprack.state.configuration import Deployment, Policy

_HOUR = 3600.0
_DAY = 24 * _HOUR
_WEEK = 7 * _DAY
# The epoch began on a Thursday.
_FRIDAY = _DAY


@given('a deployment that loads in {load:g} seconds and is idle after {idle:g}')
def given_deployment(context, load, idle):
    context.deployment = Deployment(
        'm1', 'model', '1', 1, 40, 'pool', load_seconds=load, idle_seconds=idle
    )
    context.usage = UsageHistory()
    context.policy = Policy()


@given('it was used with gaps of {gaps} seconds')
def given_gaps(context, gaps):
    now = 0.0
    context.usage.record_use('m1', now)
    for gap in gaps.replace('none', '').split():
        now += float(gap)
        context.usage.record_use('m1', now)


@given('the policy weighs cold starts {cold:g} and idle time {idle:g}')
def given_policy(context, cold, idle):
    context.policy = Policy(cold_start_weight=cold, idle_weight=idle)


def _costs(context):
    return idle_costs(context.deployment, context.policy, 1)


@then('after {idle:g} idle seconds it is {fate:w}')
def then_fate(context, idle, fate):
    replica = context.usage.idle_replica(
        context.deployment, idle, _costs(context)
    )
    assert is_unload_cheaper(replica) == (fate == 'unloaded')


@given('it was used on {weeks:d} Fridays in a row at 15:20')
def given_fridays(context, weeks):
    context.weeks = weeks
    for hour in range(weeks * 168):
        wall_time = hour * _HOUR
        context.usage.weekly.advance(wall_time)
        if wall_time % _WEEK == _FRIDAY + 15 * _HOUR:
            context.usage.record_use('m1', wall_time + 1200)


@when('the usage history is stored and read by another leader')
def when_stored(context):
    body = json.loads(json.dumps(context.usage.dump()))
    context.usage = UsageHistory()
    context.usage.load(body)


@then('on the next {day:w} at 14:59 it is {fate}')
def then_preloaded(context, day, fate):
    start = context.weeks * _WEEK + (_FRIDAY if day == 'Friday' else 0)
    soon = start + 14 * _HOUR + 59 * 60 + 120
    probability = context.usage.weekly.usage_probabilities(soon).get('m1', 0)
    expected = fate == 'preloaded'
    assert (
        is_preload_worthwhile(probability, _with_replica_share(_costs(context)))
        == expected
    ), probability


def _with_replica_share(costs):
    # The replica takes two fifths of one accelerator.
    return Costs(costs.idle * 0.4, costs.cold_start)


@then('over random uses the idle rule costs less than a fixed idle time')
def then_cheaper(context):
    costs = idle_costs(
        Deployment('m1', 'm', '1', 1, 1, 'p', load_seconds=20), Policy(), 1
    )
    rule_cost = _simulate(is_unload_cheaper, costs)
    fixed_cost = _simulate(has_idle_time_passed, costs)
    assert rule_cost < fixed_cost, (rule_cost, fixed_cost)


def _simulate(rule, costs):
    """Return the total cost of a rule over uses with long-tailed gaps."""
    source = random.Random(7)
    usage = UsageHistory()
    deployment = Deployment('m1', 'm', '1', 1, 1, 'p', load_seconds=20)
    cost = 0.0
    now = 0.0
    for _ in range(300):
        gap = source.lognormvariate(6, 1.5)
        usage.record_use('m1', now)
        idle = 0.0
        while idle < gap and not rule(
            usage.idle_replica(deployment, idle, costs)
        ):
            idle += 5
        cost += min(idle, gap) * costs.idle
        cost += costs.cold_start if idle < gap else 0
        now += gap
    return cost
