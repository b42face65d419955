"""What the leader of a region knows of one model engine."""

from collections import Counter
from dataclasses import dataclass, field

from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.target_registry import TargetRecord, TargetState


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """One order to an engine.

    :param adapter: empty for the model itself.
    """

    target_id: str
    kind: OrderKind
    model: str
    adapter: str = ''


@dataclass(slots=True)
class EngineState:
    """What an engine holds, does, and has been told to do.

    :param adapters_by_model: models in its memory and their adapters.
    :param surveyed: the leader has read the engine's report since it took
        over; before that nothing is ordered.
    :param surveying: that report is being asked for.
    :param suspected: instances have had no answer of it for a while.
    :param silent: it answers neither requests nor orders at present.
    :param probing: it is being asked whether it answers.
    :param probed_at: when it was last asked, seconds.
    :param order_count: orders that the engine has accepted.
    :param order: under way; the engine carries out one at a time.
    :param order_attempts: how often the order was sent.
    :param assigned_model: model for which room is being made; empty for none.
    :param assigned_at: since when, seconds.
    :param draining_models: models that get no new requests, to be unloaded.
    :param running: requests under way by model and by ``model/adapter``, from
        the reports of all instances.
    :param loaded_at_by_model: when a load ended, seconds.
    :param used_at_by_name: when a model or adapter last had a request.
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
    order_attempts: int = 0
    assigned_model: str = ''
    assigned_at: float = 0
    draining_models: set[str] = field(default_factory=set)
    running: Counter[str] = field(default_factory=Counter)
    loaded_at_by_model: dict[str, float] = field(default_factory=dict)
    used_at_by_name: dict[str, float] = field(default_factory=dict)

    @property
    def target_id(self) -> str:
        """Return the id under which the engine registered."""
        return self.record.target_id

    def is_usable(self) -> bool:
        """Return whether the engine takes requests and orders."""
        is_ready = self.record.state is TargetState.ready
        return self.surveyed and is_ready and not self.silent

    def offers(self, model: str) -> bool:
        """Return whether requests for a model may be sent here.

        :param model: its name.
        """
        return (
            model in self.adapters_by_model
            and model not in self.draining_models
        )

    def loading_model(self) -> str:
        """Return the model that is being loaded, or an empty string."""
        order = self.order
        if order is None or order.kind is not OrderKind.load:
            return ''
        return '' if order.adapter else order.model

    def adapter_count(self) -> int:
        """Return the adapters held for all models."""
        return sum(len(names) for names in self.adapters_by_model.values())

    def running_count(self) -> int:
        """Return the requests under way for all models."""
        return sum(
            count for name, count in self.running.items() if '/' not in name
        )
