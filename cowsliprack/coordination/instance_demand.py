"""Demand that an instance reports to its leader, and expected waits."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from cowsliprack.coordination.fair_queue import WaitingSummary
from cowsliprack.exceptions import ErrorKind, ServingError
from cowsliprack.protocol.peer import ColdStartRefusal, DemandReport

# New demand is reported immediately, lasting demand at this interval.
_REPORT_INTERVAL_SECONDS = 0.5
# Weight of the last request in the average service time.
_SMOOTHING = 0.1
_DEFAULT_SERVICE_SECONDS = 1.0


@dataclass(slots=True)
class ResourceDemand:
    """Demand for one resource.

    :param served: requests served since the last report.
    :param service_seconds: exponentially weighted average service time.
    """

    served: int = 0
    service_seconds: float = _DEFAULT_SERVICE_SECONDS
    reported_at: float = -_REPORT_INTERVAL_SECONDS
    reported_waiting: int = 0


@dataclass(slots=True)
class RefusedColdStart:
    """A cold start that the leader has refused.

    :param until: when it may be requested again, seconds.
    """

    message: ColdStartRefusal
    until: float


@dataclass(slots=True)
class InstanceDemand:
    """Demand of one instance by deployment."""

    demand_by_resource: dict[str, ResourceDemand] = field(default_factory=dict)
    refused_by_deployment: dict[str, RefusedColdStart] = field(
        default_factory=dict
    )

    def record_served(self, resource: str, seconds: float) -> None:
        """Count a request that has completed.

        :param resource: deployment or route.
        :param seconds: its service time.
        """
        demand = self._demand_for(resource)
        demand.served += 1
        demand.service_seconds += _SMOOTHING * (
            seconds - demand.service_seconds
        )

    def service_seconds(self, resource: str) -> float:
        """Return the average service time of requests.

        :param resource: deployment or route.
        """
        demand = self.demand_by_resource.get(resource)
        return demand.service_seconds if demand else _DEFAULT_SERVICE_SECONDS

    def record_refusal(self, message: ColdStartRefusal, now: float) -> None:
        """Store a refused cold start until it may be requested again.

        :param message: refusal from the zone leader.
        :param now: seconds.
        """
        self.refused_by_deployment[message.deployment] = RefusedColdStart(
            message,
            now + message.retry_after,
        )

    def refusal(
        self,
        deployment: str,
        deadline: float,
        now: float,
    ) -> ServingError | None:
        """Return the error of a request that cannot be served in time.

        :param deployment: deployment that is not loaded.
        :param deadline: deadline of the request, seconds.
        :param now: seconds.
        """
        refused = self.refused_by_deployment.get(deployment)
        if refused is None:
            return None
        if refused.until <= now:
            self.refused_by_deployment.pop(deployment)
            return None
        if deadline > refused.until:
            return None
        return ServingError(
            ErrorKind(refused.message.kind),
            refused.message.reason,
            retry_after=refused.until - now,
        )

    def due_reports(
        self,
        waiting_by_deployment: Mapping[str, WaitingSummary],
        now: float,
    ) -> list[DemandReport]:
        """Return the reports to send to the leader now.

        :param waiting_by_deployment: summaries of the queue.
        :param now: seconds.
        """
        reports = []
        resources = set(waiting_by_deployment) | set(self.demand_by_resource)
        for resource in resources:
            demand = self._demand_for(resource)
            summary = waiting_by_deployment.get(resource)
            if self._is_due(demand, summary, now):
                reports.append(_report(resource, demand, summary, now))
                demand.reported_at = now
                demand.reported_waiting = summary.count if summary else 0
                demand.served = 0
        return reports

    def _demand_for(self, resource: str) -> ResourceDemand:
        return self.demand_by_resource.setdefault(resource, ResourceDemand())

    def _is_due(
        self,
        demand: ResourceDemand,
        summary: WaitingSummary | None,
        now: float,
    ) -> bool:
        waiting = summary.count if summary else 0
        if waiting and not demand.reported_waiting:
            return True
        has_news = bool(waiting or demand.served or demand.reported_waiting)
        return has_news and now >= demand.reported_at + _REPORT_INTERVAL_SECONDS


def _report(
    resource: str,
    demand: ResourceDemand,
    summary: WaitingSummary | None,
    now: float,
) -> DemandReport:
    if summary is None:
        return DemandReport(
            deployment=resource,
            waiting=0,
            earliest_deadline=0,
            served=demand.served,
        )
    return DemandReport(
        deployment=resource,
        waiting=summary.count,
        earliest_deadline=summary.earliest_deadline - now,
        waited=now - summary.oldest_since,
        served=demand.served,
        priority=summary.priority,
        tokens_by_organisation=summary.tokens_by_organisation,
    )
