"""Requests, events and actions of the request path."""

from dataclasses import dataclass, field
from enum import StrEnum, unique

from cowsliprack.exceptions import Ran, ServingError
from cowsliprack.protocol.peer import AnyPeerMessage


@unique
class Phase(StrEnum):
    """Whether a request is queued or running."""

    queued = 'queued'
    running = 'running'


@dataclass(slots=True)
class ServingRequest:
    """Properties and state of a caller's request.

    :param organisation: id, empty on routes that are open to all.
    :param key_digest: of the caller's key, empty on open routes.
    :param resource: name of the deployment or route of the service.
    :param tokens: prompt plus maximum output, reserved at admission.
    :param deadline: latest start of the answer, seconds on the local clock.
    :param digest: of organisation and body, to detect poison requests.
    :param prefix_digest: of the prompt's prefix, for cache affinity.
    :param excluded_targets: targets on which an attempt has failed.
    :param ran: whether any attempt so far may have run.
    :param in_flight_id: of the current attempt in the poison tracker.
    :param was_sent: whether a byte of any attempt may have been sent.
    """

    request_id: str
    organisation: str
    key_digest: str
    resource: str
    is_model: bool
    tokens: float
    deadline: float
    received_at: float
    repeatable: bool = True
    priority: int = 0
    digest: str = ''
    prefix_digest: str = ''
    phase: Phase = Phase.queued
    attempts: int = 0
    target_id: str = ''
    excluded_targets: set[str] = field(default_factory=set)
    ran: Ran = Ran.not_run
    dispatched_at: float = 0
    in_flight_id: int = 0
    was_sent: bool = False


@dataclass(slots=True)
class AttemptFailure:
    """Failure of an attempt at a target.

    :param ran: whether the request may have run there.
    :param sent: whether a byte of the request may have been sent.
    :param was_pooled: the connection was or may have been reused, so the
        connection may have failed and not the target.
    :param unreachable: no connection could be opened.
    :param crash_id: of the crash if the target process ended, else empty.
    :param resumable: the caller has part of a stream that another target can
        continue.
    """

    request_id: str
    detail: str
    ran: Ran
    sent: bool = True
    was_pooled: bool = False
    unreachable: bool = False
    crash_id: str = ''
    resumable: bool = False
    answer_started: bool = False


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Sends a request to a target.

    :param boot_id: of the target process as last reported.
    """

    request_id: str
    target_id: str
    url: str
    attempt: int
    boot_id: str = ''


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answers the caller with an error, or ends its stream with one."""

    request_id: str
    error: ServingError


@dataclass(frozen=True, slots=True)
class ToLeader:
    """Sends a message to the zone leader."""

    message: AnyPeerMessage


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Writes the log line of a decision."""

    decision: str
    choice: str
    reason: str
    inputs: dict[str, object]


ServingAction = Dispatch | Refuse | ToLeader | LogDecision
