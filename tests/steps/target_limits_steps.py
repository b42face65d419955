"""Steps for limits that targets name."""

from behave import given, then, when

from cowsliprack.coordination.target_limits import TargetLimits
from cowsliprack.protocol.gateway_messages import LimitShare
from tests.support.limit_world import TARGET, LimitWorld


@given('{count:d} instances that send {demand:d} requests a second to a target')
def given_instances(context, count, demand):
    context.world = LimitWorld(count, demand)


@given('the target names a limit of {rate:g} requests a second')
def given_named(context, rate):
    context.world.named = rate


@when('the target names no limit any more')
def when_ended(context):
    context.world.named = None


@when('they go on for {seconds:d} seconds, while {case}')
def when_going_on(context, seconds, case):
    world = context.world
    count = len(world.limits)
    if case.startswith('one instance'):
        others = 0.1 / (count - 1)
        world.weights = lambda number, _now: others if number else 0.9
    if case.startswith('demand moves'):
        world.weights = lambda number, now: (
            20 if int(now) // 2 % count == number else 1
        )
    if case.startswith('the leader'):
        world.leader_answers = lambda now: not 8 <= now < 16
    restarts = case.startswith('an instance restarts')
    for second in range(0, seconds, 3):
        if restarts:
            world.restart(second // 3 % count)
        world.run(min(3, seconds - second))


@then(
    'from 3 seconds on the target gets at most one and a half times its limit '
    'and 5 in any 4 seconds'
)
def then_kept(context):
    world = context.world
    late = [at for at in world.arrivals if at >= 3]
    allowed = 1.5 * world.named * 4 + 5
    most = max(
        (sum(start <= at < start + 4 for at in late) for start in late),
        default=0,
    )
    assert most <= allowed, (most, allowed)


@then('at least half of its limit is used')
def then_used(context):
    world = context.world
    used = sum(at >= 3 for at in world.arrivals) / (world.now - 3)
    assert used >= world.named / 2, used


@then('no instance knows a limit')
def then_no_limit(context):
    world = context.world
    known = [limits.limited([TARGET], world.now) for limits in world.limits]
    assert not any(known), known


@given('an instance that was told a limit of {rate:d} requests a second')
def given_told(context, rate):
    context.limits = TargetLimits()
    context.limits.record_answer(TARGET, rate, 0.0)


@given('{count:d} requests of it wait for their turn')
def given_waiting(context, count):
    context.limits.waiting_by_id[TARGET] = count


@when('it is told that the limit has ended')
def when_told_end(context):
    context.limits.record_answer(TARGET, None, 0.1)


@when(
    'the leader repeats the limit of {rate:d} requests a second, {age:g} '
    'seconds old'
)
def when_repeated(context, rate, age):
    share = LimitShare(TARGET, rate, rate, age)
    context.limits.apply_division([share], 1, 0.2)


@then('it knows no limit')
def then_knows_none(context):
    assert not context.limits.limited([TARGET], 0.2)


@then('it sends nothing for {seconds:d} seconds')
def then_nothing(context, seconds):
    assert context.limits.seconds_until_free(TARGET, float(seconds)) > 0


@then('it may send a request after {seconds:d} seconds')
def then_may_send(context, seconds):
    assert context.limits.seconds_until_free(TARGET, float(seconds)) == 0


@then('another request would wait for {seconds:g} seconds')
def then_wait(context, seconds):
    found = context.limits.seconds_of_queue([TARGET], 0.0)
    assert found == seconds, found
