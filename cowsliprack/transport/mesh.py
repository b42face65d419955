"""Task that owns the connections to other instances.

It keeps membership and the configuration up to date and passes all other
messages on. A leader watches the manifest in the platform store; others learn
of changes by heartbeat and read the store only when they hear from nobody.
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
from cowsliprack.transport.store_feed import StoreFeed

HEARTBEAT_SECONDS = 1.0
# Seconds between looks at the own role and at pulls that are due.
_STEP_SECONDS = 0.1

_log = structlog.get_logger('cowsliprack.mesh')


class Sockets(Peers, Protocol):
    """Connections that other instances can reach under an address."""

    address: str


@dataclass(slots=True)
class Mesh:
    """Neighbours of one instance; see ``hub.Neighbours``.

    :param leading: returns the fencing number while this instance leads its
        zone, else ``None``.
    :param deliver: takes messages that are not about the configuration.
    :param on_configuration: called when a configuration came into force.
    :param on_isolation: told each second for how long no source of
        configuration has answered.
    :param credit: outstanding credit by organisation, for heartbeats.
    :param leaving: set when this instance stops.
    """

    instance_id: str
    zone: str
    store: ObjectStore
    sockets: Sockets
    clock: Callable[[], float]
    leading: Callable[[], int | None]
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
        """Start with no peer and the empty configuration."""
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
            self.leading,
            self._installed,
            self.rng,
        )

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.relay.configuration

    def leader_id(self) -> str | None:
        """Return the id of the zone's leader, the own one included."""
        if self.leading() is not None:
            return self.instance_id
        return self.membership.leader_id()

    def substitute_id(self) -> str | None:
        """Return the leader of another zone that can stand in."""
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
        """Queue a message to a peer; never waits.

        :param instance_id: of the peer; not connected ones are ignored.
        :param message: what to send.
        """
        self.sockets.send(instance_id, message)

    def announce(self) -> None:
        """Tell partners at once of the own state."""
        self._perform(self.membership.tick(self._own(), self.clock()))
        self._perform(self.membership.announce(self._own(), self.clock()))

    async def run(self) -> None:
        """Exchange messages until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive)
            tasks.start_soon(self._beat)
            tasks.start_soon(self.feed.follow_leases)
            tasks.start_soon(self.feed.follow_manifest)

    async def _receive(self) -> None:
        while True:
            sender, message = await self.sockets.receive()
            self.take(sender, message)

    def take(self, sender: str, message: AnyPeerMessage) -> None:
        """Take a message of a peer.

        :param sender: id of the peer.
        :param message: what it sent.
        """
        now = self.clock()
        if isinstance(message, ConfigurationPull):
            for answer in self.relay.on_pull(message):
                self.sockets.send(sender, answer)
        elif isinstance(message, ConfigurationShards):
            self._installed(self.relay.on_shards(message, now))
        elif isinstance(message, Heartbeat | HeartbeatAck):
            # The identity of the connection and the id in the message are
            # the same unless a peer is misconfigured.
            if sender == message.instance_id:
                self._take_sign_of_life(message, now)
                self.deliver(sender, message)
        else:
            self.deliver(sender, message)
        self._pull(now)

    def _take_sign_of_life(
        self,
        message: Heartbeat | HeartbeatAck,
        now: float,
    ) -> None:
        fresh_at = None
        if isinstance(message, Heartbeat):
            actions = self.membership.on_heartbeat(message, now)
        else:
            actions = self.membership.on_ack(message, now)
            asked_at = self.membership.heartbeat_sent_at(message)
            if asked_at is not None:
                fresh_at = asked_at - message.configuration_age
        self._perform(actions)
        self.relay.on_announcement(
            message.instance_id,
            message.generation,
            now,
            fresh_at,
        )

    async def _beat(self) -> None:
        due = self.clock()
        said: tuple[object, ...] = ()
        while True:
            now = self.clock()
            self._pull(now)
            says = (self.leading(), self.leaving, self.membership.leader_id())
            if now >= due or says != said:
                due = now + HEARTBEAT_SECONDS
                said = says
                self._perform(self.membership.tick(self._own(), now))
                self.on_isolation(self.relay.isolated_for(now))
            await anyio.sleep(_STEP_SECONDS)

    def _own(self) -> OwnState:
        fencing = self.leading()
        return OwnState(
            generation=self.relay.generation,
            configuration_age=self.relay.isolated_for(self.clock()),
            leader=fencing is not None,
            fencing=fencing or 0,
            leaving=self.leaving,
            credit_by_organisation=self.credit(),
        )

    def _pull(self, now: float) -> None:
        for pull in self.relay.tick(now):
            self.sockets.send(pull.instance_id, pull.message)

    def _perform(self, actions: Iterable[Action]) -> None:
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

    def _installed(self, installed: bool) -> None:
        if installed:
            self.on_configuration(self.relay.configuration)
            now = self.clock()
            self._perform(self.membership.announce(self._own(), now))
