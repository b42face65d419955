"""Steps for the end of a term in a region."""

import time

import anyio
from behave import given, then, when

from cowsliprack.transport.region import wait_released
from tests.support.region_world import RegionWorld

_LEASE_SECONDS = 1.5
_SETTLE_SECONDS = 1.0
# An order that begins as long before the end of the lease is not timed out.
_LAST_SECONDS = 0.1


@given('two instances, of which g1 leads')
def given_instances(context):
    context.answer_seconds = 0


@given('the engine answers an order after {seconds:g} seconds')
def given_slow_engine(context, seconds):
    context.answer_seconds = seconds


async def _end(world, how):
    if how == 'hand-over':
        world.cut_off.add('g1')
        region = world.regions_by_id['g1']
        await world.until(region.term.should_hand_over)
    else:
        world.tasks.start_soon(world.regions_by_id['g1'].release)


def _run(context, script):
    async def run():
        context.world = RegionWorld(_LEASE_SECONDS)
        context.world.engine.answer_seconds = context.answer_seconds
        await context.world.run(script)

    anyio.run(run)


@when('the term of g1 ends by a {how} while the engine has read an order')
def when_read(context, how):
    async def script(world):
        await world.until_led()
        world.order('g1', 'm0')
        await world.until(lambda: world.engine.orders)
        await _end(world, how)
        await world.until(lambda: world.store.released_at)
        await anyio.sleep(_SETTLE_SECONDS)

    _run(context, script)


@then(
    'the lease is released at most {seconds:g} seconds after the answer, not '
    'before'
)
def then_released(context, seconds):
    world = context.world
    after = world.store.released_at[0] - world.engine.answered_at[0]
    assert 0 <= after <= seconds, after


@when('the term of g1 ends by a {how} while an order waits for a connection')
def when_connecting(context, how):
    async def script(world):
        await world.until_led()
        term = world.regions_by_id['g1'].term
        gate = anyio.Event()
        world.transport.gate = gate
        world.order('g1', 'm0')
        await world.until(lambda: world.transport.waiting)
        end = term.end

        def end_and_open(reason):
            context.ended_at = time.monotonic()
            end(reason)
            gate.set()

        term.end = end_and_open
        await _end(world, how)
        await anyio.sleep(_SETTLE_SECONDS)

    _run(context, script)


@when('{cause} ends the lease of g1 while an order waits for a connection')
def when_lapsed(context, cause):
    async def script(world):
        region = world.regions_by_id['g1']
        gate = anyio.Event()
        if cause == 'an outage of the store':
            world.store.faults = ['down']
            await world.until(
                lambda: region.lease.held_until() - world.now() < _LAST_SECONDS
            )
        world.transport.gate = gate
        world.order('g1', 'm0')
        await world.until(lambda: world.transport.waiting)
        if cause == 'a suspension':
            world.suspended_seconds = _LEASE_SECONDS
        await world.until(lambda: not region.is_leading())
        gate.set()
        await anyio.sleep(_SETTLE_SECONDS)

    _run(context, script)


@then('the engine gets no order')
def then_no_order(context):
    assert not context.world.engine.orders, context.world.engine.orders


@then('the lease is released within {seconds:g} seconds')
def then_released_soon(context, seconds):
    after = context.world.store.released_at[0] - context.ended_at
    assert after <= seconds, after


@when(
    'the engine reads nothing for {held:g} seconds, and the term of g1 ends by '
    'a {how} {pause:g} seconds after an order'
)
def when_held(context, held, how, pause):
    async def script(world):
        await world.until_led()
        world.order('g1', 'm0')
        await world.until(lambda: world.engine.orders)
        await world.until(lambda: world.is_ready('g1'))
        world.engine.held_until = time.monotonic() + held
        world.order('g1', 'm1')
        await anyio.sleep(pause)
        await _end(world, how)
        await world.until(lambda: world.is_ready('g2'))
        world.order('g2', 'm2')
        await anyio.sleep(_SETTLE_SECONDS)

    _run(context, script)


@then('no holder orders again after another one within the lease')
def then_no_turns(context):
    orders = context.world.engine.orders
    for index, (at, holder, _) in enumerate(orders):
        others_since = [
            (before, other)
            for before, other, _ in orders[:index]
            if at - before < _LEASE_SECONDS
        ]
        own = [before for before, other in others_since if other == holder]
        assert not own or all(
            other == holder
            for before, other in others_since
            if before >= own[0]
        ), orders


@then('both have ordered')
def then_both(context):
    holders = {holder for _, holder, _ in context.world.engine.orders}
    assert holders == {'g1', 'g2'}, context.world.engine.orders


@when(
    'the engine reads nothing for {held:g} seconds, and g1 reaches no engine '
    'from {lost:g} to {regained:g} seconds after an order'
)
def when_silent(context, held, lost, regained):
    async def script(world):
        await world.until_led()
        term = world.regions_by_id['g1'].term
        world.engine.held_until = time.monotonic() + held
        world.order('g1', 'm0')
        await anyio.sleep(lost)
        world.cut_off.add('g1')
        await world.until(lambda: not term.lease_left())
        context.paused_at = time.monotonic()
        await anyio.sleep(regained - lost)
        world.cut_off.remove('g1')
        context.regained_at = time.monotonic()
        await anyio.sleep(_SETTLE_SECONDS)
        context.kept_term = world.regions_by_id['g1'].term is term
        await world.until(lambda: world.is_ready('g1'))
        world.order('g1', 'm1')
        await anyio.sleep(_SETTLE_SECONDS)

    _run(context, script)


@then(
    'g1 still leads with its first term, and gave no order while it reached no '
    'engine'
)
def then_kept(context):
    assert context.kept_term
    assert not context.world.store.released_at
    orders = context.world.engine.orders
    # An order from before the pause may be read when the engine goes on.
    assert all(holder == 'g1' for _, holder, _ in orders), orders


@then('g1 orders again')
def then_orders_again(context):
    orders = context.world.engine.orders
    assert any(at > context.regained_at for at, _, _ in orders), orders


@when(
    'the engine reads nothing for {held:g} seconds, and g1 is told to stop and '
    'ends after an order'
)
def when_stopped(context, held):
    async def script(world):
        await world.until_led()
        region = world.regions_by_id['g1']
        world.engine.held_until = time.monotonic() + held
        world.order('g1', 'm0')
        await anyio.sleep(held / 2)
        await region.release()
        await wait_released(region, 2 * _LEASE_SECONDS)

    _run(context, script)


@then('the lease has been released')
def then_released_once(context):
    assert context.world.store.released_at
