"""Discrete-event simulation of instances, zone leaders and engines.

All decisions are made by the production modules. This module delivers messages
with a fixed delay and simulates the duration of orders and requests.
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
from tools.bench.workload import Arrival, Scenario, key_digest

# Ticks are more frequent for some time after the last message or request.
# Reports must be read before a leader treats the previous ones as outdated.
_BUSY_TICK_SECONDS = 0.05
_BUSY_LEADER_TICK_SECONDS = 0.1
_QUIET_TICK_SECONDS = 1.0
_REPORT_INTERVAL_SECONDS = 1.0
_BUSY_PERIOD_SECONDS = 2.0
# One-way delay within a zone.
_LOCAL_DELAY_SECONDS = 0.0005
_STORE_DELAY_SECONDS = 0.005
_MAX_QUEUED_REQUESTS = 1000
_FENCING = 1


@dataclass(slots=True)
class Trace:
    """Record of one request and its outcome.

    :param is_cold: whether no engine had the deployment loaded on arrival.
    :param dispatched_at: dispatch time of the last attempt unless it failed,
        seconds.
    :param refusal_kind: kind of the refusal; empty if there was none.
    :param ran: whether the request ran to its end.
    """

    arrival: Arrival
    is_cold: bool
    dispatched_at: float | None = None
    refusal_kind: str = ''
    ran: bool = False


@dataclass(slots=True)
class Simulation:
    """One run: clock, engines, leaders, instances and traces of requests."""

    scenario: Scenario
    configuration: Configuration
    variant: PolicyVariant
    seed: int
    clock: VirtualClock = field(default_factory=VirtualClock)
    records_by_shard: dict[int, AllowanceRecord] = field(default_factory=dict)
    engines_by_id: dict[str, Engine] = field(default_factory=dict)
    leaders_by_zone: dict[str, 'SimulatedLeader'] = field(default_factory=dict)
    instances_by_id: dict[str, 'SimulatedInstance'] = field(
        default_factory=dict
    )
    traces: list[Trace] = field(default_factory=list)
    store: WeightStore = field(init=False)

    def __post_init__(self) -> None:
        """Create the weight store, engines, leaders and instances."""
        durations = self.scenario.durations
        policy = self.configuration.policy
        self.store = WeightStore(
            self.clock,
            policy.loads_at_once,
            slow_from=durations.idle_week + durations.burst / 4,
            slow_until=durations.idle_week + durations.burst / 2,
        )
        for target in self.configuration.targets_by_id.values():
            self.engines_by_id[target.target_id] = Engine(
                target,
                self.clock,
                self.store,
                self.configuration.deployments_by_name,
            )
        for zone in self.scenario.zones:
            self.leaders_by_zone[zone] = SimulatedLeader(self, zone)
        for index in range(self.scenario.instances):
            instance = SimulatedInstance(self, index)
            self.instances_by_id[instance.instance_id] = instance

    def run(self, arrivals: list[Arrival]) -> None:
        """Simulate the whole run.

        :param arrivals: requests in the order of arrival.
        """
        for arrival in arrivals:
            self.clock.call_at(
                arrival.arrived_at,
                functools.partial(self._submit_arrival, arrival),
            )
        self.clock.run(self.scenario.durations.total())

    def delay(self, zone: str, other_zone: str) -> float:
        """Return the one-way delay of a message, seconds.

        :param zone: zone of the sender.
        :param other_zone: zone of the receiver.
        """
        if zone == other_zone:
            return _LOCAL_DELAY_SECONDS
        return self.scenario.zone_distance

    def is_loaded(self, deployment: str) -> bool:
        """Return whether any engine can serve a deployment.

        :param deployment: name.
        """
        return any(
            engine.is_loaded(deployment)
            for engine in self.engines_by_id.values()
        )

    def _submit_arrival(self, arrival: Arrival) -> None:
        trace = Trace(arrival, not self.is_loaded(arrival.deployment))
        self.traces.append(trace)
        instance = self.instances_by_id[f'instance-{arrival.instance}']
        instance.submit(trace, f'r{len(self.traces)}')


class SimulatedLeader:
    """A zone leader with the credit ledgers of its zone."""

    def __init__(self, simulation: Simulation, zone: str) -> None:
        """Start as the first leader of the zone, with an empty journal."""
        self._simulation = simulation
        self._zone = zone
        self._clock = simulation.clock
        self._busy_until = float(0)
        self.controller = ZoneController(
            zone,
            _FENCING,
            simulation.configuration,
            0,
            0,
        )
        simulation.variant.configure_leader(
            self.controller, simulation.scenario
        )
        self._credit_desk = ZoneLedgers(
            simulation.configuration,
            zone,
            per_instance=simulation.variant.static_shares,
            instances=simulation.scenario.instances,
        )
        self._engines = [
            engine
            for engine in simulation.engines_by_id.values()
            if engine.target.zone == zone
        ]
        self.controller.on_journal_claimed([], 0)
        self._clock.call_at(0, self._quiet_tick)
        self._clock.call_at(0, self._read_reports)

    def receive(self, sender: str, message: AnyPeerMessage) -> None:
        """Receive a message of an instance.

        :param sender: id of the instance.
        :param message: demand report, credit request or credit return.
        """
        now = self._clock.now
        self._mark_busy()
        match message:
            case DemandReport():
                self._apply_actions(
                    self.controller.on_demand(message, sender, now)
                )
            case CreditRequest():
                grant = self._credit_desk.grant(message, sender, now)
                self._send_to_instance(sender, grant)
            case CreditReturn():
                self._credit_desk.accept_return(message, sender, now)

    def receive_forwarded_demand(self, zone: str, report: DemandReport) -> None:
        """Receive demand that another leader forwarded.

        :param zone: zone of the other leader.
        :param report: forwarded demand report.
        """
        self._mark_busy()
        sender = f'{FORWARDED_SENDER_PREFIX}{zone}'
        actions = self.controller.on_demand(report, sender, self._clock.now)
        self._apply_actions(actions)

    def receive_refusal(self, action: SendRefusal) -> None:
        """Receive a refusal of another leader.

        :param action: action of the other leader that holds the refusal.
        """
        actions = self.controller.on_refusal(action.refusal, self._clock.now)
        self._apply_actions(actions)

    def receive_view(self, view: ReplicaView) -> None:
        """Receive the replica view that another leader published.

        :param view: view of the other zone.
        """
        self._apply_actions(self.controller.on_view(view, self._clock.now))

    def answer_loan_request(self, zone: str, request: LoanRequest) -> None:
        """Answer the loan request of another leader.

        :param zone: zone of the other leader.
        :param request: its loan request.
        """
        loan = self._credit_desk.lend(request, self._clock.now)
        other = self._simulation.leaders_by_zone[zone]
        self._clock.call_in(
            self._simulation.delay(self._zone, zone),
            functools.partial(other.receive_loan, loan),
        )

    def receive_loan(self, loan: LoanGrant) -> None:
        """Receive a loan from another leader.

        :param loan: the loan granted.
        """
        self._credit_desk.accept_loan(loan, self._clock.now)

    def _request_loans(self) -> None:
        for zone, request in self._credit_desk.loan_requests_due(
            self._clock.now
        ):
            other = self._simulation.leaders_by_zone[zone]
            self._clock.call_in(
                self._simulation.delay(self._zone, zone),
                functools.partial(
                    other.answer_loan_request, self._zone, request
                ),
            )

    def _mark_busy(self) -> None:
        now = self._clock.now
        was_quiet = now >= self._busy_until
        self._busy_until = now + _BUSY_PERIOD_SECONDS
        if was_quiet:
            self._clock.call_in(_BUSY_LEADER_TICK_SECONDS, self._busy_tick)

    def _quiet_tick(self) -> None:
        now = self._clock.now
        for zone in self._simulation.scenario.zones:
            if zone != self._zone:
                self._apply_actions(self.controller.on_zone_message(zone, now))
        self._apply_actions(self.controller.tick(now))
        self._clock.call_in(_QUIET_TICK_SECONDS, self._quiet_tick)

    def _busy_tick(self) -> None:
        now = self._clock.now
        self._apply_actions(self.controller.tick(now))
        self._request_loans()
        if now < self._busy_until:
            self._clock.call_in(_BUSY_LEADER_TICK_SECONDS, self._busy_tick)

    def _read_reports(self) -> None:
        now = self._clock.now
        for engine in self._engines:
            self._apply_actions(self.controller.on_report(engine.report(), now))
        self._clock.call_in(_REPORT_INTERVAL_SECONDS, self._read_reports)

    def _apply_actions(self, actions: list[ZoneAction]) -> None:
        for action in actions:
            match action:
                case SendOrder():
                    self._send_order(action)
                case PublishView():
                    self._publish_view(action)
                case SendRefusal():
                    self._send_refusal(action)
                case ForwardDemand():
                    self._forward_demand(action)
                case ReviseAllowances():
                    revise = functools.partial(
                        self._revise_allowances, action.shard
                    )
                    self._clock.call_in(_STORE_DELAY_SECONDS, revise)

    def _send_order(self, action: SendOrder) -> None:
        self._mark_busy()
        engine = self._simulation.engines_by_id[action.order.target_id]
        on_outcome = functools.partial(self._return_outcome, action)
        send = functools.partial(engine.carry_out, action.order, on_outcome)
        self._clock.call_in(_LOCAL_DELAY_SECONDS, send)

    def _return_outcome(self, action: SendOrder, outcome: OrderOutcome) -> None:
        deliver = functools.partial(self._receive_outcome, action, outcome)
        self._clock.call_in(_LOCAL_DELAY_SECONDS, deliver)

    def _receive_outcome(
        self, action: SendOrder, outcome: OrderOutcome
    ) -> None:
        self._mark_busy()
        now = self._clock.now
        actions = self.controller.on_order_outcome(action.order, outcome, now)
        self._apply_actions(actions)

    def _publish_view(self, action: PublishView) -> None:
        for instance_id in self._simulation.instances_by_id:
            self._send_to_instance(instance_id, action.view)
        for zone, leader in self._simulation.leaders_by_zone.items():
            if zone != self._zone:
                deliver = functools.partial(leader.receive_view, action.view)
                self._clock.call_in(
                    self._simulation.delay(self._zone, zone), deliver
                )

    def _send_refusal(self, action: SendRefusal) -> None:
        for receiver in action.receivers:
            if receiver.startswith(FORWARDED_SENDER_PREFIX):
                zone = receiver.removeprefix(FORWARDED_SENDER_PREFIX)
                other = self._simulation.leaders_by_zone[zone]
                self._clock.call_in(
                    self._simulation.delay(self._zone, zone),
                    functools.partial(other.receive_refusal, action),
                )
            else:
                self._send_to_instance(receiver, action.refusal)

    def _forward_demand(self, action: ForwardDemand) -> None:
        other = self._simulation.leaders_by_zone[action.zone]
        self._clock.call_in(
            self._simulation.delay(self._zone, action.zone),
            functools.partial(
                other.receive_forwarded_demand, self._zone, action.report
            ),
        )

    def _revise_allowances(self, shard: int) -> None:
        state = self.controller.state
        records = self._simulation.records_by_shard
        record = records.get(shard, AllowanceRecord(0, {}))
        occupied = state.occupied_by_deployment()
        state.allowances.apply_record(shard, record)
        revised = state.allowances.revise(shard, record, occupied)
        if revised is not None:
            records[shard] = revised
            state.allowances.apply_record(shard, revised)

    def _send_to_instance(
        self, instance_id: str, message: AnyPeerMessage
    ) -> None:
        instance = self._simulation.instances_by_id.get(instance_id)
        if instance is None:
            return
        delay = self._simulation.delay(self._zone, instance.zone)
        deliver = functools.partial(instance.receive, message)
        self._clock.call_in(delay, deliver)


class SimulatedInstance:
    """An instance that accepts requests and dispatches them to engines."""

    def __init__(self, simulation: Simulation, index: int) -> None:
        """Start with an empty queue."""
        self._simulation = simulation
        self._clock = simulation.clock
        self.instance_id = f'instance-{index}'
        zones = simulation.scenario.zones
        self.zone = zones[index % len(zones)]
        capacity = Capacity(
            self.zone,
            self.instance_id,
            random.Random(simulation.seed * 1000 + index),
            simulation.variant.route,
        )
        capacity.apply_configuration(simulation.configuration)
        self.dispatcher = Dispatcher(capacity, _MAX_QUEUED_REQUESTS)
        self.dispatcher.queue = simulation.variant.make_queue(
            _MAX_QUEUED_REQUESTS
        )
        self._traces_by_id: dict[str, Trace] = {}
        self._busy_until = float(0)
        self._clock.call_at(0, self._quiet_tick)

    def submit(self, trace: Trace, request_id: str) -> None:
        """Submit the request of an arrival.

        :param trace: record to which the outcome is written.
        :param request_id: unique id.
        """
        now = self._clock.now
        arrival = trace.arrival
        self._traces_by_id[request_id] = trace
        request = ServingRequest(
            request_id,
            arrival.organisation,
            key_digest(arrival.organisation),
            arrival.deployment,
            is_model=True,
            tokens=arrival.reserved_tokens,
            deadline=now + arrival.timeout,
            received_at=now,
        )
        self._mark_busy()
        self._apply_actions(self.dispatcher.submit(request, now))

    def receive(self, message: AnyPeerMessage) -> None:
        """Receive a message of the zone leader.

        :param message: replica view, credit grant or refusal.
        """
        self._apply_actions(
            self.dispatcher.on_message(message, self._clock.now)
        )

    def _mark_busy(self) -> None:
        now = self._clock.now
        was_quiet = now >= self._busy_until
        self._busy_until = now + _BUSY_PERIOD_SECONDS
        if was_quiet:
            self._clock.call_in(_BUSY_TICK_SECONDS, self._busy_tick)

    def _quiet_tick(self) -> None:
        self._apply_actions(self.dispatcher.tick(self._clock.now))
        self._clock.call_in(_QUIET_TICK_SECONDS, self._quiet_tick)

    def _busy_tick(self) -> None:
        now = self._clock.now
        self._apply_actions(self.dispatcher.tick(now))
        if len(self.dispatcher.queue):
            self._busy_until = now + _BUSY_PERIOD_SECONDS
        if now < self._busy_until:
            self._clock.call_in(_BUSY_TICK_SECONDS, self._busy_tick)

    def _apply_actions(self, actions: list[ServingAction]) -> None:
        for action in actions:
            match action:
                case Dispatch():
                    self._dispatch(action)
                case Refuse():
                    trace = self._traces_by_id[action.request_id]
                    trace.refusal_kind = action.error.kind.value
                case ToLeader(message):
                    self._send_to_leader(message)

    def _send_to_leader(self, message: AnyPeerMessage) -> None:
        leader = self._simulation.leaders_by_zone[self.zone]
        deliver = functools.partial(leader.receive, self.instance_id, message)
        self._clock.call_in(_LOCAL_DELAY_SECONDS, deliver)

    def _dispatch(self, action: Dispatch) -> None:
        trace = self._traces_by_id[action.request_id]
        trace.dispatched_at = self._clock.now
        engine = self._simulation.engines_by_id[action.target_id]
        delay = self._simulation.delay(self.zone, engine.target.zone)
        on_done = functools.partial(self._return_result, action, delay)
        arrival = trace.arrival
        serve = functools.partial(
            engine.serve,
            arrival.deployment,
            arrival.used_tokens,
            on_done,
        )
        self._clock.call_in(delay, serve)

    def _return_result(self, action: Dispatch, delay: float, ran: bool) -> None:
        end = self._finish_request if ran else self._fail_attempt
        self._clock.call_in(delay, functools.partial(end, action))

    def _finish_request(self, action: Dispatch) -> None:
        trace = self._traces_by_id[action.request_id]
        trace.ran = True
        self._mark_busy()
        actions = self.dispatcher.on_finished(
            action.request_id,
            trace.arrival.used_tokens,
            self._clock.now,
        )
        self._apply_actions(actions)

    def _fail_attempt(self, action: Dispatch) -> None:
        self._traces_by_id[action.request_id].dispatched_at = None
        failure = AttemptFailure(
            action.request_id,
            'the deployment is not loaded there',
            Ran.not_run,
        )
        actions = self.dispatcher.on_attempt_failed(failure, self._clock.now)
        self._apply_actions(actions)
