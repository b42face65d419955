"""Steps for overdue requests that end before they are refused."""

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

_DEADLINE_SECONDS = 10


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
    context.dispatcher = Dispatcher(capacity)
    for name, deadline in (
        ('late', _DEADLINE_SECONDS),
        ('early', 2 * _DEADLINE_SECONDS),
    ):
        request = ServingRequest(
            name, 'acme', 'key', 'm', True, 1, deadline, received_at=0
        )
        context.dispatcher.submit(request, 0)
    # Any event makes the dispatcher poll the queue.
    context.dispatcher.on_finished('unknown', 0, _DEADLINE_SECONDS)
    assert 'late' in context.dispatcher.requests_by_id
    context.dispatcher.on_finished('early', 0, _DEADLINE_SECONDS)
    context.actions = []


@when('{event} before the next tick')
def when_event(context, event):
    dispatcher = context.dispatcher
    if event == 'its caller disconnects':
        dispatcher.on_finished('late', 0, _DEADLINE_SECONDS)
    elif event == 'its key is withdrawn':
        current = dispatcher.capacity.configuration
        changed = replace(
            current, generation=2, organisation_id_by_key_digest={}
        )
        context.actions = dispatcher.on_configuration(
            changed, _DEADLINE_SECONDS
        )
    else:
        refusal = ColdStartRefusal('m', 'cold_start_unavailable', 'full', 60)
        context.actions = dispatcher.on_message(refusal, _DEADLINE_SECONDS)


@then('the tick gives it no second answer')
def then_no_second(context):
    actions = [
        *context.actions,
        *context.dispatcher.tick(_DEADLINE_SECONDS + 1),
    ]
    refused = [a.request_id for a in actions if isinstance(a, Refuse)]
    assert refused.count('late') <= 1, refused
    assert 'late' not in context.dispatcher.requests_by_id
