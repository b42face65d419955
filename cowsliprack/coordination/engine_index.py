"""Tables of what the engines of a service hold and run, for one plan."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from cowsliprack.state.engine_state import EngineState


@dataclass(slots=True)
class EngineIndex:
    """Engines by what is looked for; a plan would else look at each engine.

    :param usable: engines that take requests and orders.
    :param running_by_model: requests under way on all engines.
    :param load_by_id: requests under way on each usable engine; all models of
        an engine share what it can do.
    :param holding_by_model: usable engines with the model in their memory.
    :param copies_by_model: usable engines with a copy of the weights at hand.
    :param coming: models that are being loaded, or for which room is made.
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

    def offering(self, model: str) -> list[EngineState]:
        """Return the usable engines that take requests for a model.

        :param model: its name.
        """
        return [
            engine
            for engine in self.holding_by_model[model]
            if model not in engine.closing
        ]

    def is_missing(self, model: str) -> bool:
        """Return whether no engine holds, has a copy of, or loads a model.

        :param model: its name.
        """
        is_known = self.copies_by_model[model] or self.holding_by_model[model]
        return not is_known and model not in self.pending_models

    def waiting_shares(self, waiting: Iterable[str]) -> dict[str, float]:
        """Return how many models wait for each engine to load them.

        A model counts once over all engines that have a copy.

        :param waiting: models that requests wait for.
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
    """Return the tables for the engines of a service.

    :param engines: every engine, usable or not.
    """
    index = EngineIndex()
    for engine in engines:
        index.running_by_model.update(engine.running)
        if not engine.is_usable():
            continue
        index.usable.append(engine)
        index.load_by_id[engine.target_id] = engine.load()
        index.pending_models.update({engine.assigned, engine.loading()})
        for held in engine.adapters_by_model:
            index.holding_by_model[held].append(engine)
        for at_hand in engine.record.in_memory | engine.record.on_disk:
            index.copies_by_model[at_hand].append(engine)
    return index
