"""Idempotency records and the state machine that claims them, without I/O.

A claim is decided by a conditional create before the request is dispatched.
Only the claim whose id is in the record may run the request, so it runs at
most once even if store calls or their responses are lost or repeated.
"""

import base64
import binascii
import hashlib
from dataclasses import dataclass
from enum import StrEnum, unique

import msgspec

from cowsliprack.exceptions import ErrorKind, ServingError
from cowsliprack.protocol.store import StoredObject

KEY_PREFIX = 'idempotency/'
# Time for which a record is valid (one day).
RECORD_LIFETIME_SECONDS = 86_400
# Maximum difference between the clocks of two instances; a record counts as
# expired only after this margin.
CLOCK_MARGIN_SECONDS = 300
# Larger answers are not recorded. The store takes 1 MB for a value, but each
# record is written and read as a whole while a request is processed.
MAX_ANSWER_BYTES = 65_536
# Store calls after which a claim ends as ``unavailable``.
MAX_STORE_CALLS = 6


@unique
class RecordState(StrEnum):
    """Whether the response to a keyed request is known."""

    started = 'started'
    finished = 'finished'


@unique
class Step(StrEnum):
    """The store call that a claim needs next."""

    create = 'create'
    read = 'read'
    replace = 'replace'


@unique
class Outcome(StrEnum):
    """Result of a claim.

    Only ``run`` allows the request to be dispatched.
    """

    run = 'run'
    replay = 'replay'
    too_large = 'too_large'
    in_progress = 'in_progress'
    mismatch = 'mismatch'
    unavailable = 'unavailable'


class Record(msgspec.Struct, frozen=True):
    """Body of the stored object ``idempotency/{digest}``.

    :param attempt: id of the write that made this version.
    :param claim: id of the claim that may run the request.
    :param owner: id of the instance that made the claim.
    :param fingerprint: digest of method, target path and body.
    :param expires_at: seconds since the epoch.
    :param answer: body of the response in base64.
    :param too_large: the request ran, but its answer was not recorded.
    """

    attempt: str
    claim: str
    owner: str
    fingerprint: str
    expires_at: float
    state: RecordState = RecordState.started
    status: int = 0
    content_type: str = ''
    answer: str = ''
    too_large: bool = False


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """Recorded response, sent again to a repeated request."""

    status: int
    content_type: str
    body: bytes


def record_key(organisation: str, route: str, idempotency_key: str) -> str:
    """Return the store key of a caller's idempotency key.

    :param organisation: id of the organisation.
    :param route: path of the callers' interface.
    :param idempotency_key: as the caller sent it.
    """
    digest = _digest(
        organisation.encode(), route.encode(), idempotency_key.encode()
    )
    return f'{KEY_PREFIX}{digest}'


def request_fingerprint(method: str, path: str, body: bytes) -> str:
    """Return the digest by which a repeated request is recognised.

    :param method: HTTP method.
    :param path: path and query without the caller's key.
    :param body: as the caller sent it.
    """
    return _digest(method.encode(), path.encode(), body)


def is_expired(record: Record, now: float) -> bool:
    """Return whether a record has expired on the clock of every instance.

    :param record: from the store.
    :param now: seconds since the epoch.
    """
    return now > record.expires_at + CLOCK_MARGIN_SECONDS


def read_record(stored: StoredObject) -> Record | None:
    """Return the record in a stored object, ``None`` when it is unreadable.

    :param stored: object below ``idempotency/``.
    """
    try:
        return msgspec.convert(stored.body, Record)
    except msgspec.ValidationError:
        return None


def finished_record(
    claimed: Record,
    attempt: str,
    response: RecordedAnswer,
    now: float,
) -> Record:
    """Return the record that replaces a claim after the request ran.

    :param claimed: record of the claim.
    :param attempt: id of the new write.
    :param response: sent to the caller.
    :param now: seconds since the epoch.
    """
    too_large = len(response.body) > MAX_ANSWER_BYTES
    recorded = b'' if too_large else response.body
    return msgspec.structs.replace(
        claimed,
        attempt=attempt,
        state=RecordState.finished,
        expires_at=now + RECORD_LIFETIME_SECONDS,
        status=response.status,
        content_type=response.content_type,
        answer=base64.b64encode(recorded).decode(),
        too_large=too_large,
    )


class Claim:
    """State machine that decides whether a keyed request may run.

    The caller performs the store call ``step`` and reports its result until
    ``outcome`` is set.
    """

    def __init__(self, key: str, record: Record, now: float) -> None:
        """Start with the conditional create.

        :param key: see ``record_key``.
        :param record: the record to write; its claim id must be new.
        :param now: seconds since the epoch.
        """
        self.key = key
        self.record = record
        self.step = Step.create
        self.outcome: Outcome | None = None
        self.version = 0
        self.existing_record: Record | None = None
        # A write of this claim may have taken effect without an answer.
        self.in_doubt = False
        self._now = now
        self._call_count = 0

    def on_written(self, stored: StoredObject) -> None:
        """Handle the confirmation of the create or replace.

        :param stored: the new object.
        """
        self._finish(Outcome.run, stored.version)

    def on_conflict(self) -> None:
        """Handle a conflict, which an earlier write of this claim may cause."""
        self._advance(Step.read)

    def on_unavailable(self) -> None:
        """Read the record back; an unanswered write may have taken effect."""
        if self.step is not Step.read:
            self.in_doubt = True
        self._advance(Step.read)

    def on_read(self, stored: StoredObject | None) -> None:
        """Handle the answer of a read.

        :param stored: the object, ``None`` when there is none.
        """
        if stored is None:
            self._advance(Step.create)
            return
        existing_record = read_record(stored)
        self.existing_record = existing_record
        if existing_record is None:
            # An unreadable record still shows that a claim was made.
            self._finish(Outcome.in_progress, stored.version)
        elif existing_record.claim == self.record.claim:
            self._finish(Outcome.run, stored.version)
        elif is_expired(existing_record, self._now):
            self.version = stored.version
            self._advance(Step.replace)
        else:
            self._finish(
                self._existing_outcome(existing_record), stored.version
            )

    def _existing_outcome(self, existing_record: Record) -> Outcome:
        if existing_record.fingerprint != self.record.fingerprint:
            return Outcome.mismatch
        if existing_record.state is RecordState.started:
            return Outcome.in_progress
        return (
            Outcome.too_large if existing_record.too_large else Outcome.replay
        )

    def _advance(self, step: Step) -> None:
        self._call_count += 1
        if self._call_count >= MAX_STORE_CALLS:
            self.outcome = Outcome.unavailable
            return
        self.step = step

    def _finish(self, outcome: Outcome, version: int) -> None:
        self.outcome = outcome
        self.version = version


def recorded_answer(record: Record) -> RecordedAnswer:
    """Return the response in a finished record.

    :param record: of a claim that ended with ``replay``.
    :raises ServingError: the recorded answer is unreadable.
    """
    try:
        body = base64.b64decode(record.answer, validate=True)
    except (binascii.Error, ValueError):
        raise ServingError(
            ErrorKind.duplicate_in_progress,
            'the request ran; its recorded answer is unreadable',
        ) from None
    return RecordedAnswer(record.status, record.content_type, body)


def claim_error(claim: Claim, now: float) -> ServingError:
    """Return the error of a claim that allows neither a run nor a replay.

    :param claim: whose outcome is neither ``run`` nor ``replay``.
    :param now: seconds since the epoch.
    """
    if claim.outcome is Outcome.mismatch:
        return ServingError(
            ErrorKind.idempotency_mismatch,
            'the idempotency key was used with another request',
        )
    if claim.outcome is Outcome.unavailable:
        return ServingError(
            ErrorKind.store_unavailable,
            'the idempotency key cannot be recorded; nothing was sent',
        )
    if claim.outcome is Outcome.too_large and claim.existing_record is not None:
        return ServingError(
            ErrorKind.duplicate_in_progress,
            'the request ran; its answer was too large to record',
            retry_after=max(claim.existing_record.expires_at - now, 0),
        )
    return ServingError(
        ErrorKind.duplicate_in_progress,
        'a request with this idempotency key was started; it may have run',
    )


def _digest(*parts: bytes) -> str:
    hasher = hashlib.sha256()
    for part in parts:
        # The length keeps the boundary between parts unambiguous.
        hasher.update(len(part).to_bytes(8, 'big'))
        hasher.update(part)
    return hasher.hexdigest()
