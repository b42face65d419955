"""Task that owns the connections to other instances.

It keeps the membership and the configuration up to date and delivers all
other messages. A leader watches the manifest in the platform store. Other
instances learn of changes from heartbeats and read the store only when no peer
answers.
"""

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

import anyio
import structlog

from cowsliprack.coordination.distribution import ConfigurationRelay
from cowsliprack.coordination.links import (
    Action,
    Connect,
    OwnState,
    Send,
)
from cowsliprack.coordination.membership import Membership
from cowsliprack.protocol.peer import (
    AnyPeerMessage,
    ConfigurationPull,
    ConfigurationShards,
    Heartbeat,
    HeartbeatAck,
)
from cowsliprack.protocol.peers import Peers
from cowsliprack.protocol.store import ObjectStore
from cowsliprack.state.configuration import Configuration
from cowsliprack.transport.message_guard import MessageGuard
from cowsliprack.transport.store_feed import StoreFeed

HEARTBEAT_INTERVAL_SECONDS = 1.0
# Interval at which the own role and due pulls are checked.
_TICK_SECONDS = 0.1

_log = structlog.get_logger('cowsliprack.mesh')


class Sockets(Peers, Protocol):
    """Connections to peers, and the address on which peers connect."""

    address: str


@dataclass(slots=True)
class Mesh:
    """Membership and connections of one instance; see ``hub.PeerNetwork``.

    :param instance_id: id of this instance.
    :param zone: zone of this instance.
    :param leader_fencing: returns the fencing number while this instance leads
        its zone, else ``None``.
    :param deliver: called with messages that are not about the configuration.
    :param on_configuration: called when a configuration comes into force.
    :param on_isolation: called each second with the time in seconds for which
        no source of the configuration has answered.
    :param seeds: addresses of the first peers to connect to.
    :param credit: returns the outstanding credit by organisation, for
        heartbeats.
    :param rng: source of jitter.
    :param leaving: set when this instance stops.
    """

    instance_id: str
    zone: str
    store: ObjectStore
    sockets: Sockets
    clock: Callable[[], float]
    leader_fencing: Callable[[], int | None]
    deliver: Callable[[str, AnyPeerMessage], None]
    on_configuration: Callable[[Configuration], None]
    on_isolation: Callable[[float], None]
    seeds: tuple[str, ...] = ()
    credit: Callable[[], Mapping[str, float]] = dict
    rng: random.Random = field(default_factory=random.Random)
    leaving: bool = False
    membership: Membership = field(init=False)
    relay: ConfigurationRelay = field(init=False)
    feed: StoreFeed = field(init=False)

    def __post_init__(self) -> None:
        """Start without peers and with the empty configuration."""
        self.membership = Membership(
            self.instance_id,
            self.zone,
            self.sockets.address,
            self.seeds,
        )
        self.relay = ConfigurationRelay(self.rng, self.clock())
        self.feed = StoreFeed(
            self.zone,
            self.store,
            self.relay,
            self.membership,
            self.clock,
            self.leader_fencing,
            self._on_installed,
            self.rng,
        )

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.relay.configuration

    def leader_id(self) -> str | None:
        """Return the id of the zone's leader, which may be the own id."""
        if self.leader_fencing() is not None:
            return self.instance_id
        return self.membership.leader_id()

    def substitute_id(self) -> str | None:
        """Return the leader of another zone that can act as a substitute."""
        return self.membership.substitute_id()

    def hears_leader(self) -> bool:
        """Return whether the zone's leader answers."""
        return self.membership.hears_leader(self.clock())

    def member_ids(self) -> tuple[str, ...]:
        """Return the ids of the other instances of the zone."""
        return self.membership.member_ids()

    def leader_ids_by_zone(self) -> dict[str, str]:
        """Return the leaders of the other zones."""
        return self.membership.leader_ids_by_zone()

    def send(self, instance_id: str, message: AnyPeerMessage) -> None:
        """Queue a message to a peer without blocking.

        :param instance_id: id of the peer; ignored if not connected.
        :param message: message to send.
        """
        self.sockets.send(instance_id, message)

    def announce(self) -> None:
        """Send the own state to the connected peers at once."""
        self._execute(self.membership.tick(self._own_state(), self.clock()))
        self._execute(self.membership.announce(self._own_state(), self.clock()))

    async def run(self) -> None:
        """Exchange messages until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive)
            tasks.start_soon(self._send_heartbeats)
            tasks.start_soon(self.feed.follow_leases)
            tasks.start_soon(self.feed.follow_manifest)

    async def _receive(self) -> None:
        guard = MessageGuard()
        while True:
            sender, message = await self.sockets.receive()
            guard.handle(self.on_message, sender, sender, message)

    def on_message(self, sender: str, message: AnyPeerMessage) -> None:
        """Handle a message from a peer.

        :param sender: id of the peer.
        :param message: received message.
        """
        now = self.clock()
        if isinstance(message, ConfigurationPull):
            for answer in self.relay.on_pull(message):
                self.sockets.send(sender, answer)
        elif isinstance(message, ConfigurationShards):
            self._on_installed(self.relay.on_shards(message, now))
        elif isinstance(message, Heartbeat | HeartbeatAck):
            # The identity of the connection and the id in the message differ
            # only if a peer is misconfigured.
            if sender == message.instance_id:
                self._on_heartbeat(message, now)
                self.deliver(sender, message)
        else:
            self.deliver(sender, message)
        self._send_due_pulls(now)

    def _on_heartbeat(
        self,
        message: Heartbeat | HeartbeatAck,
        now: float,
    ) -> None:
        confirmed_at = None
        if isinstance(message, Heartbeat):
            actions = self.membership.on_heartbeat(message, now)
        else:
            actions = self.membership.on_ack(message, now)
            heartbeat_sent_at = self.membership.heartbeat_sent_at(message)
            if heartbeat_sent_at is not None:
                confirmed_at = heartbeat_sent_at - message.configuration_age
        self._execute(actions)
        self.relay.on_announcement(
            message.instance_id,
            message.generation,
            now,
            confirmed_at,
        )

    async def _send_heartbeats(self) -> None:
        due_at = self.clock()
        sent_state: tuple[object, ...] = ()
        while True:
            now = self.clock()
            self._send_due_pulls(now)
            state = (
                self.leader_fencing(),
                self.leaving,
                self.membership.leader_id(),
            )
            if now >= due_at or state != sent_state:
                due_at = now + HEARTBEAT_INTERVAL_SECONDS
                sent_state = state
                self._execute(self.membership.tick(self._own_state(), now))
                self.on_isolation(self.relay.isolated_for(now))
            await anyio.sleep(_TICK_SECONDS)

    def _own_state(self) -> OwnState:
        fencing = self.leader_fencing()
        return OwnState(
            generation=self.relay.generation,
            configuration_age=self.relay.isolated_for(self.clock()),
            leader=fencing is not None,
            fencing=fencing or 0,
            leaving=self.leaving,
            credit_by_organisation=self.credit(),
        )

    def _send_due_pulls(self, now: float) -> None:
        for pull in self.relay.tick(now):
            self.sockets.send(pull.instance_id, pull.message)

    def _execute(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.sockets.send(action.instance_id, action.message)
            elif isinstance(action, Connect):
                _log.info(
                    'peer_connection_opened',
                    peer=action.instance_id,
                    address=action.address,
                )
                self.sockets.connect(action.instance_id, action.address)
            else:
                self.sockets.disconnect(action.instance_id)

    def _on_installed(self, is_installed: bool) -> None:
        if is_installed:
            self.on_configuration(self.relay.configuration)
            now = self.clock()
            self._execute(self.membership.announce(self._own_state(), now))
