"""Steps for the staleness of the configuration."""

from behave import given, then, when

from cowsliprack.coordination.freshness import (
    Freshness,
    RelayedReading,
    StoreHistory,
    relayed_proof,
)
from cowsliprack.platform.settings import parse_platform_settings
from cowsliprack.protocol.gateway_messages import LeaderView
from tests.support.platform_settings import SETTINGS

_NOW = 1000.0
_STEP = 0.01


@given('settings in which a change must take effect within {bound:d} ms')
def given_bound(context, bound):
    settings = parse_platform_settings(
        f'{SETTINGS}bounds.config_ms={bound}\n',
    )
    context.bound = bound / 1000
    context.relayed = RelayedReading(settings.max_relay_age_seconds)


@when('the store fails for the leader right after a reading')
def when_store_fails(context):
    context.relayed.prove(_NOW)


@then(
    'the instance reads the store itself at least {left:g} seconds before the '
    'bound'
)
def then_reads(context, left):
    assert context.relayed.is_expired(_NOW + context.bound - left)


@given('a key that must stop working within {limit:d} seconds')
def given_key(context, limit):
    context.freshness = Freshness(limit)


@when('the configuration was confirmed as the latest {age:g} seconds ago')
def when_confirmed(context, age):
    context.freshness.prove(_NOW - age)


@then('a request with the key is allowed: {answer}')
def then_allowed(context, answer):
    assert context.freshness.is_fresh(_NOW) == (answer == 'yes')


@given(
    'a store in era {era:d} with generation {generation:d}, which is in force'
)
def given_history(context, era, generation):
    context.history = StoreHistory()
    context.history.record(era, generation, _NOW)
    context.in_force = generation


@when('it comes back in era {era:d} with generation {generation:d}')
def when_returned(context, era, generation):
    context.history.record(era, generation, _NOW)
    context.in_force = max(context.in_force, generation)


@when('generation {generation:d} is read {seconds:d} seconds later')
def when_read_again(context, generation, seconds):
    context.history.record(context.history.era, generation, _NOW + seconds)


@then(
    'a reading {seconds:g} seconds later proves the latest configuration: '
    '{answer}'
)
def then_proves(context, seconds, answer):
    actual = context.history.proves_latest(context.in_force, _NOW + seconds)
    assert actual == (answer == 'yes')


@when('a leader with generation {generation:d} relays a reading')
def when_relayed(context, generation):
    view = LeaderView(
        1, 1, 'leader', '', stamp=_NOW, generation=generation, proof_offset=-0.5
    )
    context.proved_at = relayed_proof(view, context.in_force)


@then('the relayed reading proves the latest configuration: {answer}')
def then_relayed_proof(context, answer):
    expected = _NOW - 0.5 if answer == 'yes' else None
    assert context.proved_at == expected, context.proved_at
