"""Events and actions of the request path."""

from dataclasses import dataclass, field
from enum import StrEnum, unique

from cowsliprack.exceptions import Ran, ServingError
from cowsliprack.protocol.peer import AnyPeerMessage


@unique
class Phase(StrEnum):
    """Where a request is on its way."""

    queued = 'queued'
    running = 'running'


@dataclass(slots=True)
class ServingRequest:
    """A caller's request as the decisions see it.

    :param organisation: id, empty on routes that are open to all.
    :param key_digest: of the caller's key, empty on open routes.
    :param resource: name of the deployment or route of the service.
    :param tokens: prompt plus maximum output, reserved at admission.
    :param deadline: latest start of the answer, seconds on the local clock.
    :param ran: whether any attempt so far may have run.
    :param digest: of organisation and body, to recognise poison requests.
    :param prefix_digest: of the prompt's beginning, for cache affinity.
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
    """An attempt at a target failed.

    :param ran: whether the request may have run there.
    :param crash_id: names the crash if the target process ended, else empty.
    :param sent: whether a byte of the request may have gone out.
    :param was_pooled: the connection had been used before or could have been,
        so the failure may be its own and not the target's.
    :param unreachable: no connection could be opened.
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
    """Send the request to a target.

    :param boot_id: of the target process as last reported.
    """

    request_id: str
    target_id: str
    url: str
    attempt: int
    boot_id: str = ''


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the caller with an error, or end its stream with one."""

    request_id: str
    error: ServingError


@dataclass(frozen=True, slots=True)
class ToLeader:
    """Send a message to the zone leader."""

    message: AnyPeerMessage


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Write the log line of a decision."""

    decision: str
    choice: str
    reason: str
    inputs: dict[str, object]


ServingAction = Dispatch | Refuse | ToLeader | LogDecision
