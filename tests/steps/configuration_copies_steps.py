"""Steps for the copies of the configuration that a leader sends."""

import json
import zlib

from behave import given, then, when

from cowsliprack.coordination.region_state import Member
from cowsliprack.exceptions import PeerMessageError
from cowsliprack.protocol.gateway_messages import (
    CompressedConfiguration,
    ConfigurationCopy,
    MemberReport,
)
from cowsliprack.protocol.message_level import new_process_id
from cowsliprack.protocol.peer import encode_message
from cowsliprack.transport.configuration_copies import (
    ConfigurationCopies,
    unpack_configuration,
)

_GENERATION = 7
_STEP_SECONDS = 0.05


@given(
    'a leader with a link of {link:g} Mbit a second and {count:d} members of '
    'level {level:d}'
)
def given_leader(context, link, count, level):
    context.link = link
    context.members = [
        Member(
            MemberReport(
                f'i{number}', '', 'z', new_process_id(level), 1, 1.0, 0, 0
            ),
            0,
        )
        for number in range(count)
    ]


@given('a configuration of 42 KB')
def given_configuration(context):
    models = [
        {
            'name': f'model{number * 7919 % 100_000}',
            'weights_size': 65_100 + number * 31 % 7600,
            'load_s': 7.8,
            'adapters': number % 5,
            'adapter_mb': 120 + number % 9,
            'note': 'x' * 40,
        }
        for number in range(288)
    ]
    context.spec = json.dumps({'models': models}).encode()
    assert 40_000 < len(context.spec) < 44_000, len(context.spec)


@when('it sends copies every 0.05 seconds for {seconds:g} seconds')
def when_sent(context, seconds):
    context.sent = []
    now = 0.0

    def deliver(_instance_id, _address, message):
        context.sent.append((now, message))
        return True

    copies = ConfigurationCopies(lambda: context.spec, deliver, context.link)
    while now < seconds:
        copies.send(context.members, _GENERATION, now)
        now += _STEP_SECONDS


@then('all members have a copy')
def then_all(context):
    missing = [
        member
        for member in context.members
        if member.copied_generation != _GENERATION
    ]
    assert not missing, len(missing)


@then('in no {seconds:g} seconds copies took more than half of the link')
def then_paced(context, seconds):
    most = context.link * 1e6 / 8 * seconds / 2
    sizes = [(at, len(encode_message(one))) for at, one in context.sent]
    for begin, _ in sizes:
        total = sum(size for at, size in sizes if begin <= at < begin + seconds)
        assert total <= most, (total, most)


@then('the member reads the configuration of the leader')
def then_read(context):
    assert unpack_configuration(context.sent[0][1]) == context.spec


@then('it is compressed: {answer}')
def then_compressed(context, answer):
    expected = CompressedConfiguration if answer == 'yes' else ConfigurationCopy
    assert isinstance(context.sent[0][1], expected), context.sent[0]


@when('a member gets a compressed copy that is {state}')
def when_malformed(context, state):
    whole = zlib.compress(b'{"a": 1}' * 1000)
    packed = {
        'truncated': whole[:-9],
        'of other bytes': b'\x00\x01other',
        'empty': b'',
        'larger than 1 MB': zlib.compress(b' ' * (2**20 + 1)),
    }[state]
    context.error = None
    try:
        unpack_configuration(CompressedConfiguration(packed))
    except PeerMessageError as error:
        context.error = error


@then('it refuses the message')
def then_refused(context):
    assert context.error is not None
