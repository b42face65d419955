"""Store calls that claim, finish and delete idempotency records."""

import random

import anyio
import msgspec

from cowsliprack.coordination.idempotency import (
    Claim,
    Outcome,
    Record,
    RecordedAnswer,
    Step,
    finished_record,
    is_expired,
    read_record,
)
from cowsliprack.coordination.retry import full_jitter
from cowsliprack.exceptions import StoreConflictError, StoreUnavailableError
from cowsliprack.protocol.store import (
    ObjectStore,
    StoredObject,
    new_attempt_id,
)

# A caller whose key cannot be claimed within this time gets "not run".
CLAIM_TIMEOUT_SECONDS = 3
# Limits of the backoff between store calls after failures.
_BACKOFF_BASE_SECONDS = 0.05
_BACKOFF_CAP_SECONDS = 1
# Store calls to record an answer; the caller would not wait for more.
_MAX_FINISH_CALLS = 4
# Keeps one sweep over expired records short.
_MAX_SWEEP_DELETES = 20


async def settle_claim(
    store: ObjectStore,
    claim: Claim,
    rng: random.Random,
    timeout_seconds: float = CLAIM_TIMEOUT_SECONDS,
) -> None:
    """Make store calls until the claim has an outcome.

    :param store: platform store.
    :param claim: changed in place; its outcome is set afterwards.
    :param rng: source of the backoff jitter.
    :param timeout_seconds: after which the outcome is ``unavailable``.
    """
    failures = 0
    with anyio.move_on_after(timeout_seconds):
        while claim.outcome is None:
            if not await _try_step(store, claim):
                await anyio.sleep(
                    full_jitter(
                        failures,
                        _BACKOFF_BASE_SECONDS,
                        _BACKOFF_CAP_SECONDS,
                        rng,
                    ),
                )
                failures += 1
    if claim.outcome is None:
        claim.in_doubt = True
        claim.outcome = Outcome.unavailable


async def finish_claim(
    store: ObjectStore,
    claim: Claim,
    response: RecordedAnswer,
    now: float,
    rng: random.Random,
) -> bool:
    """Record the answer of a request that ran.

    Without the record a repeated request gets "may have run" and does not run
    again.

    :param store: platform store.
    :param claim: whose outcome is ``run``.
    :param response: sent to the caller.
    :param now: seconds since the epoch.
    :param rng: source of the backoff jitter.
    :returns: whether the answer is known to be recorded.
    """
    record = finished_record(claim.record, new_attempt_id(), response, now)
    for failures in range(_MAX_FINISH_CALLS):
        try:
            await store.update(claim.key, _encode_record(record), claim.version)
        except StoreConflictError:
            return await _is_recorded(store, claim.key, record)
        except StoreUnavailableError:
            await anyio.sleep(
                full_jitter(
                    failures, _BACKOFF_BASE_SECONDS, _BACKOFF_CAP_SECONDS, rng
                ),
            )
        else:
            return True
    return False


async def release_claim(store: ObjectStore, claim: Claim) -> None:
    """Delete the record of a request that did not run.

    Its caller may then repeat it with the same key. When the store is
    unavailable the record remains, and a repeated request gets "may have run".

    :param store: platform store.
    :param claim: of a request that was not sent or that the target refused.
    """
    try:
        stored = await store.read(claim.key)
        if stored is not None and _is_claimed_by(stored, claim):
            await store.delete(claim.key, stored.version)
    except (StoreUnavailableError, StoreConflictError):
        return


async def sweep_expired(store: ObjectStore, prefix: str, now: float) -> int:
    """Delete a few expired records.

    :param store: platform store.
    :param prefix: ``idempotency/`` with the first digits of the digest, which
        keeps one listing small.
    :param now: seconds since the epoch.
    :returns: number of deleted records.
    """
    deleted_count = 0
    for stored in await store.list(prefix):
        record = read_record(stored)
        if record is None or not is_expired(record, now):
            continue
        try:
            await store.delete(stored.key, stored.version)
        except StoreConflictError:
            continue
        deleted_count += 1
        if deleted_count >= _MAX_SWEEP_DELETES:
            break
    return deleted_count


async def _try_step(store: ObjectStore, claim: Claim) -> bool:
    try:
        await _execute_step(store, claim)
    except StoreConflictError:
        claim.on_conflict()
    except StoreUnavailableError:
        claim.on_unavailable()
        return False
    return True


async def _execute_step(store: ObjectStore, claim: Claim) -> None:
    if claim.step is Step.read:
        claim.on_read(await store.read(claim.key))
        return
    body = _encode_record(claim.record)
    if claim.step is Step.create:
        stored = await store.create(claim.key, body)
    else:
        stored = await store.update(claim.key, body, claim.version)
    claim.on_written(stored)


async def _is_recorded(store: ObjectStore, key: str, record: Record) -> bool:
    # An earlier write whose response was lost may have caused the conflict.
    try:
        stored = await store.read(key)
    except StoreUnavailableError:
        return False
    if stored is None:
        return False
    stored_record = read_record(stored)
    return stored_record is not None and stored_record.attempt == record.attempt


def _is_claimed_by(stored: StoredObject, claim: Claim) -> bool:
    stored_record = read_record(stored)
    return (
        stored_record is not None and stored_record.claim == claim.record.claim
    )


def _encode_record(record: Record) -> dict[str, object]:
    return msgspec.to_builtins(record)
