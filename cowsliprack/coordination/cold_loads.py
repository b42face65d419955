"""How many engines load from the weight store at the same time.

Such a load keeps its engine from all other orders for seconds, and the store
is slower for each of more than a few loads.
"""

from dataclasses import dataclass, field

# Loads at the same time while requests come, a part of all engines and at most
# a few, and while none do.
_COLD_SHARE = 0.1
_COLD_LOADS = 2
_QUIET_COLD_LOADS = 4
# A load that takes longer than its stated time by this factor shows that too
# many run at the same time.
_SLOW_LOAD = 1.25
# Requests served in time for which as many such loads are worth it at any time
# as while no requests come: a busy model whose engines are lost.
_WORTHY = 5
# Seconds over which the limit of loads from the weight store is kept.
_WINDOW_SECONDS = 5.0


def most_cold_loads(engines: int, worth: float, is_quiet: bool) -> int:
    """Return how many engines may load from the weight store at once.

    :param engines: that take orders.
    :param worth: requests that one more load serves in time.
    :param is_quiet: no requests come.
    """
    if is_quiet or worth >= _WORTHY:
        return _QUIET_COLD_LOADS
    return max(1, min(_COLD_LOADS, round(engines * _COLD_SHARE)))


@dataclass(slots=True)
class ColdLoads:
    """Loads from the weight store that began lately.

    :param starts: when they began, seconds.
    :param store_limit: loads at the same time that the store serves well.
    """

    starts: list[float] = field(default_factory=list)
    store_limit: int = _QUIET_COLD_LOADS

    def may_begin(self, loads_per_second: float, now: float) -> bool:
        """Return whether the rate of loads admits one more.

        :param loads_per_second: limit over all engines.
        :param now: seconds.
        """
        since = now - _WINDOW_SECONDS
        self.starts = [at for at in self.starts if at > since]
        return len(self.starts) < loads_per_second * _WINDOW_SECONDS

    def end(self, at_once: int, slowness: float) -> None:
        """Learn from a load that has ended.

        :param at_once: loads at the same time, this one included.
        :param slowness: time that it took in multiples of its stated time.
        """
        if slowness > _SLOW_LOAD:
            self.store_limit = max(1, int(at_once / slowness))
        else:
            self.store_limit = min(self.store_limit + 1, _QUIET_COLD_LOADS)
