"""Applies the views of zone leaders to the fleet state of an instance."""

from dataclasses import dataclass, field

from cowsliprack.protocol.peer import ReplicaView, TargetInfo
from cowsliprack.state.configuration import Configuration, TargetKind
from cowsliprack.state.fleet import (
    Fleet,
    Replica,
    ReplicaState,
    TargetState,
    TargetStatus,
)


@dataclass(slots=True)
class ViewTracker:
    """Applies views in order; ignores those older than the last of a zone.

    :param last_version_by_zone: fencing and sequence of the last view.
    """

    last_version_by_zone: dict[str, tuple[int, int]] = field(
        default_factory=dict
    )

    def apply(self, fleet: Fleet, view: ReplicaView, now: float) -> bool:
        """Update the targets and replicas of a view unless it is outdated.

        :param fleet: of this instance.
        :param view: of a zone's leader.
        :param now: seconds.
        :returns: whether the view was applied.
        """
        version = (view.fencing, view.sequence)
        if version <= self.last_version_by_zone.get(view.zone, (-1, -1)):
            return False
        self.last_version_by_zone[view.zone] = version
        covered_targets = {target.target_id for target in view.targets}
        if view.full:
            covered_targets.update(_targets_of_zone(fleet, view.zone))
        for target in view.targets:
            _apply_target(fleet, target, now)
        _replace_replicas(fleet, view, covered_targets, now)
        return True


def sync_targets(fleet: Fleet, configuration: Configuration) -> None:
    """Add and remove targets until they match the configuration.

    :param fleet: of this instance.
    :param configuration: current one.
    """
    for target_id in set(fleet.targets_by_id):
        if target_id not in configuration.targets_by_id:
            fleet.targets_by_id.pop(target_id)
    for target in configuration.targets_by_id.values():
        status = fleet.targets_by_id.setdefault(
            target.target_id,
            TargetStatus(target.target_id, target.zone, target.slots),
        )
        status.zone = target.zone
        status.slots = target.slots
    _drop_unconfigured_replicas(fleet, configuration)


def service_targets(
    fleet: Fleet,
    configuration: Configuration,
    pool: str,
) -> list[TargetStatus]:
    """Return the plain services of a pool.

    :param fleet: of this instance.
    :param configuration: current one.
    :param pool: of the route.
    """
    return [
        fleet.targets_by_id[target.target_id]
        for target in configuration.targets_by_id.values()
        if target.kind is TargetKind.service and target.pool == pool
    ]


def _targets_of_zone(fleet: Fleet, zone: str) -> set[str]:
    return {
        status.target_id
        for status in fleet.targets_by_id.values()
        if status.zone == zone
    }


def _apply_target(fleet: Fleet, target: TargetInfo, now: float) -> None:
    status = fleet.targets_by_id.get(target.target_id)
    if status is None:
        return
    status.state = _merge_state(status, target)
    status.boot_id = target.boot_id or status.boot_id
    status.apply_report(target.running, now - target.age)
    status.prefix_digests = set(target.prefix_digests)


def _merge_state(status: TargetStatus, target: TargetInfo) -> TargetState:
    # A leaving process never becomes live again; a view that reports it as live
    # was created before its leader received the notice.
    has_restarted = target.boot_id not in {'', status.boot_id}
    if status.state is TargetState.leaving and not has_restarted:
        return TargetState.leaving
    return TargetState(target.state)


def _replace_replicas(
    fleet: Fleet,
    view: ReplicaView,
    covered_targets: set[str],
    now: float,
) -> None:
    for replica in fleet.replicas():
        if replica.target_id in covered_targets:
            fleet.drop_replica(replica.deployment, replica.target_id)
    for reported in view.replicas:
        fleet.set_replica(
            Replica(
                deployment=reported.deployment,
                target_id=reported.target_id,
                state=ReplicaState(reported.state),
                ready_at=now + reported.ready_in,
            ),
        )


def _drop_unconfigured_replicas(
    fleet: Fleet, configuration: Configuration
) -> None:
    for replica in fleet.replicas():
        is_configured = (
            replica.deployment in configuration.deployments_by_name
            and replica.target_id in configuration.targets_by_id
        )
        if not is_configured:
            fleet.drop_replica(replica.deployment, replica.target_id)
