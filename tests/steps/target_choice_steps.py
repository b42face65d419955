"""Steps for the memory of targets."""

from behave import given, then, when

from cowsliprack.coordination.target_choice import TargetChoice


@given('requests were served by targets t1 to t{count:d}')
def given_served(context, count):
    context.choice = TargetChoice('z')
    for number in range(1, count + 1):
        name = f't{number}'
        context.choice.start(name, 'm', '', 0.0)
        context.choice.succeed(name, 0.1)
        context.choice.end(name, 'm', '')
        context.choice.take_told({name: 0})


@given('a request runs at target {name:w}')
def given_runs(context, name):
    context.choice = TargetChoice('z')
    context.choice.start(name, 'm', '', 0.0)
    context.running_at = name


@when('only target {name:w} is left')
def when_left(context, name):
    context.choice.forget([name])


@when('no target is left')
def when_none_left(context):
    context.choice.forget([])


@when('the request has ended and no target is left')
def when_ended(context):
    context.choice.end(context.running_at, 'm', '')
    context.choice.forget([])


@then('target {name:w} runs {count:d} request')
def then_runs(context, name, count):
    assert context.choice.running(name) == count
    (use,) = context.choice.engine_uses(1.0)
    assert use.running_by_name == {'m': count}


@then('{count:d} target is remembered')
def then_remembered(context, count):
    choice = context.choice
    remembered = (
        set(choice.own_by_id)
        | set(choice.told_by_id)
        | set(choice.own_when_told_by_id)
        | set(choice.health_by_id)
    )
    assert len(remembered) == count, remembered
