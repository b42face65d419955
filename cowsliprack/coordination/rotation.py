"""Which models the engines of a service hold, and what is loaded next.

Answers the load in which many rare models, each asked for every few seconds,
share few places in engine memory beside some busy models. Requests for one
model are served together, the group that misses its latency target first goes
first, and a place is taken from the model whose absence costs least.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from cowsliprack.coordination.adapter_places import plan_adapter
from cowsliprack.coordination.demand_rates import DemandRates
from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.engine_state import EngineOrder, EngineState
from cowsliprack.state.routing_table import EngineSpec, ModelSpec

# Requests that one replica of a busy model runs at once before a further one
# is worth a place: a count, and a part of the engine's slots.
_COMFORTABLE_RUNNING = 14
_COMFORTABLE_SHARE = 0.4
# A replica is given up when the others would run less than this part of what
# is comfortable; hysteresis against loading and unloading by turns.
_SURPLUS_SHARE = 0.7
# Seconds for which a model stays after its load, so that the requests that
# waited for it can begin.
_SETTLE_SECONDS = 0.3
# Seconds that running requests of a model take to end, on average.
_RUN_SECONDS = 1.5
# Seconds by which each request for a model that was unloaded is delayed.
_ABSENCE_SECONDS = 0.8
# Cost of a replica that is not needed; below that of any model's absence.
_SURPLUS_COST = 0.01
# Part of the engines that may load from the weight store at the same time;
# such a load blocks further orders to its engine for seconds.
_COLD_SHARE = 0.34
# Seconds over which the limit of loads from the weight store is kept.
_COLD_WINDOW_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class GroupDemand:
    """Requests of all instances that wait for one model and adapter.

    :param target_at: when the most urgent one misses its latency target.
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


@dataclass(frozen=True, slots=True)
class _Wish:
    """A model to load.

    :param count: requests that wait for it; 0 for a further replica.
    """

    model: str
    count: int = 0


@dataclass(frozen=True, slots=True)
class _Choice:
    """A way to make room for a model.

    :param cost: seconds that it takes, and what the victims' absence costs.
    """

    engine: EngineState
    victims: tuple[str, ...]
    is_cold: bool
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
    _cold_starts: list[float] = field(default_factory=list)
    # Tables of one plan.
    _plannable: list[EngineState] = field(default_factory=list)
    _running_by_model: Counter[str] = field(default_factory=Counter)
    _holding_by_model: defaultdict[str, list[EngineState]] = field(
        default_factory=lambda: defaultdict(list),
    )
    _copies_by_model: defaultdict[str, list[EngineState]] = field(
        default_factory=lambda: defaultdict(list),
    )
    _coming: set[str] = field(default_factory=set)

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
        self._index()
        orders = self._continue_assigned(now)
        wanted = sorted(groups, key=lambda group: _urgency(group, now))
        waiting = {group.model for group in wanted}
        self._close_surplus(waiting)
        for group in wanted:
            orders.extend(self._serve(group, waiting, now))
        for model in self._crowded():
            orders.extend(self._make_room(_Wish(model), waiting, now))
        return orders

    def replicas(self, model: str) -> list[EngineState]:
        """Return the engines that offer a model.

        :param model: its name.
        """
        return [engine for engine in self._usable() if engine.offers(model)]

    def running(self, model: str) -> int:
        """Return the requests for a model under way on all engines.

        :param model: its name.
        """
        return self._running_by_model.get(model, 0)

    def needed_replicas(self, model: str) -> int:
        """Return how many engines should offer a model.

        :param model: its name.
        """
        return max(1, math.ceil(self.running(model) / self._comfortable()))

    def load_seconds(self, engine: EngineState, model: ModelSpec) -> float:
        """Return how long an engine takes to load a model.

        :param engine: that loads it.
        :param model: to load.
        """
        if model.name in engine.record.in_memory:
            return model.warm_seconds
        if model.name in engine.record.on_disk:
            return model.disk_seconds
        return model.cold_seconds

    def _index(self) -> None:
        """Look once at each engine, so that a plan need not for each model."""
        self._plannable = self._usable()
        self._running_by_model = Counter()
        self._holding_by_model = defaultdict(list)
        self._copies_by_model = defaultdict(list)
        self._coming = set()
        for engine in self.engines_by_id.values():
            self._running_by_model.update(engine.running)
        for engine in self._plannable:
            self._coming.update({engine.assigned, engine.loading()})
            for name in engine.adapters_by_model:
                self._holding_by_model[name].append(engine)
            for name in engine.record.in_memory | engine.record.on_disk:
                self._copies_by_model[name].append(engine)

    def _usable(self) -> list[EngineState]:
        return [
            engine
            for engine in self.engines_by_id.values()
            if engine.is_usable()
        ]

    def _offering(self, model: str) -> list[EngineState]:
        return [
            engine
            for engine in self._holding_by_model[model]
            if model not in engine.closing
        ]

    def _comfortable(self) -> float:
        share = self.spec.slots * _COMFORTABLE_SHARE
        return min(_COMFORTABLE_RUNNING, share)

    def _continue_assigned(self, now: float) -> list[EngineOrder]:
        orders = []
        for engine in self._plannable:
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
        if victim and engine.running[victim]:
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
        adapter: str = '',
    ) -> EngineOrder:
        order = EngineOrder(engine.target_id, kind, model, adapter)
        engine.order = order
        if kind is OrderKind.load and not adapter:
            engine.assigned = ''
            if self._is_cold(engine, model):
                self._cold_starts.append(now)
        return order

    def _is_cold(self, engine: EngineState, model: str) -> bool:
        record = engine.record
        return model not in record.in_memory and model not in record.on_disk

    def _serve(
        self,
        group: GroupDemand,
        waiting: set[str],
        now: float,
    ) -> list[EngineOrder]:
        replicas = self._offering(group.model)
        if replicas:
            order = plan_adapter(
                replicas,
                group.model,
                group.adapter,
                self.spec.adapter_slots,
                now,
            )
            return [order] if order else []
        if self._reopen(group.model) or group.model in self._coming:
            return []
        wish = _Wish(group.model, group.count)
        return self._make_room(wish, waiting, now)

    def _reopen(self, model: str) -> bool:
        """Offer a model again that has not been unloaded yet."""
        for engine in self._holding_by_model[model]:
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
        waiting: set[str],
        now: float,
    ) -> list[EngineOrder]:
        name = wish.model
        model = self.spec.models_by_name.get(name)
        if model is None:
            return []
        # An engine with a copy of the weights will be free sooner than a load
        # from the weight store ends, so only such engines are looked at.
        choices = [
            choice
            for engine in self._copies_by_model[name] or self._plannable
            if engine.order is None
            and not engine.assigned
            and name not in engine.adapters_by_model
            for choice in self._choices(engine, wish, waiting, now)
        ]
        if not choices:
            return []
        best = min(choices, key=lambda choice: choice.cost)
        if best.is_cold and not self._may_load_cold(now):
            return []
        best.engine.closing.update(best.victims)
        best.engine.assigned = name
        self._coming.add(name)
        return list(self._next_step(best.engine, now))

    def _choices(
        self,
        engine: EngineState,
        wish: _Wish,
        waiting: set[str],
        now: float,
    ) -> Iterable[_Choice]:
        model = self.spec.models_by_name[wish.model]
        load_seconds = self.load_seconds(engine, model)
        is_cold = self._is_cold(engine, model.name)
        if self._has_room(engine, model):
            yield _Choice(engine, (), is_cold, load_seconds)
            return
        for name in engine.adapters_by_model:
            cost = self._eviction_cost(engine, name, wish, waiting, now)
            if math.isfinite(cost) and self._has_room(engine, model, name):
                yield _Choice(engine, (name,), is_cold, load_seconds + cost)

    def _eviction_cost(
        self,
        engine: EngineState,
        name: str,
        wish: _Wish,
        waiting: set[str],
        now: float,
    ) -> float:
        others = len(self._offering(name)) - int(engine.offers(name))
        loaded_at = engine.loaded_at_by_model.get(name, -math.inf)
        if now - loaded_at < _SETTLE_SECONDS:
            return math.inf
        if name in waiting and not others:
            return math.inf
        running = engine.running[name]
        run_cost = _RUN_SECONDS if running else 0
        if others >= self.needed_replicas(name):
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

    def _may_load_cold(self, now: float) -> bool:
        since = now - _COLD_WINDOW_SECONDS
        self._cold_starts = [at for at in self._cold_starts if at > since]
        limit = self.spec.loads_per_second * _COLD_WINDOW_SECONDS
        loading = sum(
            bool(engine.loading()) and self._is_cold(engine, engine.loading())
            for engine in self._plannable
        )
        most = max(1, len(self._plannable) * _COLD_SHARE)
        return len(self._cold_starts) < limit and loading < most

    def _close_surplus(self, waiting: set[str]) -> None:
        """Empty one replica of each model that has more than it needs."""
        limit = self._comfortable() * _SURPLUS_SHARE
        for name in self._holding_by_model:
            replicas = self._offering(name)
            if len(replicas) < 2 or name in waiting:
                continue
            if self.running(name) < limit * (len(replicas) - 1):
                _least_used(replicas, name).closing.add(name)

    def _crowded(self) -> list[str]:
        """Return models whose replicas run more than is comfortable."""
        return [
            name
            for name in sorted(self._running_by_model)
            if self._is_crowded(name)
            and name not in self._coming
            and not self._reopen(name)
        ]

    def _is_crowded(self, model: str) -> bool:
        # A model that makes way for another one is crowded by its last
        # requests; who still wants it waits and has it offered again.
        replicas = len(self._offering(model))
        return 0 < replicas * self._comfortable() < self.running(model)


def _least_used(engines: list[EngineState], model: str) -> EngineState:
    return min(engines, key=lambda engine: engine.running[model])


def _urgency(group: GroupDemand, now: float) -> tuple[bool, float]:
    """Sort groups that can meet their latency target before late ones."""
    is_late = group.target_at <= now
    return is_late, group.since if is_late else group.target_at
