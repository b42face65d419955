"""Routes messages between the dispatch loop, the leader task and peers."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

import anyio
import structlog
from anyio.streams.memory import MemoryObjectSendStream

from cowsliprack.protocol.peer import (
    AnyPeerMessage,
    ColdStartRefusal,
    CreditGrant,
    CreditRequest,
    CreditReturn,
    DemandReport,
    Heartbeat,
    HeartbeatAck,
    LoanGrant,
    LoanRequest,
    PoisonNotice,
    ReplicaView,
    TargetLeaving,
)

_log = structlog.get_logger('cowsliprack.hub')

_ENTRY_MESSAGES = (
    ReplicaView,
    CreditGrant,
    ColdStartRefusal,
    PoisonNotice,
    TargetLeaving,
)
_LEADER_MESSAGES = (
    ColdStartRefusal,
    CreditRequest,
    CreditReturn,
    DemandReport,
    Heartbeat,
    HeartbeatAck,
    LoanGrant,
    LoanRequest,
    ReplicaView,
    TargetLeaving,
)
# A leader relays these to the instances of its zone, so that they need no
# connections to other zones.
_RELAYED_IN_ZONE = (ReplicaView, PoisonNotice, TargetLeaving)
# A leader relays these from its own zone to the leaders of all other zones.
_RELAYED_EVERYWHERE = (PoisonNotice, TargetLeaving)


class PeerNetwork(Protocol):
    """Access to the other instances."""

    def leader_id(self) -> str | None:
        """Return the id of the zone's leader, which may be the own id."""

    def substitute_id(self) -> str | None:
        """Return the leader of another zone that can act as a substitute."""

    def hears_leader(self) -> bool:
        """Return whether the zone's leader answers."""

    def member_ids(self) -> tuple[str, ...]:
        """Return the ids of the other instances of the zone."""

    def leader_ids_by_zone(self) -> Mapping[str, str]:
        """Return the leaders of the other zones."""

    def send(self, instance_id: str, message: AnyPeerMessage) -> None:
        """Queue a message to a peer without blocking."""


@dataclass(slots=True)
class Hub:
    """Routes messages between the tasks of an instance and its peers.

    :param instance_id: id of this instance.
    :param peers: access to the other instances.
    :param to_entry: passes a message to the dispatch loop.
    :param to_leader_task: inbox of the leader task of this instance.
    :param last_credit_request_id: detects that a request is repeated.
    """

    instance_id: str
    peers: PeerNetwork
    to_dispatch_loop: Callable[[AnyPeerMessage], None]
    to_leader_task: MemoryObjectSendStream[tuple[str, AnyPeerMessage]]
    last_credit_request_id: str = ''

    def is_leader(self) -> bool:
        """Return whether this instance leads its zone."""
        return self.peers.leader_id() == self.instance_id

    def zone_of(self, instance_id: str) -> str | None:
        """Return the other zone that an instance leads, if any.

        :param instance_id: id of a sender.
        """
        for zone, leader_id in self.peers.leader_ids_by_zone().items():
            if leader_id == instance_id:
                return zone
        return None

    def receive(self, sender: str, message: AnyPeerMessage) -> None:
        """Route a message from a peer.

        :param sender: id of the peer.
        :param message: received message.
        """
        if isinstance(message, _LEADER_MESSAGES):
            self._post_to_leader_task(sender, message)
        if isinstance(message, _ENTRY_MESSAGES):
            self.to_dispatch_loop(message)
        if self.is_leader() and isinstance(message, _RELAYED_IN_ZONE):
            self._relay(sender, message)

    def send_to_leader(self, message: AnyPeerMessage) -> None:
        """Send a message from the dispatch loop to the zone's leader.

        :param message: dropped while no leader is known, except poison notices;
            the entry task repeats the others.
        """
        if isinstance(message, CreditRequest) and self._is_unanswered(message):
            self._send_to_substitute(message)
        leader_id = self.peers.leader_id()
        if leader_id == self.instance_id:
            self._post_to_leader_task(self.instance_id, message)
            if isinstance(message, _RELAYED_EVERYWHERE):
                self.broadcast(message)
        elif leader_id is not None:
            self.peers.send(leader_id, message)
        elif isinstance(message, PoisonNotice):
            # The entry task does not repeat it, so all instances get it now.
            self._send_to_members(message)

    def _is_unanswered(self, request: CreditRequest) -> bool:
        """Return whether the zone's leader has not answered a request.

        A substitute may answer too. The first grant is used; the grant of the
        other ledger expires unused.
        """
        is_repeated = request.request_id == self.last_credit_request_id
        self.last_credit_request_id = request.request_id
        return is_repeated or not self.peers.hears_leader()

    def _send_to_substitute(self, request: CreditRequest) -> None:
        substitute_id = self.peers.substitute_id()
        if substitute_id is not None and not self.is_leader():
            self.peers.send(substitute_id, request)

    def send(self, instance_id: str, message: AnyPeerMessage) -> None:
        """Send a message of the leader task to an instance of the zone.

        :param instance_id: id of the instance, which may be the own id.
        :param message: message to send.
        """
        if instance_id == self.instance_id:
            self.to_dispatch_loop(message)
        else:
            self.peers.send(instance_id, message)

    def send_to_zone(self, zone: str, message: AnyPeerMessage) -> None:
        """Send a message of the leader task to another zone's leader.

        :param zone: zone of the leader; unknown zones are ignored.
        :param message: message to send.
        """
        leader_id = self.peers.leader_ids_by_zone().get(zone)
        if leader_id is not None:
            self.peers.send(leader_id, message)

    def broadcast(self, message: AnyPeerMessage) -> None:
        """Send a message of the leader task to its zone and other leaders.

        :param message: message to send.
        """
        self.to_dispatch_loop(message)
        self._send_to_members(message)
        self._send_to_leaders(message)

    def announce(self, message: AnyPeerMessage) -> None:
        """Send a message to the own leader task and broadcast it.

        :param message: observation of the zone's leader itself.
        """
        self._post_to_leader_task(self.instance_id, message)
        self.broadcast(message)

    def _relay(self, sender: str, message: AnyPeerMessage) -> None:
        self._send_to_members(message, sender)
        from_own_zone = self.zone_of(sender) is None
        if from_own_zone and isinstance(message, _RELAYED_EVERYWHERE):
            self._send_to_leaders(message)

    def _send_to_members(
        self,
        message: AnyPeerMessage,
        sender: str = '',
    ) -> None:
        for member_id in self.peers.member_ids():
            if member_id != sender:
                self.peers.send(member_id, message)

    def _send_to_leaders(self, message: AnyPeerMessage) -> None:
        for leader_id in self.peers.leader_ids_by_zone().values():
            self.peers.send(leader_id, message)

    def _post_to_leader_task(
        self,
        sender: str,
        message: AnyPeerMessage,
    ) -> None:
        try:
            self.to_leader_task.send_nowait((sender, message))
        except anyio.WouldBlock:
            _log.warning('leader_inbox_full', kind=type(message).__name__)
