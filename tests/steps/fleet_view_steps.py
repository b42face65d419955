"""Steps for the targets that one instance knows."""

from dataclasses import replace

from behave import given, then, when

from cowsliprack.coordination.fleet_view import FleetView
from cowsliprack.state.target_registry import LoadedModel, TargetState
from tests.support.routed import target_record

_NOW = 1000.0


def _put(context, record):
    context.records_by_id[record.target_id] = record
    context.revision += 1
    context.fleet.registry.replace(
        list(context.records_by_id.values()), context.revision
    )
    context.fleet.registry_changed(context.now)


def _engine(name, model):
    return target_record(
        name, loaded_models_by_name={model: LoadedModel(1)}, service='llm'
    )


@given('engine e1 that holds m0, seen {state:w}')
def given_engine(context, state):
    context.fleet = FleetView()
    context.records_by_id = {}
    context.revision = 0
    context.now = _NOW
    record = _engine('e1', 'm0')
    _put(context, replace(record, state=TargetState(state)))


@given('e1 is the only engine')
def given_no_other(context):
    assert set(context.records_by_id) == {'e1'}


@given('engine e2 that holds {model:w}')
def given_other(context, model):
    _put(context, _engine('e2', model))


@given('e1 says that it ends')
def given_ending(context):
    assert context.fleet.registry.mark_leaving('e1')


@given('e1 says that it lacks m0')
def given_lacking(context):
    context.fleet.mark_missing('e1', 'm0', '')


@when('e1 has been seen draining for {seconds:g} seconds')
def when_draining(context, seconds):
    record = context.records_by_id['e1']
    _put(context, replace(record, state=TargetState.draining))
    context.now += seconds
    # A change of another entry does not begin the time again.
    _put(context, _engine('e9', 'm9'))


@when('e1 is ready again')
def when_ready(context):
    record = context.records_by_id['e1']
    _put(
        context,
        replace(record, state=TargetState.ready, born=record.born + 1),
    )


@then('requests for m0 may go to {names} at first, and {leaving} after a while')
def then_candidates(context, names, leaving):
    wanted = ('llm', 'm0', '', context.now)
    _check(context.fleet.candidates(*wanted), names)
    _check(context.fleet.leaving_candidates(*wanted), leaving)


def _check(found, names):
    expected = [] if names == 'nobody' else names.split(', ')
    assert [record.target_id for record in found] == expected, found
