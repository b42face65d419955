"""Applies lists and changes of targets, read from the store or relayed."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import structlog

from cowsliprack.coordination.relayed_targets import apply_relayed_targets
from cowsliprack.protocol.gateway_messages import LeaderView
from cowsliprack.state.store_version import era_of, revision_of
from cowsliprack.state.target_registry import TargetRecord, TargetRegistry
from cowsliprack.transport.store_reader import KindReading

# Time for which a target that has left gets no requests although a copy of the
# store lists it. Its entry is removed again within two seconds of the return or
# after three heartbeats of 1.2 seconds without a sign of life.
_STALE_SECONDS = 6.0
# Most targets named in one log line.
_MAX_LOGGED_TARGETS = 20

_log = structlog.get_logger('cowsliprack.targets')


def ignore_cold(_target: TargetRecord, _seconds: float) -> None:
    """Treat a target that is cold like any other."""


@dataclass(slots=True)
class TargetFeed:
    """Keeps the registry of targets of one instance up to date.

    :param decode: decodes a stored target; ``None`` if the object names none.
    :param changed: called after each accepted change.
    :param clock: seconds; must keep running during suspension.
    :param cold_found: called with each target read from the store and the
        seconds for which it stays cold, unless these are 0.
    """

    registry: TargetRegistry
    decode: Callable[[str, Any], TargetRecord | None]
    changed: Callable[[], None]
    clock: Callable[[], float]
    cold_found: Callable[[TargetRecord, float], None] = ignore_cold
    _era: int | None = None
    _era_seen_at: float = 0

    def apply_reading(self, reading: KindReading, whole: bool) -> None:
        """Apply what was read from the store.

        :param reading: all targets, or the changes since an earlier reading.
        :param whole: whether it lists all targets.
        """
        changed = []
        removed = []
        for name, spec in reading.specs_by_name.items():
            record = self.decode(name, spec) if spec else None
            if record is None:
                removed.append(name)
            else:
                changed.append(record)
        registry = self.registry
        if whole:
            is_newer = registry.replace(changed, reading.revision)
        else:
            is_newer = registry.apply(changed, removed, reading.revision)
        self._expire_stale_targets()
        if is_newer:
            self._report_cold(changed)
        if is_newer and (whole or changed or removed):
            states = [
                f'{record.target_id} {record.state.value} '
                f'{record.software_version}'
                for record in changed
            ]
            self._announce('store', states, removed)

    def apply_view(self, view: LeaderView) -> bool:
        """Apply the targets that the leader relays.

        :param view: view of the leader.
        :returns: whether to report at once, since each view repeats a complete
            list until a report acknowledges it.
        """
        is_newer = apply_relayed_targets(self.registry, view)
        self._expire_stale_targets()
        if is_newer:
            self._announce_view(view)
        return is_newer and view.targets_complete

    def _report_cold(self, records: list[TargetRecord]) -> None:
        for record in records:
            if record.cold_seconds:
                self.cold_found(record, record.cold_seconds)

    def _announce_view(self, view: LeaderView) -> None:
        if view.targets or view.targets_gone:
            states = [
                f'{target.target_id} {target.state} {target.software_version}'
                for target in view.targets
            ]
            self._announce('leader', states, list(view.targets_gone))

    def _expire_stale_targets(self) -> None:
        """Offer stale targets again if they stay listed for long enough."""
        registry = self.registry
        now = self.clock()
        era = era_of(registry.revision)
        if era != self._era:
            self._era = era
            self._era_seen_at = now
            if registry.stale_ids:
                _log.warning(
                    'targets_stale',
                    era=era,
                    targets=sorted(registry.stale_ids)[:_MAX_LOGGED_TARGETS],
                )
        if registry.stale_ids and now - self._era_seen_at >= _STALE_SECONDS:
            _log.info(
                'targets_not_stale',
                era=era,
                targets=sorted(registry.stale_ids)[:_MAX_LOGGED_TARGETS],
            )
            registry.stale_ids.clear()
            self.changed()

    def _announce(
        self, source: str, states: list[str], removed: list[str]
    ) -> None:
        _log.info(
            'targets',
            revision=revision_of(self.registry.revision),
            era=era_of(self.registry.revision),
            source=source,
            changed=states[:_MAX_LOGGED_TARGETS],
            removed=removed[:_MAX_LOGGED_TARGETS],
        )
        self.changed()
