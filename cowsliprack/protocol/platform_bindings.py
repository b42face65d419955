"""What speaks the protocols of one platform, as the gateway uses it."""

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
    """What speaks the platform's protocols.

    :param decode_table: configuration in a stored object.
    :param decode_target: target in a stored object, ``None`` if it is foreign.
    :param configuration_kind: of the objects with configurations.
    :param configuration_name: of the object in force.
    :param targets_kind: of the objects with targets.
    :param configuration_watch_seconds: seconds after which a watch must come back, so
        that the configuration in force is known to be the latest.
    :param ready_path: that the balancer asks for.
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
    ready_path: str
    read_fleet_secret: Callable[[ObjectStore], Awaitable[str]]
