"""How many requests a target should run, found from how it answers.

A target that has just started or recovered is either flooded by all instances
at once, or left idle by those that still avoid it. Each such target gets few
requests first and more with each round of answers that come in time; one that
turns requests away gets fewer. Load that this answers: targets crash and come
back within seconds while the others are nearly full.

Thresholds follow from what callers need: an answer is late if its first byte
misses the latency target of its route, or if a pause between its events exceeds
the route's longest one.
"""

import enum
import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cowsliprack.protocol.overload_messages import PaceUse, PaceView

# Duration of a round. Answers that began in one round show in the next, since
# most first bytes come within this time.
ROUND_SECONDS = 0.25
# Requests that a recovering target runs in its first round, as a share of its
# slots, and the least of them.
_FIRST_SHARE = 0.125
_MIN_FIRST_PLACES = 2
# Growth of the places after a round without a late answer.
_GROWTH_FACTOR = 2.0
# Share of late answers in a round above which the places stay as they are.
_MAX_LATE_SHARE = 0.25
# Connections that may fail in a round without an answer although the target has
# not crashed.
_MAX_BROKEN = 1
# Places that are left when a target has turned requests away.
_REFUSAL_FACTOR = 0.8
# Share of its slots that a target runs at least when a refusal means that it is
# full.
_MIN_FULL_SHARE = 0.5
# Places that a full target gains in a round without a refusal, as a share of
# its slots.
_REGAIN_SHARE = 0.1
# Time after which observations of an instance are not reported any more.
_REPORTED_SECONDS = 2.0
# Age of the leader's last statement from which own observations decide.
_TOLD_LIFETIME_SECONDS = 2.0


@enum.unique
class PaceState(enum.StrEnum):
    """How a target answers.

    ``recovering`` targets have just started, failed, or stopped to be cold;
    ``full`` ones have turned requests away for want of room.
    """

    cold = 'cold'
    recovering = 'recovering'
    full = 'full'
    well = 'well'


@dataclass(slots=True)
class AnswerCounts:
    """Answers of a target.

    :param in_time: answers without a late first byte or a long pause.
    :param late: the others.
    :param refused: requests turned away for want of room.
    :param broken: requests whose connection failed.
    """

    in_time: int = 0
    late: int = 0
    refused: int = 0
    broken: int = 0

    def since(self, earlier: 'AnswerCounts') -> 'AnswerCounts':
        """Return what has been added to an earlier state of the counters.

        :param earlier: of the same process; counters that are lower now began
            anew.
        """
        if self.in_time < earlier.in_time or self.late < earlier.late:
            return AnswerCounts()
        return AnswerCounts(
            self.in_time - earlier.in_time,
            self.late - earlier.late,
            max(self.refused - earlier.refused, 0),
            max(self.broken - earlier.broken, 0),
        )

    def add(self, other: 'AnswerCounts') -> None:
        """Add the answers that another instance has seen.

        :param other: to be added.
        """
        self.in_time += other.in_time
        self.late += other.late
        self.refused += other.refused
        self.broken += other.broken


@dataclass(slots=True)
class TargetPace:
    """State machine of one target; begins as ``well``.

    :param slots: requests that the target runs at a time when it is well.
    :param places: requests that it should run at a time.
    :param answered_at: when answers last came in time, seconds.
    """

    slots: int
    state: PaceState = PaceState.well
    places: float = math.inf
    answered_at: float = -math.inf
    _round: AnswerCounts = field(default_factory=AnswerCounts)
    _round_ends_at: float = 0

    def recover(self, now: float) -> None:
        """Begin again with few requests.

        :param now: seconds.
        """
        self.state = PaceState.recovering
        self.places = max(self.slots * _FIRST_SHARE, _MIN_FIRST_PLACES)
        self._begin_round(now)

    def observe(self, counts: AnswerCounts, running: float, now: float) -> None:
        """Apply answers since the last call; rounds end with such a call.

        :param counts: answers.
        :param running: requests of all instances that it runs, as far as they
            are known.
        :param now: seconds.
        """
        if counts.in_time:
            self.answered_at = now
        self._round.add(counts)
        if now < self._round_ends_at:
            return
        seen = self._round
        answered = seen.in_time + seen.late
        if seen.broken > max(answered, _MAX_BROKEN):
            self.recover(now)
            return
        if self.state is PaceState.recovering:
            self._grow_recovering(seen, running)
        elif seen.refused:
            self.state = PaceState.full
            most = min(self.places, self.slots)
            self.places = max(most * _REFUSAL_FACTOR, 1)
        elif self.state is PaceState.full and not seen.refused:
            self.places += max(self.slots * _REGAIN_SHARE, 1)
        self._begin_round(now)
        if self.places >= self.slots:
            self.state = PaceState.well
            self.places = math.inf

    def _grow_recovering(self, seen: AnswerCounts, running: float) -> None:
        answered = seen.in_time + seen.late
        # Only instances that may not send yet have requests for an idle target.
        is_idle = not answered and not running
        is_in_time = answered and seen.late <= answered * _MAX_LATE_SHARE
        if not seen.refused and (is_idle or is_in_time):
            self.places *= _GROWTH_FACTOR

    def _begin_round(self, now: float) -> None:
        self._round = AnswerCounts()
        self._round_ends_at = now + ROUND_SECONDS


@dataclass(slots=True)
class _Observed:
    """What one instance has seen of a target.

    :param pace: as its own answers show it.
    :param changed_at: last event that is worth a report, seconds.
    """

    pace: TargetPace
    counts: AnswerCounts = field(default_factory=AnswerCounts)
    changed_at: float = -math.inf


@dataclass(slots=True)
class TargetPaces:
    """Paces of targets as one instance observes them and is told.

    What an instance knows of the requests of the others is older than many of
    them take, so each instance keeps to a part of the places. Where there are
    fewer places than instances, those that may send are drawn at random.

    :param instances: that may send to the same targets.
    """

    instances: int = 1
    rng: random.Random = field(default_factory=random.Random)
    _draw_by_id: dict[str, float] = field(default_factory=dict)
    _observed_by_id: dict[str, _Observed] = field(default_factory=dict)
    _told_by_id: dict[str, PaceView] = field(default_factory=dict)
    _told_at: float = -math.inf

    def record_answer(
        self, target_id: str, slots: int, now: float, *, is_late: bool
    ) -> None:
        """Record an answer that has come to its end.

        :param target_id: id of the target.
        :param slots: of the target.
        :param now: seconds.
        :param is_late: see the module.
        """
        observed = self._observed_by_id.get(target_id)
        if observed is None:
            observed = self._observe(target_id, slots)
        added = AnswerCounts(late=1) if is_late else AnswerCounts(in_time=1)
        observed.counts.add(added)
        observed.pace.observe(added, 0, now)

    def record_refusal(
        self, target_id: str, slots: int, running: float, now: float
    ) -> None:
        """Record that a target has turned a request away.

        Engines also do so while an order changes their models, which says
        nothing of their room, so one that has free slots does not count.

        :param target_id: id of the target.
        :param slots: of the target.
        :param running: requests of all instances that it runs, estimated;
            ``inf`` if the target is no engine.
        :param now: seconds.
        """
        if running < slots * _MIN_FULL_SHARE:
            return
        observed = self._observe(target_id, slots)
        added = AnswerCounts(refused=1)
        observed.counts.add(added)
        observed.pace.observe(added, running, now)
        observed.changed_at = now

    def record_broken(self, target_id: str, slots: int, now: float) -> None:
        """Record that a connection to a target failed.

        :param target_id: id of the target.
        :param slots: of the target.
        :param now: seconds.
        """
        observed = self._observe(target_id, slots)
        added = AnswerCounts(broken=1)
        observed.counts.add(added)
        observed.pace.observe(added, 0, now)
        observed.changed_at = now

    def record_start(self, target_id: str, slots: int, now: float) -> None:
        """Record that a target has started or stopped to be cold.

        :param target_id: id of the target.
        :param slots: of the target.
        :param now: seconds.
        """
        observed = self._observe(target_id, slots)
        observed.pace.recover(now)
        observed.changed_at = now

    def places(self, target_id: str, now: float) -> float:
        """Return how many requests of all instances a target should run.

        :param target_id: id of the target.
        :param now: seconds.
        :returns: ``inf`` for a target that is well.
        """
        if now - self._told_at <= _TOLD_LIFETIME_SECONDS:
            told = self._told_by_id.get(target_id)
            return math.inf if told is None else told.places
        observed = self._observed_by_id.get(target_id)
        return math.inf if observed is None else observed.pace.places

    def may_send(self, target_id: str, own_running: int, now: float) -> bool:
        """Return whether this instance may send a target one more request.

        :param target_id: id of the target.
        :param own_running: requests of this instance that it runs.
        :param now: seconds.
        """
        places = self.places(target_id, now)
        if math.isinf(places):
            return True
        draw = self._draw_by_id.setdefault(target_id, self.rng.random())
        return own_running < math.floor(places / self.instances + draw)

    def uses(
        self, running_by_id: Mapping[str, int], now: float
    ) -> tuple[PaceUse, ...]:
        """Return what the leader needs to find the paces.

        Targets that are well and of which nothing was lately seen but answers
        are left out, so that reports cost nothing while all is well.

        :param running_by_id: running requests of this instance.
        :param now: seconds.
        """
        return tuple(
            PaceUse(
                target_id,
                observed.counts.in_time,
                observed.counts.late,
                observed.counts.refused,
                observed.counts.broken,
                running_by_id.get(target_id, 0),
                observed.pace.state is PaceState.recovering,
            )
            for target_id, observed in self._observed_by_id.items()
            if target_id in self._told_by_id
            or observed.pace.state is not PaceState.well
            or now - observed.changed_at < _REPORTED_SECONDS
        )

    def apply_views(
        self, views: Iterable[PaceView], instances: int, now: float
    ) -> list[PaceView]:
        """Apply the paces that the leader has found.

        :param views: all targets that are not well.
        :param instances: that may send to the same targets.
        :param now: seconds.
        :returns: those that have answered some instance in time lately, so that
            an instance may stop to avoid them.
        """
        self._told_at = now
        self.instances = max(instances, 1)
        self._told_by_id = {view.target_id: view for view in views}
        return [
            view
            for view in self._told_by_id.values()
            if 0 <= view.answered_age < _REPORTED_SECONDS
        ]

    def count(self, now: float) -> int:
        """Return the number of targets that are not well.

        :param now: seconds.
        """
        known = self._told_by_id.keys() | self._observed_by_id.keys()
        return sum(
            math.isfinite(self.places(target_id, now)) for target_id in known
        )

    def prune(self, known: Iterable[str]) -> None:
        """Remove the state of targets that no longer exist.

        :param known: ids of existing targets.
        """
        for target_id in set(self._observed_by_id).difference(known):
            self._observed_by_id.pop(target_id)
            self._draw_by_id.pop(target_id, None)

    def _observe(self, target_id: str, slots: int) -> _Observed:
        observed = self._observed_by_id.get(target_id)
        if observed is None:
            observed = _Observed(TargetPace(slots))
            self._observed_by_id[target_id] = observed
        return observed


@dataclass(frozen=True, slots=True)
class _Reported:
    """Last report of a process on a target.

    :param running: requests of the instance that the target runs.
    :param at: when the report arrived, seconds.
    """

    counts: AnswerCounts
    running: int = 0
    at: float = -math.inf


@dataclass(slots=True)
class RegionPaces:
    """Paces of targets as the leader finds them from all reports.

    :param pace_by_id: of targets of which something was reported.
    """

    pace_by_id: dict[str, TargetPace] = field(default_factory=dict)
    _logged_by_id: dict[str, PaceState] = field(default_factory=dict)
    # By target and process.
    _reports_by_id: dict[str, dict[str, _Reported]] = field(
        default_factory=dict
    )

    def apply_report(
        self,
        process_id: str,
        uses: Iterable[PaceUse],
        slots_by_id: Mapping[str, int],
        now: float,
    ) -> None:
        """Apply the counters of one instance.

        Counters of a process or a target that were not known before only begin
        to count.

        :param process_id: id of the instance's process.
        :param uses: its counters.
        :param slots_by_id: slots of the targets; others are ignored.
        :param now: seconds.
        """
        for use in uses:
            if use.target_id not in slots_by_id:
                continue
            counts = AnswerCounts(
                use.in_time, use.late, use.refused, use.broken
            )
            reports = self._reports_by_id.setdefault(use.target_id, {})
            before = reports.get(process_id, _Reported(counts)).counts
            reports[process_id] = _Reported(counts, use.running, now)
            pace = self.pace_by_id.get(use.target_id)
            if pace is None:
                pace = TargetPace(slots_by_id[use.target_id])
                self.pace_by_id[use.target_id] = pace
                if use.is_recovering:
                    pace.recover(now)
            running = sum(
                one.running
                for one in reports.values()
                if now - one.at < _REPORTED_SECONDS
            )
            pace.observe(counts.since(before), running, now)

    def views(self, now: float) -> tuple[PaceView, ...]:
        """Return the targets that are not well.

        :param now: seconds.
        """
        return tuple(
            PaceView(
                target_id,
                pace.state.value,
                round(pace.places, 1),
                max(now - pace.answered_at, 0)
                if math.isfinite(pace.answered_at)
                else -1,
            )
            for target_id, pace in self.pace_by_id.items()
            if pace.state is not PaceState.well
        )

    def changed(self) -> list[tuple[str, TargetPace]]:
        """Return the targets whose state has changed since the last call."""
        changed = [
            (target_id, pace)
            for target_id, pace in self.pace_by_id.items()
            if self._logged_by_id.get(target_id, PaceState.well)
            is not pace.state
        ]
        for target_id, pace in changed:
            self._logged_by_id[target_id] = pace.state
        return changed

    def prune(self, known: Iterable[str]) -> None:
        """Forget targets that no longer exist.

        :param known: ids of existing targets.
        """
        kept = set(known)
        for target_id in set(self.pace_by_id).difference(kept):
            self.pace_by_id.pop(target_id)
            self._logged_by_id.pop(target_id, None)
            self._reports_by_id.pop(target_id, None)
