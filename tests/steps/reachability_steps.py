"""Steps for the reachability of the targets of a service."""

import random

from behave import given, then, when

from cowsliprack.coordination.reachability import Reachability
from cowsliprack.coordination.target_selector import TargetSelector
from cowsliprack.state.target_registry import TargetRegistry
from tests.support.routed import target_record

_NOW = 100.0
_SERVICE = 's'


@given('a service with targets t1 to t5')
def given_targets(context):
    registry = TargetRegistry()
    registry.replace(
        [target_record(name) for name in ('t1', 't2', 't3', 't4', 't5')], 1
    )
    context.selector = TargetSelector('z')
    context.reach = Reachability(registry, context.selector, random.Random(1))


@given('nothing has failed')
def given_nothing(context):
    context.selector.start('t1', '', '', _NOW)


@given('t1 could not be connected')
def given_unreachable(context):
    context.selector.record_unreachable('t1', _NOW - 0.1)


@given('a request to t1 has failed')
def given_failure(context):
    context.selector.record_failure('t1', _NOW - 0.1)


@given('a request to t1 has failed {seconds:d} s ago')
def given_old_failure(context, seconds):
    context.selector.record_failure('t1', _NOW - seconds)


@given('t1 has been silent for {seconds:g} s')
def given_silence(context, seconds):
    context.selector.start('t1', '', '', _NOW - seconds)


@given('no target answered the last checks')
def given_lost(context):
    assert context.reach.record_checks(_SERVICE, set(), _NOW - 1, _NOW - 0.9)


@when('3 targets are checked, of which {count:d} answer, {other}')
def when_checked(context, count, other):
    checked = context.reach.targets_to_check(_SERVICE, _NOW)
    assert len(checked) == 3, checked
    if other == 'while t5 sends a stream':
        context.selector.start('t5', '', '', _NOW - 5)
        context.selector.record_bytes('t5', _NOW + 0.1, _NOW - 5)
    reached = {record.target_id for record in checked[:count]}
    context.reach.record_checks(_SERVICE, reached, _NOW, _NOW + 0.2)


@then('no target counts as unreachable')
def then_usable(context):
    for record in context.reach.registry.ready_targets(_SERVICE):
        assert not context.selector.is_disconnected(record.target_id), record


@then('{count:d} targets are checked')
def then_checked(context, count):
    checked = context.reach.targets_to_check(_SERVICE, _NOW)
    assert len(checked) == count, checked


@then('the service is {state}')
def then_state(context, state):
    assert context.reach.is_cut_off(_SERVICE) == (state == 'lost')
