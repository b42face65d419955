"""Targets as they register themselves, and what model engines hold."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field, replace


@enum.unique
class TargetState(enum.StrEnum):
    """Whether a target takes new requests."""

    ready = 'ready'
    draining = 'draining'


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """A model in the memory of an engine.

    :param version: of its weights.
    :param adapters: names of the adapters loaded with it.
    """

    version: int
    adapters: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """What a target says of itself.

    :param born: start of its process, milliseconds since the epoch. The same
        id with another start is another process that knows nothing.
    :param order_count: orders accepted since its start.
    :param loaded_models_by_name: empty for a plain service.
    :param in_memory: models with a copy of the weights in main memory.
    :param on_disk: models with a copy of the weights on disk.
    :param busy: an order is being carried out.
    """

    target_id: str
    service: str
    address: str
    zone: str
    slots: int
    state: TargetState
    born: int = 0
    order_count: int = 0
    loaded_models_by_name: Mapping[str, LoadedModel] = field(
        default_factory=dict
    )
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    busy: bool = False

    def routing_facts(self) -> 'TargetRecord':
        """Return what the routing of requests sees of a target."""
        return replace(
            self,
            order_count=0,
            loaded_models_by_name={},
            in_memory=frozenset(),
            on_disk=frozenset(),
            busy=False,
        )


@dataclass(slots=True)
class TargetRegistry:
    """Targets as last read; older readings never replace newer ones.

    :param revision: of the reading.
    :param change_revision_by_id: revision at which the fields that routing
        reads last changed; the models of an engine are not among them.
    :param removal_revision_by_id: revision at which a target was removed.
    """

    revision: int = -1
    records_by_id: dict[str, TargetRecord] = field(default_factory=dict)
    ids_by_service: dict[str, set[str]] = field(default_factory=dict)
    change_revision_by_id: dict[str, int] = field(default_factory=dict)
    removal_revision_by_id: dict[str, int] = field(default_factory=dict)

    def replace(
        self,
        records: list[TargetRecord],
        revision: int,
    ) -> bool:
        """Take a whole list; return whether it was newer.

        :param records: every target.
        :param revision: of the reading.
        """
        if revision < self.revision:
            return False
        self.revision = revision
        listed = {record.target_id for record in records}
        for target_id in set(self.records_by_id) - listed:
            self._remove(target_id)
        for record in records:
            self._put(record)
        return True

    def apply(
        self,
        changed: list[TargetRecord],
        removed: list[str],
        revision: int,
    ) -> bool:
        """Take changes that follow the last reading.

        :param changed: targets that are new or say something new.
        :param removed: ids of targets that are gone.
        :param revision: of the reading.
        """
        if revision < self.revision:
            return False
        self.revision = revision
        for target_id in removed:
            self._remove(target_id)
        for record in changed:
            self._put(record)
        return True

    def changes_since(
        self,
        revision: int,
    ) -> tuple[list[TargetRecord], list[str]]:
        """Return targets that routing sees differently, and those that left.

        :param revision: of an earlier reading.
        """
        changed = [
            self.records_by_id[target_id]
            for target_id, changed_at in self.change_revision_by_id.items()
            if changed_at > revision
        ]
        gone = [
            target_id
            for target_id, gone_at in self.removal_revision_by_id.items()
            if gone_at > revision
        ]
        return changed, gone

    def ready_targets(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that take requests.

        :param service: its name.
        """
        return [
            record
            for record in self.service_targets(service)
            if record.state is TargetState.ready
        ]

    def service_targets(self, service: str) -> list[TargetRecord]:
        """Return every registered target of a service.

        :param service: its name.
        """
        return [
            self.records_by_id[target_id]
            for target_id in sorted(self.ids_by_service.get(service, ()))
        ]

    def _put(self, record: TargetRecord) -> None:
        target_id = record.target_id
        known = self.records_by_id.get(target_id)
        if known is None or known.routing_facts() != record.routing_facts():
            self.change_revision_by_id[target_id] = self.revision
        self._drop(target_id)
        self.removal_revision_by_id.pop(target_id, None)
        self.records_by_id[target_id] = record
        self.ids_by_service.setdefault(record.service, set()).add(target_id)

    def _remove(self, target_id: str) -> None:
        if target_id in self.records_by_id:
            self._drop(target_id)
            self.change_revision_by_id.pop(target_id, None)
            self.removal_revision_by_id[target_id] = self.revision

    def _drop(self, target_id: str) -> None:
        record = self.records_by_id.pop(target_id, None)
        if record is not None:
            self.ids_by_service[record.service].discard(target_id)
