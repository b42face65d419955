"""State of the connections to peers and the actions of membership on them."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from cowsliprack.protocol.peer import UNKNOWN_AGE_SECONDS, AnyPeerMessage

# Heartbeats per link whose time of sending is kept.
MAX_SENT_TIMES = 16


@dataclass(frozen=True, slots=True)
class Connect:
    """Open or replace the connection to a peer."""

    instance_id: str
    address: str


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the connection to a peer."""

    instance_id: str


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a connected peer."""

    instance_id: str
    message: AnyPeerMessage


Action = Connect | Disconnect | Send


@dataclass(frozen=True, slots=True)
class LeaderInfo:
    """Leader of a zone.

    :param instance_id: empty when the lease was released.
    """

    instance_id: str = ''
    address: str = ''
    fencing: int = 0


@dataclass(frozen=True, slots=True)
class OwnState:
    """State that this instance reports in heartbeats.

    :param configuration_age: seconds, as in ``HeartbeatAck``.
    """

    generation: int = 0
    configuration_age: float = UNKNOWN_AGE_SECONDS
    leader: bool = False
    fencing: int = 0
    leaving: bool = False
    credit_by_organisation: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Link:
    """Connection to one peer and the heartbeats exchanged over it.

    :param sent: sequence number of the last heartbeat to it.
    :param acked: highest sequence number that it acknowledged.
    :param acked_at: time of its last acknowledgement.
    :param sent_before_open: ``sent`` when the connection was last replaced.
    :param sent_at: times of the last heartbeats by sequence number.
    :param received: sequence number of its last heartbeat.
    :param received_at: time of its last message; initially that of opening.
    :param ack_count: acknowledgements sent to it while leading its zone.
    :param announced_leaders: leaders of other zones as last sent to it.
    :param announced_members_version: of the list of members last sent to it.
    """

    address: str
    opened_at: float
    received_at: float
    zone: str = ''
    sent: int = 0
    acked: int = 0
    acked_at: float = float('-inf')
    sent_before_open: int = 0
    received: int = 0
    ack_count: int = 0
    announced_leaders: Mapping[str, tuple[str, str, int]] | None = None
    announced_members_version: int = -1
    is_member: bool = False
    leaving: bool = False
    sent_at: dict[int, float] = field(default_factory=dict)

    def record_sent(self, now: float) -> None:
        """Assign the next sequence number to a heartbeat.

        :param now: time of sending, seconds.
        """
        self.sent += 1
        self.sent_at[self.sent] = now
        self.sent_at.pop(self.sent - MAX_SENT_TIMES, None)
