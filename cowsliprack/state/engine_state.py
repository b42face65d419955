"""State of one model engine as seen by the leader of its region."""

import math
from collections import Counter
from dataclasses import dataclass, field

from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.target_registry import TargetRecord, TargetState


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to an engine.

    :param adapter: name of the adapter; empty for the model itself.
    """

    target_id: str
    kind: OrderKind
    model: str
    adapter: str = ''


@dataclass(slots=True)
class EngineState:
    """Loaded models, running requests and pending order of an engine.

    :param record: registered data of the engine.
    :param adapters_by_model: models in its memory with their loaded adapters.
    :param surveyed: whether the leader has read the engine's report since its
        term began; until then the engine gets no orders.
    :param surveying: whether a read of that report is in progress.
    :param suspected: whether instances have lately got no response from it.
    :param silent: whether it responds to neither requests nor orders.
    :param probing: whether a probe of the engine is in progress.
    :param probed_at: time of the last probe, seconds.
    :param order_count: number of orders that the engine has accepted.
    :param order: order in progress; an engine carries out one at a time.
    :param order_accepted_at: when the engine accepted that order, seconds;
        ``inf`` until that is known.
    :param order_seen_at: when the engine last said that it carries out an
        order, seconds; ``-inf`` if it has not since the order was sent.
    :param order_attempts: number of times that the order was sent.
    :param cold_loads_at_start: concurrent loads from the weight store when its
        last one began, including that one.
    :param assigned_model: model that is to be loaded once other models are
        evicted; empty for none.
    :param assigned_at: time of that assignment, seconds.
    :param draining_models: models that get no new requests and are unloaded
        when their requests have ended.
    :param running: number of running requests by model and by
        ``model/adapter``, from the reports of all instances.
    :param is_limited: whether it has named a limit to its requests.
    :param is_evacuated: whether its zone is evacuated, so that it gets neither
        requests nor orders.
    :param loaded_at_by_model: time at which the load ended, seconds.
    :param used_at_by_name: time of the last request of a model or adapter,
        seconds.
    """

    record: TargetRecord
    adapters_by_model: dict[str, set[str]] = field(default_factory=dict)
    surveyed: bool = False
    surveying: bool = False
    suspected: bool = False
    silent: bool = False
    probing: bool = False
    probed_at: float = float('-inf')
    order_count: int = 0
    order: EngineOrder | None = None
    order_accepted_at: float = math.inf
    order_seen_at: float = -math.inf
    order_attempts: int = 0
    cold_loads_at_start: int = 1
    assigned_model: str = ''
    assigned_at: float = 0
    draining_models: set[str] = field(default_factory=set)
    running: Counter[str] = field(default_factory=Counter)
    is_limited: bool = False
    is_evacuated: bool = False
    loaded_at_by_model: dict[str, float] = field(default_factory=dict)
    used_at_by_name: dict[str, float] = field(default_factory=dict)

    @property
    def target_id(self) -> str:
        """Return the id with which the engine registered."""
        return self.record.target_id

    def is_usable(self) -> bool:
        """Return whether the engine accepts requests and orders."""
        return self.surveyed and self.is_registered() and not self.silent

    def is_registered(self) -> bool:
        """Return whether it would accept requests as far as the store says."""
        is_ready = self.record.state is TargetState.ready
        return is_ready and not self.is_evacuated

    def awaits_survey(self) -> bool:
        """Return whether it would accept orders, but is not surveyed yet."""
        return not self.surveyed and self.is_registered()

    def may_be_probed(self) -> bool:
        """Return whether neither an order nor a probe is in progress."""
        return self.order is None and not self.probing

    def offers(self, model: str) -> bool:
        """Return whether the engine may get new requests of a model.

        :param model: name of the model.
        """
        return (
            model in self.adapters_by_model
            and model not in self.draining_models
        )

    def loading_model(self) -> str:
        """Return the name of the model being loaded, or an empty string."""
        order = self.order
        if order is None or order.kind is not OrderKind.load:
            return ''
        return '' if order.adapter else order.model

    def has_unknown_order(self) -> bool:
        """Return whether it carries out an order of an earlier leader."""
        return self.order is not None and not self.order.model

    def is_cold(self, model: str) -> bool:
        """Return whether it must load a model from the weight store.

        :param model: name of the model.
        """
        record = self.record
        return model not in record.in_memory and model not in record.on_disk

    def models_at_hand(self) -> set[str]:
        """Return the models in its memory or with a copy on it."""
        record = self.record
        return set(self.adapters_by_model).union(
            record.loaded_models_by_name, record.in_memory, record.on_disk
        )

    def adapter_count(self) -> int:
        """Return the number of loaded adapters of all models."""
        return sum(len(names) for names in self.adapters_by_model.values())

    def running_count(self) -> int:
        """Return the number of running requests of all models."""
        return sum(
            count for name, count in self.running.items() if '/' not in name
        )
