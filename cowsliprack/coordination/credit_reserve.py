"""Tokens that instances admit beyond their shares while their leader is silent.

Pattern of load: after a loss of all instances, or in a zone that is partitioned
from the leader, organisations far below their rates send requests of about a
thousand tokens to tens of instances. The even share of one instance is smaller
than such a request, so each was refused although nearly nothing was spent.

The tolerance of each limit, which the leader does not grant, is divided evenly:
each instance may admit its part of it in any window, and lends what is left of
its part and of its even share to instances that ask for it. A loan moves tokens
between instances, so it does not change the sum over all of them.
"""

import math
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from cowsliprack.protocol.gateway_messages import PeerView
from cowsliprack.protocol.message_level import OVERLOAD_LEVEL, message_level

# Fractions of the tolerated overrun and of the slack that instances may use.
# The rest covers requests that targets count later than they were admitted
# here. The even shares use 0.6 of the slack.
_OVERRUN_FRACTION = 0.9
_SLACK_FRACTION = 0.35
# Fraction of the reserve that may be used in the first window of a process;
# the rest may be used in each later window. Processes that start after a loss
# of all instances do not know what the last ones have used just before.
_STARTING_FRACTION = 0.35
# Time for which the highest number of instances counts. It exceeds the time for
# which an instance without a leader uses its even share, so that those of a
# partitioned zone are not divided among the others meanwhile.
_COUNTED_SECONDS = 600.0
EVEN_SHARE_SECONDS = 540.0
# Asks for one request, at most, and those at the same time.
_MAX_ASKS = 40
_LENDERS_AT_ONCE = 8


def reserve_tokens(
    limit: float,
    started_tokens: float,
    overrun: float,
    slack: float,
) -> float:
    """Return the reserve of one organisation over all instances.

    :param limit: tokens that its limit admits in a window.
    :param started_tokens: tokens in the even shares of processes that have just
        started; a process that is replaced may have spent its own just before.
    :param overrun: tolerated fraction by which the limit may be exceeded.
    :param slack: tolerated number of tokens above that.
    """
    tolerance = limit * overrun * _OVERRUN_FRACTION + slack * _SLACK_FRACTION
    return max(tolerance - started_tokens, 0) if overrun else 0


@dataclass(slots=True)
class ReserveLog:
    """Tokens of the reserve that one instance has used, for one organisation.

    :param window: in which the reserve may be used once, seconds.
    """

    window: float
    _used: deque[tuple[float, float]] = field(default_factory=deque)

    def left(self, reserve: float, started_at: float, now: float) -> float:
        """Return the tokens that may be used.

        :param reserve: part of this instance, tokens.
        :param started_at: when its process started, seconds.
        :param now: seconds.
        """
        while self._used and self._used[0][0] <= now - self.window:
            self._used.popleft()
        used = sum(tokens for _, tokens in self._used)
        is_starting = now - started_at < self.window
        fraction = _STARTING_FRACTION if is_starting else 1 - _STARTING_FRACTION
        return max(reserve * fraction - used, 0)

    def use(self, tokens: float, now: float) -> None:
        """Record tokens that are used.

        :param tokens: number of tokens.
        :param now: seconds.
        """
        if tokens > 0:
            self._used.append((now, tokens))

    def undo(self, tokens: float) -> float:
        """Remove tokens that have not run, those used last first.

        :param tokens: number of tokens.
        :returns: number of tokens removed.
        """
        left = tokens
        while self._used and left > 0:
            used_at, used = self._used.pop()
            if used > left:
                self._used.append((used_at, used - left))
            left -= min(used, left)
        return tokens - left


@dataclass(slots=True)
class InstanceCount:
    """Highest number of instances that leaders have reported lately.

    :ivar most: highest number since the process started.
    """

    most: int = 0
    # Time and number, with numbers that fall.
    _seen: deque[tuple[float, int]] = field(default_factory=deque)

    def observe(self, count: int, now: float) -> int:
        """Record a number and return the one to use.

        :param count: instances that share the limits.
        :param now: seconds.
        """
        self.most = max(self.most, count)
        while self._seen and self._seen[-1][1] <= count:
            self._seen.pop()
        self._seen.append((now, count))
        while self._seen[0][0] < now - _COUNTED_SECONDS:
            self._seen.popleft()
        return self._seen[0][1]


@dataclass(slots=True)
class Borrowing:
    """Collects the tokens of one request from other instances, in rounds.

    A round asks instances of one zone, as those of others may not be reached.

    :param missing: tokens that are still needed.
    :param lenders: instances to ask, in order. One that lends all that it was
        asked for is asked again.
    :ivar loans: instances that have lent tokens, with their number.
    """

    missing: float
    lenders: list[PeerView]
    loans: list[tuple[PeerView, int]] = field(default_factory=list)
    _asks: int = 0
    _each: int = 0
    _willing: list[PeerView] = field(default_factory=list)

    def next_asks(self) -> list[tuple[PeerView, int]]:
        """Return whom to ask next for how many tokens; none at the end."""
        queue = [*self._willing, *self.lenders]
        if self.missing <= 0 or not queue or self._asks >= _MAX_ASKS:
            return []
        asked = [peer for peer in queue if peer.zone == queue[0].zone]
        asked = asked[:_LENDERS_AT_ONCE]
        self._willing = []
        self.lenders = [peer for peer in queue if peer not in asked]
        self._asks += len(asked)
        self._each = math.ceil(self.missing / len(asked))
        return [(peer, self._each) for peer in asked]

    def add(self, peer: PeerView, tokens: int) -> None:
        """Record what an instance has lent.

        :param peer: the instance.
        :param tokens: number of tokens.
        """
        if tokens:
            self.missing -= tokens
            self.loans.append((peer, tokens))
        if tokens >= self._each:
            self._willing.append(peer)


def choose_lenders(
    peers: Iterable[PeerView],
    instance_id: str,
    zone: str,
    rng: random.Random,
) -> list[PeerView]:
    """Return the instances to ask for tokens, in order.

    Those of the own zone come first, since a partition mostly separates zones.

    :param peers: known instances.
    :param instance_id: of this instance.
    :param zone: of this instance.
    :param rng: spreads the asks over the instances.
    """
    able = [
        peer
        for peer in peers
        if peer.instance_id != instance_id
        and message_level(peer.boot) >= OVERLOAD_LEVEL
    ]
    rng.shuffle(able)
    able.sort(key=lambda peer: peer.zone != zone)
    return able
