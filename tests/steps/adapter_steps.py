"""Steps for the platform adapter."""

import dataclasses
import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

import anyio
import httpx
from behave import given, then, when

from cowsliprack.coordination.relayed_targets import (
    apply_relayed_targets,
    registry_changes,
)
from cowsliprack.exceptions import ConfigurationError
from cowsliprack.platform.engine_client import EngineClient
from cowsliprack.platform.headers import (
    forwarded_headers,
    read_notice,
    read_request,
    stated_limit,
)
from cowsliprack.platform.settings import parse_platform_settings
from cowsliprack.platform.wire import decode_configuration, decode_target
from cowsliprack.protocol.dialect import ForwardingMetadata, TargetNotice
from cowsliprack.protocol.engine import OrderAnswer, OrderPreconditions
from cowsliprack.protocol.gateway_messages import LeaderView, MemberReport
from cowsliprack.protocol.peer import decode_message, encode_message
from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.engine_state import EngineOrder
from cowsliprack.state.target_registry import TargetRegistry
from cowsliprack.transport.checked_transport import CheckedTransport
from cowsliprack.transport.reach_watch import is_answering
from cowsliprack.transport.running_time import RunningTime
from tests.support.gateway_cluster import configuration
from tests.support.platform_settings import SETTINGS
from tests.support.routed import target_record

_FACTS = ForwardingMetadata(
    target_id='e1',
    seconds_left=1.5,
    organisation='desk',
    resume_after='12',
    priority=3,
)


def _forward(context, headers):
    pairs = [
        (name.lower().encode(), value.encode())
        for name, value in headers.items()
    ]
    context.forwarded = dict(forwarded_headers(pairs, _FACTS))


@when('a request with the header "{header}: {sent}" is forwarded')
def when_forwarded(context, header, sent):
    context.header = header.lower().encode()
    _forward(context, {header: sent})


@when('a request that names X-One-Hop in its Connection header is forwarded')
def when_connection_header(context):
    _forward(context, {'Connection': 'x-one-hop', 'X-One-Hop': '1'})


@then('the target receives the header with "{received}"')
def then_received(context, received):
    assert context.forwarded.get(context.header, b'').decode() == received, (
        context.forwarded
    )


@then('the target receives the header with ""')
def then_header_absent(context):
    assert context.header not in context.forwarded, context.forwarded


@then('the target does not receive the header "{name}"')
def then_not_received(context, name):
    assert name.encode() not in context.forwarded, context.forwarded


@given('a settings file with {problem}')
def given_settings(context, problem):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.settings_text = {
        'no node': SETTINGS.replace('node=g1\n', ''),
        'a malformed bound': f'{SETTINGS}bounds.revoke_ms=soon\n',
        'memory that is no number': f'{SETTINGS}limits.memory_mb=nan\n',
        'memory in words': f'{SETTINGS}limits.memory_mb=much\n',
        'no descriptors': f'{SETTINGS}limits.max_fds=0\n',
        'half a descriptor': f'{SETTINGS}limits.max_fds=100.5\n',
        'no internal ports': SETTINGS.replace('internal_ports=3,4\n', ''),
        'unknown lines and fields': f'{SETTINGS}a line\nx.y=1\n=\n\x00\n',
        'no file': None,
    }[problem]
    context.path = Path(folder.name) / 'missing.conf'
    if context.settings_text is not None:
        context.path.write_text(context.settings_text)


@when('the program is started with this file')
def when_started(context):
    context.run = subprocess.run(
        [sys.executable, '-m', 'cowsliprack', 'platform'],
        env={**os.environ, 'COWSLIPRACK_SETTINGS': str(context.path)},
        capture_output=True,
        text=True,
        timeout=30,
    )


@then('it exits with code 2 and one error line that contains "{name}"')
def then_exit(context, name):
    lines = context.run.stderr.splitlines()
    assert context.run.returncode == 2, context.run
    assert len(lines) == 1 and name in lines[0], lines


@then('the settings are parsed')
def then_parsed(context):
    settings = parse_platform_settings(context.settings_text)
    assert settings.instance_id == 'g1'


@given('the sample configuration with another route for "{prefix}"')
def given_routes(context, prefix):
    document = configuration()
    route = {**document['routes'][0], 'name': 'fast', 'path_prefix': prefix}
    document['routes'].append(route)
    context.decoded = decode_configuration(document)


@then('the route for "{host}" and "{path}" is "{name}"')
def then_route(context, host, path, name):
    route = context.decoded.find_route(host, path)
    assert (route.name if route else 'none') == name, route


@when('a configuration with {problem} is decoded')
def when_decoded(context, problem):
    document = configuration()
    if problem == 'no version':
        document.pop('version')
    elif problem == 'a route without a host':
        document['routes'][0].pop('host')
    else:
        document['services'] = 7
    try:
        context.decoded = decode_configuration(document)
    except ConfigurationError as error:
        context.decoded = error


@then('the whole configuration is rejected')
def then_rejected(context):
    assert isinstance(context.decoded, ConfigurationError), context.decoded


@then('an answer with the header "Server-Limit: {text}" names the limit {rate}')
def then_limit(context, text, rate):
    named = stated_limit([(b'Server-Limit', text.encode())])
    assert str(named) == rate, named
    assert stated_limit([]) is None


def _entry():
    return {
        'service': 'llm',
        'addr': '10.0.0.1:8000',
        'zone': 'z',
        'state': 'ready',
        'slots': 4,
        'seq': 1,
        'born': 1,
    }


@then('an entry whose {field:w} is {text} names no target')
def then_no_target(_context, field, text):
    entry = _entry()
    assert decode_target('i', entry) is not None
    assert decode_target('i', {**entry, field: json.loads(text)}) is None


@then('an entry with the name {text} names no target')
def then_no_name(_context, text):
    assert decode_target(json.loads(text), _entry()) is None


async def _call(record):
    async with httpx.AsyncClient(transport=CheckedTransport()) as client:
        engines = EngineClient(client)
        answer = await engines.send_order(
            record,
            EngineOrder(record.target_id, OrderKind.load, 'm0'),
            OrderPreconditions('g1', 1, 0),
            lambda: True,
        )
        url = f'http://{record.address}/healthz'
        return (
            answer,
            await engines.survey(record),
            await is_answering(client, RunningTime(), url),
        )


@then('calls to a target whose {field:w} is {text} end without an answer')
def then_no_call(_context, field, text):
    record = dataclasses.replace(
        target_record('i'), **{field: json.loads(text)}
    )
    answers = anyio.run(_call, record)
    assert answers == (OrderAnswer.unknown, None, False), answers


@then(
    'a {status:d} answer with the header "{name}: {text}" says that its target '
    '{meaning}'
)
def then_notice(context, status, name, text, meaning):
    notices = {
        'is leaving': TargetNotice(is_leaving=True),
        'wants a pause of 1.5 s': TargetNotice(retry_after=1.5),
        'is brittle at 3': TargetNotice(brittle_rate=3.0),
        'is well': TargetNotice(),
    }
    headers = [(name.encode(), text.encode())]
    assert read_notice(status, headers) == notices[meaning]


@given('the line "{line}" in a settings file')
def given_line(context, line):
    context.settings = parse_platform_settings(f'{SETTINGS}{line}\n')


@then('it is the first start of the system: {answer}')
def then_first_start(context, answer):
    assert context.settings.first_start == (answer == 'yes')


@when('an entry with the version {version} is decoded')
def when_entry(context, version):
    entry = {
        'service': 'llm',
        'addr': '127.0.0.1:1',
        'zone': 'z',
        'version': json.loads(version),
        'slots': 8,
        'state': 'ready',
        'seq': 0,
    }
    context.record = decode_target('e1', entry)


@then('its software version is of no target')
def then_no_target(context):
    assert context.record is None, context.record


@then('its software version is {version}')
def then_software_version(context, version):
    assert context.record.software_version == version, context.record


@when(
    'a request with "Last-Event-Id: {event}" and "Resumes: {attempt}" is read'
)
def when_read(context, event, attempt):
    context.metadata = read_request(
        [(b'last-event-id', event.encode()), (b'resumes', attempt.encode())]
    )


@then('it continues attempt "{attempt}" after event "{event}"')
def then_continues(context, attempt, event):
    assert context.metadata.continued_id == attempt, context.metadata
    assert context.metadata.resume_after == event, context.metadata


@when('a target of the software version "{version}" is relayed to a member')
def when_relayed(context, version):
    registry = TargetRegistry()
    registry.replace([target_record('e1', software_version=version)], 5)
    report = MemberReport('g2', '', 'z', 'b', 1, 0, 0, 0)
    view = LeaderView(1, 1, 'g1', '', **registry_changes(registry, report))
    context.member = TargetRegistry()
    apply_relayed_targets(context.member, decode_message(encode_message(view)))


@then('the member knows the software version "{version}"')
def then_member_knows(context, version):
    record = context.member.records_by_id['e1']
    assert record.software_version == version, record
