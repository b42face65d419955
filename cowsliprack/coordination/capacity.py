"""Targets and credit that an instance may use for its requests."""

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from cowsliprack.coordination import admission
from cowsliprack.coordination.credit import CreditAccount, Reservation
from cowsliprack.coordination.instance_demand import InstanceDemand
from cowsliprack.coordination.poison import PoisonTracker
from cowsliprack.coordination.routing import (
    RoutingDecision,
    RoutingQuery,
    choose_target,
)
from cowsliprack.coordination.serving import (
    AttemptFailure,
    Phase,
    ServingRequest,
)
from cowsliprack.coordination.view_tracker import (
    ViewTracker,
    service_targets,
    sync_targets,
)
from cowsliprack.exceptions import Ran, ServingError
from cowsliprack.protocol.peer import PoisonNotice
from cowsliprack.state.configuration import Configuration, Target
from cowsliprack.state.fleet import Fleet, TargetState, TargetStatus

# Requests per slot from which a target gets no more from this instance. The
# others stay in its queue, which is fair and can still refuse them.
_MAX_REQUESTS_PER_SLOT = 1.0
# Time for which a failure makes a target the last choice.
_FAILURE_LIFETIME_SECONDS = 5.0
_NO_TARGETS: frozenset[str] = frozenset()

Router = Callable[
    [Sequence[TargetStatus], RoutingQuery, random.Random],
    RoutingDecision | None,
]


@dataclass(slots=True)
class Capacity:
    """Targets and credit of one instance.

    Not safe for concurrent use.

    :param zone: availability zone of this instance.
    :param epoch: unique for each start of the process.
    :param rng: source of random candidates.
    :param route: selects a target; the benchmark replaces it.
    :param isolated_for: seconds without any source of configuration.
    """

    zone: str
    epoch: str
    rng: random.Random
    route: Router = choose_target
    isolated_for: float = 0
    configuration: Configuration = field(default_factory=Configuration)
    fleet: Fleet = field(default_factory=Fleet)
    views: ViewTracker = field(default_factory=ViewTracker)
    poison: PoisonTracker = field(default_factory=PoisonTracker)
    demand: InstanceDemand = field(default_factory=InstanceDemand)
    credit: CreditAccount = field(init=False)
    reservations_by_id: dict[str, Reservation] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create a credit account without credit."""
        self.credit = CreditAccount(self.epoch)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration.

        :param configuration: of a later generation.
        """
        self.configuration = configuration
        sync_targets(self.fleet, configuration)

    def check(self, request: ServingRequest) -> ServingError | None:
        """Return the error of a request that may not be served, or ``None``.

        :param request: of a caller.
        """
        return admission.check_request(
            request,
            self.configuration,
            self.isolated_for,
        )

    def candidates(self, request: ServingRequest) -> list[TargetStatus]:
        """Return the targets that could run a request now.

        :param request: whose resource is configured.
        """
        if request.is_model:
            return self.fleet.loaded_on(request.resource)
        service = self.configuration.services_by_route[request.resource]
        return service_targets(self.fleet, self.configuration, service.pool)

    def is_ready(self, resource: str) -> bool:
        """Return whether some target can run requests for a resource.

        :param resource: deployment or route.
        """
        if resource in self.configuration.services_by_route:
            return True
        return bool(self.fleet.loaded_on(resource))

    def choose(
        self,
        request: ServingRequest,
        now: float,
    ) -> RoutingDecision | None:
        """Choose the target of a request without reserving it.

        :param request: of a caller.
        :param now: seconds.
        """
        suspects = _NO_TARGETS
        is_suspect = self.poison.is_suspect(request.digest, now)
        if is_suspect:
            suspects = self.poison.suspect_targets(now)
        excluded = frozenset(request.excluded_targets)
        if not self.has_other_target(request):
            # All live targets have been tried; any of them may be used again.
            excluded = _NO_TARGETS
        query = RoutingQuery(
            zone=self.zone,
            zone_distance=self.configuration.policy.zone_distance,
            service_seconds=self.demand.service_seconds(request.resource),
            load_limit=_MAX_REQUESTS_PER_SLOT if request.is_model else math.inf,
            excluded=excluded,
            prefix_digest=request.prefix_digest or None,
            suspect=is_suspect,
            suspect_targets=suspects,
        )
        return self.route(self.candidates(request), query, self.rng)

    def has_other_target(self, request: ServingRequest) -> bool:
        """Return whether an untried target is or may become available.

        A deployment without a live target may still be loaded on another one.

        :param request: of a caller.
        """
        live = [
            status.target_id
            for status in self.candidates(request)
            if status.state is TargetState.live
        ]
        if not live:
            return request.is_model
        return not request.excluded_targets.issuperset(live)

    def is_blocked_individually(
        self, request: ServingRequest, now: float
    ) -> bool:
        """Return whether a restriction of this request alone blocks it.

        Requests behind it may start on the targets that it must not use.

        :param request: that cannot start.
        :param now: seconds.
        """
        if request.excluded_targets:
            return True
        return self.poison.is_suspect(request.digest, now)

    def can_start(self, request: ServingRequest, now: float) -> bool:
        """Return whether a request has its credit and a target.

        :param request: of a caller.
        :param now: seconds.
        """
        needs_credit = (
            bool(request.organisation)
            and request.request_id not in self.reservations_by_id
        )
        if needs_credit:
            available = self.credit.available(request.organisation, now)
            if available < request.tokens:
                return False
        return self.choose(request, now) is not None

    def start(
        self,
        request: ServingRequest,
        now: float,
    ) -> tuple[RoutingDecision, Target]:
        """Reserve credit and a target for a request that can start.

        :param request: for which ``can_start`` holds.
        :param now: seconds.
        """
        decision = self.choose(request, now)
        if decision is None or not self._reserve(request, now):
            # ``can_start`` was true earlier in the same event.
            raise RuntimeError('a request was dequeued that cannot start')
        target = self.configuration.targets_by_id[decision.target_id]
        self.fleet.targets_by_id[target.target_id].record_send(now)
        request.phase = Phase.running
        request.target_id = target.target_id
        request.attempts += 1
        request.dispatched_at = now
        if request.digest:
            request.in_flight_id = self.poison.add_in_flight(
                request.digest,
                target.target_id,
            )
        return decision, target

    def boot_id(self, target_id: str) -> str:
        """Return the last reported boot id of a target, empty if unknown.

        :param target_id: id of the target.
        """
        return self.fleet.targets_by_id[target_id].boot_id

    def release(self, request: ServingRequest) -> None:
        """Release the target slot of a request that no longer runs there.

        :param request: that was started.
        """
        self.poison.remove_in_flight(request.in_flight_id)
        status = self.fleet.targets_by_id.get(request.target_id)
        if status is not None:
            status.record_end(request.dispatched_at)

    def record_success(self, request: ServingRequest, now: float) -> None:
        """Update the target and the service time after a successful request.

        :param request: that was started.
        :param now: seconds.
        """
        status = self.fleet.targets_by_id.get(request.target_id)
        if status is not None:
            status.failures = 0
        self.demand.record_served(request.resource, now - request.dispatched_at)

    def settle(
        self, request: ServingRequest, used_tokens: float, now: float
    ) -> None:
        """Return the credit that a request did not use.

        :param request: that has ended.
        :param used_tokens: prompt plus generated tokens.
        :param now: seconds.
        """
        reservation = self.reservations_by_id.pop(request.request_id, None)
        if reservation is None:
            return
        if request.ran is Ran.may_have_run:
            # The tokens generated by an interrupted attempt are unknown.
            used_tokens = max(used_tokens, reservation.tokens)
        self.credit.settle(reservation, used_tokens, now)

    def record_failure(
        self,
        request: ServingRequest,
        failure: AttemptFailure,
        now: float,
    ) -> list[PoisonNotice]:
        """Update the target and the crash counts after a failed attempt.

        :param request: that was started.
        :param failure: outcome of the attempt.
        :param now: seconds.
        :returns: notices for the other instances.
        """
        status = self.fleet.targets_by_id.get(request.target_id)
        if status is not None:
            status.failures += 1
            status.failed_at = now
        # Engines are reported as live again by their leader, plain services are
        # not; failures make a service the last choice until they expire.
        is_unavailable = bool(failure.crash_id) or failure.unreachable
        is_reported = request.is_model and status is not None
        if is_reported and is_unavailable and status.state is TargetState.live:
            status.state = TargetState.crashed
        if not failure.crash_id:
            return []
        return self.poison.on_crash(request.target_id, failure.crash_id, now)

    def reset_old_failures(self, now: float) -> None:
        """Reset the failure count of targets without a recent failure.

        :param now: seconds.
        """
        for status in self.fleet.targets_by_id.values():
            if now - status.failed_at > _FAILURE_LIFETIME_SECONDS:
                status.failures = 0

    def mark_leaving(self, target_id: str) -> None:
        """Send no new requests to a target.

        :param target_id: unknown ids are ignored.
        """
        status = self.fleet.targets_by_id.get(target_id)
        if status is not None:
            status.state = TargetState.leaving

    def _reserve(self, request: ServingRequest, now: float) -> bool:
        if not request.organisation:
            return True
        if request.request_id in self.reservations_by_id:
            return True
        reservation = self.credit.reserve(
            request.organisation,
            request.tokens,
            now,
        )
        if reservation is None:
            return False
        self.reservations_by_id[request.request_id] = reservation
        return True
