"""Virtual fleet for limits: instances, ledger holders, network, faults.

Runs the state machines of the product on a virtual clock. The clocks of the
processes have different offsets and speeds, messages take about a millisecond,
and a named fault is injected from
second ``FAULT_FROM`` on.
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
# The fault lasts from the first to the second time, seconds.
FAULT_FROM = 17.0
FAULT_UNTIL = 32.0
_LEASE = 6.0
_RENEW = 2.0
_TICK = 0.01
_LOAN_TICK = 0.1
# A holder ends its lease early, because the clock of a challenger may be fast.
_LEASE_DRIFT = 0.97
_LOST_PART = 0.3


@dataclass(frozen=True, slots=True)
class Trial:
    """One run.

    :param rate: of the organisation, tokens a second.
    :param burst: of the organisation, tokens.
    :param load: offered, as a multiple of the rate.
    :param spread: ``even``, ``one zone``, ``one instance`` or ``moving``.
    :param patience: seconds until a waiting request is refused.
    :param warm_up: seconds before the first request: a ledger without a
        predecessor's state starts empty and reaches its full share by then.
    :param largest: request, tokens.
    """

    load: float
    spread: str
    fault: str = 'none'
    seed: int = 1
    seconds: float = 40
    rate: float = 1000
    burst: float = 3000
    patience: float = 2
    warm_up: float = 12
    largest: int = 200


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of the organisation.

    :param tokens: prompt plus maximum output.
    :param used: tokens that it turns out to use.
    :param seconds: that it runs.
    """

    number: int
    at: float
    instance: int
    tokens: float
    used: float
    seconds: float


@dataclass(slots=True)
class Outcome:
    """What happened to the requests.

    :param admitted: requests with the time of their admission.
    :param refused: requests with the time of their refusal.
    :param lent: tokens a second lent between zones, summed over the loans.
    """

    admitted: list[tuple[float, Arrival]] = field(default_factory=list)
    refused: list[tuple[float, Arrival]] = field(default_factory=list)
    lent: float = 0


class World:
    """Virtual time, network and random source."""

    def __init__(self, trial: Trial) -> None:
        """Start at second 0."""
        self.trial = trial
        self.random = random.Random(trial.seed)
        self.now: float = 0
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._sequence = itertools.count()

    def after(
        self,
        delay: float,
        action: Callable[..., None],
        *arguments: object,
    ) -> None:
        """Call something later.

        :param delay: seconds.
        """
        event = (self.now + delay, next(self._sequence), action, arguments)
        heapq.heappush(self._events, event)

    def send(self, action: Callable[..., None], *arguments: object) -> None:
        """Deliver a message after the latency of the network."""
        self.after(self.random.uniform(0.0005, 0.002), action, *arguments)

    def run(self, until: float) -> None:
        """Run the events up to a time.

        :param until: seconds.
        """
        while self._events and self._events[0][0] <= until:
            event = heapq.heappop(self._events)
            self.now = event[0]
            action, arguments = event[2:]
            action(*arguments)

    def is_faulty(self, *faults: str) -> bool:
        """Return whether one of the faults is injected now."""
        is_named = self.trial.fault in faults
        return is_named and FAULT_FROM <= self.now < FAULT_UNTIL

    def is_lost(self) -> bool:
        """Return whether the random source drops or repeats a message."""
        return self.random.random() < _LOST_PART


@dataclass(frozen=True, slots=True)
class Clock:
    """Clock of one process."""

    world: World
    offset: float
    speed: float

    def read(self) -> float:
        """Return its time in seconds."""
        return self.offset + self.world.now * self.speed


def make_arrivals(trial: Trial) -> Iterator[Arrival]:
    """Yield the requests of a run in the order of time.

    :param trial: parameters.
    """
    source = random.Random(trial.seed)
    smallest = trial.largest / 10
    mean = (smallest + trial.largest) / 2
    now = trial.warm_up
    for number in itertools.count():
        now += source.expovariate(trial.load * trial.rate / mean)
        if now >= trial.warm_up + trial.seconds:
            return
        tokens = round(source.uniform(smallest, trial.largest))
        yield Arrival(
            number,
            now,
            source.choice(_instances(trial.spread, now)),
            tokens,
            round(tokens * source.uniform(0.2, 1)),
            source.uniform(0.1, 4),
        )


def _instances(spread: str, now: float) -> tuple[int, ...]:
    if spread == 'one instance':
        return (0,)
    if spread == 'one zone' or (spread == 'moving' and now % 16 < 8):
        return (0, 1, 2)
    return tuple(range(len(ZONE_BY_INSTANCE)))


class Holder:
    """A ledger holder of one zone."""

    def __init__(self, world: World, zone: str, fencing: int) -> None:
        """Take the lease now."""
        speed = world.random.uniform(0.99, 1)
        self.clock = Clock(world, world.random.uniform(0, 1000), speed)
        self.zone = zone
        self.is_running = True
        self.frozen_until: float = 0
        now = self.clock.read()
        self.ledger = Ledger(
            fencing,
            now,
            predecessor_stopped=fencing == 1,
            lease_until=now + _LEASE * _LEASE_DRIFT,
            loans=LoanTracker(zone, str(fencing), GRANT_EXPIRY_SECONDS),
        )
        trial = world.trial
        self.ledger.set_share(
            ORGANISATION,
            trial.rate / len(ZONES),
            trial.burst / len(ZONES),
            now,
        )


class Instance:
    """An instance with its credit and its queue."""

    def __init__(self, world: World, number: int) -> None:
        """Start without credit."""
        speed = world.random.uniform(0.99, 1.01)
        self.clock = Clock(world, world.random.uniform(0, 1000), speed)
        self.number = number
        self.zone = ZONE_BY_INSTANCE[number]
        self.incarnation = 0
        self.account = CreditAccount(f'{number}-0')
        self.queue = FairQueue(1_000_000)
        self.arrivals_by_id: dict[str, Arrival] = {}

    def restart(self) -> None:
        """Lose credit, queue and the reservations in flight."""
        self.incarnation += 1
        self.account = CreditAccount(f'{self.number}-{self.incarnation}')
        self.queue = FairQueue(1_000_000)

    def can_start(self, entry: QueuedRequest) -> bool:
        """Return whether the credit suffices for an entry.

        :param entry: at the head of the queue.
        """
        available = self.account.available(ORGANISATION, self.clock.read())
        return available >= entry.tokens


class Fleet:
    """Instances and holders under the ledgers."""

    def __init__(self, trial: Trial) -> None:
        """Build the fleet and schedule the fault."""
        self.world = World(trial)
        self.outcome = Outcome()
        self.instances = [
            Instance(self.world, number)
            for number in range(len(ZONE_BY_INSTANCE))
        ]
        self.holders_by_zone: dict[str, list[Holder]] = {}
        for zone in ZONES:
            self.holders_by_zone[zone] = [Holder(self.world, zone, 1)]
            self.world.after(_RENEW, self.renew, zone)
            self.world.after(_LOAN_TICK, self.tick_loans, zone)
        for instance in self.instances:
            self.world.after(_TICK, self.tick, instance)
        for arrival in make_arrivals(trial):
            self.world.after(arrival.at, self.arrive, arrival)
        self.world.after(FAULT_FROM, self.start_fault)
        self.world.after(FAULT_UNTIL, self.end_fault)

    def run(self) -> Outcome:
        """Run to the end and return what happened."""
        trial = self.world.trial
        self.world.run(trial.warm_up + trial.seconds + trial.patience)
        return self.outcome

    def arrive(self, arrival: Arrival) -> None:
        """Queue a request at its instance."""
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
            now + self.world.trial.patience,
            now,
        )
        instance.queue.push(entry)
        self.serve(instance)

    def serve(self, instance: Instance) -> None:
        """Start what has its credit and refuse what is overdue."""
        now = instance.clock.read()
        for overdue in instance.queue.expire(now):
            refused = instance.arrivals_by_id.pop(overdue.request_id)
            self.outcome.refused.append((self.world.now, refused))
        entry = instance.queue.pop(now, instance.can_start)
        while entry is not None:
            arrival = instance.arrivals_by_id.pop(entry.request_id)
            taken = instance.account.reserve(ORGANISATION, entry.tokens, now)
            self.outcome.admitted.append((self.world.now, arrival))
            self.world.after(
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
        """Settle a reservation unless its instance was restarted."""
        if instance.incarnation == incarnation:
            instance.account.settle(reservation, used, instance.clock.read())

    def tick(self, instance: Instance) -> None:
        """Exchange what is due with the ledger holder."""
        self.world.after(_TICK, self.tick, instance)
        self.serve(instance)
        now = instance.clock.read()
        waiting = instance.queue.waiting_by_organisation(bool)
        for request in instance.account.requests_due(now, waiting):
            self.world.send(self.on_request, instance, request)
        for back in instance.account.returns_due(now):
            self.world.send(self.on_return, instance, back)
            if self.world.is_faulty('return repeated'):
                self.world.after(1, self.on_return, instance, back)

    def on_request(self, instance: Instance, request: CreditRequest) -> None:
        """Let the holder answer and send the answer back."""
        holder = self.find_holder(instance)
        if holder is None:
            return
        if holder.frozen_until > self.world.now:
            delay = holder.frozen_until - self.world.now
            self.world.after(delay, self.on_request, instance, request)
            return
        grant = holder.ledger.grant(
            request,
            str(instance.number),
            holder.clock.read(),
        )
        if self.world.is_faulty('grant lost') and self.world.is_lost():
            return
        self.world.send(self.on_grant, instance, grant)
        if self.world.is_faulty('grant repeated'):
            self.world.send(self.on_grant, instance, grant)
            self.world.after(1, self.on_grant, instance, grant)
            self.world.after(1, self.repeat_request, instance, request)

    def repeat_request(
        self,
        instance: Instance,
        request: CreditRequest,
    ) -> None:
        """Let the holder see an old request a second time."""
        holder = self.find_holder(instance)
        if holder is not None:
            now = holder.clock.read()
            holder.ledger.grant(request, str(instance.number), now)

    def on_grant(self, instance: Instance, grant) -> None:
        """Take a grant at the instance."""
        instance.account.accept(grant, instance.clock.read())
        self.serve(instance)

    def on_return(self, instance: Instance, back: CreditReturn) -> None:
        """Take credit back at the holder."""
        holder = self.find_holder(instance)
        if holder is not None and holder.frozen_until <= self.world.now:
            now = holder.clock.read()
            holder.ledger.accept_return(back, str(instance.number), now)

    def find_holder(self, instance: Instance) -> Holder | None:
        """Return the holder that an instance takes for the leader."""
        running = [
            holder
            for holder in self.holders_by_zone[instance.zone]
            if holder.is_running
        ]
        if not running:
            return None
        # With several holders, instances disagree about who leads.
        return running[-1 - instance.number % len(running)]

    def tick_loans(self, zone: str) -> None:
        """Ask other zones for loans."""
        self.world.after(_LOAN_TICK, self.tick_loans, zone)
        for holder in self.holders_by_zone[zone]:
            if holder.is_running and holder.frozen_until <= self.world.now:
                now = holder.clock.read()
                lenders = [other for other in ZONES if other != zone]
                for lender, request in holder.ledger.loan_requests_due(
                    lenders, now
                ):
                    self.world.send(self.on_loan, holder, lender, request)

    def on_loan(self, holder: Holder, zone: str, request: LoanRequest) -> None:
        """Let the leader of another zone answer a loan request."""
        lender = self.holders_by_zone[zone][-1]
        is_away = self.world.is_faulty('zone cut off') and 'b' in {
            zone,
            holder.zone,
        }
        is_frozen = lender.frozen_until > self.world.now
        if is_away or is_frozen or not lender.is_running:
            return
        grant = lender.ledger.lend(request, lender.clock.read())
        self.outcome.lent += grant.amount
        if self.world.is_faulty('loan answer lost') and self.world.is_lost():
            return
        self.world.send(self.on_loan_grant, holder, grant)

    def on_loan_grant(self, holder: Holder, grant) -> None:
        """Take a loan at the borrower."""
        if holder.is_running and holder.frozen_until <= self.world.now:
            holder.ledger.accept_loan(grant, holder.clock.read())

    def renew(self, zone: str) -> None:
        """Renew the lease, or let a successor take it once it has lapsed."""
        holder = self.holders_by_zone[zone][-1]
        is_frozen = holder.frozen_until > self.world.now
        is_away = self.world.is_faulty('store away') or (
            zone == 'a' and self.world.is_faulty('two holders', 'three holders')
        )
        if is_away or is_frozen or not holder.is_running:
            # The last renewal took place one interval ago.
            self.world.after(_LEASE - _RENEW, self.take_over, zone, holder)
            return
        now = holder.clock.read()
        holder.ledger.renew(now + _LEASE * _LEASE_DRIFT, now)
        self.world.after(_RENEW, self.renew, zone)

    def take_over(self, zone: str, holder: Holder) -> None:
        """Start a successor, or renew where the store came back."""
        if self.world.is_faulty('store away'):
            self.world.after(_RENEW, self.take_over, zone, holder)
            return
        is_alive = holder.is_running and holder.frozen_until <= self.world.now
        if is_alive and self.world.trial.fault == 'store away':
            self.renew(zone)
            return
        holders = self.holders_by_zone[zone]
        successor = Holder(self.world, zone, len(holders) + 1)
        if not any(earlier.is_running for earlier in holders):
            successor.ledger.predecessor_stopped(successor.clock.read())
        holders.append(successor)
        if self.world.trial.fault == 'two holders':
            # The successor reaches the store, its predecessor does not.
            self.world.after(FAULT_UNTIL, self.renew, zone)
            successor.ledger.renew(
                successor.clock.read() + FAULT_UNTIL * 2,
                successor.clock.read(),
            )
            return
        self.world.after(_RENEW, self.renew, zone)

    def start_fault(self) -> None:
        """Inject what happens at one moment."""
        first = self.holders_by_zone['a'][0]
        fault = self.world.trial.fault
        if fault == 'holder killed':
            first.is_running = False
        if fault == 'holder frozen then returning':
            first.frozen_until = self.world.now + 2 * _LEASE
        if fault == 'instance killed':
            self.instances[0].restart()

    def end_fault(self) -> None:
        """Let every earlier holder learn of its successor."""
        for holders in self.holders_by_zone.values():
            for holder in holders[:-1]:
                holder.ledger.step_down()
                holder.is_running = False
            if len(holders) > 1:
                latest = holders[-1]
                latest.ledger.predecessor_stopped(latest.clock.read())
