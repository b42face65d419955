"""Event loop around the decisions of instances and zone leaders.

Every decision is made by the modules that the program runs; this module only
carries messages with a fixed delay and lets orders and requests take time.
"""

import functools
import random
from dataclasses import dataclass, field

from cowsliprack.coordination.allowance import AllowanceRecord
from cowsliprack.coordination.capacity import Capacity
from cowsliprack.coordination.demand_forwarding import FORWARDED_SENDER_PREFIX
from cowsliprack.coordination.dispatcher import Dispatcher
from cowsliprack.coordination.serving import (
    AttemptFailure,
    Dispatch,
    Refuse,
    ServingAction,
    ServingRequest,
    ToLeader,
)
from cowsliprack.coordination.zone import ZoneController
from cowsliprack.coordination.zone_actions import (
    ForwardDemand,
    PublishView,
    ReviseAllowances,
    SendOrder,
    SendRefusal,
    ZoneAction,
)
from cowsliprack.exceptions import Ran
from cowsliprack.protocol.peer import (
    AnyPeerMessage,
    CreditRequest,
    CreditReturn,
    DemandReport,
    LoanGrant,
    LoanRequest,
    ReplicaView,
)
from cowsliprack.protocol.target import OrderOutcome
from cowsliprack.state.configuration import Configuration
from tools.bench.clock import VirtualClock
from tools.bench.credit_desk import ZoneLedgers
from tools.bench.engines import Engine, WeightStore
from tools.bench.policies import PolicyVariant
from tools.bench.workload import Arrival, Scenario, key_digest_of

# Seconds between ticks while there is work and while there is none. Reports
# must come more often than a leader counts them as outdated.
_BUSY_TICK = 0.05
_BUSY_ZONE_TICK = 0.1
_QUIET_TICK = 1.0
_REPORT_SECONDS = 1.0
_BUSY_FOR = 2.0
# One-way delay within a zone, seconds.
_LOCAL_DELAY = 0.0005
_STORE_DELAY = 0.005
_MAX_QUEUE = 1000
_FENCING = 1


@dataclass(slots=True)
class Trace:
    """What became of one request.

    :param cold: no engine had the deployment loaded when it arrived.
    :param dispatched_at: of the attempt that ran, seconds.
    :param refused: kind of the refusal.
    """

    arrival: Arrival
    cold: bool
    dispatched_at: float | None = None
    refused: str = ''
    ran: bool = False


@dataclass(slots=True)
class World:
    """One run: clock, engines, leaders, instances and what happened."""

    scenario: Scenario
    configuration: Configuration
    variant: PolicyVariant
    seed: int
    clock: VirtualClock = field(default_factory=VirtualClock)
    records_by_shard: dict[int, AllowanceRecord] = field(default_factory=dict)
    engines_by_id: dict[str, Engine] = field(default_factory=dict)
    leaders_by_zone: dict[str, 'LeaderNode'] = field(default_factory=dict)
    instances_by_id: dict[str, 'InstanceNode'] = field(default_factory=dict)
    traces: list[Trace] = field(default_factory=list)
    store: WeightStore = field(init=False)

    def __post_init__(self) -> None:
        """Create engines, leaders and instances."""
        span = self.scenario.span
        policy = self.configuration.policy
        self.store = WeightStore(
            self.clock,
            policy.loads_at_once,
            slow_from=span.week + span.burst / 4,
            slow_until=span.week + span.burst / 2,
        )
        for target in self.configuration.targets_by_id.values():
            self.engines_by_id[target.target_id] = Engine(
                target,
                self.clock,
                self.store,
                self.configuration.deployments_by_name,
            )
        for zone in self.scenario.zones:
            self.leaders_by_zone[zone] = LeaderNode(self, zone)
        for index in range(self.scenario.instances):
            instance = InstanceNode(self, index)
            self.instances_by_id[instance.instance_id] = instance

    def run(self, arrivals: list[Arrival]) -> None:
        """Play all arrivals and let the last requests end.

        :param arrivals: in the order of time.
        """
        for arrival in arrivals:
            self.clock.call_at(
                arrival.at,
                functools.partial(self._arrive, arrival),
            )
        self.clock.run(self.scenario.span.end())

    def delay(self, zone: str, other_zone: str) -> float:
        """Return the one-way time of a message, seconds.

        :param zone: of the sender.
        :param other_zone: of the receiver.
        """
        if zone == other_zone:
            return _LOCAL_DELAY
        return self.scenario.zone_distance

    def is_loaded(self, deployment: str) -> bool:
        """Return whether any engine can serve a deployment.

        :param deployment: name.
        """
        return any(
            engine.is_loaded(deployment)
            for engine in self.engines_by_id.values()
        )

    def _arrive(self, arrival: Arrival) -> None:
        trace = Trace(arrival, not self.is_loaded(arrival.deployment))
        self.traces.append(trace)
        instance = self.instances_by_id[f'instance-{arrival.instance}']
        instance.submit(trace, f'r{len(self.traces)}')


class LeaderNode:
    """A zone leader and its ledger."""

    def __init__(self, world: World, zone: str) -> None:
        """Start a term that nobody held before."""
        self._world = world
        self._zone = zone
        self._clock = world.clock
        self._busy_until = float(0)
        self.controller = ZoneController(
            zone,
            _FENCING,
            world.configuration,
            0,
            0,
        )
        world.variant.prepare_leader(self.controller, world.scenario)
        self._desk = ZoneLedgers(
            world.configuration,
            zone,
            per_instance=world.variant.static_shares,
            instances=world.scenario.instances,
        )
        self._engines = [
            engine
            for engine in world.engines_by_id.values()
            if engine.target.zone == zone
        ]
        self.controller.on_journal_claimed([], 0)
        self._clock.call_at(0, self._tick)
        self._clock.call_at(0, self._read_reports)

    def take(self, sender: str, message: AnyPeerMessage) -> None:
        """Take a message of an instance.

        :param sender: id of the instance.
        :param message: about demand or credit.
        """
        now = self._clock.now
        self._wake()
        match message:
            case DemandReport():
                self._apply(self.controller.on_demand(message, sender, now))
            case CreditRequest():
                grant = self._desk.grant(message, sender, now)
                self._send(sender, grant)
            case CreditReturn():
                self._desk.accept_return(message, sender, now)

    def take_forwarded(self, zone: str, report: DemandReport) -> None:
        """Take demand that another leader passed on.

        :param zone: of the other leader.
        :param report: of the demand.
        """
        self._wake()
        sender = f'{FORWARDED_SENDER_PREFIX}{zone}'
        actions = self.controller.on_demand(report, sender, self._clock.now)
        self._apply(actions)

    def take_refusal(self, action: SendRefusal) -> None:
        """Take the refusal of another leader.

        :param action: its action.
        """
        actions = self.controller.on_refusal(action.refusal, self._clock.now)
        self._apply(actions)

    def take_view(self, view: ReplicaView) -> None:
        """Take what another leader publishes.

        :param view: of another zone.
        """
        self._apply(self.controller.on_view(view, self._clock.now))

    def lend(self, zone: str, request: LoanRequest) -> None:
        """Answer another leader that asks for a loan.

        :param zone: of the other leader.
        :param request: what it asks for.
        """
        loan = self._desk.lend(request, self._clock.now)
        other = self._world.leaders_by_zone[zone]
        self._clock.call_in(
            self._world.delay(self._zone, zone),
            functools.partial(other.accept_loan, loan),
        )

    def accept_loan(self, loan: LoanGrant) -> None:
        """Use the loan of another leader.

        :param loan: its answer.
        """
        self._desk.accept_loan(loan, self._clock.now)

    def _ask_for_loans(self) -> None:
        for zone, request in self._desk.loan_requests_due(self._clock.now):
            other = self._world.leaders_by_zone[zone]
            self._clock.call_in(
                self._world.delay(self._zone, zone),
                functools.partial(other.lend, self._zone, request),
            )

    def _wake(self) -> None:
        now = self._clock.now
        was_quiet = now >= self._busy_until
        self._busy_until = now + _BUSY_FOR
        if was_quiet:
            self._clock.call_in(_BUSY_ZONE_TICK, self._busy_tick)

    def _tick(self) -> None:
        now = self._clock.now
        for zone in self._world.scenario.zones:
            if zone != self._zone:
                self._apply(self.controller.on_zone_message(zone, now))
        self._apply(self.controller.tick(now))
        self._clock.call_in(_QUIET_TICK, self._tick)

    def _busy_tick(self) -> None:
        now = self._clock.now
        self._apply(self.controller.tick(now))
        self._ask_for_loans()
        if now < self._busy_until:
            self._clock.call_in(_BUSY_ZONE_TICK, self._busy_tick)

    def _read_reports(self) -> None:
        now = self._clock.now
        for engine in self._engines:
            self._apply(self.controller.on_report(engine.report(), now))
        self._clock.call_in(_REPORT_SECONDS, self._read_reports)

    def _apply(self, actions: list[ZoneAction]) -> None:
        for action in actions:
            match action:
                case SendOrder():
                    self._order(action)
                case PublishView():
                    self._publish(action)
                case SendRefusal():
                    self._refuse(action)
                case ForwardDemand():
                    self._forward(action)
                case ReviseAllowances():
                    revise = functools.partial(self._revise, action.shard)
                    self._clock.call_in(_STORE_DELAY, revise)

    def _order(self, action: SendOrder) -> None:
        self._wake()
        engine = self._world.engines_by_id[action.order.target_id]
        answer = functools.partial(self._answered, action)
        send = functools.partial(engine.carry_out, action.order, answer)
        self._clock.call_in(_LOCAL_DELAY, send)

    def _answered(self, action: SendOrder, outcome: OrderOutcome) -> None:
        take = functools.partial(self._take_outcome, action, outcome)
        self._clock.call_in(_LOCAL_DELAY, take)

    def _take_outcome(self, action: SendOrder, outcome: OrderOutcome) -> None:
        self._wake()
        now = self._clock.now
        actions = self.controller.on_order_outcome(action.order, outcome, now)
        self._apply(actions)

    def _publish(self, action: PublishView) -> None:
        for instance_id in self._world.instances_by_id:
            self._send(instance_id, action.view)
        for zone, leader in self._world.leaders_by_zone.items():
            if zone != self._zone:
                take = functools.partial(leader.take_view, action.view)
                self._clock.call_in(self._world.delay(self._zone, zone), take)

    def _refuse(self, action: SendRefusal) -> None:
        for receiver in action.receivers:
            if receiver.startswith(FORWARDED_SENDER_PREFIX):
                zone = receiver.removeprefix(FORWARDED_SENDER_PREFIX)
                other = self._world.leaders_by_zone[zone]
                self._clock.call_in(
                    self._world.delay(self._zone, zone),
                    functools.partial(other.take_refusal, action),
                )
            else:
                self._send(receiver, action.refusal)

    def _forward(self, action: ForwardDemand) -> None:
        other = self._world.leaders_by_zone[action.zone]
        self._clock.call_in(
            self._world.delay(self._zone, action.zone),
            functools.partial(other.take_forwarded, self._zone, action.report),
        )

    def _revise(self, shard: int) -> None:
        state = self.controller.state
        records = self._world.records_by_shard
        record = records.get(shard, AllowanceRecord(0, {}))
        occupied = state.occupied_by_deployment()
        state.allowances.apply_record(shard, record)
        revised = state.allowances.revise(shard, record, occupied)
        if revised is not None:
            records[shard] = revised
            state.allowances.apply_record(shard, revised)

    def _send(self, instance_id: str, message: AnyPeerMessage) -> None:
        instance = self._world.instances_by_id.get(instance_id)
        if instance is None:
            return
        delay = self._world.delay(self._zone, instance.zone)
        take = functools.partial(instance.take, message)
        self._clock.call_in(delay, take)


class InstanceNode:
    """An entry instance."""

    def __init__(self, world: World, index: int) -> None:
        """Start with an empty queue."""
        self._world = world
        self._clock = world.clock
        self.instance_id = f'instance-{index}'
        zones = world.scenario.zones
        self.zone = zones[index % len(zones)]
        capacity = Capacity(
            self.zone,
            self.instance_id,
            random.Random(world.seed * 1000 + index),
            world.variant.route,
        )
        capacity.apply_configuration(world.configuration)
        self.dispatcher = Dispatcher(capacity, _MAX_QUEUE)
        self.dispatcher.queue = world.variant.make_queue(_MAX_QUEUE)
        self._traces_by_id: dict[str, Trace] = {}
        self._busy_until = float(0)
        self._clock.call_at(0, self._tick)

    def submit(self, trace: Trace, request_id: str) -> None:
        """Take the request of an arrival.

        :param trace: takes what becomes of it.
        :param request_id: unique.
        """
        now = self._clock.now
        arrival = trace.arrival
        self._traces_by_id[request_id] = trace
        request = ServingRequest(
            request_id,
            arrival.organisation,
            key_digest_of(arrival.organisation),
            arrival.deployment,
            is_model=True,
            tokens=arrival.reserved,
            deadline=now + arrival.patience,
            received_at=now,
        )
        self._wake()
        self._apply(self.dispatcher.submit(request, now))

    def take(self, message: AnyPeerMessage) -> None:
        """Take a message of a leader.

        :param message: a view, grant or refusal.
        """
        self._apply(self.dispatcher.on_message(message, self._clock.now))

    def _wake(self) -> None:
        now = self._clock.now
        was_quiet = now >= self._busy_until
        self._busy_until = now + _BUSY_FOR
        if was_quiet:
            self._clock.call_in(_BUSY_TICK, self._busy_tick)

    def _tick(self) -> None:
        self._apply(self.dispatcher.tick(self._clock.now))
        self._clock.call_in(_QUIET_TICK, self._tick)

    def _busy_tick(self) -> None:
        now = self._clock.now
        self._apply(self.dispatcher.tick(now))
        if len(self.dispatcher.queue):
            self._busy_until = now + _BUSY_FOR
        if now < self._busy_until:
            self._clock.call_in(_BUSY_TICK, self._busy_tick)

    def _apply(self, actions: list[ServingAction]) -> None:
        for action in actions:
            match action:
                case Dispatch():
                    self._dispatch(action)
                case Refuse():
                    trace = self._traces_by_id[action.request_id]
                    trace.refused = action.error.kind.value
                case ToLeader(message):
                    self._to_leader(message)

    def _to_leader(self, message: AnyPeerMessage) -> None:
        leader = self._world.leaders_by_zone[self.zone]
        take = functools.partial(leader.take, self.instance_id, message)
        self._clock.call_in(_LOCAL_DELAY, take)

    def _dispatch(self, action: Dispatch) -> None:
        trace = self._traces_by_id[action.request_id]
        trace.dispatched_at = self._clock.now
        engine = self._world.engines_by_id[action.target_id]
        delay = self._world.delay(self.zone, engine.target.zone)
        done = functools.partial(self._done, action, delay)
        arrival = trace.arrival
        serve = functools.partial(
            engine.serve,
            arrival.deployment,
            arrival.used,
            done,
        )
        self._clock.call_in(delay, serve)

    def _done(self, action: Dispatch, delay: float, ran: bool) -> None:
        end = self._finish if ran else self._fail
        self._clock.call_in(delay, functools.partial(end, action))

    def _finish(self, action: Dispatch) -> None:
        trace = self._traces_by_id[action.request_id]
        trace.ran = True
        self._wake()
        actions = self.dispatcher.on_finished(
            action.request_id,
            trace.arrival.used,
            self._clock.now,
        )
        self._apply(actions)

    def _fail(self, action: Dispatch) -> None:
        self._traces_by_id[action.request_id].dispatched_at = None
        failure = AttemptFailure(
            action.request_id,
            'the deployment is not loaded there',
            Ran.not_run,
        )
        actions = self.dispatcher.on_attempt_failed(failure, self._clock.now)
        self._apply(actions)
