"""Steps for models that make room for another one."""

import math
import re

from behave import given, then, when

from cowsliprack.coordination.eviction import cheapest_victims
from cowsliprack.coordination.model_scheduler import GroupDemand, ModelScheduler
from cowsliprack.coordination.region_state import finish_order
from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.engine_state import EngineState
from cowsliprack.state.routing_table import EngineSpec, ModelSpec
from tests.support.routed import target_record

_MEMORY = 83
_STEP_SECONDS = 0.05


@given('an engine of 83 GB that holds {held}')
def given_engine(context, held):
    found = re.findall(r'(\w) of (\d+) at (\w+)', held)
    context.size_by_name = {name: int(size) for name, size, _ in found}
    context.cost_by_name = {name: float(cost) for name, _, cost in found}


@when('a model of {size:d} GB is to be loaded')
def when_loaded(context, size):
    def has_room(without):
        used = sum(
            held
            for name, held in context.size_by_name.items()
            if name not in without
        )
        return used + size <= _MEMORY

    context.victims = cheapest_victims(context.cost_by_name, has_room)


@then('the victims are "{victims}"')
@then('the victims are ""')
def then_victims(context, victims=''):
    assert ', '.join(sorted(context.victims)) == victims, context.victims


@given(
    'an engine with 83 GB that holds models of 18, 17 and 48 GB, the last of '
    'them in use'
)
def given_scheduler(context):
    context.sizes = {'a': 18, 'b': 17, 'c': 48, 'large': 34}
    specs = {
        name: ModelSpec(name, size, 1, 7.8, 0.6, 0.45)
        for name, size in context.sizes.items()
    }
    context.scheduler = ModelScheduler(
        EngineSpec(48, 111_000, _MEMORY, 8, 20, specs)
    )
    context.engine = EngineState(
        target_record('e1', on_disk=frozenset(specs)), surveyed=True
    )
    context.engine.adapters_by_model = {'a': set(), 'b': set(), 'c': set()}
    context.engine.running['c'] = 9
    context.scheduler.engines_by_id['e1'] = context.engine


@given('a model of 34 GB lies on its disk')
def given_on_disk(context):
    assert 'large' in context.engine.record.on_disk


@when('a request waits for that model')
def when_waits(context):
    now = 1000.0
    context.most = 0
    context.loaded_after = math.inf
    ends = []
    for step in range(round(2 / _STEP_SECONDS)):
        for entry in [one for one in ends if one[0] <= now]:
            ends.remove(entry)
            finish_order(context.engine, entry[1], now)
        held = set(context.engine.adapters_by_model)
        loading = context.engine.loading_model()
        used = sum(context.sizes[name] for name in held | {loading} - {''})
        context.most = max(context.most, used)
        if 'large' in held:
            context.loaded_after = min(
                context.loaded_after, step * _STEP_SECONDS
            )
        group = GroupDemand('s', 'large', '', 1, now + 1, now + 9, now)
        groups = [] if 'large' in held else [group]
        for order in context.scheduler.plan(groups, now):
            seconds = 0.6 if order.kind is OrderKind.load else 0.05
            ends.append((now + seconds, order))
        now += _STEP_SECONDS


@then('it is loaded within 1 second')
def then_loaded(context):
    assert context.loaded_after <= 1, context.loaded_after


@then('the engine never holds more than 83 GB')
def then_within(context):
    assert context.most <= _MEMORY, context.most
