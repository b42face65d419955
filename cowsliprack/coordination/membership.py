"""Which instances are alive, who leads, and which connections are silent.

Instances exchange heartbeats with the leader of their zone, leaders with the
leaders of other zones. An instance that hears no leader asks seed peers and a
few members it knows. The cost for one node does not depend on the number of
instances in other zones, and for other nodes than leaders not on the zone.
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

# Heartbeats without an acknowledgement after which a connection is replaced.
SILENT_HEARTBEATS = 3
# Seconds between two replacements of one connection.
REPLACE_SECONDS = 3.0
# Seconds without a message after which an instance no longer counts.
LOST_SECONDS = 6.0
# Seconds without an acknowledgement of the leader after which others are
# asked who leads now.
LEADER_SILENT_SECONDS = 2.5
# Seconds between heartbeats to a leader that only stands in; below the time
# after which it would drop the connection.
STANDBY_SECONDS = 5.0
# Answers after which a member is sent the list of members again.
MEMBERS_EVERY = 16
# Members asked while no leader answers; strangers that are answered.
CONTACTS = 2
STRANGERS = 64
_NEVER_SENT = float('-inf')
_HALF_TICK = 0.5
_SEED = 'seed:'


@dataclass(slots=True)
class Membership:
    """Links of one instance; decides, but sends nothing itself.

    :param address: own peer address.
    :param seeds: addresses asked while no leader is known.
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
        """Return the id of the zone's leader, the own one included."""
        if self.own.leader:
            return self.instance_id
        leader_id = self.leaders_by_zone.get(
            self.zone, LeaderInfo()
        ).instance_id
        return None if leader_id in {'', self.instance_id} else leader_id

    def member_ids(self) -> tuple[str, ...]:
        """Return the other instances of the zone that a leader hears."""
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
        """Return whether the zone's leader answers.

        :param now: seconds.
        """
        if self.own.leader:
            return True
        link = self.links_by_id.get(self.leader_id() or '')
        return bool(link) and now - link.acked_at < LEADER_SILENT_SECONDS

    def heartbeat_sent_at(self, message: HeartbeatAck) -> float | None:
        """Return when the heartbeat was sent that a message answers.

        :param message: of a peer.
        :returns: seconds, ``None`` when it is not known any more.
        """
        link = self.links_by_id.get(message.instance_id)
        return link.sent_at.get(message.sequence) if link else None

    def on_leader(self, zone: str, leader: LeaderInfo) -> None:
        """Take what a lease object or a peer says of a zone's leader.

        :param zone: of the lease.
        :param leader: ignored unless its fencing number is the highest seen.
        """
        known = self.leaders_by_zone.get(zone, LeaderInfo())
        is_released = not leader.instance_id
        same = leader.fencing == known.fencing
        if leader.fencing > known.fencing or (same and is_released):
            self.leaders_by_zone[zone] = leader

    def tick(self, own: OwnState, now: float) -> list[Action]:
        """Return what is due; called each second.

        :param own: state of this instance.
        :param now: seconds.
        """
        if own.leader and not self.own.leader:
            self._members_version += 1
        self.own = own
        if own.leader:
            info = LeaderInfo(self.instance_id, self.address, own.fencing)
            self.on_leader(self.zone, info)
        actions = self._drop_lost(now)
        partners = self._partners(now)
        for instance_id, address in partners.items():
            actions.extend(self._ensure(instance_id, address, now))
            if self._is_due(instance_id, now):
                actions.extend(self._replace_silent(instance_id, now))
                actions.append(self._heartbeat(instance_id, now))
        return actions

    def announce(self, own: OwnState, now: float) -> list[Action]:
        """Return messages that tell all partners of a change at once.

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
        """Take a heartbeat and return its acknowledgement.

        :param message: what the peer sent.
        :param now: seconds.
        """
        instance_id = message.instance_id
        if instance_id == self.instance_id or self._is_crowded(instance_id):
            return []
        actions = self._ensure(instance_id, message.address, now)
        link = self.links_by_id[instance_id]
        self._update(link, message, now)
        if message.leader:
            self.on_leader(
                message.zone,
                LeaderInfo(instance_id, message.address, message.fencing),
            )
        missed = message.sequence - message.acked
        if self.own.leader and missed > SILENT_HEARTBEATS:
            # Its heartbeats arrive, but the answers do not.
            actions.extend(self._replace(instance_id, now))
        actions.append(Send(instance_id, self._ack(link)))
        return actions

    def on_ack(self, message: HeartbeatAck, now: float) -> list[Action]:
        """Take the acknowledgement of a heartbeat.

        :param message: what the peer sent.
        :param now: seconds.
        """
        actions = self._meet(message, now)
        link = self.links_by_id.get(message.instance_id)
        if link is not None:
            link.acked = max(link.acked, min(message.sequence, link.sent))
            link.acked_at = now
            link.heard_at = now
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

    def _meet(self, message: HeartbeatAck, now: float) -> list[Action]:
        """Connect to a seed peer that has now told its id."""
        instance_id = message.instance_id
        if instance_id in self.links_by_id or not message.address:
            return []
        if self._is_crowded(instance_id):
            return []
        return self._ensure(instance_id, message.address, now)

    def _update(self, link: Link, message: Heartbeat, now: float) -> None:
        is_member = message.zone == self.zone
        if is_member and not link.is_member or link.leaving != message.leaving:
            self._members_version += 1
        link.is_member = is_member
        link.zone = message.zone
        link.leaving = message.leaving
        link.heard = message.sequence
        link.heard_at = now

    def _partners(self, now: float) -> dict[str, str]:
        """Return addresses by id of the peers that get a heartbeat."""
        if self.own.leader:
            return {
                leader.instance_id: leader.address
                for zone, leader in self.leaders_by_zone.items()
                if zone != self.zone and leader.instance_id
            }
        partners = {}
        leader = self.leaders_by_zone.get(self.zone, LeaderInfo())
        if leader.instance_id not in {'', self.instance_id}:
            partners[leader.instance_id] = leader.address
        if not self.hears_leader(now):
            partners.update(self._contacts())
        # Kept open, so that it can stand in without a handshake first.
        partners.update(self._substitute())
        return partners

    def substitute_id(self) -> str | None:
        """Return the other zone's leader that stands in for a silent one."""
        return next(iter(self._substitute()), None)

    def _substitute(self) -> dict[str, str]:
        """Return id and address of the leader of the next zone.

        Its ledger counts what it grants against the share of its own zone,
        so an instance without a leader goes on within the limits.
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
        """Return a few peers that may know the leader."""
        others = sorted(set(self.contacts_by_id) - {self.instance_id})
        # Neighbours in the order of ids, so that not all ask the same ones.
        later = [name for name in others if name > self.instance_id]
        chosen = [*later, *others][:CONTACTS]
        contacts = {name: self.contacts_by_id[name] for name in chosen}
        seeds = [seed for seed in self.seeds if seed != self.address]
        contacts.update({f'{_SEED}{seed}': seed for seed in seeds})
        return contacts

    def _ensure(
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

    def _replace_silent(self, instance_id: str, now: float) -> list[Action]:
        link = self.links_by_id[instance_id]
        unanswered = link.sent - max(link.acked, link.opened_sent)
        if unanswered < SILENT_HEARTBEATS:
            return []
        return self._replace(instance_id, now)

    def _replace(self, instance_id: str, now: float) -> list[Action]:
        link = self.links_by_id[instance_id]
        if now - link.opened_at < REPLACE_SECONDS:
            return []
        link.opened_at = now
        link.opened_sent = link.sent
        return [Connect(instance_id, link.address)]

    def _drop_lost(self, now: float) -> list[Action]:
        leaders = {
            leader.instance_id for leader in self.leaders_by_zone.values()
        }
        lost = [
            instance_id
            for instance_id, link in self.links_by_id.items()
            if now - link.heard_at >= LOST_SECONDS
        ]
        actions: list[Action] = []
        for silent_id in lost:
            # A leader stays until another one is known.
            if silent_id not in leaders:
                link = self.links_by_id.pop(silent_id)
                self._members_version += link.is_member
                actions.append(Disconnect(silent_id))
        return actions

    def _is_due(self, instance_id: str, now: float) -> bool:
        """Return whether a partner gets a heartbeat now."""
        if self.own.leader or instance_id != self.substitute_id():
            return True
        if not self.hears_leader(now):
            return True
        link = self.links_by_id[instance_id]
        last = link.sent_at.get(link.sent, _NEVER_SENT)
        # Ticks come each second, a little early or late.
        return now - last > STANDBY_SECONDS - _HALF_TICK

    def _is_crowded(self, instance_id: str) -> bool:
        is_known = instance_id in self.links_by_id
        limited = not self.own.leader and not is_known
        return limited and len(self.links_by_id) >= STRANGERS

    def _heartbeat(self, instance_id: str, now: float) -> Send:
        link = self.links_by_id[instance_id]
        link.note_sent(now)
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
            sequence=link.heard,
            generation=own.generation,
            leader=own.leader and leader.instance_id == self.instance_id,
            fencing=leader.fencing,
            address=self.address,
            addresses_by_id=self._members_for(link),
            zone=self.zone,
            configuration_age=own.configuration_age,
            leader_id=leader.instance_id,
            leader_address=leader.address,
            leaders_by_zone=self._leaders_for(link),
        )

    def _leaders_for(self, link: Link) -> dict[str, tuple[str, str, int]]:
        """Return the other zones' leaders when they changed."""
        if not self.own.leader or not link.is_member:
            return {}
        leaders = {
            zone: (leader.instance_id, leader.address, leader.fencing)
            for zone, leader in self.leaders_by_zone.items()
            if zone != self.zone
        }
        told = link.leaders_told == leaders
        if told and link.answers % MEMBERS_EVERY:
            return {}
        link.leaders_told = leaders
        return leaders

    def _members_for(self, link: Link) -> dict[str, str]:
        """Return the members when they changed or were not told for long."""
        if not self.own.leader or not link.is_member:
            return {}
        link.answers += 1
        told = link.members_told == self._members_version
        if told and link.answers % MEMBERS_EVERY:
            return {}
        link.members_told = self._members_version
        return dict(_staying(self.links_by_id.items()))


def _staying(links: Iterable[tuple[str, Link]]) -> Iterable[tuple[str, str]]:
    for instance_id, link in links:
        if link.is_member and not link.leaving:
            yield instance_id, link.address
