"""How long callers say that they wait, by route.

A caller that was rejected and has come back states what is left of its time, so
it is told from new callers without a message between instances.
"""

from dataclasses import dataclass, field

# Share of the longest time that new callers of a route state, below which a
# caller has come back. It obeys a Retry-After for a third of its time at most,
# as far as known; new callers differ by some 15%.
_COME_BACK_SHARE = 0.75
# Seconds after which times that no caller states any more are forgotten: after
# one to two of these periods.
_PERIOD_SECONDS = 60.0


@dataclass(slots=True)
class StatedTimes:
    """The longest time that callers of each route have stated lately.

    :param longest_by_route: in this period, seconds.
    :param earlier_by_route: in the last period, seconds.
    :param since: begin of this period, seconds.
    """

    longest_by_route: dict[str, float] = field(default_factory=dict)
    earlier_by_route: dict[str, float] = field(default_factory=dict)
    since: float = 0

    def add(self, route: str, seconds: float | None, now: float) -> None:
        """Record the time that a caller states.

        :param route: its name.
        :param seconds: ``None`` if it states none.
        :param now: seconds.
        """
        if now - self.since > _PERIOD_SECONDS:
            self.earlier_by_route = self.longest_by_route
            self.longest_by_route = {}
            self.since = now
        if seconds is not None:
            known = self.longest_by_route.get(route, 0)
            self.longest_by_route[route] = max(known, seconds)

    def has_come_back(self, route: str, seconds: float | None) -> bool:
        """Return whether a caller has used up a part of its time elsewhere.

        :param route: its name.
        :param seconds: the time that it states; ``None`` if it states none.
        """
        longest = max(
            self.longest_by_route.get(route, 0),
            self.earlier_by_route.get(route, 0),
        )
        return seconds is not None and seconds < longest * _COME_BACK_SHARE
