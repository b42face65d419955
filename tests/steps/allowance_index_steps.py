"""Steps for the index of allowance records."""

from unittest import mock

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from cowsliprack.coordination import allowance
from cowsliprack.coordination.allowance import (
    AllowanceRecord,
    AllowanceTracker,
    shard_of,
    split_replicas,
    zones_by_pool,
)
from cowsliprack.state.configuration import (
    Configuration,
    Deployment,
    Target,
    TargetKind,
)

_NAMES = [f'd{index}' for index in range(5)]
_ZONES = 'abc'
_COUNTS = st.integers(0, 2)
_ROWS = st.dictionaries(
    st.sampled_from(_NAMES),
    st.dictionaries(st.sampled_from(_ZONES), _COUNTS),
)
_EVENTS = st.one_of(
    st.tuples(
        st.just('configure'),
        st.dictionaries(st.sampled_from(_NAMES), _COUNTS),
        st.sets(st.sampled_from(_ZONES)),
    ),
    st.tuples(st.just('apply_record'), _ROWS, st.none()),
    st.tuples(st.just('lower_own_rows'), _ROWS, st.none()),
)


def _configuration(replicas_by_name, zones):
    deployments = {
        name: Deployment(name, 'm', 'v', count, 1, 'p')
        for name, count in replicas_by_name.items()
    }
    targets = {
        zone: Target(zone, TargetKind.engine, zone, '', 'p') for zone in zones
    }
    return Configuration(1, _ZONES, {}, {}, deployments, {}, targets)


def _by_shard(rows):
    return {
        shard: {
            name: row for name, row in rows.items() if shard_of(name) == shard
        }
        for shard in map(shard_of, _NAMES)
    }


class _FullScan:
    """Reference model without an index; scans all deployments."""

    def __init__(self):
        self.rows = {}
        self.configuration = Configuration()

    def apply_record(self, shard, record):
        other_rows = {
            n: r for n, r in self.rows.items() if shard_of(n) != shard
        }
        self.rows = {**other_rows, **record.rows_by_deployment}

    def lower_own_rows(self, shard, record):
        for name, row in self.rows.items():
            if shard_of(name) == shard:
                written = record.rows_by_deployment.get(name, {}).get('a', 0)
                own = min(row.get('a', 0), written)
                self.rows[name] = {**row, 'a': own}

    def due(self, occupied):
        zones = zones_by_pool(self.configuration).get('p', set())
        deployments = self.configuration.deployments_by_name
        due = set()
        for name in {*deployments, *self.rows}:
            replicas = deployments[name].replicas if name in deployments else 0
            split = split_replicas(name, replicas, zones)
            wanted = split.get('a', 0) if name in deployments else 0
            if name not in self.rows:
                is_due = bool(split)
            else:
                own = self.rows[name].get('a', 0)
                is_due = own < wanted or own > max(
                    wanted, occupied.get(name, 0)
                )
            if is_due:
                due.add(shard_of(name))
        return sorted(due)


@then(
    'random changes of configuration and rows give the due records of a '
    'full scan'
)
def then_agrees(context):
    @settings(derandomize=True, database=None, deadline=None, max_examples=200)
    @for_all(
        st.lists(_EVENTS, max_size=12),
        st.dictionaries(st.sampled_from(_NAMES), _COUNTS),
    )
    def agrees(events, occupied):
        tracker = AllowanceTracker('a')
        full_scan = _FullScan()
        for kind, content, zones in events:
            if kind == 'configure':
                full_scan.configuration = _configuration(content, zones)
                tracker.set_configuration(full_scan.configuration)
                continue
            for shard, rows in _by_shard(content).items():
                record = AllowanceRecord(0, rows)
                getattr(tracker, kind)(shard, record)
                getattr(full_scan, kind)(shard, record)
        assert tracker.due_shards(occupied) == full_scan.due(occupied)

    agrees()


@given('an allowance tracker with one deployment whose rows are {rows}')
def given_one(context, rows):
    context.allowance_tracker = AllowanceTracker('a')
    context.allowance_tracker.set_configuration(
        _configuration({'d0': 3}, _ZONES)
    )
    context.allowance_shard = shard_of('d0')
    if rows == 'written':
        zones = dict.fromkeys(_ZONES, 0)
        wanted = split_replicas('d0', 3, _ZONES)
        record = AllowanceRecord(0, {'d0': zones | wanted})
        context.allowance_tracker.apply_record(context.allowance_shard, record)


@when('this changes: {change}')
def when_changed(context, change):
    tracker = context.allowance_tracker
    shard = context.allowance_shard
    lowered = AllowanceRecord(0, {'d0': {'a': 0}})
    configurations = {
        'the deployment leaves the configuration': ({}, _ZONES),
        'the deployment gets no replica': ({'d0': 0}, _ZONES),
        'all other zones are removed': ({'d0': 3}, 'a'),
    }
    if change in configurations:
        tracker.set_configuration(_configuration(*configurations[change]))
    elif change == 'the own row is lowered':
        tracker.lower_own_rows(shard, lowered)
    elif change == 'the record is lost':
        tracker.apply_record(shard, AllowanceRecord(0, {}))


@then('its record is {outcome}')
def then_record_is(context, outcome):
    due = context.allowance_tracker.due_shards({})
    expected = [context.allowance_shard] if outcome == 'due' else []
    assert due == expected, due


@given('an allowance tracker with {count:d} deployments and written rows')
def given_book(context, count):
    names = [f'n{index}' for index in range(count)]
    context.allowance_tracker = AllowanceTracker('a')
    context.allowance_tracker.set_configuration(
        _configuration(dict.fromkeys(names, 1), _ZONES)
    )
    for shard in range(allowance.SHARD_COUNT):
        empty = AllowanceRecord(0, {})
        revised = context.allowance_tracker.revise(shard, empty, {})
        context.allowance_tracker.apply_record(shard, revised)


@when('the due records are asked for {count:d} times')
def when_asked(context, count):
    with mock.patch.object(allowance, 'rank_zones') as ranked:
        context.due_lists = [
            context.allowance_tracker.due_shards({}) for _ in range(count)
        ]
    context.ranked = ranked


@then('no record is due and no zone is ranked')
def then_none(context):
    assert not any(context.due_lists), context.due_lists
    assert not context.ranked.called
