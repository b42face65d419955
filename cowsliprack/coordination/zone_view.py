"""Builds the view of a zone that its leader publishes."""

import math

from cowsliprack.coordination.zone_state import ZoneState
from cowsliprack.protocol.peer import ReplicaInfo, ReplicaView, TargetInfo

_FULL_VIEW_SECONDS = 5.0
# At target size a full view of a zone is about 300 KB and the budget of a node
# for control traffic is 23 KB per second; full views use at most this much.
_FULL_VIEW_BYTES_PER_SECOND = 5000.0
_ENTRY_BYTES = 60
# Changes of the load of targets are published at this interval.
_REFRESH_SECONDS = 1.0
# Without a change of a replica the view is rebuilt at this interval.
_BUILD_INTERVAL_SECONDS = 0.5
_NEVER = float('-inf')

_TargetPart = tuple[TargetInfo, tuple[ReplicaInfo, ...]]


class ViewBuilder:
    """Builds a full view periodically and incremental views in between.

    :param state: state of this term.
    """

    def __init__(self, state: ZoneState) -> None:
        """Start without a published view."""
        self._state = state
        self._sequence = 0
        self._full_view_at = _NEVER
        self._refreshed_at = _NEVER
        self._built_at = _NEVER
        self._digest_by_target: dict[str, object] = {}

    def build(self, now: float) -> ReplicaView | None:
        """Return the view to publish, ``None`` when nothing changed.

        :param now: seconds.
        """
        changes = self._state.orders.table.changed_targets
        if not changes and now - self._built_at < _BUILD_INTERVAL_SECONDS:
            return None
        self._built_at = now
        changes.clear()
        parts_by_target = self._parts(now)
        digests_by_target = {
            target_id: _digest(part)
            for target_id, part in parts_by_target.items()
        }
        removed = set(self._digest_by_target) - set(digests_by_target)
        entries = sum(1 + len(part[1]) for part in parts_by_target.values())
        interval = entries * _ENTRY_BYTES / _FULL_VIEW_BYTES_PER_SECOND
        is_full = now - self._full_view_at >= max(_FULL_VIEW_SECONDS, interval)
        if removed or is_full:
            self._full_view_at = now
            changed = set(parts_by_target)
        else:
            changed = self._changed(digests_by_target, now)
        if not changed and not removed:
            return None
        for removed_id in removed:
            self._digest_by_target.pop(removed_id)
        for published_id in changed:
            self._digest_by_target[published_id] = digests_by_target[
                published_id
            ]
        self._sequence += 1
        chosen = [parts_by_target[target_id] for target_id in sorted(changed)]
        return ReplicaView(
            self._state.zone,
            self._state.fencing,
            self._sequence,
            self._full_view_at == now,
            tuple(part[0] for part in chosen),
            tuple(replica for part in chosen for replica in part[1]),
        )

    def _changed(
        self,
        digests_by_target: dict[str, object],
        now: float,
    ) -> set[str]:
        # The load of targets changes constantly; it is published once per
        # second.
        refresh = now - self._refreshed_at >= _REFRESH_SECONDS
        if refresh:
            self._refreshed_at = now
        return {
            target_id
            for target_id, digest in digests_by_target.items()
            if _differs(self._digest_by_target.get(target_id), digest, refresh)
        }

    def _parts(self, now: float) -> dict[str, _TargetPart]:
        state = self._state
        parts: dict[str, _TargetPart] = {}
        for target_id, engine_status in state.engine_statuses.by_target.items():
            report = engine_status.reported
            running = 0
            boot_id = ''
            digests: tuple[str, ...] = ()
            age = now - engine_status.asked_at
            if report is not None:
                running = report.running + report.queued
                boot_id = report.boot_id
                digests = report.prefix_digests
                age += report.age
            bookings = state.orders.table.on_target(target_id).by_deployment
            parts[target_id] = (
                TargetInfo(
                    target_id,
                    state.zone,
                    engine_status.state(now).value,
                    running,
                    age if math.isfinite(age) else 0,
                    boot_id,
                    digests,
                ),
                tuple(
                    ReplicaInfo(
                        booking.deployment,
                        target_id,
                        booking.state.value,
                        max(0, booking.ready_at - now),
                    )
                    for booking in bookings.values()
                ),
            )
        return parts


def _digest(part: _TargetPart) -> tuple[object, object]:
    info, replicas = part
    shown = tuple((entry.deployment, entry.state) for entry in replicas)
    return (info.state, info.boot_id, shown), (
        info.running,
        info.prefix_digests,
    )


def _differs(before: object, current: object, refresh: bool) -> bool:
    if not isinstance(before, tuple) or not isinstance(current, tuple):
        return True
    if refresh:
        return before != current
    return bool(before[0] != current[0])
