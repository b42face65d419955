"""Steps for configuration changes on running instances."""

import functools
import re
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import httpx
import yaml
from behave import given, then, when

from cowsliprack.state.configuration import key_digest
from tools.fleet import (
    KEYS_BY_ORGANISATION,
    Fleet,
    chat,
    generation,
    is_ready,
)
from tools.processes import ProcessGroup, wait_until

# Nothing listens on the port of the discard service.
_UNREACHABLE_PLATFORM_URL = 'http://127.0.0.1:9'
_FROZEN_SECONDS = 13
_NO_FAULTS = {'outage': False, 'silent_watches': False, 'stale_reads': False}


@given(
    'a fleet of two zones and an instance "a9" that cannot reach the platform'
)
def given_fleet(context):
    state = context.feature_state
    # A dead instance fails the scenario in which it died. The next scenario
    # gets a new fleet, so that one fault is not reported several times.
    if 'fleet' in state and not _is_running(state['fleet']):
        state.pop('fleet')
        state.pop('processes').close()
    if 'fleet' not in state:
        state['processes'] = ProcessGroup()
        fleet = Fleet(state['processes'])
        state['fleet'] = fleet
        fleet.start(instances_per_zone=2)
        a9 = state['processes'].start_instance(
            'a9',
            'zone-a',
            _UNREACHABLE_PLATFORM_URL,
            seed_peers=fleet.instances_by_id['a1'].peer_address,
        )
        fleet.instances_by_id['a9'] = a9
        fleet.wait_until_ready()
    context.fleet = state['fleet']
    context.add_cleanup(_end_faults, context.fleet)
    _check_running(context.fleet)


def _is_running(fleet):
    return all(
        child.process.poll() is None for child in fleet.instances_by_id.values()
    )


def _check_running(fleet):
    for name, child in fleet.instances_by_id.items():
        assert child.process.poll() is None, (name, child.log_path.read_text())


def _end_faults(fleet):
    fleet.platform.control(delay=0, lost_answers=0, **_NO_FAULTS)
    for child in fleet.instances_by_id.values():
        child.send_signal(signal.SIGCONT)


def _leader_name(fleet, zone):
    url = f'{fleet.platform.url}/objects/leases/{zone}'
    lease = httpx.get(url, trust_env=False).json()
    return lease['body']['holder']


def _apply_change(fleet):
    """Apply a change and return its generation."""
    organisation = fleet.questionnaire['organisations']['globex']
    organisation['rate'] += 1
    shown = fleet.processes.run_command(
        'apply',
        '-',
        f'--store-url={fleet.platform.url}',
        text=yaml.safe_dump(fleet.questionnaire),
    )
    assert shown.returncode == 0, shown
    return int(re.search(r'generation (\d+) is in force', shown.stdout)[1])


@when('{fault} and an operator applies a change')
def when_fault(context, fault):
    fleet = context.fleet
    context.frozen_leader = None
    if fault == 'the next write takes effect unanswered':
        fleet.platform.control(lost_answers=1)
    elif fault == 'watches are silent':
        fleet.platform.control(silent_watches=True)
    elif fault == 'the platform answers after a second':
        fleet.platform.control(delay=1)
    elif fault == 'zone "a" has a frozen leader':
        context.frozen_leader = _leader_name(fleet, 'zone-a')
        fleet.instances_by_id[context.frozen_leader].send_signal(signal.SIGSTOP)
        context.frozen_until = time.monotonic() + _FROZEN_SECONDS
    context.generation = _apply_change(fleet)
    if fault == 'reads are stale':
        fleet.platform.control(stale_reads=True)


def _has_generation(child, wanted):
    return generation(child) >= wanted


@then('the change is in force at every instance within {seconds:d} seconds')
def then_in_force(context, seconds):
    deadline = time.monotonic() + seconds
    for name, child in context.fleet.instances_by_id.items():
        if name != context.frozen_leader:
            check = functools.partial(
                _has_generation, child, context.generation
            )
            assert wait_until(check, deadline - time.monotonic()), name


@then('it stays in force after the fault ends')
def then_stays(context):
    if context.frozen_leader:
        # Long enough for peers to replace their connections to it. The old
        # connections must not abort the process when it continues.
        time.sleep(max(0, context.frozen_until - time.monotonic()))
    _end_faults(context.fleet)
    if context.frozen_leader:
        child = context.fleet.instances_by_id[context.frozen_leader]
        check = functools.partial(_has_generation, child, context.generation)
        assert wait_until(check, 18), context.frozen_leader
    # Longer than the intervals of heartbeats and of reads of the store.
    time.sleep(2)
    _check_running(context.fleet)
    for name, child in context.fleet.instances_by_id.items():
        assert generation(child) == context.generation, name


@given('a caller whose requests are answered over one connection to "{name}"')
def given_caller(context, name):
    fleet = context.fleet
    context.key = f'key-of-a-caller-at-{name}'
    callers = fleet.questionnaire['organisations']['acme']['callers']
    callers['kept'] = {'key_digests': [key_digest(context.key)]}
    wanted = _apply_change(fleet)
    context.child = fleet.instances_by_id[name]
    assert wait_until(
        functools.partial(_has_generation, context.child, wanted), 18
    )
    context.client = httpx.Client(
        base_url=context.child.url,
        headers={'authorization': f'Bearer {context.key}'},
        trust_env=False,
        timeout=60,
    )
    context.add_cleanup(context.client.close)
    answer, context.port = _send_request(context.client)
    assert answer.status_code == 200, answer.text


def _send_request(client):
    """Return the answer and the local port of its connection."""
    with client.stream(
        'POST',
        '/v1/chat/completions',
        json={
            'model': 'fault-answers',
            'messages': [{'role': 'user', 'content': 'Hello'}],
            'max_tokens': 4,
        },
    ) as answer:
        # An instance that refuses a request before it has read the body closes
        # the connection, and a closed socket has no port.
        stream = answer.extensions['network_stream']
        port = stream.get_extra_info('client_addr')[1]
        answer.read()
    return answer, port


@when('an operator revokes the key of the caller')
def when_revoked(context):
    fleet = context.fleet
    del fleet.questionnaire['organisations']['acme']['callers']['kept']
    _apply_change(fleet)


@then('the next requests over that connection are refused within 18 seconds')
def then_refused(context):
    answers = []

    def is_refused():
        answers.append(_send_request(context.client))
        return answers[-1][0].status_code == 401

    assert wait_until(is_refused, 18), answers[-1][0].text
    answer, port = answers[-1]
    assert port == context.port
    assert answer.json()['error']['ran'] == 'not run', answer.text


@then('a new connection is refused as well')
def then_new(context):
    answer = httpx.post(
        f'{context.child.url}/v1/chat/completions',
        headers={'authorization': f'Bearer {context.key}'},
        json={'model': 'fault-answers', 'messages': []},
        trust_env=False,
    )
    assert answer.status_code == 401, answer.text


@when('three operators apply different changes at the same time')
def when_concurrent(context):
    fleet = context.fleet

    def apply(rate):
        answers = yaml.safe_load(yaml.safe_dump(fleet.questionnaire))
        answers['organisations']['globex']['rate'] = rate
        return fleet.processes.run_command(
            'apply',
            '-',
            f'--store-url={fleet.platform.url}',
            text=yaml.safe_dump(answers),
        )

    with ThreadPoolExecutor(3) as operators:
        context.results = list(operators.map(apply, (6001, 6002, 6003)))


@then('all instances have the generation that the show command prints')
def then_same_generation(context):
    fleet = context.fleet
    assert {result.returncode for result in context.results} <= {0, 2}
    shown = yaml.safe_load(
        fleet.processes.run_command(
            'show', f'--store-url={fleet.platform.url}'
        ).stdout
    )
    fleet.questionnaire['organisations']['globex']['rate'] = shown[
        'organisations_by_id'
    ]['globex']['rate']
    for child in fleet.instances_by_id.values():
        check = functools.partial(_has_generation, child, shown['generation'])
        assert wait_until(check, 18), child.name
        assert generation(child) == shown['generation']


@given('the platform is unavailable')
def given_outage(context):
    context.fleet.platform.control(outage=True)


@when('instance "{name}" starts with "{seed}" as seed peer')
def when_starts(context, name, seed):
    fleet = context.fleet
    address = fleet.instances_by_id[seed].peer_address
    context.child = fleet.processes.start_instance(
        name, 'zone-a', fleet.platform.url, seed_peers=address
    )


@then('"{name}" is ready and answers a request')
def then_ready(context, name):
    ready = wait_until(functools.partial(is_ready, context.child), 18)
    assert ready, context.child.log_path.read_text()
    answer = chat(context.child, 'fault-answers')
    assert answer.status_code == 200, answer.text
    assert KEYS_BY_ORGANISATION['acme'] not in answer.text
