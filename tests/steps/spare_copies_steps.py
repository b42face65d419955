"""Steps for second copies of busy models."""

import itertools
import math
from dataclasses import replace

from behave import given, then, when

from cowsliprack.coordination.model_scheduler import GroupDemand, ModelScheduler
from cowsliprack.coordination.region_state import finish_order
from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.engine_state import EngineState
from cowsliprack.state.routing_table import EngineSpec, ModelSpec
from tests.support.routed import target_record

_BUSY = ('busy0', 'busy1', 'busy2')
_STEP_SECONDS = 0.05
_COLD_SECONDS = 7.8
_DISK_SECONDS = 0.6
_FULL_SPEED_LOADS = 2
_UNLOAD_SECONDS = 0.05


class _Fleet:
    """Engines that carry out the orders of a scheduler on a virtual clock."""

    def __init__(self):
        # Busy models, rare ones that fill the other engines, missing ones.
        names = [
            *_BUSY,
            *(f'rare{number}' for number in range(87)),
            *(f'missing{number}' for number in range(36)),
        ]
        specs = {
            name: ModelSpec(name, 25, 1, _COLD_SECONDS, _DISK_SECONDS, 0.45)
            for name in names
        }
        self.scheduler = ModelScheduler(
            EngineSpec(48, 111_000, 83, 8, 20, specs)
        )
        self.scheduler.cold_loads.store_limit = _FULL_SPEED_LOADS
        rare = iter(names[len(_BUSY) :])
        for number in range(30):
            busy = _BUSY[number : number + 1]
            # The engine with room for one more lies in the zone of e0.
            count = 2 if number == 3 else 3
            models = [*busy, *itertools.islice(rare, count - len(busy))]
            record = target_record(
                f'e{number}', zone=f'z{number % 3}', on_disk=frozenset(models)
            )
            engine = EngineState(record, surveyed=True)
            engine.adapters_by_model = {model: set() for model in models}
            self.scheduler.engines_by_id[record.target_id] = engine
        self.now = 1000.0
        self.pending = []
        self.cold_loads = []
        self.missing = 0
        self.rate_by_model = {}

    def holders(self, model):
        return [
            engine
            for engine in self.scheduler.engines_by_id.values()
            if engine.offers(model)
        ]

    def copies(self, model):
        return [
            engine
            for engine in self.scheduler.engines_by_id.values()
            if model in engine.models_at_hand()
        ]

    def step(self):
        self.now += _STEP_SECONDS
        for entry in [one for one in self.pending if one[0] <= self.now]:
            self.pending.remove(entry)
            self._finish(*entry[1:])
        for model, rate in self.rate_by_model.items():
            self.scheduler.rates.add(model, rate * _STEP_SECONDS, self.now)
        for order in self.scheduler.plan(self._groups(), self.now):
            self._begin(order)

    def _groups(self):
        waiting = {
            name: 1
            for name in (f'missing{number}' for number in range(self.missing))
            if not self.copies(name)
        }
        waiting.update(
            {
                name: rate
                for name, rate in self.rate_by_model.items()
                if not self.holders(name)
            }
        )
        return [
            GroupDemand(
                's', name, '', count, -math.inf, self.now + 9, self.now - 1
            )
            for name, count in waiting.items()
        ]

    def _begin(self, order):
        engine = self.scheduler.engines_by_id[order.target_id]
        seconds = _UNLOAD_SECONDS
        if order.kind is OrderKind.load:
            model = self.scheduler.spec.models_by_name[order.model]
            seconds = self.scheduler.load_seconds(engine, model)
            if engine.is_cold(order.model):
                self.cold_loads.append(order.model)
                engine.order_accepted_at = self.now
        self.pending.append((self.now + seconds, engine, order))

    def _finish(self, engine, order):
        was_cold = engine.is_cold(order.model)
        finish_order(engine, order, self.now)
        if order.kind is not OrderKind.load:
            return
        if was_cold:
            model = self.scheduler.spec.models_by_name[order.model]
            self.scheduler.end_cold_load(engine, model, _COLD_SECONDS, self.now)
        engine.record = replace(
            engine.record, on_disk=engine.record.on_disk | {order.model}
        )


@given('30 engines in 3 zones, and the busy model on the first of them alone')
def given_fleet(context):
    context.fleet = _Fleet()
    assert len(context.fleet.copies('busy0')) == 1


@given('{count:d} models without a copy that requests wait for')
def given_missing(context, count):
    context.fleet.missing = count


@given('{count:d} engines with the busy model on disk')
def given_copies(context, count):
    for number in range(1, count + 1):
        engine = context.fleet.scheduler.engines_by_id[f'e{number}']
        engine.record = replace(
            engine.record, on_disk=engine.record.on_disk | {'busy0'}
        )


@given('engines of {slots:d} slots')
def given_slots(context, slots):
    scheduler = context.fleet.scheduler
    scheduler.spec = replace(scheduler.spec, slots=slots)


def _run(context, models, rate, seconds):
    fleet = context.fleet
    fleet.rate_by_model = dict.fromkeys(models, rate)
    for _ in range(round(seconds / _STEP_SECONDS)):
        fleet.step()


@when('the busy model gets {rate:d} requests a second for {seconds:d} seconds')
def when_busy(context, rate, seconds):
    _run(context, _BUSY[:1], rate, seconds)


@when(
    '3 models on one engine each get {rate:d} requests a second for '
    '{seconds:d} seconds'
)
def when_three_busy(context, rate, seconds):
    _run(context, _BUSY, rate, seconds)


@when('its engine leaves')
def when_leaves(context):
    context.fleet.scheduler.engines_by_id.pop('e0')


@then('it is without a copy for less than {seconds:g} seconds')
def then_back(context, seconds):
    fleet = context.fleet
    since = fleet.now
    while not fleet.holders('busy0') and fleet.now - since < seconds:
        fleet.step()
    assert fleet.now - since < seconds, fleet.now - since


@then('a copy of it lies in another zone')
def then_other_zone(context):
    zones = {one.record.zone for one in context.fleet.copies('busy0')}
    assert len(zones) > 1, zones


@then(
    'of any {count:d} consecutive loads from the weight store at most {most:d} '
    'are second copies'
)
def then_turns(context, count, most):
    spares = [name in _BUSY for name in context.fleet.cold_loads]
    assert sum(spares) == 3, context.fleet.cold_loads
    for begin in range(len(spares) - count + 1):
        among = sum(spares[begin : begin + count])
        assert among <= most, context.fleet.cold_loads


@then('it gets no second copy')
def then_no_copy(context):
    assert 'busy0' not in context.fleet.cold_loads
