"""Status of the targets of a zone after a new leader has taken over.

A target is unverified until it has been fenced and a report generated after
the fence has been read; until then an order of a predecessor may still take
effect on it.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from cowsliprack.coordination.bookings import NEVER
from cowsliprack.protocol.target import OrderOutcome, TargetReport
from cowsliprack.state.configuration import Target, TargetKind
from cowsliprack.state.fleet import TargetState

# Seconds without a report after which a target gets no orders.
_FRESH_SECONDS = 4.0
_FENCE_RETRY_SECONDS = 1.0


@dataclass(slots=True)
class EngineStatus:
    """Status of one target.

    :param fenced_at: when the fence was confirmed, seconds; ``None`` while it
        has yet to be fenced.
    :param fence_sent_at: when the last fence order was sent, seconds.
    :param verified: no order of a predecessor can take effect any more, so its
        reports are complete.
    :param absent: it refused the connection at the last attempt.
    :param leaving: it is shutting down.
    :param retired: it was removed from the configuration.
    :param asked_at: when the last report was requested, seconds.
    :param reported: the last report.
    """

    target: Target
    fenced_at: float | None = None
    fence_sent_at: float = NEVER
    verified: bool = False
    absent: bool = False
    leaving: bool = False
    retired: bool = False
    asked_at: float = NEVER
    reported: TargetReport | None = None

    def needs_fence(self, now: float) -> bool:
        """Return whether a fence order should be sent.

        :param now: seconds.
        """
        waited = now - self.fence_sent_at >= _FENCE_RETRY_SECONDS
        needed = self.fenced_at is None and self.target.checks_fencing
        return needed and waited and not self.absent

    def revoke_fence(self) -> None:
        """Require a new fence, since an old order might take effect again."""
        if self.target.checks_fencing:
            self.fenced_at = None
            self.verified = False

    def takes_orders(self, now: float) -> bool:
        """Return whether it accepts orders and their outcome can be checked.

        :param now: seconds.
        """
        fresh = now - self.asked_at <= _FRESH_SECONDS
        return self.verified and fresh and not self.absent

    def state(self, now: float) -> TargetState:
        """Return the state that is published to the instances.

        :param now: seconds.
        """
        if self.absent:
            return TargetState.crashed
        if self.leaving or self.retired:
            return TargetState.leaving
        return TargetState.live


class EngineStatusTable:
    """Status of all engines of a zone.

    :param fencing: fencing token of the leader's lease.
    :param acquired_at: when the lease was acquired, seconds.
    :param predecessor_until: time until which an earlier holder may act as
        degraded leader, seconds.
    """

    def __init__(
        self,
        fencing: int,
        acquired_at: float,
        predecessor_until: float,
    ) -> None:
        """Start with no target."""
        self.by_target: dict[str, EngineStatus] = {}
        self._fencing = fencing
        self._acquired_at = acquired_at
        self._claimed_at: float | None = None
        self._predecessor_until = predecessor_until

    def set_targets(
        self,
        zone: str,
        targets_by_id: Mapping[str, Target],
    ) -> None:
        """Apply the engines of the zone from the configuration.

        Targets that were removed from it stay retired until they are empty.

        :param zone: the leader's zone.
        :param targets_by_id: all targets.
        """
        engines_by_id = {
            target.target_id: target
            for target in targets_by_id.values()
            if target.zone == zone and target.kind is TargetKind.engine
        }
        for target_id, target in engines_by_id.items():
            self._set_target(target_id, target)
        for known_id in set(self.by_target) - set(engines_by_id):
            self.by_target[known_id].retired = True

    def claim(self, now: float) -> None:
        """Record that the journal was claimed with the own fencing token.

        A predecessor can't write intents from now on, so targets that ignore
        fencing get no further orders from it.

        :param now: seconds.
        """
        if self._claimed_at is not None:
            return
        self._claimed_at = now
        for claimed in self.by_target.values():
            if not claimed.target.checks_fencing:
                claimed.fenced_at = now

    def stop_predecessor(self, now: float) -> None:
        """Record that no holder of an earlier lease is active any more.

        :param now: seconds.
        """
        self._predecessor_until = min(self._predecessor_until, now)

    def due_fences(self, now: float) -> list[Target]:
        """Return the targets to fence now and mark their orders as sent.

        :param now: seconds.
        """
        due = [
            engine_status
            for engine_status in self.by_target.values()
            if engine_status.needs_fence(now)
        ]
        for fenced in due:
            fenced.fence_sent_at = now
        return [entry.target for entry in due]

    def on_fence(
        self,
        target_id: str,
        outcome: OrderOutcome,
        now: float,
    ) -> None:
        """Handle the outcome of a fence order.

        :param target_id: id of the target.
        :param outcome: the target's answer.
        :param now: seconds.
        """
        engine_status = self.by_target.get(target_id)
        if engine_status is not None and outcome is OrderOutcome.done:
            engine_status.fenced_at = now

    def on_report(self, report: TargetReport, asked_at: float) -> None:
        """Handle a report.

        :param report: report of a target of this zone.
        :param asked_at: time before the report was requested, seconds.
        """
        engine_status = self.by_target.get(report.target_id)
        if engine_status is None:
            return
        taken_at = asked_at - report.age
        before = engine_status.reported
        restarted = before is not None and before.boot_id != report.boot_id
        lower = report.highest_fencing < self._fencing
        fenced_at = engine_status.fenced_at
        covers_fence = fenced_at is not None and taken_at >= fenced_at
        lost_fence = lower and (covers_fence or restarted)
        if not engine_status.target.checks_fencing:
            lost_fence = False
        if engine_status.absent or lost_fence:
            engine_status.revoke_fence()
        elif covers_fence:
            engine_status.verified = True
        engine_status.absent = False
        engine_status.asked_at = asked_at
        engine_status.leaving = engine_status.leaving or report.leaving
        if restarted:
            engine_status.leaving = report.leaving
        engine_status.reported = report

    def on_failure(
        self,
        target_id: str,
        *,
        refused: bool,
        asked_at: float,
    ) -> None:
        """Handle a failed request for a report.

        :param target_id: id of the target.
        :param refused: the connection was refused, so no process runs there.
        :param asked_at: time before the report was requested, seconds.
        """
        engine_status = self.by_target.get(target_id)
        if engine_status is None:
            return
        if refused:
            engine_status.absent = asked_at >= self._acquired_at
            engine_status.verified = engine_status.absent
            return
        silent = asked_at - engine_status.asked_at > _FRESH_SECONDS
        # It may have restarted unnoticed, which drops the fence, while a
        # predecessor can still reach it.
        if asked_at < self._predecessor_until and (
            silent or engine_status.absent
        ):
            engine_status.revoke_fence()
        engine_status.absent = False

    def unverified(self, pool: str) -> list[str]:
        """Return the unverified targets of a pool; they may hold anything.

        :param pool: name of the pool.
        """
        return [
            target_id
            for target_id, engine_status in self.by_target.items()
            if engine_status.target.pool == pool and not engine_status.verified
        ]

    def is_settling(self, pool: str, now: float) -> bool:
        """Return whether the unverified targets will soon be verified.

        :param pool: name of the pool.
        :param now: seconds.
        """
        if now - self._acquired_at <= _FRESH_SECONDS:
            return True
        return all(
            now - self.by_target[target_id].asked_at <= _FRESH_SECONDS
            for target_id in self.unverified(pool)
        )

    def all_unverified(self) -> Iterable[str]:
        """Return the unverified targets of all pools."""
        return [
            target_id
            for target_id, engine_status in self.by_target.items()
            if not engine_status.verified
        ]

    def _set_target(self, target_id: str, target: Target) -> None:
        engine_status = self.by_target.get(target_id)
        if engine_status is None:
            engine_status = EngineStatus(target)
            self.by_target[target_id] = engine_status
            if not target.checks_fencing:
                engine_status.fenced_at = self._claimed_at
        engine_status.target = target
        engine_status.retired = False

    def takes_loads(self, target_id: str, now: float) -> bool:
        """Return whether a deployment may be loaded on a target.

        :param target_id: id of the target.
        :param now: seconds.
        """
        engine_status = self.by_target.get(target_id)
        if (
            engine_status is None
            or engine_status.leaving
            or engine_status.retired
        ):
            return False
        return engine_status.takes_orders(now)
