"""Steps for evacuated availability zones."""

from dataclasses import dataclass, replace

from behave import given, then, when

from cowsliprack.coordination.relayed_targets import registry_changes
from cowsliprack.protocol.gateway_messages import LeaderView, MemberReport
from cowsliprack.protocol.message_level import new_process_id
from cowsliprack.state.store_version import join_version
from cowsliprack.state.target_registry import TargetRegistry, TargetState
from cowsliprack.transport.evacuation_feed import EvacuationFeed
from tests.support.routed import target_record


@dataclass
class _Reading:
    specs_by_name: dict
    revision: int
    asked_at: float = 0


def _feed(context):
    registry = TargetRegistry()
    records = [
        replace(target_record(name), zone=zone)
        for name, zone in (
            ('t1', 'zone-a'),
            ('t2', 'zone-a'),
            ('t3', 'zone-b'),
        )
    ]
    registry.replace(records, join_version(0, 1))
    context.taken_back = []
    context.changes = 0
    return EvacuationFeed(
        registry,
        lambda record: context.taken_back.append(record.target_id),
        lambda: None,
    )


def _usable(registry):
    service = registry.records_by_id['t1'].service
    return [record.target_id for record in registry.ready_targets(service)]


def _names(text):
    return text.replace(' and', ',').replace(' ', '').split(',')


@given('targets t1 and t2 in zone-a and t3 in zone-b')
def given_zoned_targets(context):
    context.feed = _feed(context)
    context.registry = context.feed.registry


@given('the evacuations are listed as {zones} as of revision {revision:d}')
def given_evacuations(context, zones, revision):
    specs = {} if zones == 'none' else {zones: {}}
    reading = _Reading(specs, join_version(0, revision))
    context.feed.apply_reading(reading, whole=True)


@when('{zone:w}-{letter:w} is evacuated as of revision {revision:d}')
def when_evacuated(context, zone, letter, revision):
    _evacuate(context, f'{zone}-{letter}', revision)


@when('{zone}-a is evacuated as of revision {revision:d} of era {era:d}')
def when_evacuated_in_era(context, zone, revision, era):
    _evacuate(context, f'{zone}-a', revision, era)


@when('zone-a is evacuated, and taken back as of revision {revision:d}')
def when_evacuated_and_back(context, revision):
    _evacuate(context, 'zone-a', revision - 1)
    when_taken_back(context, revision)


@when('zone-a is taken back as of revision {revision:d}')
def when_taken_back(context, revision):
    reading = _Reading({'zone-a': None}, join_version(0, revision))
    context.feed.apply_reading(reading, whole=False)


def _evacuate(context, zone, revision, era=0):
    reading = _Reading({zone: {}}, join_version(era, revision))
    context.feed.apply_reading(reading, whole=False)


@when(
    'a leader with these evacuations sends its view to a member of level '
    '{level:d}'
)
def when_relayed(context, level):
    context.member = _feed(context)
    _relay(context, level)


@when(
    'a leader with these evacuations sends its view to a member of level '
    '{level:d}, which has read zone-a as of revision {revision:d}'
)
def when_relayed_older(context, level, revision):
    context.member = _feed(context)
    reading = _Reading({'zone-a': {}}, join_version(0, revision))
    context.member.apply_reading(reading, whole=True)
    _relay(context, level)


def _relay(context, level):
    report = MemberReport(
        'm', 'm:1', 'zone-b', new_process_id(level), 1, 0.0, 0, 0
    )
    fields = registry_changes(context.feed.registry, report)
    context.member.apply_view(LeaderView(1, 1, 'l', 'l:1', **fields))


@when('t1 begins to drain')
def when_t1_drains(context):
    registry = context.feed.registry
    record = replace(registry.records_by_id['t1'], state=TargetState.draining)
    registry.apply([record], [], join_version(0, 9))


@then('the targets of the member that get requests are {names}')
def then_member_targets(context, names):
    found = _usable(context.member.registry)
    assert found == _names(names), found


@then('t1 and t2 were reported as taken back')
def then_taken_back(context):
    assert context.taken_back == ['t1', 't2'], context.taken_back


@then('no draining target may be used')
def then_no_draining(context):
    registry = context.feed.registry
    service = registry.records_by_id['t1'].service
    assert not registry.draining_targets(service)
