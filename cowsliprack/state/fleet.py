"""Targets and replicas as known to an instance."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum, unique


@unique
class TargetState(StrEnum):
    """Whether a target may get requests."""

    live = 'live'
    leaving = 'leaving'
    crashed = 'crashed'


@unique
class ReplicaState(StrEnum):
    """Stage of a deployment on one target.

    ``in_doubt`` means that the outcome of an order is unknown; such a replica
    counts as loaded.
    """

    loading = 'loading'
    loaded = 'loaded'
    unloading = 'unloading'
    in_doubt = 'in_doubt'


@dataclass(slots=True)
class Replica:
    """A deployment on a target.

    :param memory: memory that it takes on the target, MB.
    :param ready_at: estimated end of the load, seconds.
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
    """Last report of a target, adjusted by the requests of this instance.

    :param reported_running: number of running requests in the last report.
    :param reported_at: time of that report, seconds.
    :param sent_since_report: requests that this instance sent after it.
    :param own_running: requests of this instance in flight.
    :param send_times: times of the requests that this instance sent after the
        last report, seconds.
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
    send_times: deque[float] = field(default_factory=deque)

    def record_send(self, now: float) -> None:
        """Count a request sent by this instance.

        :param now: seconds.
        """
        self.send_times.append(now)
        self.sent_since_report = len(self.send_times)
        self.own_running += 1

    def record_end(self, sent_at: float) -> None:
        """Count the end of a request sent by this instance.

        A request that the last report may include is subtracted from it, so
        that a busy instance sees free slots before the next report.

        :param sent_at: time that was given to ``record_send``, seconds.
        """
        self.own_running = max(0, self.own_running - 1)
        if sent_at > self.reported_at and sent_at in self.send_times:
            self.send_times.remove(sent_at)
            self.sent_since_report = len(self.send_times)
        else:
            self.reported_running = max(0, self.reported_running - 1)

    def apply_report(self, running: int, taken_at: float) -> None:
        """Apply a report; requests sent after it are still added.

        :param running: number of requests running on the target.
        :param taken_at: time at which the target made the report, seconds.
        """
        if taken_at <= self.reported_at:
            return
        self.reported_at = taken_at
        self.reported_running = running
        while self.send_times and self.send_times[0] <= taken_at:
            self.send_times.popleft()
        self.sent_since_report = len(self.send_times)

    def estimated_running(self) -> int:
        """Return the estimated number of requests running on the target."""
        return max(
            self.reported_running + self.sent_since_report,
            self.own_running,
        )


class Fleet:
    """Targets and replicas by their ids.

    Only one task may use it, as there is no locking.
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
        """Insert or replace a replica.

        :param replica: its current state.
        """
        by_target = self.replicas_by_deployment.setdefault(
            replica.deployment,
            {},
        )
        by_target[replica.target_id] = replica

    def drop_replica(self, deployment: str, target_id: str) -> None:
        """Remove a replica.

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
