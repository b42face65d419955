"""Steps for allowances."""

import itertools

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from cowsliprack.coordination.allowance import (
    AllowanceRecord,
    AllowanceTracker,
    revise_rows,
    shard_of,
    split_replicas,
)
from cowsliprack.state.configuration import (
    Configuration,
    Deployment,
    Target,
    TargetKind,
)

_SHARD = shard_of('m1')
_ZONES = ('a', 'b', 'c')
# Zones that have a target of the pool, by generation modulo their number.
_POOL_ZONES_BY_GENERATION = ('abc', 'ab', 'c', 'bc', 'a')
_REPLICAS = 2


def _configuration(generation, zones):
    deployment = Deployment('m1', 'model', '1', _REPLICAS, 1, 'pool')
    return Configuration(
        generation=generation,
        zones=_ZONES,
        deployments_by_name={'m1': deployment},
        targets_by_id={
            zone: Target(zone, TargetKind.engine, zone, zone, 'pool')
            for zone in zones
        },
    )


def _rows(text):
    if text == 'none':
        return None
    pairs = (entry.split('=') for entry in text.split())
    return {zone: int(count) for zone, count in pairs}


@then(
    'the split of {count:d} replicas of m1 among {zones} is complete, even'
    ' and independent of order'
)
def then_split(context, count, zones):
    names = zones.split(',')
    splits = [
        split_replicas('m1', count, order)
        for order in itertools.permutations(names)
    ]
    assert sum(splits[0].values()) == count
    assert all(split == splits[0] for split in splits)
    assert max(splits[0].values()) - min(splits[0].values()) <= 1


@then(
    'zone a with {occupied:d} loaded revises "{rows}" for "{split}"'
    ' to "{revised}"'
)
def then_revised(context, occupied, rows, split, revised):
    actual = revise_rows(_rows(rows), _rows(split), 'a', occupied)
    assert actual == _rows(revised), actual


@given('a record of m1 written under generation 2')
def given_record(context):
    context.record = AllowanceRecord(2, {'m1': {'a': 2}})


def _revise(context, generation):
    tracker = AllowanceTracker('a')
    tracker.set_configuration(_configuration(generation, 'bc'))
    return tracker.revise(_SHARD, context.record, {})


@then('zone a under generation 1 leaves the record unchanged')
def then_unchanged(context):
    assert _revise(context, 1) is None


@then('zone a under generation 3 moves the allowance')
def then_moved(context):
    assert _revise(context, 3).rows_by_deployment == {'m1': {'b': 1, 'c': 1}}


class _Zones:
    """Simulated zones that load, unload, reconfigure and revise the record."""

    def __init__(self):
        self.generation = 1
        self.record = AllowanceRecord(0, {})
        self.trackers = {zone: AllowanceTracker(zone) for zone in _ZONES}
        self.loaded = dict.fromkeys(_ZONES, 0)
        for zone in _ZONES:
            self.learn(zone)

    def learn(self, zone):
        zones = _POOL_ZONES_BY_GENERATION[
            self.generation % len(_POOL_ZONES_BY_GENERATION)
        ]
        configuration = _configuration(self.generation, zones)
        self.trackers[zone].set_configuration(configuration)

    def change(self, zone):
        self.generation += 1
        self.learn(zone)

    def load(self, zone):
        deployment = _configuration(1, 'a').deployments_by_name['m1']
        if self.loaded[zone] < self.trackers[zone].allowed(deployment):
            self.loaded[zone] += 1

    def unload(self, zone):
        self.loaded[zone] = max(0, self.loaded[zone] - 1)

    def revise(self, zone, fault='ok'):
        tracker = self.trackers[zone]
        tracker.apply_record(_SHARD, self.record)
        occupied = {'m1': self.loaded[zone]}
        revised = tracker.revise(_SHARD, self.record, occupied)
        if revised is None:
            return
        tracker.lower_own_rows(_SHARD, revised)
        if fault != 'lost':
            self.record = revised
        if fault == 'ok':
            tracker.apply_record(_SHARD, revised)

    def lose(self, zone):
        self.revise(zone, 'lost')

    def revise_unanswered(self, zone):
        self.revise(zone, 'unanswered')


_STEPS = (
    _Zones.learn,
    _Zones.change,
    _Zones.load,
    _Zones.load,
    _Zones.unload,
    _Zones.revise,
    _Zones.revise,
    _Zones.lose,
    _Zones.revise_unanswered,
)


@when('the zones act: {steps}')
def when_act(context, steps):
    if 'zones' not in context:
        context.zones = _Zones()
    for step in steps.split(', '):
        zone, name = step.split()
        getattr(context.zones, name)(zone)


@then('the zones have loaded {count:d} replicas in total')
def then_loaded(context, count):
    assert sum(context.zones.loaded.values()) == count, context.zones.loaded


@then('the zones together never load more than the configured replicas')
def then_never_more(context):
    _random_moves()


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@drawn(
    st.lists(
        st.tuples(st.sampled_from(_STEPS), st.sampled_from(_ZONES)),
        max_size=60,
    )
)
def _random_moves(steps):
    zones = _Zones()
    for step, zone in steps:
        step(zones, zone)
        assert sum(zones.loaded.values()) <= _REPLICAS, zones.loaded
