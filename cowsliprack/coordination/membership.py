"""Failure detection, leader discovery and replacement of dead connections.

Instances exchange heartbeats with the leader of their zone, and leaders with
the leaders of other zones. An instance whose leader does not answer asks seed
peers and a few known members. The traffic of one instance does not depend on
the number of instances in other zones; only that of a leader grows with the
size of its own zone.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from cowsliprack.coordination.links import (
    Action,
    Connect,
    Disconnect,
    LeaderInfo,
    Link,
    OwnState,
    Send,
)
from cowsliprack.protocol.peer import Heartbeat, HeartbeatAck

# Unacknowledged heartbeats after which a connection is replaced.
MAX_UNACKED_HEARTBEATS = 3
# Minimum time between two replacements of one connection.
MIN_RECONNECT_SECONDS = 3.0
# Time without a message after which an instance is no longer a member.
PEER_TIMEOUT_SECONDS = 6.0
# Time without an acknowledgement from the leader after which other peers are
# asked for the current leader.
LEADER_ACK_TIMEOUT_SECONDS = 2.5
# Interval of heartbeats to the substitute leader. It is below
# PEER_TIMEOUT_SECONDS, after which that leader would drop the connection.
SUBSTITUTE_HEARTBEAT_SECONDS = 5.0
# Acknowledgements after which a member is sent the lists of members and
# leaders again, even if they have not changed.
RESEND_EVERY_ACKS = 16
# Known members asked while no leader answers.
MAX_CONTACTS = 2
# Links above which an instance that does not lead ignores unknown peers.
MAX_FOLLOWER_LINKS = 64
_NEVER_SENT = float('-inf')
_HALF_TICK_SECONDS = 0.5
_SEED_PREFIX = 'seed:'


@dataclass(slots=True)
class Membership:
    """Links of one instance to its peers, without I/O.

    Its methods return the actions that the caller carries out.

    :param address: own peer address.
    :param seeds: peer addresses asked while no leader answers.
    :param leaders_by_zone: holders with the highest fencing number seen.
    :param contacts_by_id: addresses of members, as last sent by the leader.
    """

    instance_id: str
    zone: str
    address: str
    seeds: tuple[str, ...] = ()
    own: OwnState = field(default_factory=OwnState)
    links_by_id: dict[str, Link] = field(default_factory=dict)
    leaders_by_zone: dict[str, LeaderInfo] = field(default_factory=dict)
    contacts_by_id: dict[str, str] = field(default_factory=dict)
    _members_version: int = 0

    def leader_id(self) -> str | None:
        """Return the id of the zone's leader, which may be this instance."""
        if self.own.leader:
            return self.instance_id
        leader_id = self.leaders_by_zone.get(
            self.zone, LeaderInfo()
        ).instance_id
        return None if leader_id in {'', self.instance_id} else leader_id

    def member_ids(self) -> tuple[str, ...]:
        """Return the other instances of the zone that send heartbeats here."""
        return tuple(
            instance_id
            for instance_id, link in self.links_by_id.items()
            if link.is_member
        )

    def leader_ids_by_zone(self) -> dict[str, str]:
        """Return the leaders of the other zones."""
        return {
            zone: leader.instance_id
            for zone, leader in self.leaders_by_zone.items()
            if zone != self.zone and leader.instance_id
        }

    def hears_leader(self, now: float) -> bool:
        """Return whether the zone's leader acknowledges heartbeats.

        :param now: seconds.
        """
        if self.own.leader:
            return True
        link = self.links_by_id.get(self.leader_id() or '')
        return bool(link) and now - link.acked_at < LEADER_ACK_TIMEOUT_SECONDS

    def heartbeat_sent_at(self, message: HeartbeatAck) -> float | None:
        """Return when the acknowledged heartbeat was sent.

        :param message: acknowledgement of a peer.
        :returns: seconds; ``None`` if the time is no longer kept.
        """
        link = self.links_by_id.get(message.instance_id)
        return link.sent_at.get(message.sequence) if link else None

    def on_leader(self, zone: str, leader: LeaderInfo) -> None:
        """Record the leader of a zone, as read from a lease or a peer.

        :param zone: of the lease.
        :param leader: ignored if a higher fencing number was seen; with an
            equal one, only the release of the lease is recorded.
        """
        known = self.leaders_by_zone.get(zone, LeaderInfo())
        is_released = not leader.instance_id
        is_same_term = leader.fencing == known.fencing
        if leader.fencing > known.fencing or (is_same_term and is_released):
            self.leaders_by_zone[zone] = leader

    def tick(self, own: OwnState, now: float) -> list[Action]:
        """Return the actions that are due; called each second.

        :param own: state of this instance.
        :param now: seconds.
        """
        if own.leader and not self.own.leader:
            self._members_version += 1
        self.own = own
        if own.leader:
            info = LeaderInfo(self.instance_id, self.address, own.fencing)
            self.on_leader(self.zone, info)
        actions = self._drop_timed_out(now)
        peers = self._heartbeat_peers(now)
        for instance_id, address in peers.items():
            actions.extend(self._ensure_link(instance_id, address, now))
            if self._is_due(instance_id, now):
                actions.extend(self._reconnect_unacked(instance_id, now))
                actions.append(self._heartbeat(instance_id, now))
        return actions

    def announce(self, own: OwnState, now: float) -> list[Action]:
        """Return messages that announce a change to all peers at once.

        :param own: state of this instance.
        :param now: seconds.
        """
        self.own = own
        actions: list[Action] = [
            Send(instance_id, self._ack(link))
            for instance_id, link in self.links_by_id.items()
            if link.is_member
        ]
        if own.leader:
            actions.extend(
                self._heartbeat(instance_id, now)
                for instance_id in self.leader_ids_by_zone().values()
                if instance_id in self.links_by_id
            )
        return actions

    def on_heartbeat(self, message: Heartbeat, now: float) -> list[Action]:
        """Process a heartbeat and return its acknowledgement.

        :param message: of a peer.
        :param now: seconds.
        """
        instance_id = message.instance_id
        if instance_id == self.instance_id or self._exceeds_limit(instance_id):
            return []
        actions = self._ensure_link(instance_id, message.address, now)
        link = self.links_by_id[instance_id]
        self._update_link(link, message, now)
        if message.leader:
            self.on_leader(
                message.zone,
                LeaderInfo(instance_id, message.address, message.fencing),
            )
        missed = message.sequence - message.acked
        if self.own.leader and missed > MAX_UNACKED_HEARTBEATS:
            # Heartbeats arrive, but their acknowledgements are lost.
            actions.extend(self._reconnect(instance_id, now))
        actions.append(Send(instance_id, self._ack(link)))
        return actions

    def on_ack(self, message: HeartbeatAck, now: float) -> list[Action]:
        """Process the acknowledgement of a heartbeat.

        :param message: of a peer.
        :param now: seconds.
        """
        actions = self._connect_seed(message, now)
        link = self.links_by_id.get(message.instance_id)
        if link is not None:
            link.acked = max(link.acked, min(message.sequence, link.sent))
            link.acked_at = now
            link.received_at = now
            link.zone = message.zone
        if message.addresses_by_id:
            self.contacts_by_id = dict(message.addresses_by_id)
        leader = LeaderInfo(
            message.leader_id,
            message.leader_address,
            message.fencing,
        )
        self.on_leader(message.zone, leader)
        for zone, (
            instance_id,
            address,
            fencing,
        ) in message.leaders_by_zone.items():
            self.on_leader(zone, LeaderInfo(instance_id, address, fencing))
        return actions

    def _connect_seed(self, message: HeartbeatAck, now: float) -> list[Action]:
        """Open a link to a seed peer, whose id its first answer reveals."""
        instance_id = message.instance_id
        if instance_id in self.links_by_id or not message.address:
            return []
        if self._exceeds_limit(instance_id):
            return []
        return self._ensure_link(instance_id, message.address, now)

    def _update_link(self, link: Link, message: Heartbeat, now: float) -> None:
        is_member = message.zone == self.zone
        if is_member and not link.is_member or link.leaving != message.leaving:
            self._members_version += 1
        link.is_member = is_member
        link.zone = message.zone
        link.leaving = message.leaving
        link.received = message.sequence
        link.received_at = now

    def _heartbeat_peers(self, now: float) -> dict[str, str]:
        """Return the addresses by id of peers to send heartbeats to."""
        if self.own.leader:
            return {
                leader.instance_id: leader.address
                for zone, leader in self.leaders_by_zone.items()
                if zone != self.zone and leader.instance_id
            }
        peers = {}
        leader = self.leaders_by_zone.get(self.zone, LeaderInfo())
        if leader.instance_id not in {'', self.instance_id}:
            peers[leader.instance_id] = leader.address
        if not self.hears_leader(now):
            peers.update(self._contacts())
        # Kept open, so that the substitute can be used without a handshake.
        peers.update(self._substitute())
        return peers

    def substitute_id(self) -> str | None:
        """Return the other zone's leader used while the own one is silent."""
        return next(iter(self._substitute()), None)

    def _substitute(self) -> dict[str, str]:
        """Return id and address of the leader of the next zone by name.

        Its ledger counts what it grants against the share of its own zone, so
        an instance without a leader keeps to the limits.
        """
        leaders_by_zone = {
            zone: leader
            for zone, leader in self.leaders_by_zone.items()
            if zone != self.zone and leader.instance_id
        }
        zones = sorted(leaders_by_zone)
        later = [zone for zone in zones if zone > self.zone]
        for zone in (*later, *zones):
            leader = leaders_by_zone[zone]
            return {leader.instance_id: leader.address}
        return {}

    def _contacts(self) -> dict[str, str]:
        """Return a few peers to ask for the leader."""
        others = sorted(set(self.contacts_by_id) - {self.instance_id})
        # Each instance starts after its own id, which spreads the requests.
        later = [name for name in others if name > self.instance_id]
        chosen = [*later, *others][:MAX_CONTACTS]
        contacts = {name: self.contacts_by_id[name] for name in chosen}
        seeds = [seed for seed in self.seeds if seed != self.address]
        contacts.update({f'{_SEED_PREFIX}{seed}': seed for seed in seeds})
        return contacts

    def _ensure_link(
        self,
        instance_id: str,
        address: str,
        now: float,
    ) -> list[Action]:
        link = self.links_by_id.get(instance_id)
        if link and link.address == address:
            return []
        self.links_by_id[instance_id] = Link(address, now, now)
        return [Connect(instance_id, address)]

    def _reconnect_unacked(self, instance_id: str, now: float) -> list[Action]:
        link = self.links_by_id[instance_id]
        unacked = link.sent - max(link.acked, link.sent_before_open)
        if unacked < MAX_UNACKED_HEARTBEATS:
            return []
        return self._reconnect(instance_id, now)

    def _reconnect(self, instance_id: str, now: float) -> list[Action]:
        link = self.links_by_id[instance_id]
        if now - link.opened_at < MIN_RECONNECT_SECONDS:
            return []
        link.opened_at = now
        link.sent_before_open = link.sent
        return [Connect(instance_id, link.address)]

    def _drop_timed_out(self, now: float) -> list[Action]:
        leaders = {
            leader.instance_id for leader in self.leaders_by_zone.values()
        }
        timed_out = [
            instance_id
            for instance_id, link in self.links_by_id.items()
            if now - link.received_at >= PEER_TIMEOUT_SECONDS
        ]
        actions: list[Action] = []
        for expired_id in timed_out:
            # The link to a leader is kept until its successor is known.
            if expired_id not in leaders:
                link = self.links_by_id.pop(expired_id)
                self._members_version += link.is_member
                actions.append(Disconnect(expired_id))
        return actions

    def _is_due(self, instance_id: str, now: float) -> bool:
        """Return whether a heartbeat to a peer is due."""
        if self.own.leader or instance_id != self.substitute_id():
            return True
        if not self.hears_leader(now):
            return True
        link = self.links_by_id[instance_id]
        last_sent_at = link.sent_at.get(link.sent, _NEVER_SENT)
        # Ticks come each second with some jitter.
        return (
            now - last_sent_at
            > SUBSTITUTE_HEARTBEAT_SECONDS - _HALF_TICK_SECONDS
        )

    def _exceeds_limit(self, instance_id: str) -> bool:
        is_known = instance_id in self.links_by_id
        is_limited = not self.own.leader and not is_known
        return is_limited and len(self.links_by_id) >= MAX_FOLLOWER_LINKS

    def _heartbeat(self, instance_id: str, now: float) -> Send:
        link = self.links_by_id[instance_id]
        link.record_sent(now)
        own = self.own
        heartbeat = Heartbeat(
            instance_id=self.instance_id,
            zone=self.zone,
            address=self.address,
            sequence=link.sent,
            generation=own.generation,
            leader=own.leader,
            leaving=own.leaving,
            fencing=own.fencing if own.leader else 0,
            credit_by_organisation=dict(own.credit_by_organisation),
            acked=link.acked,
        )
        return Send(instance_id, heartbeat)

    def _ack(self, link: Link) -> HeartbeatAck:
        own = self.own
        leader = self.leaders_by_zone.get(self.zone, LeaderInfo())
        return HeartbeatAck(
            instance_id=self.instance_id,
            sequence=link.received,
            generation=own.generation,
            leader=own.leader and leader.instance_id == self.instance_id,
            fencing=leader.fencing,
            address=self.address,
            addresses_by_id=self._members_update(link),
            zone=self.zone,
            configuration_age=own.configuration_age,
            leader_id=leader.instance_id,
            leader_address=leader.address,
            leaders_by_zone=self._leaders_update(link),
        )

    def _leaders_update(self, link: Link) -> dict[str, tuple[str, str, int]]:
        """Return the other zones' leaders if changed or due for resending."""
        if not self.own.leader or not link.is_member:
            return {}
        leaders = {
            zone: (leader.instance_id, leader.address, leader.fencing)
            for zone, leader in self.leaders_by_zone.items()
            if zone != self.zone
        }
        is_current = link.announced_leaders == leaders
        if is_current and link.ack_count % RESEND_EVERY_ACKS:
            return {}
        link.announced_leaders = leaders
        return leaders

    def _members_update(self, link: Link) -> dict[str, str]:
        """Return the zone's members if changed or due for resending."""
        if not self.own.leader or not link.is_member:
            return {}
        link.ack_count += 1
        is_current = link.announced_members_version == self._members_version
        if is_current and link.ack_count % RESEND_EVERY_ACKS:
            return {}
        link.announced_members_version = self._members_version
        return dict(_staying_members(self.links_by_id.items()))


def _staying_members(
    links: Iterable[tuple[str, Link]],
) -> Iterable[tuple[str, str]]:
    for instance_id, link in links:
        if link.is_member and not link.leaving:
            yield instance_id, link.address
