"""Simulated instances, network and platform store on a virtual clock."""

import random
from collections import Counter

from cowsliprack.coordination.distribution import ConfigurationRelay
from cowsliprack.coordination.links import (
    Connect,
    Disconnect,
    LeaderInfo,
    OwnState,
)
from cowsliprack.coordination.membership import Membership
from cowsliprack.protocol import peer
from cowsliprack.protocol.configuration_codec import encode_configuration
from cowsliprack.state.configuration import (
    Configuration,
    Deployment,
    Organisation,
)

STEP_SECONDS = 0.1


def configuration(generation, adapters=0):
    """Return a configuration whose content depends on its generation.

    Each generation changes an entry, adds one and removes one.
    """
    deployments = {
        f'adapter-{number}': Deployment(
            f'adapter-{number}', 'tulip', '1', 1, 10, 'assist'
        )
        for number in range(adapters)
    }
    return Configuration(
        generation=generation,
        organisations_by_id={
            'acme': Organisation('acme', float(generation), 10.0),
            f'only-{generation}': Organisation('x', 1.0, 1.0),
        },
        deployments_by_name=deployments,
    )


class PlatformStore:
    """Platform store with the manifest and shards of every generation."""

    def __init__(self, adapters=0):
        self.adapters = adapters
        self.generations = []
        self.change()

    def change(self):
        generation = len(self.generations) + 1
        changed = configuration(generation, self.adapters)
        self.generations.append(encode_configuration(changed))

    def manifest(self, lag=0):
        index = max(0, len(self.generations) - 1 - lag)
        return self.generations[index].manifest

    def shard(self, number, digest):
        for encoded in self.generations:
            if encoded.manifest.digests.get(number) == digest:
                return encoded.shards[number]
        return None


class Node:
    """One instance with its membership, relay and connections.

    ``store_lag`` is the number of generations by which its reads of the store
    are late.
    """

    def __init__(self, world, name, seeds):
        self.world = world
        self.name = name
        self.zone = name[0]
        self.address = f'{name}:{world.next_port()}'
        self.membership = Membership(name, self.zone, self.address, seeds)
        self.relay = ConfigurationRelay(world.rng, world.now)
        self.connections_by_peer = {}
        self.fencing = None
        self.reaches_store = True
        self.store_lag = 0
        self.next_tick_at = 0
        self.highest_generation = 0

    def own_state(self):
        return OwnState(
            generation=self.relay.generation,
            configuration_age=self.relay.isolated_for(self.world.now),
            leader=self.fencing is not None,
            fencing=self.fencing or 0,
        )

    def run_step(self):
        now = self.world.now
        if now >= self.next_tick_at:
            self.next_tick_at = now + 1
            if self.reaches_store:
                self.read_store()
            self.perform(self.membership.tick(self.own_state(), now))
        for pull in self.relay.tick(now):
            self.send(pull.instance_id, pull.message)

    def read_store(self):
        now = self.world.now
        leading = self.fencing is not None
        if leading or not self.membership.hears_leader(now):
            for zone, leader in self.world.leases.items():
                if leading or zone == self.zone:
                    self.membership.on_leader(zone, leader)
        if leading or self.relay.isolated_for(now) > 3:
            manifest = self.world.store.manifest(self.store_lag)
            self.on_installed(self.relay.on_manifest(manifest, now))
            for number, digest in self.relay.missing_shards().items():
                body = self.world.store.shard(number, digest)
                self.on_installed(self.relay.on_shard(number, body))

    def on_installed(self, changed):
        if changed:
            self.perform(
                self.membership.announce(self.own_state(), self.world.now)
            )

    def perform(self, actions):
        for action in actions:
            if isinstance(action, Connect):
                self.world.connection_count += 1
                connection_id = (self.name, self.world.connection_count)
                self.connections_by_peer[action.instance_id] = (
                    action.address,
                    connection_id,
                )
                self.world.connects_by_pair[self.name, action.instance_id] += 1
            elif isinstance(action, Disconnect):
                self.connections_by_peer.pop(action.instance_id, None)
            else:
                self.send(action.instance_id, action.message)

    def send(self, instance_id, message):
        if instance_id in self.connections_by_peer:
            address, connection_id = self.connections_by_peer[instance_id]
            self.world.transmit(self, address, connection_id, message)

    def receive(self, sender, message):
        now = self.world.now
        if isinstance(message, peer.ConfigurationPull):
            for answer in self.relay.on_pull(message):
                self.send(sender, answer)
        elif isinstance(message, peer.ConfigurationShards):
            self.on_installed(self.relay.on_shards(message, now))
        else:
            is_ack = isinstance(message, peer.HeartbeatAck)
            process = (
                self.membership.on_ack
                if is_ack
                else self.membership.on_heartbeat
            )
            self.perform(process(message, now))
            sent_at = is_ack and self.membership.heartbeat_sent_at(message)
            confirmed_at = None
            if sent_at:
                confirmed_at = sent_at - message.configuration_age
            self.relay.on_announcement(
                sender, message.generation, now, confirmed_at
            )


class World:
    """All nodes and the network between them.

    Frames between ``blocked_pairs`` of names and on ``dead_connections`` are
    dropped; ``loss_rate`` is the part of the others that is lost.
    """

    def __init__(self, names, adapters=0, seed=1):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.ports = 0
        self.connection_count = 0
        self.connects_by_pair = Counter()
        self.store = PlatformStore(adapters)
        self.leases = {}
        self.blocked_pairs = set()
        self.dead_connections = set()
        self.loss_rate = 0.0
        self.frames_in_transit = []
        self.bytes_by_sender = Counter()
        self.messages_by_sender = Counter()
        self.largest_frame = 0
        self.nodes = {}
        for name in names:
            self.start(name)
        for zone in sorted({name[0] for name in names}):
            self.elect(f'{zone}1')

    def next_port(self):
        self.ports += 1
        return self.ports

    def start(self, name, seeds=()):
        self.nodes[name] = Node(self, name, seeds)
        return self.nodes[name]

    def kill(self, name):
        self.nodes.pop(name)

    def elect(self, name):
        """Make an instance the leader of its zone."""
        zone = name[0]
        for node in self.nodes.values():
            if node.zone == zone:
                node.fencing = None
        fencing = self.leases.get(zone, LeaderInfo()).fencing + 1
        node = self.nodes[name]
        node.fencing = fencing
        self.leases[zone] = LeaderInfo(name, node.address, fencing)

    def isolate(self, names, from_names):
        for first in names:
            for second in from_names:
                if first != second:
                    self.blocked_pairs |= {(first, second), (second, first)}

    def transmit(self, node, address, connection_id, message):
        frame = peer.encode_message(message)
        self.bytes_by_sender[node.name] += len(frame)
        self.messages_by_sender[node.name] += 1
        self.largest_frame = max(self.largest_frame, len(frame))
        self.frames_in_transit.append(
            (node.name, address, connection_id, frame)
        )

    def run(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            frames, self.frames_in_transit = self.frames_in_transit, []
            for frame in frames:
                self.deliver(*frame)
            for node in list(self.nodes.values()):
                node.run_step()
                self.check_generation(node)

    def deliver(self, sender, address, connection_id, frame):
        receiver = self.nodes.get(address.split(':')[0])
        is_lost = (
            self.rng.random() < self.loss_rate
            or connection_id in self.dead_connections
        )
        if receiver is None or receiver.address != address or is_lost:
            return
        if (sender, receiver.name) not in self.blocked_pairs:
            receiver.receive(sender, peer.decode_message(frame))

    def check_generation(self, node):
        """Fail if a node reverted a generation or mixed two."""
        generation = node.relay.generation
        assert generation >= node.highest_generation, (node.name, generation)
        if generation == node.highest_generation:
            return
        node.highest_generation = generation
        actual = node.relay.configuration
        assert actual == configuration(generation, self.store.adapters)

    def generations(self):
        return {
            name: node.relay.generation for name, node in self.nodes.items()
        }
