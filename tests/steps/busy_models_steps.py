"""Steps for the replicas of busy models: a load replayed without network."""

import math
from collections import Counter
from dataclasses import replace

from behave import given, then, when

from cowsliprack.coordination.model_scheduler import GroupDemand, ModelScheduler
from cowsliprack.coordination.region_state import finish_order
from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.engine_state import EngineState
from cowsliprack.state.routing_table import EngineSpec, ModelSpec
from tests.support.routed import target_record

_STEP_SECONDS = 0.05
# As long as the average of the requests in the replays of tools/bench.
_RUN_SECONDS = 1.5
_BUSY = ('busy0', 'busy1')
# Requests on an engine above which more start late.
_LATE_LOAD = 5


class _Fleet:
    """Engines under a steady load, which carry out orders on a virtual clock.

    Requests run on the least loaded engines that offer their model; each lasts
    for ``_RUN_SECONDS``, so running requests are redistributed in that time.
    """

    def __init__(self):
        names = [*_BUSY, *(f'own{n}' for n in range(36))]
        names += [f'missing{n}' for n in range(20)]
        specs = {name: ModelSpec(name, 25, 1, 8, 0.6, 0.45) for name in names}
        self.spec = EngineSpec(16, 60_000, 83, 8, 20, specs)
        self.now = 1000.0
        self.scheduler = ModelScheduler(self.spec)
        self.reports_late = False
        self.share_by_zone = {}
        self.missing = 0
        self.requested = ()
        self.request_steps = 1
        self.others = Counter()
        self.orders = []
        self._pending = []
        self._steps = 0
        for number in range(12):
            held = [f'own{number}', f'own{number + 12}']
            held += ['busy0'] if number == 0 else []
            record = target_record(
                f'e{number}',
                zone=f'z{number % 3}',
                on_disk=frozenset((*held, *_BUSY)),
            )
            engine = EngineState(record, surveyed=True)
            engine.adapters_by_model = {model: set() for model in held}
            self.engines[record.target_id] = engine

    @property
    def engines(self):
        return self.scheduler.engines_by_id

    def offering(self, model):
        return [one for one in self.engines.values() if one.offers(model)]

    def run(self, running_by_model, seconds):
        for _ in range(round(seconds / _STEP_SECONDS)):
            self._step(running_by_model)

    def _step(self, running_by_model):
        self.now += _STEP_SECONDS
        self._steps += 1
        for entry in [one for one in self._pending if one[0] <= self.now]:
            self._pending.remove(entry)
            finish_order(*entry[1:], self.now)
        self._place(running_by_model)
        self._report(running_by_model)
        groups = [
            GroupDemand('s', name, '', 1, -math.inf, self.now + 9, self.now - 1)
            for name in [f'missing{n}' for n in range(self.missing)]
        ]
        for order in self.scheduler.plan(groups, self.now):
            engine = self.engines[order.target_id]
            self.orders.append((order, engine.is_cold(order.model)))
            seconds = 0.05
            if order.kind is OrderKind.load:
                model = self.spec.models_by_name[order.model]
                seconds = self.scheduler.load_seconds(engine, model)
                engine.order_accepted_at = self.now
            self._pending.append((self.now + seconds, engine, order))

    def _place(self, running_by_model):
        ending = _STEP_SECONDS / _RUN_SECONDS
        for engine in self.engines.values():
            for model in _BUSY:
                kept = engine.running[model] * (1 - ending)
                engine.running[model] = kept if kept > 0.2 else 0
            for model, count in self.others.items():
                if model in engine.adapters_by_model:
                    engine.running[model] = count
        for model, count in running_by_model.items():
            placed = sum(one.running[model] for one in self.engines.values())
            while placed < count and self.offering(model):
                part = min(count - placed, 0.1)
                least = min(self.offering(model), key=EngineState.running_count)
                least.running[model] += part
                placed += part

    def _report(self, running_by_model):
        scheduler = self.scheduler
        for model, running in running_by_model.items():
            begun = running / _RUN_SECONDS * _STEP_SECONDS
            scheduler.rates.add(model, begun, self.now)
            for zone, share in self.share_by_zone.items():
                scheduler.busy_models.add_started(
                    model, zone, begun * share, self.now
                )
            least = min(map(EngineState.running_count, self.offering(model)))
            if self.reports_late and least > _LATE_LOAD:
                scheduler.busy_models.troubles.add(model, begun / 5, self.now)
        for number, model in enumerate(self.requested):
            if (self._steps - number) % self.request_steps == 0:
                scheduler.rates.add(model, 1, self.now)


@given(
    '12 engines of 3 places and 16 slots in 3 zones, with busy0 on the first'
)
def given_fleet(context):
    context.fleet = _Fleet()


@given('busy0 and busy1 are on the disk of each engine')
def given_disks(context):
    for engine in context.fleet.engines.values():
        assert engine.record.on_disk.issuperset(_BUSY), engine


@given('members that report {what}')
def given_reports(context, what):
    fleet = context.fleet
    fleet.reports_late = what == 'late requests'
    fleet.share_by_zone = {'z0': 0.33, 'z1': 0.33, 'z2': 0.34}


@given('busy0 has a replica on each of {count:d} engines')
def given_replicas(context, count):
    for number in range(count):
        models = context.fleet.engines[f'e{number}'].adapters_by_model
        models.setdefault('busy0', set())


@given('all other engines run {count:d} requests')
def given_others(context, count):
    context.fleet.others.update({f'own{n}': count for n in range(1, 12)})


@given('e0 runs {count:d} requests for own0')
def given_shared(context, count):
    context.fleet.others['own0'] = count
    for engine in context.fleet.engines.values():
        disk = engine.record.on_disk | {'own0'}
        engine.record = replace(engine.record, on_disk=disk)


@given('80 of 100 requests arrive in z2, the others in z0')
def given_zones(context):
    context.fleet.share_by_zone = {'z0': 0.2, 'z2': 0.8}


@given('no engine has free memory')
def given_full(context):
    for number in range(1, 12):
        models = context.fleet.engines[f'e{number}'].adapters_by_model
        models[f'own{number + 24}'] = set()


@given('all other models are requested every {seconds:d} seconds')
def given_requested(context, seconds):
    context.fleet.request_steps = round(seconds / _STEP_SECONDS)
    placed = {
        name
        for engine in context.fleet.engines.values()
        for name in engine.adapters_by_model
    }
    context.fleet.requested = sorted(placed.difference(_BUSY))


@given('only e0 and e1 have a copy of busy0')
def given_two_copies(context):
    given_replicas(context, 2)
    for engine in list(context.fleet.engines.values())[2:]:
        disk = engine.record.on_disk - {'busy0'}
        engine.record = replace(engine.record, on_disk=disk)


@given('requests wait for {count:d} models that no engine has')
def given_missing_models(context, count):
    context.fleet.missing = count


@when('busy0 runs {count:d} request for {seconds:d} seconds')
@when('busy0 runs {count:d} requests for {seconds:d} seconds')
def when_running(context, count, seconds):
    context.ordered_before = len(context.fleet.orders)
    context.replicas_before = len(context.fleet.offering('busy0'))
    context.fleet.run({'busy0': count}, seconds)


@when(
    'busy0 and busy1 run {count:d} requests in turns of 2 seconds for '
    '{seconds:d} seconds'
)
def when_turns(context, count, seconds):
    context.fleet.engines['e1'].adapters_by_model['busy1'] = set()
    for turn in range(seconds // 2):
        context.fleet.run({_BUSY[turn % 2]: count}, 2)


@when(
    'a new leader plans while busy0 runs {count:d} requests for {seconds:d} '
    'seconds'
)
def when_new_leader(context, count, seconds):
    fleet = context.fleet
    fleet.scheduler = ModelScheduler(
        fleet.spec, engines_by_id=fleet.scheduler.engines_by_id
    )
    when_running(context, count, seconds)


@when('{count:d} engines with busy0 leave')
def when_leave(context, count):
    for engine in context.fleet.offering('busy0')[:count]:
        context.fleet.engines.pop(engine.target_id)


@then('no engine runs more than {most:d} requests')
def then_even(context, most):
    loads = [one.running_count() for one in context.fleet.engines.values()]
    assert max(loads) <= most, loads


@then('each zone has a replica of busy0')
def then_zones(context):
    zones = {one.record.zone for one in context.fleet.offering('busy0')}
    assert len(zones) == 3, zones


@then('no further replica is wanted')
def then_none_wanted(context):
    busy = context.fleet.scheduler.busy_models
    assert not busy.further_replicas(), busy.demands


@then('{model} has {count:d} replica')
def then_replicas(context, model, count):
    assert len(context.fleet.offering(model)) == count


@then('busy0 has as many replicas as before')
def then_same_replicas(context):
    replicas = len(context.fleet.offering('busy0'))
    assert replicas == context.replicas_before, replicas


@then('busy0 has at most {count:d} replicas')
def then_few_replicas(context, count):
    replicas = context.fleet.offering('busy0')
    assert len(replicas) <= count, len(replicas)


@given('z0 has a second replica of busy0')
def given_second(context):
    context.fleet.engines['e3'].adapters_by_model['busy0'] = set()


@then('all replicas of busy0 that were added lie in z2')
def then_in_zone(context):
    zones = Counter(one.record.zone for one in context.fleet.offering('busy0'))
    assert zones['z2'] > 1 and zones == {'z0': 2, 'z2': zones['z2']}, zones


def _ordered(context, kind, models=('busy0',), since=0):
    return [
        order.target_id
        for order, _ in context.fleet.orders[since:]
        if order.model in models and order.kind is kind
    ]


@then('busy0 was loaded once on each of its engines and never unloaded')
def then_loaded_once(context):
    loads = Counter(_ordered(context, OrderKind.load))
    assert loads and max(loads.values()) == 1, loads
    assert not _ordered(context, OrderKind.unload)


@then('busy0 was not {action}ed meanwhile')
def then_not_ordered(context, action):
    assert not _ordered(
        context, OrderKind(action), since=context.ordered_before
    )


@then('busy0 and busy1 were loaded at most once on each engine')
def then_few_loads(context):
    for model in _BUSY:
        loads = Counter(_ordered(context, OrderKind.load, [model]))
        assert max(loads.values()) == 1, loads


@then('each of those models has a replica')
def then_all_placed(context):
    fleet = context.fleet
    gone = [name for name in fleet.requested if not fleet.offering(name)]
    assert not gone, gone


@then('the weight store was asked for busy0: {asked}')
def then_asked(context, asked):
    cold = [order for order, is_cold in context.fleet.orders if is_cold]
    has_asked = any(order.model == 'busy0' for order in cold)
    assert has_asked == (asked == 'yes'), cold


@when('requests wait for a model on the disk of an engine with busy0')
def when_waiting_for_disk(context):
    fleet = context.fleet
    engine = fleet.offering('busy0')[-1]
    context.engine = engine
    on_disk = engine.record.on_disk | {'missing0'}
    engine.record = replace(engine.record, on_disk=on_disk)
    # Its other models are in use, and cannot make room.
    for model in engine.adapters_by_model:
        if model != 'busy0':
            fleet.others[model] = 2
    fleet.missing = 1


@then('that engine has loaded the model within {seconds:d} seconds')
def then_waiting_loaded(context, seconds):
    context.fleet.run({'busy0': 40}, seconds)
    held = context.engine.adapters_by_model
    assert 'missing0' in held, held
