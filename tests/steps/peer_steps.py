"""Steps for messages between instances."""

import msgspec
from behave import given, then, when

from cowsliprack.protocol import peer

_SAMPLE_BY_NAME = {
    'Heartbeat': peer.Heartbeat(
        instance_id='a1',
        zone='a',
        address='127.0.0.1:7000',
        sequence=3,
        generation=9,
    ),
    'CreditGrant': peer.CreditGrant(
        request_id='r1', organisation='acme', tokens=50, lifetime=2
    ),
    'PoisonNotice': peer.PoisonNotice(
        digest='00ff', crash_id='c1', target_id='e1', lifetime=600
    ),
    'ReplicaView': peer.ReplicaView(
        zone='a',
        fencing=4,
        sequence=2,
        full=True,
        replicas=(peer.ReplicaInfo('m1', 'e1', 'loaded'),),
    ),
}


@given('a {name} message')
def given_message(context, name):
    context.message = _SAMPLE_BY_NAME[name]


@when('it is encoded and decoded')
def when_round_trip(context):
    context.decoded = peer.decode_message(peer.encode_message(context.message))


@then('the decoded message equals the original')
def then_equal(context):
    assert context.decoded == context.message


@when('the frame {frame} is decoded')
def when_frame(context, frame):
    context.error = None
    try:
        peer.decode_message(bytes.fromhex(frame))
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        context.error = error


@then('decoding fails with a validation error')
def then_fails(context):
    assert context.error is not None
