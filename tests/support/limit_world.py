"""Instances, a leader and one target that names a limit, without I/O."""

import heapq
import itertools
import random

from cowsliprack.coordination.target_limits import (
    ReportedUses,
    TargetLimits,
    divide_limits,
)

TARGET = 't1'
_ANSWER_SECONDS = 0.1
_REPORT_SECONDS = 0.4
_MESSAGE_SECONDS = 0.01
_PATIENCE_SECONDS = 1.8
_RETRY_SECONDS = 0.02


class LimitWorld:
    """Plays the requests of all instances for the target.

    :param weights: callable that returns the weight of an instance's demand
        (number, time).
    :param leader_answers: callable that returns whether the leader works.
    """

    def __init__(self, instances, demand, seed=1):
        self.rng = random.Random(seed)
        self.demand = demand
        self.limits = [TargetLimits() for _ in range(instances)]
        self.reports = {}
        self.arrivals = []
        self.named = None
        self.now = 0.0
        self.weights = lambda _number, _now: 1
        self.leader_answers = lambda _now: True
        self._numbers = itertools.count()
        self._events = []
        for number in range(instances):
            self._at(self.rng.uniform(0, _REPORT_SECONDS), self._report, number)
        self._at(0, self._arrive)

    def restart(self, number):
        """Replace an instance by one that knows nothing."""
        self.limits[number] = TargetLimits()

    def run(self, seconds):
        """Play the events of a time."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        self.now = end

    def _at(self, at, function, *arguments):
        event = (at, next(self._numbers), function, arguments)
        heapq.heappush(self._events, event)

    def _arrive(self):
        self._at(self.now + self.rng.expovariate(self.demand), self._arrive)
        numbers = range(len(self.limits))
        weights = [self.weights(number, self.now) for number in numbers]
        number = self.rng.choices(numbers, weights)[0]
        limits = self.limits[number]
        limited = limits.limited([TARGET], self.now)
        limits.want(limited, self.now)
        is_free = not limited or (
            limits.waiting_by_id[TARGET] <= 0
            and limits.seconds_until_free(TARGET, self.now) <= 0
        )
        if is_free:
            self._send(limits)
        elif limits.seconds_of_queue(limited, self.now) <= _PATIENCE_SECONDS:
            limits.waiting_by_id[TARGET] += 1
            self._try_again(limits, self.now + _PATIENCE_SECONDS)

    def _try_again(self, limits, gives_up_at):
        if limits.seconds_until_free(TARGET, self.now) <= 0:
            limits.waiting_by_id[TARGET] -= 1
            self._send(limits)
        elif self.now < gives_up_at:
            again_at = self.now + _RETRY_SECONDS
            self._at(again_at, self._try_again, limits, gives_up_at)
        else:
            limits.waiting_by_id[TARGET] -= 1

    def _send(self, limits):
        limits.take(TARGET, self.now)
        self.arrivals.append(self.now)
        self._at(self.now + _ANSWER_SECONDS, self._answer, limits, self.named)

    def _answer(self, limits, named):
        limits.record_answer(TARGET, named, self.now)

    def _report(self, number):
        self._at(self.now + _REPORT_SECONDS, self._report, number)
        uses = self.limits[number].uses(self.now)
        self._at(self.now + _MESSAGE_SECONDS, self._divide, number, uses)

    def _divide(self, number, uses):
        if not self.leader_answers(self.now):
            return
        self.reports[number] = (uses, self.now)
        reports = [
            ReportedUses(str(name), reported, self.now - at)
            for name, (reported, at) in self.reports.items()
        ]
        shares = divide_limits(str(number), reports)
        self._at(self.now + _MESSAGE_SECONDS, self._apply, number, shares)

    def _apply(self, number, shares):
        self.limits[number].apply_division(shares, len(self.limits), self.now)
