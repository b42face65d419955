"""Interface of model engines: orders and what engines say of themselves."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from cowsliprack.state.engine_state import EngineOrder
from cowsliprack.state.target_registry import LoadedModel, TargetRecord


@enum.unique
class OrderAnswer(enum.StrEnum):
    """Answer of an engine to an order.

    ``accepted`` is being carried out; ``holds`` needed nothing to be done;
    ``busy`` met another order or another count of orders than expected;
    ``unknown`` got no answer and may still be carried out later.
    """

    accepted = 'accepted'
    holds = 'holds'
    busy = 'busy'
    stale_fencing = 'stale_fencing'
    other_engine = 'other_engine'
    refused = 'refused'
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class EngineSurvey:
    """What an engine answers when it is asked about itself.

    :param order_count: orders accepted since its start.
    :param busy: an order is being carried out.
    :param born: start of its process, milliseconds since the epoch.
    """

    order_count: int
    busy: bool
    born: int
    loaded_models_by_name: Mapping[str, LoadedModel] = field(
        default_factory=dict
    )
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Authority:
    """By what right an order is given.

    :param holder: id of the instance that holds the lease.
    :param fencing: number of its lease.
    :param expected_count: orders that the engine must have accepted so far,
        or it refuses the order.
    """

    holder: str
    fencing: int
    expected_count: int


class EngineOrders(Protocol):
    """How a leader speaks to engines."""

    async def send_order(
        self,
        record: TargetRecord,
        order: EngineOrder,
        authority: Authority,
    ) -> OrderAnswer:
        """Send an order; never repeated here.

        :param record: of the engine.
        :param order: what to do.
        :param authority: by what right.
        """

    async def survey(self, record: TargetRecord) -> EngineSurvey | None:
        """Return what an engine says of itself, ``None`` without an answer.

        :param record: of the engine.
        """
