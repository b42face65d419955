"""Steps for the scheduling of models on engines."""

import math
import re
from collections import Counter
from dataclasses import replace

from behave import given, then, when

from cowsliprack.coordination.model_scheduler import GroupDemand, ModelScheduler
from cowsliprack.coordination.region_state import apply_survey, finish_order
from cowsliprack.protocol.engine import EngineSurvey
from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.engine_state import EngineOrder, EngineState
from cowsliprack.state.routing_table import EngineSpec, ModelSpec
from cowsliprack.state.target_registry import LoadedModel, TargetState
from tests.support.routed import target_record

_NOW = 1000.0
_PROPAGATION_SECONDS = 0.03
_NAMES = ('a', 'b', 'c', 'd', 'e', 'f')


def _spec():
    models = {name: ModelSpec(name, 70, 1, 6.0, 0.6, 0.45) for name in _NAMES}
    return EngineSpec(32, 80000, 160, 8, 0.6, models)


@given('engines with memory for two models and models a to f')
def given_scheduler(context):
    context.scheduler = ModelScheduler(_spec())
    context.groups = []
    context.now = _NOW
    context.ordered = []
    context.unanswering = set()


def _add_engine(context, name, held, on_disk=()):
    record = target_record(
        name,
        on_disk=frozenset((*held, *on_disk)),
    )
    engine = EngineState(record, surveyed=True)
    engine.adapters_by_model = {model: set() for model in held}
    context.scheduler.engines_by_id[name] = engine
    return engine


def _split_names(text):
    return [name.strip() for name in text.split(',')]


@given('engine {name} holds {held} and has {disk} on disk')
def given_engine(context, name, held, disk):
    _add_engine(context, name, _split_names(held), _split_names(disk))


@given('an engine {name:w} of {version:w} with {held:w}, and {disk:w} on disk')
def given_version_engine(context, name, version, held, disk):
    engine = _add_engine(context, name, [held], [disk])
    engine.record = replace(engine.record, software_version=version)


@given('1 request waits for {name:w} at the software version {version:w}')
def given_version_waiting(context, name, version):
    _wait(context, name)
    context.groups[-1] = replace(context.groups[-1], software_version=version)


@given('engine {name:w} holds {held:w}')
def given_simple_engine(context, name, held):
    _add_engine(context, name, [held])


@given('engine e1 holds a with adapters x1 to x8')
def given_adapters(context):
    engine = _add_engine(context, 'e1', ['a'])
    engine.adapters_by_model['a'] = {f'x{number}' for number in range(1, 9)}
    for number in range(1, 9):
        engine.used_at_by_name[f'a/x{number}'] = _NOW - 100 + number


@given('a has {count:d} adapters')
def given_adapter_count(context, count):
    scheduler = context.scheduler
    models = dict(scheduler.spec.models_by_name)
    models['a'] = replace(models['a'], adapters=count)
    scheduler.spec = replace(scheduler.spec, models_by_name=models)


@given('{count:d} adapters of a have been loaded')
def given_loaded_adapters(context, count):
    scheduler = context.scheduler
    for number in range(count):
        group = GroupDemand('s', 'a', f'x{number}', 1, _NOW, _NOW + 8, _NOW)
        (order,) = scheduler.plan([group], context.now)
        finish_order(scheduler.engines_by_id['e1'], order, context.now)


@given('there is demand, also for {count:d} adapters of a')
def given_adapter_demand(context, count):
    given_demand(context)
    given_loaded_adapters(context, count)


@given('an engine e3 with a loads from the store too')
def given_loading_replica(context):
    engine = _add_engine(context, 'e3', ['a'])
    engine.order = EngineOrder('e3', OrderKind.load, 'e')


@given('adapter x1 of a has just been loaded')
def given_recent_adapter(context):
    engine = context.scheduler.engines_by_id['e1']
    engine.used_at_by_name['a/x1'] = _NOW - 0.05


@given('{count:d} empty engines')
def given_empty(context, count):
    for number in range(count):
        _add_engine(context, f'e{number}', [])


def _wait(context, model, adapter='', target_in=1.5, count=1, late=0):
    context.groups.append(
        GroupDemand(
            service='s',
            model=model,
            adapter=adapter,
            count=count,
            target_at=_NOW + target_in,
            gives_up_at=_NOW + 8,
            since=_NOW,
            late=late,
        ),
    )


@when('the request for {name:w} has timed out')
def when_timed_out(context, name):
    context.groups = [group for group in context.groups if group.model != name]


@when('the weight store load on {name:w} has ended')
def when_load_ended(context, name):
    engine = context.scheduler.engines_by_id[name]
    context.loaded = engine.order.model
    engine.record = replace(
        engine.record, on_disk=engine.record.on_disk | {engine.order.model}
    )
    finish_order(engine, engine.order, context.now)
    context.groups = [
        group for group in context.groups if group.model != context.loaded
    ]
    context.now += 1


@when('{name:w} crashes during its load and is back with its disk')
def when_crashed(context, name):
    scheduler = context.scheduler
    record = scheduler.engines_by_id.pop(name).record
    scheduler.plan(context.groups, context.now)
    scheduler.engines_by_id[name] = EngineState(record, surveyed=True)


@given('{count:d} request waits for {name:S}')
@given('{count:d} requests at different instances wait for {name:S}')
@when('{count:d} request waits for {name:S}')
@when('{count:d} requests at different instances wait for {name:S}')
def given_waiting(context, count, name):
    model, _, adapter = name.partition('/')
    _wait(context, model, adapter, count=count)


@given('a request waited for {name:w} before')
def given_waited(context, name):
    _wait(context, name)
    usable = context.scheduler.engines_by_id
    context.scheduler.engines_by_id = {}
    context.scheduler.plan(context.groups, context.now)
    context.scheduler.engines_by_id = usable
    context.groups = []
    context.now += 1


@given('no engine takes orders for {seconds:d} seconds')
def given_no_orders(context, seconds):
    usable = context.scheduler.engines_by_id
    context.scheduler.engines_by_id = {}
    for _ in range(seconds):
        context.scheduler.plan(context.groups, context.now)
        context.now += 1
    context.scheduler.engines_by_id = usable
    context.scheduler.rates.add('a', 4, context.now)


@given('1 request waits for each of a to f')
def given_all_wait(context):
    for name in _NAMES:
        _wait(context, name)


@given('1 request waits for {name:w} and misses its target in {left:g} seconds')
def given_urgent(context, name, left):
    _wait(context, name, target_in=left)


@given('1 request waits for {name:w} and gives up in {seconds:g} seconds')
def given_giving_up(context, name, seconds):
    _wait(context, name)
    context.groups[-1] = replace(context.groups[-1], gives_up_at=_NOW + seconds)


@when('the scheduler plans while no engine takes orders')
def when_plans_without_engines(context):
    usable = context.scheduler.engines_by_id
    context.scheduler.engines_by_id = {}
    context.scheduler.plan(context.groups, context.now)
    context.scheduler.engines_by_id = usable


@given('1 request waits for {name:w} and has missed its target')
def given_late(context, name):
    _wait(context, name, target_in=-1, late=1)


@given('{count:d} late requests wait for {name:w}')
def given_many_late(context, count, name):
    _wait(context, name, target_in=-1, count=count, late=count)


@given('{name:w} is requested {rate:d} times a second')
def given_rate(context, name, rate):
    # The rate is an average over 5 seconds.
    context.scheduler.rates.add(name, rate * 5, _NOW)


@given('{engine:w} runs {count:d} request for {model:w}')
@given('{engine:w} runs {count:d} requests for {model:w}')
def given_running(context, engine, count, model):
    context.scheduler.engines_by_id[engine].running[model] = count


@given('a is requested often')
def given_frequent(context):
    context.scheduler.rates.add('a', 4, _NOW)


@given('a has just been loaded')
def given_recently_loaded(context):
    context.scheduler.engines_by_id['e1'].loaded_at_by_model['a'] = _NOW


@given('all have just been loaded')
def given_all_recently_loaded(context):
    for engine in context.scheduler.engines_by_id.values():
        for model in engine.adapters_by_model:
            engine.loaded_at_by_model[model] = _NOW


@given('{name:w} has not been surveyed')
def given_not_surveyed(context, name):
    context.scheduler.engines_by_id[name].surveyed = False


@when('{name:w} says that {model:w} is on its disk')
def when_surveyed(context, name, model):
    survey = EngineSurvey(
        0,
        False,
        0,
        {'b': LoadedModel(1)},
        on_disk=frozenset(('b', model)),
    )
    apply_survey(context.scheduler.engines_by_id[name], survey)


@when('{name:w} does not answer for {seconds:g} seconds')
@when('the engine {name:w} does not answer for {seconds:g} seconds')
def when_unanswered(context, name, seconds):
    assert not context.scheduler.engines_by_id[name].is_usable()
    context.now += seconds


@when('the engine e2 does not answer any more')
def when_silent(context):
    context.scheduler.engines_by_id['e2'].silent = True


@when('the engine that makes room for f does not answer any more')
def when_room_silent(context):
    (context.silent,) = _making_room(context)
    context.silent.silent = True


@then('the other engine makes room for f')
def then_other_makes_room(context):
    (engine,) = _making_room(context)
    assert engine is not context.silent, engine


def _making_room(context):
    engines = context.scheduler.engines_by_id.values()
    return [engine for engine in engines if engine.assigned_model == 'f']


@when('the engine e2 answers again')
def when_answers(context):
    context.scheduler.engines_by_id['e2'].silent = False


@when('the engine e2 leaves')
def when_leaves(context):
    engine = context.scheduler.engines_by_id['e2']
    engine.record = replace(engine.record, state=TargetState.draining)


@given(
    'a leader that has learned from an earlier one that {count:d} loads run at '
    'full speed'
)
def given_inherited(context, count):
    context.scheduler.cold_loads.inherit(count)
    context.scheduler.plan([], context.now)


@when(
    'a load begins {after:g} seconds after its term and takes {factor:g} times '
    'as long'
)
def when_slow_load(context, after, factor):
    _end_load(context, after, factor, factor - 0.02)


@when(
    'a load begins {after:g} seconds after its term, and its engine answers '
    'until {confirmed:g} and again from {factor:g} times the expected time on'
)
def when_unseen_end(context, after, confirmed, factor):
    _end_load(context, after, factor, confirmed)


def _end_load(context, after, factor, confirmed):
    scheduler = context.scheduler
    context.now += after
    engine = scheduler.engines_by_id['e1']
    engine.assigned_model = 'a'
    scheduler.plan([], context.now)
    assert engine.loading_model() == 'a', engine.order
    model = _spec().models_by_name['a']
    seconds = factor * model.cold_seconds
    engine.order_accepted_at = context.now
    engine.order_seen_at = context.now + confirmed * model.cold_seconds
    scheduler.end_cold_load(engine, model, seconds, context.now + seconds)


@then('the limit is {count:d} loads')
def then_limit(context, count):
    assert context.scheduler.cold_loads.store_limit == count


@given('{name:w} executes an order')
def given_busy(context, name):
    context.scheduler.engines_by_id[name].order = EngineOrder(
        name,
        OrderKind.load,
        'a',
        'x',
    )


@when('the scheduler plans')
def when_plans(context):
    # Twice, since an unload waits until all instances know of it.
    context.orders = context.scheduler.plan(context.groups, context.now)
    context.now += _PROPAGATION_SECONDS
    context.orders += context.scheduler.plan(context.groups, context.now)


@when(
    'the scheduler plans before {engine:w} is known to run {count:d} request '
    'for {model:w}'
)
def when_plans_before_known(context, engine, count, model):
    context.orders = context.scheduler.plan(context.groups, context.now)
    context.scheduler.engines_by_id[engine].running[model] = count
    context.now += _PROPAGATION_SECONDS
    context.orders += context.scheduler.plan(context.groups, context.now)


@when('the set of engines is unchanged for {seconds:d} seconds')
def when_engines_unchanged(context, seconds):
    context.orders = []
    for _ in range(seconds * 20):
        context.now += 0.05
        context.orders += context.scheduler.plan(context.groups, context.now)
        for engine in context.scheduler.engines_by_id.values():
            if engine.order is not None:
                finish_order(engine, engine.order, context.now)


@given('{name:w} executes an order of an earlier leader')
def given_unknown_order(context, name):
    context.scheduler.engines_by_id[name].order = EngineOrder(
        name, OrderKind.unload, ''
    )


@given('the scheduler has idled for {seconds:d} seconds')
@when('the scheduler idles for {seconds:d} seconds')
def given_passed(context, seconds):
    context.now += seconds


@given('{count:d} loads at the limit ended on time')
@when('{count:d} loads at the limit end on time')
def given_on_time(context, count):
    scheduler = context.scheduler
    model = _spec().models_by_name['a']
    engine = scheduler.engines_by_id['e1']
    engine.cold_loads_at_start = 2
    for _ in range(count):
        scheduler.end_cold_load(engine, model, model.cold_seconds, context.now)


@when('{name:w} has executed its order')
def when_order_ends(context, name):
    context.scheduler.engines_by_id[name].order = None


@then('{model:w} is assigned to {name:w}')
def then_assigned(context, model, name):
    engine = context.scheduler.engines_by_id[name]
    assert model in {engine.assigned_model, engine.loading_model()}, engine


@given('a weight store that admits {rate:d} loads a second')
def given_store(context, rate):
    spec = context.scheduler.spec
    context.scheduler.spec = replace(spec, loads_per_second=rate)


@given('there has been demand for a while')
def given_demand(context):
    context.scheduler.rates.add('z', 5, _NOW)


@given('4 concurrent loads from the weight store took twice the expected time')
def given_slow_loads(context):
    _end_concurrent_loads(context, (2, 2, 2, 2))


@given(
    '4 concurrent loads from the weight store took 4 times the expected time'
)
def given_very_slow_loads(context):
    _end_concurrent_loads(context, (4, 4, 4, 4))


@when('the scheduler plans until both engines load from the weight store')
def when_planned_until_begun(context):
    engines = context.scheduler.engines_by_id.values()
    for _ in range(100):
        context.now += 0.05
        context.scheduler.plan([], context.now)
        for engine in engines:
            if engine.order and engine.order.kind is OrderKind.unload:
                finish_order(engine, engine.order, context.now)
    assert all(engine.loading_model() for engine in engines), engines


@then('the loads count {first:d} and {second:d} loads at their start')
def then_counted(context, first, second):
    counts = sorted(
        engine.cold_loads_at_start
        for engine in context.scheduler.engines_by_id.values()
    )
    assert counts == [first, second], counts


@given('4 loads from the weight store have begun together')
def given_begun(context):
    scheduler = context.scheduler
    for model in ('a', 'b', 'c', 'd'):
        _wait(context, model, count=6)
    context.orders = scheduler.plan(context.groups, context.now)
    assert len(context.orders) == 4, context.orders
    context.groups = []
    for order in context.orders:
        engine = scheduler.engines_by_id[order.target_id]
        engine.order_accepted_at = context.now


@given('the last of them has been accepted {seconds:g} seconds late')
def given_late_acceptance(context, seconds):
    target_id = context.orders[-1].target_id
    engine = context.scheduler.engines_by_id[target_id]
    engine.order_accepted_at = context.now + seconds


@given('it is not known whether the last of them has been accepted')
def given_unknown_acceptance(context):
    target_id = context.orders[-1].target_id
    engine = context.scheduler.engines_by_id[target_id]
    engine.order_accepted_at = math.inf


@when('2 of them have ended on time')
def when_two_ended(context):
    _end_on_time(context, context.orders[:2])


@when('the first 3 of them have ended on time')
def when_three_ended(context):
    _end_on_time(context, context.orders[:3])


@when('the last 2 of them have ended on time')
def when_last_two_ended(context):
    _end_on_time(context, context.orders[2:])


@when('all 4 of them have ended {late:g} seconds late')
def when_all_ended(context, late):
    context.scheduler.plan([], context.now + 6 + late)
    _end_on_time(context, context.orders)


@when('{count:d} loads at the limit of 4 end on time')
def when_more_ended(context, count):
    model = _spec().models_by_name['a']
    engine = context.scheduler.engines_by_id['e9']
    engine.cold_loads_at_start = 4
    for _ in range(count):
        context.scheduler.end_cold_load(
            engine, model, model.cold_seconds, context.now
        )


def _end_on_time(context, orders):
    scheduler = context.scheduler
    context.now += 6
    for order in orders:
        engine = scheduler.engines_by_id[order.target_id]
        model = scheduler.spec.models_by_name[order.model]
        finish_order(engine, order, context.now)
        scheduler.end_cold_load(engine, model, model.cold_seconds, context.now)


@given('the engines of the last 2 do not answer any more')
def given_two_silent(context):
    for order in context.orders[2:]:
        context.scheduler.engines_by_id[order.target_id].silent = True


@given('the engines of the last 2 crash, and are still registered')
def given_two_crashed(context):
    context.unanswering.update(order.target_id for order in context.orders[2:])


@given(
    'of 4 loads that began together, 2 ended on time, 1 took 1.5 times and 1 '
    'took twice the expected time'
)
def given_divided_bandwidth(context):
    _end_concurrent_loads(context, (1, 1, 1.5, 2))


def _end_concurrent_loads(context, slowdowns):
    """End loads that began at the same time one after the other."""
    scheduler = context.scheduler
    model = _spec().models_by_name['a']
    loading = [
        scheduler.engines_by_id[f'e{number + 1}']
        for number in range(len(slowdowns))
    ]
    for number, engine in enumerate(loading, start=1):
        engine.assigned_model = 'a'
        engine.cold_loads_at_start = number
    for engine, slowdown in zip(loading, slowdowns, strict=True):
        engine.assigned_model = ''
        scheduler.end_cold_load(
            engine, model, slowdown * model.cold_seconds, context.now
        )


@given(
    'e2 loads b from the weight store, and e1 loads a {seconds:d} seconds later'
)
def given_running_loads(context, seconds):
    for name, model in (('e2', 'b'), ('e1', 'a')):
        engine = context.scheduler.engines_by_id[name]
        engine.assigned_model = model
        context.scheduler.plan([], context.now)
        assert engine.loading_model() == model, engine.order
        context.now += seconds
    context.now -= seconds


@when('the engine e2 is removed')
def when_loading_engine_removed(context):
    context.scheduler.engines_by_id.pop('e2')


@when('the engine e2 crashes, and is still registered')
def when_loading_engine_crashes(context):
    assert context.scheduler.engines_by_id['e2'].loading_model()
    context.unanswering.add('e2')


@when('the engine e2 restarts with its disk')
def when_loading_engine_restarts(context):
    lost = context.scheduler.engines_by_id['e2'].record
    restarted = EngineState(replace(lost, born=lost.born + 1), surveyed=True)
    context.scheduler.engines_by_id['e2'] = restarted


@when('the scheduler plans {seconds:d} second later')
@when('the scheduler plans {seconds:g} seconds later')
def when_planned_later(context, seconds):
    context.now += seconds
    _report_loads(context)
    context.ordered = context.scheduler.plan(context.groups, context.now)


def _report_loads(context):
    """Let the engines say that they still load, as the executor asks them."""
    for engine in context.scheduler.engines_by_id.values():
        is_answering = not engine.silent and (
            engine.target_id not in context.unanswering
        )
        if engine.loading_model() and is_answering:
            engine.order_seen_at = context.now


@when('the scheduler plans for 1 second without demand')
def when_plans_without_demand(context):
    for _ in range(20):
        context.now += 0.05
        context.ordered += context.scheduler.plan([], context.now)


@when('the scheduler plans for 1 second')
def when_plans_repeatedly(context):
    for _ in range(20):
        context.now += 0.05
        context.ordered += context.scheduler.plan(context.groups, context.now)


@when('engine {name:w} is removed')
def when_removed(context, name):
    context.scheduler.engines_by_id.pop(name)


@when('the orders have been executed')
def when_executed(context):
    for order in context.orders:
        engine = context.scheduler.engines_by_id[order.target_id]
        finish_order(engine, order, context.now)


@when('the requests for a have ended')
def when_ended(context):
    for engine in context.scheduler.engines_by_id.values():
        engine.running = Counter(
            {
                name: count
                for name, count in engine.running.items()
                if name != 'a'
            }
        )


def _format_orders(orders):
    return '; '.join(
        re.sub(
            r'\s+',
            ' ',
            f'{order.target_id} {order.kind.value} {order.model} '
            f'{order.adapter}',
        ).strip()
        for order in orders
    )


@then('the orders are "{expected}"')
def then_orders(context, expected):
    assert _format_orders(context.orders) == expected, _format_orders(
        context.orders
    )


@then('the orders are ""')
def then_no_orders(context):
    assert not context.orders, _format_orders(context.orders)


@then('nothing more is ordered while that order is running')
def then_nothing(context):
    again = context.scheduler.plan(context.groups, context.now)
    assert not again, _format_orders(again)


@then('{count:d} loads were ordered')
def then_count(context, count):
    assert len(context.ordered) == count, _format_orders(context.ordered)


@then('{count:d} model lies on no engine, and requests wait for "{name:w}"')
def then_missing(context, count, name):
    missing = context.scheduler.missing_weights(context.now)
    assert missing.models == count, missing
    assert missing.waiting_models == (name,), missing


@then('{count:d} of at most {most:d} load from the weight store is running')
def then_cold_loads(context, count, most):
    missing = context.scheduler.missing_weights(context.now)
    assert missing.cold_loads == count, missing
    assert missing.max_cold_loads == most, missing


@then('{model:w} is offered by {count:d} engine')
def then_offered(context, model, count):
    offering = context.scheduler.replicas(model)
    assert len(offering) == count, [engine.target_id for engine in offering]


@given('{engine:w} has named a limit')
def given_limit(context, engine):
    context.scheduler.engines_by_id[engine].is_limited = True


@then('{model:w} is offered by {engine:w}')
def then_offered_by(context, model, engine):
    assert context.scheduler.engines_by_id[engine].offers(model)
