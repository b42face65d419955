"""Actions that the zone controller returns for its task to carry out."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from cowsliprack.protocol.peer import (
    ColdStartRefusal,
    DemandReport,
    ReplicaView,
)
from cowsliprack.protocol.target import Order


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order after checking the lease again.

    :param url: base URL of the target.
    """

    order: Order
    url: str
    checks_fencing: bool


@dataclass(frozen=True, slots=True)
class WriteIntent:
    """Write an intent to the journal before its order is sent."""

    order: Order


@dataclass(frozen=True, slots=True)
class ClearIntent:
    """Remove the intent of an order whose outcome is known."""

    order_id: str


@dataclass(frozen=True, slots=True)
class SendRefusal:
    """Notify senders of demand that a deployment cannot be loaded in time.

    A ``deadline_unreachable`` refusal only concerns requests whose deadline
    lies before ``retry_after``; the load continues for the others.

    :param receivers: instances of this zone and leaders of other zones.
    """

    refusal: ColdStartRefusal
    receivers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ForwardDemand:
    """Forward demand to the leader of a zone that may load the deployment."""

    zone: str
    report: DemandReport


@dataclass(frozen=True, slots=True)
class PublishView:
    """Broadcast the view to the instances of the zone and other leaders."""

    view: ReplicaView


@dataclass(frozen=True, slots=True)
class ReviseAllowances:
    """Read an allowance shard, revise it and write it conditionally."""

    shard: int


@dataclass(frozen=True, slots=True)
class ObserveFencing:
    """Report a fencing number higher than this leader's to the lease."""

    fencing: int


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Log a decision with its reason and inputs."""

    decision: str
    choice: object
    reason: str
    inputs: Mapping[str, object] = field(default_factory=dict)


ZoneAction = (
    SendOrder
    | WriteIntent
    | ClearIntent
    | SendRefusal
    | ForwardDemand
    | PublishView
    | ReviseAllowances
    | ObserveFencing
    | LogDecision
)
