"""Steps for deadlines that count only running time."""

import math
import re
import time

import anyio
import httpx
from anyio import lowlevel
from anyio.abc import SocketAttribute
from behave import given, then, when
from structlog.testing import capture_logs

from cowsliprack.transport.checked_transport import CheckedTransport
from cowsliprack.transport.running_time import RunningTime

_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_READ_BYTES = 4096


@given('an event loop that {state}')
def given_loop(context, state):
    held_up = re.search(r'for ([\d.]+) s', state)
    context.block_seconds = float(held_up[1]) if held_up else 0
    context.running_time = RunningTime()


def _run(context, operation):
    """Run an operation beside work that holds up each round of the loop."""

    async def work():
        while True:
            await lowlevel.checkpoint()
            time.sleep(context.block_seconds)  # noqa: ASYNC251

    async def main():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(context.running_time.run)
            if context.block_seconds:
                tasks.start_soon(work)
            await anyio.sleep(0.01)
            context.began_at = time.monotonic()
            try:
                context.result = await operation()
            except (TimeoutError, httpx.ConnectError) as error:
                context.result = error
            context.took = time.monotonic() - context.began_at
            tasks.cancel_scope.cancel()

    with capture_logs() as context.logs:
        anyio.run(main)


def _wait(context, seconds, rounds):
    async def wait():
        with context.running_time.fail_after(seconds):
            done = 0
            while done < rounds:
                await anyio.sleep(0.005)
                done += 1
        return 'answered'

    _run(context, wait)


@when(
    'it waits {seconds:g} seconds for an answer that takes {rounds:d} rounds '
    'of the loop'
)
def when_waits(context, seconds, rounds):
    _wait(context, seconds, rounds)


@when('it waits {seconds:g} seconds for an answer that never comes')
def when_waits_in_vain(context, seconds):
    _wait(context, seconds, math.inf)


@then('the answer arrives: yes')
def then_arrives(context):
    assert context.result == 'answered', context.result


@then('it gives up after {least:g} to {most:g} seconds')
def then_gives_up(context, least, most):
    assert isinstance(context.result, TimeoutError), context.result
    assert least <= context.took <= most, context.took


@when('it connects to a target that answers at once')
def when_connects(context):
    async def answer(stream):
        async with stream:
            await stream.receive(_READ_BYTES)
            await stream.send(_ANSWER)
            await anyio.sleep(1)

    async def connect():
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, answer)
            port = listener.extra(SocketAttribute.local_port)  # noqa: S610
            transport = CheckedTransport(running_time=context.running_time)
            try:
                async with httpx.AsyncClient(transport=transport) as client:
                    response = await client.get(f'http://127.0.0.1:{port}/')
                return response.text
            finally:
                tasks.cancel_scope.cancel()

    _run(context, connect)


@then("the target's answer arrives")
def then_target_answers(context):
    assert context.result == 'ok', context.result


@then('it has counted lateness of {seconds:g} seconds or more')
def then_counted(context, seconds):
    assert context.running_time.late_seconds >= seconds


@then('the log names the lateness at most once a second')
def then_logged(context):
    lines = [line for line in context.logs if line['event'] == 'loop_late']
    assert len(lines) <= context.took + 1, lines
