"""Places adapters on the engines that hold their base model.

Designed for workloads in which requests for one busy model use many more
adapters than its engines have slots for. The least recently used adapter is
evicted, but never one that has just been loaded.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from cowsliprack.coordination.cold_loads import is_loading_cold
from cowsliprack.coordination.demand_rates import DemandRates
from cowsliprack.coordination.engine_index import EngineIndex
from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.engine_state import EngineOrder, EngineState
from cowsliprack.state.routing_table import EngineSpec

# Seconds for which an adapter can't be evicted after its load or last request,
# so that the requests that waited for it can start.
_MIN_RESIDENCE_SECONDS = 0.3


@dataclass(slots=True)
class AdapterDemand:
    """Estimates which adapters an engine has to load soon.

    :param load_rates: adapters loaded per second, by model.
    """

    load_rates: DemandRates = field(default_factory=DemandRates)

    def record(self, order: EngineOrder, now: float) -> None:
        """Count an order that loads an adapter; others are ignored.

        :param order: an order for an engine.
        :param now: seconds.
        """
        if order.adapter and order.kind is OrderKind.load:
            self.load_rates.add(order.model, 1, now)

    def delayed_adapters(
        self,
        engine: EngineState,
        index: EngineIndex,
        spec: EngineSpec,
        seconds: float,
        now: float,
        *,
        is_known: bool,
    ) -> float:
        """Return how many adapters wait if an engine is busy for some time.

        Adapters that another engine can load meanwhile don't count.

        :param engine: the engine that would carry out another order.
        :param index: all engines of the service.
        :param spec: their capacity.
        :param seconds: duration of that order.
        :param now: seconds.
        :param is_known: whether demand has been observed for long enough;
            until then one adapter is expected of each model.
        """
        count: float = 0
        for name, loaded in engine.adapters_by_model.items():
            model = spec.models_by_name.get(name)
            if model is None or _others_load(engine, index, name):
                continue
            expected = (
                self.load_rates.rate(name, now) * seconds if is_known else 1
            )
            count += min(expected, max(model.adapters - len(loaded), 0))
        return count


def plan_adapter(
    replicas: list[EngineState],
    model: str,
    adapter: str,
    adapter_slots: int,
    now: float,
) -> EngineOrder | None:
    """Return the next order needed to load an adapter, if any.

    The order is recorded as in progress on its engine.

    :param replicas: engines that offer the model.
    :param model: its name.
    :param adapter: its name; if empty, no order is needed.
    :param adapter_slots: maximum number of adapters on an engine.
    :param now: seconds.
    """
    if not adapter or _is_available(replicas, model, adapter):
        return None
    idle = [engine for engine in replicas if engine.order is None]
    if not idle:
        return None
    engine = min(idle, key=EngineState.adapter_count)
    if engine.adapter_count() < adapter_slots:
        engine.order = EngineOrder(
            engine.target_id,
            OrderKind.load,
            model,
            adapter,
        )
        return engine.order
    return _evict_least_recently_used(idle, now)


def _others_load(engine: EngineState, index: EngineIndex, model: str) -> bool:
    return any(
        other is not engine and not is_loading_cold(other)
        for other in index.offering(model)
    )


def _is_available(
    replicas: list[EngineState],
    model: str,
    adapter: str,
) -> bool:
    for engine in replicas:
        if adapter in engine.adapters_by_model[model]:
            return True
        if engine.order is not None and engine.order.adapter == adapter:
            return True
    return False


def _evict_least_recently_used(
    engines: list[EngineState],
    now: float,
) -> EngineOrder | None:
    unused = [
        (used_at, engine.target_id, name)
        for engine in engines
        for name, used_at in _unused_adapters(engine, now)
    ]
    if not unused:
        return None
    _, target_id, name = min(unused)
    model, _, adapter = name.partition('/')
    order = EngineOrder(target_id, OrderKind.unload, model, adapter)
    for engine in engines:
        if engine.target_id == target_id:
            engine.order = order
    return order


def _unused_adapters(
    engine: EngineState,
    now: float,
) -> Iterable[tuple[str, float]]:
    """Yield adapters without running requests and when they were last used."""
    for model, adapters in engine.adapters_by_model.items():
        for adapter in adapters:
            name = f'{model}/{adapter}'
            used_at = engine.used_at_by_name.get(name, -math.inf)
            settled = now - used_at > _MIN_RESIDENCE_SECONDS
            if settled and not engine.running[name]:
                yield name, used_at
