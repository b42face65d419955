"""Services to which each route has led lately.

A stream goes on at the service that began it, also after its route has moved to
another service.
"""

from dataclasses import dataclass, field

from cowsliprack.coordination.stream_origins import ORIGIN_LIFETIME_SECONDS
from cowsliprack.state.routing_table import Route, RoutingTable

# Host and path prefix, by which callers reach the same route again.
_RouteKey = tuple[str, str]


@dataclass(slots=True)
class RouteHistory:
    """Services of routes that may have begun a stream.

    Configurations that were replaced before this process began are missing.
    """

    _current_by_route: dict[_RouteKey, tuple[str, ...]] = field(
        default_factory=dict
    )
    # Time of the change by which a route stopped leading to a service.
    _left_at_by_route: dict[_RouteKey, dict[str, float]] = field(
        default_factory=dict
    )

    def observe(self, table: RoutingTable, now: float) -> None:
        """Apply a new configuration.

        :param table: its routes.
        :param now: seconds.
        """
        last = self._current_by_route
        self._current_by_route = {
            _key(route): _services(route)
            for routes in table.routes_by_host.values()
            for route in routes
        }
        self._drop_expired(now)
        for key, services in last.items():
            for service in services:
                if service not in self._current_by_route.get(key, ()):
                    self._left_at_by_route.setdefault(key, {})[service] = now

    def _drop_expired(self, now: float) -> None:
        recent_by_route = {
            key: _recent(left_at, now)
            for key, left_at in self._left_at_by_route.items()
        }
        self._left_at_by_route = {
            key: left_at for key, left_at in recent_by_route.items() if left_at
        }

    def services(self, route: Route, now: float) -> tuple[str, ...]:
        """Return the services that may have begun a stream of a route.

        :param route: as the request found it.
        :param now: seconds.
        """
        return self._with_earlier(_key(route), _services(route), now)

    def split_services(self, now: float) -> set[str]:
        """Return the services that share a route with other services.

        :param now: seconds.
        """
        split: set[str] = set()
        for key, current in self._current_by_route.items():
            services = self._with_earlier(key, current, now)
            if len(services) > 1:
                split.update(services)
        return split

    def _with_earlier(
        self, key: _RouteKey, current: tuple[str, ...], now: float
    ) -> tuple[str, ...]:
        earlier = _recent(self._left_at_by_route.get(key, {}), now)
        return (*current, *(name for name in earlier if name not in current))


def _recent(left_at: dict[str, float], now: float) -> dict[str, float]:
    return {
        service: at
        for service, at in left_at.items()
        if now - at < ORIGIN_LIFETIME_SECONDS
    }


def _key(route: Route) -> _RouteKey:
    return route.host, route.path_prefix


def _services(route: Route) -> tuple[str, ...]:
    return tuple(name for name, _ in route.services)
