"""Replays a load on the rotation of models, on a virtual clock.

The load is the worst that the rotation has to answer: a few busy models that
change while the day goes on, many rare models that are asked for evenly, and a
burst of requests for rare models. Engines are simulated by their times alone.

    python -m tools.bench.rotation_replay --seeds=5
"""

import math
import random
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

import fire

from cowsliprack.coordination.model_scheduler import GroupDemand, ModelScheduler
from cowsliprack.coordination.region_state import finish_order
from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.engine_state import EngineOrder, EngineState
from cowsliprack.state.routing_table import EngineSpec, ModelSpec
from cowsliprack.state.target_registry import TargetRecord, TargetState

_STEP_SECONDS = 0.01
# Time until an order or its end is known to the other side, seconds.
_HOP_SECONDS = 0.01
_UNLOAD_SECONDS = 0.05
_ADAPTER_SECONDS = 0.01
# From the begin of a run to its first event.
_FIRST_EVENT_SECONDS = 0.06
_MODEL_SIZE = 70.0


@dataclass(frozen=True, slots=True)
class Kind:
    """Requests of one kind.

    :param rate: requests a second, of all models together.
    :param target: latency target in seconds.
    :param patience: seconds after which a request that waits is given up.
    :param run: mean seconds that a run takes.
    :param worth: of an answer in time.
    :param late_worth: of a later one.
    :param adapters: part of the requests that name an adapter.
    """

    name: str
    rate: float
    target: float
    patience: float
    run: float
    worth: float
    late_worth: float
    adapters: float = 0


@dataclass(frozen=True, slots=True)
class Load:
    """A day and the engines that have to serve it.

    :param places: models that an engine holds.
    :param on_disk: models of which an engine has a copy.
    :param slots: requests that an engine runs at once.
    :param lead: seconds before the first request.
    :param shifts: times at which demand moves to other busy models.
    :param burst: begin, end and factor of a burst of rare requests.
    """

    name: str
    engines: int
    places: int
    slots: int
    on_disk: int
    busy: tuple[float, ...]
    rare: int
    draft: Kind
    ask: Kind
    batch: Kind
    adapters: int = 40
    lead: float = 8.0
    seconds: float = 34.0
    shifts: tuple[float, ...] = (1.0, 14.0, 24.0)
    burst: tuple[float, float, float] = (9.0, 15.0, 2.4)


CALM = Load(
    name='6 engines of 3 places',
    engines=6,
    places=3,
    slots=64,
    on_disk=11,
    busy=(0.65, 0.33, 0.02, 0, 0),
    rare=34,
    draft=Kind('draft', 16.7, 0.4, 3.7, 1.7, 2, 1, 0.1),
    ask=Kind('ask', 13.7, 0.4, 1.8, 0.3, 1.1, 0.55, 0.5),
    batch=Kind('batch', 7.2, 2.0, 7.3, 1.4, 7.5, 1.1),
)
TIGHT = Load(
    name='9 engines of 2 places',
    engines=9,
    places=2,
    slots=32,
    on_disk=8,
    busy=(0.65, 0.33, 0.02, 0, 0),
    rare=28,
    draft=Kind('draft', 19.0, 0.4, 3.7, 1.4, 1.5, 0.15, 0.1),
    ask=Kind('ask', 18.0, 0.4, 1.8, 0.25, 1.5, 0.15, 0.5),
    batch=Kind('batch', 8.3, 2.0, 7.3, 1.2, 7.6, 1.1),
)
LOADS = (CALM, TIGHT)


@dataclass(slots=True, eq=False)
class _Request:
    kind: Kind
    model: str
    adapter: str
    at: float
    run: float


@dataclass(slots=True)
class Score:
    """What requests of one kind earned.

    :param owed: worth of all of them in time.
    :param in_time: those that began within their latency target.
    """

    owed: float = 0
    earned: float = 0
    requests: int = 0
    in_time: int = 0
    given_up: int = 0


@dataclass(slots=True)
class Replay:
    """One play of a load.

    :param most_held: models that one engine held or loaded at the same time.
    """

    load: Load
    rng: random.Random
    scheduler: ModelScheduler = field(init=False)
    scores_by_kind: dict[str, Score] = field(
        default_factory=lambda: defaultdict(Score),
    )
    orders_by_kind: Counter[str] = field(default_factory=Counter)
    most_held: int = 0
    _busy: list[str] = field(init=False)
    _rare: list[str] = field(init=False)
    _waiting: list[_Request] = field(default_factory=list)
    _ends: list[tuple[float, EngineState, _Request]] = field(
        default_factory=list,
    )
    _orders: list[tuple[float, EngineState, EngineOrder]] = field(
        default_factory=list,
    )

    def __post_init__(self) -> None:
        """Place the models as the engines hold them at first."""
        load = self.load
        self._busy = [f'busy{number}' for number in range(len(load.busy))]
        self._rare = [f'rare{number}' for number in range(load.rare)]
        names = self._busy + self._rare
        specs = {
            name: ModelSpec(name, _MODEL_SIZE, 1, 6.0, 0.6, 0.45)
            for name in names
        }
        self.scheduler = ModelScheduler(
            EngineSpec(
                load.slots,
                110000,
                _MODEL_SIZE * load.places + 20,
                8,
                3.0,
                specs,
            ),
        )
        disks = self._disks(names)
        order = self._busy * 2 + self._rare
        for number in range(load.engines):
            places = slice(number, load.engines * load.places, load.engines)
            held = order[places]
            record = TargetRecord(
                target_id=f'e{number}',
                service='s',
                address='',
                zone='z',
                slots=load.slots,
                state=TargetState.ready,
                on_disk=frozenset(disks[number]).union(held),
            )
            engine = EngineState(record, surveyed=True)
            engine.adapters_by_model = {model: set() for model in held}
            self.scheduler.engines_by_id[record.target_id] = engine

    def run(self) -> None:
        """Play the load to its end."""
        load = self.load
        now = -load.lead
        shift = 0
        while now < load.seconds:
            if shift < len(load.shifts) and now >= load.shifts[shift]:
                self._busy.append(self._busy.pop(0))
                shift += 1
            self._end_orders(now)
            self._end_runs(now)
            for request in self._arrivals(now):
                self.scores_by_kind[request.kind.name].requests += 1
                self.scores_by_kind[
                    request.kind.name
                ].owed += request.kind.worth
                self.scheduler.rates.add(request.model, 1, now)
                self._waiting.append(request)
            self._start_waiting(now)
            self._plan(now)
            now += _STEP_SECONDS

    def _disks(self, names: list[str]) -> list[set[str]]:
        """Return the models on the disk of each engine; some lie on none."""
        return [
            set(self.rng.sample(names, self.load.on_disk))
            for _ in range(self.load.engines)
        ]

    def _arrivals(self, now: float) -> Iterator[_Request]:
        load = self.load
        begin, end, factor = load.burst
        for kind in (load.draft, load.ask, load.batch):
            rate = kind.rate
            if kind is load.batch and begin <= now < end:
                rate *= factor
            if now >= 0 and self.rng.random() < rate * _STEP_SECONDS:
                yield self._request(kind, now)

    def _request(self, kind: Kind, now: float) -> _Request:
        load = self.load
        adapter = ''
        if kind is load.batch:
            model = self.rng.choice(self._rare)
        else:
            model = self.rng.choices(self._busy, load.busy)[0]
            if self.rng.random() < kind.adapters:
                adapter = f'a{self.rng.randrange(load.adapters)}'
        run = kind.run * self.rng.lognormvariate(-0.2, 0.6)
        return _Request(kind, model, adapter, now, run)

    def _start_waiting(self, now: float) -> None:
        still = []
        for request in self._waiting:
            engine = self._engine_for(request)
            if engine:
                self._start(request, engine, now)
            elif now - request.at < request.kind.patience:
                still.append(request)
            else:
                self.scores_by_kind[request.kind.name].given_up += 1
        self._waiting = still

    def _start(
        self,
        request: _Request,
        engine: EngineState,
        now: float,
    ) -> None:
        kind = request.kind
        engine.running[request.model] += 1
        if request.adapter:
            name = f'{request.model}/{request.adapter}'
            engine.running[name] += 1
            engine.used_at_by_name[name] = now
        self._ends.append((now + request.run, engine, request))
        score = self.scores_by_kind[kind.name]
        is_in_time = now - request.at < kind.target - _FIRST_EVENT_SECONDS
        score.in_time += is_in_time
        score.earned += kind.worth if is_in_time else kind.late_worth

    def _engine_for(self, request: _Request) -> EngineState | None:
        found = [
            engine
            for engine in self.scheduler.engines_by_id.values()
            if engine.offers(request.model)
            and (
                not request.adapter
                or request.adapter in engine.adapters_by_model[request.model]
            )
            and not _changes(engine.order, request.model, request.adapter)
        ]
        return min(
            found,
            key=EngineState.running_count,
            default=None,
        )

    def _end_runs(self, now: float) -> None:
        ended = [end for end in self._ends if end[0] <= now]
        for end in ended:
            self._ends.remove(end)
            _, engine, request = end
            engine.running[request.model] -= 1
            if request.adapter:
                engine.running[f'{request.model}/{request.adapter}'] -= 1

    def _end_orders(self, now: float) -> None:
        carried_out = [order for order in self._orders if order[0] <= now]
        for done in carried_out:
            self._orders.remove(done)
            _, engine, order = done
            finish_order(engine, order, now)
            if order.kind is OrderKind.load and not order.adapter:
                engine.record = replace(
                    engine.record,
                    on_disk=engine.record.on_disk | {order.model},
                )

    def _plan(self, now: float) -> None:
        groups = self._groups(now)
        for order in self.scheduler.plan(groups, now):
            engine = self.scheduler.engines_by_id[order.target_id]
            what = 'adapter' if order.adapter else 'model'
            self.orders_by_kind[f'{order.kind.value} {what}'] += 1
            seconds = _UNLOAD_SECONDS
            if order.adapter:
                seconds = _ADAPTER_SECONDS
            elif order.kind is OrderKind.load:
                held = len(engine.adapters_by_model) + 1
                self.most_held = max(self.most_held, held)
                model = self.scheduler.spec.models_by_name[order.model]
                seconds = self.scheduler.load_seconds(engine, model)
            end = now + seconds + _HOP_SECONDS
            self._orders.append((end, engine, order))

    def _groups(self, now: float) -> list[GroupDemand]:
        by_key: dict[tuple[str, str], list[_Request]] = defaultdict(list)
        for request in self._waiting:
            by_key[request.model, request.adapter].append(request)
        return [
            _demand(model, adapter, requests, now)
            for (model, adapter), requests in by_key.items()
        ]


def _demand(
    model: str,
    adapter: str,
    requests: list[_Request],
    now: float,
) -> GroupDemand:
    targets = [request.at + request.kind.target for request in requests]
    in_time = [target for target in targets if target > now]
    return GroupDemand(
        service='s',
        model=model,
        adapter=adapter,
        count=len(requests),
        target_at=min(in_time, default=-math.inf),
        gives_up_at=max(
            request.at + request.kind.patience for request in requests
        ),
        since=min(request.at for request in requests),
        late=len(targets) - len(in_time),
    )


def _changes(order: EngineOrder | None, model: str, adapter: str) -> bool:
    if order is None or order.model != model:
        return False
    return not order.adapter or order.adapter == adapter


def replay(load: Load, seed: int) -> Replay:
    """Play a load once.

    :param load: what is asked for.
    :param seed: of the arrivals.
    """
    played = Replay(load, random.Random(seed))
    played.run()
    return played


def earned_share(played: list[Replay]) -> float:
    """Return the part of the worth owed that was earned.

    :param played: replays to take together.
    """
    scores = [score for one in played for score in one.scores_by_kind.values()]
    return sum(score.earned for score in scores) / sum(
        score.owed for score in scores
    )


def main(seeds: int = 5) -> None:
    """Print what each kind of request earned under each load.

    :param seeds: plays of each load.
    """
    for load in LOADS:
        played = [replay(load, seed) for seed in range(seeds)]
        print(f'{load.name}: earned {earned_share(played):.3f}')
        for kind in (load.draft, load.ask, load.batch):
            scores = [one.scores_by_kind[kind.name] for one in played]
            requests = sum(score.requests for score in scores)
            in_time = sum(score.in_time for score in scores) / requests
            given_up = sum(score.given_up for score in scores) / requests
            print(
                f'  {kind.name}: in time {in_time:.3f}, given up {given_up:.3f}'
            )
        orders = sum((one.orders_by_kind for one in played), Counter())
        print(
            f'  orders a play: { ({k: v // seeds for k, v in orders.items()}) }'
        )


if __name__ == '__main__':
    fire.Fire(main)
