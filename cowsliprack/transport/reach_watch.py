"""Checks whether this instance reaches the targets of its services."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import httpx

from cowsliprack.coordination.reachability import Reachability
from cowsliprack.coordination.target_selector import TargetSelector
from cowsliprack.logs import log_decision
from cowsliprack.protocol.dialect import HeaderPairs
from cowsliprack.state.routing_table import RoutingTable, ServiceSpec
from cowsliprack.state.target_registry import TargetRecord, TargetRegistry
from cowsliprack.transport.bounded_body import read_body
from cowsliprack.transport.running_time import RunningTime

_CHECK_INTERVAL_SECONDS = 0.4
# Longest wait for the answer to a check, which takes a few milliseconds.
_CHECK_TIMEOUT_SECONDS = 0.4
# Health checks have short answers; a longer one is cut off.
_MAX_BODY_BYTES = 65_536


@dataclass(slots=True)
class ReachWatch:
    """Task that checks targets while there are signs of a lost path.

    :param selector: health of the targets as requests show it.
    :param client: HTTP client for the checks.
    :param running_time: extends the timeout of the checks.
    :param table: returns the active routing table.
    :param clock: seconds; must keep running during suspension.
    :param answered: called with a target and the status and headers of its
        answer to a check.
    """

    registry: TargetRegistry
    selector: TargetSelector
    client: httpx.AsyncClient
    running_time: RunningTime
    table: Callable[[], RoutingTable]
    clock: Callable[[], float]
    answered: Callable[[TargetRecord, int, HeaderPairs], None]
    reachability: Reachability = field(init=False)

    def __post_init__(self) -> None:
        """Begin without a suspicion."""
        self.reachability = Reachability(self.registry, self.selector)

    def has_lost_engines(self) -> bool:
        """Return whether orders to the engines of a service don't arrive."""
        return any(
            service.engine is not None
            and self.reachability.is_cut_off(service.name)
            for service in self.table().services_by_name.values()
        )

    async def run(self, changed: Callable[[], None]) -> None:
        """Check until cancelled.

        :param changed: called when a service is lost or regained.
        """
        while True:
            await anyio.sleep(_CHECK_INTERVAL_SECONDS)
            services_by_name = self.table().services_by_name
            self.reachability.forget(services_by_name)
            cut_off = self.reachability.cut_off_services()
            async with anyio.create_task_group() as tasks:
                for service in services_by_name.values():
                    tasks.start_soon(self._check_service, service)
            if self.reachability.cut_off_services() != cut_off:
                changed()

    async def _check_service(self, service: ServiceSpec) -> None:
        since = self.clock()
        checked = self.reachability.targets_to_check(service.name, since)
        if not checked:
            return
        reached_ids: set[str] = set()
        async with anyio.create_task_group() as tasks:
            for record in checked:
                tasks.start_soon(self._check, service, record, reached_ids)
        if not self.reachability.record_checks(
            service.name, reached_ids, since, self.clock()
        ):
            return
        log_decision(
            'reachability',
            'lost'
            if self.reachability.is_cut_off(service.name)
            else 'regained',
            'health checks of targets on new connections',
            service=service.name,
            checked=[target.target_id for target in checked],
            reached=sorted(reached_ids),
        )

    async def _check(
        self,
        service: ServiceSpec,
        record: TargetRecord,
        reached_ids: set[str],
    ) -> None:
        """Add the target to the reached ones if it gives any answer."""
        url = f'http://{record.address}{service.health_path}'
        response = await check_health(self.client, self.running_time, url)
        if response is not None:
            reached_ids.add(record.target_id)
            self.answered(record, response.status_code, response.headers.raw)


async def check_health(
    client: httpx.AsyncClient, running_time: RunningTime, url: str
) -> httpx.Response | None:
    """Return the answer to a check on a new connection; its body is read.

    :param client: HTTP client for targets.
    :param running_time: extends the timeout.
    :param url: of the health check.
    :returns: ``None`` if no head of an answer arrives in time.
    """
    try:
        request = httpx.Request('GET', url, extensions={'fresh': True})
        with running_time.fail_after(_CHECK_TIMEOUT_SECONDS):
            response = await client.send(request, stream=True)
            await _finish(response)
    except (httpx.HTTPError, httpx.InvalidURL, TimeoutError):
        return None
    return response


async def is_answering(
    client: httpx.AsyncClient, running_time: RunningTime, url: str
) -> bool:
    """Return whether a new connection gets the head of any answer.

    :param client: HTTP client for targets.
    :param running_time: extends the timeout.
    :param url: of the health check.
    """
    return await check_health(client, running_time, url) is not None


async def _finish(response: httpx.Response) -> None:
    """Read a small body, so that the connection can be used again."""
    try:
        await read_body(response, _MAX_BODY_BYTES)
    except httpx.HTTPError:
        # The head has shown that the target is reached.
        return
    finally:
        with anyio.CancelScope(shield=True):
            await response.aclose()
