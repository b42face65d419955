"""Schedules loads and unloads of models on the engines of a service.

Designed for workloads in which many rarely used models, each requested every
few seconds, share little engine memory with some busy models. Waiting requests
for one model are batched, the model whose load serves the most requests in
time is loaded first, and the model that is cheapest to evict makes room.
"""

import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from operator import itemgetter

from cowsliprack.coordination.absent_models import AbsentModels
from cowsliprack.coordination.adapter_placement import (
    AdapterDemand,
    plan_adapter,
)
from cowsliprack.coordination.busy_models import (
    EVICTION_SECONDS,
    BusyModels,
    ReplicaDemand,
    costs_more,
    spread_seconds,
)
from cowsliprack.coordination.cold_loads import (
    ColdLoadLimit,
    LostColdLoads,
    MissingModels,
    MissingWeights,
    count_cold_loads,
    max_cold_loads,
)
from cowsliprack.coordination.demand_rates import (
    MEAN_RUN_SECONDS,
    DemandRates,
)
from cowsliprack.coordination.engine_index import EngineIndex, index_engines
from cowsliprack.coordination.eviction import cheapest_victims
from cowsliprack.coordination.load_queue import expected_ends, ongoing_loads
from cowsliprack.coordination.spare_copies import SpareCopies
from cowsliprack.coordination.weight_store import (
    LoadClaim,
    StoreTurns,
    TurnKey,
    WaitingCallers,
)
from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.engine_state import EngineOrder, EngineState
from cowsliprack.state.routing_table import EngineSpec, ModelSpec

# Concurrent requests per replica above which a model gets another replica: an
# absolute number and a fraction of the engine's slots; the lower one applies.
# Each running request makes a step of the engine about 0.5% slower.
_SCALE_UP_RUNNING = 28
_SCALE_UP_SHARE = 0.6
# A replica is removed when the others can run its requests within this
# fraction of the scale-up threshold. The gap between the two thresholds
# prevents alternating loads and unloads.
_SCALE_DOWN_SHARE = 0.7
# Seconds for which a model can't be evicted after its load, so that the
# requests that waited for it can start.
_MIN_RESIDENCE_SECONDS = 0.3
# Seconds until all instances have stopped sending requests for a model, and
# the leader knows of those that were in flight: two messages and the batching
# interval for changes.
_VIEW_PROPAGATION_SECONDS = 0.02
# Seconds by which each request for an evicted model is delayed.
_RELOAD_DELAY_SECONDS = 0.8
# Seconds by which each request is delayed on an engine that has named a limit,
# about one turn of an instance.
_LIMITED_DELAY_SECONDS = 1.0
# Weight of a request that has missed its latency target; one that can still
# be served in time has weight 1.
_LATE_WEIGHT = 0.2
# Expected arrivals within this time count like waiting requests, in seconds.
_ARRIVAL_SECONDS = 1.0
# Eviction cost of a surplus replica; lower than that of any needed model.
_SURPLUS_REPLICA_COST = 0.01
# Seconds for which the set of engines must be unchanged before models without
# a copy on any engine are preloaded; longer than re-registration takes.
_STABLE_ENGINES_SECONDS = 1.3
# Seconds for which a model is not loaded from the weight store while an engine
# with a copy does not answer; a crashed engine is back in two to four.
_RETURN_SECONDS = 5.0
# Seconds for which a caller that was rejected, and comes back, waits again. An
# estimate: leaders do not know the deadlines of single requests.
_SECOND_WAIT_SECONDS = 6.0
# Seconds for which loads from the weight store wait for the surveys of engines;
# a survey takes milliseconds unless the engine does not answer.
_SURVEY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class GroupDemand:
    """Requests of all instances that wait for one model and adapter.

    :param late: number of them that have missed their latency target.
    :param target_at: earliest latency target among the others, seconds.
    :param gives_up_at: when the last request times out, seconds.
    :param since: when the oldest request started to wait, seconds.
    :param software_version: version of the engine that must run them; empty
        for any.
    """

    service: str
    model: str
    adapter: str
    count: int
    target_at: float
    gives_up_at: float
    since: float
    late: int = 0
    software_version: str = ''


@dataclass(frozen=True, slots=True)
class _LoadCandidate:
    """A model that should be loaded, or an adapter of an offered model.

    :param count: waiting requests; 0 for an additional replica.
    :param benefit: weighted number of requests that a load now serves in time.
    :param target_at: earliest latency target of the requests, seconds.
    :param software_version: version of the engine; empty for any.
    :param outwaits_load: whether callers are expected to wait, or to be back,
        when a load from the weight store that begins now has ended.
    :param is_spare: whether it is a second copy of a model in use, for the case
        that its engine leaves.
    :param scales_up: whether it is one more replica of a busy model.
    :param further: demand that this replica meets; ``None`` if there is none.
    """

    model: str
    count: int = 0
    adapter: str = ''
    benefit: float = 0
    target_at: float = math.inf
    software_version: str = ''
    outwaits_load: bool = False
    is_spare: bool = False
    scales_up: bool = False
    further: ReplicaDemand | None = None

    def fits(self, engine: EngineState) -> bool:
        """Return whether an engine runs the software version.

        :param engine: an engine of the service.
        """
        version = engine.record.software_version
        return self.software_version in {'', version}

    def is_worth_cold_load(self) -> bool:
        """Return whether the model may be loaded from the weight store."""
        return self.further is None or self.further.may_load_cold

    def claim(self) -> LoadClaim:
        """Return what decides on its turn."""
        return LoadClaim(
            self.model, self.benefit, self.target_at, self.outwaits_load
        )


@dataclass(frozen=True, slots=True)
class _Placement:
    """An engine for a load, with the models to evict from it.

    :param cost: seconds until the model is loaded, plus the cost of evicting
        the victims.
    """

    engine: EngineState
    victims: tuple[str, ...]
    cost: float


@dataclass(slots=True)
class ModelScheduler:
    """Plans load and unload orders for the engines of one service.

    :param engines_by_id: state of each engine of the service.
    :param rates: requests per second by model.
    :param cold_loads: limit of concurrent loads from the weight store.
    :param absent: models that lie on no engine, as of the last plan.
    :param busy_models: desired replicas of busy models.
    :param turns: order of the loads from the weight store.
    :param adapter_demand: which adapters engines have to load soon.
    :param earlier_turns: by model, when the last leader expected the end of a
        load that had not begun, seconds.
    :param earlier_loads: by model, when a load from the weight store that the
        last leader has begun is expected to end, seconds.
    :param unconfirmed_loads: models of ``earlier_loads`` that only the lease
        object names. They may have ended long ago, so they are forgotten if no
        engine carries out an order of an earlier leader.
    """

    spec: EngineSpec
    rates: DemandRates = field(default_factory=DemandRates)
    engines_by_id: dict[str, EngineState] = field(default_factory=dict)
    cold_loads: ColdLoadLimit = field(default_factory=ColdLoadLimit)
    absent: AbsentModels = field(default_factory=AbsentModels)
    busy_models: BusyModels = field(default_factory=BusyModels)
    turns: StoreTurns = field(default_factory=StoreTurns)
    adapter_demand: AdapterDemand = field(default_factory=AdapterDemand)
    earlier_turns: Mapping[str, float] = field(default_factory=dict)
    earlier_loads: Mapping[str, float] = field(default_factory=dict)
    unconfirmed_loads: frozenset[str] = frozenset()
    _lost_loads: LostColdLoads = field(default_factory=LostColdLoads)
    _spares: SpareCopies = field(default_factory=SpareCopies)
    _surveys_open_since: float = math.inf
    _returns_until_by_model: dict[str, float] = field(default_factory=dict)
    _engine_ids: frozenset[str] = frozenset()
    _engines_stable_since: float = 0
    _missing: MissingModels = field(default_factory=MissingModels)
    # Rebuilt at the start of each plan.
    _index: EngineIndex = field(default_factory=EngineIndex)
    _waiting_models: set[str] = field(default_factory=set)
    _waiting_share_by_id: dict[str, float] = field(default_factory=dict)
    # Sort key of the first candidate for each model.
    _order_by_model: dict[str, TurnKey] = field(default_factory=dict)

    def plan(
        self,
        groups: Iterable[GroupDemand],
        now: float,
    ) -> list[EngineOrder]:
        """Return the orders to send now, at most one for each engine.

        The orders are recorded as in progress on their engines.

        :param groups: waiting requests by model and adapter.
        :param now: seconds.
        """
        waiting = list(groups)
        self._update_index(waiting, now)
        self.busy_models.update(self._index, self.spec, self.rates, now)
        _release_assigned(self.engines_by_id.values())
        orders = self._advance_assigned(now)
        if self.rates.is_established(now):
            self._drain_surplus(now)
        scale_up = self._scale_up_candidates()
        candidates = [
            *self._waiting_candidates(waiting, now),
            *_further_candidates(self.busy_models.open_demands(), scale_up),
            *scale_up,
            *_spare_candidates(
                self._spares.expected_losses(
                    self._index, self.spec, self.rates, now
                )
            ),
            *_limited_candidates(waiting, self._index),
        ]
        in_order = [
            (self.turns.key(one.claim(), self._missing.since_by_model), one)
            for one in candidates
        ]
        in_order.sort(key=itemgetter(0))
        self._order_by_model = {
            candidate.model: order for order, candidate in reversed(in_order)
        }
        for _, candidate in in_order:
            orders.extend(self._schedule(candidate, now))
        if not waiting and self.rates.is_idle(now):
            orders.extend(self._preload_missing(now))
        self.absent.begin_loads(
            self._lost_loads.expected_ends(self.cold_loads.store_limit)
        )
        self.turns.promise(self.loads_due(now), _callers(waiting))
        return orders

    def replicas(self, model: str) -> list[EngineState]:
        """Return the usable engines that accept requests for a model.

        :param model: its name.
        """
        return [
            engine
            for engine in self.engines_by_id.values()
            if engine.is_usable() and engine.offers(model)
        ]

    def load_seconds(self, engine: EngineState, model: ModelSpec) -> float:
        """Return how long an engine takes to load a model.

        :param engine: the loading engine.
        :param model: the model to load.
        """
        if engine.is_cold(model.name):
            return model.cold_seconds
        # The registered list of copies in host memory may be out of date,
        # because the unload that makes room puts another model there.
        return max(model.disk_seconds, model.warm_seconds)

    def missing_weights(self, now: float) -> MissingWeights:
        """Return which models lie on no engine, as of the last plan.

        :param now: seconds.
        """
        missing = [
            name
            for name in self.spec.models_by_name
            if self._index.is_missing(name)
        ]
        return MissingWeights(
            len(missing),
            tuple(sorted(self._waiting_models.intersection(missing))),
            self._lost_loads.count(self.engines_by_id.values()),
            self._max_cold_loads(0, now),
            len(self._index.usable),
            frozenset(missing),
            tuple(self.turns.promised_places),
        )

    def loads_due(self, now: float) -> dict[str, float]:
        """Return when the absent models without a load can be loaded.

        :param now: seconds.
        :returns: expected end by model, seconds, in the order of the last plan.
        """
        waiting_since = self._missing.since_by_model
        queue = sorted(
            (
                name
                for name, ends_at in self.absent.loaded_at_by_model.items()
                if math.isinf(ends_at)
            ),
            key=lambda name: self._order_by_model.get(
                name,
                self.turns.key_if_requested(
                    name, waiting_since.get(name, math.inf)
                ),
            ),
        )
        store_limit = self.cold_loads.store_limit
        return expected_ends(
            queue,
            {
                name: self.spec.models_by_name[name].cold_seconds
                for name in queue
            },
            [
                *self._lost_loads.running_ends(store_limit),
                *self.earlier_loads.values(),
            ],
            self._max_cold_loads(0, now),
            now,
            set(queue).difference(self._order_by_model),
        )

    def end_cold_load(
        self,
        engine: EngineState,
        model: ModelSpec,
        seconds: float,
        now: float,
    ) -> None:
        """Adapt the concurrency limit for loads from the weight store.

        :param engine: the engine that has loaded the model.
        :param model: the model.
        :param seconds: duration of the load.
        :param now: seconds.
        """
        others = self._lost_loads.count(
            other
            for other in self.engines_by_id.values()
            if other is not engine
        )
        self.cold_loads.record_end(
            self._lost_loads.most_at_start(engine),
            others + 1,
            seconds / model.cold_seconds,
            now,
            self._lost_loads.started_at(engine.target_id),
            self._lost_loads.confirmed_slowdown(engine),
        )

    def _update_index(self, groups: list[GroupDemand], now: float) -> None:
        """Index the engines once, rather than once for each model."""
        self._index = index_engines(self.engines_by_id.values())
        self._lost_loads.update(
            self.engines_by_id, self.cold_loads.store_limit, now
        )
        self._waiting_models = {group.model for group in groups}
        self._waiting_share_by_id = self._index.waiting_shares(
            self._waiting_models
        )
        self.cold_loads.begin_term(_longest_cold_seconds(self.spec), now)
        self.cold_loads.check_running(
            self._lost_loads.started_by_id.values(), now
        )
        is_open = any(
            engine.awaits_survey() for engine in self.engines_by_id.values()
        )
        self._surveys_open_since = (
            min(self._surveys_open_since, now) if is_open else math.inf
        )
        until = now + _RETURN_SECONDS
        self._returns_until_by_model = {
            name: self._returns_until_by_model.get(name, until)
            for name in self._index.returning_models
        }
        engine_ids = frozenset(self._index.load_by_id)
        if engine_ids != self._engine_ids:
            self._engine_ids = engine_ids
            self._engines_stable_since = now
        self.rates.update_idle(now)
        self.earlier_loads = ongoing_loads(
            self.earlier_loads,
            self.unconfirmed_loads,
            self.engines_by_id.values(),
            now,
        )
        own_loads = self._lost_loads.expected_ends(self.cold_loads.store_limit)
        if self.earlier_turns:
            self.absent.inherit(self.earlier_turns)
        self.absent.update(
            self.spec.models_by_name,
            [
                engine
                for engine in self.engines_by_id.values()
                if not engine.is_evacuated
            ],
            {**self.earlier_loads, **own_loads},
            now,
            earlier_loads=len(self.earlier_loads),
        )
        if self.earlier_turns:
            self._missing.inherit(self.earlier_turns, now)
            self.earlier_turns = {}
        self._missing.update(
            self._waiting_models.intersection(self.spec.models_by_name),
            self._index.has_copy,
            now,
        )
        self.turns.record_callers(
            _callers(groups), self._missing.since_by_model
        )

    def _scale_up_threshold(self) -> float:
        share = self.spec.slots * _SCALE_UP_SHARE
        return min(_SCALE_UP_RUNNING, share)

    def _waiting_candidates(
        self,
        groups: list[GroupDemand],
        now: float,
    ) -> list[_LoadCandidate]:
        """Return the waiting groups with the benefit of loading their model.

        Expected arrivals count as well; otherwise a model in high demand would
        never be loaded once its first requests have missed their target.
        """
        benefit_by_model: dict[str, float] = {}
        for group in groups:
            benefit = benefit_by_model.get(group.model)
            if benefit is None:
                benefit = self.rates.rate(group.model, now) * _ARRIVAL_SECONDS
            benefit += group.count - group.late * (1 - _LATE_WEIGHT)
            benefit_by_model[group.model] = benefit
        return [
            _LoadCandidate(
                demand.model,
                demand.count,
                demand.adapter,
                benefit_by_model[demand.model],
                demand.target_at,
                demand.software_version,
                _outwaits_load(self.spec, demand, now),
            )
            for demand in groups
        ]

    def _scale_up_candidates(self) -> list[_LoadCandidate]:
        """Return the models that need another replica.

        Requests above the scale-up threshold queue inside the engine; they
        count like requests that wait for a load.
        """
        candidates = []
        threshold = self._scale_up_threshold()
        for model in sorted(self._index.running_by_model):
            loads = [
                self._index.load_by_id[engine.target_id]
                for engine in self._index.offering(model)
            ]
            # A model that is being evicted is not offered, so its remaining
            # requests don't count. New requests for it wait, which cancels
            # the eviction.
            excess = min(loads, default=0) - threshold
            if excess > 0:
                benefit = min(
                    excess * len(loads), self._index.running_by_model[model]
                )
                candidates.append(
                    _LoadCandidate(model, benefit=benefit, scales_up=True)
                )
        return candidates

    def _schedule(
        self, candidate: _LoadCandidate, now: float
    ) -> list[EngineOrder]:
        """Return the orders for a candidate if an engine has room for it."""
        offering = [
            engine
            for engine in self._index.offering(candidate.model)
            if candidate.fits(engine)
        ]
        if candidate.count and offering:
            order = plan_adapter(
                _without_limit(offering) or offering,
                candidate.model,
                candidate.adapter,
                self.spec.adapter_slots,
                now,
            )
            if order is None:
                return []
            self.adapter_demand.record(order, now)
            return [order]
        if self._cancel_eviction(candidate) or self._index.is_pending(
            candidate.model, candidate.software_version
        ):
            return []
        return self._assign_engine(candidate, now)

    def _advance_assigned(self, now: float) -> list[EngineOrder]:
        orders = []
        for engine in self._index.usable:
            if not engine.assigned_model or engine.order is not None:
                continue
            if self._index.is_on_other_disk(engine, engine.assigned_model):
                engine.assigned_model = ''
                continue
            orders.extend(self._next_step(engine, now))
        return orders

    def _next_step(
        self,
        engine: EngineState,
        now: float,
    ) -> Iterable[EngineOrder]:
        """Evict a model for the assigned one, or load the assigned one."""
        model = self.spec.models_by_name.get(engine.assigned_model)
        if model is None:
            engine.assigned_model = ''
            return
        victim = self._next_victim(engine, model)
        is_propagated = now - engine.assigned_at >= _VIEW_PROPAGATION_SECONDS
        if victim and (engine.running[victim] or not is_propagated):
            # The engine would wait for running requests before it unloads,
            # and could execute no other order meanwhile, such as the load of
            # an adapter.
            return
        if victim:
            yield self._issue(engine, OrderKind.unload, victim, now)
        elif self._has_room(engine, model):
            yield self._issue(engine, OrderKind.load, model.name, now)
        else:
            engine.assigned_model = ''

    def _next_victim(self, engine: EngineState, model: ModelSpec) -> str:
        if self._has_room(engine, model):
            return ''
        for name in sorted(
            engine.draining_models, key=engine.running.__getitem__
        ):
            if name in engine.adapters_by_model:
                return name
        return ''

    def _issue(
        self,
        engine: EngineState,
        kind: OrderKind,
        model: str,
        now: float,
    ) -> EngineOrder:
        order = EngineOrder(engine.target_id, kind, model)
        engine.order = order
        engine.order_accepted_at = math.inf
        engine.order_seen_at = -math.inf
        if kind is OrderKind.load:
            engine.assigned_model = ''
            if engine.is_cold(model):
                self.cold_loads.starts.append(now)
                engine.cold_loads_at_start = self._lost_loads.count_begun(
                    self.engines_by_id.values()
                )
                self._lost_loads.begin(
                    engine,
                    model,
                    engine.cold_loads_at_start,
                    self.spec.models_by_name[model].cold_seconds,
                    now,
                )
        return order

    def _cancel_eviction(self, candidate: _LoadCandidate) -> bool:
        """Offer a model again if its unload has not been ordered yet."""
        model = candidate.model
        for engine in self._index.holding_by_model[model]:
            if not candidate.fits(engine):
                continue
            unloading = engine.order is not None and (
                engine.order.model == model and not engine.order.adapter
            )
            if model in engine.draining_models and not unloading:
                engine.draining_models.discard(model)
                return True
        return False

    def _assign_engine(
        self,
        candidate: _LoadCandidate,
        now: float,
    ) -> list[EngineOrder]:
        name = candidate.model
        model = self.spec.models_by_name.get(name)
        if model is None:
            return []
        # Waiting for an engine with a copy of the weights is faster than a
        # load from the weight store, so if there are any, only these count.
        copies = list(filter(candidate.fits, self._index.disks_with(name)))
        if not copies and not (
            candidate.is_worth_cold_load()
            and self._may_load_cold(candidate, now)
        ):
            return []
        placements = [
            placement
            for engine in copies or self._index.usable
            if engine.order is None
            and candidate.fits(engine)
            and not engine.assigned_model
            and name not in engine.adapters_by_model
            for placement in self._placements(engine, candidate, now)
        ]
        if not placements:
            return []
        best = min(placements, key=lambda placement: placement.cost)
        best.engine.draining_models.update(best.victims)
        best.engine.assigned_model = name
        best.engine.assigned_at = now
        if best.engine.is_cold(name):
            self._spares.was_last_spare = candidate.is_spare
        self._index.pending_models.add(name)
        return list(self._next_step(best.engine, now))

    def _placements(
        self,
        engine: EngineState,
        candidate: _LoadCandidate,
        now: float,
    ) -> Iterable[_Placement]:
        model = self.spec.models_by_name[candidate.model]
        load_seconds = self.load_seconds(engine, model)
        if engine.is_cold(model.name):
            # The load also delays all other models and adapters that need this
            # engine, and may evict the only copy of a model from its disk.
            load_seconds *= (
                1
                + self._waiting_share_by_id.get(engine.target_id, 0)
                + self._index.only_copy_risk(engine)
                + self.adapter_demand.delayed_adapters(
                    engine,
                    self._index,
                    self.spec,
                    load_seconds,
                    now,
                    is_known=self.rates.is_established(now),
                )
            )
        if engine.is_limited:
            load_seconds += _LIMITED_DELAY_SECONDS
        if candidate.is_spare and self._index.is_copy_in_zone(engine, model):
            load_seconds += model.cold_seconds
        further = candidate.further
        if further is not None:
            load_seconds += spread_seconds(
                further,
                engine,
                self._index.load_by_id[engine.target_id],
                self.spec.slots,
            )
        if math.isinf(load_seconds):
            return
        if self._has_room(engine, model):
            yield _Placement(engine, (), load_seconds)
            return
        cost_by_name = {
            name: self._eviction_cost(engine, name, candidate, now)
            for name in engine.adapters_by_model
        }
        victims = cheapest_victims(
            cost_by_name,
            lambda without: self._has_room(engine, model, without),
        )
        gain = further.gain if further else candidate.benefit
        if victims and not (
            candidate.scales_up
            and costs_more(
                victims,
                gain,
                self._index,
                self.rates,
                now,
                is_overloaded=further is None,
            )
        ):
            cost = sum(cost_by_name[name] for name in victims)
            if further is not None:
                cost += EVICTION_SECONDS
            yield _Placement(engine, victims, load_seconds + cost)

    def _eviction_cost(
        self,
        engine: EngineState,
        name: str,
        candidate: _LoadCandidate,
        now: float,
    ) -> float:
        others = len(self._index.offering(name)) - int(engine.offers(name))
        loaded_at = engine.loaded_at_by_model.get(name, -math.inf)
        if now - loaded_at < _MIN_RESIDENCE_SECONDS:
            return math.inf
        if name in self._waiting_models and not others:
            return math.inf
        running = engine.running[name]
        run_cost = MEAN_RUN_SECONDS if running else 0
        if others and not self.rates.is_established(now):
            return math.inf
        if candidate.further and self.busy_models.keeps(name, others + 1):
            return math.inf
        limit = self._scale_up_threshold() * _SCALE_DOWN_SHARE
        if self._index.others_have_room(engine, name, limit):
            # Also a replica that a busy model should have: models without any
            # would wait for as long as it is busy.
            return run_cost + _SURPLUS_REPLICA_COST
        if running >= max(candidate.count - 1, 1):
            # Evicting it would wait for its requests. The first model that
            # becomes idle is evicted instead, and the engine can execute other
            # orders until then.
            return math.inf
        return run_cost + self.rates.rate(name, now) * _RELOAD_DELAY_SECONDS

    def _has_room(
        self,
        engine: EngineState,
        model: ModelSpec,
        without: Collection[str] = (),
    ) -> bool:
        used = sum(
            self._size(name, len(adapters))
            for name, adapters in engine.adapters_by_model.items()
            if name not in without
        )
        return used + model.size <= self.spec.weights_memory

    def _size(self, name: str, adapters: int) -> float:
        model = self.spec.models_by_name.get(name)
        if model is None:
            # The size of a model that was removed from the configuration is
            # unknown, so nothing is loaded beside it.
            return self.spec.weights_memory
        return model.size + adapters * model.adapter_size

    def _may_load_cold(self, candidate: _LoadCandidate, now: float) -> bool:
        if not candidate.count and self._missing.waiting:
            # A load for an additional replica would serve no other model.
            if not candidate.is_spare or not self._spares.may_load():
                return False
        if now < self._returns_until_by_model.get(candidate.model, now):
            return False
        if candidate.model in self.earlier_loads:
            return False
        if candidate.count and not self.turns.serves_any(candidate.claim()):
            return False
        open_seconds = now - self._surveys_open_since
        if 0 <= open_seconds < _SURVEY_SECONDS:
            # An engine that is about to answer may have a copy.
            return False
        # A lost load slows down the store, but occupies no engine.
        engines = self.engines_by_id.values()
        return (
            count_cold_loads(self._lost_loads.without_silent(engines))
            < self._max_cold_loads(candidate.benefit, now)
            and self._lost_loads.count(engines) < self.cold_loads.store_limit
            and self.cold_loads.may_start(self.spec.loads_per_second, now)
        )

    def _max_cold_loads(self, benefit: float, now: float) -> int:
        most = max_cold_loads(
            len(self._index.usable), benefit, self.rates.is_idle(now)
        )
        return min(most, self.cold_loads.store_limit)

    def _drain_surplus(self, now: float) -> None:
        """Stop offering one replica of each model with surplus replicas."""
        for name in self._index.holding_by_model:
            replicas = self._index.offering(name)
            if len(replicas) < 2 or name in self._waiting_models:
                continue
            engine = _least_needed(
                self.busy_models.removable(name, replicas, now),
                name,
                self._waiting_share_by_id,
            )
            if self._is_surplus(engine, name):
                engine.draining_models.add(name)

    def _is_surplus(self, engine: EngineState, name: str) -> bool:
        """Return whether a model needs neither the replica nor its room."""
        count = len(self._index.offering(name))
        if engine.offers(name) and self.busy_models.keeps(name, count):
            return False
        return self._index.others_have_room(
            engine, name, self._scale_up_threshold() * _SCALE_DOWN_SHARE
        )

    def _preload_missing(self, now: float) -> list[EngineOrder]:
        """Load models without a copy on any engine while there is no demand.

        Once there are requests, such a load would take longer than they can
        wait and would block all other orders of its engine.
        """
        orders: list[EngineOrder] = []
        if now - self._engines_stable_since < _STABLE_ENGINES_SECONDS:
            return orders
        for name in self.spec.models_by_name:
            if self._index.is_missing(name):
                orders.extend(self._assign_engine(_LoadCandidate(name), now))
        return orders


def _release_assigned(engines: Iterable[EngineState]) -> None:
    """Let other engines load what is assigned to engines now unusable.

    Such a load would keep its turn at the weight store until they are back.
    """
    for engine in engines:
        if not engine.is_usable():
            engine.assigned_model = ''


def _outwaits_load(spec: EngineSpec, demand: GroupDemand, now: float) -> bool:
    model = spec.models_by_name.get(demand.model)
    if model is None:
        return False
    leaves_at = demand.gives_up_at + _SECOND_WAIT_SECONDS
    return leaves_at >= now + model.cold_seconds


def _callers(groups: Iterable[GroupDemand]) -> list[WaitingCallers]:
    return [
        WaitingCallers(one.model, one.count, one.since, one.gives_up_at)
        for one in groups
    ]


def _longest_cold_seconds(spec: EngineSpec) -> float:
    models = spec.models_by_name.values()
    return max((model.cold_seconds for model in models), default=0)


def _without_limit(engines: list[EngineState]) -> list[EngineState]:
    return [engine for engine in engines if not engine.is_limited]


def _spare_candidates(
    lost_by_model: Mapping[str, float],
) -> list[_LoadCandidate]:
    """Return models in use whose only copy is lost with one engine."""
    return [
        _LoadCandidate(name, benefit=lost, is_spare=True)
        for name, lost in lost_by_model.items()
    ]


def _further_candidates(
    demands: Iterable[ReplicaDemand],
    scale_up: Iterable[_LoadCandidate],
) -> list[_LoadCandidate]:
    """Return busy models that should get one more replica.

    Models above the scale-up threshold are among them with the same benefit, so
    that a replica in the right zone is tried before one on any engine.
    """
    benefits = {candidate.model: candidate.benefit for candidate in scale_up}
    return [
        _LoadCandidate(
            demand.model,
            benefit=max(demand.gain, benefits.get(demand.model, 0)),
            scales_up=True,
            further=demand,
        )
        for demand in demands
    ]


def _limited_candidates(
    groups: list[GroupDemand], index: EngineIndex
) -> list[_LoadCandidate]:
    """Return models whose requests wait for engines that named a limit."""
    counts: Counter[str] = Counter()
    for group in groups:
        counts[group.model] += group.count
    return [
        _LoadCandidate(model, benefit=count)
        for model, count in sorted(counts.items())
        if (offering := index.offering(model)) and not _without_limit(offering)
    ]


def _least_needed(
    replicas: list[EngineState],
    name: str,
    waiting_share_by_id: Mapping[str, float],
) -> EngineState:
    # Memory is most needed on the engine that the most models wait for.
    return max(
        replicas,
        key=lambda replica: (
            waiting_share_by_id.get(replica.target_id, 0),
            -replica.running[name],
        ),
    )
