"""One caller's request of a route on its way through the gateway."""

from dataclasses import dataclass, field

from cowsliprack.protocol.dialect import RequestFacts
from cowsliprack.protocol.event_blocks import EventBlocks
from cowsliprack.state.routing_table import (
    OrganisationLimits,
    Repeatability,
    Route,
)
from cowsliprack.transport.responses import Exchange
from cowsliprack.transport.target_client import SendTrace


@dataclass(slots=True)
class RoutedRequest:
    """What is known of one request and how far it has come.

    :param host: that the caller addressed.
    :param organisation: of the caller's key; ``None`` on an open route.
    :param tokens: charged to the organisation.
    :param arrived_at: seconds.
    :param deadline: when the final answer is due, seconds.
    :param first_event_deadline: when a stream's caller stops waiting for its
        first event, seconds.
    :param tried: targets to which the request was sent.
    :param sends: how often it was sent.
    :param ran_on: targets on which it may have run.
    :param runs: sends after which it may have run.
    :param may_have_run: its bytes went out and no target denied running it.
    :param trace: of the send whose fate is not known yet.
    :param blocks: events of the answer passed on so far.
    """

    exchange: Exchange
    facts: RequestFacts
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
    tried: list[str] = field(default_factory=list)
    ran_on: set[str] = field(default_factory=set)
    sends: int = 0
    runs: int = 0
    may_have_run: bool = False
    trace: SendTrace | None = None
    blocks: EventBlocks = field(default_factory=EventBlocks)
    first_byte_at: float = 0
    outcome: str = ''

    @property
    def target_at(self) -> float:
        """Return when the request misses its latency target, seconds."""
        return self.arrived_at + self.route.latency_target

    def is_in_doubt(self) -> bool:
        """Return whether a target may have run, or may yet run, the request."""
        is_send_open = self.trace is not None and self.trace.sent
        return self.may_have_run or is_send_open

    def may_send_to(self, target_id: str) -> bool:
        """Return whether a target may get the request.

        Targets that were not reached, or refused it without running it, do
        not count among those that a route allows.

        :param target_id: of the target.
        """
        return len(self.ran_on | {target_id}) <= self.route.attempts

    def may_use_another_target(self, target_id: str) -> bool:
        """Return whether a further target may get the request after one.

        :param target_id: that has the request now.
        """
        return len(self.ran_on | {target_id}) < self.route.attempts

    def is_repeatable(self) -> bool:
        """Return whether a run that broke off may be followed by another."""
        return self.route.repeatability is not Repeatability.once

    def organisation_name(self) -> str:
        """Return the name of the organisation; empty on an open route."""
        return self.organisation.name if self.organisation else ''

    def priority(self) -> int:
        """Return the rank of the request; 0 is the most urgent."""
        organisation = self.organisation
        if organisation is not None and organisation.priority is not None:
            return organisation.priority
        return self.route.priority

    def resume_after(self) -> str:
        """Return the id of the last event that the caller has."""
        return self.blocks.last_id or self.facts.resume_after
