"""Steps for the questionnaire and the configuration codec."""

import json
from pathlib import Path

from behave import given, then, when

from cowsliprack.exceptions import ConfigurationError
from cowsliprack.protocol.configuration_codec import (
    decode_configuration,
    decode_manifest,
    encode_configuration,
    manifest_body,
)
from cowsliprack.protocol.questionnaire import (
    generate_configuration,
    load_questionnaire,
)
from cowsliprack.state.configuration import TargetKind

_DIGEST1 = 'a1' * 32
_DIGEST2 = 'b2' * 32
SAMPLE = """zones: [a, b]
organisations:
  acme: {rate: 100, burst: 200, callers: {desk: {key_digests: [DIGEST1]}}}
  beta:
    rate: 10
    burst: 20
    callers: {shop: {key_digests: [DIGEST2]}}
targets:
  e1: {kind: engine, zone: a, url: 'http://127.0.0.1:9', pool: assist,
       memory: 1000}
  s1: {kind: service, zone: b, url: 'http://127.0.0.1:10', pool: desk}
models:
  tulip: {version: "1", pool: assist, memory: 500, replicas: 1,
          organisations: [acme]}
adapters:
  tulip-nl: {base: tulip, version: "2", memory: 100}

# Routes to plain services.
services:
  faq: {pool: desk, open_to_all: true}
"""


def _load(text):
    text = text.replace('DIGEST1', _DIGEST1).replace('DIGEST2', _DIGEST2)
    return load_questionnaire(text)


def _problems(text):
    try:
        _load(text)
    except ConfigurationError as error:
        return error.problems
    return []


@given('the sample questionnaire')
def given_sample(context):
    context.yaml = SAMPLE
    assert not _problems(SAMPLE), _problems(SAMPLE)


@when('"rate: 100" and "burst: 200" are replaced by negative numbers')
def when_negative(context):
    context.yaml = SAMPLE.replace(' 100, burst: 200', ' -1, burst: -1')


@when('"{old}" is replaced by "{new}"')
def when_replaced_quoted(context, old, new):
    context.yaml = SAMPLE.replace(old, new)


@when('{old} is replaced by {new}')
def when_replaced(context, old, new):
    assert old in SAMPLE, old
    context.yaml = SAMPLE.replace(old, new.replace('\\n', '\n'), 1)


@then('the problem {problem} is reported')
def then_problem(context, problem):
    problems = _problems(context.yaml)
    assert any(line.startswith(problem) for line in problems), problems


@then(
    'the sample file {name} has {zones:d} zones, {engines:d} engines, '
    '{models:d} models and {adapters:d} adapters'
)
def then_sample(context, name, zones, engines, models, adapters):
    path = Path('examples') / f'{name}.yaml'
    answers = load_questionnaire(path.read_text())
    kinds = [target.kind for target in answers.targets.values()]
    sizes = (len(answers.zones), kinds.count(TargetKind.engine))
    assert sizes == (zones, engines), sizes
    sizes = (len(answers.models), len(answers.adapters))
    assert sizes == (models, adapters), sizes


@then('{count:d} problems are reported')
def then_count(context, count):
    assert len(_problems(context.yaml)) == count


def _encode(text, generation=3):
    configuration = generate_configuration(_load(text), generation)
    return configuration, encode_configuration(configuration)


@when('its configuration is encoded, written as JSON and decoded')
def when_encoded(context):
    context.configuration, encoded = _encode(context.yaml)
    context.encoded = json.dumps(
        [manifest_body(encoded.manifest), encoded.shards]
    )
    manifest, shards = json.loads(context.encoded)
    context.decoded = decode_configuration(
        decode_manifest(manifest),
        {int(number): body for number, body in shards.items()},
    )


@then('the decoded configuration equals the generated one')
def then_decoded(context):
    assert context.decoded == context.configuration


@then('it contains no plain key and no empty shard')
def then_contents(context):
    assert '{}' not in context.encoded
    assert _DIGEST1 in context.encoded


@then('only "{organisation}" may use the adapter "{name}"')
def then_organisation(context, organisation, name):
    configuration, _ = _encode(context.yaml)
    deployment = configuration.deployments_by_name[name]
    assert deployment.organisations == {organisation}
    assert (deployment.model, deployment.pool) == ('tulip', 'assist')


@then('the digests of the shards are the same')
def then_digests(context):
    assert context.yaml != SAMPLE
    _, changed = _encode(context.yaml)
    _, original = _encode(SAMPLE)
    assert changed.manifest.digests == original.manifest.digests


@when('one shard is {fault}')
def when_shard_changed(context, fault):
    _, encoded = _encode(context.yaml)
    _, later = _encode(context.yaml.replace('100', '101'), 4)
    changed = [
        number
        for number, digest in encoded.manifest.digests.items()
        if later.manifest.digests.get(number) != digest
    ]
    context.manifest = encoded.manifest
    context.shards = dict(encoded.shards)
    if fault == 'missing':
        context.shards.pop(changed[0])
    elif fault == 'malformed':
        context.shards[changed[0]] = {'organisations': 3}
    else:
        context.shards[changed[0]] = later.shards[changed[0]]


@then('decoding the configuration fails')
def then_fails_to_decode(context):
    try:
        decode_configuration(context.manifest, context.shards)
    except ConfigurationError:
        return
    raise AssertionError('the configuration was decoded')
