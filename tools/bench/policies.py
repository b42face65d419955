"""The policy in force and the simplest alternatives to its parts."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from types import MappingProxyType

from cowsliprack.coordination.capacity import Router
from cowsliprack.coordination.fair_queue import FairQueue, QueuedRequest
from cowsliprack.coordination.idle import has_idle_time_passed
from cowsliprack.coordination.routing import (
    RoutingDecision,
    RoutingQuery,
    choose_target,
)
from cowsliprack.coordination.zone import ZoneController
from cowsliprack.state.fleet import TargetState, TargetStatus
from tools.bench.workload import Scenario


def _leave_leader(_controller: ZoneController, _scenario: Scenario) -> None:
    """Change nothing."""


@dataclass(frozen=True, slots=True)
class PolicyVariant:
    """One policy: the program's own but for one part.

    :param static_shares: equal parts of each rate for each instance.
    """

    name: str
    route: Router = choose_target
    make_queue: Callable[[int], FairQueue] = FairQueue
    static_shares: bool = False
    prepare_leader: Callable[[ZoneController, Scenario], None] = _leave_leader


class FirstComeQueue(FairQueue):
    """Serves requests in the order of their arrival."""

    def pop(
        self,
        now: float,
        can_start: Callable[[QueuedRequest], bool],
    ) -> QueuedRequest | None:
        """Remove and return the oldest entry that can start.

        :param now: seconds.
        :param can_start: whether an entry has its credit and a target.
        """
        tried: set[tuple[str, str]] = set()
        for entry in self.entries():
            line = (entry.organisation, entry.deployment)
            if line not in tried and can_start(entry):
                self.remove(entry.request_id)
                return entry
            tried.add(line)
        return None


def route_at_random(
    candidates: Sequence[TargetStatus],
    query: RoutingQuery,
    rng: random.Random,
) -> RoutingDecision | None:
    """Choose any live target that the request has not tried.

    :param candidates: targets on which the deployment is loaded.
    :param query: the request.
    :param rng: source of the choice.
    """
    eligible = [
        status
        for status in candidates
        if status.state is TargetState.live
        and status.target_id not in query.excluded
    ]
    if not eligible:
        return None
    chosen = rng.choice(eligible)
    return RoutingDecision(chosen.target_id, 'random', MappingProxyType({}))


def _use_fixed_idle_time(
    controller: ZoneController,
    _scenario: Scenario,
) -> None:
    controller.state.idle_rule = has_idle_time_passed


IN_FORCE = PolicyVariant('policy in force')
FIXED_IDLE = PolicyVariant(
    'least recently used, fixed idle time',
    prepare_leader=_use_fixed_idle_time,
)
VARIANTS = (
    IN_FORCE,
    FIXED_IDLE,
    PolicyVariant('first come, first served', make_queue=FirstComeQueue),
    PolicyVariant('static shares by instance', static_shares=True),
    PolicyVariant('random routing', route=route_at_random),
)
