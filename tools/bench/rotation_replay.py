"""Simulates the model scheduler under a synthetic workload on a virtual clock.

The workload is the hardest one that the scheduler has to handle: a few busy
models that change over time, many rare models with uniform demand, and a burst
of requests for rare models. Engines are simulated by their durations alone.

    python -m tools.bench.rotation_replay --seeds=5
"""

import math
import random
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field, replace

import fire

from cowsliprack.coordination.model_scheduler import GroupDemand, ModelScheduler
from cowsliprack.coordination.region_state import finish_order
from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.engine_state import EngineOrder, EngineState
from cowsliprack.state.routing_table import EngineSpec, ModelSpec
from cowsliprack.state.target_registry import TargetRecord, TargetState
from tools.bench.early_rejection import AbsenceNews, RejectedCallers

_STEP_SECONDS = 0.01
# Delay of an order and of the report that it has finished, together.
_MESSAGE_SECONDS = 0.01
_UNLOAD_SECONDS = 0.05
_ADAPTER_ORDER_SECONDS = 0.01
# From the start of a request on an engine to its first output event.
_FIRST_EVENT_SECONDS = 0.06
_MODEL_MEGABYTES = 70.0
# Retry-After of a request that has waited in vain, in seconds.
_BRIEF_RETRY_SECONDS = 1.0
# Load added to engines in other zones, as instances do, in requests.
_OTHER_ZONE_LOAD = 0.5
# A model or adapter is requested throughout the workload if it is requested at
# least this often over at least this time, in seconds.
_LASTING_REQUESTS = 4
_LASTING_SECONDS = 8.0

# Time, number of engines, and seconds until they come back.
EngineChange = tuple[float, int, float]


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Arrival rate, duration and value of one kind of request.

    :param rate: requests per second over all models.
    :param latency_target: maximum time to the first output event, seconds.
    :param timeout: seconds after which a waiting request is given up.
    :param mean_run_seconds: approximate mean duration on an engine.
    :param value: earned by a request that meets the latency target.
    :param late_value: earned by a request that starts later.
    :param adapter_share: fraction of the requests that name an adapter.
    :param retries: number of times that a caller comes back after its request
        was given up.
    :param patience: seconds for which a caller waits for the first output event
        of one attempt; it comes back within the timeout.
    """

    name: str
    rate: float
    latency_target: float
    timeout: float
    mean_run_seconds: float
    value: float
    late_value: float
    adapter_share: float = 0
    retries: int = 0
    patience: float = math.inf


@dataclass(frozen=True, slots=True)
class Workload:
    """A sequence of requests and the engines that serve it.

    :param engines: number of engines.
    :param models_per_engine: maximum number of loaded models.
    :param slots: number of requests that an engine runs concurrently.
    :param disk_models: number of models, chosen at random, that the disk of an
        engine holds at first.
    :param disk_capacity: maximum number of models on the disk of an engine; a
        load evicts the least recently loaded one.
    :param cold_seconds: time of a load from the weight store at full speed.
    :param full_speed_loads: number of concurrent loads that the weight store
        serves at full speed; one that begins beside more takes longer in
        proportion.
    :param loads_per_second: limit of the weight store.
    :param busy_shares: share of each busy model in its requests.
    :param rare_models: number of rare models.
    :param draft: long requests for busy models.
    :param ask: short requests for busy models.
    :param batch: requests for rare models.
    :param adapters: number of adapters of each busy model.
    :param lead_seconds: time before the first request.
    :param end_at: end of the replay, seconds after the first request.
    :param shift_times: when demand moves to other busy models, seconds.
    :param burst: start, end and rate factor of a burst of batch requests.
    :param initial_replicas: number of initial replicas of the busiest models;
        each other model is placed once, as far as there is room.
    :param crash: time, number of engines, and seconds until they are back with
        nothing but their disks.
    :param removal: time, number of engines that leave for good, and seconds
        until as many empty ones come.
    :param cut: time, number of engines, and seconds for which the leader
        cannot reach them.
    :param entry_seconds: for which the registry keeps the entry of an engine
        that has crashed.
    :param plan_seconds: interval of the plans of the scheduler.
    :param rejects_early: whether requests are rejected as soon as their model
        is known to be loaded too late.
    :param zone_shares: share of each zone in the requests; engines are spread
        evenly among the zones.
    """

    name: str
    engines: int
    models_per_engine: int
    slots: int
    disk_models: int
    busy_shares: tuple[float, ...]
    rare_models: int
    draft: RequestKind
    ask: RequestKind
    batch: RequestKind
    adapters: int = 40
    lead_seconds: float = 8.0
    end_at: float = 34.0
    shift_times: tuple[float, ...] = (1.0, 14.0, 24.0)
    burst: tuple[float, float, float] = (9.0, 15.0, 2.4)
    disk_capacity: int = 1000
    cold_seconds: float = 6.0
    full_speed_loads: int = 4
    loads_per_second: float = 3.0
    initial_replicas: tuple[int, ...] = (2, 2, 2, 2, 2)
    crash: EngineChange = (math.inf, 0, 0)
    removal: EngineChange = (math.inf, 0, 0)
    cut: EngineChange = (math.inf, 0, 0)
    entry_seconds: float = 0
    plan_seconds: float = _STEP_SECONDS
    rejects_early: bool = False
    zone_shares: tuple[float, ...] = (1,)


SIX_ENGINES = Workload(
    name='6 engines of 3 places',
    engines=6,
    models_per_engine=3,
    slots=64,
    disk_models=11,
    busy_shares=(0.65, 0.33, 0.02, 0, 0),
    rare_models=34,
    draft=RequestKind('draft', 16.7, 0.4, 3.7, 1.7, 2, 1, 0.1),
    ask=RequestKind('ask', 13.7, 0.4, 1.8, 0.3, 1.1, 0.55, 0.5),
    batch=RequestKind('batch', 7.2, 2.0, 7.3, 1.4, 7.5, 1.1),
)
NINE_ENGINES = Workload(
    name='9 engines of 2 places',
    engines=9,
    models_per_engine=2,
    slots=32,
    disk_models=8,
    busy_shares=(0.65, 0.33, 0.02, 0, 0),
    rare_models=28,
    draft=RequestKind('draft', 19.0, 0.4, 3.7, 1.4, 1.5, 0.15, 0.1),
    ask=RequestKind('ask', 18.0, 0.4, 1.8, 0.25, 1.5, 0.15, 0.5),
    batch=RequestKind('batch', 8.3, 2.0, 7.3, 1.2, 7.6, 1.1),
)
# Zipf distribution of the requests for the 22 models in use at a time; demand
# moves on to the others.
_GROWN_SHARES = tuple(
    (rank + 1) ** -0.7 if rank < 22 else 0 for rank in range(55)
)
FIFTY_SIX_ENGINES = Workload(
    name='56 engines of 2 places',
    engines=56,
    models_per_engine=2,
    slots=12,
    disk_models=7,
    busy_shares=_GROWN_SHARES,
    rare_models=174,
    draft=RequestKind('draft', 66, 0.4, 1.8, 1.5, 2.2, 0.22, 0.05, 1),
    ask=RequestKind('ask', 77, 0.4, 1.8, 0.25, 0.9, 0.09, 0.2, 1),
    batch=RequestKind('batch', 28.5, 2.0, 7.3, 1.5, 11.9, 1.8, retries=1),
    adapters=24,
    lead_seconds=11.0,
    end_at=41.0,
    shift_times=(1.0, 14.0, 24.0),
    burst=(9.0, 15.0, 2.1),
    disk_capacity=7,
    cold_seconds=7.8,
    full_speed_loads=2,
    loads_per_second=32,
    initial_replicas=(7, 3, 2, 2),
    crash=(5.7, 14, 4.0),
    removal=(7.1, 8, 6.0),
    plan_seconds=0.05,
)
# Of the models in use, two thirds of the rare ones lie on no disk at first, and
# the weight store loads one in 3.9 s.
THIRTY_ENGINES = Workload(
    name='30 engines of 3 places',
    engines=30,
    models_per_engine=3,
    slots=48,
    disk_models=4,
    busy_shares=tuple(
        (rank + 1) ** -0.7 if rank < 22 else 0 for rank in range(55)
    ),
    rare_models=140,
    draft=RequestKind(
        'draft', 45.1, 1.0, 15.1, 2.2, 1.9, 0.19, 0.05, 1, patience=4
    ),
    ask=RequestKind('ask', 27.7, 1.0, 8.0, 0.9, 1.3, 0.13, 0.2, 1, patience=4),
    batch=RequestKind(
        'batch', 9.5, 2.5, 25, 2.2, 19.6, 2.9, retries=1, patience=10
    ),
    adapters=24,
    lead_seconds=11.0,
    end_at=41.0,
    burst=(9.0, 15.0, 2.0),
    disk_capacity=7,
    cold_seconds=7.8,
    full_speed_loads=2,
    loads_per_second=20,
    crash=(7.2, 13, 2.0),
    removal=(11.6, 1, 6.0),
    plan_seconds=0.05,
    rejects_early=True,
)
# A few models with most of the requests, on engines with few slots and disks
# that hold a third of the models, and demand that is uneven by zone.
FORTY_FIVE_ENGINES = Workload(
    name='45 engines of 3 places',
    engines=45,
    models_per_engine=3,
    slots=16,
    disk_models=60,
    busy_shares=tuple(
        (rank + 1) ** -1.1 if rank < 12 else 0 for rank in range(40)
    ),
    rare_models=140,
    draft=RequestKind('draft', 60, 0.3, 10, 1.5, 1.9, 0.19, 0.05),
    ask=RequestKind('ask', 60, 0.3, 3, 0.6, 1.3, 0.13, 0.1),
    batch=RequestKind('batch', 12, 4.0, 17, 2.2, 19.6, 2.9),
    adapters=8,
    lead_seconds=11.0,
    end_at=41.0,
    disk_capacity=64,
    cold_seconds=10.2,
    full_speed_loads=2,
    loads_per_second=19,
    initial_replicas=(2, 2, 1, 1),
    removal=(20.0, 2, 6.0),
    plan_seconds=0.05,
    zone_shares=(0.29, 0.32, 0.39),
)
WORKLOADS = (
    SIX_ENGINES,
    NINE_ENGINES,
    FIFTY_SIX_ENGINES,
    THIRTY_ENGINES,
    FORTY_FIVE_ENGINES,
)


@dataclass(slots=True, eq=False)
class _Request:
    kind: RequestKind
    model: str
    adapter: str
    arrived_at: float
    run_seconds: float
    waits_until: float
    retries: int
    attempted_at: float
    zone: str = 'z0'
    awaits_turn: bool = False

    def names(self) -> tuple[str, ...]:
        """Return the model and the adapter as MODEL/ADAPTER, if any."""
        if self.adapter:
            return self.model, f'{self.model}/{self.adapter}'
        return (self.model,)


@dataclass(slots=True)
class Score:
    """Outcome of the requests of one kind.

    :param possible_value: value if all requests met their latency target.
    :param earned_value: value of the requests that were started.
    :param in_time: number of requests that met their latency target.
    :param given_up: number of requests that timed out while they waited.
    :param held_seconds: for each rejection, how long the request had waited.
    :param missed_turns: rejections of requests that have waited for a load that
        had not begun when they arrived, but was due in time.
    """

    possible_value: float = 0
    earned_value: float = 0
    requests: int = 0
    in_time: int = 0
    given_up: int = 0
    held_seconds: list[float] = field(default_factory=list)
    missed_turns: int = 0


@dataclass(slots=True)
class Replay:
    """One simulation of a workload.

    :param rng: source of the arrivals, run times and initial disk copies.
    :param orders_by_kind: number of orders that the scheduler issued.
    :param peak_models: maximum number of models that one engine held or loaded
        at the same time.
    :param begun_by_id: requests that were started on each engine.
    :param begun_on_full: requests that were started on an engine without a
        free slot, and wait inside it.
    :param begun_in_zone: requests that were started in their own zone.
    """

    workload: Workload
    rng: random.Random
    scheduler: ModelScheduler = field(init=False)
    scores_by_kind: dict[str, Score] = field(
        default_factory=lambda: defaultdict(Score),
    )
    orders_by_kind: Counter[str] = field(default_factory=Counter)
    peak_models: int = 0
    requested_at_by_name: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list),
    )
    served_names: set[str] = field(default_factory=set)
    begun_by_id: Counter[str] = field(default_factory=Counter)
    begun_on_full: int = 0
    begun_in_zone: int = 0
    _busy_models: list[str] = field(init=False)
    _rare_models: list[str] = field(init=False)
    _waiting: list[_Request] = field(default_factory=list)
    _rejected: RejectedCallers[_Request] = field(
        default_factory=RejectedCallers
    )
    _news: AbsenceNews = field(default_factory=AbsenceNews)
    _running: list[tuple[float, EngineState, _Request]] = field(
        default_factory=list,
    )
    _pending_orders: list[tuple[float, EngineState, EngineOrder]] = field(
        default_factory=list,
    )
    _cold_started_by_id: dict[str, float] = field(default_factory=dict)
    _lost_load_ends: list[float] = field(default_factory=list)
    _disk_by_id: dict[str, list[str]] = field(default_factory=dict)
    _cut_ids: frozenset[str] = frozenset()
    _crashed_until_by_id: dict[str, float] = field(default_factory=dict)
    _planned_at: float = -math.inf
    _changes: list[EngineChange] = field(init=False)
    _returning_engines: list[tuple[float, str, list[str]]] = field(
        default_factory=list,
    )

    def __post_init__(self) -> None:
        """Create the engines with their initial models."""
        workload = self.workload
        self._changes = [workload.crash, workload.removal]
        self._busy_models = [
            f'busy{number}' for number in range(len(workload.busy_shares))
        ]
        self._rare_models = [
            f'rare{number}' for number in range(workload.rare_models)
        ]
        names = self._busy_models + self._rare_models
        specs = {
            name: ModelSpec(
                name, _MODEL_MEGABYTES, 1, workload.cold_seconds, 0.6, 0.45
            )
            for name in names
        }
        self.scheduler = ModelScheduler(
            EngineSpec(
                workload.slots,
                110000,
                _MODEL_MEGABYTES * workload.models_per_engine + 20,
                8,
                workload.loads_per_second,
                specs,
            ),
        )
        disks = self._sample_disk_models(names)
        initial = self._initial_models(names)
        for number in range(workload.engines):
            own = slice(
                number,
                workload.engines * workload.models_per_engine,
                workload.engines,
            )
            held = initial[own]
            disk = [name for name in disks[number] if name not in held]
            self._add_engine(f'e{number}', disk + held, held)

    def _initial_models(self, names: list[str]) -> list[str]:
        """Return the models to place, once for each replica."""
        extra = [
            name
            for name, replicas in zip(
                names, self.workload.initial_replicas, strict=False
            )
            for _ in range(replicas - 1)
        ]
        return extra + names

    def _add_engine(
        self, target_id: str, disk: list[str], held: Iterable[str] = ()
    ) -> None:
        disk = disk[-self.workload.disk_capacity :]
        self._disk_by_id[target_id] = disk
        record = TargetRecord(
            target_id=target_id,
            service='s',
            address='',
            zone=_zone_of(target_id, len(self.workload.zone_shares)),
            slots=self.workload.slots,
            state=TargetState.ready,
            on_disk=frozenset(disk),
        )
        engine = EngineState(record, surveyed=True)
        engine.adapters_by_model = {model: set() for model in held}
        self.scheduler.engines_by_id[target_id] = engine

    def run(self) -> None:
        """Simulate the workload to its end."""
        workload = self.workload
        now = -workload.lead_seconds
        shift = 0
        while now < workload.end_at:
            if (
                shift < len(workload.shift_times)
                and now >= workload.shift_times[shift]
            ):
                self._busy_models.append(self._busy_models.pop(0))
                shift += 1
            self._change_engines(now)
            self._finish_orders(now)
            self._finish_requests(now)
            for request in self._arrivals(now):
                self._receive(request, now)
            if workload.rejects_early:
                self._start_early_rejecting(now)
            else:
                self._start_waiting(now)
            if now >= self._planned_at + workload.plan_seconds:
                self._planned_at = now
                self._issue_orders(now)
                self._news.tell(self.scheduler, now)
            now += _STEP_SECONDS

    def never_served(self) -> list[str]:
        """Return the models and adapters requested throughout, but not served.

        :returns: models, and adapters as MODEL/ADAPTER.
        """
        return sorted(self.lasting_names() - self.served_names)

    def lasting_names(self) -> set[str]:
        """Return the models and adapters requested throughout."""
        return {
            name
            for name, times in self.requested_at_by_name.items()
            if len(times) >= _LASTING_REQUESTS
            and times[-1] - times[0] > _LASTING_SECONDS
        }

    def _receive(self, request: _Request, now: float) -> None:
        score = self.scores_by_kind[request.kind.name]
        score.requests += 1
        score.possible_value += request.kind.value
        for name in request.names():
            self.requested_at_by_name[name].append(now)
        self.scheduler.rates.add(request.model, 1, now)
        self.scheduler.busy_models.add_started(
            request.model, request.zone, 1, now
        )
        self._waiting.append(request)

    def _change_engines(self, now: float) -> None:
        """Let engines crash, leave and return at their times."""
        for target_id, until in list(self._crashed_until_by_id.items()):
            if now >= until:
                del self._crashed_until_by_id[target_id]
                self.scheduler.engines_by_id.pop(target_id)
        due = [entry for entry in self._changes if now >= entry[0]]
        for change in due:
            self._changes.remove(change)
            self._take_away(change, now)
        returning = [
            entry for entry in self._returning_engines if now >= entry[0]
        ]
        for entry in returning:
            self._returning_engines.remove(entry)
            self._add_engine(*entry[1:])

    def _take_away(self, change: EngineChange, now: float) -> None:
        _, count, seconds = change
        engine_ids = sorted(self.scheduler.engines_by_id)
        is_removal = change is self.workload.removal
        for target_id in self.rng.sample(engine_ids, count):
            self._end_engine(target_id)
            if is_removal or not self.workload.entry_seconds:
                self.scheduler.engines_by_id.pop(target_id)
                self._crashed_until_by_id.pop(target_id, None)
            else:
                until = now + self.workload.entry_seconds
                self._crashed_until_by_id[target_id] = until
            disk = [] if is_removal else self._disk_by_id[target_id]
            name = f'{target_id}+' if is_removal else target_id
            self._returning_engines.append((now + seconds, name, disk))

    def _end_engine(self, target_id: str) -> None:
        """End the orders of an engine.

        The weight store goes on with a load that the engine has begun.
        """
        engine = self.scheduler.engines_by_id[target_id]
        if target_id in self._cold_started_by_id:
            self._lost_load_ends.extend(
                ends_at
                for ends_at, loading, order in self._pending_orders
                if loading is engine and not order.adapter
            )
        self._pending_orders = [
            entry for entry in self._pending_orders if entry[1] is not engine
        ]
        self._cold_started_by_id.pop(target_id, None)

    def _sample_disk_models(self, names: list[str]) -> list[list[str]]:
        """Return the models on the disk of each engine; some are on no disk."""
        return [
            self.rng.sample(names, self.workload.disk_models)
            for _ in range(self.workload.engines)
        ]

    def _arrivals(self, now: float) -> Iterator[_Request]:
        workload = self.workload
        start, end, factor = workload.burst
        for kind in (workload.draft, workload.ask, workload.batch):
            rate = kind.rate
            if kind is workload.batch and start <= now < end:
                rate *= factor
            if now >= 0 and self.rng.random() < rate * _STEP_SECONDS:
                yield self._make_request(kind, now)

    def _make_request(self, kind: RequestKind, now: float) -> _Request:
        workload = self.workload
        adapter = ''
        if kind is workload.batch:
            model = self.rng.choice(self._rare_models)
        else:
            model = self.rng.choices(self._busy_models, workload.busy_shares)[0]
            if self.rng.random() < kind.adapter_share:
                adapter = f'a{self.rng.randrange(workload.adapters)}'
        run_seconds = kind.mean_run_seconds * self.rng.lognormvariate(-0.2, 0.6)
        return _Request(
            kind,
            model,
            adapter,
            now,
            run_seconds,
            now + min(kind.timeout, kind.patience),
            kind.retries,
            now,
            _sample_zone(self.workload.zone_shares, self.rng),
        )

    def _start_waiting(self, now: float) -> None:
        still_waiting = []
        for request in self._waiting:
            engine = self._find_engine(request)
            if engine:
                self._start(request, engine, now)
            elif now < request.waits_until:
                still_waiting.append(request)
            elif request.retries:
                request.retries -= 1
                request.waits_until = now + request.kind.timeout
                still_waiting.append(request)
            else:
                self.scores_by_kind[request.kind.name].given_up += 1
        self._waiting = still_waiting

    def _rejected_after(self, request: _Request, now: float) -> float | None:
        """Return the Retry-After of a request that waits in vain.

        :returns: ``None`` while it waits on.
        """
        seconds: float = 0
        if request.model in self.scheduler.absent.loaded_at_by_model:
            seconds = self._news.seconds_until_usable(
                request.model, self.workload.cold_seconds, now
            )
        left = request.waits_until - now
        is_new = now <= request.attempted_at
        if is_new:
            loaded_at = self.scheduler.absent.loaded_at_by_model
            request.awaits_turn = math.isinf(loaded_at.get(request.model, 0))
        if seconds < left:
            if not is_new or self._may_wait(request, left, now):
                return None
        return seconds or _BRIEF_RETRY_SECONDS

    def _may_wait(self, request: _Request, left: float, now: float) -> bool:
        if request.model not in self.scheduler.absent.loaded_at_by_model:
            return True
        return self._news.may_begin_waiting(
            request.model, self.workload.cold_seconds, left, now
        )

    def _reject(
        self, request: _Request, retry_after: float, now: float
    ) -> None:
        score = self.scores_by_kind[request.kind.name]
        held_seconds = now - request.attempted_at
        score.held_seconds.append(held_seconds)
        score.missed_turns += request.awaits_turn and held_seconds > 0
        seconds_left = request.arrived_at + request.kind.timeout - now
        if not request.retries or seconds_left <= 0:
            score.given_up += 1
            return
        request.retries -= 1
        self._rejected.add(
            request,
            retry_after,
            seconds_left,
            self.workload.cold_seconds,
            now,
        )

    def _start_early_rejecting(self, now: float) -> None:
        """Start, reject or keep the waiting requests, as instances decide."""
        for returned in self._rejected.pop_returning(now):
            returned.attempted_at = now
            returned.waits_until = min(
                now + returned.kind.patience,
                returned.arrived_at + returned.kind.timeout,
            )
            self._waiting.append(returned)
        still_waiting = []
        for request in self._waiting:
            engine = self._find_engine(request)
            retry_after = self._rejected_after(request, now)
            if engine:
                self._start(request, engine, now)
            elif retry_after is None:
                still_waiting.append(request)
            else:
                self._reject(request, retry_after, now)
        self._waiting = still_waiting

    def _start(
        self,
        request: _Request,
        engine: EngineState,
        now: float,
    ) -> None:
        kind = request.kind
        self.begun_by_id[engine.target_id] += 1
        self.begun_in_zone += engine.record.zone == request.zone
        if engine.running_count() >= self.workload.slots:
            self.begun_on_full += 1
            self.scheduler.busy_models.troubles.add(request.model, 1, now)
        engine.running[request.model] += 1
        if request.adapter:
            name = f'{request.model}/{request.adapter}'
            engine.running[name] += 1
            engine.used_at_by_name[name] = now
        self._running.append((now + request.run_seconds, engine, request))
        self.served_names.update(request.names())
        self.scheduler.turns.served_models.add(request.model)
        score = self.scores_by_kind[kind.name]
        is_in_time = (
            now - request.arrived_at
            < kind.latency_target - _FIRST_EVENT_SECONDS
        )
        score.in_time += is_in_time
        score.earned_value += kind.value if is_in_time else kind.late_value

    def _find_engine(self, request: _Request) -> EngineState | None:
        available = [
            engine
            for engine in self.scheduler.engines_by_id.values()
            if engine.offers(request.model)
            and engine.target_id not in self._crashed_until_by_id
            and (
                not request.adapter
                or request.adapter in engine.adapters_by_model[request.model]
            )
            and not _affects(engine.order, request.model, request.adapter)
        ]
        return min(
            available,
            key=lambda engine: (
                engine.running_count()
                + _OTHER_ZONE_LOAD * (engine.record.zone != request.zone)
            ),
            default=None,
        )

    def _finish_requests(self, now: float) -> None:
        finished = [entry for entry in self._running if entry[0] <= now]
        for entry in finished:
            self._running.remove(entry)
            _, engine, request = entry
            engine.running[request.model] -= 1
            if request.adapter:
                engine.running[f'{request.model}/{request.adapter}'] -= 1

    def _finish_orders(self, now: float) -> None:
        cut_at, cut_count, cut_seconds = self.workload.cut
        if not cut_at <= now < cut_at + cut_seconds:
            self._cut_ids = frozenset()
        elif not self._cut_ids:
            engine_ids = sorted(self.scheduler.engines_by_id)
            self._cut_ids = frozenset(self.rng.sample(engine_ids, cut_count))
        finished = [
            entry
            for entry in self._pending_orders
            if entry[0] <= now and entry[1].target_id not in self._cut_ids
        ]
        for entry in finished:
            self._pending_orders.remove(entry)
            _, engine, order = entry
            self._finish_order(engine, order, now)
        for _, loading, _ in self._pending_orders:
            # A leader asks engines whether their loads go on.
            if loading.target_id not in self._cut_ids:
                loading.order_seen_at = now

    def _finish_order(
        self, engine: EngineState, order: EngineOrder, now: float
    ) -> None:
        finish_order(engine, order, now)
        if order.adapter or order.kind is not OrderKind.load:
            return
        began_at = self._cold_started_by_id.pop(engine.target_id, None)
        if began_at is not None:
            model = self.scheduler.spec.models_by_name[order.model]
            self.scheduler.end_cold_load(engine, model, now - began_at, now)
        disk = self._disk_by_id[engine.target_id]
        if order.model in disk:
            disk.remove(order.model)
        disk.append(order.model)
        del disk[: -self.workload.disk_capacity]
        engine.record = replace(engine.record, on_disk=frozenset(disk))

    def _issue_orders(self, now: float) -> None:
        groups = self._group_waiting(now)
        for order in self.scheduler.plan(groups, now):
            engine = self.scheduler.engines_by_id[order.target_id]
            if order.target_id in self._crashed_until_by_id:
                # An order without an answer shows that an engine is silent.
                engine.silent = True
                continue
            resource = 'adapter' if order.adapter else 'model'
            self.orders_by_kind[f'{order.kind.value} {resource}'] += 1
            if order.kind is OrderKind.load and not order.adapter:
                self._start_load(engine, order, now)
                continue
            seconds = (
                _ADAPTER_ORDER_SECONDS if order.adapter else _UNLOAD_SECONDS
            )
            finished_at = now + seconds + _MESSAGE_SECONDS
            self._pending_orders.append((finished_at, engine, order))

    def _start_load(
        self, engine: EngineState, order: EngineOrder, now: float
    ) -> None:
        held = len(engine.adapters_by_model) + 1
        self.peak_models = max(self.peak_models, held)
        model = self.scheduler.spec.models_by_name[order.model]
        seconds = self.scheduler.load_seconds(engine, model)
        if engine.is_cold(order.model):
            self.orders_by_kind['cold load'] += 1
            self._cold_started_by_id[engine.target_id] = now
            engine.order_accepted_at = now
            ends = [
                *self._lost_load_ends,
                *(
                    ends_at - _MESSAGE_SECONDS
                    for ends_at, loading, running in self._pending_orders
                    if loading.target_id in self._cold_started_by_id
                    and not running.adapter
                ),
            ]
            concurrent = 1 + sum(ends_at > now for ends_at in ends)
            seconds *= max(1, concurrent / self.workload.full_speed_loads)
        finished_at = now + seconds + _MESSAGE_SECONDS
        self._pending_orders.append((finished_at, engine, order))

    def _group_waiting(self, now: float) -> list[GroupDemand]:
        by_key: dict[tuple[str, str], list[_Request]] = defaultdict(list)
        for request in (*self._waiting, *self._rejected.reported(now)):
            by_key[request.model, request.adapter].append(request)
        return [
            _make_demand(model, adapter, requests, now)
            for (model, adapter), requests in by_key.items()
        ]


def _sample_zone(shares: Sequence[float], rng: random.Random) -> str:
    """Return the zone of a request, by the shares of the zones."""
    if len(shares) == 1:
        return 'z0'
    number = rng.choices(range(len(shares)), shares)[0]
    return f'z{number}'


def _zone_of(target_id: str, zones: int) -> str:
    number = int(target_id.strip('e+'))
    return f'z{number % zones}'


def _make_demand(
    model: str,
    adapter: str,
    requests: list[_Request],
    now: float,
) -> GroupDemand:
    target_times = [
        request.arrived_at + request.kind.latency_target for request in requests
    ]
    in_time = [time for time in target_times if time > now]
    return GroupDemand(
        service='s',
        model=model,
        adapter=adapter,
        count=len(requests),
        target_at=min(in_time, default=-math.inf),
        gives_up_at=max(
            request.arrived_at + request.kind.timeout for request in requests
        ),
        since=min(request.arrived_at for request in requests),
        late=len(target_times) - len(in_time),
    )


def _affects(order: EngineOrder | None, model: str, adapter: str) -> bool:
    if order is None or order.model != model:
        return False
    return not order.adapter or order.adapter == adapter


def replay(workload: Workload, seed: int) -> Replay:
    """Simulate a workload once and return the finished simulation.

    :param workload: requests and engines.
    :param seed: of the random number generator.
    """
    finished = Replay(workload, random.Random(seed))
    finished.run()
    return finished


def earned_share(replays: list[Replay]) -> float:
    """Return the fraction of the possible value that was earned.

    :param replays: finished simulations, which are added up.
    """
    scores = [score for one in replays for score in one.scores_by_kind.values()]
    return sum(score.earned_value for score in scores) / sum(
        score.possible_value for score in scores
    )


def busiest_to_mean(replays: list[Replay]) -> float:
    """Return the requests of the busiest engine as a multiple of the mean.

    :param replays: finished simulations, of which the mean is returned.
    """
    factors = [
        max(one.begun_by_id.values())
        * one.workload.engines
        / one.begun_by_id.total()
        for one in replays
    ]
    return sum(factors) / len(factors)


def _print_spread(replays: list[Replay]) -> None:
    begun = sum(one.begun_by_id.total() for one in replays)
    full = sum(one.begun_on_full for one in replays) / begun
    in_zone = sum(one.begun_in_zone for one in replays) / begun
    print(
        f'  busiest engine {busiest_to_mean(replays):.2f} times the mean, begun'
        f' without a free slot {full:.3f}, in its zone {in_zone:.3f}'
    )


def main(seeds: int = 5) -> None:
    """Print the results of each kind of request under each workload.

    :param seeds: number of replays of each workload.
    """
    for workload in WORKLOADS:
        replays = [replay(workload, seed) for seed in range(seeds)]
        print(f'{workload.name}: earned {earned_share(replays):.3f}')
        for kind in (workload.draft, workload.ask, workload.batch):
            scores = [one.scores_by_kind[kind.name] for one in replays]
            requests = sum(score.requests for score in scores)
            in_time = sum(score.in_time for score in scores) / requests
            given_up = sum(score.given_up for score in scores) / requests
            print(
                f'  {kind.name}: in time {in_time:.3f}, given up {given_up:.3f}'
            )
        never = sum(len(one.never_served()) for one in replays) / seeds
        lasting = sum(len(one.lasting_names()) for one in replays) / seeds
        print(f'  never served: {never:.1f} of {lasting:.1f} names a play')
        _print_spread(replays)
        orders = sum((one.orders_by_kind for one in replays), Counter())
        print(
            f'  orders a play: { ({k: v // seeds for k, v in orders.items()}) }'
        )


if __name__ == '__main__':
    fire.Fire(main)
