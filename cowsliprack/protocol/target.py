"""Orders to targets and reports from them."""

from enum import StrEnum, unique
from typing import Protocol

import msgspec


@unique
class OrderKind(StrEnum):
    """Kind of an order to a target.

    ``fence`` only raises the highest fencing number that the target has seen.
    """

    fence = 'fence'
    load = 'load'
    unload = 'unload'
    set_role = 'set_role'


@unique
class OrderOutcome(StrEnum):
    """Outcome of an order to a target.

    ``unknown``: there was no response, and the order may still take effect.
    """

    done = 'done'
    stale_fencing = 'stale_fencing'
    no_memory = 'no_memory'
    refused = 'refused'
    unknown = 'unknown'


class Order(msgspec.Struct, frozen=True, omit_defaults=True):
    """An order from a zone leader to a target.

    An order with an unknown outcome is sent again with the same id; a target
    carries out each id at most once.

    :param fencing: version of the leader's lease object.
    :param memory: memory of the replica, megabytes.
    """

    order_id: str
    kind: OrderKind
    target_id: str
    deployment: str
    fencing: int
    model: str = ''
    version: str = ''
    adapter: str | None = None
    memory: int = 0
    checkpoint: str = 'remote'


class ReplicaReport(msgspec.Struct, frozen=True):
    """State of a replica, as its target reports it."""

    deployment: str
    state: str
    memory: int = 0


class TargetReport(msgspec.Struct, frozen=True):
    """Report of a target, which may be out of date by ``age``.

    :param boot_id: changes when the target restarts.
    :param highest_fencing: highest fencing number that the target has seen.
    :param age: seconds since the target measured the values.
    :param done_orders: ids of orders that the target has carried out.
    """

    target_id: str
    boot_id: str
    running: int
    queued: int
    memory_used: int
    memory_total: int
    highest_fencing: int = 0
    age: float = 0
    leaving: bool = False
    replicas: tuple[ReplicaReport, ...] = ()
    done_orders: tuple[str, ...] = ()
    prefix_digests: tuple[str, ...] = ()


class TargetControl(Protocol):
    """Client of a zone leader for the control interface of targets."""

    async def send_order(self, url: str, order: Order) -> OrderOutcome:
        """Send an order and wait until the target has carried it out.

        :param url: base URL of the target.
        :param order: what to do.
        :returns: ``unknown`` when the order may still take effect.
        """

    async def read_report(self, url: str) -> TargetReport:
        """Return the target's current report.

        :param url: base URL of the target.
        :raises TargetError: there is no report; ``ran`` is ``not_run`` when
            the connection was refused, so no process is running there.
        """
