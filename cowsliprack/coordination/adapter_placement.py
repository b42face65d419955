"""Which adapter is loaded on which engine that holds its model.

Answers the load in which requests of one busy model ask for many more adapters
than its engines have places for: the adapter that has been unused for longest
makes way, never one that was loaded a moment ago.
"""

import math
from collections.abc import Iterable

from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.engine_state import EngineOrder, EngineState

# Seconds for which an adapter stays after its load or last request, so that
# the requests that waited for it can begin.
_MIN_RESIDENCE_SECONDS = 0.3


def plan_adapter(
    replicas: list[EngineState],
    model: str,
    adapter: str,
    adapter_slots: int,
    now: float,
) -> EngineOrder | None:
    """Return the next order that brings an adapter to an engine, if any.

    The order counts as under way from now on.

    :param replicas: engines that offer the model.
    :param model: its name.
    :param adapter: wanted; nothing is to be done for an empty one.
    :param places: adapters that an engine holds.
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
    """Yield adapters that nothing runs with, and when something last did."""
    for model, adapters in engine.adapters_by_model.items():
        for adapter in adapters:
            name = f'{model}/{adapter}'
            used_at = engine.used_at_by_name.get(name, -math.inf)
            settled = now - used_at > _MIN_RESIDENCE_SECONDS
            if settled and not engine.running[name]:
                yield name, used_at
