"""Index of the models and requests on the engines of a service."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from cowsliprack.state.engine_state import EngineState
from cowsliprack.state.routing_table import ModelSpec


@dataclass(slots=True)
class EngineIndex:
    """Lookup tables that are built once per plan.

    :param usable: engines that accept requests and orders.
    :param running_by_model: running requests on all engines.
    :param load_by_id: running requests on each usable engine, for all models
        together, since they share its capacity.
    :param holding_by_model: usable engines with the model in their memory.
    :param copies_by_model: usable engines with a copy of the weights in host
        memory or on disk.
    :param pending_models: models that are being loaded or are assigned to an
        engine.
    :param returning_models: models with a copy on an engine that has not left,
        but does not answer or is not surveyed yet.
    :param most_copies: largest number of models on the disk of one engine.
    """

    usable: list[EngineState] = field(default_factory=list)
    running_by_model: Counter[str] = field(default_factory=Counter)
    load_by_id: dict[str, int] = field(default_factory=dict)
    holding_by_model: defaultdict[str, list[EngineState]] = field(
        default_factory=lambda: defaultdict(list),
    )
    copies_by_model: defaultdict[str, list[EngineState]] = field(
        default_factory=lambda: defaultdict(list),
    )
    pending_models: set[str] = field(default_factory=set)
    returning_models: set[str] = field(default_factory=set)
    most_copies: int = 1

    def offering(self, model: str) -> list[EngineState]:
        """Return the usable engines that accept requests for a model.

        :param model: its name.
        """
        return [
            engine
            for engine in self.holding_by_model[model]
            if model not in engine.draining_models
        ]

    def others_have_room(
        self, engine: EngineState, model: str, limit: float
    ) -> bool:
        """Return whether other replicas can run an engine's requests as well.

        :param engine: an engine with the model.
        :param model: its name.
        :param limit: requests that each of the others may run.
        """
        room = [
            limit - self.load_by_id[other.target_id]
            for other in self.offering(model)
            if other is not engine and not other.is_limited
        ]
        return bool(room) and engine.running[model] <= sum(room)

    def has_copy(self, model: str) -> bool:
        """Return whether a usable engine holds or caches a model.

        :param model: its name.
        """
        return bool(self.copies_by_model[model] or self.holding_by_model[model])

    def holders(self, model: str) -> dict[str, EngineState]:
        """Return the engines that hold or cache a model, by id.

        :param model: its name.
        """
        engines = (*self.holding_by_model[model], *self.copies_by_model[model])
        return {engine.target_id: engine for engine in engines}

    def is_copy_in_zone(self, engine: EngineState, model: ModelSpec) -> bool:
        """Return whether a copy of a model lies in the zone of an engine.

        :param engine: any engine.
        :param model: the model.
        """
        zones = {
            holder.record.zone for holder in self.holders(model.name).values()
        }
        return engine.record.zone in zones

    def is_missing(self, model: str) -> bool:
        """Return whether no engine holds, caches or loads a model.

        :param model: its name.
        """
        return not self.has_copy(model) and model not in self.pending_models

    def is_pending(self, model: str, software_version: str) -> bool:
        """Return whether a model is being loaded or assigned to an engine.

        A load from the weight store takes seconds, so it does not count once
        another engine has a copy.

        :param model: its name.
        :param software_version: of the engine; empty for any.
        """
        if model not in self.pending_models:
            return False
        loading = [
            engine
            for engine in self.usable
            if software_version in {'', engine.record.software_version}
            and model in {engine.assigned_model, engine.loading_model()}
        ]
        if not all(engine.is_cold(model) for engine in loading):
            return True
        return bool(loading) and not any(
            software_version in {'', engine.record.software_version}
            for engine in self.disks_with(model)
        )

    def disks_with(self, model: str) -> list[EngineState]:
        """Return the engines that have a copy of a model and don't hold it.

        :param model: its name.
        """
        return [
            engine
            for engine in self.copies_by_model[model]
            if model not in engine.adapters_by_model
        ]

    def is_on_other_disk(self, engine: EngineState, model: str) -> bool:
        """Return whether only other engines can load a model from a disk.

        :param engine: an engine of the software version that is needed.
        :param model: its name.
        """
        version = engine.record.software_version
        return engine.is_cold(model) and any(
            other.record.software_version == version
            for other in self.disks_with(model)
        )

    def only_copy_risk(self, engine: EngineState) -> float:
        """Return the probability that a cold load evicts an only copy.

        Disks evict the least recently used copy, which is none that this
        leader has had loaded. Engines of a service have disks of one size, so
        the most copies on one of them show when a disk is full.

        :param engine: the engine that would load a model.
        """
        on_disk = engine.record.on_disk
        if len(on_disk) < self.most_copies:
            return 0
        evictable = on_disk.difference(engine.loaded_at_by_model) or on_disk
        only = sum(len(self.copies_by_model[name]) == 1 for name in evictable)
        return only / len(evictable)

    def waiting_shares(self, waiting: Iterable[str]) -> dict[str, float]:
        """Return how many models wait to be loaded by each engine.

        A model counts as 1, split evenly among the engines with a copy of it.

        :param waiting: models with waiting requests.
        """
        shares_by_id: dict[str, float] = defaultdict(float)
        for model in waiting:
            copies = self.copies_by_model[model]
            if self.offering(model) or model in self.pending_models:
                continue
            for engine in copies:
                shares_by_id[engine.target_id] += 1 / len(copies)
        return shares_by_id


def index_engines(engines: Iterable[EngineState]) -> EngineIndex:
    """Return an index of the engines of a service.

    :param engines: all engines, usable or not.
    """
    index = EngineIndex()
    for engine in engines:
        index.running_by_model.update(engine.running)
        if not engine.is_usable():
            if engine.is_registered():
                index.returning_models.update(engine.models_at_hand())
            continue
        index.usable.append(engine)
        index.load_by_id[engine.target_id] = engine.running_count()
        index.pending_models.update(
            {engine.assigned_model, engine.loading_model()}
        )
        for held in engine.adapters_by_model:
            index.holding_by_model[held].append(engine)
        index.most_copies = max(index.most_copies, len(engine.record.on_disk))
        for at_hand in engine.record.in_memory | engine.record.on_disk:
            index.copies_by_model[at_hand].append(engine)
    return index
