"""Sends the poison notices of an instance to its leader and applies others."""

from collections.abc import Callable
from dataclasses import dataclass

from cowsliprack.coordination.notice_exchange import MemberNotices
from cowsliprack.protocol.peer import AnyPoisonNotice, PoisonNotices
from cowsliprack.transport.poison_watch import PoisonWatch


@dataclass(slots=True)
class RegionNotices:
    """Poison notices of one instance while it follows a leader.

    :param exchange: what has been sent and received in the leader's term.
    :param poison: applies notices of other instances.
    :param send: sends a message to the leader.
    :param clock: seconds; must keep running during suspension.
    """

    exchange: MemberNotices
    poison: PoisonWatch
    send: Callable[[PoisonNotices], None]
    clock: Callable[[], float]

    def follow(self, fencing: int) -> None:
        """Begin to exchange notices with a new leader.

        :param fencing: fencing number of its lease.
        """
        self.exchange.follow(fencing, self.poison.tracker.notices(self.clock()))

    def add(self, notice: AnyPoisonNotice) -> None:
        """Send a notice to the leader, which relays it.

        :param notice: of a crash or an answer at this instance.
        """
        self.exchange.add(notice)
        self.send_due()

    def apply(self, message: PoisonNotices) -> None:
        """Apply the notices of a message of the leader.

        :param message: of the leader.
        """
        for notice in self.exchange.accept(message):
            self.poison.apply(notice)
        self.send_due()

    def send_due(self) -> None:
        """Send notices and acknowledgements that are due."""
        message = self.exchange.outgoing(self.clock())
        if message is not None:
            self.send(message)
