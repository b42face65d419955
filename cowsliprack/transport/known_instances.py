"""Instances of a region, as far as one of them knows them."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import structlog

from cowsliprack.coordination.credit_shares import SHARE_LIFETIME_SECONDS
from cowsliprack.coordination.lease_record import NEVER, LeaseMembers
from cowsliprack.coordination.token_credit import TokenCredit
from cowsliprack.protocol.gateway_messages import LeaderView, PeerView

_log = structlog.get_logger('cowsliprack.region')


@dataclass(slots=True)
class KnownInstances:
    """The other instances from views, before these from the lease object.

    :param credit: credit of this instance, which is told their number.
    :param viewed: returns the instances that the last views named.
    :param apply_viewed: applies those that a view names.
    :param clock: seconds; must keep running during suspension.
    """

    credit: TokenCredit
    viewed: Callable[[], Iterable[PeerView]]
    apply_viewed: Callable[[LeaderView], None]
    clock: Callable[[], float]
    # When the first view of the present leader came, seconds.
    _led_since: float = NEVER
    # Instances before the present leader, from views or from the lease object.
    _past: tuple[PeerView, ...] = ()

    def peers(self) -> tuple[PeerView, ...]:
        """Return the instances of the region, as far as they are known."""
        return tuple(self.viewed()) or self._past

    def is_led_anew(self) -> bool:
        """Return whether the leader has begun its term in the last window."""
        return self.clock() - self._led_since < self.credit.window

    def apply_view(self, view: LeaderView, *, is_new: bool) -> None:
        """Apply the number and the list of instances of a view.

        :param view: of a leader.
        :param is_new: whether it is the first view of its leader.
        """
        now = self.clock()
        self.credit.observe_instances(view.members, now)
        if is_new:
            self._past = self.peers()
            self._led_since = now
        self.apply_viewed(view)

    def inherit(self, members: LeaseMembers) -> None:
        """Learn of the other instances before the first view.

        :param members: as the lease object names them.
        """
        if self.credit.known_instances() or not members.count:
            return
        self.credit.observe_instances(
            members.count, self.clock(), is_view=False
        )
        self._past = members.peers
        _log.info(
            'instances_inherited',
            instances=members.count,
            known=len(members.peers),
        )

    def to_record(self) -> LeaseMembers:
        """Return what the lease object states of the instances.

        Instances that have not reported to a new leader may still run.
        """
        viewed = tuple(self.viewed())
        is_new = self.clock() - self._led_since < SHARE_LIFETIME_SECONDS
        past = self._past if is_new or not viewed else ()
        by_id = {peer.instance_id: peer for peer in (*past, *viewed)}
        return LeaseMembers(
            self.credit.known_instances(), tuple(by_id.values())
        )
