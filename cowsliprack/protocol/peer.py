"""Messages between instances, encoded as msgpack and tagged by type."""

import msgspec

from cowsliprack.protocol.gateway_messages import GatewayMessage
from cowsliprack.protocol.peer_message import PeerMessage

# Age that is sent when the real one is unknown.
UNKNOWN_AGE_SECONDS = 1e9


class Heartbeat(PeerMessage, frozen=True):
    """Message sent every second to show that the connection is alive.

    :param generation: generation of the sender's configuration.
    :param leader: whether the sender is the leader of its zone.
    :param leaving: whether the sender is shutting down.
    :param fencing: fencing number of the leader's lease; 0 from other
        instances.
    :param acked: last sequence number of the sender that the receiver
        acknowledged.
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
    """Acknowledgement of the heartbeat with the same sequence number.

    :param addresses_by_id: members of the zone. Only the leader sends them,
        and only in some acknowledgements, since the list grows with the zone.
    :param address: address of the sender.
    :param configuration_age: seconds since the platform store or a peer
        confirmed that the sender's generation is the latest.
    :param leader_id: id of the zone's leader, if the sender knows it.
    :param leaders_by_zone: id, address and fencing number of the leaders of
        the other zones. Only the leader sends them, after a change.
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
    """Demand for a deployment at one instance.

    :param waiting: number of queued requests.
    :param earliest_deadline: seconds from now.
    :param waited: seconds that the oldest request has waited.
    :param tokens_by_organisation: tokens of the queued requests.
    """

    deployment: str
    waiting: int
    earliest_deadline: float
    waited: float = 0
    served: int = 0
    priority: int = 0
    tokens_by_organisation: dict[str, float] = {}


class ReplicaInfo(PeerMessage, frozen=True):
    """State of a replica in a ``ReplicaView``.

    :param ready_in: estimated seconds until the load completes.
    """

    deployment: str
    target_id: str
    state: str
    ready_in: float = 0


class TargetInfo(PeerMessage, frozen=True):
    """State of a target in a ``ReplicaView``.

    :param running: number of running requests.
    :param age: seconds since the target measured the values.
    :param boot_id: changes when the target restarts.
    """

    target_id: str
    zone: str
    state: str
    running: int
    age: float = 0
    boot_id: str = ''
    prefix_digests: tuple[str, ...] = ()


class ReplicaView(PeerMessage, frozen=True):
    """Targets and replicas of one zone, as known to its leader.

    :param fencing: fencing number of the leader; views with a lower number
        than a previous one are ignored.
    :param full: whether the view replaces the whole previous view of the zone
        rather than only the targets that it contains.
    """

    zone: str
    fencing: int
    sequence: int
    full: bool
    targets: tuple[TargetInfo, ...] = ()
    replicas: tuple[ReplicaInfo, ...] = ()


class ColdStartRefusal(PeerMessage, frozen=True):
    """Notice that a deployment cannot be loaded in time.

    :param kind: value of ``ErrorKind``.
    :param retry_after: seconds until a retry is useful.
    """

    deployment: str
    kind: str
    reason: str
    retry_after: float


class CreditRequest(PeerMessage, frozen=True):
    """Request to the ledger's instance for tokens, sent before they run out.

    :param request_id: unique across restarts of the instance. A retry has the
        same id, so that the ledger answers with the same grant.
    :param needed: tokens without which a queued request cannot start.
    :param wanted: total number of tokens requested.
    :param unspent_by_grant: tokens of earlier grants that are not reserved.
    """

    request_id: str
    organisation: str
    needed: float
    wanted: float
    unspent_by_grant: dict[str, float] = {}


class CreditGrant(PeerMessage, frozen=True):
    """Tokens that an instance may spend until the grant expires.

    :param lifetime: seconds; the receiver counts them from its request.
    :param retry_after: seconds until the needed tokens may be available.
    :param rate: expected tokens per second for this instance.
    :param zone: zone of the ledger; fencing numbers are only comparable
        within one zone.
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
    """Return of unspent tokens of a grant.

    Both numbers are totals, so that a message may be lost or repeated.

    :param request_id: id of the request for the grant.
    :param tokens: total tokens of this grant returned so far.
    :param unspent: tokens of this grant that may still be reserved.
    """

    request_id: str
    organisation: str
    tokens: float
    unspent: float = 0


class LoanRequest(PeerMessage, frozen=True):
    """Request to the leader of another zone for a part of its share.

    :param loan_id: id of the loan; a retry has the same id.
    :param resource: ``rate:{organisation}``, ``loads``, ``slots`` or
        ``adapters``.
    :param burst: burst of a ``rate`` loan, tokens.
    :param renews: id of the loan that this one replaces with the same amount.
    """

    loan_id: str
    resource: str
    zone: str
    amount: float
    burst: float = 0
    renews: str = ''


class LoanGrant(PeerMessage, frozen=True):
    """A part of a zone's share, lent until the loan expires.

    :param lifetime: seconds; the borrower counts them from its request.
    :param burst: burst of a ``rate`` loan, tokens.
    """

    loan_id: str
    resource: str
    amount: float
    lifetime: float
    burst: float = 0


class ConfigurationPull(PeerMessage, frozen=True):
    """Request to a peer for a newer generation of the configuration.

    :param generation: generation of the requester.
    :param digests: digest of each shard of the requester, by shard number.
    """

    generation: int
    digests: dict[int, str] = {}


class ConfigurationShards(PeerMessage, frozen=True):
    """Manifest and the shards with a different digest.

    :param manifest: body of the manifest object.
    :param shards: bodies of the shards, by shard number.
    :param base: 0 for complete content. Otherwise the message contains only
        the changes since this generation: the digests of changed shards (empty
        for a removed shard) and the changed entries of each (null for a
        removed entry).
    """

    generation: int
    manifest: dict[str, object]
    shards: dict[int, dict[str, object]] = {}
    base: int = 0


class PoisonNotice(PeerMessage, frozen=True):
    """Notice that a request was in flight on a target when it crashed.

    :param digest: digest of the request.
    :param crash_id: identifies the crash, so that it is counted once.
    :param lifetime: seconds until the crash no longer counts.
    :param recently_answered: whether the sender knows of an answer to the
        request or part shortly before the crash.
    """

    digest: str
    crash_id: str
    target_id: str
    lifetime: float
    recently_answered: bool = False


class SoundNotice(PeerMessage, frozen=True):
    """Notice that a target has answered a request to its end.

    :param digest: digest of the request or of a part of its prompt.
    :param crash_ids: crashes that the answer disproves; ``None`` in notices of
        earlier builds, which mean all crashes.
    """

    digest: str
    crash_ids: tuple[str, ...] | None = None


class TrialNotice(PeerMessage, frozen=True):
    """Notice that one request is sent although it would be refused.

    :param digest: digest of the request or of a part of its prompt.
    """

    digest: str


AnyPoisonNotice = PoisonNotice | SoundNotice | TrialNotice


class PoisonNotices(PeerMessage, frozen=True):
    """Notices that a member and the leader of a region exchange.

    Each side numbers its notices from 0 in each term.

    :param instance_id: id of the sender.
    :param boot: process of the member, so that a restart begins anew.
    :param fencing: fencing number of the leader's lease.
    :param first: number of the first notice.
    :param oldest: number of the oldest notice that the sender still has.
    :param received: number of notices that the sender has received.
    """

    instance_id: str
    boot: str
    fencing: int
    first: int = 0
    oldest: int = 0
    received: int = 0
    notices: tuple[AnyPoisonNotice, ...] = ()


class TargetLeaving(PeerMessage, frozen=True):
    """Notice that a target must not receive new requests."""

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
    | PoisonNotices
    | TargetLeaving
    | GatewayMessage
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AnyPeerMessage)


def encode_message(message: AnyPeerMessage) -> bytes:
    """Encode a message as msgpack."""
    return _ENCODER.encode(message)


def decode_message(frame: bytes) -> AnyPeerMessage:
    """Decode the message in a frame.

    :param frame: msgpack.
    :raises msgspec.ValidationError: when the frame is not a known message.
    """
    return _DECODER.decode(frame)
