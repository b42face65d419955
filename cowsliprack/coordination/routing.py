"""Target selection for one request, without I/O."""

import functools
import math
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType

from cowsliprack.state.fleet import TargetState, TargetStatus

# Time that a full batch adds to the first token of an engine.
FULL_BATCH_SECONDS = 0.01
# Answer time that one recent failure of a target counts as. It must exceed
# the wait behind a full batch, so that a target that refuses connections is
# the last choice although it is idle.
FAILURE_COST_SECONDS = 10
# Time that a cached prefix or a resident adapter saves.
AFFINITY_GAIN_SECONDS = 0.05
# Share of the slots in use from which affinity is ignored, so that requests
# with a popular prefix do not overload one target.
AFFINITY_MAX_LOAD = 0.8
# Number of random candidates that are compared.
_SAMPLE_SIZE = 2
# The request and its answer each cross the network between zones once.
_ZONE_CROSSINGS = 2
_NO_TARGETS: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class RoutingQuery:
    """Properties of the request that needs a target.

    :param zone: zone of this instance.
    :param zone_distance: one-way network time to another zone, seconds.
    :param service_seconds: expected time for which a request holds a slot.
    :param load_limit: requests per slot from which a target gets no more.
    :param excluded: targets that must not get this request (already tried).
    :param prefix_digest: digest of the prompt's prefix.
    :param affine_targets: targets on which the adapter is resident.
    :param suspect: one crash is counted against the request.
    :param suspect_targets: targets that run a suspect request now.
    """

    zone: str
    zone_distance: float = 0.001
    service_seconds: float = 1
    load_limit: float = math.inf
    excluded: frozenset[str] = _NO_TARGETS
    prefix_digest: str | None = None
    affine_targets: frozenset[str] = _NO_TARGETS
    suspect: bool = False
    suspect_targets: frozenset[str] = _NO_TARGETS


@dataclass(frozen=True, slots=True)
class RoutingDecision:
    """Chosen target with the reason and the inputs for the log line."""

    target_id: str
    reason: str
    inputs: Mapping[str, object]


def choose_target(
    candidates: Sequence[TargetStatus],
    query: RoutingQuery,
    rng: random.Random,
) -> RoutingDecision | None:
    """Return the target for a request, or ``None`` when none is eligible.

    Two random candidates of the own zone and two of the other zones are
    compared, because all instances see the same stale load reports and would
    otherwise choose the same target.

    :param candidates: targets on which the deployment is loaded.
    :param query: the request and this instance's zone.
    :param rng: source of the random candidates.
    """
    eligible = [status for status in candidates if _is_eligible(status, query)]
    local = [status for status in eligible if status.zone == query.zone]
    remote = [status for status in eligible if status.zone != query.zone]
    sampled = (*_sample(local, rng), *_sample(remote, rng))
    best_affine = _best_affine(eligible, query)
    compared = sampled if best_affine is None else (*sampled, best_affine)
    if not compared:
        return None
    # At equal cost ``min`` returns the first, so the own zone is preferred.
    chosen = min(compared, key=_cost_for(query))
    return RoutingDecision(
        chosen.target_id,
        _reason(chosen, query, eligible, local),
        MappingProxyType(
            {
                'compared': tuple(
                    (
                        status.target_id,
                        status.estimated_running(),
                        round(_cost(status, query), 4),
                    )
                    for status in compared
                ),
                'eligible': len(eligible),
                'candidates': len(candidates),
                'suspect': query.suspect,
            },
        ),
    )


def expected_answer_seconds(
    status: TargetStatus,
    query: RoutingQuery,
) -> float:
    """Return the expected time to the first token, without affinity.

    :param status: last report, corrected by the requests sent since.
    :param query: the request and this instance's zone.
    :returns: seconds.
    """
    slots = max(status.slots, 1)
    running = status.estimated_running()
    batch_delay = min(running / slots, 1) * FULL_BATCH_SECONDS
    queued_ahead = max(running + 1 - slots, 0)
    slot_wait = queued_ahead / slots * query.service_seconds
    network_time = 0 if status.zone == query.zone else query.zone_distance
    return batch_delay + slot_wait + _ZONE_CROSSINGS * network_time


def _is_eligible(status: TargetStatus, query: RoutingQuery) -> bool:
    if status.state is not TargetState.live:
        return False
    if status.target_id in query.excluded:
        return False
    # A crash of a target with two suspect requests would count against both,
    # although at most one of them caused it.
    if query.suspect and status.target_id in query.suspect_targets:
        return False
    return _load(status) < query.load_limit


def _load(status: TargetStatus) -> float:
    return status.estimated_running() / max(status.slots, 1)


def _sample(
    statuses: Sequence[TargetStatus],
    rng: random.Random,
) -> Sequence[TargetStatus]:
    if len(statuses) <= _SAMPLE_SIZE:
        return statuses
    return rng.sample(statuses, _SAMPLE_SIZE)


def _has_affinity(status: TargetStatus, query: RoutingQuery) -> bool:
    if _load(status) >= AFFINITY_MAX_LOAD:
        return False
    if status.target_id in query.affine_targets:
        return True
    return (
        query.prefix_digest is not None
        and query.prefix_digest in status.prefix_digests
    )


def _best_affine(
    eligible: Sequence[TargetStatus],
    query: RoutingQuery,
) -> TargetStatus | None:
    affine = [status for status in eligible if _has_affinity(status, query)]
    return min(affine, key=_cost_for(query), default=None)


def _cost_for(query: RoutingQuery) -> Callable[[TargetStatus], float]:
    return functools.partial(_cost, query=query)


def _cost(status: TargetStatus, query: RoutingQuery) -> float:
    seconds = expected_answer_seconds(status, query)
    seconds += status.failures * FAILURE_COST_SECONDS
    if _has_affinity(status, query):
        seconds -= AFFINITY_GAIN_SECONDS
    return seconds


def _reason(
    chosen: TargetStatus,
    query: RoutingQuery,
    eligible: Sequence[TargetStatus],
    local: Sequence[TargetStatus],
) -> str:
    if len(eligible) == 1:
        return 'only candidate'
    if _has_affinity(chosen, query):
        return 'affinity'
    if chosen.zone == query.zone:
        return 'own zone'
    if local:
        return 'other zone answers sooner'
    return 'loaded only in other zones'
