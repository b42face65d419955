"""Claims and answers of keyed requests, recorded in the platform store."""

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

# The caller waits for its answer while it is recorded. After this time the
# record is abandoned and a repeated request gets "may have run".
_STORE_TIMEOUT_SECONDS = 2
_log = structlog.get_logger('cowsliprack.idempotency')


@dataclass(frozen=True, slots=True)
class KeyedRequest:
    """Identity of a request with an idempotency key."""

    organisation: str
    route: str
    idempotency_key: str
    method: str
    path: str
    body: bytes


@dataclass(slots=True)
class KeyedRuns:
    """Claims keyed requests and records their answers.

    :param owner: id of this instance.
    :param clock: seconds since the epoch.
    :param rng: source of the backoff jitter.
    """

    store: ObjectStore
    owner: str
    clock: Callable[[], float]
    rng: random.Random = field(default_factory=random.Random)

    async def claim(self, keyed: KeyedRequest) -> Claim | RecordedAnswer:
        """Claim the right to run a request before it is dispatched.

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
        await settle_claim(self.store, claim, self.rng)
        if claim.outcome is Outcome.run:
            return claim
        if (
            claim.outcome is Outcome.replay
            and claim.existing_record is not None
        ):
            return recorded_answer(claim.existing_record)
        if claim.in_doubt and claim.outcome is Outcome.unavailable:
            # The record may exist although nothing was sent; a repeated
            # request then gets "may have run" until the record expires.
            _log.warning('claim_in_doubt', key=claim.key)
        raise claim_error(claim, now)

    async def finish(self, claim: Claim, answer: RecordedAnswer) -> None:
        """Record the answer of a run.

        :param claim: of the request.
        :param answer: sent to the caller.
        """
        recorded = False
        with anyio.move_on_after(_STORE_TIMEOUT_SECONDS):
            recorded = await finish_claim(
                self.store,
                claim,
                answer,
                self.clock(),
                self.rng,
            )
        if not recorded:
            _log.warning('answer_not_recorded', key=claim.key)

    async def release(self, claim: Claim) -> None:
        """Remove the claim of a request that is known not to have run.

        :param claim: of the request.
        """
        with anyio.move_on_after(_STORE_TIMEOUT_SECONDS):
            await release_claim(self.store, claim)
