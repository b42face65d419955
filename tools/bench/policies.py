"""The current policy and variants that simplify one part of it each."""

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


def _keep_controller(_controller: ZoneController, _scenario: Scenario) -> None:
    """Keep the controller of a zone leader as it is."""


@dataclass(frozen=True, slots=True)
class PolicyVariant:
    """The current policy with at most one part replaced.

    :param name: name in the printed table.
    :param route: chooses the target of a request.
    :param make_queue: creates the queue of an instance.
    :param static_shares: whether each instance gets an equal share of the rate.
    :param configure_leader: changes the controller of a zone leader.
    """

    name: str
    route: Router = choose_target
    make_queue: Callable[[int], FairQueue] = FairQueue
    static_shares: bool = False
    configure_leader: Callable[[ZoneController, Scenario], None] = (
        _keep_controller
    )


class FirstComeQueue(FairQueue):
    """Queue that serves requests in the order of their arrival."""

    def pop(
        self,
        now: float,
        can_start: Callable[[QueuedRequest], bool],
    ) -> QueuedRequest | None:
        """Remove and return the oldest entry that can start, if any.

        :param now: seconds.
        :param can_start: whether an entry has both credit and a target.
        """
        rejected_keys: set[tuple[str, str]] = set()
        for entry in self.entries():
            queue_key = (entry.organisation, entry.deployment)
            if queue_key not in rejected_keys and can_start(entry):
                self.remove(entry.request_id)
                return entry
            rejected_keys.add(queue_key)
        return None


def route_at_random(
    candidates: Sequence[TargetStatus],
    query: RoutingQuery,
    rng: random.Random,
) -> RoutingDecision | None:
    """Choose a random live target that the request has not tried.

    :param candidates: targets on which the deployment is loaded.
    :param query: describes the request.
    :param rng: random source.
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


def _set_fixed_idle_rule(
    controller: ZoneController,
    _scenario: Scenario,
) -> None:
    controller.state.idle_rule = has_idle_time_passed


CURRENT_POLICY = PolicyVariant('policy in force')
FIXED_IDLE_TIME = PolicyVariant(
    'least recently used, fixed idle time',
    configure_leader=_set_fixed_idle_rule,
)
VARIANTS = (
    CURRENT_POLICY,
    FIXED_IDLE_TIME,
    PolicyVariant('first come, first served', make_queue=FirstComeQueue),
    PolicyVariant('static shares by instance', static_shares=True),
    PolicyVariant('random routing', route=route_at_random),
)
