"""Decides how many replicas busy models should have, and in which zones.

Pattern of load: a few models get most of the requests and are resident on one
to four engines, whose requests start late or pause, while other engines run few
requests; demand differs by zone, and moves to other models after some seconds.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cowsliprack.coordination.demand_rates import DemandRates
from cowsliprack.coordination.engine_index import EngineIndex
from cowsliprack.coordination.zone_shares import divide_by_zone
from cowsliprack.state.engine_state import EngineState
from cowsliprack.state.routing_table import EngineSpec

# Shortest time between two decisions, in seconds; plans are more frequent.
_DECISION_SECONDS = 0.1
# Averaging time of running requests, in seconds; about the duration of one, so
# that a short burst moves no replica.
_AVERAGING_SECONDS = 1.0
# Average of running requests below which a model counts as not requested.
_MIN_RUNNING = 0.1
# Seconds for which a reason must last before a replica is added: short for late
# requests, and longer than a chance cluster of requests for uneven engines.
_LATE_SECONDS = 0.5
_UNEVEN_SECONDS = 2.0
# Seconds from one change to the next. A load from disk and the first requests
# after it take about a second.
_ADD_INTERVAL_SECONDS = 1.0
# Seconds for which fewer replicas must be enough before the number is reduced.
_RELEASE_SECONDS = 3.0
# Load of an engine that counts as even at least, as a share of its slots: below
# it, requests hardly slow each other down.
_MIN_LEVEL_SHARE = 0.2
# Running requests for each replica, as multiples of the even load, from which
# one more is worth its memory, and below which one less is enough. The gap
# prevents alternating loads and unloads.
_ADD_LEVEL = 0.75
_RELEASE_LEVEL = 0.5
# Share of the load of its engines that a model must have itself; otherwise a
# model that shares an engine with a busy one would be moved instead.
_MIN_OWN_SHARE = 0.4
# Without late requests, engines are uneven if the least loaded replica has this
# multiple of the mean load, and this share of its slots.
_UNEVEN_FACTOR = 1.5
_UNEVEN_SLOTS_SHARE = 0.3
# With late requests, from these values on engines of other models are used.
_LATE_FACTOR = 1.1
_LATE_SLOTS_SHARE = 0.15
# Late and paused requests, per second and as a share of all requests of a
# model, that are more than chance.
_MIN_TROUBLES_PER_SECOND = 0.4
_MIN_TROUBLE_SHARE = 0.05
# Highest load of an engine that gets a replica, as a share of the load of the
# least loaded replica.
_LATE_TARGET_SHARE = 0.75
_UNEVEN_TARGET_SHARE = 0.5
# Seconds of late requests before the weight store may be used.
_COLD_LOAD_SECONDS = 4.0
# Share of the requests moved to a new replica that are taken as improved where
# none is late; each running request makes a step of an engine 0.5% slower.
_UNEVEN_GAIN = 0.1
# Cost of a place on a fully busy engine, and of one in a zone that has enough
# replicas, in seconds of load time; a load from disk takes about half a second.
_BUSY_ENGINE_SECONDS = 0.5
_OTHER_ZONE_SECONDS = 0.3
# Cost of evicting any model for a further replica, in seconds of load time:
# free memory is used first, even before that of models without requests.
EVICTION_SECONDS = 0.2
# A model is requested if its last request is no older than this, in seconds.
# The shorter time applies if all replicas of the busy model are above the
# scale-up threshold; 5 s made fleets of 6, 9 and 56 engines less even there
# (busiest engine 2.21, 2.29 and 4.06 instead of 1.97, 1.86 and 3.69 times the
# mean in tools/bench/rotation_replay.py).
_REQUESTED_SECONDS = 5.0
_REQUESTED_JUST_NOW_SECONDS = 1.5

LATE_REASON = 'requests of the model start late or pause on busy engines'
UNEVEN_REASON = 'its engines are far busier than others'
RELEASE_REASON = 'fewer replicas are enough'


@dataclass(frozen=True, slots=True)
class ReplicaDemand:
    """A further replica that a model should get.

    :param replicas: number that the model should have.
    :param gain: requests per second that the replica improves.
    :param max_load: running requests on an engine above which it is no better
        than the present ones.
    :param zones: zones with fewer replicas than their demand calls for; none
        if the zone does not matter.
    :param may_load_cold: whether it is worth a load from the weight store.
    """

    model: str
    replicas: int
    gain: float
    max_load: float
    zones: frozenset[str] = frozenset()
    may_load_cold: bool = False


@dataclass(frozen=True, slots=True)
class ReplicaDecision:
    """A change of the number of replicas that a model should have.

    :param before: number that it had.
    :param replicas: number that it should have.
    :param running: average running requests of the model.
    :param least_load: average running requests on its least loaded engine.
    :param mean_load: average running requests on all engines.
    :param troubles: late and paused requests per second.
    :param by_zone: desired replicas by zone; empty if demand is not known.
    """

    model: str
    before: int
    replicas: int
    reason: str
    running: float
    least_load: float
    mean_load: float
    troubles: float
    by_zone: Mapping[str, int]


@dataclass(slots=True)
class _Wanted:
    """What is wanted for one model.

    :param replicas: number that it should have; 1 if it is not busy.
    :param changed_at: time of the last change, seconds.
    :param reason: why it should have more than it has; empty for no reason.
    :param reason_since: since when there has been a reason, seconds.
    :param late_since: since when requests have been late, seconds.
    :param enough_since: since when fewer replicas have been enough, seconds.
    :param most_needed: most replicas that were needed since then.
    """

    replicas: int = 1
    changed_at: float = -math.inf
    reason: str = ''
    reason_since: float = math.inf
    late_since: float = math.inf
    enough_since: float = math.inf
    most_needed: int = 1


@dataclass(frozen=True, slots=True)
class _Facts:
    """Averages on which the decision for one model is based.

    :param rate: requests per second.
    :param spare_load: load of the least loaded engine without the model.
    :param level: load of an engine that counts as even.
    """

    model: str
    count: int
    running: float
    rate: float
    troubles: float
    least_load: float
    spare_load: float
    mean_load: float
    level: float
    slots: int

    def reason(self) -> str:
        """Return why the model should get one more replica; empty if not."""
        lowest = max(self.level * _ADD_LEVEL, self.least_load * _MIN_OWN_SHARE)
        if self.running < self.count * lowest:
            return ''
        is_late = self.troubles >= max(
            _MIN_TROUBLES_PER_SECOND, self.rate * _MIN_TROUBLE_SHARE
        )
        if is_late and self._exceeds(
            _LATE_FACTOR, _LATE_SLOTS_SHARE, _LATE_TARGET_SHARE
        ):
            return LATE_REASON
        if self._exceeds(
            _UNEVEN_FACTOR, _UNEVEN_SLOTS_SHARE, _UNEVEN_TARGET_SHARE
        ):
            return UNEVEN_REASON
        return ''

    def needed(self) -> int:
        """Return the number of replicas of which none may be removed."""
        return 1 + math.floor(self.running / (self.level * _RELEASE_LEVEL))

    def _exceeds(
        self, factor: float, slots_share: float, target_share: float
    ) -> bool:
        """Return whether its engines are busier than an engine without it."""
        lowest = max(self.mean_load * factor, self.slots * slots_share)
        return (
            self.least_load >= lowest
            and self.spare_load <= self.least_load * target_share
        )


@dataclass(slots=True)
class BusyModels:
    """Desired replicas of the busy models of one service.

    Models that are not busy, and numbers up to one, are left to the scheduler.

    :param troubles: late and paused requests per second by model.
    :param rates_by_zone: requests per second by model, for each zone in which
        callers' requests arrive.
    :param demands: further replicas that models should get, as of the last
        decision.
    """

    troubles: DemandRates = field(default_factory=DemandRates)
    rates_by_zone: dict[str, DemandRates] = field(default_factory=dict)
    demands: tuple[ReplicaDemand, ...] = ()
    _wanted_by_model: dict[str, _Wanted] = field(default_factory=dict)
    _load_by_id: dict[str, float] = field(default_factory=dict)
    _running_by_model: dict[str, float] = field(default_factory=dict)
    _mean_load: float = 0
    _decided_at: float = -math.inf
    _index: EngineIndex = field(default_factory=EngineIndex)
    _spec: EngineSpec | None = None
    _decisions: list[ReplicaDecision] = field(default_factory=list)

    def add_started(
        self, model: str, zone: str, count: int, now: float
    ) -> None:
        """Count requests for a model that have arrived in a zone.

        :param model: name of the model.
        :param zone: of the instance that got the requests.
        :param count: requests since the last call.
        :param now: seconds.
        """
        self.rates_by_zone.setdefault(zone, DemandRates()).add(
            model, count, now
        )

    def update(
        self,
        index: EngineIndex,
        spec: EngineSpec,
        rates: DemandRates,
        now: float,
    ) -> None:
        """Decide anew; called with every plan.

        :param index: of the engines.
        :param spec: of the service.
        :param rates: requests per second by model.
        :param now: seconds.
        """
        self._index = index
        self._spec = spec
        if now - self._decided_at < _DECISION_SECONDS:
            return
        self._average(now)
        if not rates.is_established(now) or len(index.usable) < 2:
            self.demands = ()
            return
        lowest = self._level() * _ADD_LEVEL
        busy = {
            model
            for model, running in self._running_by_model.items()
            if running >= lowest
        }
        demands = (
            self._decide(model, rates.rate(model, now), now)
            for model in sorted(busy | self._wanted_by_model.keys())
        )
        self.demands = tuple(one for one in demands if one is not None)

    def open_demands(self) -> list[ReplicaDemand]:
        """Return the demands of which the replica is not offered yet."""
        return [
            demand
            for demand in self.demands
            if 0 < len(self._index.offering(demand.model)) < demand.replicas
        ]

    def keeps(self, model: str, count: int) -> bool:
        """Return whether a model with so many replicas needs all of them.

        :param model: its name.
        :param count: replicas that accept its requests.
        """
        if count < 2 or self._spec is None:
            return False
        wanted = self._wanted_by_model.get(model)
        if wanted is not None and count <= wanted.replicas:
            return True
        # Without one of them, the others would be a reason to add it again.
        left = self._running_by_model.get(model, 0) / (count - 1)
        return left >= max(
            self._mean_load * _UNEVEN_FACTOR,
            self._spec.slots * _UNEVEN_SLOTS_SHARE,
        )

    def removable(
        self, model: str, replicas: list[EngineState], now: float
    ) -> list[EngineState]:
        """Return the replicas in zones with more than their demand calls for.

        :param model: its name.
        :param replicas: engines that accept its requests.
        :param now: seconds.
        :returns: all of them if demand by zone is not known.
        """
        if model not in self._wanted_by_model:
            return replicas
        desired = self.desired_by_zone(model, len(replicas) - 1, now)
        held = Counter(engine.record.zone for engine in replicas)
        surplus = [
            engine
            for engine in replicas
            if held[engine.record.zone] > desired.get(engine.record.zone, 0)
        ]
        return surplus if desired else replicas

    def desired_by_zone(
        self, model: str, count: int, now: float
    ) -> dict[str, int]:
        """Return how a number of replicas should be divided among the zones.

        :param model: its name.
        :param count: replicas in all zones.
        :param now: seconds.
        :returns: empty if demand by zone is not known.
        """
        engines_by_zone = Counter(
            engine.record.zone for engine in self._index.usable
        )
        demand_by_zone = {
            zone: rates.rate(model, now)
            for zone, rates in self.rates_by_zone.items()
        }
        return divide_by_zone(count, demand_by_zone, engines_by_zone)

    def further_replicas(self) -> int:
        """Return how many replicas are wanted beyond one of each model."""
        return sum(
            wanted.replicas - 1 for wanted in self._wanted_by_model.values()
        )

    def take_decisions(self) -> list[ReplicaDecision]:
        """Return the decisions since the last call, to be logged."""
        decisions = self._decisions
        self._decisions = []
        return decisions

    def _average(self, now: float) -> None:
        """Update the averages; values seen for the first time count fully."""
        index = self._index
        kept = math.exp((self._decided_at - now) / _AVERAGING_SECONDS)
        self._decided_at = now
        self._load_by_id = {
            target_id: load
            + kept * (self._load_by_id.get(target_id, load) - load)
            for target_id, load in index.load_by_id.items()
        }
        loads = self._load_by_id.values()
        self._mean_load = sum(loads) / max(len(loads), 1)
        names = self._running_by_model.keys() | {
            model
            for model, count in index.running_by_model.items()
            if count and '/' not in model
        }
        averages = {}
        for name in names:
            running = index.running_by_model.get(name, 0)
            previous = self._running_by_model.get(name, running)
            averages[name] = running + kept * (previous - running)
        self._running_by_model = {
            model: average
            for model, average in averages.items()
            if average >= _MIN_RUNNING
        }

    def _level(self) -> float:
        """Return the load of an engine that counts as even."""
        slots = self._spec.slots if self._spec else 1
        return max(self._mean_load, slots * _MIN_LEVEL_SHARE)

    def _facts(self, model: str, rate: float, now: float) -> _Facts:
        slots = self._spec.slots if self._spec else 1
        offering = {engine.target_id for engine in self._index.offering(model)}
        spare_loads = [
            load
            for target_id, load in self._load_by_id.items()
            if target_id not in offering
        ]
        least_load = min(
            (self._load_by_id.get(target_id, 0) for target_id in offering),
            default=0,
        )
        return _Facts(
            model,
            len(offering),
            self._running_by_model.get(model, 0),
            rate,
            self.troubles.rate(model, now),
            least_load,
            min(spare_loads, default=math.inf),
            self._mean_load,
            self._level(),
            slots,
        )

    def _decide(
        self, model: str, rate: float, now: float
    ) -> ReplicaDemand | None:
        """Update what is wanted for one model; return its open demand."""
        facts = self._facts(model, rate, now)
        wanted = self._wanted_by_model.get(model) or _Wanted()
        _note_reason(wanted, facts.reason() if facts.count else '', now)
        _note_needed(wanted, facts.needed(), now)
        before = wanted.replicas
        if wanted.reason and self._may_add(wanted, facts.count, now):
            wanted.replicas = facts.count + 1
            self._record(facts, before, wanted, wanted.reason, now)
        elif now - wanted.enough_since >= _RELEASE_SECONDS:
            wanted.replicas = wanted.most_needed
            self._record(facts, before, wanted, RELEASE_REASON, now)
        if wanted.replicas > 1 or wanted.reason:
            self._wanted_by_model[model] = wanted
        elif facts.count < 2 or not facts.running:
            self._wanted_by_model.pop(model, None)
        if not 0 < facts.count < min(wanted.replicas, facts.needed()):
            return None
        return self._demand(facts, wanted, now)

    def _may_add(self, wanted: _Wanted, count: int, now: float) -> bool:
        """Return whether one more replica may be wanted than there are."""
        is_late = wanted.reason == LATE_REASON
        lasting = _LATE_SECONDS if is_late else _UNEVEN_SECONDS
        return (
            wanted.replicas <= count
            and now - wanted.reason_since >= lasting
            and now - wanted.changed_at >= _ADD_INTERVAL_SECONDS
        )

    def _demand(
        self, facts: _Facts, wanted: _Wanted, now: float
    ) -> ReplicaDemand:
        is_late = wanted.reason != UNEVEN_REASON
        share = _LATE_TARGET_SHARE if is_late else _UNEVEN_TARGET_SHARE
        moved = facts.rate / (facts.count + 1)
        held = Counter(
            engine.record.zone for engine in self._index.offering(facts.model)
        )
        desired = self.desired_by_zone(facts.model, wanted.replicas, now)
        return ReplicaDemand(
            facts.model,
            wanted.replicas,
            max(facts.troubles, moved * _UNEVEN_GAIN),
            facts.least_load * share,
            frozenset(
                zone for zone, count in desired.items() if held[zone] < count
            ),
            now - wanted.late_since >= _COLD_LOAD_SECONDS,
        )

    def _record(
        self,
        facts: _Facts,
        before: int,
        wanted: _Wanted,
        reason: str,
        now: float,
    ) -> None:
        wanted.changed_at = now
        wanted.enough_since = math.inf
        self._decisions.append(
            ReplicaDecision(
                facts.model,
                before,
                wanted.replicas,
                reason,
                facts.running,
                facts.least_load,
                facts.mean_load,
                facts.troubles,
                self.desired_by_zone(facts.model, wanted.replicas, now),
            )
        )


def _note_reason(wanted: _Wanted, reason: str, now: float) -> None:
    wanted.reason = reason
    wanted.reason_since = min(wanted.reason_since, now) if reason else math.inf
    is_late = reason == LATE_REASON
    wanted.late_since = min(wanted.late_since, now) if is_late else math.inf


def _note_needed(wanted: _Wanted, needed: int, now: float) -> None:
    if needed >= wanted.replicas:
        wanted.enough_since = math.inf
        return
    if math.isinf(wanted.enough_since):
        wanted.enough_since = now
        wanted.most_needed = needed
    wanted.most_needed = max(wanted.most_needed, needed)


def costs_more(
    victims: Iterable[str],
    gain: float,
    index: EngineIndex,
    rates: DemandRates,
    now: float,
    *,
    is_overloaded: bool,
) -> bool:
    """Return whether evictions cost more than a further replica improves.

    Each request for an evicted model waits for its load, so their rate must not
    exceed that of the requests that the replica improves. The only replica of a
    model that was requested lately always costs more.

    :param victims: models to evict.
    :param gain: requests that the replica improves, per second.
    :param index: of the engines.
    :param rates: requests per second by model.
    :param now: seconds.
    :param is_overloaded: whether all replicas of the model are above the
        scale-up threshold.
    """
    lately = (
        _REQUESTED_JUST_NOW_SECONDS if is_overloaded else _REQUESTED_SECONDS
    )
    last = [name for name in victims if len(index.offering(name)) < 2]
    is_requested = any(
        now - rates.updated_at_by_model.get(name, -math.inf) < lately
        for name in last
    )
    return is_requested or sum(rates.rate(name, now) for name in last) > gain


def spread_seconds(
    demand: ReplicaDemand, engine: EngineState, load: float, slots: int
) -> float:
    """Return what speaks against an engine for a further replica, in seconds.

    :param demand: the further replica.
    :param engine: an engine that could load it.
    :param load: its running requests.
    :param slots: requests that it can run.
    :returns: time to add to that of the load; ``inf`` if it is too busy.
    """
    if load > demand.max_load:
        return math.inf
    seconds = load / max(slots, 1) * _BUSY_ENGINE_SECONDS
    if demand.zones and engine.record.zone not in demand.zones:
        seconds += _OTHER_ZONE_SECONDS
    return seconds
