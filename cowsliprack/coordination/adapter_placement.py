"""Places adapters on the engines that hold their base model.

Designed for workloads in which requests for one busy model use many more
adapters than its engines have slots for. The least recently used adapter is
evicted, but never one that has just been loaded.
"""

import math
from collections.abc import Iterable

from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.engine_state import EngineOrder, EngineState

# Seconds for which an adapter can't be evicted after its load or last request,
# so that the requests that waited for it can start.
_MIN_RESIDENCE_SECONDS = 0.3


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
