"""Replicas in other zones, as published by the leaders of those zones.

A leader that ignores them loads a second replica of each deployment that its
instances request, and the memory is missing for other deployments.
"""

from collections.abc import Mapping

from cowsliprack.protocol.peer import ReplicaView, TargetInfo
from cowsliprack.state.configuration import Target
from cowsliprack.state.fleet import ReplicaState, TargetState

# A zone whose leader sends nothing for this long counts as unreachable.
_ZONE_TIMEOUT_SECONDS = 5.0
_NEVER = float('-inf')


class OtherZones:
    """Tracks replicas that are loaded or being loaded in other zones."""

    def __init__(self) -> None:
        """Start without contact to any zone."""
        self._version_by_zone: dict[str, tuple[int, int]] = {}
        self._last_contact_by_zone: dict[str, float] = {}
        self._target_info_by_id: dict[str, TargetInfo] = {}
        self._deployments_by_target: dict[str, list[str]] = {}
        self._states_by_deployment: dict[str, dict[str, ReplicaState]] = {}

    def record_contact(self, zone: str, now: float) -> None:
        """Record a message from the leader of another zone.

        :param zone: zone of the sender.
        :param now: seconds.
        """
        self._last_contact_by_zone[zone] = now

    def update(self, view: ReplicaView) -> None:
        """Apply a view; views older than the last one are ignored.

        :param view: view from the leader of another zone.
        """
        version = (view.fencing, view.sequence)
        if version <= self._version_by_zone.get(view.zone, (-1, -1)):
            return
        self._version_by_zone[view.zone] = version
        if view.full:
            for target_id, known in tuple(self._target_info_by_id.items()):
                if known.zone == view.zone:
                    self._forget(target_id)
        for info in view.targets:
            self._forget(info.target_id)
            self._target_info_by_id[info.target_id] = info
        for replica in view.replicas:
            name = replica.deployment
            states = self._states_by_deployment.setdefault(name, {})
            states[replica.target_id] = ReplicaState(replica.state)
            deployments = self._deployments_by_target.setdefault(
                replica.target_id, []
            )
            deployments.append(name)

    def serves(
        self,
        deployment: str,
        targets_by_id: Mapping[str, Target],
        now: float,
    ) -> bool:
        """Return whether another zone serves a deployment or is loading it.

        :param deployment: name of the deployment.
        :param targets_by_id: targets of the configuration.
        :param now: seconds.
        """
        states = self._states_by_deployment.get(deployment, {})
        return any(
            self._can_serve(targets_by_id.get(target_id), state, now)
            for target_id, state in states.items()
        )

    def _can_serve(
        self,
        target: Target | None,
        state: ReplicaState,
        now: float,
    ) -> bool:
        if target is None or target.target_id not in self._target_info_by_id:
            return False
        info = self._target_info_by_id[target.target_id]
        last_contact = self._last_contact_by_zone.get(info.zone, _NEVER)
        if now - last_contact > _ZONE_TIMEOUT_SECONDS:
            return False
        if info.state != TargetState.live.value:
            return False
        if state is ReplicaState.loaded:
            return info.running < target.slots
        return state is ReplicaState.loading

    def _forget(self, target_id: str) -> None:
        self._target_info_by_id.pop(target_id, None)
        for name in self._deployments_by_target.pop(target_id, ()):
            states = self._states_by_deployment.get(name, {})
            states.pop(target_id, None)
            if not states:
                self._states_by_deployment.pop(name, None)
