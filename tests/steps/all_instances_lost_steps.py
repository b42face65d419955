"""Steps for what a region knows after a loss of all instances."""

import json

import anyio
from behave import given, then, when

from cowsliprack.coordination.known_weight_store import (
    KnownWeightStore,
    WeightStoreRecord,
)
from tests.support.region_world import SERVICE, RegionWorld

_LEASE_SECONDS = 1.5
_LEASE_KEY = 'leases/r'
_LOADS = 'store_loads'
# Longer than the scenario.
_ANSWER_SECONDS = 30


def _scheduler(world):
    term = world.regions_by_id['g1'].term
    return term.state.schedulers_by_service[SERVICE]


def _cold_loads(world):
    return _scheduler(world).cold_loads


def _recorded(world):
    return world.store.objects_by_key[_LEASE_KEY].body


async def _renew(world):
    attempt = _recorded(world)['attempt']
    await world.until(lambda: _recorded(world)['attempt'] != attempt)


async def _start_after_loss(world, changed_fields):
    for instance_id in list(world.regions_by_id):
        world.kill(instance_id)
    _recorded(world).update(changed_fields)
    await world.start('g1')
    await world.until(lambda: world.is_ready('g1'))


def _run(context, script):
    async def run():
        await RegionWorld(_LEASE_SECONDS).run(script)

    anyio.run(run)
    assert context.limit


@given(
    'a leader that has learned to run {limit:d} loads from the weight store '
    'at once'
)
def given_limit(context, limit):
    context.learned = limit


@when('all instances are lost, and one starts again and leads')
def when_lost(context):
    context.changed_fields = {}
    when_lost_with_fields(context)


@given('the lease has the store limits {limits}')
def given_fields(context, limits):
    context.changed_fields = {'store_limits': json.loads(limits)}


@when('all are lost after that, and one starts again and leads')
def when_lost_with_fields(context):
    async def script(world):
        await world.until_led()
        _cold_loads(world).store_limit = context.learned
        # The second renewal names what the view after the first one told.
        await _renew(world)
        await _renew(world)
        await _start_after_loss(world, context.changed_fields)
        context.limit = _cold_loads(world).store_limit
        context.raised_from = _cold_loads(world).raised_from

    _run(context, script)


@then('it runs {limit:d} loads from the weight store at once')
def then_limit(context, limit):
    assert context.limit == limit, context.limit


@then('it has {origin} this limit')
def then_origin(context, origin):
    # An inherited limit is not raised at once.
    is_inherited = context.raised_from > 0
    assert is_inherited == (origin == 'inherited'), context.raised_from


@when('all instances are lost while the leader has {model:w} loaded')
def when_lost_during_load(context, model):
    async def script(world):
        world.engine.answer_seconds = _ANSWER_SECONDS
        await world.until(lambda: SERVICE in _recorded(world).get(_LOADS, {}))
        context.recorded = [_recorded(world)[_LOADS]]
        for instance_id in list(world.regions_by_id):
            world.kill(instance_id)
        await world.start('g1')
        await world.until(lambda: world.regions_by_id['g1'].term)
        term = world.regions_by_id['g1'].term
        context.earlier_loads = _scheduler(world).earlier_loads
        await _renew(world)
        context.recorded.append(_recorded(world)[_LOADS])
        assert world.regions_by_id['g1'].term is term

    async def run():
        await RegionWorld(_LEASE_SECONDS, [model]).run(script)

    anyio.run(run)


@then('the next leader knows that {model:w} is being loaded')
def then_load_known(context, model):
    assert list(context.earlier_loads) == [model]


@then('the lease names that load before and after')
def then_recorded(context):
    first, second = [one[SERVICE] for one in context.recorded]
    assert list(first) == list(second), context.recorded
    assert min(second.values()) < min(first.values()), context.recorded


@given('a lease with {count:d} loads under way')
def given_many_loads(context, count):
    loads = {(SERVICE, f'model-{number:030}'): 9.5 for number in range(count)}
    context.record = KnownWeightStore({SERVICE: 2}).to_record(loads, 1)


@then('it names the limit and {count:d} loads')
def then_named(context, count):
    fields = context.record.fields()
    loads = fields.get(_LOADS, {SERVICE: {}})
    assert len(loads[SERVICE]) == count, fields
    assert fields['store_limits'] == {SERVICE: 2}


@given('an instance that has had a view with a limit of {limit:d}')
def given_viewed(context, limit):
    context.known = KnownWeightStore()
    context.known.apply_view({SERVICE: limit})


@when('it reads a lease with a limit of {limit:d}')
def when_read(context, limit):
    context.known.inherit(WeightStoreRecord({SERVICE: limit}), 1)


@then('it knows a limit of {limit:d}')
def then_known(context, limit):
    assert context.known.limits == {SERVICE: limit}
