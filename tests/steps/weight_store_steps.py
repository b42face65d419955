"""Steps for the order of loads from the weight store."""

import math
from dataclasses import replace

from behave import given, then, when

from cowsliprack.coordination.model_scheduler import GroupDemand
from cowsliprack.coordination.region_state import RegionState, finish_order
from cowsliprack.protocol.gateway_messages import MemberReport
from cowsliprack.protocol.message_level import MESSAGE_LEVEL, new_process_id
from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.engine_state import EngineOrder, EngineState
from cowsliprack.state.routing_table import (
    EngineSpec,
    ModelSpec,
    RoutingTable,
    ServiceSpec,
)
from tests.support.routed import target_record

_NOW = 1000.0
_COLD_SECONDS = 6.0
_PLAN_SECONDS = 0.1


def _engine(context, name, on_disk=''):
    record = target_record(name, on_disk=frozenset(on_disk))
    engine = EngineState(record, surveyed=True)
    context.scheduler.engines_by_id[name] = engine
    return engine


def _begin(context, turns=None):
    models = {
        name: ModelSpec(name, 70, 1, _COLD_SECONDS, 0.6, 0.45)
        for name in 'acde'
    }
    spec = EngineSpec(32, 80000, 160, 8, 9, models)
    context.state = RegionState(7, 'i0', '127.0.0.1:1', first_turns=turns or {})
    context.state.apply_routing_table(
        RoutingTable(
            generation=1,
            services_by_name={'s': ServiceSpec('s', 1, engine=spec)},
        )
    )
    context.scheduler = context.state.schedulers_by_service['s']
    context.scheduler.cold_loads.store_limit = 1
    context.groups = {}
    context.now = _NOW


def _plan(context, seconds=_PLAN_SECONDS):
    for _ in range(round(seconds / _PLAN_SECONDS)):
        context.now += _PLAN_SECONDS
        # Demand goes on, so that nothing is loaded ahead of it.
        context.scheduler.rates.add('a', 2, context.now)
        context.scheduler.plan(list(context.groups.values()), context.now)
    context.state.refresh_absences(context.now)


def _wait(context, model, seconds, count=1):
    context.groups[model] = GroupDemand(
        's',
        model,
        '',
        count,
        context.now + 1,
        context.now + seconds,
        context.now,
    )


def _loading(context):
    return [
        engine.loading_model()
        for engine in context.scheduler.engines_by_id.values()
        if engine.loading_model()
    ]


@given('a weight store that loads one model at a time in 6 seconds')
def given_store(context):
    _begin(context)
    _engine(context, 'e1', 'a')
    _engine(context, 'e2', 'a')
    _plan(context, 6)


@when('requests wait for e')
def when_waiting_for_e(context):
    _wait(context, 'e', 9)


@when('the leader plans')
def when_planned(context):
    _plan(context)


@given('a request for d long ago, whose caller has left')
def given_earlier_request(context):
    engines = context.scheduler.engines_by_id.values()
    for engine in engines:
        # No load begins while the engines carry out an order.
        engine.order = EngineOrder(engine.target_id, OrderKind.load, 'a', 'x')
    _wait(context, 'd', 9)
    _plan(context, 1)
    context.groups.clear()
    _plan(context, 1)
    for engine in engines:
        engine.order = None


@given('the weight store is busy with e')
def given_busy(context):
    _wait(context, 'e', 20)
    _plan(context)
    context.groups.clear()
    context.loading = next(
        engine
        for engine in context.scheduler.engines_by_id.values()
        if engine.loading_model() == 'e'
    )
    context.loading.order_accepted_at = context.now
    _plan(context, 1)


@when('a request waits for c, for which it is told to wait')
def when_told_to_wait(context):
    _wait(context, 'c', 20)
    _plan(context)
    due_at = context.scheduler.loads_due(context.now)['c']
    assert due_at < context.groups['c'].gives_up_at, due_at


@when('a request waits for d')
@when('{count:d} requests wait for d')
def when_others_wait(context, count=1):
    _wait(context, 'd', 20, count)
    _plan(context)


@when('requests wait for c and d, for too short a time to be told to wait')
def when_brief(context):
    _wait(context, 'c', 8)
    _wait(context, 'd', 8)


@when('the callers of c leave')
def when_leave(context):
    context.groups.pop('c')
    _plan(context)


@when('the load of e ends')
def when_load_ends(context):
    finish_order(context.loading, context.loading.order, context.now)
    context.loading.record = replace(
        context.loading.record, on_disk=frozenset('ae')
    )
    _plan(context)


@when('the engine that loads e is lost, and another one comes')
def when_lost(context):
    context.scheduler.engines_by_id.pop(context.loading.target_id)
    _engine(context, 'e3')
    _plan(context, 1)


@then('{model:w} is being loaded')
def then_loading(context, model):
    assert _loading(context) == [model], _loading(context)


@then('c is being loaded once the store has ended the lost load')
def then_loading_later(context):
    assert not _loading(context), _loading(context)
    _plan(context, 6)
    assert _loading(context) == ['c'], _loading(context)


@then('no load has begun')
def then_none(context):
    assert not _loading(context), _loading(context)


@then('the members are told that e is loaded in 6 seconds')
def then_told_end(context):
    told = context.state.view_for(_member(context), context.now).absences
    ends = {one.model: one.loaded_in for one in told}
    assert math.isclose(ends['e'], _COLD_SECONDS, abs_tol=0.2), ends


@given('an instance reports that a request for d was sent {when}')
def given_report(context, when):
    counts = [1] if 'before' in when else [0, 1]
    for sequence, count in enumerate(counts, start=1):
        started = {'d': count} if count else {}
        report = _report(context, sequence, started)
        context.state.apply_report(report, context.now)


def _report(context, sequence, started):
    if sequence == 1:
        context.boot = new_process_id(MESSAGE_LEVEL)
    return MemberReport(
        'i1',
        '127.0.0.1:2',
        'z',
        context.boot,
        sequence,
        5.0,
        0,
        7,
        started_by_model=started,
    )


def _member(context):
    report = _report(context, 1, {})
    context.state.apply_report(report, context.now)
    return context.state.members_by_id['i1']


@when('a request that came back waits for c for 1 second more')
def when_one_caller(context):
    _wait(context, 'c', -1)


@when('2 that came back wait for c for 1 second more')
def when_two_callers(context):
    _wait(context, 'c', -1, 2)


@when('2 that came back wait for c, and one that can wait longer for d')
def when_one_waits_longer(context):
    _wait(context, 'c', -1, 2)
    _wait(context, 'd', 9)


@when('another waits for c after the first for 1 second more')
def when_next_caller(context):
    _wait(context, 'c', -1)
    _plan(context)
    assert not _loading(context), _loading(context)
    context.groups.clear()
    _plan(context, 1)
    _wait(context, 'c', -1)


@given('the last leader has told that c is due in 9 seconds')
def given_next_leader(context):
    _begin(context, {('s', 'c'): _NOW + 9})
    _engine(context, 'e1', 'a')


@given('an engine {what}')
def given_other_engine(context, what):
    engine = _engine(context, 'e2', 'c' if 'with c' in what else '')
    engine.surveyed = 'not surveyed' not in what
    if 'that loads d' in what:
        context.scheduler.earlier_loads = {'d': context.now + 4}
        _engine(context, 'e3').order = EngineOrder('e3', OrderKind.load, '')
    if 'unknown order' in what:
        # A survey says that an engine carries out an order, but not which.
        engine.order = EngineOrder('e2', OrderKind.load, '')


@then('the members are told that c has no load, and when d is loaded')
def then_told_both(context):
    told = context.state.view_for(_member(context), context.now).absences
    seconds = {one.model: one.loaded_in for one in told}
    assert seconds.keys() == {'c', 'd'} and seconds['c'] == -1, seconds
    assert math.isclose(seconds['d'], 4, abs_tol=0.2), seconds


@then('the members are told nothing of c, but when d is loaded')
def then_told_load(context):
    told = context.state.view_for(_member(context), context.now).absences
    assert [one.model for one in told] == ['d'], told


@then('the members are told that c has no load')
def then_told_no_load(context):
    told = context.state.view_for(_member(context), context.now).absences
    assert {one.model: one.loaded_in for one in told} == {'c': -1}, told


@then('the members are told nothing of c')
def then_told_nothing(context):
    told = context.state.view_for(_member(context), context.now).absences
    assert not [one for one in told if one.model == 'c'], told
