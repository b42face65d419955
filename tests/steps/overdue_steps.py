"""Steps for requests that the queue has found overdue."""

import random
from dataclasses import replace

from behave import given, then, when

from cowsliprack.coordination.capacity import Capacity
from cowsliprack.coordination.dispatcher import Dispatcher
from cowsliprack.coordination.serving import Refuse, ServingRequest
from cowsliprack.protocol.peer import ColdStartRefusal
from cowsliprack.state.configuration import (
    Configuration,
    Deployment,
    Organisation,
)

_DEADLINE = 10


@given('a request that the queue has found overdue')
def given_overdue(context):
    capacity = Capacity('z', 'epoch', random.Random(1))
    capacity.apply_configuration(
        Configuration(
            generation=1,
            zones=('z',),
            organisations_by_id={'acme': Organisation('acme', 100, 100)},
            organisation_id_by_key_digest={'key': 'acme'},
            deployments_by_name={'m': Deployment('m', 'm', 'v', 1, 1, 'p')},
        )
    )
    context.overdue_path = Dispatcher(capacity)
    for name, deadline in (('late', _DEADLINE), ('early', 2 * _DEADLINE)):
        request = ServingRequest(
            name, 'acme', 'key', 'm', True, 1, deadline, received_at=0
        )
        context.overdue_path.submit(request, 0)
    # Any event asks the queue for the next request.
    context.overdue_path.on_finished('unknown', 0, _DEADLINE)
    assert 'late' in context.overdue_path.requests_by_id
    context.overdue_path.on_finished('early', 0, _DEADLINE)
    context.overdue_answers = []


@when('{event} before the next tick')
def when_event(context, event):
    path = context.overdue_path
    if event == 'its caller goes away':
        path.on_finished('late', 0, _DEADLINE)
    elif event == 'its key is withdrawn':
        before = path.capacity.configuration
        later = replace(before, generation=2, organisation_id_by_key_digest={})
        context.overdue_answers = path.on_configuration(later, _DEADLINE)
    else:
        refusal = ColdStartRefusal('m', 'cold_start_unavailable', 'full', 60)
        context.overdue_answers = path.on_message(refusal, _DEADLINE)


@then('the tick gives it no second answer')
def then_no_second(context):
    answers = [
        *context.overdue_answers,
        *context.overdue_path.tick(_DEADLINE + 1),
    ]
    refused = [a.request_id for a in answers if isinstance(a, Refuse)]
    assert refused.count('late') <= 1, refused
    assert 'late' not in context.overdue_path.requests_by_id
