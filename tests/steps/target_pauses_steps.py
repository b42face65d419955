"""Steps for times in which targets want no requests."""

from behave import given, then, when

from cowsliprack.coordination.target_pauses import TargetPauses
from tests.support.routed import target_record

_NOW = 50.0


@given('target t1 with {slots:d} slots')
def given_target(context, slots):
    context.record = target_record('t1', slots=slots)
    context.pauses = TargetPauses()


@given(
    'target t1 with {slots:d} slots, brittle at {rate:d} rejections a second'
)
def given_brittle(context, slots, rate):
    given_target(context, slots)
    context.pauses.record_answer('t1', float(rate), _NOW)


@when('t1 turns a request away and names {seconds:d} s')
def when_named(context, seconds):
    context.pauses.record_rejection('t1', seconds, 1, _NOW)


@when('t1 turns a request away from one of {count:d} instances')
def when_rejected(context, count):
    context.pauses.record_rejection('t1', 0, count, _NOW)


@when('an answer of t1 does not say that it is brittle')
def when_sound(context):
    context.pauses.record_answer('t1', None, _NOW)


def _may_send(context, running, seconds):
    return context.pauses.may_send(context.record, running, _NOW + seconds)


@then('t1 is {state:w} after {seconds:g} s')
def then_after(context, state, seconds):
    assert _may_send(context, 0, seconds) == (state == 'usable')


@then('t1 is {state:w} with {running:d} requests')
def then_running(context, state, running):
    assert _may_send(context, running, 0) == (state == 'usable')
