"""Steps for instances of an earlier build in one fleet with this build."""

import sys

import httpx
from behave import given, then, when

from tests.support.earlier_build import earlier_build
from tools.fleet import KEYS_BY_ORGANISATION, Fleet, chat
from tools.processes import ProcessGroup, wait_until

_WARM_MODEL = 'fault-answers'
_COLD_MODEL = 'maintenance-plans'
# Time in which an answer is expected after a change of the leaders.
_ANSWER_SECONDS = 30


def _program(build):
    if build == 'this build':
        return [sys.executable, '-m', 'cowsliprack']
    folder = earlier_build(build)
    return [
        'env',
        '-C',
        str(folder),
        f'PYTHONPATH={folder}',
        sys.executable,
        '-m',
        'cowsliprack',
    ]


def _order(child):
    return httpx.post(
        f'{child.url}/services/orders/new',
        json={'part': 'burner'},
        headers={
            'authorization': f'Bearer {KEYS_BY_ORGANISATION["acme"]}',
            'idempotency-key': 'mixed-1',
        },
        trust_env=False,
        timeout=20,
    )


@given('a fleet of {build} with 1 instance in each zone')
def given_fleet(context, build):
    group = ProcessGroup(program=_program(build))
    context.add_cleanup(group.close)
    context.fleet = Fleet(group)
    context.fleet.start()
    context.first = list(context.fleet.instances_by_id.values())


@given('a keyed order that an instance of {build} has answered')
def given_order(context, build):
    context.recorded = _order(context.first[0])
    assert context.recorded.is_success, (build, context.recorded.text)


@when('an instance of {build} joins in each zone')
def when_joins(context, build):
    fleet = context.fleet
    fleet.processes.program = _program(build)
    context.second = [
        fleet.start_instance(f'{zone[-1]}9', zone) for zone in fleet.zones
    ]
    fleet.wait_until_ready()


def _assert_answers(child, model):
    def answers():
        return chat(child, model).is_success

    assert wait_until(answers, _ANSWER_SECONDS), (child.name, model)


@then('all instances answer warm requests, and load models by demand')
def then_all_answer(context):
    for child in (*context.first, *context.second):
        _assert_answers(child, _WARM_MODEL)
        _assert_answers(child, _COLD_MODEL)


@then('an instance of {build} repeats the recorded answer')
def then_repeats(context, build):
    repeated = _order(context.second[0])
    assert repeated.text == context.recorded.text, (build, repeated.text)
    assert repeated.status_code == context.recorded.status_code


@when('the instances of {build} are killed')
def when_killed(context, build):
    for child in context.first:
        assert child.kill() is None, build


@then('the other instances answer warm requests')
def then_others_answer(context):
    for child in context.second:
        _assert_answers(child, _WARM_MODEL)
