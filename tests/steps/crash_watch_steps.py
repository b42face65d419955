"""Steps for the detection of crashed targets."""

import math
import time
from dataclasses import replace

import anyio
import anyio.lowlevel
from behave import given, then, when

from cowsliprack.state.target_registry import TargetRegistry, TargetState
from cowsliprack.transport.crash_watch import CrashWatch
from tests.support.routed import target_record


@given('a registered target that is {state:w} and {kind}')
def given_target(context, state, kind):
    context.target = target_record('e1', born=1, state=TargetState(state))
    context.registry = TargetRegistry()
    context.registry.replace([context.target], 1)
    context.crashes = []
    context.closed_after = math.inf
    context.broke_at = 0
    context.asked = None
    context.connections = 0

    async def is_refused(_host, _port):
        context.connections += 1
        if context.asked is not None:
            context.asked.set()
        if kind == 'drops every packet':
            await anyio.sleep_forever()
        await anyio.lowlevel.checkpoint()
        is_closed = time.monotonic() >= context.closed_after + context.broke_at
        return kind == 'refuses connections' or is_closed

    context.watch = CrashWatch(
        context.registry,
        lambda _target, crash: context.crashes.append(crash),
        is_refused,
    )


@given('its port is closed {delay:d} ms after its connections')
def given_closed_later(context, delay):
    context.closed_after = delay / 1000


@when('{count:d} request to it breaks')
@when('{count:d} requests to it break at the same time')
def when_break(context, count):
    context.broke_at = time.monotonic()

    async def break_all():
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(context.watch.check, context.target)

    anyio.run(break_all)


@when('its entry is removed')
def when_removed(context):
    context.registry.replace([], 2)


@when('it restarts under the same id')
def when_restarts(context):
    context.target = replace(context.target, born=2)
    context.registry.replace([context.target], 2)


@when('a caller leaves during the check')
def when_leaves(context):
    async def leave():
        context.asked = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(context.watch.check, context.target)
            await context.asked.wait()
            tasks.cancel_scope.cancel()

    anyio.run(leave)


@then('{crashes:d} crashes are recorded with {connections:d} new connections')
def then_crashes(context, crashes, connections):
    assert len(context.crashes) == crashes, context.crashes
    assert context.connections == connections, context.connections
