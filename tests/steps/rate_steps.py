"""Steps for the fleet-wide rate limit with real processes."""

import time
from concurrent.futures import ThreadPoolExecutor

import httpx
from behave import given, then, when

from tools.fleet import Fleet, chat
from tools.processes import ProcessGroup

_TOKENS_PER_SECOND = 300
_BURST_TOKENS = 3000
_MAX_TOKENS = 90
_SECONDS = 8
_LEASE_SECONDS = 3


@given('a fleet with four instances in each zone and a low limit for acme')
def given_limited_fleet(context):
    processes = ProcessGroup()
    context.add_cleanup(processes.close)
    context.fleet = Fleet(processes)
    context.fleet.start(
        instances_per_zone=4,
        instance_settings={'lease_seconds': _LEASE_SECONDS},
        engine_options={'slots': 64, 'token_seconds': 0.0005},
    )
    for child in context.fleet.instances_by_id.values():
        answer = chat(child, 'fault-answers', 'globex')
        assert answer.status_code == 200, answer.text
    organisation = context.fleet.questionnaire['organisations']['acme']
    organisation.update(rate=_TOKENS_PER_SECOND, burst=_BURST_TOKENS)
    context.fleet.apply()


def _send_until(child, organisation, deadline, pause_seconds):
    answers = []
    while time.monotonic() < deadline:
        try:
            answers.append(
                chat(
                    child,
                    'fault-answers',
                    organisation,
                    max_tokens=_MAX_TOKENS,
                    headers={'x-request-deadline-ms': '3000'},
                )
            )
        except httpx.HTTPError:
            # The instance was killed, which closes the connection.
            return answers
        time.sleep(pause_seconds)
    return answers


def _kill_leader(context):
    platform = context.fleet.platform
    answer = httpx.get(f'{platform.url}/objects/leases/zone-a', trust_env=False)
    time.sleep(1)
    context.fleet.instances_by_id[answer.json()['body']['holder']].kill()


@when(
    'every instance receives requests of acme for {seconds:d} seconds while '
    '{fault}'
)
def when_overload(context, seconds, fault):
    children = list(context.fleet.instances_by_id.values())
    context.started_at = time.monotonic()
    deadline = context.started_at + seconds
    with ThreadPoolExecutor(3 * len(children) + 1) as callers:
        overload = [
            callers.submit(_send_until, child, 'acme', deadline, 0)
            for child in children * 2
        ]
        others = [
            callers.submit(_send_until, child, 'globex', deadline, 0.5)
            for child in children
        ]
        if fault != 'nothing fails':
            callers.submit(_kill_leader, context).result()
    context.acme_answers = [
        answer for future in overload for answer in future.result()
    ]
    context.globex_answers = [
        answer for future in others for answer in future.result()
    ]
    context.seconds = time.monotonic() - context.started_at


@then('the engines ran at most the burst plus the rate times the duration')
def then_within_limit(context):
    engines = [
        context.fleet.processes.children_by_name[f'engine-{zone[-1]}'].control()
        for zone in context.fleet.zones
    ]
    served = [
        answer for answer in context.acme_answers if answer.status_code == 200
    ]
    # Each request is charged for its full output and at least one prompt token.
    tokens = len(served) * (_MAX_TOKENS + 1)
    limit = _BURST_TOKENS + _TOKENS_PER_SECOND * context.seconds
    print(f'{tokens} tokens of {limit:.0f} in {context.seconds:.1f} s')
    assert tokens <= limit, (tokens, limit)
    assert tokens > _BURST_TOKENS / 4, tokens
    ran = sum(len(engine['requests']) for engine in engines)
    assert ran >= len(served)


@then('every refusal says not run and when to retry')
def then_refusals(context):
    refused = [
        answer for answer in context.acme_answers if answer.status_code != 200
    ]
    assert refused
    for answer in refused:
        error = answer.json()['error']
        assert error['ran'] == 'not run', error
        assert error['retry_after'] > 0, error


@then('all requests of another organisation were answered')
def then_others_answered(context):
    assert context.globex_answers
    for answer in context.globex_answers:
        assert answer.status_code == 200, answer.text
