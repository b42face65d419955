"""Steps for models that lie on no engine."""

import math
from dataclasses import replace

from behave import given, then, when

from cowsliprack.coordination.absent_models import (
    KnownAbsences,
    LoggedAbsences,
)
from cowsliprack.coordination.known_weight_store import (
    KnownWeightStore,
    parse_weight_store,
)
from cowsliprack.coordination.model_scheduler import GroupDemand, ModelScheduler
from cowsliprack.coordination.region_state import RegionState, finish_order
from cowsliprack.protocol.gateway_messages import MemberReport
from cowsliprack.protocol.message_level import new_process_id
from cowsliprack.protocol.peer import decode_message, encode_message
from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.engine_state import EngineOrder, EngineState
from cowsliprack.state.routing_table import (
    EngineSpec,
    ModelSpec,
    RoutingTable,
    ServiceSpec,
)
from tests.support.routed import target_record

_COLD_SECONDS = 6.0
_NAME = ('s', 'f')
_EARLIER_BOOT = '0f3a9c2b71d4'


def _add_engine(context, name, held=(), on_disk=()):
    record = target_record(name, on_disk=frozenset((*held, *on_disk)))
    engine = EngineState(record, surveyed=True)
    engine.adapters_by_model = {model: set() for model in held}
    context.scheduler.engines_by_id[name] = engine
    return engine


@given('a leader with models a and f, and an engine e1 that holds a')
def given_leader(context):
    models = {
        name: ModelSpec(name, 70, 1, _COLD_SECONDS, 0.6, 0.45) for name in 'af'
    }
    context.scheduler = ModelScheduler(
        EngineSpec(32, 80000, 160, 8, 0.6, models)
    )
    context.state = RegionState(7, 'i0', '127.0.0.1:1')
    context.state.schedulers_by_service['s'] = context.scheduler
    context.now = 1000.0
    context.scheduler.rates.add('a', 20, context.now)
    _add_engine(context, 'e1', 'a')


@given('the last leader has told that it loads f for {seconds:d} seconds')
def given_earlier_load(context, seconds):
    context.scheduler.earlier_loads = {'f': context.now + seconds}


@given('an engine {name:w} is registered, {what}')
def given_engine(context, name, what):
    holds = 'f' if 'with f' in what else ()
    is_on_disk = 'on its disk' in what
    engine = _add_engine(
        context,
        name,
        held=() if is_on_disk else holds,
        on_disk=holds if is_on_disk else (),
    )
    engine.surveyed = 'not surveyed' not in what
    engine.silent = 'without an answer' in what
    if 'earlier leader' in what:
        engine.order = EngineOrder(name, OrderKind.unload, '')


def _plan(context, groups=()):
    context.scheduler.plan(groups, context.now)
    context.state.refresh_absences(context.now)


@when('the leader plans for {seconds:d} seconds')
def when_time_passes(context, seconds):
    _plan(context)
    context.now += seconds
    # Demand goes on, so that nothing is loaded ahead of it.
    context.scheduler.rates.add('a', 20, context.now)
    _plan(context)


def _demand(context):
    return GroupDemand(
        service='s',
        model='f',
        adapter='',
        count=1,
        target_at=context.now + 1,
        gives_up_at=context.now + 8,
        since=context.now,
    )


@when('e2 begins to load f from the weight store, which takes 6 seconds')
def when_load_begins(context):
    _plan(context, [_demand(context)])
    _plan(context)
    assert any(
        engine.loading_model() == 'f'
        for engine in context.scheduler.engines_by_id.values()
    )


@when('the member leads, and a request waits for f for {seconds:d} seconds')
def when_member_leads(context, seconds):
    _apply(context)
    engines = context.scheduler.engines_by_id.values()
    spec = context.scheduler.spec
    state = RegionState(
        8,
        'i1',
        '127.0.0.1:2',
        first_loads=context.known.loads_under_way(),
    )
    state.apply_routing_table(
        RoutingTable(
            generation=1,
            services_by_name={'s': ServiceSpec('s', 1, engine=spec)},
        )
    )
    context.scheduler = state.schedulers_by_service['s']
    context.scheduler.rates.add('a', 20, context.now)
    for engine in engines:
        _add_engine(context, engine.target_id, engine.adapters_by_model)
    _plan_for(context, _demand(context), seconds)


def _plan_for(context, demand, seconds):
    orders = []
    for _ in range(seconds * 10):
        context.now += 0.1
        orders += context.scheduler.plan([demand], context.now)
    context.loads = [order for order in orders if order.model == 'f']


@given('the lease names a load of f that ends in {seconds:d} seconds')
def given_recorded_load(context, seconds):
    known = KnownWeightStore()
    body = {'store_loads': {'s': {'f': seconds}}}
    known.inherit(parse_weight_store(body), context.now)
    state = RegionState(
        8, 'i1', '127.0.0.1:2', recorded_loads=known.recorded_loads
    )
    engines_by_id = context.scheduler.engines_by_id
    service = ServiceSpec('s', 1, engine=context.scheduler.spec)
    state.apply_routing_table(
        RoutingTable(generation=1, services_by_name={'s': service})
    )
    context.scheduler = state.schedulers_by_service['s']
    context.scheduler.engines_by_id = engines_by_id


@when('{count:d} requests wait for f for {seconds:d} seconds')
def when_waiting(context, count, seconds):
    demand = replace(_demand(context), count=count)
    _plan_for(context, demand, seconds)


@then('the load of f has been ordered {count:d} times')
@then('the load of f has been ordered {count:d} times by the member')
def then_load_count(context, count):
    assert len(context.loads) == count, context.loads


@when('the load has ended')
def when_load_ended(context):
    for engine in context.scheduler.engines_by_id.values():
        if engine.loading_model() == 'f':
            finish_order(engine, engine.order, context.now)
    _plan(context)


@when('f lies on a disk again')
def when_on_disk(context):
    engine = context.scheduler.engines_by_id['e2']
    engine.record = replace(engine.record, on_disk=frozenset('f'))
    _plan(context)


def _told(context, boot, base=0):
    report = MemberReport(
        'i1', '127.0.0.1:2', 'z', boot, 1, 5.0, base, context.state.fencing
    )
    context.state.members_by_id.clear()
    context.state.apply_report(report, context.now)
    member = context.state.members_by_id['i1']
    view = context.state.view_for(member, context.now)
    return decode_message(encode_message(view))


@then('the leader tells of f: {absence}')
def then_told(context, absence):
    known = KnownAbsences()
    view = _told(context, new_process_id())
    known.apply(view.absences, context.now, is_full=True)
    seconds = known.seconds_until_loaded(*_NAME, context.now)
    expected = {'no load': math.inf, 'nothing': 0}
    if absence not in expected:
        expected[absence] = float(absence.split()[-2])
    assert abs(seconds - expected[absence]) < 0.1 or (
        seconds == expected[absence]
    ), seconds


@given('a member of {build} build')
def given_member(context, build):
    context.boot = new_process_id() if build == 'this' else _EARLIER_BOOT
    context.known = KnownAbsences()
    context.base = 0


@then('its view has {count:d} absence, and it knows that f has no load')
def then_knows(context, count):
    assert _apply(context) == count
    assert math.isinf(context.known.seconds_until_loaded(*_NAME, context.now))


@then('its view has {count:d} absence, and it knows nothing of f')
def then_knows_nothing(context, count):
    assert _apply(context) == count
    assert not context.known.loaded_at_by_name


@then('its view has {count:d} absences')
@then('its next view has {count:d} absences')
def then_count(context, count):
    assert _apply(context) == count


@when('a leader without absences sends its first view')
def when_other_leader(context):
    context.known.apply((), context.now, is_full=True)


@then('it knows nothing of f')
def then_forgotten(context):
    assert not context.known.loaded_at_by_name


def _apply(context):
    view = _told(context, context.boot, context.base)
    context.known.apply(view.absences, context.now, is_full=not view.base)
    context.base = view.sequence
    return len(view.absences)


@when('{count:d} models become absent')
def when_become_absent(context, count):
    context.logged = LoggedAbsences()
    context.absent = [f'm{number}' for number in range(count)]
    context.news = context.logged.update(context.absent)


@then('the log names {count:d} absent models in {lines:d} lines, none twice')
def then_named_absent(context, count, lines):
    absent, present = context.news
    assert sorted(name for line in absent for name in line) == sorted(
        context.absent
    )
    assert (len(context.absent), len(absent), present) == (count, lines, [])


@when('one of them has a copy again')
def when_present(context):
    context.news = context.logged.update(context.absent[1:])


@then('the log names it as present, and no other model')
def then_named_present(context):
    assert context.news == ([], [['m0']]), context.news
