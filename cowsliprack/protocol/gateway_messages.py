"""Messages between gateway instances and the leader of their region."""

import msgspec

from cowsliprack.protocol.credit_messages import (
    CreditShare,
    CreditUse,
    TokenLoan,
    TokenLoanAsk,
    TokenLoanReturn,
)
from cowsliprack.protocol.overload_messages import (
    ColdShare,
    ColdUse,
    OutcomeCount,
    PaceUse,
    PaceView,
)
from cowsliprack.protocol.peer_message import PeerMessage


class WaitingGroup(msgspec.Struct, frozen=True, array_like=True):
    """Queued requests of one instance for the same model and adapter.

    :param count: number of queued requests.
    :param target_in: seconds until the most urgent request misses its latency
        target; negative when every request has missed it.
    :param patience: seconds until the last request times out.
    :param late: number of requests that have missed their latency target.
    :param waited: seconds that the oldest request has waited.
    :param software_version: version of the engine that must run the requests;
        empty for any.
    """

    service: str
    model: str
    adapter: str
    count: int
    target_in: float
    patience: float
    late: int = 0
    waited: float = 0
    software_version: str = ''


class EngineUse(msgspec.Struct, frozen=True, array_like=True):
    """Requests in flight from one instance to an engine.

    :param running: number of requests in flight.
    :param running_by_name: number by model, and by ``model/adapter``.
    :param silence: seconds for which the engine has not responded; 0 if it
        responds.
    """

    target_id: str
    running: int
    running_by_name: dict[str, int]
    silence: float = 0


class LimitUse(msgspec.Struct, frozen=True, array_like=True):
    """What an instance knows of the limit of a target, and its demand.

    :param rate: requests per second that the target takes from all instances;
        ``None`` if it has said that it has no limit any more.
    :param age: seconds since an answer said so.
    :param wanted: requests per second of this instance that it could run.
    :param share: requests per second that the leader has granted.
    """

    target_id: str
    rate: float | None
    age: float
    wanted: float = 0
    share: float = 0


class LimitShare(msgspec.Struct, frozen=True, array_like=True):
    """Limit of a target and the part of one instance.

    :param rate: see ``LimitUse``.
    :param share: requests per second of the instance.
    :param age: seconds since an answer stated the limit.
    """

    target_id: str
    rate: float | None
    share: float
    age: float


class MemberReport(PeerMessage, frozen=True):
    """State of an instance, sent to its leader; replaces the previous report.

    :param boot: identifies the sender's process, so that a restart is
        detected; see :mod:`.message_level`.
    :param sequence: increases with each report of the process.
    :param stamp: sender's clock when it sent the report; returned in the view.
    :param view_sequence: sequence of the last view that the sender applied.
    :param view_fencing: fencing number of the leader that sent this view.
    :param generation: generation of the sender's configuration.
    :param registry_revision: revision of the sender's target list; -1 for none.
    :param registry_era: era of that revision; -1 if the sender states none.
    :param started_by_model: number of requests for each model since the
        process started.
    :param leaving: whether the instance is shutting down.
    :param limits: limits that targets have named.
    :param peers_digest: digest of the sender's list of instances; 0 for none.
    :param cut_off: whether the sender reaches no target of some service.
    :param credit: its demand by organisation; only for leaders of message level
        3 or higher.
    :param cold: targets that it knows to be cold; only for leaders of message
        level 6 or higher, like the following field.
    :param paces: answers of targets that are not well, or were not lately.
    :param outcomes: late and paused requests since the process started, of
        models with any; ``None`` if they are not stated. Requests begun are in
        ``started_by_model``.
    """

    instance_id: str
    address: str
    zone: str
    boot: str
    sequence: int
    stamp: float
    view_sequence: int
    view_fencing: int
    waiting: tuple[WaitingGroup, ...] = ()
    engines: tuple[EngineUse, ...] = ()
    generation: int = 0
    registry_revision: int = -1
    registry_era: int = -1
    started_by_model: dict[str, int] = {}
    leaving: bool = False
    limits: tuple[LimitUse, ...] = ()
    peers_digest: int = 0
    cut_off: bool = False
    credit: tuple[CreditUse, ...] = ()
    cold: tuple[ColdUse, ...] = ()
    paces: tuple[PaceUse, ...] = ()
    outcomes: tuple[OutcomeCount, ...] | None = None


class EngineView(msgspec.Struct, frozen=True, array_like=True):
    """Models that a leader assigns to an engine.

    :param born: start of the engine's process, milliseconds since the epoch.
    :param adapters_by_model: models that accept requests, with their loaded
        adapters.
    :param running: number of requests in flight from all instances.
    """

    target_id: str
    born: int
    adapters_by_model: dict[str, tuple[str, ...]]
    running: int


class ModelAbsence(msgspec.Struct, frozen=True, array_like=True):
    """A model that lies on no engine, or does so no longer.

    :param loaded_in: seconds until its load from the weight store is expected
        to end; negative if none is under way.
    """

    service: str
    model: str
    is_absent: bool = True
    loaded_in: float = -1


class LoadDue(msgspec.Struct, frozen=True, array_like=True):
    """When a model that lies on no engine can be loaded in its turn.

    :param due_in: seconds until a load that has not begun is expected to end;
        negative if the model needs none any more.
    """

    service: str
    model: str
    due_in: float = -1


class TargetView(msgspec.Struct, frozen=True, array_like=True):
    """A registered target, as the leader read it from the store.

    :param state: ``ready`` or ``draining``.
    :param born: start of the target's process, milliseconds since the epoch.
    :param software_version: version of its software; empty from leaders of
        earlier builds.
    """

    target_id: str
    service: str
    address: str
    zone: str
    slots: int
    state: str
    born: int
    software_version: str = ''


class PeerView(msgspec.Struct, frozen=True, array_like=True):
    """An instance that reports to the leader.

    :param address: address at which other instances reach it.
    :param boot: identifies its process; see :mod:`.message_level`.
    """

    instance_id: str
    address: str
    zone: str
    boot: str


class ConfigurationCopy(PeerMessage, frozen=True):
    """The configuration in force, sent to an instance with an older one.

    :param spec: JSON as stored in the platform's store.
    """

    spec: bytes


class CompressedConfiguration(PeerMessage, frozen=True):
    """A ``ConfigurationCopy`` for instances of message level 3 or higher.

    :param packed: its JSON, compressed by zlib.
    """

    packed: bytes


class LeaderView(PeerMessage, frozen=True):
    """State of a leader, sent to one instance.

    :param fencing: fencing number of the leader's lease.
    :param sequence: increases with each view of the leader.
    :param instance_id: id of the leader.
    :param address: address of the leader.
    :param base: sequence of the view that this one updates; 0 when
        ``engines`` is complete.
    :param stamp: ``stamp`` of the report that this view answers; 0 for none.
    :param engines: engines that changed since ``base``.
    :param gone: ids of the engines removed since ``base``.
    :param members: number of instances that reported recently.
    :param generation: generation of the leader's configuration.
    :param proof_offset: seconds from ``stamp`` to the time at which the
        leader's configuration was confirmed as the latest; negative for an
        earlier time, ``None`` without a stamp.
    :param registry_revision: revision of the leader's target list; -1 for none.
    :param registry_era: era of that revision; -1 if the leader states none.
    :param targets: targets added or changed since the member's revision.
    :param targets_gone: ids of the targets removed since then.
    :param targets_complete: whether ``targets`` lists all targets, because the
        member's revision is of another history of the store.
    :param lease_version: version of the lease object that the leader last
        wrote.
    :param lease_left: seconds until the leader stops leading unless it renews
        its lease; 0 when it has stopped.
    :param limits: limits of targets and the member's shares of them.
    :param peers: instances of the region, ordered by id; empty if the member
        has this list.
    :param peers_digest: digest of that list; 0 from earlier builds.
    :param version_ages: by service and software version, the seconds since a
        target has run it; sent with ``peers``. Empty if the leader may not
        know all of them.
    :param store_limits: by service, concurrent loads that the weight store
        serves at full speed, as far as the leader knows.
    :param absences: models that lie on no engine, or do so no longer, changed
        since ``base``; only for members of message level 1 or higher.
    :param loads_due: loads of such models that have not begun, changed since
        ``base``; only for members of message level 2 or higher.
    :param credit: the member's parts of the organisations' limits, all of them;
        ``None`` if it holds these. Only for members of message level 3 or
        higher.
    :param cold: limits of cold targets and the member's shares of them; only
        for members of message level 6 or higher, like the following fields.
    :param paces: targets that are not well.
    :param evacuations_revision: revision of the leader's reading of the
        evacuated zones; -1 for none.
    :param evacuations_era: era of that revision.
    :param evacuated_zones: zones whose targets get no requests.
    """

    fencing: int
    sequence: int
    instance_id: str
    address: str
    base: int = 0
    stamp: float = 0
    engines: tuple[EngineView, ...] = ()
    gone: tuple[str, ...] = ()
    members: int = 1
    generation: int = 0
    proof_offset: float | None = None
    registry_revision: int = -1
    registry_era: int = -1
    targets: tuple[TargetView, ...] = ()
    targets_gone: tuple[str, ...] = ()
    targets_complete: bool = False
    lease_version: int | None = None
    lease_left: float = 0
    limits: tuple[LimitShare, ...] = ()
    peers: tuple[PeerView, ...] = ()
    peers_digest: int = 0
    version_ages: dict[str, dict[str, float]] = {}
    store_limits: dict[str, int] = {}
    absences: tuple[ModelAbsence, ...] = ()
    loads_due: tuple[LoadDue, ...] = ()
    credit: tuple[CreditShare, ...] | None = None
    cold: tuple[ColdShare, ...] = ()
    paces: tuple[PaceView, ...] = ()
    evacuations_revision: int = -1
    evacuations_era: int = 0
    evacuated_zones: tuple[str, ...] = ()


class LeaderAnnounced(PeerMessage, frozen=True):
    """Notice of a new leader, for instances of message level 3 or higher.

    :param address: address at which the leader takes reports.
    :param fencing: fencing number of its lease.
    """

    instance_id: str
    address: str
    fencing: int


class CreditAsk(PeerMessage, frozen=True):
    """Request of an instance for tokens of an organisation.

    :param tokens: tokens requested in addition to the instance's credit.
    :param number: number of the request; repeated in the answer.
    """

    instance_id: str
    organisation: str
    tokens: float
    number: int = 0


class CreditAnswer(PeerMessage, frozen=True):
    """Tokens granted to an instance.

    :param fencing: fencing number of the leader's lease.
    :param tokens: granted tokens; 0 when none are available.
    :param seconds: time until the granted tokens may be spent; if none are
        granted, time until the requested tokens will be available.
    :param number: number of the request.
    """

    fencing: int
    organisation: str
    tokens: float
    seconds: float = 0
    number: int = 0


class StreamsBegun(PeerMessage, frozen=True):
    """Streams that the sender has sent to targets of one software version.

    Sent to their keepers, and to leaders of message level 4 or higher.

    :param keys: see ``stream_origins.origin_key``.
    """

    service: str
    software_version: str
    keys: tuple[str, ...]


class OriginQuestion(PeerMessage, frozen=True):
    """Question of an instance which software version began a stream.

    :param address: address at which other instances reach the sender.
    :param number: number of the question; repeated in the answer.
    :param key: see ``stream_origins.origin_key``.
    """

    instance_id: str
    address: str
    number: int
    key: str


class OriginAnswer(PeerMessage, frozen=True):
    """Answer to the question which software version began a stream.

    :param number: number of the question.
    :param is_known: whether the sender knows the origin of the stream.
    :param service: service that began it.
    :param software_version: version that began it.
    :param version_ages: by service and software version, the seconds since a
        target has run it; empty if the sender may not know all of them.
    """

    instance_id: str
    number: int
    is_known: bool
    service: str = ''
    software_version: str = ''
    version_ages: dict[str, dict[str, float]] = {}


class PassOffer(PeerMessage, frozen=True):
    """Question whether an instance takes over a request.

    The request follows only after a positive answer, so that an instance that
    is frozen or gone can't run it later.

    :param address: address at which other instances reach the sender.
    :param number: identifies the request among those of the sender.
    :param service: whose targets the sender does not reach.
    """

    instance_id: str
    address: str
    number: int
    service: str


class PassReply(PeerMessage, frozen=True):
    """Answer to an offer.

    :param number: of the offer.
    """

    instance_id: str
    number: int
    is_accepted: bool


class PassedRequest(PeerMessage, frozen=True):
    """A caller's request that another instance is to serve.

    :param instance_id: of the instance that received it.
    :param address: address at which other instances reach that instance.
    :param number: of the offer.
    :param path: as the caller sent it, without the query.
    :param waited: seconds since the caller's request arrived.
    :param ran_on: targets on which it may have run.
    :param runs: number of sends after which it may have run.
    """

    instance_id: str
    address: str
    number: int
    method: str
    path: str
    query: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    waited: float
    ran_on: tuple[str, ...] = ()
    runs: int = 0


class PassedPart(PeerMessage, frozen=True):
    """A part of the answer to a passed request.

    :param instance_id: of the instance that serves it.
    :param number: of the request.
    :param sequence: 0 for the first part of the answer.
    :param status: in the first part, else 0.
    :param body: part of the body.
    :param is_last: whether no part follows.
    :param is_broken: whether the answer ends early.
    :param may_have_run: in the last part, whether a target may have run the
        request.
    """

    instance_id: str
    number: int
    sequence: int
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b''
    is_last: bool = False
    is_broken: bool = False
    may_have_run: bool = True


class PassCancelled(PeerMessage, frozen=True):
    """Notice that the caller of a passed request does not wait any longer.

    :param instance_id: of the instance that received the request.
    :param number: of the request.
    """

    instance_id: str
    number: int


GatewayMessage = (
    PassOffer
    | PassReply
    | PassedRequest
    | PassedPart
    | PassCancelled
    | MemberReport
    | LeaderView
    | LeaderAnnounced
    | CreditAsk
    | CreditAnswer
    | TokenLoanAsk
    | TokenLoan
    | TokenLoanReturn
    | ConfigurationCopy
    | CompressedConfiguration
    | StreamsBegun
    | OriginQuestion
    | OriginAnswer
)
