"""Which queued request is started next."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from cowsliprack.coordination.capacity import Capacity
from cowsliprack.coordination.fair_queue import FairQueue, QueuedRequest
from cowsliprack.coordination.serving import ServingRequest


@dataclass(slots=True)
class StartCheck:
    """Whether queued requests can start, asked within one event.

    :param waiting_alone: cannot start although others behind them may.
    :param moved: have been moved to the end of their line.
    """

    capacity: Capacity
    requests_by_id: Mapping[str, ServingRequest]
    now: float
    waiting_alone: list[QueuedRequest] = field(default_factory=list)
    moved: set[str] = field(default_factory=set)

    def __call__(self, entry: QueuedRequest) -> bool:
        """Return whether a queued request has its credit and a target.

        :param entry: head of a line.
        """
        request = self.requests_by_id[entry.request_id]
        if self.capacity.can_start(request, self.now):
            return True
        is_new = entry.request_id not in self.moved
        if is_new and self.capacity.is_blocked_individually(request, self.now):
            self.waiting_alone.append(entry)
        return False


def next_startable(
    queue: FairQueue,
    can_start: StartCheck,
) -> QueuedRequest | None:
    """Remove and return the request that is started next.

    The queue asks only the head of each line. A head that waits for a reason
    of its own, such as a target that it must not use, would hold back all
    others; it goes to the end of its line, each at most once an event.

    :param queue: of this instance.
    :param can_start: the same for all calls within one event.
    """
    entry = queue.pop(can_start.now, can_start)
    while entry is None and can_start.waiting_alone:
        for waiting in can_start.waiting_alone:
            can_start.moved.add(waiting.request_id)
            queue.move_to_end(waiting.request_id)
        can_start.waiting_alone.clear()
        entry = queue.pop(can_start.now, can_start)
    return entry
