"""Task of one instance that follows, or leads, its region."""

import random
from dataclasses import dataclass, field

import anyio
import structlog

from cowsliprack.coordination.freshness import RelayedReading
from cowsliprack.coordination.lease import Lease
from cowsliprack.coordination.lease_record import LeaseAction
from cowsliprack.exceptions import CowsliprackError
from cowsliprack.protocol.gateway_messages import (
    ConfigurationCopy,
    CreditAnswer,
    CreditAsk,
    LeaderView,
    MemberReport,
)
from cowsliprack.protocol.peer import AnyPeerMessage
from cowsliprack.state.routing_table import OrganisationLimits
from cowsliprack.transport.lease_calls import execute_lease_action
from cowsliprack.transport.region_term import RegionNeeds, RegionTerm

# Cores that a leader should have, and the seconds for which an instance with
# less leaves a free lease to others: a leader plans for all engines.
_LEADER_CORES = 1.0
_HANDICAP_SECONDS = 4.0
# Seconds between looks at the lease.
_LEASE_TICK_SECONDS = 0.1
# Seconds between reports when nothing has changed.
_REPORT_SECONDS = 0.4
# Seconds for which changes are gathered before they are told.
_GATHER_SECONDS = 0.004
# Seconds after which a leader that says nothing is connected to anew.
_RECONNECT_SECONDS = 1.5
# Seconds that a request waits for an answer of the leader about credit.
_CREDIT_SECONDS = 0.15

_log = structlog.get_logger('cowsliprack.region')


@dataclass(slots=True)
class _Question:
    """A request for credit that waits for the leader's answer."""

    answered: anyio.Event = field(default_factory=anyio.Event)
    answer: CreditAnswer | None = None


@dataclass(slots=True)
class Region:
    """Follows the leader of the region and competes to be it.

    :param needs: what it shares with the instance.
    :param leaving: this instance is about to stop.
    """

    needs: RegionNeeds
    leaving: bool = False
    lease: Lease = field(init=False)
    term: RegionTerm | None = None
    _report_due: anyio.Event = field(default_factory=anyio.Event)
    _sequence: int = 0
    _started_at: float = field(init=False)
    _leader_id: str = ''
    _leader_address: str = ''
    _view_fencing: int = 0
    _view_sequence: int = 0
    _relayed: RelayedReading = field(init=False)
    _connected: dict[str, str] = field(default_factory=dict)
    _connected_at: float = 0
    _asks: int = 0
    _questions_by_number: dict[int, _Question] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Compete for the lease of the region."""
        needs = self.needs
        self._started_at = needs.clock()
        self._relayed = RelayedReading(needs.relay_seconds)
        self.lease = Lease(
            needs.region,
            needs.instance_id,
            needs.address,
            needs.lease_seconds,
            random.Random(),
        )

    async def run(self) -> None:
        """Follow and lead until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep_lease)
            tasks.start_soon(self._receive)
            tasks.start_soon(self._report)
            await self._lead()

    def demand_changed(self) -> None:
        """Have the leader told soon what waits here."""
        self._report_due.set()

    def configuration_changed(self) -> None:
        """Take a new configuration into account."""
        if self.term is not None:
            self.term.use_configuration()

    def registry_changed(self) -> None:
        """Take a new list of targets into account."""
        registry = self.needs.fleet.registry
        self.needs.choice.prune(registry.records_by_id)
        self.needs.room.notify_all()
        if self.term is not None:
            self.term.use_registry()

    def is_leading(self) -> bool:
        """Return whether this instance leads at this moment."""
        return self.lease.is_leader(self.needs.clock())

    async def release(self) -> None:
        """Stop leading and free the lease; for a planned stop."""
        self.leaving = True
        if self.term is not None:
            self.term.end()
        action = self.lease.release(self.needs.clock())
        if action is not None:
            await self._carry_out(action)

    async def reserve(
        self,
        organisation: OrganisationLimits,
        tokens: float,
    ) -> float | None:
        """Take tokens of an organisation for one request.

        :param organisation: whom they are charged to.
        :param tokens: of the request.
        :returns: ``None`` if they were taken, else seconds to come back after.
        """
        credit = self.needs.credit
        clock = self.needs.clock
        if credit.spend(organisation, tokens, clock()):
            return None
        wait = await self._borrow(organisation, tokens)
        if wait is None:
            return credit.refuse(organisation, tokens, clock())
        await anyio.sleep(wait)
        return None

    async def _borrow(
        self,
        organisation: OrganisationLimits,
        tokens: float,
    ) -> float | None:
        """Take tokens that will be there in a moment; return the seconds."""
        credit = self.needs.credit
        clock = self.needs.clock
        if not credit.is_denied(organisation, clock()):
            rest = credit.take_all(organisation, clock())
            answer = await self._ask_credit(organisation, tokens - rest)
            if answer is not None and answer.tokens:
                return answer.seconds
            credit.give_back(organisation, rest, clock())
        return credit.spend_ahead(organisation, tokens, clock())

    async def _keep_lease(self) -> None:
        while True:
            now = self.needs.clock()
            action = self.lease.tick(now, competes=self._competes(now))
            if action is not None:
                await self._carry_out(action)
            self._follow_record()
            await anyio.sleep(_LEASE_TICK_SECONDS)

    def _competes(self, now: float) -> bool:
        """Leave the lease to instances with more processor time at first."""
        since = max(self.needs.fleet.updated_at, self._started_at)
        return self.needs.cores >= _LEADER_CORES or (
            now - since > _HANDICAP_SECONDS
        )

    async def _carry_out(self, action: LeaseAction) -> None:
        needs = self.needs
        await execute_lease_action(self.lease, action, needs.store, needs.clock)

    def _follow_record(self) -> None:
        """Follow the holder in the lease object."""
        record = self.lease.observation.record
        if record is None or not record.holder:
            return
        if record.fencing < self._view_fencing:
            return
        if record.holder != self._leader_id:
            self._leader_id = record.holder
            self._leader_address = record.address
            _log.info(
                'leader_known',
                leader=record.holder,
                fencing=record.fencing,
            )
            self._report_due.set()

    async def _lead(self) -> None:
        while True:
            if self.is_leading() and not self.leaving:
                term = RegionTerm(self.needs, self.lease, self._deliver)
                self.term = term
                await term.run()
                self.term = None
            await anyio.sleep(_LEASE_TICK_SECONDS)

    def _deliver(
        self,
        instance_id: str,
        address: str,
        message: AnyPeerMessage,
    ) -> None:
        """Send a message to an instance, which may be this one."""
        if instance_id == self.needs.instance_id:
            self._take(instance_id, message)
            return
        if address and self._connected.get(instance_id) != address:
            self._connected[instance_id] = address
            self.needs.sockets.connect(instance_id, address)
        self.needs.sockets.send(instance_id, message)

    async def _receive(self) -> None:
        while True:
            sender, message = await self.needs.sockets.receive()
            try:
                self._take(sender, message)
            except CowsliprackError as error:
                _log.warning('message_refused', sender=sender, error=str(error))

    def _take(self, sender: str, message: AnyPeerMessage) -> None:
        match message:
            case MemberReport() | CreditAsk():
                if self.term is not None:
                    self.term.take(message)
            case LeaderView():
                self._take_view(message)
            case CreditAnswer():
                self._take_credit(message)
            case ConfigurationCopy():
                self.needs.take_configuration(message.spec)

    def _take_view(self, view: LeaderView) -> None:
        if view.fencing < self._view_fencing:
            return
        is_new = view.fencing > self._view_fencing
        is_gap = view.base > self._view_sequence and not is_new
        if is_gap or (is_new and view.base):
            self._report_due.set()
            return
        now = self.needs.clock()
        if view.lease_left <= 0 and view.instance_id != self._leader_id:
            return
        self._view_fencing = view.fencing
        self._view_sequence = view.sequence
        self._leader_id = view.instance_id
        self._leader_address = view.address
        self.lease.observe_term(
            view.fencing,
            view.lease_version,
            view.lease_left,
            now,
        )
        self.needs.credit.instances = view.members
        self._take_readings(view)
        self.needs.fleet.apply_view(
            view.engines,
            view.gone,
            now,
            is_full=not view.base,
        )
        if view.engines:
            self.needs.choice.update_reported(
                {engine.target_id: engine.running for engine in view.engines},
            )
            self.needs.room.notify_all()

    def _take_readings(self, view: LeaderView) -> None:
        """Take what the leader has read from the store."""
        needs = self.needs
        if view.instance_id == needs.instance_id:
            return
        needs.take_targets(view)
        is_current = needs.table().generation >= view.generation
        if view.proof_offset is not None and is_current:
            proved_at = view.stamp + view.proof_offset
            needs.freshness.prove(proved_at)
            self._relayed.prove(proved_at)

    def is_reading(self) -> bool:
        """Return whether this instance must read the store itself.

        The leader reads it for all; the others do while what it tells is old.
        """
        if self.term is not None or self.leaving:
            return True
        return self._relayed.is_expired(self.needs.clock())

    async def _report(self) -> None:
        while True:
            with anyio.move_on_after(_REPORT_SECONDS):
                await self._report_due.wait()
            self._report_due = anyio.Event()
            self._send_report()
            await anyio.sleep(_GATHER_SECONDS)

    def _send_report(self) -> None:
        needs = self.needs
        now = needs.clock()
        if not self._leader_id:
            return
        self._sequence += 1
        report = MemberReport(
            instance_id=needs.instance_id,
            address=needs.address,
            zone=needs.zone,
            boot=needs.boot,
            sequence=self._sequence,
            stamp=now,
            view_sequence=self._view_sequence,
            view_fencing=self._view_fencing,
            waiting=needs.room.group_summaries(now),
            engines=needs.choice.engine_uses(now),
            generation=needs.table().generation,
            registry_revision=needs.fleet.registry.revision,
            started_by_model=dict(needs.choice.started_by_model),
            leaving=self.leaving,
        )
        is_silent = now - needs.fleet.updated_at > _RECONNECT_SECONDS
        if is_silent and now - self._connected_at > _RECONNECT_SECONDS:
            self._connected.pop(self._leader_id, None)
            self._connected_at = now
        self._deliver(self._leader_id, self._leader_address, report)

    async def _ask_credit(
        self,
        organisation: OrganisationLimits,
        tokens: float,
    ) -> CreditAnswer | None:
        """Ask the leader for tokens; ``None`` without an answer in time."""
        if not self._leader_id:
            return None
        self._asks += 1
        question = _Question()
        self._questions_by_number[self._asks] = question
        ask = CreditAsk(
            self.needs.instance_id,
            organisation.name,
            tokens,
            self._asks,
        )
        try:
            self._deliver(self._leader_id, self._leader_address, ask)
            with anyio.move_on_after(_CREDIT_SECONDS):
                await question.answered.wait()
        finally:
            self._questions_by_number.pop(ask.number)
        return question.answer

    def _take_credit(self, answer: CreditAnswer) -> None:
        known = self.needs.table().organisations_by_name
        organisation = known.get(answer.organisation)
        if organisation is None or answer.fencing < self._view_fencing:
            return
        question = self._questions_by_number.get(answer.number)
        if question is not None:
            question.answer = answer
            question.answered.set()
        if question is None or not answer.tokens:
            self.needs.credit.apply_leader_answer(
                organisation,
                answer.tokens,
                answer.seconds,
                self.needs.clock(),
            )
