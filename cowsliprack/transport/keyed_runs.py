"""Runs of requests with an idempotency key, recorded in the platform store."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import structlog

from cowsliprack.coordination.idempotency import (
    RECORD_LIFETIME_SECONDS,
    Claim,
    Outcome,
    Record,
    RecordedAnswer,
    claim_error,
    record_key,
    recorded_answer,
    request_fingerprint,
)
from cowsliprack.protocol.store import ObjectStore, new_attempt_id
from cowsliprack.transport.idempotency_store import (
    finish_claim,
    release_claim,
    settle_claim,
)

# Seconds after which the record of an outcome is given up, while the caller
# waits for its answer; without it repeats are told "may have run".
_FINISH_SECONDS = 2
_log = structlog.get_logger('cowsliprack.idempotency')


@dataclass(frozen=True, slots=True)
class KeyedRequest:
    """What identifies a request with an idempotency key."""

    organisation: str
    route: str
    idempotency_key: str
    method: str
    path: str
    body: bytes


@dataclass(slots=True)
class KeyedRuns:
    """Claims and records of keyed requests.

    :param owner: id of this instance.
    :param clock: seconds since the epoch.
    """

    store: ObjectStore
    owner: str
    clock: Callable[[], float]
    source: random.Random = field(default_factory=random.Random)

    async def claim(self, keyed: KeyedRequest) -> Claim | RecordedAnswer:
        """Claim a run before the request is dispatched.

        :param keyed: identifies the request.
        :returns: a claim that allows one run, or the recorded answer.
        :raises ServingError: the request must not run now.
        """
        now = self.clock()
        claim = Claim(
            record_key(
                keyed.organisation,
                keyed.route,
                keyed.idempotency_key,
            ),
            Record(
                attempt=new_attempt_id(),
                claim=new_attempt_id(),
                owner=self.owner,
                fingerprint=request_fingerprint(
                    keyed.method,
                    keyed.path,
                    keyed.body,
                ),
                expires_at=now + RECORD_LIFETIME_SECONDS,
            ),
            now,
        )
        await settle_claim(self.store, claim, self.source)
        if claim.outcome is Outcome.run:
            return claim
        if (
            claim.outcome is Outcome.replay
            and claim.existing_record is not None
        ):
            return recorded_answer(claim.existing_record)
        if claim.in_doubt and claim.outcome is Outcome.unavailable:
            # The record may exist although nothing was sent; repeats are
            # told "may have run" until it expires.
            _log.warning('claim_in_doubt', key=claim.key)
        raise claim_error(claim, now)

    async def finish(self, claim: Claim, answer: RecordedAnswer) -> None:
        """Record the answer of a run.

        :param claim: of the run.
        :param answer: that the caller gets.
        """
        recorded = False
        with anyio.move_on_after(_FINISH_SECONDS):
            recorded = await finish_claim(
                self.store,
                claim,
                answer,
                self.clock(),
                self.source,
            )
        if not recorded:
            _log.warning('answer_not_recorded', key=claim.key)

    async def release(self, claim: Claim) -> None:
        """Remove the claim of a request that is known not to have run.

        :param claim: of the request.
        """
        with anyio.move_on_after(_FINISH_SECONDS):
            await release_claim(self.store, claim)
