"""State of one caller's request while the gateway serves it."""

from dataclasses import dataclass, field

from cowsliprack.coordination.stream_origins import origin_key
from cowsliprack.protocol.dialect import RequestMetadata
from cowsliprack.protocol.event_splitter import EventSplitter
from cowsliprack.state.routing_table import (
    OrganisationLimits,
    Repeatability,
    Route,
)
from cowsliprack.state.target_registry import TargetRecord
from cowsliprack.transport.exchange import Exchange
from cowsliprack.transport.target_client import SendTrace


@dataclass(slots=True)
class RoutedRequest:
    """Facts and progress of one admitted request.

    :param host: value of the Host header.
    :param service: name of the service that serves the request.
    :param organisation: owner of the caller's key; ``None`` on an open route.
    :param tokens: tokens charged to the organisation.
    :param arrived_at: arrival time, seconds.
    :param deadline: time by which the final response is due, seconds.
    :param first_event_deadline: time until which a stream's caller waits for
        its first event, seconds.
    :param tried: targets to which the request was sent.
    :param ran_on: targets on which it may have run.
    :param sends: number of times that it was sent.
    :param runs: number of sends after which it may have run.
    :param may_have_run: whether it was sent and no target reported that it
        did not run it.
    :param in_flight_id: id of the current send among those that a crash of its
        target would end.
    :param begun_version: software version that began the stream of which the
        caller has events; empty if any target may run the request.
    :param content_type: of the stream of which the caller has events.
    :param trace: trace of a send whose result is still unknown.
    :param digest: identifies the request and its repetitions.
    :param part_digests: identify the parts of its prompt that other requests
        may share.
    :param is_passed: whether another instance has passed it on to this one.
    :param may_pass_on: whether another instance may still take it over.
    :param splitter: splits the response's event stream into events.
    :param first_byte_at: when the first event or the head of another answer
        came from a target, seconds; 0 before that.
    :param sent_at: when it was last sent to a target, seconds.
    :param answered_in: time from its send to its first byte, seconds.
    :param last_event_at: when the last events came from a target, seconds.
    :param longest_pause: longest time between two events, seconds.
    :param has_come_back: whether its caller seems to have been rejected before.
    """

    exchange: Exchange
    metadata: RequestMetadata
    host: str
    path: str
    route: Route
    service: str
    organisation: OrganisationLimits | None
    tokens: float
    arrived_at: float
    deadline: float
    first_event_deadline: float
    body: bytes = b''
    digest: str = ''
    part_digests: tuple[str, ...] = ()
    tried: list[str] = field(default_factory=list)
    ran_on: set[str] = field(default_factory=set)
    sends: int = 0
    runs: int = 0
    may_have_run: bool = False
    in_flight_id: int = 0
    begun_version: str = ''
    content_type: str = ''
    trace: SendTrace | None = None
    is_passed: bool = False
    may_pass_on: bool = True
    splitter: EventSplitter = field(default_factory=EventSplitter)
    first_byte_at: float = 0
    sent_at: float = 0
    answered_in: float = 0
    last_event_at: float = 0
    longest_pause: float = 0
    has_come_back: bool = False
    outcome: str = ''

    @property
    def target_at(self) -> float:
        """Return the time of the request's latency target, seconds."""
        return self.arrived_at + self.route.latency_target

    @property
    def digests(self) -> tuple[str, ...]:
        """Return the digests by which crashes of targets are counted."""
        return (self.digest, *self.part_digests)

    def origin_key(self, attempt_id: str) -> str:
        """Return the key under which the origin of its stream is stored.

        :param attempt_id: id of the caller's attempt that began the stream.
        """
        return origin_key(self.organisation_name(), attempt_id)

    def first_byte_ms(self) -> int | None:
        """Return the time from arrival to the first byte, milliseconds."""
        if not self.first_byte_at:
            return None
        return round((self.first_byte_at - self.arrived_at) * 1000)

    def record_events(self, now: float) -> None:
        """Record that events of its stream have arrived.

        :param now: seconds.
        """
        if self.last_event_at:
            pause = now - self.last_event_at
            self.longest_pause = max(self.longest_pause, pause)
        self.last_event_at = now

    def was_answered_late(self) -> bool:
        """Return whether the target answered later than callers need.

        The time before the last send does not count.
        """
        route = self.route
        if route.latency_target and self.answered_in > route.latency_target:
            return True
        has_gap_target = route.streams and route.max_event_gap > 0
        return has_gap_target and self.longest_pause > route.max_event_gap

    def is_in_doubt(self) -> bool:
        """Return whether a target may have run or may still run it."""
        is_send_open = self.trace is not None and self.trace.sent
        return self.may_have_run or is_send_open

    def may_send_to(self, target_id: str) -> bool:
        """Return whether the request may be sent to a target.

        Targets that were not reached, or refused it without running it, do
        not count towards the route's limit of attempts.

        :param target_id: id of the target.
        """
        return len(self.ran_on | {target_id}) <= self.route.max_attempts

    def may_continue_at(self, target: TargetRecord) -> bool:
        """Return whether what a target writes fits what the caller has.

        :param target: a target of the request's service.
        """
        return self.begun_version in {'', target.software_version}

    def may_use_another_target(self, target_id: str) -> bool:
        """Return whether a target other than the current one may be tried.

        :param target_id: id of the target that has the request now.
        """
        return len(self.ran_on | {target_id}) < self.route.max_attempts

    def may_be_taken_up(self) -> bool:
        """Return whether the caller may go on with its stream elsewhere."""
        return self.route.repeatability is Repeatability.resumable

    def is_repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        return self.route.repeatability is not Repeatability.once

    def organisation_name(self) -> str:
        """Return the name of the organisation; empty on an open route."""
        return self.organisation.name if self.organisation else ''

    def priority(self) -> int:
        """Return the priority of the request; 0 is the highest."""
        organisation = self.organisation
        if organisation is not None and organisation.priority is not None:
            return organisation.priority
        return self.route.priority

    def resume_after(self) -> str:
        """Return the id of the last event that the caller received."""
        return self.splitter.last_event_id or self.metadata.resume_after
