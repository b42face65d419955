"""What an instance knows of targets and replicas."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum, unique


@unique
class TargetState(StrEnum):
    """Whether a target may get work."""

    live = 'live'
    leaving = 'leaving'
    crashed = 'crashed'


@unique
class ReplicaState(StrEnum):
    """Stage of a deployment on one target.

    ``in_doubt`` is an order without a known outcome; it counts as loaded.
    """

    loading = 'loading'
    loaded = 'loaded'
    unloading = 'unloading'
    in_doubt = 'in_doubt'


@dataclass(slots=True)
class Replica:
    """A deployment on a target.

    :param ready_at: estimated time at which a load ends, seconds.
    :param last_used: time of the last request, seconds.
    """

    deployment: str
    target_id: str
    state: ReplicaState
    memory: int = 0
    ready_at: float = 0
    last_used: float = 0


@dataclass(slots=True)
class TargetStatus:
    """Last report of a target, corrected by this instance's own sends.

    :param reported_running: requests running there by the last report.
    :param reported_at: when the report was made, seconds.
    :param sent_since_report: own requests sent since that report.
    :param own_running: own requests in flight.
    """

    target_id: str
    zone: str
    slots: int
    state: TargetState = TargetState.live
    reported_running: int = 0
    reported_at: float = 0
    sent_since_report: int = 0
    own_running: int = 0
    prefix_digests: set[str] = field(default_factory=set)
    failures: int = 0
    failed_at: float = 0
    boot_id: str = ''
    # Times of own sends that the last report cannot show yet, seconds.
    sends: deque[float] = field(default_factory=deque)

    def record_send(self, now: float) -> None:
        """Count a request sent by this instance.

        :param now: seconds.
        """
        self.sends.append(now)
        self.sent_since_report = len(self.sends)
        self.own_running += 1

    def record_end(self, sent_at: float) -> None:
        """Count the end of a request sent by this instance.

        A request that the last report may have counted is taken off it, so a
        busy instance does not wait for the next report to see free slots.

        :param sent_at: as given to ``record_send``, seconds.
        """
        self.own_running = max(0, self.own_running - 1)
        if sent_at > self.reported_at and sent_at in self.sends:
            self.sends.remove(sent_at)
            self.sent_since_report = len(self.sends)
        else:
            self.reported_running = max(0, self.reported_running - 1)

    def apply_report(self, running: int, taken_at: float) -> None:
        """Take a report; own sends after it was taken still count.

        :param running: requests running on the target.
        :param taken_at: when the target took the figure, seconds.
        """
        if taken_at <= self.reported_at:
            return
        self.reported_at = taken_at
        self.reported_running = running
        while self.sends and self.sends[0] <= taken_at:
            self.sends.popleft()
        self.sent_since_report = len(self.sends)

    def estimated_running(self) -> int:
        """Return the number of requests that probably run there."""
        return max(
            self.reported_running + self.sent_since_report,
            self.own_running,
        )


class Fleet:
    """Targets and replicas as this instance sees them.

    Owned by one task; no locking.
    """

    def __init__(self) -> None:
        """Start with no target and no replica."""
        self.targets_by_id: dict[str, TargetStatus] = {}
        self.replicas_by_deployment: dict[str, dict[str, Replica]] = {}

    def loaded_on(self, deployment: str) -> list[TargetStatus]:
        """Return the live targets on which a deployment is loaded.

        :param deployment: name of the deployment.
        """
        replicas_by_target = self.replicas_by_deployment.get(deployment, {})
        return [
            self.targets_by_id[replica.target_id]
            for replica in replicas_by_target.values()
            if replica.state is ReplicaState.loaded
            and replica.target_id in self.targets_by_id
            and self.targets_by_id[replica.target_id].state is TargetState.live
        ]

    def set_replica(self, replica: Replica) -> None:
        """Insert a replica or replace what was known of it.

        :param replica: what is now known.
        """
        by_target = self.replicas_by_deployment.setdefault(
            replica.deployment,
            {},
        )
        by_target[replica.target_id] = replica

    def drop_replica(self, deployment: str, target_id: str) -> None:
        """Forget a replica.

        :param deployment: name of the deployment.
        :param target_id: id of the target.
        """
        by_target = self.replicas_by_deployment.get(deployment, {})
        by_target.pop(target_id, None)
        if not by_target:
            self.replicas_by_deployment.pop(deployment, None)

    def replicas(self) -> list[Replica]:
        """Return all known replicas."""
        return [
            replica
            for by_target in self.replicas_by_deployment.values()
            for replica in by_target.values()
        ]
