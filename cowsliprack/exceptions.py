"""Exceptions, error kinds and the HTTP response of each kind."""

import enum
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import NoReturn

# Exit code of a command whose input or settings are invalid.
_INVALID_INPUT_EXIT_CODE = 2


@enum.unique
class ErrorKind(enum.StrEnum):
    """All reasons for which a request can fail."""

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
    version_unknown = 'version_unknown'
    version_unavailable = 'version_unavailable'
    store_unavailable = 'store_unavailable'
    configuration_stale = 'configuration_stale'
    poison_request = 'poison_request'
    quarantined = 'quarantined'
    duplicate_in_progress = 'duplicate_in_progress'
    idempotency_mismatch = 'idempotency_mismatch'
    target_refused = 'target_refused'
    target_unreachable = 'target_unreachable'
    target_failed = 'target_failed'
    stream_broken = 'stream_broken'
    answer_timeout = 'answer_timeout'
    shutting_down = 'shutting_down'
    memory_full = 'memory_full'
    internal = 'internal'


@enum.unique
class Ran(enum.StrEnum):
    """Whether a failed request has run on a target."""

    not_run = 'not run'
    may_have_run = 'may have run'


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """HTTP response for one kind of error.

    :param ran: whether the request may have run on a target.
    :param retry_after: seconds after which a retry may succeed; ``None`` if a
        retry cannot help.
    """

    status: int
    ran: Ran
    retry_after: float | None = None


_NOT_RUN = Ran.not_run
_MAY_HAVE_RUN = Ran.may_have_run

RESPONSE_BY_KIND: Mapping[ErrorKind, ErrorResponse] = MappingProxyType(
    {
        ErrorKind.bad_request: ErrorResponse(400, _NOT_RUN),
        ErrorKind.body_too_large: ErrorResponse(413, _NOT_RUN),
        ErrorKind.key_missing: ErrorResponse(401, _NOT_RUN),
        ErrorKind.key_unknown: ErrorResponse(401, _NOT_RUN),
        ErrorKind.key_withdrawn: ErrorResponse(401, _MAY_HAVE_RUN),
        ErrorKind.not_allowed: ErrorResponse(403, _NOT_RUN),
        ErrorKind.unknown_deployment: ErrorResponse(404, _NOT_RUN),
        ErrorKind.unknown_route: ErrorResponse(404, _NOT_RUN),
        ErrorKind.rate_limited: ErrorResponse(429, _NOT_RUN, 1),
        ErrorKind.exceeds_burst: ErrorResponse(429, _NOT_RUN),
        ErrorKind.queue_full: ErrorResponse(503, _NOT_RUN, 1),
        ErrorKind.deadline_unreachable: ErrorResponse(503, _NOT_RUN, 5),
        ErrorKind.deadline_passed: ErrorResponse(503, _NOT_RUN, 5),
        ErrorKind.cold_start_unavailable: ErrorResponse(503, _NOT_RUN, 10),
        ErrorKind.no_target: ErrorResponse(503, _NOT_RUN, 5),
        ErrorKind.version_unknown: ErrorResponse(503, _NOT_RUN, 1),
        ErrorKind.version_unavailable: ErrorResponse(503, _NOT_RUN, 2),
        ErrorKind.store_unavailable: ErrorResponse(503, _NOT_RUN, 10),
        ErrorKind.configuration_stale: ErrorResponse(503, _NOT_RUN, 10),
        ErrorKind.poison_request: ErrorResponse(422, _NOT_RUN),
        ErrorKind.quarantined: ErrorResponse(503, _NOT_RUN, 600),
        ErrorKind.duplicate_in_progress: ErrorResponse(409, _MAY_HAVE_RUN, 2),
        ErrorKind.idempotency_mismatch: ErrorResponse(422, _NOT_RUN),
        ErrorKind.target_refused: ErrorResponse(503, _NOT_RUN, 1),
        ErrorKind.target_unreachable: ErrorResponse(503, _NOT_RUN, 1),
        ErrorKind.target_failed: ErrorResponse(502, _MAY_HAVE_RUN),
        ErrorKind.stream_broken: ErrorResponse(502, _MAY_HAVE_RUN),
        ErrorKind.answer_timeout: ErrorResponse(504, _MAY_HAVE_RUN),
        ErrorKind.shutting_down: ErrorResponse(503, _NOT_RUN, 1),
        ErrorKind.memory_full: ErrorResponse(503, _NOT_RUN, 1),
        ErrorKind.internal: ErrorResponse(500, _MAY_HAVE_RUN),
    }
)


class CowsliprackError(Exception):
    """Base class of all errors that this package raises."""


class ServingError(CowsliprackError):
    """A request failed; its kind determines the response.

    :param kind: kind of the error.
    :param detail: one sentence for the caller; never contains a key.
    :param retry_after: seconds; overrides the default of the kind.
    :param ran: whether the request may have run; overrides the default of the
        kind.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str,
        *,
        retry_after: float | None = None,
        ran: Ran | None = None,
    ) -> None:
        """Store the kind, the detail and the values of the response."""
        super().__init__(detail)
        response = RESPONSE_BY_KIND[kind]
        self.kind = kind
        self.detail = detail
        self.status = response.status
        self.ran = ran or response.ran
        self.retry_after = (
            response.retry_after if retry_after is None else retry_after
        )


class StoreError(CowsliprackError):
    """Base class of errors of the platform's store."""


class StoreUnavailableError(StoreError):
    """The store gave no usable response; a write may have taken effect."""


class StoreConflictError(StoreError):
    """The object of a conditional write did not have the expected version."""


class TargetError(CowsliprackError):
    """A target failed or refused a request.

    :param detail: one sentence that describes the failure.
    :param ran: whether the request may have run on the target.
    :param timed_out: the connection stayed open, but no data arrived in time.
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
        """Store the detail and the state of the request."""
        super().__init__(detail)
        self.ran = ran
        self.timed_out = timed_out
        self.unreachable = unreachable


class TargetsUnreachableError(CowsliprackError):
    """No target of the service is reached from this instance."""


class PeerMessageError(CowsliprackError):
    """A message of another instance cannot be applied."""


class ConfigurationError(CowsliprackError):
    """A questionnaire, setting or stored object is invalid.

    :param problems: one line for each problem, with the name of the field.
    """

    def __init__(self, problems: list[str]) -> None:
        """Store the problems."""
        super().__init__('; '.join(problems))
        self.problems = problems


def exit_with_problems(error: ConfigurationError) -> NoReturn:
    """Print each problem on its own line and exit with code 2.

    :param error: error with the problems.
    """
    for problem in error.problems:
        sys.stderr.write(f'error: {problem}\n')
    sys.exit(_INVALID_INPUT_EXIT_CODE)
