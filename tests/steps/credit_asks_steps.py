"""Steps for credit that requests wait for."""

import time

import anyio
from behave import given, then, when

from cowsliprack.coordination.token_credit import TokenCredit
from cowsliprack.protocol.gateway_messages import CreditAnswer
from cowsliprack.state.routing_table import OrganisationLimits
from cowsliprack.transport.credit_asks import CreditAsks

_TOKENS = 1000
_INSTANCES = 195
_PATIENCE_SECONDS = 5


@given('an instance without credit whose leader was heard {age:g} seconds ago')
def given_instance(context, age):
    context.organisation = OrganisationLimits(
        name='o',
        priority=None,
        rate=10000,
        burst=10000,
        counts_tokens=True,
        default_tokens=200,
    )
    context.leader = 'i1'
    context.asked = []
    heard_at = time.monotonic() - age

    context.second_asked = anyio.Event()

    def send(ask):
        context.asked.append((context.leader, ask))
        if context.leader == 'i2':
            context.second_asked.set()

    credit = TokenCredit(0, 8, _INSTANCES)
    while (
        credit.spend_ahead(context.organisation, _TOKENS, time.monotonic())
        is not None
    ):
        continue
    context.asks = CreditAsks(
        'i0',
        credit,
        lambda: context.leader,
        send,
        lambda: heard_at,
        time.monotonic,
    )


def _answer(context):
    _, ask = context.asked[-1]
    context.asks.apply_answer(
        CreditAnswer(1, 'o', ask.tokens, 0, ask.number), context.organisation
    )


async def _reserve(context, act_after, act):
    async def act_later():
        await anyio.sleep(act_after)
        act()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(act_later)
        with anyio.fail_after(_PATIENCE_SECONDS):
            began_at = time.monotonic()
            context.retry_after = await context.asks.reserve(
                context.organisation, _TOKENS
            )
        context.took = time.monotonic() - began_at
        tasks.cancel_scope.cancel()


@when('a request needs credit and the leader answers after {seconds:g} seconds')
def when_answered(context, seconds):
    anyio.run(_reserve, context, seconds, lambda: _answer(context))


@when(
    'a request needs credit and another leader takes over after {seconds:g} '
    'seconds'
)
def when_changed(context, seconds):
    async def run():
        context.second_asked = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_answer_as_second, context)
            await _reserve(context, seconds, lambda: _change(context))
            tasks.cancel_scope.cancel()

    anyio.run(run)


def _change(context):
    context.leader = 'i2'


async def _answer_as_second(context):
    await context.second_asked.wait()
    _answer(context)


@when('the answers to it and to another one arrive later')
def when_late(context):
    # One pays the debt of the instance.
    _answer(context)
    _answer(context)


@then('the request is {result} within {seconds:g} seconds')
def then_result(context, result, seconds):
    assert (context.retry_after is None) == (result == 'admitted'), (
        context.retry_after
    )
    assert context.took <= seconds, context.took


@then('both leaders have been asked once')
def then_both(context):
    assert [leader for leader, _ in context.asked] == ['i1', 'i2']


@then('the next request is admitted without an ask')
def then_next(context):
    context.asked.clear()
    anyio.run(_reserve, context, 1, lambda: None)
    assert context.retry_after is None
    assert not context.asked
