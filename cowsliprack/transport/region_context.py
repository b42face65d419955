"""Components that the region tasks share with their instance."""

from collections.abc import Callable
from dataclasses import dataclass, field

import httpx

from cowsliprack.coordination.fleet_view import FleetView
from cowsliprack.coordination.freshness import Freshness
from cowsliprack.coordination.target_selector import TargetSelector
from cowsliprack.coordination.token_credit import TokenCredit
from cowsliprack.coordination.waiting_requests import WaitingRequests
from cowsliprack.protocol.dialect import HeaderPairs, TargetNotice
from cowsliprack.protocol.engine import EngineControl
from cowsliprack.protocol.gateway_messages import LeaderView
from cowsliprack.protocol.message_level import new_process_id
from cowsliprack.protocol.store import ObjectStore
from cowsliprack.state.routing_table import RoutingTable
from cowsliprack.transport.peer_sockets import PeerSockets
from cowsliprack.transport.poison_watch import PoisonWatch
from cowsliprack.transport.running_time import RunningTime


@dataclass(slots=True)
class RegionContext:
    """Components that the region tasks share with their instance.

    :param address: address at which other instances reach this one.
    :param first_start: whether no process of the system ran before.
    :param cores: number of CPU cores that the instance may use.
    :param link_megabits: bandwidth of the instance's link a second.
    :param max_relay_age_seconds: age up to which state relayed by the leader
        replaces a reading of the store.
    :param client: HTTP client for targets.
    :param running_time: extends timeouts while the event loop is late.
    :param poison: counts crashes against requests and prompt parts.
    :param table: returns the active routing table.
    :param configuration_copy: returns the active configuration as stored.
    :param apply_configuration_copy: applies such a copy from the leader.
    :param apply_relayed_targets: applies the leader's list of targets; returns
        whether to report at once.
    :param read_notice: returns what a target's response (status, headers) says
        of the target.
    :param clock: seconds; must keep running during suspension.
    :param boot: random id of this run of the process.
    """

    instance_id: str
    zone: str
    region: str
    address: str
    lease_seconds: float
    first_start: bool
    cores: float
    link_megabits: float
    max_relay_age_seconds: float
    store: ObjectStore
    engines: EngineControl
    client: httpx.AsyncClient
    running_time: RunningTime
    sockets: PeerSockets
    fleet: FleetView
    target_selector: TargetSelector
    waiting_requests: WaitingRequests
    credit: TokenCredit
    freshness: Freshness
    poison: PoisonWatch
    table: Callable[[], RoutingTable]
    configuration_copy: Callable[[], bytes]
    apply_configuration_copy: Callable[[bytes], None]
    apply_relayed_targets: Callable[[LeaderView], bool]
    read_notice: Callable[[int, HeaderPairs], TargetNotice]
    clock: Callable[[], float]
    boot: str = field(default_factory=new_process_id)
