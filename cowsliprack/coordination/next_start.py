"""Selects the queued request to start next."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from cowsliprack.coordination.capacity import Capacity
from cowsliprack.coordination.fair_queue import FairQueue, QueuedRequest
from cowsliprack.coordination.serving import ServingRequest


@dataclass(slots=True)
class StartCheck:
    """Checks whether queued requests can start; used for one event.

    :param blocked_heads: requests that are blocked individually, while others
        behind them may start.
    :param moved_ids: requests that were moved to the end of their queue.
    """

    capacity: Capacity
    requests_by_id: Mapping[str, ServingRequest]
    now: float
    blocked_heads: list[QueuedRequest] = field(default_factory=list)
    moved_ids: set[str] = field(default_factory=set)

    def __call__(self, entry: QueuedRequest) -> bool:
        """Return whether a queued request has credit and a target.

        :param entry: head of a queue.
        """
        request = self.requests_by_id[entry.request_id]
        if self.capacity.can_start(request, self.now):
            return True
        is_new = entry.request_id not in self.moved_ids
        if is_new and self.capacity.is_blocked_individually(request, self.now):
            self.blocked_heads.append(entry)
        return False


def next_startable(
    queue: FairQueue,
    can_start: StartCheck,
) -> QueuedRequest | None:
    """Remove and return the request to start next.

    Only the head of each queue is checked. A head that is blocked
    individually, for example by a target that it must not use, would block all
    others; it is moved to the end of its queue, at most once per event.

    :param queue: the queue of this instance.
    :param can_start: the check, shared by all calls within one event.
    """
    entry = queue.pop(can_start.now, can_start)
    while entry is None and can_start.blocked_heads:
        for waiting in can_start.blocked_heads:
            can_start.moved_ids.add(waiting.request_id)
            queue.move_to_end(waiting.request_id)
        can_start.blocked_heads.clear()
        entry = queue.pop(can_start.now, can_start)
    return entry
