"""Steps for sending orders to engines."""

import math
import time
from functools import partial
from types import SimpleNamespace

import anyio
import httpx
from anyio.abc import SocketAttribute
from behave import given, then, when

from cowsliprack.coordination.lease_record import NEVER, Candidate
from cowsliprack.coordination.lease_terms import LeaseTerms
from cowsliprack.coordination.model_scheduler import ModelScheduler
from cowsliprack.coordination.region_state import RegionState
from cowsliprack.platform.engine_client import EngineClient
from cowsliprack.protocol.engine import (
    EngineSurvey,
    OrderAnswer,
    OrderPreconditions,
)
from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.engine_state import EngineOrder, EngineState
from cowsliprack.state.routing_table import EngineSpec, ModelSpec
from cowsliprack.state.target_registry import LoadedModel
from cowsliprack.transport.checked_transport import CheckedTransport
from cowsliprack.transport.order_executor import OrderExecutor
from tests.support.cut_connections import reset
from tests.support.held_engine import HeldEngine
from tests.support.routed import target_record
from tools.standins.objects import ObjectStoreServer
from tools.standins.route_engine import RouteEngine
from tools.standins.web import bind, serve_on

# Time in which the engine reads all that has arrived.
_SETTLE_SECONDS = 1.5


@given('an engine that holds model {model:w} with adapter {adapter:w}')
def given_engine(context, model, adapter):
    context.held = {model: {adapter}}


@when(
    'the executor unloads adapter {old:w} and loads adapter {new:w} '
    'of {model:w}'
)
def when_changed(context, old, new, model):
    anyio.run(_change_adapters, context, old, new, model)


async def _change_adapters(context, old, new, model):
    async with anyio.create_task_group() as tasks:
        listener = bind()
        context.engine = RouteEngine(
            target_id='e1',
            service='llm',
            address=f'127.0.0.1:{listener.getsockname()[1]}',
            zone='zone-a',
            store=ObjectStoreServer(),
            tasks=tasks,
            max_models=2,
            models=context.held,
        )
        stopped = anyio.Event()
        tasks.start_soon(
            serve_on, listener, context.engine.handle, stopped.wait
        )
        async with httpx.AsyncClient(trust_env=False) as client:
            await _order(
                client,
                context.engine,
                [
                    EngineOrder('e1', OrderKind.unload, model, old),
                    EngineOrder('e1', OrderKind.load, model, new),
                ],
            )
        stopped.set()


@given('it is busy for {seconds:g} seconds with an order of an earlier leader')
def given_busy(context, seconds):
    context.busy_seconds = seconds


@when('the executor surveys it')
def when_asked(context):
    anyio.run(_survey_busy, context)


class _Engines:
    """Engines whose survey answer depends on the time since creation."""

    def __init__(self, answer):
        self._answer = answer
        self._began_at = time.monotonic()

    async def survey(self, _record):
        await anyio.sleep(0.01)
        return self._answer(time.monotonic() - self._began_at)


async def _survey_busy(context):
    """Survey a busy engine and record each change with its time."""
    context.changes = []
    began_at = time.monotonic()
    holdings = {
        model: LoadedModel(1, frozenset(adapters))
        for model, adapters in context.held.items()
    }

    def answer(seconds):
        is_busy = seconds < context.busy_seconds
        return EngineSurvey(4, is_busy, 0, holdings)

    state = EngineState(target_record('e1'))
    executor = _executor(
        _Engines(answer),
        state,
        lambda: _record_change(context, state, began_at),
    )
    await executor.survey(state)


def _record_change(context, state, began_at):
    context.changes.append(
        (
            time.monotonic() - began_at,
            state.is_usable() and state.offers('m0'),
            state.order is None,
        )
    )


@then('it is usable with model m0 within {seconds:g} seconds')
def then_usable(context, seconds):
    at, is_usable_with_model, _ = context.changes[0]
    assert is_usable_with_model, context.changes
    assert at < seconds, context.changes


@then('it gets no order before it is idle')
def then_no_order(context):
    for at, _, may_order in context.changes:
        assert may_order == (at >= context.busy_seconds), context.changes


def _executor(engines, state, changed):
    spec = EngineSpec(
        8, 10000, 160, 4, 20, {'m0': ModelSpec('m0', 70, 1, 1, 0.1, 0.1)}
    )
    scheduler = ModelScheduler(spec)
    scheduler.engines_by_id['e1'] = state
    region = RegionState(1, 'g1', '')
    region.schedulers_by_service['llm'] = scheduler
    return OrderExecutor(
        region,
        engines,
        lease_left=lambda: math.inf,
        changed=changed,
        clock=time.monotonic,
        terms=_terms(),
    )


def _terms():
    return LeaseTerms(Candidate('g1', '', 3, 'session'), NEVER)


async def _order(client, engine, orders):
    state = EngineState(target_record('e1', address=engine.address))
    executor = _executor(EngineClient(client), state, SimpleNamespace)
    await executor.survey(state)
    for order in orders:
        await executor.execute(state, order)


@then('it holds adapter {adapter:w} of {model:w}')
def then_holds(context, adapter, model):
    assert context.engine.models[model] == {adapter}, context.engine.models


@then('it was sent {count:d} orders')
def then_orders(context, count):
    assert len(context.engine.orders) == count, context.engine.orders


@given('it does not answer for {seconds:g} seconds')
def given_silent(context, seconds):
    context.silent_seconds = seconds


@when('the executor checks whether it answers')
def when_checked(context):
    anyio.run(_check, context)


async def _check(context):
    context.usable = []

    def answer(seconds):
        is_silent = seconds < context.silent_seconds
        return None if is_silent else EngineSurvey(0, False, 0)

    state = EngineState(target_record('e1'), surveyed=True)
    state.adapters_by_model = context.held
    executor = _executor(
        _Engines(answer),
        state,
        lambda: context.usable.append(state.is_usable()),
    )
    await executor.check_silent(state)


@then('it is usable: no, yes')
def then_usable_again(context):
    assert context.usable == [False, True], context.usable


@given('a process that loads a model as engine {name:w} at the address of e1')
def given_replaced(context, name):
    context.successor = name


@when('the executor loads model m0 on e1 for {seconds:g} seconds')
def when_gone_ordered(context, seconds):
    order = EngineOrder('e1', OrderKind.load, 'm0')
    anyio.run(
        _reach_successor,
        context,
        lambda executor, state: executor.execute(state, order),
        seconds,
    )


@when('the executor surveys e1 for {seconds:g} seconds')
def when_gone_surveyed(context, seconds):
    anyio.run(
        _reach_successor,
        context,
        lambda executor, state: executor.survey(state),
        seconds,
    )


async def _reach_successor(context, action, seconds):
    async with anyio.create_task_group() as tasks:
        listener = bind()
        engine = RouteEngine(
            target_id=context.successor,
            service='llm',
            address=f'127.0.0.1:{listener.getsockname()[1]}',
            zone='zone-a',
            store=ObjectStoreServer(),
            tasks=tasks,
            started_ms=2000,
            busy=True,
            accepted_orders=1,
        )
        stopped = anyio.Event()
        tasks.start_soon(serve_on, listener, engine.handle, stopped.wait)
        context.state = EngineState(
            target_record('e1', address=engine.address, born=1000)
        )
        async with httpx.AsyncClient(trust_env=False) as client:
            executor = _executor(
                EngineClient(client), context.state, SimpleNamespace
            )
            with anyio.move_on_after(seconds):
                await action(executor, context.state)
        stopped.set()


@then('e1 is not usable and carries out no order')
def then_gone(context):
    assert not context.state.is_usable()
    assert not context.state.has_unknown_order()


@given('an engine that reads nothing for {seconds:g} seconds')
def given_held(context, seconds):
    context.held_seconds = seconds


@when('the executor loads model {model:w} on it')
def when_loaded(context, model):
    anyio.run(_load, context, model)


async def _load(context, model):
    context.engine = HeldEngine((model,))
    context.engine.held_until = time.monotonic() + context.held_seconds
    state = EngineState(
        target_record('e1', address=context.engine.address), surveyed=True
    )
    async with (
        anyio.create_task_group() as tasks,
        httpx.AsyncClient(transport=CheckedTransport()) as client,
    ):
        tasks.start_soon(context.engine.run)
        executor = _executor(EngineClient(client), state, SimpleNamespace)
        order = EngineOrder('e1', OrderKind.load, model)
        with anyio.fail_after(context.held_seconds + _SETTLE_SECONDS):
            await executor.execute(state, order)
        await anyio.sleep(_SETTLE_SECONDS)
        tasks.cancel_scope.cancel()


@then(
    'the engine has read at most {before:d} order sent before it went on and '
    '{after:d} after'
)
def then_few(context, before, after):
    assert 1 <= len(context.engine.orders) <= before + after, (
        context.engine.orders
    )


@when('an order of {size:d} bytes is sent to it, which has room for {room:d}')
def when_sent(context, size, room):
    anyio.run(_send_large, context, size, room)


async def _send_large(context, size, room):
    context.engine = HeldEngine((), room=room)
    context.engine.held_until = time.monotonic() + context.held_seconds
    record = target_record('e1', address=context.engine.address)
    async with (
        anyio.create_task_group() as tasks,
        httpx.AsyncClient(transport=CheckedTransport()) as client,
    ):
        tasks.start_soon(context.engine.run)
        answer = await EngineClient(client).send_order(
            record,
            EngineOrder('e1', OrderKind.load, 'm' * size),
            OrderPreconditions('g1', 1, 0),
            lambda: True,
        )
        assert answer is OrderAnswer.unknown, answer
        await anyio.sleep(context.held_seconds + _SETTLE_SECONDS)
        tasks.cancel_scope.cancel()


@then('the engine has read no order')
def then_none(context):
    assert not context.engine.orders, context.engine.orders


@when('an engine that {fault} gets an order')
def when_faulty(context, fault):
    anyio.run(_send_once, context, fault)


async def _answer_badly(fault, stream):
    await stream.receive()
    if fault == 'answers 503':
        await stream.send(b'HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n')
        await anyio.sleep_forever()
    if fault == 'does not answer':
        await anyio.sleep_forever()
    if fault == 'resets its connection':
        reset(stream)
    await anyio.aclose_forcefully(stream)


async def _send_once(context, fault):
    listeners = await anyio.create_tcp_listener(
        local_host='127.0.0.1', local_port=0
    )
    host, port = listeners.extra(SocketAttribute.local_address)  # noqa: S610
    async with (
        listeners,
        anyio.create_task_group() as tasks,
        httpx.AsyncClient(transport=CheckedTransport()) as client,
    ):
        tasks.start_soon(listeners.serve, partial(_answer_badly, fault))
        terms = _terms()
        executor, next_one = (
            OrderExecutor(
                RegionState(1, 'g1', ''),
                EngineClient(client),
                lease_left=lambda: math.inf,
                changed=lambda: None,
                clock=time.monotonic,
                terms=terms,
            )
            for _ in range(2)
        )
        context.answer = await executor._send_once(
            EngineState(target_record('e1', address=f'{host}:{port}')),
            EngineOrder('e1', OrderKind.load, 'm0'),
        )
        # A lease that has lapsed is renewed in a new term.
        context.has_settled = executor.has_settled()
        assert next_one.has_settled() == context.has_settled
        tasks.cancel_scope.cancel()


@then('the order may have been accepted')
def then_in_doubt(context):
    assert context.answer in {OrderAnswer.unknown, OrderAnswer.unclear}


@then('the next leader may order at once: {answer}')
def then_settled(context, answer):
    assert context.has_settled == (answer == 'yes'), context.answer
