"""Simulated fleet for rate limits: instances, ledger holders and faults.

Runs the state machines of cowsliprack in virtual time. The clocks of the
processes have different offsets and speeds, messages take about a millisecond,
and a named fault is injected at second ``FAULT_START_SECONDS``.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from cowsliprack.coordination.credit import CreditAccount, Reservation
from cowsliprack.coordination.fair_queue import FairQueue, QueuedRequest
from cowsliprack.coordination.ledger import GRANT_EXPIRY_SECONDS, Ledger
from cowsliprack.coordination.loans import LoanTracker
from cowsliprack.protocol.peer import CreditRequest, CreditReturn, LoanRequest

ORGANISATION = 'acme'
ZONES = ('a', 'b', 'c')
ZONE_BY_INSTANCE = ('a', 'a', 'a', 'b', 'b', 'b', 'c', 'c')
FAULTS = (
    'none',
    'holder killed',
    'holder frozen then returning',
    'two holders',
    'three holders',
    'store away',
    'instance killed',
    'grant lost',
    'grant repeated',
    'return repeated',
    'zone cut off',
    'loan answer lost',
)
# Interval of virtual time in which the fault is active.
FAULT_START_SECONDS = 17.0
FAULT_END_SECONDS = 32.0
_LEASE_SECONDS = 6.0
_RENEWAL_SECONDS = 2.0
_TICK_SECONDS = 0.01
_LOAN_TICK_SECONDS = 0.1
# A holder stops before its lease expires, because the clock of a challenger
# may run faster than its own.
_LEASE_DRIFT_FACTOR = 0.97
_LOSS_PROBABILITY = 0.3


@dataclass(frozen=True, slots=True)
class Trial:
    """Parameters of one simulated run.

    :param load: offered load, as a multiple of the rate.
    :param spread: which instances receive requests: ``even``, ``one zone``,
        ``one instance`` or ``moving``.
    :param fault: injected fault; a name that is not in ``FAULTS`` injects none.
    :param seed: of the random number generators.
    :param seconds: duration of the traffic.
    :param rate: limit of the organisation, tokens per second.
    :param burst: burst limit of the organisation, tokens.
    :param queue_timeout: seconds until a waiting request is refused.
    :param warm_up: seconds before the first request: a ledger without the
        state of a predecessor starts empty and reaches its full share by then.
    :param max_tokens: largest request, tokens.
    """

    load: float
    spread: str
    fault: str = 'none'
    seed: int = 1
    seconds: float = 40
    rate: float = 1000
    burst: float = 3000
    queue_timeout: float = 2
    warm_up: float = 12
    max_tokens: int = 200


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of the organisation.

    :param number: sequence number in the run.
    :param at: arrival, seconds of virtual time.
    :param instance: number of the instance that receives it.
    :param tokens: reserved tokens, prompt plus maximum output.
    :param used: tokens that it actually uses.
    :param seconds: duration of its execution.
    """

    number: int
    at: float
    instance: int
    tokens: float
    used: float
    seconds: float


@dataclass(slots=True)
class Outcome:
    """Requests that were admitted and refused in a run.

    :param admitted: admission times and requests.
    :param refused: refusal times and requests.
    :param lent: tokens per second lent between zones, summed over the loans.
    """

    admitted: list[tuple[float, Arrival]] = field(default_factory=list)
    refused: list[tuple[float, Arrival]] = field(default_factory=list)
    lent: float = 0


class Simulation:
    """Event loop in virtual time with a simulated network."""

    def __init__(self, trial: Trial) -> None:
        """Start at time 0 without scheduled events."""
        self.trial = trial
        self.random = random.Random(trial.seed)
        self.now: float = 0
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._sequence = itertools.count()

    def schedule(
        self,
        delay: float,
        action: Callable[..., None],
        *arguments: object,
    ) -> None:
        """Call an action after a delay.

        :param delay: seconds.
        :param action: called with the arguments.
        :param arguments: of the action.
        """
        event = (self.now + delay, next(self._sequence), action, arguments)
        heapq.heappush(self._events, event)

    def send(self, action: Callable[..., None], *arguments: object) -> None:
        """Deliver a message after a random network latency.

        :param action: handler of the message.
        :param arguments: of the handler.
        """
        self.schedule(self.random.uniform(0.0005, 0.002), action, *arguments)

    def run(self, until: float) -> None:
        """Run all events that are due up to a time.

        :param until: seconds of virtual time.
        """
        while self._events and self._events[0][0] <= until:
            event = heapq.heappop(self._events)
            self.now = event[0]
            action, arguments = event[2:]
            action(*arguments)

    def is_fault_active(self, *faults: str) -> bool:
        """Return whether one of the named faults is active now.

        :param faults: names from ``FAULTS``.
        """
        is_named = self.trial.fault in faults
        return is_named and FAULT_START_SECONDS <= self.now < FAULT_END_SECONDS

    def should_drop_message(self) -> bool:
        """Return whether the next message is lost, chosen at random."""
        return self.random.random() < _LOSS_PROBABILITY


@dataclass(frozen=True, slots=True)
class Clock:
    """Clock of one process, with its own offset and speed.

    :param simulation: provides the virtual time.
    :param offset: reading at virtual time 0, seconds.
    :param speed: seconds of this clock per second of virtual time.
    """

    simulation: Simulation
    offset: float
    speed: float

    def read(self) -> float:
        """Return the time that this clock shows, in seconds."""
        return self.offset + self.simulation.now * self.speed


def make_arrivals(trial: Trial) -> Iterator[Arrival]:
    """Yield the requests of a run in order of arrival.

    :param trial: parameters of the run.
    """
    rng = random.Random(trial.seed)
    min_tokens = trial.max_tokens / 10
    mean = (min_tokens + trial.max_tokens) / 2
    now = trial.warm_up
    for number in itertools.count():
        now += rng.expovariate(trial.load * trial.rate / mean)
        if now >= trial.warm_up + trial.seconds:
            return
        tokens = round(rng.uniform(min_tokens, trial.max_tokens))
        yield Arrival(
            number,
            now,
            rng.choice(_receiving_instances(trial.spread, now)),
            tokens,
            round(tokens * rng.uniform(0.2, 1)),
            rng.uniform(0.1, 4),
        )


def _receiving_instances(spread: str, now: float) -> tuple[int, ...]:
    if spread == 'one instance':
        return (0,)
    if spread == 'one zone' or (spread == 'moving' and now % 16 < 8):
        return (0, 1, 2)
    return tuple(range(len(ZONE_BY_INSTANCE)))


class Holder:
    """Process that holds the ledger lease of a zone.

    :param simulation: provides time and randomness.
    :param zone: of the ledger.
    :param fencing: fencing number of the lease; 1 is the first holder.
    """

    def __init__(self, simulation: Simulation, zone: str, fencing: int) -> None:
        """Acquire the lease at the current time."""
        speed = simulation.random.uniform(0.99, 1)
        self.clock = Clock(
            simulation, simulation.random.uniform(0, 1000), speed
        )
        self.zone = zone
        self.is_running = True
        self.frozen_until: float = 0
        now = self.clock.read()
        self.ledger = Ledger(
            fencing,
            now,
            predecessor_stopped=fencing == 1,
            lease_until=now + _LEASE_SECONDS * _LEASE_DRIFT_FACTOR,
            loans=LoanTracker(zone, str(fencing), GRANT_EXPIRY_SECONDS),
        )
        trial = simulation.trial
        self.ledger.set_share(
            ORGANISATION,
            trial.rate / len(ZONES),
            trial.burst / len(ZONES),
            now,
        )


class Instance:
    """Simulated instance with its credit account and its queue.

    :param simulation: provides time and randomness.
    :param number: index in ``ZONE_BY_INSTANCE``.
    """

    def __init__(self, simulation: Simulation, number: int) -> None:
        """Start with an empty queue and without credit."""
        speed = simulation.random.uniform(0.99, 1.01)
        self.clock = Clock(
            simulation, simulation.random.uniform(0, 1000), speed
        )
        self.number = number
        self.zone = ZONE_BY_INSTANCE[number]
        self.incarnation = 0
        self.account = CreditAccount(f'{number}-0')
        self.queue = FairQueue(1_000_000)
        self.arrivals_by_id: dict[str, Arrival] = {}

    def restart(self) -> None:
        """Discard the credit, the queue and the open reservations."""
        self.incarnation += 1
        self.account = CreditAccount(f'{self.number}-{self.incarnation}')
        self.queue = FairQueue(1_000_000)

    def can_start(self, entry: QueuedRequest) -> bool:
        """Return whether the available credit covers a queued request.

        :param entry: head of the queue.
        """
        available = self.account.available(ORGANISATION, self.clock.read())
        return available >= entry.tokens


class LedgerFleet:
    """Simulated instances and ledger holders of all zones.

    :param trial: parameters of the run.
    """

    def __init__(self, trial: Trial) -> None:
        """Create the processes and schedule arrivals, timers and the fault."""
        self.simulation = Simulation(trial)
        self.outcome = Outcome()
        self.instances = [
            Instance(self.simulation, number)
            for number in range(len(ZONE_BY_INSTANCE))
        ]
        self.holders_by_zone: dict[str, list[Holder]] = {}
        for zone in ZONES:
            self.holders_by_zone[zone] = [Holder(self.simulation, zone, 1)]
            self.simulation.schedule(_RENEWAL_SECONDS, self.renew, zone)
            self.simulation.schedule(_LOAN_TICK_SECONDS, self.tick_loans, zone)
        for instance in self.instances:
            self.simulation.schedule(_TICK_SECONDS, self.tick, instance)
        for arrival in make_arrivals(trial):
            self.simulation.schedule(arrival.at, self.enqueue, arrival)
        self.simulation.schedule(FAULT_START_SECONDS, self.start_fault)
        self.simulation.schedule(FAULT_END_SECONDS, self.end_fault)

    def run(self) -> Outcome:
        """Run the trial to its end and return its outcome."""
        trial = self.simulation.trial
        self.simulation.run(trial.warm_up + trial.seconds + trial.queue_timeout)
        return self.outcome

    def enqueue(self, arrival: Arrival) -> None:
        """Add a request to the queue of its instance.

        :param arrival: request that arrives now.
        """
        instance = self.instances[arrival.instance]
        now = instance.clock.read()
        request_id = str(arrival.number)
        instance.arrivals_by_id[request_id] = arrival
        entry = QueuedRequest(
            request_id,
            ORGANISATION,
            'model',
            arrival.tokens,
            0,
            now + self.simulation.trial.queue_timeout,
            now,
        )
        instance.queue.push(entry)
        self.serve(instance)

    def serve(self, instance: Instance) -> None:
        """Start requests covered by credit and refuse those that timed out.

        :param instance: whose queue is processed.
        """
        now = instance.clock.read()
        for overdue in instance.queue.expire(now):
            refused = instance.arrivals_by_id.pop(overdue.request_id)
            self.outcome.refused.append((self.simulation.now, refused))
        entry = instance.queue.pop(now, instance.can_start)
        while entry is not None:
            arrival = instance.arrivals_by_id.pop(entry.request_id)
            taken = instance.account.reserve(ORGANISATION, entry.tokens, now)
            self.outcome.admitted.append((self.simulation.now, arrival))
            self.simulation.schedule(
                arrival.seconds,
                self.finish,
                instance,
                instance.incarnation,
                taken,
                arrival.used,
            )
            entry = instance.queue.pop(now, instance.can_start)

    def finish(
        self,
        instance: Instance,
        incarnation: int,
        reservation: Reservation,
        used: float,
    ) -> None:
        """Settle a reservation unless its instance has restarted since.

        :param instance: that ran the request.
        :param incarnation: of the instance when the request started.
        :param reservation: of the request.
        :param used: tokens that the request used.
        """
        if instance.incarnation == incarnation:
            instance.account.settle(reservation, used, instance.clock.read())

    def tick(self, instance: Instance) -> None:
        """Process the queue and send due credit requests and returns.

        :param instance: whose timer fired.
        """
        self.simulation.schedule(_TICK_SECONDS, self.tick, instance)
        self.serve(instance)
        now = instance.clock.read()
        waiting = instance.queue.waiting_by_organisation(bool)
        for request in instance.account.requests_due(now, waiting):
            self.simulation.send(self.on_request, instance, request)
        for returned in instance.account.returns_due(now):
            self.simulation.send(self.on_return, instance, returned)
            if self.simulation.is_fault_active('return repeated'):
                self.simulation.schedule(1, self.on_return, instance, returned)

    def on_request(self, instance: Instance, request: CreditRequest) -> None:
        """Handle a credit request at the holder and send the grant.

        :param instance: that sent the request.
        :param request: received message.
        """
        holder = self.find_holder(instance)
        if holder is None:
            return
        if holder.frozen_until > self.simulation.now:
            delay = holder.frozen_until - self.simulation.now
            self.simulation.schedule(delay, self.on_request, instance, request)
            return
        grant = holder.ledger.grant(
            request,
            str(instance.number),
            holder.clock.read(),
        )
        if (
            self.simulation.is_fault_active('grant lost')
            and self.simulation.should_drop_message()
        ):
            return
        self.simulation.send(self.on_grant, instance, grant)
        if self.simulation.is_fault_active('grant repeated'):
            self.simulation.send(self.on_grant, instance, grant)
            self.simulation.schedule(1, self.on_grant, instance, grant)
            self.simulation.schedule(1, self.repeat_request, instance, request)

    def repeat_request(
        self,
        instance: Instance,
        request: CreditRequest,
    ) -> None:
        """Deliver a duplicate of a request to the holder.

        :param instance: that sent the request.
        :param request: duplicated message.
        """
        holder = self.find_holder(instance)
        if holder is not None:
            now = holder.clock.read()
            holder.ledger.grant(request, str(instance.number), now)

    def on_grant(self, instance: Instance, grant) -> None:
        """Handle a grant at the instance.

        :param instance: that receives the grant.
        :param grant: received message.
        """
        instance.account.accept(grant, instance.clock.read())
        self.serve(instance)

    def on_return(self, instance: Instance, returned: CreditReturn) -> None:
        """Handle returned credit at the holder.

        :param instance: that returned the credit.
        :param returned: received message.
        """
        holder = self.find_holder(instance)
        if holder is not None and holder.frozen_until <= self.simulation.now:
            now = holder.clock.read()
            holder.ledger.accept_return(returned, str(instance.number), now)

    def find_holder(self, instance: Instance) -> Holder | None:
        """Return the holder that an instance regards as the leader.

        :param instance: that sends a message.
        """
        running = [
            holder
            for holder in self.holders_by_zone[instance.zone]
            if holder.is_running
        ]
        if not running:
            return None
        # With several running holders, instances disagree on the leader.
        return running[-1 - instance.number % len(running)]

    def tick_loans(self, zone: str) -> None:
        """Send the due loan requests to other zones.

        :param zone: that borrows.
        """
        self.simulation.schedule(_LOAN_TICK_SECONDS, self.tick_loans, zone)
        for holder in self.holders_by_zone[zone]:
            if holder.is_running and holder.frozen_until <= self.simulation.now:
                now = holder.clock.read()
                lenders = [other for other in ZONES if other != zone]
                for lender, request in holder.ledger.loan_requests_due(
                    lenders, now
                ):
                    self.simulation.send(self.on_loan, holder, lender, request)

    def on_loan(self, holder: Holder, zone: str, request: LoanRequest) -> None:
        """Handle a loan request at the leader of another zone.

        :param holder: that requests the loan.
        :param zone: of the lender.
        :param request: received message.
        """
        lender = self.holders_by_zone[zone][-1]
        is_unreachable = self.simulation.is_fault_active(
            'zone cut off'
        ) and 'b' in {
            zone,
            holder.zone,
        }
        is_frozen = lender.frozen_until > self.simulation.now
        if is_unreachable or is_frozen or not lender.is_running:
            return
        grant = lender.ledger.lend(request, lender.clock.read())
        self.outcome.lent += grant.amount
        if (
            self.simulation.is_fault_active('loan answer lost')
            and self.simulation.should_drop_message()
        ):
            return
        self.simulation.send(self.on_loan_grant, holder, grant)

    def on_loan_grant(self, holder: Holder, grant) -> None:
        """Handle a granted loan at the borrower.

        :param holder: that requested the loan.
        :param grant: received message.
        """
        if holder.is_running and holder.frozen_until <= self.simulation.now:
            holder.ledger.accept_loan(grant, holder.clock.read())

    def renew(self, zone: str) -> None:
        """Renew the lease, or schedule a successor for when it expires.

        :param zone: of the lease.
        """
        holder = self.holders_by_zone[zone][-1]
        is_frozen = holder.frozen_until > self.simulation.now
        is_unreachable = self.simulation.is_fault_active('store away') or (
            zone == 'a'
            and self.simulation.is_fault_active('two holders', 'three holders')
        )
        if is_unreachable or is_frozen or not holder.is_running:
            # The last renewal was one renewal interval ago.
            self.simulation.schedule(
                _LEASE_SECONDS - _RENEWAL_SECONDS, self.take_over, zone, holder
            )
            return
        now = holder.clock.read()
        holder.ledger.renew(now + _LEASE_SECONDS * _LEASE_DRIFT_FACTOR, now)
        self.simulation.schedule(_RENEWAL_SECONDS, self.renew, zone)

    def take_over(self, zone: str, holder: Holder) -> None:
        """Start a successor, or renew if the store is reachable again.

        :param zone: of the lease.
        :param holder: whose lease has expired.
        """
        if self.simulation.is_fault_active('store away'):
            self.simulation.schedule(
                _RENEWAL_SECONDS, self.take_over, zone, holder
            )
            return
        is_alive = (
            holder.is_running and holder.frozen_until <= self.simulation.now
        )
        if is_alive and self.simulation.trial.fault == 'store away':
            self.renew(zone)
            return
        holders = self.holders_by_zone[zone]
        successor = Holder(self.simulation, zone, len(holders) + 1)
        if not any(earlier.is_running for earlier in holders):
            successor.ledger.predecessor_stopped(successor.clock.read())
        holders.append(successor)
        if self.simulation.trial.fault == 'two holders':
            # The successor can reach the store and its predecessor cannot, so
            # the successor keeps its lease.
            self.simulation.schedule(FAULT_END_SECONDS, self.renew, zone)
            successor.ledger.renew(
                successor.clock.read() + FAULT_END_SECONDS * 2,
                successor.clock.read(),
            )
            return
        self.simulation.schedule(_RENEWAL_SECONDS, self.renew, zone)

    def start_fault(self) -> None:
        """Inject a fault that changes the state of a process at once."""
        first = self.holders_by_zone['a'][0]
        fault = self.simulation.trial.fault
        if fault == 'holder killed':
            first.is_running = False
        if fault == 'holder frozen then returning':
            first.frozen_until = self.simulation.now + 2 * _LEASE_SECONDS
        if fault == 'instance killed':
            self.instances[0].restart()

    def end_fault(self) -> None:
        """Stop all superseded holders and notify their successors."""
        for holders in self.holders_by_zone.values():
            for holder in holders[:-1]:
                holder.ledger.step_down()
                holder.is_running = False
            if len(holders) > 1:
                latest = holders[-1]
                latest.ledger.predecessor_stopped(latest.clock.read())
