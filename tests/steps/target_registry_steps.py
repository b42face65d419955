"""Steps for the registry of targets."""

from dataclasses import dataclass

from behave import given, then, when

from cowsliprack.coordination.relayed_targets import (
    apply_relayed_targets,
    registry_changes,
    stated_version,
)
from cowsliprack.protocol.gateway_messages import LeaderView, MemberReport
from cowsliprack.state.store_version import join_version
from cowsliprack.state.target_registry import TargetRegistry, TargetState
from cowsliprack.transport.target_feed import TargetFeed
from tests.support.routed import target_record


@dataclass
class _Reading:
    specs_by_name: dict
    revision: int
    asked_at: float = 0


def _records(names):
    ids = names.replace(' and', ',').replace(' ', '').split(',')
    return [target_record(name) for name in ids if name != 'none']


def _registry(names, revision, era):
    registry = TargetRegistry()
    if names != 'none':
        registry.replace(_records(names), join_version(era, revision))
    return registry


@given('targets {names} as of revision {revision:d} of era {era:d}')
def given_registry(context, names, revision, era):
    context.registry = _registry(names, revision, era)


@given(
    'a leader that knew targets {names} as of revision {revision:d} of era '
    '{era:d}'
)
def given_leader_registry(context, names, revision, era):
    context.registry = _registry(names, revision, era)


@given(
    'a member that knew targets {names} as of revision {revision:d} of era '
    '{era:d}'
)
def given_member_registry(context, names, revision, era):
    context.member = _registry(names, revision, era)


@when('targets {names} are listed as of revision {revision:d} of era {era:d}')
@when(
    'the leader lists targets {names} as of revision {revision:d} of era '
    '{era:d}'
)
def when_listed(context, names, revision, era):
    context.registry.replace(_records(names), join_version(era, revision))


@when(
    'the leader sees target {name} change as of revision {revision:d} of era '
    '{era:d}'
)
@when('target {name} changes as of revision {revision:d} of era {era:d}')
def when_changed(context, name, revision, era):
    context.registry.apply(_records(name), [], join_version(era, revision))


def _check(registry, names):
    expected = {record.target_id for record in _records(names)}
    assert set(registry.records_by_id) == expected, registry.records_by_id


def _check_ready(registry, names):
    expected = [record.target_id for record in _records(names)]
    ready = [record.target_id for record in registry.ready_targets('s')]
    assert ready == expected, ready


@then('the targets are {names}')
def then_targets(context, names):
    _check(context.registry, names)


@then("the member has the targets {names} after the leader's view")
def then_member(context, names):
    _relay(context)
    _check(context.member, names)


def _member_report(context, states_era=True):
    stated = stated_version(context.member)
    if not states_era:
        stated.pop('registry_era')
    return MemberReport('m', '', 'z', 'boot', 1, 0.0, 0, 0, **stated)


def _relay(context, leader_states=True, member_states=True):
    """Apply a leader's view; an earlier build states no era."""
    report = _member_report(context, states_era=member_states)
    changes = registry_changes(context.registry, report)
    if not leader_states:
        changes.pop('registry_era')
        changes.pop('targets_complete')
    view = LeaderView(1, 1, 'leader', '', **changes)
    return apply_relayed_targets(context.member, view)


@then(
    'the member has the targets {names} after the view of a leader that states '
    'no era'
)
def then_member_of_earlier_leader(context, names):
    assert _relay(context, leader_states=False)
    _check(context.member, names)


@then('a member that states no era has the targets {names}')
def then_earlier_member(context, names):
    assert _relay(context, member_states=False)
    _check(context.member, names)


@when('target {name} drains as of revision {revision:d} of era {era:d}')
def when_drains(context, name, revision, era):
    record = target_record(name, state=TargetState.draining)
    context.registry.apply([record], [], join_version(era, revision))


@when('target {name} says in an answer that it is about to end')
def when_says_leaving(context, name):
    assert context.registry.mark_leaving(name)
    assert not context.registry.mark_leaving(name)


@when('target {name} is removed as of revision {revision:d} of era {era:d}')
def when_removed(context, name, revision, era):
    context.registry.apply([], [name], join_version(era, revision))


@when(
    'a new process of a and target b are listed as of revision {revision:d} '
    'of era {era:d}',
)
def when_new_process(context, revision, era):
    records = [target_record('a', born=2), target_record('b')]
    context.registry.replace(records, join_version(era, revision))


@when('targets a and b are listed in era 2 and a writes its entry again')
def when_written_again(context):
    context.registry.replace(_records('a and b'), join_version(2, 30))
    context.registry.apply(_records('a'), [], join_version(2, 31))


@when('targets a and b are listed in era 2 for {seconds:d} seconds')
def when_listed_for(context, seconds):
    now = [0.0]
    feed = TargetFeed(
        context.registry,
        lambda name, _spec: target_record(name),
        lambda: None,
        lambda: now[0],
    )
    specs = {'a': {'service': 's'}, 'b': {'service': 's'}}
    for now[0] in (0.0, seconds / 2):
        feed.apply_reading(_Reading(specs, join_version(2, 30)), True)
        _check_ready(context.registry, 'b')
    now[0] = float(seconds)
    feed.apply_reading(_Reading({}, join_version(2, 30)), False)


@then('the targets that get requests are {names}')
def then_ready(context, names):
    _check_ready(context.registry, names)


@then('the member reports at once after each of 2 equal views: {answers}')
def then_reports(context, answers):
    feed = TargetFeed(
        context.member, lambda *_: None, lambda: None, lambda: 0.0
    )
    reports = []
    for _ in range(2):
        report = _member_report(context)
        changes = registry_changes(context.registry, report)
        view = LeaderView(1, 1, 'leader', '', **changes)
        reports.append('yes' if feed.apply_view(view) else 'no')
    assert ', '.join(reports) == answers, reports
