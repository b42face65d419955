"""Virtual clock that runs scheduled callbacks."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True)
class VirtualClock:
    """Clock that runs scheduled callbacks in order of their time.

    :param now: current virtual time, seconds.
    """

    now: float = 0
    _events: list[tuple[float, int, Callable[[], object]]] = field(
        default_factory=list,
    )
    _sequence: itertools.count = field(default_factory=itertools.count)

    def call_at(self, time: float, callback: Callable[[], object]) -> None:
        """Schedule a callback for a time, or for now if that has passed.

        :param time: virtual time, seconds.
        :param callback: called without arguments.
        """
        sequence = next(self._sequence)
        heapq.heappush(self._events, (max(time, self.now), sequence, callback))

    def call_in(self, seconds: float, callback: Callable[[], object]) -> None:
        """Schedule a callback after a delay.

        :param seconds: delay.
        :param callback: called without arguments.
        """
        self.call_at(self.now + seconds, callback)

    def run(self, until: float) -> None:
        """Run all callbacks that are due up to a time.

        :param until: virtual time, seconds.
        """
        while self._events and self._events[0][0] <= until:
            time, _, callback = heapq.heappop(self._events)
            self.now = time
            callback()
        self.now = until
