"""Paces the views that a leader sends to its members.

A new leader sends the state of all engines to each member, and again with each
change until the member has acknowledged it. On a small link these views would
occupy seconds, in which the leader reaches neither engines nor the store.
"""

from collections.abc import Callable, Iterable

from cowsliprack.coordination.region_state import Member
from cowsliprack.coordination.token_credit import TokenBucket

# Share of the link that views may use; copies of the configuration may use as
# much.
_LINK_SHARE = 0.4
# Views that may leave at once, in seconds of that share.
_BURST_SECONDS = 0.05
_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1e6


class ViewPacing:
    """Views that one leader sends.

    :param link_megabits: bandwidth of the instance's link a second.
    :param sent_bytes: returns the bytes that were sent to members so far.
    :param send_view: sends the present view to a member.
    """

    def __init__(
        self,
        link_megabits: float,
        sent_bytes: Callable[[], int],
        send_view: Callable[[Member], None],
    ) -> None:
        """Send nothing until the first call."""
        self._sent_bytes = sent_bytes
        self._send_view = send_view
        rate = link_megabits * _BITS_PER_MEGABIT / _BITS_PER_BYTE * _LINK_SHARE
        burst = rate * _BURST_SECONDS
        self._allowed_bytes = TokenBucket(rate, burst, burst)

    def send(
        self, members: Iterable[Member], now: float, *, to_all: bool
    ) -> None:
        """Send the views that are due, as far as the link allows.

        Those left out are sent with a later call, the longest untold first; a
        view holds all that the member has not acknowledged.

        :param members: that report to this leader.
        :param now: seconds.
        :param to_all: whether there is news for all members; else a view is due
            to those whose report is unanswered.
        """
        due = []
        for member in members:
            if to_all or member.stamp:
                member.is_view_due = True
            if member.is_view_due:
                due.append(member)
        due.sort(key=lambda one: one.told_at)
        bucket = self._allowed_bytes
        bucket.refill(now)
        for waiting in due:
            if bucket.level <= 0:
                return
            bucket.level -= self._send(waiting, now)

    def send_last(self, members: Iterable[Member], now: float) -> None:
        """Send the views that say that the leader has stopped.

        :param members: that report to this leader.
        :param now: seconds.
        """
        for member in members:
            self._send(member, now)

    def _send(self, member: Member, now: float) -> int:
        """Send a view and return the bytes that it took."""
        before = self._sent_bytes()
        self._send_view(member)
        member.is_view_due = False
        member.told_at = now
        return self._sent_bytes() - before
