"""Messages between instances, msgpack-encoded and tagged by type."""

import msgspec

from cowsliprack.protocol.gateway_messages import GatewayMessage
from cowsliprack.protocol.peer_message import PeerMessage

# Seconds; stands for an age that is not known.
UNKNOWN_AGE_SECONDS = 1e9


class Heartbeat(PeerMessage, frozen=True):
    """Sent each second; shows that the connection is alive.

    :param fencing: of a leader's lease, 0 from others.
    :param acked: last own sequence number that the receiver acknowledged.
    """

    instance_id: str
    zone: str
    address: str
    sequence: int
    generation: int
    leader: bool = False
    leaving: bool = False
    fencing: int = 0
    credit_by_organisation: dict[str, float] = {}
    acked: int = 0


class HeartbeatAck(PeerMessage, frozen=True):
    """Answers a heartbeat with the same sequence number.

    :param addresses_by_id: members of the zone, from the leader only and only
        in some answers, since the list grows with the zone.
    :param configuration_age: seconds since the sender knew, from the platform
        store or through peers, that its generation is the latest.
    :param address: of the sender.
    :param leader_id: of the zone, as far as the sender knows.
    :param leaders_by_zone: id, address and fencing number of the leaders of
        the other zones, from the leader only and when they changed.
    """

    instance_id: str
    sequence: int
    generation: int
    leader: bool = False
    fencing: int = 0
    addresses_by_id: dict[str, str] = {}
    zone: str = ''
    address: str = ''
    configuration_age: float = UNKNOWN_AGE_SECONDS
    leader_id: str = ''
    leader_address: str = ''
    leaders_by_zone: dict[str, tuple[str, str, int]] = {}


class DemandReport(PeerMessage, frozen=True):
    """Demand of one instance for a deployment.

    :param earliest_deadline: seconds from now.
    :param waited: seconds that the oldest request has waited.
    :param tokens_by_organisation: tokens waiting.
    """

    deployment: str
    waiting: int
    earliest_deadline: float
    waited: float = 0
    served: int = 0
    priority: int = 0
    tokens_by_organisation: dict[str, float] = {}


class ReplicaInfo(PeerMessage, frozen=True):
    """A replica within a view.

    :param ready_in: estimated seconds until a load ends.
    """

    deployment: str
    target_id: str
    state: str
    ready_in: float = 0


class TargetInfo(PeerMessage, frozen=True):
    """A target within a view.

    :param age: seconds since the target took the figures.
    """

    target_id: str
    zone: str
    state: str
    running: int
    age: float = 0
    boot_id: str = ''
    prefix_digests: tuple[str, ...] = ()


class ReplicaView(PeerMessage, frozen=True):
    """Targets and replicas of one zone, as its leader knows them.

    :param fencing: views of an older leader are ignored.
    :param full: replaces all that was known of the zone; otherwise only the
        named targets are replaced.
    """

    zone: str
    fencing: int
    sequence: int
    full: bool
    targets: tuple[TargetInfo, ...] = ()
    replicas: tuple[ReplicaInfo, ...] = ()


class ColdStartRefusal(PeerMessage, frozen=True):
    """A deployment cannot be loaded in time.

    :param kind: value of ``ErrorKind``.
    :param retry_after: seconds.
    """

    deployment: str
    kind: str
    reason: str
    retry_after: float


class CreditRequest(PeerMessage, frozen=True):
    """Asks the ledger holder for tokens ahead of need.

    :param request_id: unique over restarts of the instance; repeated when
        the answer is late, so that the ledger answers with the same grant.
    :param needed: tokens without which a waiting request cannot start.
    :param wanted: tokens in all.
    :param unspent_by_grant: tokens not yet reserved of earlier grants.
    """

    request_id: str
    organisation: str
    needed: float
    wanted: float
    unspent_by_grant: dict[str, float] = {}


class CreditGrant(PeerMessage, frozen=True):
    """Tokens that an instance may spend until the grant expires.

    :param lifetime: seconds, counted by the receiver from when it asked.
    :param retry_after: seconds until what was needed may be granted.
    :param rate: tokens a second that this instance may expect.
    :param zone: whose ledger granted it; fencing numbers compare within it.
    """

    request_id: str
    organisation: str
    tokens: float
    lifetime: float
    retry_after: float = 0
    fencing: int = 0
    rate: float = 0
    zone: str = ''


class CreditReturn(PeerMessage, frozen=True):
    """Gives back tokens of a grant that were not spent.

    Both figures are totals, so a lost or repeated message does no harm.

    :param tokens: all that was given back of this grant so far.
    :param unspent: tokens of this grant that may still be reserved.
    """

    request_id: str
    organisation: str
    tokens: float
    unspent: float = 0


class LoanRequest(PeerMessage, frozen=True):
    """Asks another zone's leader for a part of its share.

    :param loan_id: repeated when the answer is late.
    :param resource: ``rate:{organisation}``, ``loads``, ``slots`` or
        ``adapters``.
    :param burst: tokens at once, for ``rate``.
    :param renews: id of a loan that this one is to replace unchanged.
    """

    loan_id: str
    resource: str
    zone: str
    amount: float
    burst: float = 0
    renews: str = ''


class LoanGrant(PeerMessage, frozen=True):
    """A part of a share, lent until it expires.

    :param lifetime: seconds, counted by the borrower from when it asked.
    """

    loan_id: str
    resource: str
    amount: float
    lifetime: float
    burst: float = 0


class ConfigurationPull(PeerMessage, frozen=True):
    """Asks a peer for what is newer than the generation held.

    :param digests: digest of each shard held, by shard number.
    """

    generation: int
    digests: dict[int, str] = {}


class ConfigurationShards(PeerMessage, frozen=True):
    """Manifest and the shards whose digest differs.

    :param manifest: body of the manifest object.
    :param shards: bodies by shard number.
    :param base: 0 when complete. Otherwise only what changed since this
        generation is there: digests of changed shards (empty for a removed
        one), and of each shard the changed entries (null for a removed one).
    """

    generation: int
    manifest: dict[str, object]
    shards: dict[int, dict[str, object]] = {}
    base: int = 0


class PoisonNotice(PeerMessage, frozen=True):
    """A request was in flight on a target that crashed.

    :param crash_id: identifies the crash, so that it counts once.
    :param lifetime: seconds until the strike expires.
    """

    digest: str
    crash_id: str
    target_id: str
    lifetime: float


class TargetLeaving(PeerMessage, frozen=True):
    """A target gets no new work from now on."""

    target_id: str


AnyPeerMessage = (
    Heartbeat
    | HeartbeatAck
    | DemandReport
    | ReplicaView
    | ColdStartRefusal
    | CreditRequest
    | CreditGrant
    | CreditReturn
    | LoanRequest
    | LoanGrant
    | ConfigurationPull
    | ConfigurationShards
    | PoisonNotice
    | TargetLeaving
    | GatewayMessage
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AnyPeerMessage)


def encode_message(message: AnyPeerMessage) -> bytes:
    """Return a message as msgpack."""
    return _ENCODER.encode(message)


def decode_message(frame: bytes) -> AnyPeerMessage:
    """Return the message in a frame.

    :param frame: msgpack.
    :raises msgspec.ValidationError: when the frame is no known message.
    """
    return _DECODER.decode(frame)
