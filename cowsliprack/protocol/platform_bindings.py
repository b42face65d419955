"""Implementation of one platform's protocols, as the gateway uses it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from cowsliprack.protocol.dialect import Dialect
from cowsliprack.protocol.engine import EngineControl
from cowsliprack.protocol.store import ObjectStore
from cowsliprack.state.routing_table import RoutingTable
from cowsliprack.state.target_registry import TargetRecord


@dataclass(frozen=True, slots=True)
class PlatformBindings:
    """Clients, decoders and settings for the protocols of one platform.

    :param dialect: of the headers of callers and targets.
    :param store: client of the platform's store.
    :param engines: client for engine orders.
    :param decode_table: decodes a stored configuration.
    :param decode_target: decodes a stored target; ``None`` if the object does
        not belong to the gateway.
    :param configuration_kind: kind of the stored configurations.
    :param configuration_name: name of the configuration in force.
    :param targets_kind: kind of the stored targets.
    :param configuration_watch_seconds: longest wait of one watch request. Each
        response confirms that the configuration in force is the latest.
    :param targets_watch_seconds: longest wait of one watch request.
    :param evacuations_kind: kind of the objects named by evacuated zones; empty
        where zones are never evacuated.
    :param evacuations_watch_seconds: longest wait of one watch request.
    :param ready_path: path of the load balancer's readiness check.
    :param read_fleet_secret: reads the secret that instances share.
    :param restore_fleet_secret: writes it again if the store has lost it.
    """

    dialect: Dialect
    store: Any
    engines: EngineControl
    decode_table: Callable[[Any], RoutingTable]
    decode_target: Callable[[str, Any], TargetRecord | None]
    configuration_kind: str
    configuration_name: str
    targets_kind: str
    configuration_watch_seconds: float
    targets_watch_seconds: float
    evacuations_kind: str
    evacuations_watch_seconds: float
    ready_path: str
    read_fleet_secret: Callable[[ObjectStore, bool], Awaitable[str]]
    restore_fleet_secret: Callable[[ObjectStore, str], Awaitable[None]]
