"""Which models the engines of a service hold, and what is loaded next.

Answers the load in which many rare models, each asked for every few seconds,
share few places in engine memory beside some busy models. Requests for one
model are served together, the model whose load serves most requests in time
goes first, and a place is taken from the model whose absence costs least.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cowsliprack.coordination.adapter_places import plan_adapter
from cowsliprack.coordination.cold_loads import ColdLoadLimit, max_cold_loads
from cowsliprack.coordination.demand_rates import DemandRates
from cowsliprack.coordination.engine_index import EngineIndex, index_engines
from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.engine_state import EngineOrder, EngineState
from cowsliprack.state.routing_table import EngineSpec, ModelSpec

# Requests that one replica of a busy model runs at once before a further one
# is worth a place: a count, and a part of the engine's slots. A step of an
# engine takes about 0.5% longer for each request that it runs.
_COMFORTABLE_RUNNING = 28
_COMFORTABLE_SHARE = 0.6
# A replica is given up when the others would run less than this part of what
# is comfortable; hysteresis against loading and unloading by turns.
_SURPLUS_SHARE = 0.7
# Seconds for which a model stays after its load, so that the requests that
# waited for it can begin.
_SETTLE_SECONDS = 0.3
# Seconds until all instances know that a model gets no new requests, and the
# leader knows of those that were on their way: two messages and the time for
# which changes are gathered.
_TOLD_SECONDS = 0.02
# Seconds that running requests of a model take to end, on average.
_RUN_SECONDS = 1.5
# Seconds by which each request for a model that was unloaded is delayed.
_ABSENCE_SECONDS = 0.8
# What a request that has missed its latency target counts beside one that can
# be served in time.
_LATE_WEIGHT = 0.2
# Seconds of arrivals that count for a model like requests that wait in time.
_ARRIVAL_SECONDS = 1.0
# Cost of a replica that is not needed; below that of any model's absence.
_SURPLUS_COST = 0.01
# Seconds for which the engines must have been the same before models that lie
# on none of them are loaded; longer than engines take to register anew.
_SAME_ENGINES_SECONDS = 1.3


@dataclass(frozen=True, slots=True)
class GroupDemand:
    """Requests of all instances that wait for one model and adapter.

    :param late: those of them that have missed their latency target.
    :param target_at: when the next one misses it.
    :param gives_up_at: when the last one gives up.
    :param since: since when the oldest one waits.
    """

    service: str
    model: str
    adapter: str
    count: int
    target_at: float
    gives_up_at: float
    since: float
    late: int = 0


@dataclass(frozen=True, slots=True)
class _Wish:
    """A model to load, or an adapter of a model that is offered.

    :param count: requests that wait for it; 0 for a further replica.
    :param worth: requests that are served in time if it is loaded now.
    :param target_at: when the next of them misses its latency target.
    """

    model: str
    count: int = 0
    adapter: str = ''
    worth: float = 0
    target_at: float = math.inf


@dataclass(frozen=True, slots=True)
class _Choice:
    """A way to make room for a model.

    :param cost: seconds that it takes, and what the victims' absence costs.
    """

    engine: EngineState
    victims: tuple[str, ...]
    cost: float


@dataclass(slots=True)
class Rotation:
    """Decides on orders from demand and from what engines hold.

    :param engines_by_id: state of each engine of one service.
    :param rates: requests a second by model.
    """

    spec: EngineSpec
    rates: DemandRates = field(default_factory=DemandRates)
    engines_by_id: dict[str, EngineState] = field(default_factory=dict)
    _cold: ColdLoadLimit = field(default_factory=ColdLoadLimit)
    _engine_ids: frozenset[str] = frozenset()
    _same_since: float = 0
    # Tables of one plan.
    _index: EngineIndex = field(default_factory=EngineIndex)
    _waiting: set[str] = field(default_factory=set)
    _waiting_by_id: dict[str, float] = field(default_factory=dict)

    def plan(
        self,
        groups: Iterable[GroupDemand],
        now: float,
    ) -> list[EngineOrder]:
        """Return the orders to send now; each engine gets at most one.

        The orders count as under way from now on.

        :param groups: what waits.
        :param now: seconds.
        """
        found = list(groups)
        self._look(found, now)
        orders = self._continue_assigned(now)
        if self.rates.is_established(now):
            self._close_surplus()
        wishes = [*self._wishes(found, now), *self._crowded()]
        wishes.sort(key=lambda wanted: (-wanted.worth, wanted.target_at))
        for wish in wishes:
            orders.extend(self._grant(wish, now))
        if not found and self.rates.is_idle(now):
            orders.extend(self._load_missing(now))
        return orders

    def replicas(self, model: str) -> list[EngineState]:
        """Return the engines that offer a model.

        :param model: its name.
        """
        return [
            engine
            for engine in self.engines_by_id.values()
            if engine.is_usable() and engine.offers(model)
        ]

    def running(self, model: str) -> int:
        """Return the requests for a model under way on all engines.

        :param model: its name.
        """
        return self._index.running_by_model[model]

    def load_seconds(self, engine: EngineState, model: ModelSpec) -> float:
        """Return how long an engine takes to load a model.

        :param engine: that loads it.
        :param model: to load.
        """
        if self.is_cold(engine, model.name):
            return model.cold_seconds
        # What the entry says of copies in memory is old by now: the unload
        # that makes room puts another model there.
        return max(model.disk_seconds, model.warm_seconds)

    def is_cold(self, engine: EngineState, model: str) -> bool:
        """Return whether an engine must load a model from the weight store.

        :param engine: that loads it.
        :param model: its name.
        """
        record = engine.record
        return model not in record.in_memory and model not in record.on_disk

    def end_cold_load(self, model: ModelSpec, seconds: float) -> None:
        """Learn how many loads at a time the weight store serves well.

        :param model: that was loaded.
        :param seconds: that it took.
        """
        at_once = self._cold_loads() + 1
        self._cold.record_end(at_once, seconds / model.cold_seconds)

    def _look(self, groups: list[GroupDemand], now: float) -> None:
        """Look once at each engine, so that a plan need not for each model."""
        self._index = index_engines(self.engines_by_id.values())
        self._waiting = {group.model for group in groups}
        self._waiting_by_id = self._index.shares_of_waiting(self._waiting)
        engine_ids = frozenset(self._index.load_by_id)
        if engine_ids != self._engine_ids:
            self._engine_ids = engine_ids
            self._same_since = now
        self.rates.update_idle(now)

    def _comfortable(self) -> float:
        share = self.spec.slots * _COMFORTABLE_SHARE
        return min(_COMFORTABLE_RUNNING, share)

    def _wishes(
        self,
        groups: list[GroupDemand],
        now: float,
    ) -> list[_Wish]:
        """Return what waits, with the requests that a load serves in time.

        Requests that will come soon count as well: otherwise a model that many
        ask for is never loaded once its first requests are late.
        """
        worth_by_model: dict[str, float] = {}
        for group in groups:
            worth = worth_by_model.get(group.model)
            if worth is None:
                worth = self.rates.rate(group.model, now) * _ARRIVAL_SECONDS
            worth += group.count - group.late * (1 - _LATE_WEIGHT)
            worth_by_model[group.model] = worth
        return [
            _Wish(
                waiting.model,
                waiting.count,
                waiting.adapter,
                worth_by_model[waiting.model],
                waiting.target_at,
            )
            for waiting in groups
        ]

    def _crowded(self) -> list[_Wish]:
        """Return models whose engines run more than is comfortable.

        The requests above that wait within the engine; they count like those
        that wait for a load.
        """
        wishes = []
        comfortable = self._comfortable()
        for model in sorted(self._index.running_by_model):
            loads = [
                self._index.load_by_id[engine.target_id]
                for engine in self._index.offering(model)
            ]
            # A model that makes way for another one is crowded by its last
            # requests; who still wants it waits and has it offered again.
            excess = min(loads, default=0) - comfortable
            if excess > 0:
                worth = min(excess * len(loads), self.running(model))
                wishes.append(_Wish(model, worth=worth))
        return wishes

    def _grant(self, wish: _Wish, now: float) -> list[EngineOrder]:
        """Return the orders that serve a wish, as far as there are places."""
        offering = self._index.offering(wish.model)
        if wish.count and offering:
            order = plan_adapter(
                offering,
                wish.model,
                wish.adapter,
                self.spec.adapter_slots,
                now,
            )
            return [order] if order else []
        if self._reopen(wish.model) or wish.model in self._index.coming:
            return []
        return self._make_room(wish, now)

    def _continue_assigned(self, now: float) -> list[EngineOrder]:
        orders = []
        for engine in self._index.usable:
            if engine.assigned and engine.order is None:
                orders.extend(self._next_step(engine, now))
        return orders

    def _next_step(
        self,
        engine: EngineState,
        now: float,
    ) -> Iterable[EngineOrder]:
        """Make room for the model that an engine is to load, or load it."""
        model = self.spec.models_by_name.get(engine.assigned)
        if model is None:
            engine.assigned = ''
            return
        victim = self._next_victim(engine, model)
        is_told = now - engine.assigned_at >= _TOLD_SECONDS
        if victim and (engine.running[victim] or not is_told):
            # An unload would wait for its requests and keep the engine from
            # carrying out other orders, such as loads of adapters.
            return
        if victim:
            yield self._issue(engine, OrderKind.unload, victim, now)
        elif self._has_room(engine, model):
            yield self._issue(engine, OrderKind.load, model.name, now)
        else:
            engine.assigned = ''

    def _next_victim(self, engine: EngineState, model: ModelSpec) -> str:
        if self._has_room(engine, model):
            return ''
        for name in sorted(engine.closing, key=engine.running.__getitem__):
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
        if kind is OrderKind.load:
            engine.assigned = ''
            if self.is_cold(engine, model):
                self._cold.starts.append(now)
        return order

    def _reopen(self, model: str) -> bool:
        """Offer a model again that has not been unloaded yet."""
        for engine in self._index.holding_by_model[model]:
            unloading = engine.order is not None and (
                engine.order.model == model and not engine.order.adapter
            )
            if model in engine.closing and not unloading:
                engine.closing.discard(model)
                return True
        return False

    def _make_room(
        self,
        wish: _Wish,
        now: float,
    ) -> list[EngineOrder]:
        name = wish.model
        model = self.spec.models_by_name.get(name)
        if model is None:
            return []
        # An engine with a copy of the weights will be free sooner than a load
        # from the weight store ends, so only such engines are looked at.
        copies = [
            engine
            for engine in self._index.copies_by_model[name]
            if name not in engine.adapters_by_model
        ]
        if not copies and not self._may_load_cold(wish, now):
            return []
        choices = [
            choice
            for engine in copies or self._index.usable
            if engine.order is None
            and not engine.assigned
            and name not in engine.adapters_by_model
            for choice in self._choices(engine, wish, now)
        ]
        if not choices:
            return []
        best = min(choices, key=lambda choice: choice.cost)
        best.engine.closing.update(best.victims)
        best.engine.assigned = name
        best.engine.assigned_at = now
        self._index.coming.add(name)
        return list(self._next_step(best.engine, now))

    def _choices(
        self,
        engine: EngineState,
        wish: _Wish,
        now: float,
    ) -> Iterable[_Choice]:
        model = self.spec.models_by_name[wish.model]
        load_seconds = self.load_seconds(engine, model)
        if self.is_cold(engine, model.name):
            # All that waits for this engine waits for that long.
            load_seconds *= 1 + self._waiting_by_id.get(engine.target_id, 0)
        if self._has_room(engine, model):
            yield _Choice(engine, (), load_seconds)
            return
        for name in engine.adapters_by_model:
            cost = self._eviction_cost(engine, name, wish, now)
            if math.isfinite(cost) and self._has_room(engine, model, name):
                yield _Choice(engine, (name,), load_seconds + cost)

    def _eviction_cost(
        self,
        engine: EngineState,
        name: str,
        wish: _Wish,
        now: float,
    ) -> float:
        others = len(self._index.offering(name)) - int(engine.offers(name))
        loaded_at = engine.loaded_at_by_model.get(name, -math.inf)
        if now - loaded_at < _SETTLE_SECONDS:
            return math.inf
        if name in self._waiting and not others:
            return math.inf
        running = engine.running[name]
        run_cost = _RUN_SECONDS if running else 0
        if others and not self.rates.is_established(now):
            return math.inf
        if self._is_surplus(engine, name):
            return run_cost + _SURPLUS_COST
        if running >= max(wish.count - 1, 1):
            # Whichever place falls idle first is taken then; until then the
            # engine can carry out other orders.
            return math.inf
        return run_cost + self.rates.rate(name, now) * _ABSENCE_SECONDS

    def _has_room(
        self,
        engine: EngineState,
        model: ModelSpec,
        without: str = '',
    ) -> bool:
        used = sum(
            self._size(name, len(adapters))
            for name, adapters in engine.adapters_by_model.items()
            if name != without
        )
        return used + model.size <= self.spec.weights_size

    def _size(self, name: str, adapters: int) -> float:
        model = self.spec.models_by_name.get(name)
        if model is None:
            # A model that the configuration no longer names takes an unknown
            # amount; nothing is loaded beside it.
            return self.spec.weights_size
        return model.size + adapters * model.adapter_size

    def _cold_loads(self) -> int:
        """Return the loads from the weight store that run or are prepared."""
        return sum(
            bool(name) and self.is_cold(engine, name)
            for engine in self.engines_by_id.values()
            for name in (engine.assigned or engine.loading(),)
        )

    def _may_load_cold(self, wish: _Wish, now: float) -> bool:
        engines = len(self._index.usable)
        most = max_cold_loads(engines, wish.worth, self.rates.is_idle(now))
        return self._cold_loads() < min(most, self._cold.store_limit) and (
            self._cold.may_start(self.spec.loads_per_second, now)
        )

    def _close_surplus(self) -> None:
        """Empty one replica of each model that has more than it needs."""
        for name in self._index.holding_by_model:
            replicas = self._index.offering(name)
            if len(replicas) < 2 or name in self._waiting:
                continue
            engine = _least_needed(replicas, name, self._waiting_by_id)
            if self._is_surplus(engine, name):
                engine.closing.add(name)

    def _is_surplus(self, engine: EngineState, name: str) -> bool:
        """Return whether the other replicas can run what one runs."""
        limit = self._comfortable() * _SURPLUS_SHARE
        room = [
            limit - self._index.load_by_id[other.target_id]
            for other in self._index.offering(name)
            if other is not engine
        ]
        return bool(room) and engine.running[name] <= sum(room)

    def _load_missing(self, now: float) -> list[EngineOrder]:
        """Load models that lie on no engine while there is time for it.

        Once requests come, such a load would take longer than they wait and
        keep an engine from all other orders.
        """
        orders: list[EngineOrder] = []
        if now - self._same_since < _SAME_ENGINES_SECONDS:
            return orders
        for name in self.spec.models_by_name:
            if self._index.is_missing(name):
                orders.extend(self._make_room(_Wish(name), now))
        return orders


def _least_needed(
    replicas: list[EngineState],
    name: str,
    waiting_by_id: Mapping[str, float],
) -> EngineState:
    # A place is worth most where most models wait for one.
    return max(
        replicas,
        key=lambda replica: (
            waiting_by_id.get(replica.target_id, 0),
            -replica.running[name],
        ),
    )
