"""Compares ledgers with equal shares per instance and a central counter.

Prints, for each load and fault, the tokens spent above the limit in the worst
window, the fraction of the entitled tokens that was served, and the fraction
of the requests that was refused wrongfully: a single ideal token bucket, given
the same reservations, had enough tokens for them.

Usage: ``python -m tools.bench.limits [seed]``.
"""

import sys
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from types import MappingProxyType

from cowsliprack.coordination.bucket import Bucket
from cowsliprack.coordination.loans import Portion
from tools.bench.limits_model import (
    FAULT_END_SECONDS,
    FAULT_START_SECONDS,
    FAULTS,
    ZONE_BY_INSTANCE,
    Arrival,
    LedgerFleet,
    Outcome,
    Simulation,
    Trial,
    make_arrivals,
)

_LOADS = ((5, 'even'), (5, 'moving'), (0.8, 'even'), (0.8, 'one zone'))
_COMPARED_FAULTS = ('none', 'holder killed', 'zone cut off')
# Network round trip between an instance and the central counter.
_ROUND_TRIP_SECONDS = 0.003
# A killed counter is replaced once its lease has expired and another started.
_FAILOVER_SECONDS = 6.0
_TICK_SECONDS = 0.01
# Event kinds in ``wrongful_refusals``; a refusal has kind 1, which is added to
# the count of refusals. Simultaneous events are processed in this order.
_ADMITTED = 0
_FINISHED = 2


@dataclass(frozen=True, slots=True)
class Score:
    """Result of one scheme.

    :param excess_tokens: tokens spent in the worst window beyond the burst
        plus the rate times its length.
    :param served_fraction: fraction of the entitled tokens that was spent.
    :param wrongful_fraction: fraction of the requests that was refused
        wrongfully.
    """

    excess_tokens: float
    served_fraction: float
    wrongful_fraction: float


def worst_excess(trial: Trial, outcome: Outcome) -> float:
    """Return the tokens spent above the limit in the worst window.

    The actual usage of a request counts as spent at its admission.

    :param trial: parameters of the run.
    :param outcome: result of the run.
    """
    window: float = 0
    worst: float = 0
    last: float = 0
    for at, arrival in outcome.admitted:
        # The worst window that ends at this admission starts at an earlier
        # admission or at this one.
        window = max(0, window - trial.rate * (at - last)) + arrival.used
        worst = max(worst, window)
        last = at
    return max(0, worst - trial.burst)


def wrongful_refusals(trial: Trial, outcome: Outcome) -> int:
    """Count the refused requests that a single ideal bucket would admit.

    The ideal bucket tracks the reservations of the run and also those of the
    refused requests that it admits, so that no token is counted twice.

    :param trial: parameters of the run.
    :param outcome: result of the run.
    """
    ideal = Bucket(0)
    ideal.set_limits(trial.rate, trial.burst, 0)
    ideal.add(trial.burst)
    events = []
    for kind, decided in enumerate((outcome.admitted, outcome.refused)):
        for at, arrival in decided:
            events.append((at, kind, arrival))
            events.append((at + arrival.seconds, _FINISHED, arrival))
    wrongful = 0
    # Tokens that the run reserved but that the ideal bucket had already given
    # to requests that the run refused.
    debt: float = 0
    for moment, event_kind, request in sorted(events, key=_event_order):
        ideal.advance(moment)
        debt -= ideal.take(debt)
        name = str(request.number)
        if event_kind == _FINISHED:
            ideal.claim(name, request.tokens - request.used)
        elif event_kind == _ADMITTED or ideal.level >= request.tokens:
            wrongful += event_kind
            debt += max(0, request.tokens - ideal.level)
            ideal.grant(name, request.tokens, moment)
            ideal.report_unspent(name, 0)
    return wrongful


def _event_order(event: tuple[float, int, Arrival]) -> tuple[float, int]:
    return event[:2]


def run_ledgers(trial: Trial) -> Outcome:
    """Run the ledgers and credit accounts of cowsliprack."""
    return LedgerFleet(trial).run()


def run_equal_shares(trial: Trial) -> Outcome:
    """Run one counter per instance, each with an equal share of the limit."""
    count = len(ZONE_BY_INSTANCE)
    share = Portion(trial.rate, trial.burst).scaled(1 / count)
    counters = [Bucket(0) for _ in range(count)]
    for counter in counters:
        counter.set_limits(share.amount, share.burst, 0)
        counter.add(share.burst)
    return CounterFleet(trial, counters, _own_counter, 0).run()


def run_single_counter(trial: Trial) -> Outcome:
    """Run one counter in zone b; requests that cannot reach it are refused."""
    counters = [Bucket(0), Bucket(FAULT_START_SECONDS + _FAILOVER_SECONDS)]
    for counter in counters:
        counter.set_limits(trial.rate, trial.burst, counter.updated_at)
    counters[0].add(trial.burst)
    return CounterFleet(
        trial, counters, _central_counter, _ROUND_TRIP_SECONDS
    ).run()


def _own_counter(trial: Trial, arrival: Arrival, now: float) -> int:
    return arrival.instance


def _central_counter(trial: Trial, arrival: Arrival, now: float) -> int | None:
    is_fault_active = FAULT_START_SECONDS <= now < FAULT_END_SECONDS
    is_cut_off = ZONE_BY_INSTANCE[arrival.instance] != 'b'
    if trial.fault == 'zone cut off' and is_fault_active and is_cut_off:
        return None
    if trial.fault != 'holder killed' or now < FAULT_START_SECONDS:
        return 0
    return 1 if now >= FAULT_START_SECONDS + _FAILOVER_SECONDS else None


class CounterFleet:
    """Simulated instances whose requests are admitted by token counters.

    :param trial: parameters of the run.
    :param counters: token buckets that admit the requests.
    :param find_counter: returns the index of the counter that a request can
        reach at a given time, or None.
    :param delay: round trip to the counter, seconds.
    """

    def __init__(
        self,
        trial: Trial,
        counters: list[Bucket],
        find_counter: Callable[[Trial, Arrival, float], int | None],
        delay: float,
    ) -> None:
        """Schedule the arrivals and the queue checks."""
        self._trial = trial
        self._simulation = Simulation(trial)
        self._counters = counters
        self._find_counter = find_counter
        self._delay = delay
        self._outcome = Outcome()
        self._queues: list[deque[Arrival]] = [deque() for _ in ZONE_BY_INSTANCE]
        for arrival in make_arrivals(trial):
            self._simulation.schedule(
                arrival.at + delay, self._enqueue, arrival
            )
        self._simulation.schedule(_TICK_SECONDS, self._tick)

    def run(self) -> Outcome:
        """Run the trial to its end and return its outcome."""
        trial = self._trial
        self._simulation.run(
            trial.warm_up + trial.seconds + trial.queue_timeout
        )
        return self._outcome

    def _enqueue(self, arrival: Arrival) -> None:
        self._queues[arrival.instance].append(arrival)
        self._serve(self._queues[arrival.instance])

    def _tick(self) -> None:
        self._simulation.schedule(_TICK_SECONDS, self._tick)
        for queue in self._queues:
            self._serve(queue)

    def _serve(self, queue: deque[Arrival]) -> None:
        now = self._simulation.now
        while queue and now >= queue[0].at + self._trial.queue_timeout:
            self._outcome.refused.append((now, queue.popleft()))
        while queue and self._admit(queue[0]):
            queue.popleft()

    def _admit(self, arrival: Arrival) -> bool:
        now = self._simulation.now
        counter = self._reachable_counter(arrival)
        if counter is None or counter.level < arrival.tokens:
            return False
        name = str(arrival.number)
        counter.grant(name, arrival.tokens, now)
        counter.report_unspent(name, 0)
        self._outcome.admitted.append((now, arrival))
        ends_in = arrival.seconds + self._delay
        self._simulation.schedule(ends_in, self._finish, arrival)
        return True

    def _finish(self, arrival: Arrival) -> None:
        counter = self._reachable_counter(arrival)
        if counter is not None:
            counter.claim(str(arrival.number), arrival.tokens - arrival.used)

    def _reachable_counter(self, arrival: Arrival) -> Bucket | None:
        number = self._find_counter(self._trial, arrival, self._simulation.now)
        if number is None:
            return None
        counter = self._counters[number]
        counter.advance(self._simulation.now)
        return counter


RUN_BY_SCHEME = MappingProxyType(
    {
        'ledgers': run_ledgers,
        'equal shares': run_equal_shares,
        'one counter': run_single_counter,
    }
)


def score(trial: Trial, scheme: str) -> Score:
    """Run a trial with one scheme and return its score.

    :param trial: parameters of the run.
    :param scheme: key of ``RUN_BY_SCHEME``.
    """
    outcome = RUN_BY_SCHEME[scheme](trial)
    offered = sum(arrival.used for arrival in make_arrivals(trial))
    entitled = min(offered, trial.burst + trial.rate * trial.seconds)
    requests = max(1, len(outcome.admitted) + len(outcome.refused))
    return Score(
        worst_excess(trial, outcome),
        sum(arrival.used for _, arrival in outcome.admitted) / entitled,
        wrongful_refusals(trial, outcome) / requests,
    )


def main(arguments: list[str]) -> None:
    """Print the table of scores.

    :param arguments: command line, with the seed as an optional argument.
    """
    seed = int(arguments[0]) if arguments else 1
    print(f'seed {seed}; load in multiples of the rate')
    print(
        'load spread       fault          scheme        above served wrongful'
    )
    for load, spread in _LOADS:
        for fault in _COMPARED_FAULTS:
            trial = Trial(load, spread, fault, seed)
            for scheme in RUN_BY_SCHEME:
                _print_row(trial, scheme)
    for fault in FAULTS:
        _print_row(Trial(5, 'moving', fault, seed), 'ledgers')


def _print_row(trial: Trial, scheme: str) -> None:
    result = score(trial, scheme)
    print(
        f'{trial.load:4} {trial.spread:12} {trial.fault:28.28} {scheme:12} '
        f'{result.excess_tokens:7.1f} {result.served_fraction:6.1%} '
        f'{result.wrongful_fraction:8.2%}',
    )


if __name__ == '__main__':
    main(sys.argv[1:])
