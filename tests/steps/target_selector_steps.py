"""Steps for the load and health of targets at an instance."""

from behave import given, then, when

from cowsliprack.coordination.target_selector import TargetSelector
from tests.support.routed import target_record

_RECORD = target_record('t1')


@given('requests were served by targets t1 to t{count:d}')
def given_served(context, count):
    context.choice = TargetSelector('z')
    for number in range(1, count + 1):
        name = f't{number}'
        context.choice.start(name, 'm', '', 0.0)
        context.choice.record_success(name, 0.1)
        context.choice.end(name, 'm', '')
        context.choice.update_reported({name: 0})


@given('a request runs at target {name:w}')
def given_runs(context, name):
    context.choice = TargetSelector('z')
    context.choice.start(name, 'm', '', 0.0)
    context.running_at = name


@when('only target {name:w} is left')
def when_left(context, name):
    context.choice.prune([name])


@when('no target is left')
def when_none_left(context):
    context.choice.prune([])


@when('the request has ended and no target is left')
def when_ended(context):
    context.choice.end(context.running_at, 'm', '')
    context.choice.prune([])


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
        | set(choice.reported_by_id)
        | set(choice.own_at_report_by_id)
        | set(choice.health_by_id)
    )
    assert len(remembered) == count, remembered


@given('a connection to t1 has failed')
def given_failed(context):
    context.now = 0.0
    context.choice = TargetSelector('z')
    context.choice.start('t1', 'm', '', 0.0)
    context.choice.end('t1', 'm', '')
    context.choice.record_unreachable('t1', 0.0)


@when('{seconds:g} seconds have passed')
def when_passed(context, seconds):
    context.now = seconds


@when('t1 has responded')
def when_responded(context):
    context.choice.record_bytes('t1', context.now)


@then('t1 is not selected')
def then_not_selected(context):
    assert context.choice.choose([_RECORD], context.now) is None


@then('t1 is selected')
def then_selected(context):
    assert context.choice.choose([_RECORD], context.now) is _RECORD


@then('t1 is reported as silent for {seconds:g} seconds after that time')
def then_silent(context, seconds):
    (use,) = context.choice.engine_uses(seconds)
    assert use.target_id == 't1'
    assert use.silence == seconds, use


@then('t1 is not reported')
def then_not_reported(context):
    assert not context.choice.engine_uses(context.now)


@given('target t1 runs nothing and has named a limit')
def given_limited(context):
    context.choice = TargetSelector('z')
    context.choice.limits.record_answer('t1', 5.0, 0.0)


@given('target t2 runs {count:d} requests')
def given_busy(context, count):
    context.choice.update_reported({'t2': count})


@then('{name:w} is chosen')
@then('{name:w} is chosen after {seconds:g} seconds')
def then_chosen(context, name, seconds=0.5):
    records = [target_record('t1'), target_record('t2')]
    assert context.choice.choose(records, seconds).target_id == name
