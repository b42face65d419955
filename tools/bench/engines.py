"""Engines and the weight store, modelled by their service times."""

import functools
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from cowsliprack.protocol.target import (
    Order,
    OrderKind,
    OrderOutcome,
    ReplicaReport,
    TargetReport,
)
from cowsliprack.state.configuration import Checkpoint, Deployment, Target
from tools.bench.clock import VirtualClock

# Average time for a prompt or output token, and fixed time for each request.
_SECONDS_PER_TOKEN = 0.005
_REQUEST_OVERHEAD_SECONDS = 0.1
_UNLOAD_SECONDS = 0.2
# Engines report cached figures that are at most this old.
_REPORT_MAX_AGE_SECONDS = 0.5
_MAX_REPORTED_ORDERS = 64

OutcomeCallback = Callable[[OrderOutcome], object]


def service_seconds(used_tokens: int) -> float:
    """Return how long a request runs on an engine, in seconds.

    :param used_tokens: prompt plus generated tokens.
    """
    return _REQUEST_OVERHEAD_SECONDS + used_tokens * _SECONDS_PER_TOKEN


@dataclass(slots=True)
class WeightStore:
    """Source of checkpoints with a limit on concurrent loads.

    :param max_concurrent_loads: concurrent loads; further ones are queued.
    :param slow_from: start of the slow period, seconds.
    :param slow_until: end of the slow period, seconds.
    :param slow_factor: factor on the duration of loads that start in it.
    """

    clock: VirtualClock
    max_concurrent_loads: int
    slow_from: float
    slow_until: float
    slow_factor: float = 3
    running: int = 0
    peak_running: int = 0
    _waiting: deque[tuple[float, Callable[[], object]]] = field(
        default_factory=deque,
    )

    def fetch(self, seconds: float, on_done: Callable[[], object]) -> None:
        """Start a load, or queue it until a slot is free.

        :param seconds: duration outside the slow period.
        :param on_done: called when the load has finished.
        """
        if self.running >= self.max_concurrent_loads:
            self._waiting.append((seconds, on_done))
            return
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        duration = seconds * self.slowdown_factor(self.clock.now)
        self.clock.call_in(duration, functools.partial(self._finish, on_done))

    def slowdown_factor(self, now: float) -> float:
        """Return the factor on the duration of a load that starts now.

        :param now: seconds.
        """
        slow = self.slow_from <= now < self.slow_until
        return self.slow_factor if slow else 1

    def _finish(self, on_done: Callable[[], object]) -> None:
        self.running -= 1
        on_done()
        if self._waiting:
            seconds, waiting = self._waiting.popleft()
            self.fetch(seconds, waiting)


@dataclass(slots=True)
class EngineReplica:
    """A replica on an engine with its idle time.

    :param idle_since: seconds; ``None`` while loading or running requests.
    :param idle_seconds: total time loaded without a running request.
    """

    deployment: Deployment
    loaded: bool = False
    running: int = 0
    idle_since: float | None = None
    idle_seconds: float = 0

    def mark_idle(self, now: float) -> None:
        """Start counting idle time.

        :param now: seconds.
        """
        self.idle_since = now

    def mark_busy(self, now: float) -> None:
        """Add the idle time that has ended to the total.

        :param now: seconds.
        """
        if self.idle_since is not None:
            self.idle_seconds += now - self.idle_since
        self.idle_since = None


@dataclass(slots=True)
class Engine:
    """An engine that serves requests and carries out a leader's orders.

    :param overcommitted: whether a load did not fit into the memory.
    :param idle_accelerator_seconds: accelerator time for which replicas that
        were unloaded since had been idle, weighted by their share of memory.
    """

    target: Target
    clock: VirtualClock
    store: WeightStore
    deployments_by_name: Mapping[str, Deployment]
    replicas_by_name: dict[str, EngineReplica] = field(default_factory=dict)
    running: int = 0
    fencing: int = 0
    overcommitted: bool = False
    idle_accelerator_seconds: float = 0
    _waiting: deque[Callable[[], object]] = field(default_factory=deque)
    _done_orders: deque[str] = field(
        default_factory=functools.partial(deque, maxlen=_MAX_REPORTED_ORDERS),
    )
    _report: TargetReport | None = None
    _reported_at: float = 0

    def is_loaded(self, deployment: str) -> bool:
        """Return whether the engine can serve a deployment.

        :param deployment: name.
        """
        replica = self.replicas_by_name.get(deployment)
        return replica is not None and replica.loaded

    def serve(
        self,
        deployment: str,
        used_tokens: int,
        on_done: Callable[[bool], object],
    ) -> None:
        """Run a request, or queue it until a slot is free.

        :param deployment: name.
        :param used_tokens: prompt plus generated tokens.
        :param on_done: called with whether the request ran.
        """
        if not self.is_loaded(deployment):
            on_done(False)
            return
        start = functools.partial(self._start, deployment, used_tokens, on_done)
        if self.running >= self.target.slots:
            self._waiting.append(start)
            return
        start()

    def carry_out(self, order: Order, on_outcome: OutcomeCallback) -> None:
        """Carry out an order and report its outcome.

        :param order: order of a zone leader.
        :param on_outcome: called with the outcome.
        """
        if order.fencing < self.fencing:
            on_outcome(OrderOutcome.stale_fencing)
            return
        self.fencing = order.fencing
        if order.kind is OrderKind.load:
            self._load(order, on_outcome)
        elif order.kind is OrderKind.unload:
            end = functools.partial(self._unload, order, on_outcome)
            self.clock.call_in(_UNLOAD_SECONDS, end)
        else:
            on_outcome(OrderOutcome.done)

    def report(self) -> TargetReport:
        """Return the cached report with its age, renewed if it is too old."""
        now = self.clock.now
        if (
            self._report is None
            or now - self._reported_at >= _REPORT_MAX_AGE_SECONDS
        ):
            self._reported_at = now
            self._report = self._new_report()
        report = self._report
        return TargetReport(
            report.target_id,
            report.boot_id,
            report.running,
            report.queued,
            report.memory_used,
            report.memory_total,
            report.highest_fencing,
            now - self._reported_at,
            replicas=report.replicas,
            done_orders=report.done_orders,
        )

    def total_idle_accelerator_seconds(self) -> float:
        """Return the idle accelerator seconds of past and present replicas."""
        present = float(0)
        for replica in self.replicas_by_name.values():
            if replica.idle_since is not None:
                replica.mark_busy(self.clock.now)
                replica.mark_idle(self.clock.now)
            present += self._accelerator_share(replica) * replica.idle_seconds
        return self.idle_accelerator_seconds + present

    def memory_used(self) -> int:
        """Return the memory that the replicas occupy, megabytes."""
        return sum(
            replica.deployment.memory
            for replica in self.replicas_by_name.values()
        )

    def _accelerator_share(self, replica: EngineReplica) -> float:
        memory_share = replica.deployment.memory / self.target.memory
        return memory_share * self.target.accelerators

    def _new_report(self) -> TargetReport:
        return TargetReport(
            self.target.target_id,
            'boot',
            self.running,
            len(self._waiting),
            self.memory_used(),
            self.target.memory,
            self.fencing,
            replicas=tuple(
                ReplicaReport(
                    name,
                    'loaded' if replica.loaded else 'loading',
                    replica.deployment.memory,
                )
                for name, replica in self.replicas_by_name.items()
            ),
            done_orders=tuple(self._done_orders),
        )

    def _start(
        self,
        deployment: str,
        used_tokens: int,
        on_done: Callable[[bool], object],
    ) -> None:
        self.running += 1
        for replica in self._replicas_in_use(deployment):
            replica.running += 1
            replica.mark_busy(self.clock.now)
        seconds = service_seconds(used_tokens)
        end = functools.partial(self._finish, deployment, on_done)
        self.clock.call_in(seconds, end)

    def _finish(
        self, deployment: str, on_done: Callable[[bool], object]
    ) -> None:
        self.running -= 1
        for replica in self._replicas_in_use(deployment):
            replica.running -= 1
            if replica.running == 0:
                replica.mark_idle(self.clock.now)
        on_done(True)
        if self._waiting and self.running < self.target.slots:
            self._waiting.popleft()()

    def _replicas_in_use(self, deployment: str) -> list[EngineReplica]:
        """Return the replicas that a request uses, adapter and base model."""
        base = self.deployments_by_name[deployment].base
        replicas = [self.replicas_by_name.get(deployment)]
        if base is not None:
            replicas.append(self.replicas_by_name.get(base))
        return [replica for replica in replicas if replica is not None]

    def _load(self, order: Order, on_outcome: OutcomeCallback) -> None:
        deployment = self.deployments_by_name[order.deployment]
        if order.deployment in self.replicas_by_name:
            on_outcome(OrderOutcome.done)
            return
        if self.memory_used() + deployment.memory > self.target.memory:
            self.overcommitted = True
            on_outcome(OrderOutcome.no_memory)
            return
        replica = EngineReplica(deployment)
        self.replicas_by_name[order.deployment] = replica
        end = functools.partial(self._finish_load, order, replica, on_outcome)
        is_remote = deployment.checkpoint is Checkpoint.remote
        if is_remote and deployment.adapter is None:
            self.store.fetch(deployment.load_seconds, end)
        else:
            self.clock.call_in(deployment.load_seconds, end)

    def _finish_load(
        self,
        order: Order,
        replica: EngineReplica,
        on_outcome: OutcomeCallback,
    ) -> None:
        replica.loaded = True
        replica.mark_idle(self.clock.now)
        self._done_orders.append(order.order_id)
        on_outcome(OrderOutcome.done)

    def _unload(self, order: Order, on_outcome: OutcomeCallback) -> None:
        replica = self.replicas_by_name.pop(order.deployment, None)
        if replica is not None:
            replica.mark_busy(self.clock.now)
            self.idle_accelerator_seconds += (
                self._accelerator_share(replica) * replica.idle_seconds
            )
        self._done_orders.append(order.order_id)
        on_outcome(OrderOutcome.done)
