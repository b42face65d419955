"""Targets as they register themselves, and what model engines hold."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field


@enum.unique
class TargetState(enum.StrEnum):
    """Whether a target takes new requests."""

    ready = 'ready'
    draining = 'draining'


@dataclass(frozen=True, slots=True)
class Holding:
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
    :param holdings_by_model: empty for a plain service.
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
    holdings_by_model: Mapping[str, Holding] = field(default_factory=dict)
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    busy: bool = False


@dataclass(slots=True)
class TargetRegistry:
    """Targets as last read; older readings never replace newer ones.

    :param revision: of the reading.
    """

    revision: int = -1
    records_by_id: dict[str, TargetRecord] = field(default_factory=dict)
    ids_by_service: dict[str, set[str]] = field(default_factory=dict)

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
        self.records_by_id = {}
        self.ids_by_service = {}
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
            self._drop(target_id)
        for record in changed:
            self._drop(record.target_id)
            self._put(record)
        return True

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
        self.records_by_id[record.target_id] = record
        self.ids_by_service.setdefault(record.service, set()).add(
            record.target_id,
        )

    def _drop(self, target_id: str) -> None:
        record = self.records_by_id.pop(target_id, None)
        if record is not None:
            self.ids_by_service[record.service].discard(target_id)
