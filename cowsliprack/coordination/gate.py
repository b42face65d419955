"""Zone's share of the weight store limits.

Every load of a whole model takes a slot and a place in the rate, whatever
checkpoint is expected, because the leader cannot verify where a target really
takes the weights from. Adapter loads only take an adapter slot.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum, unique

from cowsliprack.state.configuration import Checkpoint, Policy

_CHECKPOINT_RANK = tuple(Checkpoint)
# Seconds; retry hint when the zone has no slot at all.
_NO_SLOT_RETRY_SECONDS = 30.0


@unique
class GateResource(StrEnum):
    """What is shared between zones; also the names used in loans."""

    loads = 'loads'
    slots = 'slots'
    adapters = 'adapters'


@dataclass(frozen=True, slots=True)
class GateShare:
    """Part of the fleet's limits.

    :param loads_per_second: of whole models.
    :param slots: loads of whole models at once.
    :param adapters: adapter loads in flight.
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
    """Return a zone's part; the parts sum to the fleet's limits.

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
    """Divide a number into near-equal integers that sum to it.

    :param total: number to divide.
    :param parts: how many integers.
    """
    base, extra = divmod(total, parts)
    return [base + int(place < extra) for place in range(parts)]


def order_by_slack(loads: Iterable[WaitingLoad]) -> list[WaitingLoad]:
    """Return loads by least slack, then by nearest checkpoint.

    :param loads: loads that wait.
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

    The rate is kept by spacing: a bucket of one token, so that no window of a
    second holds more starts than the share allows after an idle time.

    :param share: this zone's part of the limits.
    """

    def __init__(self, share: GateShare) -> None:
        """Start idle."""
        self._share = share
        self._next_start = float('-inf')
        self._loads_by_order: dict[str, _Load] = {}
        self._loans_by_id: dict[str, _Loan] = {}

    def set_share(self, share: GateShare) -> None:
        """Use another part; loads that run are not affected.

        :param share: this zone's part of the limits.
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
        :param expires_at: seconds; the borrower must pass an earlier time
            than the giver.
        """
        self._loans_by_id[loan_id] = _Loan(resource, amount, expires_at)

    def spare(self, resource: GateResource, now: float) -> float:
        """Return how much of a resource could be lent.

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
        """Take a slot and a place in the rate if both are free.

        :param order_id: the slot is held until ``finish`` is called with it.
        :param adapter: whether only an adapter is loaded.
        :param load_seconds: estimated duration; a load that would outlast a
            loan does not use what was borrowed.
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
        """Count a load that a predecessor started or may have started.

        :param order_id: id of the order.
        :param adapter: whether only an adapter is loaded.
        :param now: seconds.
        """
        self._loads_by_order.setdefault(order_id, _Load(adapter, now))

    def finish(self, order_id: str) -> None:
        """Free the slot of a load whose outcome is known.

        :param order_id: id given to ``try_start`` or ``hold``.
        """
        self._loads_by_order.pop(order_id, None)

    def retain(self, order_ids: set[str]) -> None:
        """Free the slots of all other orders.

        :param order_ids: orders that still count.
        """
        for order_id in set(self._loads_by_order) - order_ids:
            self.finish(order_id)

    def start_delay(
        self, now: float, *, adapter: bool, ahead: int = 0
    ) -> float:
        """Return the estimated seconds until a further load could start.

        :param now: seconds.
        :param adapter: whether only an adapter is loaded.
        :param ahead: loads of the same kind that wait before it.
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
        # What was lent counts as gone until the loan's expiry has passed now;
        # what was borrowed must last until the end of the load.
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
