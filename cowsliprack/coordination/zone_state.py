"""State of a zone leader, shared by the modules that make its decisions."""

from dataclasses import dataclass, field

from cowsliprack.coordination.allowance import AllowanceTracker
from cowsliprack.coordination.bookings import NEVER, Booking
from cowsliprack.coordination.gate import WeightGate
from cowsliprack.coordination.idle import (
    IdleRule,
    UsageHistory,
    is_unload_cheaper,
)
from cowsliprack.coordination.orders import OrderTracker
from cowsliprack.coordination.other_zones import OtherZones
from cowsliprack.coordination.placement import CandidateTarget, ResidentReplica
from cowsliprack.coordination.takeover import EngineStatus, EngineStatusTable
from cowsliprack.coordination.zone_demand import DemandTracker
from cowsliprack.protocol.target import Order, OrderKind
from cowsliprack.state.configuration import Configuration, Deployment, Target
from cowsliprack.state.fleet import ReplicaState

# After a failed write the journal counts as unavailable for this long.
_JOURNAL_RETRY_SECONDS = 5.0


@dataclass(slots=True)
class Plan:
    """A planned load that has not been ordered yet.

    :param evict: deployments to unload from the target first.
    :param deadline: earliest deadline at the time of planning, seconds.
    :param preload: whether it was planned without waiting requests.
    """

    deployment: Deployment
    target_id: str
    evict: tuple[str, ...]
    created_at: float
    deadline: float
    preload: bool = False


@dataclass(slots=True)
class ZoneState:
    """State of one term of leadership.

    :param fencing: fencing number of the lease, unique for each term.
    :param degraded: whether the lease lapsed because the store is unavailable.
    """

    zone: str
    fencing: int
    configuration: Configuration
    engine_statuses: EngineStatusTable
    gate: WeightGate
    orders: OrderTracker = field(default_factory=OrderTracker)
    allowances: AllowanceTracker = field(init=False)
    demand: DemandTracker = field(default_factory=DemandTracker)
    usage: UsageHistory = field(default_factory=UsageHistory)
    other_zones: OtherZones = field(default_factory=OtherZones)
    plans_by_deployment: dict[str, Plan] = field(default_factory=dict)
    last_order_number: int = 0
    degraded: bool = False
    # Decides when an idle replica is unloaded.
    idle_rule: IdleRule = is_unload_cheaper
    # Wall clock time minus the clock of the decisions, seconds.
    wall_clock_offset: float = 0
    forecast_checked_at: float = NEVER
    # Orders that wait for the write of their intent, and unloads that wait
    # until the instances have been notified.
    awaiting_intent: dict[str, Order] = field(default_factory=dict)
    delayed_orders: list[tuple[float, Order]] = field(default_factory=list)
    journal_failed_at: float = NEVER
    # Replicas (deployment, target) of an earlier version of their deployment.
    outdated: set[tuple[str, str]] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Create the allowance tracker of the zone."""
        self.allowances = AllowanceTracker(self.zone)

    def new_order(
        self,
        kind: OrderKind,
        target_id: str,
        deployment: Deployment | None = None,
        name: str = '',
    ) -> Order:
        """Return an order with a unique id.

        :param kind: kind of the order.
        :param target_id: id of the target.
        :param deployment: deployment to load.
        :param name: deployment to unload, which the configuration may no
            longer contain.
        """
        self.last_order_number += 1
        order_id = f'{self.zone}-{self.fencing}-{self.last_order_number}'
        if deployment is None:
            return Order(order_id, kind, target_id, name, self.fencing)
        return Order(
            order_id,
            kind,
            target_id,
            deployment.name,
            self.fencing,
            deployment.model,
            deployment.version,
            deployment.adapter,
            deployment.memory,
            deployment.checkpoint.value,
        )

    def occupied(self, deployment: Deployment) -> int:
        """Return the number of replicas that are or may be loaded in the zone.

        :param deployment: the deployment.
        """
        unverified = set(self.engine_statuses.unverified(deployment.pool))
        booked = [
            booking
            for booking in self.orders.table.of_deployment(deployment.name)
            if booking.target_id not in unverified
        ]
        return len(booked) + len(unverified)

    def occupied_by_deployment(self) -> dict[str, int]:
        """Return ``occupied`` of all deployments for which it is positive."""
        unverified_by_pool: dict[str, set[str]] = {}
        for engine_status in self.engine_statuses.by_target.values():
            if not engine_status.verified:
                pool = unverified_by_pool.setdefault(
                    engine_status.target.pool, set()
                )
                pool.add(engine_status.target.target_id)
        occupied: dict[str, int] = {}
        for booking in self.orders.table.all_bookings():
            count = occupied.get(booking.deployment, 0)
            occupied[booking.deployment] = count + 1
        if unverified_by_pool:
            for (
                name,
                deployment,
            ) in self.configuration.deployments_by_name.items():
                if deployment.pool in unverified_by_pool:
                    occupied[name] = self.occupied(deployment)
        return occupied

    def remaining(self, deployment: Deployment) -> int:
        """Return the number of replicas that may still be loaded in the zone.

        :param deployment: the deployment.
        """
        allowed = self.allowances.allowed(deployment)
        planned = int(deployment.name in self.plans_by_deployment)
        return allowed - self.occupied(deployment) - planned

    def has_journal(self, now: float) -> bool:
        """Return whether the journal is expected to accept intents.

        :param now: seconds.
        """
        failed = now - self.journal_failed_at < _JOURNAL_RETRY_SECONDS
        return not (self.degraded or failed)

    def base_of(self, deployment: Deployment) -> Deployment | None:
        """Return the deployment of an adapter's base model.

        :param deployment: the adapter.
        """
        if deployment.base is None:
            return None
        return self.configuration.deployments_by_name.get(deployment.base)

    def free_memory(self, engine_status: EngineStatus) -> int:
        """Return the megabytes that are neither used nor reserved.

        :param engine_status: the target.
        """
        capacity = engine_status.target.memory
        if engine_status.reported is not None:
            capacity = min(capacity, engine_status.reported.memory_total)
        target_id = engine_status.target.target_id
        table = self.orders.table
        return capacity - table.on_target(target_id).memory_used()

    def accelerators_used(self, target: Target, memory: int) -> float:
        """Return the accelerators that a replica occupies, by its memory.

        :param target: target of the replica.
        :param memory: memory of the replica in megabytes.
        """
        if target.memory <= 0:
            return target.accelerators
        return target.accelerators * min(1, memory / target.memory)

    def may_load(self, deployment: Deployment, now: float) -> bool:
        """Return whether the zone has an allowance and a target for a load.

        :param deployment: the deployment.
        :param now: seconds.
        """
        if self.allowances.allowed(deployment) <= 0:
            return False
        return any(
            engine_status.target.pool == deployment.pool
            and self.engine_statuses.takes_loads(
                engine_status.target.target_id, now
            )
            for engine_status in self.engine_statuses.by_target.values()
        )

    def candidate_targets(self, pool: str, now: float) -> list[CandidateTarget]:
        """Return the targets of a pool with their memory and replicas.

        :param pool: name of the pool.
        :param now: seconds.
        """
        return [
            self._candidate(engine_status, now)
            for engine_status in self.engine_statuses.by_target.values()
            if engine_status.target.pool == pool
        ]

    def _candidate(
        self, engine_status: EngineStatus, now: float
    ) -> CandidateTarget:
        target_id = engine_status.target.target_id
        bookings = self.orders.table.on_target(target_id).by_deployment
        reserved = sum(
            self._memory_reserved_by(plan)
            for plan in self.plans_by_deployment.values()
            if plan.target_id == target_id
        )
        running = (
            engine_status.reported.running if engine_status.reported else 0
        )
        takes_loads = self.engine_statuses.takes_loads(target_id, now)
        journal = engine_status.target.checks_fencing or self.has_journal(now)
        return CandidateTarget(
            engine_status.target,
            self.free_memory(engine_status) - reserved,
            tuple(
                self._resident(booking, bookings, now)
                for booking in bookings.values()
            ),
            running,
            accepts_orders=takes_loads and journal,
        )

    def _memory_reserved_by(self, plan: Plan) -> int:
        """Return the memory that a plan will use in excess of its evictions."""
        table = self.orders.table
        needed = plan.deployment.memory
        base = self.base_of(plan.deployment)
        if base is not None and table.find(base.name, plan.target_id) is None:
            needed += base.memory
        for name in plan.evict:
            booking = table.find(name, plan.target_id)
            needed -= booking.memory if booking else 0
        return needed

    def _resident(
        self,
        booking: Booking,
        bookings: dict[str, Booking],
        now: float,
    ) -> ResidentReplica:
        dependents = {
            name
            for name in bookings
            if self._base_of_name(name) == booking.deployment
        }
        group = [bookings[name] for name in dependents | {booking.deployment}]
        deployments = self.configuration.deployments_by_name
        deployment = deployments.get(booking.deployment)
        return ResidentReplica(
            booking.deployment,
            booking.memory,
            max(self.last_used(entry) for entry in group),
            deployment.load_seconds if deployment else 0,
            all(self._is_evictable(entry) for entry in group),
            max(0, booking.ready_at - now) if booking.is_loading() else 0,
            frozenset(dependents),
        )

    def last_used(self, booking: Booking) -> float:
        """Return when a replica was last used, seconds.

        :param booking: the replica.
        """
        return max(
            booking.last_used,
            self.usage.last_used(booking.deployment),
        )

    def _base_of_name(self, name: str) -> str | None:
        deployment = self.configuration.deployments_by_name.get(name)
        return deployment.base if deployment else None

    def _is_evictable(self, booking: Booking) -> bool:
        name = booking.deployment
        settled = booking.state is ReplicaState.loaded and not booking.order
        reserved = any(
            plan.target_id == booking.target_id
            and name in {*plan.evict, plan.deployment.base}
            for plan in self.plans_by_deployment.values()
        )
        return settled and not reserved and not self.demand.waits_for(name)
