"""Steps for errors in the handling of single messages."""

from types import SimpleNamespace

import anyio
from behave import given, then, when
from structlog.testing import capture_logs

from cowsliprack.exceptions import PeerMessageError
from cowsliprack.transport.mesh import Mesh
from cowsliprack.transport.region import Region
from cowsliprack.transport.store_reader import KindReader

_ERRORS = {
    'a refusal': PeerMessageError('not understood'),
    'a type error': TypeError('no number'),
}
_SETTLE_SECONDS = 0.3


class _Messages:
    """Source of messages; waits for ever once they are used up."""

    def __init__(self, messages):
        self.messages = list(messages)
        self.asked = 0

    async def receive(self):
        self.asked += 1
        if not self.messages:
            await anyio.sleep_forever()
        return 'i7', self.messages.pop(0)

    async def list_kind(self, _kind):
        return await self._reading()

    async def watch_kind(self, _kind, _since, _seconds):
        return await self._reading()

    async def _reading(self):
        _, message = await self.receive()
        return SimpleNamespace(revision=1, message=message)


@given(
    '{receiver} that receives three messages, of which the second fails with '
    '{error}'
)
def given_receiver(context, receiver, error):
    context.receiver = receiver
    context.failure = _ERRORS[error]
    context.messages = ['first', 'fails', 'third']


def _receive(context):
    """Run the receiving task of the real class with its handler replaced."""
    context.handled = []

    def handle(*message):
        text = getattr(message[0], 'message', message[-1])
        if text == 'fails':
            raise context.failure
        context.handled.append(text)

    source = _Messages(context.messages)
    if context.receiver.startswith('the peers'):
        region = SimpleNamespace(
            context=SimpleNamespace(sockets=source), _handle_message=handle
        )
        task = Region._receive(region)
    elif context.receiver.startswith('the mesh'):
        mesh = SimpleNamespace(sockets=source, on_message=handle)
        task = Mesh._receive(mesh)
    else:
        task = KindReader(source, 'config', 1, handle, lambda: True).run()

    async def run():
        with anyio.move_on_after(_SETTLE_SECONDS):
            await task

    with capture_logs() as context.logs:
        anyio.run(run)
    context.is_receiving = source.asked == len(context.messages) + 1


@when('it has received them')
def when_received(context):
    _receive(context)


@when('it has received {count:d} failing messages')
def when_flooded(context, count):
    context.messages = ['fails'] * count
    _receive(context)


@then('the first and the third have been handled')
def then_handled(context):
    assert context.handled == ['first', 'third'], context.handled


@then('it still receives')
def then_receives(context):
    assert context.is_receiving


@then('the log names the sender and the error')
def then_logged(context):
    (line,) = context.logs
    assert line['sender'] in {'i7', 'config'}, line
    assert line['event'] in {'message_refused', 'message_failed'}, line


@then('the log has at most {count:d} lines on them')
def then_few_lines(context, count):
    assert len(context.logs) <= count, len(context.logs)
    assert context.is_receiving
