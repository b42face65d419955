"""Applies evacuations of availability zones, read from the store or relayed."""

from collections.abc import Callable
from dataclasses import dataclass

from cowsliprack.logs import log_decision
from cowsliprack.protocol.gateway_messages import LeaderView
from cowsliprack.state.store_version import era_of, join_version, revision_of
from cowsliprack.state.target_registry import TargetRecord, TargetRegistry
from cowsliprack.transport.store_reader import KindReading


@dataclass(slots=True)
class EvacuationFeed:
    """Keeps the evacuated zones of one instance up to date.

    :param registry: targets that get requests, except in evacuated zones.
    :param taken_back: called with each target of a zone that is taken back.
    :param changed: called after each change.
    """

    registry: TargetRegistry
    taken_back: Callable[[TargetRecord], None]
    changed: Callable[[], None]
    _applied: frozenset[str] = frozenset()

    def is_known(self) -> bool:
        """Return whether the evacuated zones have been read."""
        return self.registry.evacuations.revision >= 0

    def apply_reading(self, reading: KindReading, whole: bool) -> None:
        """Apply what was read from the store.

        :param reading: all evacuations, or the changes since an earlier
            reading. Only the names of the objects matter.
        :param whole: whether it lists all evacuations.
        """
        begun = [
            zone
            for zone, spec in reading.specs_by_name.items()
            if spec is not None
        ]
        if whole:
            self.registry.evacuations.replace(begun, reading.revision)
        else:
            ended = set(reading.specs_by_name).difference(begun)
            self.registry.evacuations.apply(begun, ended, reading.revision)
        self._apply('store')

    def apply_view(self, view: LeaderView) -> None:
        """Apply the evacuations that the leader relays.

        :param view: view of the leader.
        """
        if view.evacuations_revision < 0:
            return
        version = join_version(view.evacuations_era, view.evacuations_revision)
        self.registry.evacuations.replace(view.evacuated_zones, version)
        self._apply('leader')

    def _apply(self, source: str) -> None:
        evacuations = self.registry.evacuations
        zones = evacuations.zones
        before = self._applied
        if zones == before:
            return
        self._applied = zones
        log_decision(
            'evacuation',
            sorted(zones),
            'targets of these zones get no requests',
            taken_back=sorted(before - zones),
            source=source,
            era=era_of(evacuations.revision),
            revision=revision_of(evacuations.revision),
        )
        for record in self.registry.records_by_id.values():
            if record.zone in before - zones:
                self.taken_back(record)
        self.changed()
