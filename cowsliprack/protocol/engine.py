"""Interface of model engines: orders and status reports."""

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from cowsliprack.state.engine_state import EngineOrder
from cowsliprack.state.target_registry import LoadedModel, TargetRecord


@enum.unique
class OrderAnswer(enum.StrEnum):
    """Response of an engine to an order.

    ``accepted``: the order is being carried out. ``holds``: the engine is
    already in the requested state. ``busy``: another order is being carried
    out, or the engine's order count is not the expected one.
    ``stale_fencing``: the engine has seen a higher fencing number.
    ``other_engine``: another engine has this address. ``refused``: the order
    is invalid. ``unknown``: there was no response, and the order may still be
    read and carried out. ``unclear``: the connection was reset, or the
    response says nothing of the order; it may be carried out, but is not read
    any more.
    """

    accepted = 'accepted'
    holds = 'holds'
    busy = 'busy'
    stale_fencing = 'stale_fencing'
    other_engine = 'other_engine'
    refused = 'refused'
    unknown = 'unknown'
    unclear = 'unclear'


@dataclass(frozen=True, slots=True)
class EngineSurvey:
    """Response of an engine to a status request.

    :param order_count: orders accepted since the engine started.
    :param busy: whether an order is being carried out.
    :param born: start of the engine's process, milliseconds since the epoch.
    :param in_memory: models with a copy of the weights in main memory.
    :param on_disk: models with a copy of the weights on the local disk.
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
class OrderPreconditions:
    """Conditions under which an engine accepts an order.

    :param holder: id of the instance that holds the lease.
    :param fencing: fencing number of the lease.
    :param expected_count: orders that the engine must have accepted so far.
    """

    holder: str
    fencing: int
    expected_count: int


class EngineControl(Protocol):
    """Client of a leader for the control interface of engines."""

    async def send_order(
        self,
        record: TargetRecord,
        order: EngineOrder,
        preconditions: OrderPreconditions,
        may_send: Callable[[], bool],
    ) -> OrderAnswer:
        """Send an order once, without a retry.

        :param record: registration of the engine.
        :param order: what to do.
        :param preconditions: the engine refuses the order unless they hold.
        :param may_send: called once the connection is open, right before the
            order is written; if it returns false, nothing is written and the
            answer is ``unknown``.
        """

    async def survey(self, record: TargetRecord) -> EngineSurvey | None:
        """Return the status of an engine; ``None`` without a response.

        The response of another process at its address is none of the engine.

        :param record: registration of the engine.
        """
