"""Limits how many engines load from the weight store at the same time.

Such a load, a cold load, blocks all other orders of its engine for seconds,
and more than a few at a time slow each other down in the store.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from cowsliprack.state.engine_state import EngineState

# Concurrent cold loads: the weight store's limit until its speed is known, and
# the maximum as a share of the engines, since each load blocks one of them.
INITIAL_COLD_LOADS = 4
_MAX_COLD_LOAD_SHARE = 0.1
# A load that exceeds its configured time by this factor indicates too many
# concurrent loads.
_SLOWDOWN_LIMIT = 1.25
# A running load that exceeds its configured time by this factor is overdue; the
# order and the poll for its end take up to 3% of it.
_OVERDUE_SLOWDOWN = 1.1
# Slowdown up to which no other load begins, as the answer that shows whether a
# load is overdue may be on its way.
_PROOF_SLOWDOWN = 1.15
# Seconds within which loads that begin may reach the store in another order.
_SAME_START_SECONDS = 0.25
# Seconds after the expected end of a load from which it counts only while its
# engine says that it goes on, and for which such an answer holds.
_END_MARGIN_SECONDS = 0.5
_ANSWER_SECONDS = 2.0
# Seconds for which the limit is not raised after a load was slow. Loads beyond
# what the store serves at full speed end later and block engines for longer.
_RAISE_PAUSE_SECONDS = 60.0
# Slowdown of the longest load among as many as start before the speed of the
# store is known, if it serves two at full speed.
_LONGEST_SLOWDOWN = 2.0
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
    :param names: the models that no engine holds, caches or loads.
    :param promised_models: models whose waiting requests are expected to be
        served by a load that has not begun, in the order of the loads.
    """

    models: int = 0
    waiting_models: tuple[str, ...] = ()
    cold_loads: int = 0
    max_cold_loads: int = 0
    engines: int = 0
    names: frozenset[str] = frozenset()
    promised_models: tuple[str, ...] = ()


@dataclass(slots=True)
class MissingModels:
    """Models without a copy on any engine that requests have waited for.

    :param since_by_model: when the first of these requests was seen, seconds.
    :param asked_at_by_model: when the last of them was seen, seconds.
    :param waiting: those that requests wait for now.
    :param earlier_since_by_model: the first of these for models that an earlier
        leader knew to be missing.
    """

    since_by_model: dict[str, float] = field(default_factory=dict)
    asked_at_by_model: dict[str, float] = field(default_factory=dict)
    waiting: frozenset[str] = frozenset()
    earlier_since_by_model: dict[str, float] = field(default_factory=dict)

    def inherit(self, due_at_by_model: Mapping[str, float], now: float) -> None:
        """Go on with the order of loads of an earlier leader.

        :param due_at_by_model: when it expected their loads to end, seconds.
        :param now: seconds.
        """
        last = max(due_at_by_model.values(), default=now)
        self.earlier_since_by_model = {
            name: now + due_at - last
            for name, due_at in due_at_by_model.items()
        }

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
            since = self.earlier_since_by_model.get(name, now)
            self.since_by_model.setdefault(name, since)
            self.asked_at_by_model[name] = now
        for name, asked_at in list(self.asked_at_by_model.items()):
            if has_copy(name) or now - asked_at > _FORGET_SECONDS:
                self.since_by_model.pop(name)
                self.asked_at_by_model.pop(name)
                self.earlier_since_by_model.pop(name, None)


def count_cold_loads(engines: Iterable[EngineState]) -> int:
    """Return the number of running or assigned loads from the weight store.

    An order of an earlier leader counts, since it may be such a load.

    :param engines: engines of one service.
    """
    return sum(
        _is_cold_load(engine, engine.assigned_model or engine.loading_model())
        for engine in engines
    )


def count_begun_loads(engines: Iterable[EngineState]) -> int:
    """Return the number of running loads from the weight store.

    Assigned loads that still wait for room do not count: the store does not
    serve them yet. An order of an earlier leader counts.

    :param engines: engines of one service.
    """
    return sum(map(is_loading_cold, engines))


def is_loading_cold(engine: EngineState) -> bool:
    """Return whether an engine loads a model from the weight store.

    An order of an earlier leader counts, since it may be such a load.

    :param engine: any engine.
    """
    return _is_cold_load(engine, engine.loading_model())


def _is_cold_load(engine: EngineState, model: str) -> bool:
    return engine.has_unknown_order() or bool(model) and engine.is_cold(model)


def max_cold_loads(engines: int, served_requests: float, is_idle: bool) -> int:
    """Return how many engines may load from the weight store at once.

    :param engines: number of engines that accept orders.
    :param served_requests: requests that one more load serves in time.
    :param is_idle: whether no requests arrive.
    """
    share = max(1, round(engines * _MAX_COLD_LOAD_SHARE))
    if is_idle or served_requests >= URGENT_REQUESTS:
        return max(share, INITIAL_COLD_LOADS)
    return share


@dataclass(slots=True, eq=False)
class LoadBatch:
    """Loads from the weight store that began at about the same time.

    :param most: concurrent loads when the last of them began, including that
        one.
    """

    most: int = 1


@dataclass(frozen=True, slots=True)
class ColdLoad:
    """A load from the weight store that an engine has begun.

    :param engine: state of the engine since its last start.
    :param started_at: when it was ordered, seconds.
    :param at_start: concurrent loads at that time, including itself.
    :param stated_seconds: its time at full speed.
    """

    engine: EngineState
    model: str
    started_at: float
    at_start: int
    stated_seconds: float
    batch: LoadBatch = field(default_factory=LoadBatch)

    def slowdown(self, now: float) -> float:
        """Return the time since the order was accepted, by the configured one.

        :param now: seconds.
        :returns: negative until the engine is known to have accepted it.
        """
        return (now - self.engine.order_accepted_at) / self.stated_seconds

    def confirmed_slowdown(self) -> float:
        """Return the slowdown as of the last answer that the load goes on.

        :returns: negative if the engine has not said so.
        """
        seconds = self.engine.order_seen_at - self.engine.order_accepted_at
        return seconds / self.stated_seconds

    def is_silent(self, full_speed_loads: int, now: float) -> bool:
        """Return whether the load is due and its engine does not answer.

        A crashed engine may keep its entry in the registry for seconds.

        :param full_speed_loads: see ``ends_at``.
        :param now: seconds.
        """
        is_due = now > self.ends_at(full_speed_loads) + _END_MARGIN_SECONDS
        return is_due and now > self.engine.order_seen_at + _ANSWER_SECONDS

    def ends_at(self, full_speed_loads: int) -> float:
        """Return when the load is expected to end, seconds.

        :param full_speed_loads: concurrent loads that the store serves at full
            speed.
        """
        slowdown = max(1, self.at_start / full_speed_loads)
        # Until the engine has accepted the order, it may have begun at once.
        accepted_at = self.engine.order_accepted_at
        began_at = self.started_at if math.isinf(accepted_at) else accepted_at
        return began_at + self.stated_seconds * slowdown


@dataclass(slots=True)
class LostColdLoads:
    """Loads whose engine crashed or left.

    The weight store goes on with them, so they slow down later loads.

    :param started_by_id: last load that each engine has begun.
    :param lost: those of engines that have gone since.
    """

    started_by_id: dict[str, ColdLoad] = field(default_factory=dict)
    lost: list[ColdLoad] = field(default_factory=list)
    _last: ColdLoad | None = None
    _silent_ids: frozenset[str] = frozenset()

    def begin(
        self,
        engine: EngineState,
        model: str,
        at_start: int,
        stated_seconds: float,
        now: float,
    ) -> None:
        """Record that an engine begins a load; see ``ColdLoad``."""
        last = self._last
        is_together = (
            last is not None and now - last.started_at < _SAME_START_SECONDS
        )
        batch = last.batch if last and is_together else LoadBatch()
        batch.most = max(batch.most, at_start)
        self._last = ColdLoad(
            engine, model, now, at_start, stated_seconds, batch
        )
        self.started_by_id[engine.target_id] = self._last

    def update(
        self,
        engines_by_id: Mapping[str, EngineState],
        full_speed_loads: int,
        now: float,
    ) -> None:
        """Find the loads that were lost, and forget those that have ended.

        :param engines_by_id: engines of the service.
        :param full_speed_loads: see ``ColdLoad``.
        :param now: seconds.
        """
        for target_id, load in list(self.started_by_id.items()):
            engine = engines_by_id.get(target_id)
            if engine is not load.engine:
                self.lost.append(load)
            elif engine.loading_model() == load.model:
                continue
            self.started_by_id.pop(target_id)
        self.lost = [
            one for one in self.lost if one.ends_at(full_speed_loads) > now
        ]
        self._silent_ids = frozenset(
            loading_id
            for loading_id, one in self.started_by_id.items()
            if one.is_silent(full_speed_loads, now)
        )

    def without_silent(
        self, engines: Iterable[EngineState]
    ) -> list[EngineState]:
        """Return the engines without those that are silent on a load.

        :param engines: of the service; see ``ColdLoad.is_silent``.
        """
        return [
            engine
            for engine in engines
            if engine.target_id not in self._silent_ids
        ]

    def confirmed_slowdown(self, engine: EngineState) -> float:
        """Return the slowdown of a load as of its engine's last answer.

        :param engine: that has loaded a model.
        :returns: ``inf`` if the begin of the load is not known.
        """
        load = self.started_by_id.get(engine.target_id)
        return load.confirmed_slowdown() if load else math.inf

    def started_at(self, target_id: str) -> float:
        """Return when the load of an engine began; ``inf`` if that is unknown.

        :param target_id: the loading engine.
        """
        load = self.started_by_id.get(target_id)
        return load.started_at if load else math.inf

    def most_at_start(self, engine: EngineState) -> int:
        """Return the concurrent loads when those with a load had begun.

        :param engine: the loading engine.
        """
        load = self.started_by_id.get(engine.target_id)
        return load.batch.most if load else engine.cold_loads_at_start

    def expected_ends(self, full_speed_loads: int) -> dict[str, float]:
        """Return when the loads under way are expected to end, by model.

        :param full_speed_loads: see ``ColdLoad``.
        """
        return {
            load.model: load.ends_at(full_speed_loads)
            for target_id, load in self.started_by_id.items()
            if target_id not in self._silent_ids
        }

    def running_ends(self, full_speed_loads: int) -> list[float]:
        """Return when all loads that the store serves are expected to end.

        :param full_speed_loads: see ``ColdLoad``.
        """
        return [
            load.ends_at(full_speed_loads)
            for load in (*self.started_by_id.values(), *self.lost)
        ]

    def count(self, engines: Iterable[EngineState]) -> int:
        """Return how many loads the weight store serves or will soon.

        :param engines: engines whose loads count, beside the lost ones.
        """
        return len(self.lost) + count_cold_loads(self.without_silent(engines))

    def count_begun(self, engines: Iterable[EngineState]) -> int:
        """Return how many loads the weight store serves.

        :param engines: engines whose loads count, beside the lost ones.
        """
        return len(self.lost) + count_begun_loads(self.without_silent(engines))


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
    :param lowered_from: loads that began before this time do not lower the
        limit, seconds.
    :param raised_from: the limit is not raised before this time, seconds.
    """

    starts: list[float] = field(default_factory=list)
    store_limit: int = INITIAL_COLD_LOADS
    on_time: int = 0
    lowered_from: float = -math.inf
    raised_from: float = -math.inf
    _is_inherited: bool = False
    _is_awaiting_end: bool = False

    def inherit(self, store_limit: int) -> None:
        """Begin with the limit that an earlier leader has learned.

        :param store_limit: see the class.
        """
        self.store_limit = store_limit
        self._is_inherited = True

    def begin_term(self, cold_seconds: float, now: float) -> None:
        """Trust an inherited limit while loads of the earlier leader may run.

        They slow down the first loads of a term, and some of them are not
        known: those whose engines have gone.

        :param cold_seconds: time of a load at full speed.
        :param now: seconds.
        """
        if self._is_inherited:
            self._is_inherited = False
            self.lowered_from = now + cold_seconds * _LONGEST_SLOWDOWN
            self.raised_from = now + _RAISE_PAUSE_SECONDS

    def check_running(self, loads: Iterable[ColdLoad], now: float) -> None:
        """Lower the limit as soon as running loads show that it is too high.

        Of loads that began together, those that have not ended at their
        configured time began beside more than the store serves at full speed.
        Time without an answer proves nothing: the engine may have crashed or be
        cut off.

        :param loads: running loads.
        :param now: seconds.
        """
        late = [
            load
            for load in loads
            if load.slowdown(now) > 1
            and load.batch.most > 1
            and load.started_at >= self.lowered_from
        ]
        overdue = Counter(
            load.batch
            for load in late
            if load.confirmed_slowdown() > _OVERDUE_SLOWDOWN
        )
        for batch, count in overdue.items():
            self._lower(batch.most - count, now)
        self._is_awaiting_end = any(
            load.confirmed_slowdown() <= _OVERDUE_SLOWDOWN
            and load.slowdown(now) <= _PROOF_SLOWDOWN
            and load.batch.most - overdue[load.batch] <= self.store_limit
            for load in late
        )

    def may_start(self, loads_per_second: float, now: float) -> bool:
        """Return whether one more load may begin.

        None begins while a running load is about to show that the limit is too
        high.

        :param loads_per_second: limit for all engines together.
        :param now: seconds.
        """
        if self._is_awaiting_end:
            return False
        since = now - _RATE_WINDOW_SECONDS
        self.starts = [
            started_at for started_at in self.starts if started_at > since
        ]
        return len(self.starts) < loads_per_second * _RATE_WINDOW_SECONDS

    def record_end(
        self,
        at_start: int,
        at_end: int,
        slowdown: float,
        now: float,
        started_at: float = math.inf,
        confirmed_slowdown: float = math.inf,
    ) -> None:
        """Adjust the limit of the store after a load has ended.

        Loads that begin together end one by one, so the number at the end of
        one alone does not show what has slowed it down.

        :param at_start: concurrent loads when it began, including itself.
        :param at_end: concurrent loads when it ended, including itself.
        :param slowdown: duration in multiples of the configured time.
        :param now: seconds.
        :param started_at: when it began, seconds.
        :param confirmed_slowdown: slowdown as of the engine's last answer that
            the load goes on. If it did not answer for a while, the load may
            have ended long before that was seen.
        """
        if slowdown > _SLOWDOWN_LIMIT:
            least = min(slowdown, confirmed_slowdown)
            if started_at >= self.lowered_from and least > _SLOWDOWN_LIMIT:
                most = max(at_start, at_end)
                self._lower(round(most / least), now)
            return
        self.on_time += at_start >= self.store_limit
        # One load at a time may use only half of the store, so a limit of one
        # is raised at once.
        may_raise = now >= self.raised_from or self.store_limit == 1
        if self.on_time > self.store_limit and may_raise:
            self.store_limit += 1
            self.on_time = 0

    def _lower(self, most: int, now: float) -> None:
        self.raised_from = now + _RAISE_PAUSE_SECONDS
        if most < self.store_limit:
            self.store_limit = max(1, most)
            self.on_time = 0
