"""Steps for the analysis of models and adapters never served."""

import json

from behave import given, then, when

from tools.bench.starved_names import most_served, read_day


def _add(context, at, **entry):
    context.lines.append(f'  {at:.4f} front-1 {json.dumps(entry)}')


def _add_request(context, at, outcome, status, name='f'):
    model, _, adapter = name.partition('/')
    _add(
        context,
        at,
        event='request',
        model=model,
        adapter=adapter,
        outcome=outcome,
        status=status,
        total_ms=0,
    )


@given('the log of a day with requests for f at {times} seconds')
def given_day(context, times):
    context.lines = ['built in 3 s', '   not.json']
    for time in times.replace(' and', ',').split(','):
        _add_request(context, float(time), 'cold_start_unavailable', 503)


@given('no further line')
def given_nothing(context):
    assert context.lines


@given('an answer with status {status:d}')
def given_answer(context, status):
    _add_request(context, 13, 'answered', status)


@given('an answer with status {status:d} for {name:S}')
def given_adapter_answer(context, status, name):
    _add_request(context, 13, 'answered', status, name)


def _add_load(context, at, target, *, is_cold):
    _add(
        context,
        at,
        decision='placement',
        choice='load f',
        reason='accepted',
        target=target,
        is_cold=is_cold,
    )


@given('a load of f from the weight store from {began:d} to {ended:d} seconds')
def given_cold_load(context, began, ended):
    _add_load(context, began, 'e1', is_cold=True)
    _add(context, ended, decision='cold_load_ended', choice='f', target='e1')


@given('a load of f from a disk at {began:d} seconds')
def given_disk_load(context, began):
    _add_load(context, began, 'e2', is_cold=False)


@when('the log is read')
def when_read(context):
    context.day = read_day(context.lines)


@then('the names never served are "{names}"')
@then('the names never served are ""')
def then_starved(context, names=''):
    assert ', '.join(context.day.starved()) == names, context.day.starved()


@then('its loads served "{uses}"')
def then_uses(context, uses):
    counted = sorted(context.day.load_uses().items())
    found = ', '.join(f'{count} {use}' for use, count in counted)
    assert found == uses, found


@then('the loads from the weight store are "{text}"')
def then_cold_loads(context, text):
    loads = [
        f'{began:g} to {end} {name}'
        for began, end, name in context.day.cold_loads()
    ]
    assert ', '.join(loads) == text, loads


@then('{count:d} models needed the weight store')
def then_needed(context, count):
    assert len(context.day.last_chances()) == count


@when('the last callers leave at {times} seconds')
def when_leaving(context, times):
    context.last_chances = [float(time) for time in times.split(',')]


@when('loads can end at {first:d} seconds and every {each:d} seconds after it')
def when_loads(context, first, each):
    context.most = most_served(context.last_chances, first, each)


@then('at most {most:d} models can be served')
def then_most(context, most):
    assert context.most == most, context.most
