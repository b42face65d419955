"""Registry of targets with the models loaded on engines."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from cowsliprack.state.evacuations import Evacuations
from cowsliprack.state.store_version import era_of


@enum.unique
class TargetState(enum.StrEnum):
    """Whether a target accepts new requests."""

    ready = 'ready'
    draining = 'draining'


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """A model in the memory of an engine.

    :param version: version of its weights.
    :param adapters: names of its loaded adapters.
    """

    version: int
    adapters: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """Data with which a target has registered.

    :param born: start of its process, milliseconds since the epoch. The same
        id with another start is a restarted process without its old state.
    :param software_version: version of its software; what two versions write
        in one stream does not fit together.
    :param order_count: number of orders accepted since its start.
    :param loaded_models_by_name: empty for a plain service.
    :param in_memory: models with a copy of the weights in main memory.
    :param on_disk: models with a copy of the weights on disk.
    :param busy: whether an order is being carried out.
    :param cold_seconds: time for which it was still cold when it wrote its
        entry; see :mod:`cowsliprack.coordination.cold_targets`.
    """

    target_id: str
    service: str
    address: str
    zone: str
    slots: int
    state: TargetState
    born: int = 0
    software_version: str = ''
    order_count: int = 0
    loaded_models_by_name: Mapping[str, LoadedModel] = field(
        default_factory=dict
    )
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    busy: bool = False
    cold_seconds: float = 0

    def without_engine_state(self) -> 'TargetRecord':
        """Return a copy with only the fields that request routing reads."""
        return replace(
            self,
            order_count=0,
            loaded_models_by_name={},
            in_memory=frozenset(),
            on_disk=frozenset(),
            busy=False,
            cold_seconds=0,
        )


@dataclass(slots=True)
class TargetRegistry:
    """Targets by id and service; older data never replaces newer data.

    Revisions are versions of the store, see :mod:`.store_version`.

    :param revision: revision of the store at the last read.
    :param change_revision_by_id: revision at which the fields that routing
        reads last changed; the models of an engine are not among them.
    :param removal_revision_by_id: revision at which a target was removed.
    :param left_born_by_id: start of the process of targets that were seen
        draining or were removed.
    :param stale_ids: targets that left, but are listed by the copy from which
        the store came back; they get no requests.
    :param leaving_born_by_id: start of the process of targets that have said in
        an answer that they are about to end; they get no requests either.
    :param evacuations: availability zones whose targets get no requests.
    """

    revision: int = -1
    records_by_id: dict[str, TargetRecord] = field(default_factory=dict)
    ids_by_service: dict[str, set[str]] = field(default_factory=dict)
    change_revision_by_id: dict[str, int] = field(default_factory=dict)
    removal_revision_by_id: dict[str, int] = field(default_factory=dict)
    left_born_by_id: dict[str, int] = field(default_factory=dict)
    stale_ids: set[str] = field(default_factory=set)
    leaving_born_by_id: dict[str, int] = field(default_factory=dict)
    evacuations: Evacuations = field(default_factory=Evacuations)

    def replace(
        self,
        records: list[TargetRecord],
        revision: int,
    ) -> bool:
        """Replace all targets; return whether the list was accepted.

        :param records: all targets.
        :param revision: revision of the list; an older one is ignored.
        """
        if revision < self.revision:
            return False
        if self.revision >= 0 and not self.shares_history(revision):
            self.stale_ids = {
                record.target_id for record in records if self._has_left(record)
            }
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
        """Apply changes since the last read; return whether they were accepted.

        Changes in another history of the store are ignored, since they do not
        say what else differs there.

        :param changed: targets that are new or have changed.
        :param removed: ids of removed targets.
        :param revision: revision of the changes; an older one is ignored.
        """
        if revision < self.revision:
            return False
        if self.revision >= 0 and not self.shares_history(revision):
            return False
        self.revision = revision
        for target_id in removed:
            self._remove(target_id)
        for record in changed:
            # Its entry was written after the return of the store.
            self.stale_ids.discard(record.target_id)
            self._put(record)
        return True

    def changes_since(
        self,
        revision: int,
    ) -> tuple[list[TargetRecord], list[str]]:
        """Return targets changed for routing and ids of removed targets.

        :param revision: revision of an earlier read.
        """
        changed = [
            self.records_by_id[target_id]
            for target_id, changed_at in self.change_revision_by_id.items()
            if changed_at > revision
        ]
        removed = [
            target_id
            for target_id, removed_at in self.removal_revision_by_id.items()
            if removed_at > revision
        ]
        return changed, removed

    def shares_history(self, revision: int) -> bool:
        """Return whether changes since a revision are known.

        :param revision: revision of a read, possibly by another instance.
        """
        return era_of(revision) == era_of(self.revision)

    def ready_targets(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that accept requests.

        :param service: name of the service.
        """
        return [
            record
            for record in self.service_targets(service)
            if record.state is TargetState.ready and self._may_serve(record)
        ]

    def draining_targets(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that have announced that they leave.

        :param service: name of the service.
        :returns: without those that have said so in an answer, which end soon.
        """
        return [
            record
            for record in self.service_targets(service)
            if record.state is TargetState.draining and self._may_serve(record)
        ]

    def mark_leaving(self, target_id: str) -> bool:
        """Send nothing more to a target that says that it is about to end.

        :param target_id: id of the target.
        :returns: whether this was not known.
        """
        record = self.records_by_id.get(target_id)
        if record is None or self._is_leaving(record):
            return False
        self.leaving_born_by_id[target_id] = record.born
        return True

    def service_targets(self, service: str) -> list[TargetRecord]:
        """Return all registered targets of a service.

        :param service: name of the service.
        """
        return [
            self.records_by_id[target_id]
            for target_id in sorted(self.ids_by_service.get(service, ()))
        ]

    def _may_serve(self, record: TargetRecord) -> bool:
        return not (
            record.target_id in self.stale_ids
            or record.zone in self.evacuations.zones
            or self._is_leaving(record)
        )

    def _is_leaving(self, record: TargetRecord) -> bool:
        return self.leaving_born_by_id.get(record.target_id) == record.born

    def _has_left(self, record: TargetRecord) -> bool:
        return self.left_born_by_id.get(record.target_id) == record.born

    def _put(self, record: TargetRecord) -> None:
        target_id = record.target_id
        known = self.records_by_id.get(target_id)
        if (
            known is None
            or known.without_engine_state() != record.without_engine_state()
        ):
            self.change_revision_by_id[target_id] = self.revision
        self._drop(target_id)
        self.removal_revision_by_id.pop(target_id, None)
        if record.state is TargetState.draining:
            self.left_born_by_id[target_id] = record.born
        self.records_by_id[target_id] = record
        self.ids_by_service.setdefault(record.service, set()).add(target_id)

    def _remove(self, target_id: str) -> None:
        record = self.records_by_id.get(target_id)
        if record is not None:
            self.left_born_by_id[target_id] = record.born
            self.stale_ids.discard(target_id)
            self.leaving_born_by_id.pop(target_id, None)
            self._drop(target_id)
            self.change_revision_by_id.pop(target_id, None)
            self.removal_revision_by_id[target_id] = self.revision

    def _drop(self, target_id: str) -> None:
        record = self.records_by_id.pop(target_id, None)
        if record is not None:
            self.ids_by_service[record.service].discard(target_id)
