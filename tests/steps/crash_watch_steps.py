"""Steps for the detection of crashed targets."""

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
    context.connections = 0

    async def is_refused(_host, _port):
        context.connections += 1
        if kind == 'drops every packet':
            await anyio.sleep_forever()
        await anyio.lowlevel.checkpoint()
        return kind == 'refuses connections'

    context.watch = CrashWatch(
        context.registry,
        lambda _target, crash: context.crashes.append(crash),
        is_refused,
    )


@when('{count:d} request to it breaks')
@when('{count:d} requests to it break at the same time')
def when_break(context, count):
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
        with anyio.move_on_after(0.01):
            await context.watch.check(context.target)

    anyio.run(leave)


@then('{crashes:d} crashes are recorded with {connections:d} new connections')
def then_crashes(context, crashes, connections):
    assert len(context.crashes) == crashes, context.crashes
    assert context.connections == connections, context.connections
