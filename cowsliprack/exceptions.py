"""The closed list of error kinds and the answer that each one gets."""

import enum
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import NoReturn

# What a command reports when its input or settings are wrong.
_EXIT_CODE = 2


@enum.unique
class ErrorKind(enum.StrEnum):
    """Every reason for which a request can fail."""

    bad_request = 'bad_request'
    body_too_large = 'body_too_large'
    key_missing = 'key_missing'
    key_unknown = 'key_unknown'
    key_withdrawn = 'key_withdrawn'
    not_allowed = 'not_allowed'
    unknown_deployment = 'unknown_deployment'
    unknown_route = 'unknown_route'
    rate_limited = 'rate_limited'
    exceeds_burst = 'exceeds_burst'
    queue_full = 'queue_full'
    deadline_unreachable = 'deadline_unreachable'
    deadline_passed = 'deadline_passed'
    cold_start_unavailable = 'cold_start_unavailable'
    no_target = 'no_target'
    store_unavailable = 'store_unavailable'
    configuration_stale = 'configuration_stale'
    poison_request = 'poison_request'
    duplicate_in_progress = 'duplicate_in_progress'
    idempotency_mismatch = 'idempotency_mismatch'
    target_refused = 'target_refused'
    target_unreachable = 'target_unreachable'
    target_failed = 'target_failed'
    stream_broken = 'stream_broken'
    answer_timeout = 'answer_timeout'
    shutting_down = 'shutting_down'
    internal = 'internal'


@enum.unique
class Ran(enum.StrEnum):
    """What an error says about whether the request ran on a target."""

    not_run = 'not run'
    may_have_run = 'may have run'


@dataclass(frozen=True, slots=True)
class Answer:
    """How one error kind is presented to the caller."""

    status: int
    ran: Ran
    # Seconds until a new try may succeed; None where a new try cannot help.
    retry_after: float | None = None


_NOT = Ran.not_run
_MAYBE = Ran.may_have_run

ANSWER_BY_KIND: Mapping[ErrorKind, Answer] = MappingProxyType(
    {
        ErrorKind.bad_request: Answer(400, _NOT),
        ErrorKind.body_too_large: Answer(413, _NOT),
        ErrorKind.key_missing: Answer(401, _NOT),
        ErrorKind.key_unknown: Answer(401, _NOT),
        ErrorKind.key_withdrawn: Answer(401, _MAYBE),
        ErrorKind.not_allowed: Answer(403, _NOT),
        ErrorKind.unknown_deployment: Answer(404, _NOT),
        ErrorKind.unknown_route: Answer(404, _NOT),
        ErrorKind.rate_limited: Answer(429, _NOT, 1),
        ErrorKind.exceeds_burst: Answer(429, _NOT),
        ErrorKind.queue_full: Answer(503, _NOT, 1),
        ErrorKind.deadline_unreachable: Answer(503, _NOT, 5),
        ErrorKind.deadline_passed: Answer(503, _NOT, 5),
        ErrorKind.cold_start_unavailable: Answer(503, _NOT, 10),
        ErrorKind.no_target: Answer(503, _NOT, 5),
        ErrorKind.store_unavailable: Answer(503, _NOT, 10),
        ErrorKind.configuration_stale: Answer(503, _NOT, 10),
        ErrorKind.poison_request: Answer(422, _NOT),
        ErrorKind.duplicate_in_progress: Answer(409, _MAYBE, 2),
        ErrorKind.idempotency_mismatch: Answer(422, _NOT),
        ErrorKind.target_refused: Answer(503, _NOT, 1),
        ErrorKind.target_unreachable: Answer(503, _NOT, 1),
        ErrorKind.target_failed: Answer(502, _MAYBE),
        ErrorKind.stream_broken: Answer(502, _MAYBE),
        ErrorKind.answer_timeout: Answer(504, _MAYBE),
        ErrorKind.shutting_down: Answer(503, _NOT, 1),
        ErrorKind.internal: Answer(500, _MAYBE),
    }
)


class CowsliprackError(Exception):
    """Base class of all errors that this package raises."""


class ServingError(CowsliprackError):
    """A request failed; the kind decides the answer.

    :param kind: entry of the closed list.
    :param detail: one sentence for the caller; never contains a key.
    :param retry_after: seconds; overrides the default of the kind.
    :param ran: overrides what the kind says about execution.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str,
        *,
        retry_after: float | None = None,
        ran: Ran | None = None,
    ) -> None:
        """Store the kind and what overrides its defaults."""
        super().__init__(detail)
        answer = ANSWER_BY_KIND[kind]
        self.kind = kind
        self.detail = detail
        self.status = answer.status
        self.ran = ran or answer.ran
        self.retry_after = (
            answer.retry_after if retry_after is None else retry_after
        )


class StoreError(CowsliprackError):
    """Base class of platform store failures."""


class StoreUnavailableError(StoreError):
    """The store did not answer; a write may still have taken effect."""


class StoreConflictError(StoreError):
    """A conditional write met another version than the expected one."""


class TargetError(CowsliprackError):
    """A target failed or refused.

    :param detail: one sentence.
    :param ran: whether the request may have run there.
    :param timed_out: the connection stayed open, but nothing came in time.
    :param unreachable: no connection could be opened.
    """

    def __init__(
        self,
        detail: str,
        ran: Ran,
        *,
        timed_out: bool = False,
        unreachable: bool = False,
    ) -> None:
        """Store the detail and whether the request may have run."""
        super().__init__(detail)
        self.ran = ran
        self.timed_out = timed_out
        self.unreachable = unreachable


class ConfigurationError(CowsliprackError):
    """A questionnaire, setting or stored object is not valid.

    :param problems: one line for each problem, each naming its field.
    """

    def __init__(self, problems: list[str]) -> None:
        """Store one line for each problem."""
        super().__init__('; '.join(problems))
        self.problems = problems


def exit_with_problems(error: ConfigurationError) -> NoReturn:
    """Print each problem on a line and exit with code 2.

    :param error: what is wrong.
    """
    for problem in error.problems:
        sys.stderr.write(f'error: {problem}\n')
    sys.exit(_EXIT_CODE)
