"""Steps for the inbox of the dispatch loop."""

import random

import anyio
from behave import given, then, when

from cowsliprack.coordination.capacity import Capacity
from cowsliprack.coordination.dispatcher import Dispatcher
from cowsliprack.metrics import Metrics
from cowsliprack.protocol.peer import TargetLeaving
from cowsliprack.state.configuration import Configuration
from cowsliprack.transport.dispatch_loop import (
    DispatchLoop,
    Drain,
    NewConfiguration,
    PeerMessageReceived,
)

_EVENTS_ABOVE_CAPACITY = 10_000


@given('a dispatch loop whose inbox is full of peer messages')
def given_full_inbox(context):
    dispatcher = Dispatcher(Capacity('a', 'epoch', random.Random(1)))
    context.dispatch_loop = DispatchLoop(
        dispatcher, Metrics(), lambda message: None, anyio.current_time
    )
    for _ in range(_EVENTS_ABOVE_CAPACITY):
        context.dispatch_loop.post(PeerMessageReceived(TargetLeaving('e1')))


@when('{event} is posted and the loop runs')
def when_posted(context, event):
    context.dispatch_loop.post(
        Drain()
        if event == 'a drain'
        else NewConfiguration(Configuration(generation=7))
    )

    async def run():
        with anyio.move_on_after(0.5):
            await context.dispatch_loop.run()

    anyio.run(run)


@then('that configuration is in force')
def then_configuration_in_force(context):
    capacity = context.dispatch_loop.dispatcher.capacity
    assert capacity.configuration.generation == 7


@then('new requests are refused')
def then_refused(context):
    assert context.dispatch_loop.dispatcher.draining
