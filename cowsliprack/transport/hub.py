"""Passes messages between the dispatch loop, the leader task and peers."""

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

_FOR_ENTRY = (
    ReplicaView,
    CreditGrant,
    ColdStartRefusal,
    PoisonNotice,
    TargetLeaving,
)
_FOR_LEADER = (
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
# A leader passes these on to its zone, so that instances need no connection
# to instances of other zones.
_RELAYED_IN_ZONE = (ReplicaView, PoisonNotice, TargetLeaving)
# News of a member that every zone must learn.
_RELAYED_EVERYWHERE = (PoisonNotice, TargetLeaving)


class Neighbours(Protocol):
    """What is known of the other instances."""

    def leader_id(self) -> str | None:
        """Return the id of the zone's leader, the own one included."""

    def substitute_id(self) -> str | None:
        """Return the leader of another zone that can stand in."""

    def hears_leader(self) -> bool:
        """Return whether the zone's leader answers."""

    def member_ids(self) -> tuple[str, ...]:
        """Return the ids of the other instances of the zone."""

    def leader_ids_by_zone(self) -> Mapping[str, str]:
        """Return the leaders of the other zones."""

    def send(self, instance_id: str, message: AnyPeerMessage) -> None:
        """Queue a message to a peer; never waits."""


@dataclass(slots=True)
class Hub:
    """Routes messages between the tasks of an instance and its peers.

    :param to_dispatch_loop: posts a message to the dispatch loop.
    :param to_leader_task: inbox of the leader task of this instance.
    :param last_credit_request_id: recognises a repeated request.
    """

    instance_id: str
    neighbours: Neighbours
    to_dispatch_loop: Callable[[AnyPeerMessage], None]
    to_leader_task: MemoryObjectSendStream[tuple[str, AnyPeerMessage]]
    last_credit_request_id: str = ''

    def is_leader(self) -> bool:
        """Return whether this instance leads its zone."""
        return self.neighbours.leader_id() == self.instance_id

    def zone_of(self, instance_id: str) -> str | None:
        """Return the other zone that an instance leads, if it does.

        :param instance_id: of a sender.
        """
        for zone, leader_id in self.neighbours.leader_ids_by_zone().items():
            if leader_id == instance_id:
                return zone
        return None

    def receive(self, sender: str, message: AnyPeerMessage) -> None:
        """Take a message of a peer.

        :param sender: id of the peer.
        :param message: what it sent.
        """
        if isinstance(message, _FOR_LEADER):
            self._give_leader_task(sender, message)
        if isinstance(message, _FOR_ENTRY):
            self.to_dispatch_loop(message)
        if self.is_leader() and isinstance(message, _RELAYED_IN_ZONE):
            self._relay(sender, message)

    def send_to_leader(self, message: AnyPeerMessage) -> None:
        """Send a message from the dispatch loop to the zone's leader.

        :param message: dropped while no leader is known; it is repeated.
        """
        if isinstance(message, CreditRequest) and self._is_late(message):
            self._send_to_substitute(message)
        leader_id = self.neighbours.leader_id()
        if leader_id == self.instance_id:
            self._give_leader_task(self.instance_id, message)
            if isinstance(message, _RELAYED_EVERYWHERE):
                self.broadcast(message)
        elif leader_id is not None:
            self.neighbours.send(leader_id, message)
        elif isinstance(message, PoisonNotice):
            # Not repeated, so it goes to every instance of the zone.
            self._send_to_members(message)

    def _is_late(self, request: CreditRequest) -> bool:
        """Return whether the zone's leader has not answered a request.

        The first answer counts; what the other ledger grants expires unspent.
        """
        is_repeated = request.request_id == self.last_credit_request_id
        self.last_credit_request_id = request.request_id
        return is_repeated or not self.neighbours.hears_leader()

    def _send_to_substitute(self, request: CreditRequest) -> None:
        substitute_id = self.neighbours.substitute_id()
        if substitute_id is not None and not self.is_leader():
            self.neighbours.send(substitute_id, request)

    def send(self, instance_id: str, message: AnyPeerMessage) -> None:
        """Send a message of the leader task to an instance of the zone.

        :param instance_id: may be the own one.
        :param message: what to send.
        """
        if instance_id == self.instance_id:
            self.to_dispatch_loop(message)
        else:
            self.neighbours.send(instance_id, message)

    def send_to_zone(self, zone: str, message: AnyPeerMessage) -> None:
        """Send a message of the leader task to another zone's leader.

        :param zone: unknown zones are ignored.
        :param message: what to send.
        """
        leader_id = self.neighbours.leader_ids_by_zone().get(zone)
        if leader_id is not None:
            self.neighbours.send(leader_id, message)

    def broadcast(self, message: AnyPeerMessage) -> None:
        """Send a message of the leader task to its zone and other leaders.

        :param message: what to send.
        """
        self.to_dispatch_loop(message)
        self._send_to_members(message)
        self._send_to_leaders(message)

    def announce(self, message: AnyPeerMessage) -> None:
        """Tell the leader task of this instance and everybody else.

        :param message: news that the leader of the zone has found itself.
        """
        self._give_leader_task(self.instance_id, message)
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
        for member_id in self.neighbours.member_ids():
            if member_id != sender:
                self.neighbours.send(member_id, message)

    def _send_to_leaders(self, message: AnyPeerMessage) -> None:
        for leader_id in self.neighbours.leader_ids_by_zone().values():
            self.neighbours.send(leader_id, message)

    def _give_leader_task(
        self,
        sender: str,
        message: AnyPeerMessage,
    ) -> None:
        try:
            self.to_leader_task.send_nowait((sender, message))
        except anyio.WouldBlock:
            _log.warning('leader_inbox_full', kind=type(message).__name__)
