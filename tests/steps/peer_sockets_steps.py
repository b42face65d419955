"""Steps for the sockets between instances."""

import asyncio

import zmq
import zmq.asyncio
from behave import given, then, when

from cowsliprack.protocol.peer import (
    ConfigurationShards,
    TargetLeaving,
    encode_message,
)
from cowsliprack.transport.peer_sockets import (
    MAX_FRAME_BYTES,
    PeerSockets,
    derive_keys,
)

_FLEET_KEY = 'secret-of-the-fleet'
_MESSAGE = TargetLeaving('e1')
# A message that arrives at all does so within milliseconds.
_RECEIVE_TIMEOUT_SECONDS = 3


def _create_sockets(instance_id, secret=_FLEET_KEY):
    return PeerSockets(instance_id, '127.0.0.1', 0, secret)


async def _receive(sockets, seconds=_RECEIVE_TIMEOUT_SECONDS):
    try:
        return await asyncio.wait_for(sockets.receive(), seconds)
    except TimeoutError:
        return None


def _raw_dealer(context, keys):
    dealer = context.socket(zmq.DEALER)
    dealer.identity = b'raw'
    dealer.linger = 0
    fleet = derive_keys(_FLEET_KEY)
    if keys == 'no encryption':
        return dealer
    dealer.curve_serverkey = fleet.public
    dealer.curve_publickey = fleet.public
    dealer.curve_secretkey = fleet.secret
    if keys == 'the server key and its own key pair':
        dealer.curve_publickey, dealer.curve_secretkey = zmq.curve_keypair()
    if keys == 'another secret':
        other = derive_keys('another-secret-here')
        dealer.curve_serverkey = other.public
        dealer.curve_publickey = other.public
        dealer.curve_secretkey = other.secret
    return dealer


async def _send_raw(context, keys, messages):
    """Send frames from a plain ZMQ socket and store what is received."""
    raw = zmq.asyncio.Context()
    async with _create_sockets('a1') as listener:
        dealer = _raw_dealer(raw, keys)
        dealer.connect(f'tcp://{listener.address}')
        for frames in messages:
            await dealer.send_multipart(frames)
            # Time to reconnect after an oversized frame closed the connection.
            await asyncio.sleep(0.3)
        context.received = await _receive(
            listener, 1 if len(messages) == 1 else 3
        )
        context.undecodable_messages = listener.undecodable_messages
    raw.destroy(linger=0)


@given('an instance that listens for peers')
def given_listener(context):
    context.received = None


@when('a sender with {keys} sends a message to it')
def when_keys(context, keys):
    asyncio.run(_send_raw(context, keys, [[encode_message(_MESSAGE)]]))


@when('a peer sends {frame} and then a message')
def when_frame(context, frame):
    frames = {
        'random bytes': [b'\xff\x00\x12'],
        'one frame too many': [encode_message(_MESSAGE), b''],
        'an oversized frame': [
            encode_message(ConfigurationShards(1, {'x': 'y' * MAX_FRAME_BYTES}))
        ],
    }[frame]
    messages = [frames, [encode_message(_MESSAGE)]]
    asyncio.run(_send_raw(context, 'the fleet secret', messages))


@then('the message is received')
def then_received(context):
    assert context.received == ('raw', _MESSAGE), context.received


@then('the message is not received')
def then_not_received(context):
    assert context.received is None, context.received


@then('{count:d} undecodable messages were counted')
def then_undecodable(context, count):
    assert context.undecodable_messages == count, context.undecodable_messages


@when('it sends 10000 messages to an address that does not answer')
def when_dead(context):
    asyncio.run(_run_dead(context))


async def _run_dead(context):
    async with _create_sockets('a1') as sockets:
        # This server accepts connections but never answers the handshake.
        server = await asyncio.start_server(_stop_reading, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        sockets.connect('a2', f'127.0.0.1:{port}')
        for _ in range(10000):
            sockets.send('a2', _MESSAGE)
        context.dropped_messages = sockets.dropped_messages
        server.close()


async def _stop_reading(_reader, writer):
    writer.transport.pause_reading()


@then('more than 9000 messages were dropped')
def then_many_dropped(context):
    assert 9000 < context.dropped_messages < 10000, context.dropped_messages


@when('it sends a message of 600000 bytes to itself')
def when_large(context):
    asyncio.run(_run_large(context))


async def _run_large(context):
    async with _create_sockets('a1') as sockets:
        sockets.connect('a1', sockets.address)
        sockets.send('a1', ConfigurationShards(1, {'x': 'y' * 600000}))
        context.dropped_messages = sockets.dropped_messages


@then('{count:d} messages were dropped')
def then_dropped(context, count):
    assert context.dropped_messages == count, context.dropped_messages


@when('a peer sends a message, restarts and sends again')
def when_restart(context):
    asyncio.run(_run_restart(context))


async def _run_restart(context):
    context.messages = []
    async with _create_sockets('a1') as listener:
        for _ in range(2):
            async with _create_sockets('a2') as sender:
                sender.connect('a1', listener.address)
                sender.send('a1', _MESSAGE)
                context.messages.append(await _receive(listener))


@then('both messages are received')
def then_both(context):
    assert context.messages == [('a2', _MESSAGE)] * 2, context.messages


@when('it reconnects a peer to another address and sends')
def when_reconnect(context):
    asyncio.run(_run_reconnect(context))


async def _run_reconnect(context):
    async with _create_sockets('a1') as sockets, _create_sockets('a2') as peer:
        sockets.connect('a2', '127.0.0.1:9')
        sockets.connect('a2', peer.address)
        sockets.send('a2', _MESSAGE)
        context.received = await _receive(peer)


@then('the message arrives at the other address')
def then_other(context):
    assert context.received == ('a1', _MESSAGE), context.received
