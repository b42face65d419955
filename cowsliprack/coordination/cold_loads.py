"""Limits how many engines load from the weight store at the same time.

Such a load, a cold load, blocks all other orders of its engine for seconds,
and more than a few at a time slow each other down in the store.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from cowsliprack.state.engine_state import EngineState

# Concurrent cold loads while requests arrive, as a share of all engines and in
# total, and while none arrive.
_MAX_COLD_LOAD_SHARE = 0.1
_MAX_COLD_LOADS = 2
_MAX_COLD_LOADS_WHEN_IDLE = 4
# A load that exceeds its configured time by this factor indicates too many
# concurrent loads.
_SLOWDOWN_LIMIT = 1.25
# A load that serves this many requests in time gets the limit of idle times: a
# busy model that lost its engines.
_URGENT_REQUESTS = 5
# The rate of cold loads is limited over this window.
_RATE_WINDOW_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class MissingWeights:
    """Models without a copy on any engine, and loads from the weight store.

    :param models: number of models that no engine holds, caches or loads.
    :param waiting_models: those with waiting requests, sorted by name.
    :param cold_loads: running or assigned loads from the weight store.
    :param max_cold_loads: current limit for a model with few requests.
    :param engines: number of usable engines.
    """

    models: int = 0
    waiting_models: tuple[str, ...] = ()
    cold_loads: int = 0
    max_cold_loads: int = 0
    engines: int = 0


def count_cold_loads(engines: Iterable[EngineState]) -> int:
    """Return the number of running or assigned loads from the weight store.

    :param engines: engines of one service.
    """
    return sum(
        bool(name) and engine.is_cold(name)
        for engine in engines
        for name in (engine.assigned_model or engine.loading_model(),)
    )


def max_cold_loads(engines: int, served_requests: float, is_idle: bool) -> int:
    """Return how many engines may load from the weight store at once.

    :param engines: number of engines that accept orders.
    :param served_requests: requests that one more load serves in time.
    :param is_idle: whether no requests arrive.
    """
    if is_idle or served_requests >= _URGENT_REQUESTS:
        return _MAX_COLD_LOADS_WHEN_IDLE
    return max(1, min(_MAX_COLD_LOADS, round(engines * _MAX_COLD_LOAD_SHARE)))


@dataclass(slots=True)
class ColdLoadLimit:
    """Limits cold loads by their rate and by the speed of the weight store.

    :param starts: start times of recent cold loads, seconds.
    :param store_limit: concurrent loads that the store serves at full speed.
    """

    starts: list[float] = field(default_factory=list)
    store_limit: int = _MAX_COLD_LOADS_WHEN_IDLE

    def may_start(self, loads_per_second: float, now: float) -> bool:
        """Return whether the rate of loads admits one more.

        :param loads_per_second: limit for all engines together.
        :param now: seconds.
        """
        since = now - _RATE_WINDOW_SECONDS
        self.starts = [
            started_at for started_at in self.starts if started_at > since
        ]
        return len(self.starts) < loads_per_second * _RATE_WINDOW_SECONDS

    def record_end(self, concurrent: int, slowdown: float) -> None:
        """Adjust the limit of the store after a load has ended.

        :param concurrent: concurrent loads, including this one.
        :param slowdown: duration in multiples of the configured time.
        """
        if slowdown > _SLOWDOWN_LIMIT:
            self.store_limit = max(1, int(concurrent / slowdown))
        else:
            self.store_limit = min(
                self.store_limit + 1, _MAX_COLD_LOADS_WHEN_IDLE
            )
