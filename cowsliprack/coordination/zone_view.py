"""The view of a zone that its leader publishes."""

import math

from cowsliprack.coordination.zone_state import ZoneState
from cowsliprack.protocol.peer import ReplicaInfo, ReplicaView, TargetInfo

_FULL_SECONDS = 5.0
# At target size a full view of a zone is about 300 KB and a node's control
# budget is 23 KB per second; full views take at most this part of it.
_FULL_BYTES_PER_SECOND = 5000.0
_ENTRY_BYTES = 60
# A target whose age alone changed is told again after this time.
_REFRESH_SECONDS = 1.0
# Without a change of a replica the view is looked at this often, seconds.
_BUILD_SECONDS = 0.5
_NEVER = float('-inf')

_TargetPart = tuple[TargetInfo, tuple[ReplicaInfo, ...]]


class ViewBuilder:
    """Builds full views now and then, and what changed in between.

    :param state: of this term.
    """

    def __init__(self, state: ZoneState) -> None:
        """Start with nothing published."""
        self._state = state
        self._sequence = 0
        self._full_at = _NEVER
        self._refreshed_at = _NEVER
        self._built_at = _NEVER
        self._digest_by_target: dict[str, object] = {}

    def build(self, now: float) -> ReplicaView | None:
        """Return the view to publish, ``None`` when nothing changed.

        :param now: seconds.
        """
        changes = self._state.orders.table.changed_targets
        if not changes and now - self._built_at < _BUILD_SECONDS:
            return None
        self._built_at = now
        changes.clear()
        parts_by_target = self._parts(now)
        digests_by_target = {
            target_id: _digest(part)
            for target_id, part in parts_by_target.items()
        }
        gone = set(self._digest_by_target) - set(digests_by_target)
        entries = sum(1 + len(part[1]) for part in parts_by_target.values())
        interval = entries * _ENTRY_BYTES / _FULL_BYTES_PER_SECOND
        is_full = now - self._full_at >= max(_FULL_SECONDS, interval)
        if gone or is_full:
            self._full_at = now
            changed = set(parts_by_target)
        else:
            changed = self._changed(digests_by_target, now)
        if not changed and not gone:
            return None
        for gone_id in gone:
            self._digest_by_target.pop(gone_id)
        for told_id in changed:
            self._digest_by_target[told_id] = digests_by_target[told_id]
        self._sequence += 1
        chosen = [parts_by_target[target_id] for target_id in sorted(changed)]
        return ReplicaView(
            self._state.zone,
            self._state.fencing,
            self._sequence,
            self._full_at == now,
            tuple(part[0] for part in chosen),
            tuple(replica for part in chosen for replica in part[1]),
        )

    def _changed(
        self,
        digests_by_target: dict[str, object],
        now: float,
    ) -> set[str]:
        # The load of targets changes all the time; it is told once a second.
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
