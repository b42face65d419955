"""Demand for deployments, from the reports of instances and other zones."""

from dataclasses import dataclass

from cowsliprack.protocol.peer import DemandReport

# Instances report each second while requests wait; without a report for this
# long, the requests of a sender count as answered or lost.
_REPORT_EXPIRY_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class Demand:
    """Waiting requests for a deployment, aggregated over all senders.

    :param deadline: earliest deadline, seconds.
    :param waited: longest wait, seconds.
    """

    deployment: str
    waiting: int
    deadline: float
    waited: float
    priority: int
    senders: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _Entry:
    report: DemandReport
    deadline: float
    received_at: float


class DemandTracker:
    """Stores the last report of each sender for each deployment."""

    def __init__(self) -> None:
        """Start without demand."""
        self._entries_by_deployment: dict[str, dict[str, _Entry]] = {}

    def update(self, report: DemandReport, sender: str, now: float) -> None:
        """Replace the previous report of a sender.

        :param report: a report without waiting requests ends the demand.
        :param sender: id of an instance or of another zone's leader.
        :param now: seconds.
        """
        if report.waiting <= 0:
            self.remove(report.deployment, sender)
            return
        by_sender = self._entries_by_deployment.setdefault(
            report.deployment,
            {},
        )
        deadline = now + report.earliest_deadline
        by_sender[sender] = _Entry(report, deadline, now)

    def remove(self, deployment: str, sender: str) -> None:
        """Remove the demand of a sender.

        :param deployment: name of the deployment.
        :param sender: id of the sender.
        """
        by_sender = self._entries_by_deployment.get(deployment, {})
        by_sender.pop(sender, None)
        if not by_sender:
            self._entries_by_deployment.pop(deployment, None)

    def clear(self, deployment: str) -> None:
        """Remove all demand for a deployment after a refusal.

        :param deployment: name of the deployment.
        """
        self._entries_by_deployment.pop(deployment, None)

    def expire(self, now: float) -> None:
        """Remove the demand of senders that have stopped reporting.

        :param now: seconds.
        """
        outdated = [
            (deployment, sender)
            for deployment, by_sender in self._entries_by_deployment.items()
            for sender, entry in by_sender.items()
            if now - entry.received_at > _REPORT_EXPIRY_SECONDS
        ]
        for deployment, sender in outdated:
            self.remove(deployment, sender)

    def waits_for(self, deployment: str) -> bool:
        """Return whether requests wait for a deployment.

        :param deployment: name of the deployment.
        """
        return deployment in self._entries_by_deployment

    def of_deployment(self, deployment: str) -> Demand | None:
        """Return the demand for one deployment.

        :param deployment: name of the deployment.
        """
        by_sender = self._entries_by_deployment.get(deployment)
        if not by_sender:
            return None
        entries = list(by_sender.values())
        return Demand(
            deployment,
            sum(entry.report.waiting for entry in entries),
            min(entry.deadline for entry in entries),
            max(entry.report.waited for entry in entries),
            max(entry.report.priority for entry in entries),
            tuple(by_sender),
        )

    def every(self) -> list[Demand]:
        """Return the demand for all deployments."""
        found = [
            self.of_deployment(name) for name in self._entries_by_deployment
        ]
        return [demand for demand in found if demand is not None]
