"""Steps for requests that are passed to another instance."""

import time

import anyio
from behave import given, then, when

from cowsliprack.protocol.gateway_messages import PassCancelled, PassedRequest
from cowsliprack.transport.request_passing import RequestPassing

_REQUEST = PassedRequest('i1', '', 5, 'GET', '/x', b'', (), b'', 0.1)
_PAUSES = {'at the same time': 0.0, '0.05 seconds apart': 0.05}


def _passing():
    return RequestPassing(
        'i2',
        '',
        lambda *_message: True,
        tuple,
        lambda _service: True,
        time.monotonic,
    )


@given('an instance that serves passed requests in {seconds:g} seconds')
def given_instance(context, seconds):
    context.served = []
    context.passing = _passing()

    async def serve(exchange, _passed, _arrived_at):
        await anyio.sleep(seconds)
        context.served.append(exchange)
        return False

    context.passing.serve = serve


async def _receive(passing, pause):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(passing.run)
        await anyio.sleep(0.01)
        passing.handle(_REQUEST)
        if pause is not None:
            if pause:
                await anyio.sleep(pause)
            passing.handle(PassCancelled('i1', 5))
        await anyio.sleep(0.4)
        with anyio.fail_after(1):
            await passing.wait_idle()
        tasks.cancel_scope.cancel()


@when('a request and its cancellation arrive {when_they}')
def when_cancelled(context, when_they):
    anyio.run(_receive, context.passing, _PAUSES[when_they])


@when('a request arrives')
def when_arrived(context):
    anyio.run(_receive, context.passing, None)


@then('it has served {count:d} requests')
def then_served(context, count):
    assert len(context.served) == count, context.served


@then('two processes of an instance begin with different numbers')
def then_numbers(_context):
    assert _passing()._last_number != _passing()._last_number
