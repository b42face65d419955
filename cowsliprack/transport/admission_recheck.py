"""Checks the admission of a request again before each send."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from cowsliprack.coordination.fleet_view import FleetView
from cowsliprack.coordination.freshness import Freshness
from cowsliprack.coordination.poison import PoisonTracker
from cowsliprack.exceptions import ErrorKind, ServingError
from cowsliprack.state.routing_table import Route, RoutingTable
from cowsliprack.transport.routed_request import RoutedRequest


@dataclass(slots=True)
class AdmissionRecheck:
    """Rejects requests that are no longer admitted.

    :param table: returns the active routing table.
    :param poison: crashes by request and prompt part.
    """

    fleet: FleetView
    freshness: Freshness
    table: Callable[[], RoutingTable]
    poison: PoisonTracker
    rng: random.Random

    def check(self, request: RoutedRequest, now: float) -> None:
        """Check key and route again; they may have changed during the wait.

        :param request: whose service changes with its route.
        :param now: seconds.
        :raises ServingError: the request is no longer admitted.
        """
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
            self._leave_service(request, route)
        if not self._is_version_running(request):
            raise ServingError(
                ErrorKind.version_unavailable,
                'no target runs the software version that began the stream',
                retry_after=self.rng.uniform(1, 2),
            )
        seconds_refused = self.poison.seconds_refused(request.digests, now)
        if seconds_refused:
            raise ServingError(
                ErrorKind.quarantined,
                'targets crashed on the request or on a part of its prompt',
                retry_after=seconds_refused,
            )

    def _leave_service(self, request: RoutedRequest, route: Route) -> None:
        """Choose another service for a request whose route has moved."""
        if request.begun_version:
            raise ServingError(
                ErrorKind.version_unavailable,
                'the route no longer leads to the service of the stream',
                retry_after=self.rng.uniform(1, 2),
            )
        request.service = pick_service(route.services, self.rng)

    def _is_version_running(self, request: RoutedRequest) -> bool:
        if not request.begun_version:
            return True
        ready = self.fleet.registry.ready_targets(request.service)
        return any(request.may_continue_at(record) for record in ready)

    def _recheck_key(
        self,
        request: RoutedRequest,
        table: RoutingTable,
        now: float,
    ) -> None:
        known = table.organisations_by_key.get(request.metadata.key)
        if known is None or known.name != request.organisation_name():
            raise ServingError(
                ErrorKind.key_unknown,
                'the key has been withdrawn',
            )
        if not self.freshness.is_fresh(now) and not request.exchange.started:
            raise ServingError(
                ErrorKind.configuration_stale,
                'cannot check the key: the configuration is stale',
                retry_after=1,
            )


def pick_service(
    services: tuple[tuple[str, float], ...],
    rng: random.Random,
) -> str:
    """Choose one of a route's services at random, weighted by share.

    :param services: names and shares.
    :param rng: random number generator.
    """
    if len(services) == 1:
        return services[0][0]
    names = [name for name, _ in services]
    return rng.choices(names, [share for _, share in services])[0]
