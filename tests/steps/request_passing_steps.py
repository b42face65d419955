"""Steps for requests that are passed to another instance."""

import contextlib
import time

import anyio
from behave import given, then, when

from cowsliprack.exceptions import Ran, ServingError
from cowsliprack.protocol.gateway_messages import (
    PassCancelled,
    PassedPart,
    PassedRequest,
    PassOffer,
    PassReply,
    PeerView,
)
from cowsliprack.transport.exchange import Exchange
from cowsliprack.transport.request_passing import RequestPassing
from tests.support.routed import routed_request

_REQUEST = PassedRequest('i1', '', 5, 'GET', '/x', b'', (), b'', 0.1)
_PAUSES = {'at the same time': 0.0, '0.05 seconds apart': 0.05}


def _passing(deliver=lambda *_message: True, peers=()):
    return RequestPassing(
        'i2',
        '',
        deliver,
        lambda: peers,
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


@given('an instance that reaches no target, and one other instance')
def given_cut_off(context):
    context.offers = []
    context.passed = []

    def deliver(_instance_id, _address, message):
        if isinstance(message, PassOffer):
            context.offers.append(message)
            if len(context.offers) > 1:
                reply = PassReply('i1', message.number, True)
                context.passing.handle(reply)
        if isinstance(message, PassedRequest):
            context.passed.append(message)
        return False

    peers = (PeerView('i1', '', 'z', 'b1'),)
    context.passing = _passing(deliver, peers)


@when('the first of 2 offers gets no answer')
def when_not_answered(context):
    async def pass_two():
        for _ in range(2):
            exchange = Exchange('GET', '/x', '/x', b'', [], None, None)
            request = routed_request(
                '/stock/1', 'shop', time.monotonic(), 5, exchange=exchange
            )
            with contextlib.suppress(ServingError):
                await context.passing.pass_on(request)

    anyio.run(pass_two)


@given(
    'an instance that reaches no target, and another one that answers with '
    'the status {status:d}'
)
def given_answering(context, status):
    def deliver(_instance_id, _address, message):
        if isinstance(message, PassOffer):
            reply = PassReply('i1', message.number, True)
            context.passing.handle(reply)
        if isinstance(message, PassedRequest):
            part = PassedPart(
                'i1', message.number, 0, status, (), b'body', is_last=True
            )
            context.passing.handle(part)
        return True

    peers = (PeerView('i1', '', 'z', 'b1'),)
    context.passing = _passing(deliver, peers)


@when('a request is passed on')
def when_passed(context):
    context.outcome = anyio.run(_pass_on, context.passing)


async def _pass_on(passing):
    messages = []

    async def send(message):
        messages.append(message)

    exchange = Exchange('GET', '/x', '/x', b'', [], None, send)
    request = routed_request(
        '/stock/1', 'shop', time.monotonic(), 5, exchange=exchange
    )
    try:
        await passing.pass_on(request)
    except ServingError as error:
        assert error.ran is Ran.may_have_run, error.ran
        assert not messages, messages
        return error.kind.value
    return str(messages[0]['status'])


@then('the caller of the passed request gets {outcome}')
def then_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


@then('the second request is passed on')
def then_passed(context):
    assert len(context.offers) == 2, context.offers
    assert len(context.passed) == 1, context.passed


@then('two processes of an instance begin with different numbers')
def then_numbers(_context):
    assert _passing()._last_number != _passing()._last_number
