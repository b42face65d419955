"""Limits of a zone on loads from the weight store.

Each load of a whole model uses a slot and counts against the rate, whatever
checkpoint is expected, because the leader can't verify where a target actually
reads the weights from. Adapter loads use only an adapter slot.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum, unique

from cowsliprack.state.configuration import Checkpoint, Policy

_CHECKPOINT_RANK = tuple(Checkpoint)
# Retry hint when the zone has no slot at all, seconds.
_NO_SLOT_RETRY_SECONDS = 30.0


@unique
class GateResource(StrEnum):
    """Resources that zones share; the values identify them in loans."""

    loads = 'loads'
    slots = 'slots'
    adapters = 'adapters'


@dataclass(frozen=True, slots=True)
class GateShare:
    """A zone's share of the fleet limits.

    :param loads_per_second: rate of whole-model loads.
    :param slots: concurrent loads of whole models.
    :param adapters: concurrent adapter loads.
    """

    loads_per_second: float
    slots: int
    adapters: int


@dataclass(frozen=True, slots=True)
class WaitingLoad:
    """A load that waits for the gate.

    :param deadline: earliest deadline of a waiting request, seconds.
    :param load_seconds: estimated duration.
    """

    deployment: str
    deadline: float
    load_seconds: float
    checkpoint: Checkpoint = Checkpoint.remote


def zone_share(policy: Policy, zone: str, zones: Sequence[str]) -> GateShare:
    """Return a zone's share; the shares add up to the fleet limits.

    :param policy: fleet limits.
    :param zone: the zone.
    :param zones: all zones of the configuration.
    """
    ordered = sorted(set(zones) | {zone})
    place = ordered.index(zone)
    return GateShare(
        policy.loads_per_second / len(ordered),
        split_evenly(policy.loads_at_once, len(ordered))[place],
        split_evenly(policy.adapter_loads_at_once, len(ordered))[place],
    )


def split_evenly(total: int, parts: int) -> list[int]:
    """Divide a number into nearly equal integers that add up to it.

    :param total: number to divide.
    :param parts: how many integers.
    """
    base, extra = divmod(total, parts)
    return [base + int(place < extra) for place in range(parts)]


def order_by_slack(loads: Iterable[WaitingLoad]) -> list[WaitingLoad]:
    """Sort loads by slack, then by nearest checkpoint.

    :param loads: waiting loads.
    """
    return sorted(
        loads,
        key=lambda load: (
            round(load.deadline - load.load_seconds, 1),
            _CHECKPOINT_RANK.index(load.checkpoint),
            load.deployment,
        ),
    )


@dataclass(frozen=True, slots=True)
class _Loan:
    resource: GateResource
    amount: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class _Load:
    adapter: bool
    expected_end: float


class WeightGate:
    """Decides when a load may start.

    Starts are spaced evenly, like a token bucket of size one, so that no burst
    above the rate follows an idle period.

    :param share: this zone's share of the limits.
    """

    def __init__(self, share: GateShare) -> None:
        """Start without any load."""
        self._share = share
        self._next_start = float('-inf')
        self._loads_by_order: dict[str, _Load] = {}
        self._loans_by_id: dict[str, _Loan] = {}

    def set_share(self, share: GateShare) -> None:
        """Replace the share; running loads are not affected.

        :param share: this zone's share of the limits.
        """
        self._share = share

    def set_loan(
        self,
        loan_id: str,
        resource: GateResource,
        amount: float,
        expires_at: float,
    ) -> None:
        """Add a loan or replace it.

        :param amount: positive when borrowed, negative when lent.
        :param expires_at: expiry, seconds; the borrower must use an earlier
            one than the lender.
        """
        self._loans_by_id[loan_id] = _Loan(resource, amount, expires_at)

    def spare(self, resource: GateResource, now: float) -> float:
        """Return how much of a resource can be lent.

        :param resource: which limit.
        :param now: seconds.
        """
        limit = self._limit(resource, now)
        if resource is GateResource.loads:
            return limit if self._next_start <= now else 0
        adapter = resource is GateResource.adapters
        return max(0, limit - self._used(adapter=adapter))

    def try_start(
        self,
        order_id: str,
        *,
        adapter: bool,
        load_seconds: float,
        now: float,
    ) -> bool:
        """Acquire a slot and a start within the rate if both are free.

        :param order_id: the slot is held until ``finish`` is called with it.
        :param adapter: whether only an adapter is loaded.
        :param load_seconds: estimated duration; a load that would outlast a
            loan can't use the borrowed amount.
        :param now: seconds.
        :returns: whether the load may start.
        """
        ends_at = now + load_seconds
        resource = GateResource.adapters if adapter else GateResource.slots
        if self._used(adapter=adapter) >= self._limit(resource, ends_at, now):
            return False
        if not adapter:
            rate = self._limit(GateResource.loads, now)
            if now < self._next_start or rate <= 0:
                return False
            self._next_start = now + 1 / rate
        self._loads_by_order[order_id] = _Load(adapter, ends_at)
        return True

    def hold(self, order_id: str, *, adapter: bool, now: float) -> None:
        """Occupy a slot for a load that a predecessor may have started.

        :param order_id: id of the order.
        :param adapter: whether only an adapter is loaded.
        :param now: seconds.
        """
        self._loads_by_order.setdefault(order_id, _Load(adapter, now))

    def finish(self, order_id: str) -> None:
        """Release the slot of a load with a known outcome.

        :param order_id: id given to ``try_start`` or ``hold``.
        """
        self._loads_by_order.pop(order_id, None)

    def retain(self, order_ids: set[str]) -> None:
        """Release the slots of all other orders.

        :param order_ids: orders that keep their slots.
        """
        for order_id in set(self._loads_by_order) - order_ids:
            self.finish(order_id)

    def start_delay(
        self, now: float, *, adapter: bool, ahead: int = 0
    ) -> float:
        """Return the estimated seconds until another load can start.

        :param now: seconds.
        :param adapter: whether only an adapter is loaded.
        :param ahead: loads of the same kind that wait ahead of it.
        """
        resource = GateResource.adapters if adapter else GateResource.slots
        limit = int(self._limit(resource, now))
        if limit <= 0:
            return _NO_SLOT_RETRY_SECONDS
        ends = sorted(
            max(0, load.expected_end - now)
            for load in self._loads_by_order.values()
            if load.adapter == adapter
        )
        lacking = len(ends) + ahead + 1 - limit
        delay = float(0)
        if lacking > 0 and ends:
            rounds, place = divmod(lacking - 1, len(ends))
            delay = ends[place] + rounds * (ends[-1] or 1)
        rate = self._limit(GateResource.loads, now)
        if adapter or rate <= 0:
            return delay
        spaced = max(0, self._next_start - now) + ahead / rate
        return max(delay, spaced)

    def _used(self, *, adapter: bool) -> int:
        return sum(
            1
            for load in self._loads_by_order.values()
            if load.adapter == adapter
        )

    def _limit(
        self,
        resource: GateResource,
        until: float,
        now: float | None = None,
    ) -> float:
        # A lent amount is missing until the loan has expired; a borrowed one
        # counts only if the loan lasts until the end of the load.
        start = until if now is None else now
        limit = self._base_limit(resource)
        for loan in self._loans_by_id.values():
            decisive = start if loan.amount < 0 else until
            if loan.resource is resource and decisive < loan.expires_at:
                limit += loan.amount
        if resource is GateResource.loads:
            return max(0, limit)
        return max(0, math.floor(limit))

    def _base_limit(self, resource: GateResource) -> float:
        if resource is GateResource.loads:
            return self._share.loads_per_second
        if resource is GateResource.slots:
            return self._share.slots
        return self._share.adapters
