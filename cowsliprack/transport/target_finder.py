"""Finds the target of one request, or has the request wait for one."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from cowsliprack.coordination.fleet_view import FleetView
from cowsliprack.coordination.freshness import Freshness
from cowsliprack.coordination.target_selector import TargetSelector
from cowsliprack.coordination.waiting_requests import Waiter, WaitingRequests
from cowsliprack.exceptions import ErrorKind, ServingError
from cowsliprack.state.routing_table import RoutingTable
from cowsliprack.state.target_registry import TargetRecord
from cowsliprack.transport.routed_request import RoutedRequest

# Seconds between looks for a target while nothing is told to have changed.
_RECHECK_SECONDS = 0.25
# Seconds without a word of the leader and without a reading of the store after
# which an instance is cut off: no model will be loaded for what waits there.
_ISOLATED_AFTER_SECONDS = 2.0
# After which a request that a stopping instance refused may come back.
_STOP_RETRY_SECONDS = 0.1


@dataclass(slots=True)
class TargetFinder:
    """Looks for targets and keeps the requests that wait for a model.

    :param table: returns the configuration in force.
    :param demand_changed: called when a request begins to wait.
    :param clock: seconds; goes on during suspension.
    """

    fleet: FleetView
    target_selector: TargetSelector
    waiting_requests: WaitingRequests
    freshness: Freshness
    table: Callable[[], RoutingTable]
    demand_changed: Callable[[], None]
    clock: Callable[[], float]
    rng: random.Random = field(default_factory=random.Random)

    async def find(self, request: RoutedRequest) -> TargetRecord:
        """Return the target for a request, waiting for its model if need be.

        :param job: admitted request.
        :raises ServingError: there will be none in time, or the request may
            not run any more.
        """
        target = self._pick(request)
        if target is not None:
            return target
        facts = request.facts
        if not facts.model:
            raise ServingError(
                ErrorKind.no_target,
                'no target of the service is ready',
                retry_after=1,
            )
        gives_up_at = request.deadline
        if not request.exchange.started:
            gives_up_at = min(request.first_event_deadline, request.deadline)
        waiter = Waiter(
            key=(request.service, facts.model, facts.adapter),
            since=request.arrived_at,
            target_at=request.target_at,
            gives_up_at=gives_up_at,
        )
        with self.waiting_requests.registered(waiter):
            self.demand_changed()
            return await self._wait_for_target(request, waiter)

    async def _wait_for_target(
        self,
        request: RoutedRequest,
        waiter: Waiter,
    ) -> TargetRecord:
        while True:
            if self.waiting_requests.closed:
                raise shutting_down()
            now = self.clock()
            if self._is_isolated(now):
                raise ServingError(
                    ErrorKind.cold_start_unavailable,
                    'the instance is cut off from its leader and the store',
                    retry_after=self.rng.uniform(0.2, 0.6),
                )
            left = waiter.gives_up_at - now
            if left <= 0:
                raise ServingError(
                    ErrorKind.cold_start_unavailable,
                    'the model was not loaded in time',
                    retry_after=self.rng.uniform(0.5, 1.5),
                )
            changed = waiter.changed
            with anyio.move_on_after(min(left, _RECHECK_SECONDS)):
                await changed.wait()
            target = self._pick(request)
            if target is not None:
                return target

    def _pick(self, request: RoutedRequest) -> TargetRecord | None:
        """Return a target, or ``None`` when the request must wait.

        :raises ServingError: the request may not run any more.
        """
        now = self.clock()
        self._recheck_admission(request, now)
        facts = request.facts
        found = self.fleet.candidates(
            request.service,
            facts.model,
            facts.adapter,
            now,
        )
        allowed = [
            record for record in found if request.may_send_to(record.target_id)
        ]
        untried = [
            record
            for record in allowed
            if record.target_id not in request.tried
        ]
        prompt = facts.prompt_parts[-1][0] if facts.prompt_parts else ''
        return self.target_selector.choose(untried or allowed, now, prompt)

    def _is_isolated(self, now: float) -> bool:
        since_leader = now - self.fleet.updated_at
        since_store = self.freshness.age(now)
        return min(since_leader, since_store) > _ISOLATED_AFTER_SECONDS

    def _recheck_admission(self, request: RoutedRequest, now: float) -> None:
        """Check again what may have changed while the request waited."""
        table = self.table()
        if request.organisation is not None:
            self._recheck_key(request, table, now)
        route = table.find_route(request.host, request.path)
        if route is None:
            raise ServingError(
                ErrorKind.unknown_route,
                'the route has been removed',
            )
        services = {name for name, _ in route.services}
        if request.service not in services and not request.sends:
            request.service = pick_service(route.services, self.rng)

    def _recheck_key(
        self,
        request: RoutedRequest,
        table: RoutingTable,
        now: float,
    ) -> None:
        known = table.organisations_by_key.get(request.facts.key)
        if known is None or known.name != request.organisation_name():
            raise ServingError(
                ErrorKind.key_unknown,
                'the key has been withdrawn',
            )
        if not self.freshness.is_fresh(now) and not request.exchange.started:
            raise ServingError(
                ErrorKind.configuration_stale,
                'whether the key is still valid is not known',
                retry_after=1,
            )


def shutting_down() -> ServingError:
    """Return the error of a request that a stopping instance did not run."""
    # The other instances take the request as soon as it comes back.
    return ServingError(
        ErrorKind.shutting_down,
        'the instance stops',
        retry_after=_STOP_RETRY_SECONDS,
    )


def pick_service(
    services: tuple[tuple[str, float], ...],
    rng: random.Random,
) -> str:
    """Return one of a route's services by their shares.

    :param services: names and shares.
    :param rng: source of the choice.
    """
    if len(services) == 1:
        return services[0][0]
    names = [name for name, _ in services]
    return rng.choices(names, [share for _, share in services])[0]
