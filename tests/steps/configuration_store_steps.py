"""Steps for the configuration in the platform store."""

import asyncio
import random
from dataclasses import replace

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from cowsliprack.exceptions import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from cowsliprack.protocol.configuration_codec import (
    MANIFEST_KEY,
    SHARDS_PREFIX,
    shard_key,
)
from cowsliprack.protocol.store import StoredObject
from cowsliprack.state.configuration import Configuration, Organisation
from cowsliprack.transport import configuration_store
from cowsliprack.transport.configuration_store import (
    read_configuration,
    read_manifest,
    write_configuration,
)

configuration_store.RETRY_DELAY_SECONDS = 0


class InterleavingStore:
    """In-memory object store that yields to other tasks at each call.

    ``fault(method, key)`` returns ``ok``, ``before`` (fails without effect),
    ``after`` (fails after its effect) or ``stale`` (reads the version before).
    ``yield_count()`` returns how often a call yields before it runs.
    """

    def __init__(self, fault=lambda method, key: 'ok', yield_count=lambda: 0):
        self.objects_by_key = {}
        self.previous_by_key = {}
        self.version = 0
        self.fault = fault
        self.yield_count = yield_count
        self.manifests = []

    async def read(self, key):
        fault = await self.start_call('read', key)
        source = self.previous_by_key if fault == 'stale' else {}
        return source.get(key, self.objects_by_key.get(key))

    async def create(self, key, body):
        return await self.write('create', key, body, None)

    async def update(self, key, body, expected_version):
        return await self.write('update', key, body, expected_version)

    async def delete(self, key, expected_version):
        await self.write('delete', key, None, expected_version)

    async def start_call(self, method, key):
        for _ in range(self.yield_count()):
            await asyncio.sleep(0)
        fault = self.fault(method, key)
        if fault == 'before':
            raise StoreUnavailableError(fault)
        return fault

    async def write(self, method, key, body, expected_version):
        fault = await self.start_call(method, key)
        held = self.objects_by_key.get(key)
        if (held.version if held else None) != expected_version:
            raise StoreConflictError(key)
        self.version += 1
        if held:
            self.previous_by_key[key] = held
        if body is None:
            del self.objects_by_key[key]
        else:
            stored = StoredObject(key, self.version, body)
            self.objects_by_key[key] = stored
        self.check_manifest()
        if fault == 'after':
            raise StoreUnavailableError(fault)
        return self.objects_by_key.get(key)

    def check_manifest(self):
        """Fail if the manifest in force names a missing shard."""
        manifest = self.objects_by_key.get(MANIFEST_KEY)
        if manifest is None:
            return
        for number, digest in manifest.body['digests'].items():
            assert shard_key(int(number), digest) in self.objects_by_key
        self.manifests.append(manifest.body)


def _configuration(rate, label=''):
    organisations = {'acme': Organisation('acme', rate, rate)}
    return Configuration(organisations_by_id=organisations, zones=(label,))


async def _apply(store, rate, label=''):
    held = await read_configuration(store)
    wanted = _configuration(rate, label)
    return await write_configuration(store, held, wanted)


def _run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 30))


@given('a store with generation 1 in force')
def given_generation(context):
    context.store = InterleavingStore()
    _run(_apply(context.store, 1))


@when('an operator applies a change and the store fails with {faults}')
def when_faults(context, faults):
    context.outcome = _run(_apply_with(context.store, faults))


async def _apply_with(store, faults):
    faulted_keys = []
    held = await read_configuration(store)

    def fault(method, key):
        is_first_write = method in {'create', 'update'} and not faulted_keys
        if is_first_write and key == MANIFEST_KEY:
            if 'outage' in faults:
                return 'before'
            if 'answer of the manifest' in faults or 'answer and' in faults:
                faulted_keys.append(key)
                return 'after'
        if is_first_write and 'answer of a shard' in faults:
            faulted_keys.append(key)
            return 'after'
        is_stale_read = (
            'stale' in faults and len(faulted_keys) == 1 and key == MANIFEST_KEY
        )
        if is_stale_read and method == 'read':
            faulted_keys.append(key)
            return 'stale'
        return 'ok'

    store.fault = fault
    has_other_operator = "another operator's change" in faults
    if has_other_operator and 'answer' not in faults:
        store.fault = lambda method, key: 'ok'
        await _apply(store, 50)
    if has_other_operator and 'answer' in faults:
        store.fault = _OtherOperator(store)
    try:
        await write_configuration(store, held, _configuration(2))
    except StoreError as error:
        return type(error).__name__
    finally:
        store.fault = lambda method, key: 'ok'
    return 'success'


class _OtherOperator:
    """Loses one answer of a manifest write, then applies another change."""

    def __init__(self, store):
        self.store = store
        self.manifest_writes = 0

    def __call__(self, method, key):
        if key != MANIFEST_KEY or method == 'read':
            return 'ok'
        self.manifest_writes += 1
        if self.manifest_writes == 2:
            # The other change is complete before the repeated write runs.
            self.put_later_manifest()
        return 'after' if self.manifest_writes == 1 else 'ok'

    def put_later_manifest(self):
        held = self.store.objects_by_key[MANIFEST_KEY]
        body = {
            **held.body,
            'generation': held.body['generation'] + 1,
            'attempt': 'other',
            'earlier_attempts': [held.body['attempt']],
        }
        self.store.version += 1
        self.store.objects_by_key[MANIFEST_KEY] = replace(
            held, version=self.store.version, body=body
        )


@then('the change ends with {outcome}')
def then_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


@then('generation {generation:d} is in force and complete')
def then_generation(context, generation):
    held = _run(read_configuration(context.store))
    assert held.configuration.generation == generation, held.manifest


@then('{count:d} random runs of three operators and a reader are consistent')
def then_consistent(context, count):
    check = settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
    )(for_all(st.integers(0, 2**32))(_check_interleaving))
    check()


def _check_interleaving(seed):
    rng = random.Random(seed)
    store = InterleavingStore(
        lambda method, key: rng.choices(
            ('ok', 'before', 'after', 'stale'), (20, 1, 2, 3)
        )[0],
        lambda: rng.randrange(4),
    )
    outcome_by_label = _run(_run_interleaved(store, rng))
    in_force = {body['zones'][0] for body in store.manifests}
    for label, outcome in outcome_by_label.items():
        if outcome == 'success':
            assert label in in_force, (label, in_force)
        if outcome == 'ConfigurationConflictError':
            assert label not in in_force, (label, in_force)
    generations = [body['generation'] for body in store.manifests]
    assert generations == sorted(generations), generations


async def _run_interleaved(store, rng):
    outcome_by_label = {}
    operators = [
        _apply_changes(store, rng, name, outcome_by_label) for name in 'xyz'
    ]
    await asyncio.gather(*operators, _read_repeatedly(store))
    return outcome_by_label


async def _apply_changes(store, rng, name, outcome_by_label):
    for count in range(4):
        label = f'{name}{count}'
        try:
            # Few values, so that the same shard content and key recur.
            await _apply(store, rng.randint(1, 3), label)
            outcome_by_label[label] = 'success'
        except StoreError as error:
            outcome_by_label[label] = type(error).__name__


async def _read_repeatedly(store):
    for _ in range(10):
        try:
            await read_configuration(store)
        except StoreError:
            await asyncio.sleep(0)


@when('{count:d} changes are applied one after the other')
def when_changes(context, count):
    for rate in range(count):
        _run(_apply(context.store, rate + 10))


@then('only shards of the last 2 generations are stored')
def then_stored(context):
    _, manifest = _run(read_manifest(context.store))
    expected = {
        shard_key(number, digest) for number, digest in manifest.digests.items()
    } | set(manifest.superseded)
    stored = {
        key
        for key in context.store.objects_by_key
        if key.startswith(SHARDS_PREFIX)
    }
    assert stored == expected, stored
    assert len(stored) == 2
