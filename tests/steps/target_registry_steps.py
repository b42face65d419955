"""Steps for the registry of targets."""

from behave import given, then, when

from cowsliprack.coordination.relayed_targets import (
    apply_relayed_targets,
    registry_changes,
)
from cowsliprack.protocol.gateway_messages import LeaderView
from cowsliprack.state.store_version import join_version
from cowsliprack.state.target_registry import TargetRegistry
from tests.support.routed import target_record


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


@when('target {name} changes as of revision {revision:d} of era {era:d}')
def when_changed(context, name, revision, era):
    context.registry.apply(_records(name), [], join_version(era, revision))


def _check(registry, names):
    expected = {record.target_id for record in _records(names)}
    assert set(registry.records_by_id) == expected, registry.records_by_id


@then('the targets are {names}')
def then_targets(context, names):
    _check(context.registry, names)


@then("the member has the targets {names} after the leader's view")
def then_member(context, names):
    changes = registry_changes(context.registry, context.member.revision)
    view = LeaderView(1, 1, 'leader', '', **changes)
    apply_relayed_targets(context.member, view)
    _check(context.member, names)
