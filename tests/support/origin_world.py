"""Instances that exchange the origins of streams over links that can be cut."""

import dataclasses
import itertools

from cowsliprack.coordination.stream_origins import origin_key
from cowsliprack.protocol.gateway_messages import (
    LeaderView,
    OriginAnswer,
    OriginQuestion,
    PeerView,
    StreamsBegun,
)
from cowsliprack.protocol.peer import decode_message, encode_message
from cowsliprack.state.routing_table import RoutingTable
from cowsliprack.state.stream_origin import StreamOrigin
from cowsliprack.state.target_registry import TargetRegistry
from cowsliprack.transport.origin_exchange import OriginExchange
from cowsliprack.transport.origin_recorder import OriginRecorder
from tests.support.gateway_cluster import HOST
from tests.support.object_store import InMemoryStore
from tests.support.routed import TABLE, target_record

SERVICE = 's'
OTHER_SERVICE = 'other'
_LEADER = 'a-1'


class OriginWorld:
    """Instances of zones a, b and c that see the same list of targets.

    :param names: ids of the instances; the first letter is the zone.
    """

    def __init__(self, names):
        self.now = 1000.0
        self.table = _table((SERVICE,))
        self.cut_zones = set()
        self.isolated = set()
        self.leader = _LEADER
        self.store = InMemoryStore()
        # Instances of the region, if they are more than the simulated ones.
        self.instance_count = 0
        # As of the last call of ``copy_store``.
        self.copy = {}
        self.sent = 0
        # Links, as sender and receiver, whose messages wait.
        self.late_links = set()
        self._late_messages = []
        self.exchanges = {}
        self.versions = []
        self._boots = {}
        self._numbers = itertools.count(1)
        for name in names:
            self._create(name)
            # No process of the system ran before.
            self.exchanges[name].inherit(('', {}))

    def _create(self, name):
        def deliver(receiver, _address, message):
            self._deliver(name, receiver, message)

        self._boots[name] = str(next(self._numbers))
        self.exchanges[name] = OriginExchange(
            name,
            name,
            deliver,
            self._create_recorder(name),
            lambda: self.now,
            is_isolated=lambda: name in self.isolated,
        )
        self.exchanges[name].configuration_changed(self.table)

    def _create_recorder(self, name):
        def send_to_leader(message):
            if self.leader:
                self._deliver(name, self.leader, message)
            return bool(self.leader)

        return OriginRecorder(
            self.store,
            lambda: self.now,
            lambda: name == self.leader,
            send_to_leader,
            lambda: self.exchanges[name].recent(only_own=False),
            lambda key: self.exchanges[name].is_own(key),
            lambda: self.instance_count or len(self.exchanges),
        )

    async def flush(self):
        """Let the members send their streams, and the leader write them."""
        for name, exchange in self.exchanges.items():
            if name != self.leader:
                await exchange.recorder.flush()
        if self.leader:
            await self.exchanges[self.leader].recorder.flush()

    def lead(self, name):
        """Let an instance lead, as all others learn; empty for none."""
        self.leader = name
        if name:
            for exchange in self.exchanges.values():
                exchange.leader_changed()

    def copy_store(self):
        """Copy the content of the store."""
        self.copy = dict(self.store.objects_by_key)

    def restore_store(self):
        """Let the store come back from its copy in a new era."""
        self.store.objects_by_key = dict(self.copy)
        self.store.era += 1

    def run_versions(self, versions):
        """Set the software version of each target."""
        self.versions = versions
        for name, exchange in self.exchanges.items():
            if name not in self.isolated:
                self._show_targets(exchange)

    def _show_targets(self, exchange):
        registry = TargetRegistry()
        records = [
            target_record(f'e{number}', software_version=version)
            for number, version in enumerate(self.versions)
        ]
        records.append(
            target_record('o', service=OTHER_SERVICE, software_version='v1')
        )
        registry.replace(records, next(self._numbers))
        exchange.registry_changed(registry)

    def lead_route_to(self, services):
        """Let the route lead to services, as all instances learn."""
        self.table = _table(services)
        for exchange in self.exchanges.values():
            exchange.configuration_changed(self.table)

    def begin(self, name, attempt, version, service=SERVICE):
        """Send a new stream to a target of a version."""
        key = origin_key('desk', attempt)
        self.exchanges[name].begin(key, StreamOrigin(service, version))

    def pass_on(self, name, attempt):
        """Leave a stream that an instance has sent to another instance."""
        self.exchanges[name].forget(origin_key('desk', attempt))

    async def take_up(self, name, attempt):
        """Return the origin that an instance finds for a stream."""
        key = origin_key('desk', attempt)
        route = self.table.routes_by_host[HOST][0]
        found = await self.exchanges[name].find(key, route)
        return found.origin

    def _leader_view(self, names):
        peers = tuple(
            PeerView(name, name, name[0], self._boots[name])
            for name in sorted(names)
        )
        return LeaderView(
            1,
            1,
            self.leader,
            self.leader,
            peers=peers,
            peers_digest=next(self._numbers),
            version_ages=self.exchanges[self.leader].version_ages(),
        )

    def show_peers(self, name, others):
        """Let the leader tell one instance of some others."""
        view = self._leader_view((name, *others))
        self.exchanges[name].apply_peers(view)

    def share_peers(self, *, to_cut=True):
        """Let the leader tell the instances of each other."""
        view = self._leader_view(self.exchanges)
        for name, exchange in self.exchanges.items():
            if to_cut or name[0] not in self.cut_zones:
                exchange.apply_peers(view)

    def kill(self, name):
        """End an instance; the others still take it for a peer."""
        self.exchanges.pop(name)

    def restart(self, name):
        """Replace an instance by a process that knows only the targets."""
        self._create(name)
        self._show_targets(self.exchanges[name])

    def restart_all(self):
        """Replace all instances; each reads the lease that the leader left."""
        ages = self.exchanges[self.leader].version_ages()
        for name in list(self.exchanges):
            self.restart(name)
            self.exchanges[name].inherit(('write', ages))

    def deliver_late(self):
        """Deliver the messages that wait."""
        self.late_links = set()
        for message in self._late_messages:
            self._deliver(*message)
        self._late_messages.clear()

    def _deliver(self, sender, receiver, message):
        if (sender, receiver) in self.late_links:
            self._late_messages.append((sender, receiver, message))
            return
        self.sent += 1
        if self._is_cut(sender, receiver) or receiver not in self.exchanges:
            return
        exchange = self.exchanges[receiver]
        match decode_message(encode_message(message)):
            case StreamsBegun() as begun:
                exchange.apply_begun(begun)
            case OriginQuestion() as question:
                exchange.answer(question)
            case OriginAnswer() as answer:
                exchange.apply_answer(answer)

    def _is_cut(self, sender, receiver):
        return sender[0] != receiver[0] and bool(
            {sender[0], receiver[0]} & self.cut_zones
        )


def _table(services):
    route = dataclasses.replace(
        TABLE.find_route(HOST, '/chat/x'),
        services=tuple((service, 1) for service in services),
    )
    return RoutingTable(routes_by_host={HOST: (route,)})
