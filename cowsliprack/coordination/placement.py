"""Selects the target that loads a deployment and the replicas to evict."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from cowsliprack.exceptions import ErrorKind
from cowsliprack.state.configuration import Deployment, Target

# Estimated duration of an unload including its confirmation.
_ESTIMATED_UNLOAD_SECONDS = 1.0
# A replica used more recently than this may have requests in flight that have
# not been reported to the leader yet: demand is reported each second.
_MIN_IDLE_SECONDS = 3.0
# Bounds of the retry delay in a refusal.
_MIN_RETRY_SECONDS = 1.0
_MAX_RETRY_SECONDS = 120.0


@dataclass(frozen=True, slots=True)
class ResidentReplica:
    """A replica on a candidate target.

    :param last_used: for a base model, the latest use of its adapters too.
    :param evictable: loaded and without waiting requests, and the same holds
        for the dependents.
    :param load_seconds: time to load it again.
    :param ready_in: seconds until its load ends; 0 when loaded.
    :param dependents: its adapters, which are evicted together with it.
    """

    deployment: str
    memory: int
    last_used: float
    load_seconds: float
    evictable: bool
    ready_in: float = 0
    dependents: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class CandidateTarget:
    """A target that may load the deployment.

    :param free: megabytes that are neither used nor reserved.
    :param running: number of running requests.
    :param accepts_orders: whether orders may be sent to it now.
    """

    target: Target
    free: int
    residents: tuple[ResidentReplica, ...] = ()
    running: int = 0
    accepts_orders: bool = True


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A requested deployment and the state on which its placement depends.

    :param candidates: targets of this zone.
    :param remaining: replicas that may still be loaded in this zone.
    :param deadline: earliest deadline of a waiting request, seconds.
    :param base: deployment of the base model, for an adapter.
    :param base_remaining: ``remaining`` of the base model.
    :param gate_delay: seconds until the gate admits the load of a full model.
    :param adapter_gate_delay: seconds until it admits the load of an adapter.
    """

    deployment: Deployment
    candidates: Sequence[CandidateTarget]
    remaining: int
    deadline: float
    now: float
    base: Deployment | None = None
    base_remaining: int = 0
    gate_delay: float = 0
    adapter_gate_delay: float = 0


@dataclass(frozen=True, slots=True)
class Placement:
    """Decision to load a deployment on a target.

    :param evict: deployments to unload from the target first.
    :param load_base: whether the base model must be loaded there first.
    :param ready_in: estimated seconds until the replica can serve.
    :param in_time: whether the earliest deadline can be met.
    """

    target_id: str
    evict: tuple[str, ...]
    load_base: bool
    ready_in: float
    in_time: bool
    reason: str
    inputs: Mapping[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Refusal:
    """Decision that a deployment cannot be loaded now.

    :param retry_after: seconds after which a retry may succeed.
    """

    kind: ErrorKind
    reason: str
    retry_after: float
    inputs: Mapping[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Option:
    candidate: CandidateTarget
    evict: tuple[ResidentReplica, ...]
    load_base: bool
    ready_in: float

    def rank(self) -> tuple[float, float, int, int, str]:
        """Return the sort key: readiness, eviction cost, load, free memory."""
        cost = sum(resident.load_seconds for resident in self.evict)
        return (
            round(self.ready_in, 1),
            cost,
            self.candidate.running,
            self.candidate.free,
            self.candidate.target.target_id,
        )


def place(request: PlacementRequest) -> Placement | Refusal:
    """Select the target that loads a deployment, or refuse the load.

    :param request: the deployment and the state of the zone.
    """
    if request.remaining <= 0:
        return _refuse(request, 'allowance used', _MIN_RETRY_SECONDS)
    in_pool = [
        candidate
        for candidate in request.candidates
        if candidate.target.pool == request.deployment.pool
    ]
    if not in_pool:
        return _refuse(request, 'no target in pool', _MAX_RETRY_SECONDS)
    available = [candidate for candidate in in_pool if candidate.accepts_orders]
    if not available:
        return _refuse(request, 'no target takes orders', _MIN_RETRY_SECONDS)
    examined = [_option(request, candidate) for candidate in available]
    options = [option for option in examined if option is not None]
    if not options:
        wait = _seconds_until_eviction(request, available)
        return _refuse(request, 'no memory', wait)
    best = min(options, key=_Option.rank)
    return Placement(
        target_id=best.candidate.target.target_id,
        evict=tuple(resident.deployment for resident in best.evict),
        load_base=best.load_base,
        ready_in=best.ready_in,
        in_time=request.now + best.ready_in <= request.deadline,
        reason='evicts idle' if best.evict else 'free memory',
        inputs=_inputs(request, options=len(options)),
    )


def _option(
    request: PlacementRequest, candidate: CandidateTarget
) -> _Option | None:
    deployment = request.deployment
    resident = {entry.deployment: entry for entry in candidate.residents}
    if deployment.name in resident:
        return None
    needed = deployment.memory
    load_base = False
    base_wait = float(0)
    base = request.base
    if base is not None and base.name in resident:
        base_wait = resident[base.name].ready_in
    elif base is not None:
        if request.base_remaining <= 0:
            return None
        load_base = True
        needed += base.memory
        base_wait = request.gate_delay + base.load_seconds
    evict = _choose_evictions(request, candidate, needed - candidate.free)
    if evict is None:
        return None
    delay = request.gate_delay
    if base is not None:
        delay = max(base_wait, request.adapter_gate_delay)
    unloading = _ESTIMATED_UNLOAD_SECONDS if evict else 0
    ready_in = delay + unloading + deployment.load_seconds
    return _Option(candidate, evict, load_base, ready_in)


def _choose_evictions(
    request: PlacementRequest,
    candidate: CandidateTarget,
    missing: int,
) -> tuple[ResidentReplica, ...] | None:
    """Return the replicas to evict; ``None`` if they cannot free enough."""
    if missing <= 0:
        return ()
    base_name = request.base.name if request.base else ''
    evictable = [
        resident
        for resident in candidate.residents
        if resident.evictable
        and resident.deployment != base_name
        and request.now - resident.last_used >= _MIN_IDLE_SECONDS
    ]
    evictable.sort(key=lambda resident: resident.last_used)
    chosen: dict[str, ResidentReplica] = {}
    for resident in evictable:
        if _total_memory(chosen) >= missing:
            break
        chosen.update(_with_dependents(resident, candidate))
    # A larger replica chosen later can make smaller earlier ones unnecessary.
    for name in tuple(chosen):
        rest = _without_replica(chosen, name)
        if _total_memory(rest) >= missing:
            chosen = rest
    if _total_memory(chosen) < missing:
        return None
    return tuple(chosen.values())


def _with_dependents(
    resident: ResidentReplica,
    candidate: CandidateTarget,
) -> dict[str, ResidentReplica]:
    names = resident.dependents | {resident.deployment}
    return {
        entry.deployment: entry
        for entry in candidate.residents
        if entry.deployment in names
    }


def _without_replica(
    chosen: Mapping[str, ResidentReplica],
    name: str,
) -> dict[str, ResidentReplica]:
    """Return the choice without a replica, and without the base it needs."""
    return {
        other: resident
        for other, resident in chosen.items()
        if other != name and name not in resident.dependents
    }


def _total_memory(chosen: Mapping[str, ResidentReplica]) -> int:
    return sum(resident.memory for resident in chosen.values())


def _seconds_until_eviction(
    request: PlacementRequest,
    candidates: Sequence[CandidateTarget],
) -> float:
    """Return the estimated seconds until memory can be freed."""
    waits = [
        (resident.ready_in or resident.last_used - request.now)
        + _MIN_IDLE_SECONDS
        for candidate in candidates
        for resident in candidate.residents
    ]
    if waits:
        return min(waits)
    needed = request.deployment.memory
    if any(candidate.target.memory >= needed for candidate in candidates):
        # Loads that are planned but not started have reserved the memory.
        load_seconds = request.deployment.load_seconds
        return request.gate_delay + load_seconds + _MIN_IDLE_SECONDS
    return _MAX_RETRY_SECONDS


def _refuse(
    request: PlacementRequest,
    reason: str,
    retry_after: float,
) -> Refusal:
    bounded = min(_MAX_RETRY_SECONDS, max(_MIN_RETRY_SECONDS, retry_after))
    return Refusal(
        ErrorKind.cold_start_unavailable,
        reason,
        bounded,
        _inputs(request, options=0),
    )


def _inputs(request: PlacementRequest, *, options: int) -> dict[str, object]:
    return {
        'deployment': request.deployment.name,
        'remaining': request.remaining,
        'targets': len(request.candidates),
        'options': options,
        'gate_delay': round(request.gate_delay, 2),
        'deadline_in': round(request.deadline - request.now, 2),
    }
