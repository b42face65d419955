"""Steps for claims of idempotency keys."""

import functools
import random
from collections import Counter

import anyio
import msgspec
from behave import given, then, when

from cowsliprack.coordination import idempotency as idem
from cowsliprack.exceptions import StoreConflictError, StoreUnavailableError
from cowsliprack.protocol.store import new_attempt_id
from cowsliprack.transport import idempotency_store
from tests.support.object_store import InMemoryStore

NOW = 1_000_000.0
KEY = idem.record_key('acme', '/services/orders', 'k1')
ANSWER = idem.RecordedAnswer(201, 'application/json', b'{"order": 1}')


def _record(body=b'order', expires_at=NOW + idem.RECORD_LIFETIME_SECONDS):
    attempt = new_attempt_id()
    fingerprint = idem.request_fingerprint('POST', '/services/orders', body)
    return idem.Record(attempt, attempt, 'i1', fingerprint, expires_at)


def _stored_body(name):
    started = _record()
    large = idem.RecordedAnswer(200, 'text/plain', bytes(100_000))
    record_by_name = {
        'started': started,
        'finished': idem.finished_record(started, 'w2', ANSWER, NOW),
        'large': idem.finished_record(started, 'w2', large, NOW),
        'other body': _record(b'other'),
        'expired': _record(expires_at=NOW - idem.CLOCK_MARGIN_SECONDS - 1),
        'just expired': _record(expires_at=NOW - 1),
    }
    if name == 'unreadable':
        return {'attempt': 'w1'}
    return msgspec.to_builtins(record_by_name[name])


def _claim(store):
    claim = idem.Claim(KEY, _record(), NOW)
    settle = functools.partial(
        idempotency_store.settle_claim, store, claim, random.Random(1)
    )
    anyio.run(settle)
    return claim


@given('an idempotency store with the record "{name}"')
def given_store(context, name):
    context.store = InMemoryStore()
    if name != 'none':
        context.store.call(context.store._put, KEY, _stored_body(name), None)


@when('a keyed request is claimed under the faults "{faults}"')
def when_claimed(context, faults):
    context.store.faults = faults.split()
    context.claim = _claim(context.store)
    context.store.faults = []


@when('a keyed request is claimed under the faults ""')
def when_claimed_plainly(context):
    when_claimed(context, '')


@then('the claim ends with "{outcome}" and an error that says "{ran}"')
def then_outcome(context, outcome, ran):
    claim = context.claim
    assert claim.outcome is idem.Outcome(outcome), claim.outcome
    if claim.outcome is idem.Outcome.replay:
        assert idem.recorded_answer(claim.existing_record) == ANSWER
    if ran != 'nothing':
        assert idem.claim_error(claim, NOW).ran.value == ran


@when('its answer of {size:d} bytes is recorded under the faults "{faults}"')
def when_recorded(context, size, faults):
    context.store.faults = faults.split()
    answer = idem.RecordedAnswer(200, 'text/plain', bytes(size))
    context.is_recorded = anyio.run(
        idempotency_store.finish_claim,
        context.store,
        context.claim,
        answer,
        NOW,
        random.Random(1),
    )
    context.store.faults = []


@when('its answer of {size:d} bytes is recorded under the faults ""')
def when_recorded_plainly(context, size):
    when_recorded(context, size, '')


@then(
    'recording returned {is_recorded} and a repeated request ends with '
    '"{outcome}"'
)
def then_recorded(context, is_recorded, outcome):
    assert str(context.is_recorded) == is_recorded
    assert _claim(context.store).outcome is idem.Outcome(outcome)


@when('its claim is released')
def when_released(context):
    anyio.run(idempotency_store.release_claim, context.store, context.claim)


@then('the store still has the record')
def then_held(context):
    assert KEY in context.store.objects_by_key


@then('a sweep deletes {count:d} record of a store that also has "{name}"')
def then_swept(context, count, name):
    store = context.store
    other = f'{idem.KEY_PREFIX}other'
    store.call(store._put, other, _stored_body(name), None)
    sweep = idempotency_store.sweep_expired
    assert anyio.run(sweep, store, idem.KEY_PREFIX, NOW) == count
    assert set(store.objects_by_key) == {other}


class _DelayedWrites:
    """Writes whose answers are lost and that take effect later or never."""

    def __init__(self, rng):
        self.rng = rng
        self.writes = []

    def apply_random(self, store):
        write = self.writes.pop(self.rng.randrange(len(self.writes)))
        try:
            store.call(store._put, *write)
        except StoreConflictError:
            return


def _perform_step(store, claim, delayed_writes, rng):
    write = (KEY, msgspec.to_builtins(claim.record))
    expected = None if claim.step is idem.Step.create else claim.version
    fault = rng.choice(['ok', 'ok', 'before', 'after', 'late'])
    is_read = claim.step is idem.Step.read
    if fault == 'late':
        if not is_read:
            delayed_writes.writes.append((*write, expected))
        fault = 'before'
    store.faults = [fault]
    try:
        if is_read:
            claim.on_read(store.call(store.objects_by_key.get, KEY))
        else:
            claim.on_written(store.call(store._put, *write, expected))
    except StoreConflictError:
        claim.on_conflict()
    except StoreUnavailableError:
        claim.on_unavailable()
    store.faults = []


def _interleave(seed):
    rng = random.Random(seed)
    store = InMemoryStore()
    delayed_writes = _DelayedWrites(rng)
    if rng.random() < 0.3:
        store.call(store._put, KEY, _stored_body('expired'), None)
    claims = [idem.Claim(KEY, _record(), NOW) for _ in range(3)]
    unfinished = list(claims)
    while unfinished or delayed_writes.writes:
        if delayed_writes.writes and (not unfinished or rng.random() < 0.3):
            delayed_writes.apply_random(store)
            continue
        claim = rng.choice(unfinished)
        _perform_step(store, claim, delayed_writes, rng)
        # An instance may be killed at any step.
        if claim.outcome is not None or rng.random() < 0.05:
            unfinished.remove(claim)
    return sum(claim.outcome is idem.Outcome.run for claim in claims)


@when('{count:d} random interleavings of 3 claims start from seed {seed:d}')
def when_interleaved(context, count, seed):
    context.run_counts = Counter(
        _interleave(f'{seed}-{number}') for number in range(count)
    )


@then('no interleaving lets more than one claim run')
def then_once(context):
    assert max(context.run_counts) == 1, context.run_counts


@then('some interleavings let one claim run and some let none')
def then_both(context):
    assert set(context.run_counts) == {0, 1}, context.run_counts
