"""Cold-start, idle, fairness and refusal measures of a simulated run."""

import heapq
import math
from collections.abc import Sequence
from dataclasses import dataclass

from cowsliprack.state.configuration import Checkpoint
from tools.bench.engines import service_seconds
from tools.bench.world import Simulation, Trace

_SECONDS_PER_HOUR = 3600.0
_P95 = 0.95
_P99 = 0.99


@dataclass(frozen=True, slots=True)
class Score:
    """Measures of one run.

    :param cold_starts: requests whose deployment was not loaded on arrival;
        those refused for their rate are left out.
    :param cold_start_p95: seconds from arrival to dispatch of these
        requests; a wrongful refusal counts with its whole timeout.
    :param cold_start_p99: the same for the 99th percentile.
    :param store_bound_p99: the same if only the loads took time and all zones
        shared the slots of the weight store.
    :param idle_accelerator_hours: accelerator hours for which replicas were
        loaded without a running request, weighted by their share of memory.
    :param worst_served_share: tokens of the worst-served organisation, as a
        share of what one bucket with its rate and burst would have admitted.
    :param wrongful_refusals: requests refused although such a bucket, charged
        with the requests actually admitted, had enough tokens.
    :param requests: number of all requests of the run.
    """

    cold_starts: int
    cold_start_p95: float
    cold_start_p99: float
    store_bound_p99: float
    idle_accelerator_hours: float
    worst_served_share: float
    wrongful_refusals: int
    requests: int


def score_run(simulation: Simulation) -> Score:
    """Return the measures of a run that has ended.

    :param simulation: the run with its traces.
    """
    cold_waits: list[float] = []
    entitled_by_organisation: dict[str, float] = {}
    served_by_organisation: dict[str, float] = {}
    wrongful_refusals = 0
    ideal_buckets = IdealBuckets(simulation)
    admitted_buckets = IdealBuckets(simulation)
    for trace in simulation.traces:
        arrival = trace.arrival
        name = arrival.organisation
        if trace.dispatched_at is not None:
            served = served_by_organisation.get(name, 0)
            served_by_organisation[name] = served + arrival.reserved_tokens
        if ideal_buckets.reserve(trace, is_admitted=False):
            entitled = entitled_by_organisation.get(name, 0)
            entitled_by_organisation[name] = entitled + arrival.reserved_tokens
        has_tokens = admitted_buckets.reserve(
            trace, is_admitted=not trace.refusal_kind
        )
        wrongful_refusals += int(has_tokens and bool(trace.refusal_kind))
        if trace.is_cold and (has_tokens or not trace.refusal_kind):
            cold_waits.append(_cold_start_seconds(trace))
    served_shares = [
        min(1, served_by_organisation.get(name, 0) / entitled)
        for name, entitled in entitled_by_organisation.items()
    ]
    idle_seconds = sum(
        engine.total_idle_accelerator_seconds()
        for engine in simulation.engines_by_id.values()
    )
    return Score(
        len(cold_waits),
        percentile(cold_waits, _P95),
        percentile(cold_waits, _P99),
        percentile(_store_bound_waits(simulation), _P99),
        idle_seconds / _SECONDS_PER_HOUR,
        min(served_shares, default=1),
        wrongful_refusals,
        len(simulation.traces),
    )


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return a percentile by the nearest-rank method; 0 without values.

    :param values: values in any order.
    :param fraction: rank as a fraction from 0 to 1.
    """
    if not values:
        return 0
    rank = math.ceil(fraction * len(values)) - 1
    return sorted(values)[max(0, rank)]


def _cold_start_seconds(trace: Trace) -> float:
    if trace.dispatched_at is None:
        return trace.arrival.timeout
    return trace.dispatched_at - trace.arrival.arrived_at


class IdealBuckets:
    """One token bucket for each organisation, shared by all instances."""

    def __init__(self, simulation: Simulation) -> None:
        """Start with full buckets."""
        self._organisations = simulation.configuration.organisations_by_id
        self._tokens_by_organisation = {
            name: organisation.burst
            for name, organisation in self._organisations.items()
        }
        self._updated_at = float(0)
        # Heap of unused tokens to return: time, organisation and tokens.
        self._refunds: list[tuple[float, str, int]] = []

    def reserve(self, trace: Trace, *, is_admitted: bool) -> bool:
        """Reserve the tokens of a request if the bucket has enough.

        Unused tokens return to the bucket when the request ends.

        :param trace: the next request in the order of arrival.
        :param is_admitted: whether the request was admitted, so that its tokens
            are taken even if the bucket has too few.
        :returns: whether the bucket had enough tokens.
        """
        arrival = trace.arrival
        self._advance(arrival.arrived_at)
        available = self._tokens_by_organisation[arrival.organisation]
        has_tokens = available >= arrival.reserved_tokens
        if is_admitted or has_tokens:
            remaining = max(0, available - arrival.reserved_tokens)
            self._tokens_by_organisation[arrival.organisation] = remaining
            ends_at = (
                trace.dispatched_at or arrival.arrived_at
            ) + service_seconds(arrival.used_tokens)
            unused = arrival.reserved_tokens - arrival.used_tokens
            refund = (ends_at, arrival.organisation, unused)
            heapq.heappush(self._refunds, refund)
        return has_tokens

    def _advance(self, now: float) -> None:
        while self._refunds and self._refunds[0][0] <= now:
            refunded_at, name, tokens = heapq.heappop(self._refunds)
            self._refill(refunded_at)
            self._add_tokens(name, tokens)
        self._refill(now)

    def _refill(self, now: float) -> None:
        elapsed = max(0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        for name, organisation in self._organisations.items():
            self._add_tokens(name, elapsed * organisation.rate)

    def _add_tokens(self, name: str, tokens: float) -> None:
        available = self._tokens_by_organisation[name] + tokens
        burst = self._organisations[name].burst
        self._tokens_by_organisation[name] = min(burst, available)


def _store_bound_waits(simulation: Simulation) -> list[float]:
    """Return the waits of the cold requests if only loads took time.

    A load of a deployment starts with the first cold request that arrives after
    its last load has ended. Remote loads share the slots and the rate limit of
    the weight store.
    """
    policy = simulation.configuration.policy
    slots = [float(0) for _ in range(policy.loads_at_once)]
    next_start = float(0)
    ready_at_by_deployment: dict[str, float] = {}
    waits = []
    for trace in simulation.traces:
        if not trace.is_cold:
            continue
        name = trace.arrival.deployment
        arrived_at = trace.arrival.arrived_at
        if ready_at_by_deployment.get(name, -1) < arrived_at:
            deployment = simulation.configuration.deployments_by_name[name]
            started_at = arrived_at
            load_seconds = deployment.load_seconds
            is_remote = deployment.checkpoint is Checkpoint.remote
            if is_remote and deployment.adapter is None:
                started_at = max(arrived_at, heapq.heappop(slots), next_start)
                next_start = started_at + 1 / policy.loads_per_second
                load_seconds *= simulation.store.slowdown_factor(started_at)
                heapq.heappush(slots, started_at + load_seconds)
            ready_at_by_deployment[name] = started_at + load_seconds
        waits.append(ready_at_by_deployment[name] - arrived_at)
    return waits
