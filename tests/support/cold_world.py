"""Instances, a leader and one cold target, without I/O."""

from cowsliprack.coordination.target_limits import (
    ReportedUses,
    divide_cold_limits,
)
from tests.support.limit_world import TARGET, LimitWorld

_MESSAGE_SECONDS = 0.01


class ColdWorld(LimitWorld):
    """Plays the requests of all instances for a cold target.

    :param rate: requests per second that the target takes while it is cold.
    :param cold_seconds: time for which it is cold.
    """

    def __init__(self, instances, demand, rate, cold_seconds, seed=1):
        super().__init__(instances, demand, seed)
        for limits in self.limits:
            limits.rng.seed(self.rng.random())
            limits.instances = instances
            limits.cold.record(TARGET, rate, cold_seconds, 0.0)
        # Numbers of the instances that the leader does not reach.
        self.cut_off = set()

    def _answer(self, limits, named):
        """Say nothing of a limit, as answers of cold targets do."""

    def _report(self, number):
        self._at(self.now + 0.4, self._report, number)
        limits = self.limits[number]
        uses = limits.cold.uses(limits.wanted, self.now)
        self._at(self.now + _MESSAGE_SECONDS, self._divide, number, uses)

    def _divide(self, number, uses):
        if number in self.cut_off or not self.leader_answers(self.now):
            return
        self.reports[number] = (uses, self.now)
        reports = [
            ReportedUses(str(name), (), self.now - at, reported)
            for name, (reported, at) in self.reports.items()
            if self.now - at < 2
        ]
        shares = divide_cold_limits(str(number), reports, len(self.limits))
        self._at(self.now + _MESSAGE_SECONDS, self._apply, number, shares)

    def _apply(self, number, shares):
        limits = self.limits[number]
        limits.apply_division((), len(self.limits), self.now)
        limits.cold.apply_division(shares, self.now)
