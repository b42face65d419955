"""Limits how many engines load from the weight store at the same time.

Such a load, a cold load, blocks all other orders of its engine for seconds,
and more than a few at a time slow each other down in the store.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from cowsliprack.state.engine_state import EngineState

# Concurrent cold loads: the weight store's limit until its speed is known, and
# the maximum as a share of the engines, since each load blocks one of them.
_INITIAL_COLD_LOADS = 4
_MAX_COLD_LOAD_SHARE = 0.1
# A load that exceeds its configured time by this factor indicates too many
# concurrent loads.
_SLOWDOWN_LIMIT = 1.25
# A load that serves this many requests in time may exceed the share of engines:
# a busy model that lost its engines.
URGENT_REQUESTS = 5
# A missing model loses its turn when no request has waited for it this long;
# callers whose request was refused come back sooner.
_FORGET_SECONDS = 30.0
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


@dataclass(slots=True)
class MissingModels:
    """Models without a copy on any engine that requests have waited for.

    :param since_by_model: when the first of these requests was seen, seconds.
    :param asked_at_by_model: when the last of them was seen, seconds.
    :param waiting: those that requests wait for now.
    """

    since_by_model: dict[str, float] = field(default_factory=dict)
    asked_at_by_model: dict[str, float] = field(default_factory=dict)
    waiting: frozenset[str] = frozenset()

    def update(
        self,
        waiting_models: Iterable[str],
        has_copy: Callable[[str], bool],
        now: float,
    ) -> None:
        """Add models that are missing and remove those that no longer are.

        A model stays between its requests: they time out before a load from the
        weight store can end, and the loading engine may fail.

        :param waiting_models: configured models with waiting requests.
        :param has_copy: returns whether an engine has a copy of a model.
        :param now: seconds.
        """
        self.waiting = frozenset(
            name for name in waiting_models if not has_copy(name)
        )
        for name in self.waiting:
            self.since_by_model.setdefault(name, now)
            self.asked_at_by_model[name] = now
        for name, asked_at in list(self.asked_at_by_model.items()):
            if has_copy(name) or now - asked_at > _FORGET_SECONDS:
                self.since_by_model.pop(name)
                self.asked_at_by_model.pop(name)


def count_cold_loads(engines: Iterable[EngineState]) -> int:
    """Return the number of running or assigned loads from the weight store.

    An order of an earlier leader counts, since it may be such a load.

    :param engines: engines of one service.
    """
    return sum(
        engine.has_unknown_order() or (bool(name) and engine.is_cold(name))
        for engine in engines
        for name in (engine.assigned_model or engine.loading_model(),)
    )


def max_cold_loads(engines: int, served_requests: float, is_idle: bool) -> int:
    """Return how many engines may load from the weight store at once.

    :param engines: number of engines that accept orders.
    :param served_requests: requests that one more load serves in time.
    :param is_idle: whether no requests arrive.
    """
    share = max(1, round(engines * _MAX_COLD_LOAD_SHARE))
    if is_idle or served_requests >= URGENT_REQUESTS:
        return max(share, _INITIAL_COLD_LOADS)
    return share


@dataclass(slots=True)
class ColdLoadLimit:
    """Limits cold loads by their rate and by the speed of the weight store.

    The store divides its bandwidth among concurrent loads beyond some number,
    so more of them serve no more models, but block more engines for longer.

    :param starts: start times of recent cold loads, seconds.
    :param store_limit: concurrent loads that the store serves at full speed,
        as far as known.
    :param on_time: loads at that limit that ended on time since its last
        change.
    """

    starts: list[float] = field(default_factory=list)
    store_limit: int = _INITIAL_COLD_LOADS
    on_time: int = 0

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

    def record_end(self, at_start: int, at_end: int, slowdown: float) -> None:
        """Adjust the limit of the store after a load has ended.

        Loads that begin together end one by one, so the number at the end of
        one alone does not show what has slowed it down.

        :param at_start: concurrent loads when it began, including itself.
        :param at_end: concurrent loads when it ended, including itself.
        :param slowdown: duration in multiples of the configured time.
        """
        if slowdown > _SLOWDOWN_LIMIT:
            most = max(at_start, at_end)
            self.store_limit = max(1, round(most / slowdown))
            self.on_time = 0
            return
        self.on_time += at_start >= self.store_limit
        if self.on_time > self.store_limit:
            self.store_limit += 1
            self.on_time = 0
