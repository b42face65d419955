"""Messages between gateway instances and the leader of their region."""

import msgspec

from cowsliprack.protocol.peer_message import PeerMessage


class WaitingGroup(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one instance that wait for the same model and adapter.

    :param count: requests.
    :param target_in: seconds until the most urgent one misses its latency
        target; negative when each has missed it.
    :param patience: seconds until the last one gives up.
    :param late: how many have missed their latency target.
    :param waited: seconds that the oldest one has waited.
    """

    service: str
    model: str
    adapter: str
    count: int
    target_in: float
    patience: float
    late: int = 0
    waited: float = 0


class EngineUse(msgspec.Struct, frozen=True, array_like=True):
    """Requests that one instance has under way on an engine.

    :param running_by_name: by model, and by ``model/adapter``.
    :param silence: seconds for which the engine has owed an answer.
    """

    target_id: str
    running: int
    running_by_name: dict[str, int]
    silence: float = 0


class MemberReport(PeerMessage, frozen=True):
    """State of an instance, for its leader; replaces the last one.

    :param boot: start of the process, to tell it from an earlier one.
    :param sequence: grows with each report of a process.
    :param stamp: clock of the sender when it sent this; returned in the view.
    :param view_sequence: of the last view that the sender has applied.
    :param view_fencing: of the leader that sent it.
    :param generation: of the configuration in force at the sender.
    :param registry_revision: of the sender's list of targets.
    :param started_by_model: requests for each model since the start.
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
    started_by_model: dict[str, int] = {}
    leaving: bool = False


class EngineView(msgspec.Struct, frozen=True, array_like=True):
    """What a leader has an engine hold.

    :param adapters_by_model: models that take requests, with the adapters
        loaded for them.
    :param running: requests under way from all instances.
    """

    target_id: str
    born: int
    adapters_by_model: dict[str, tuple[str, ...]]
    running: int


class TargetView(msgspec.Struct, frozen=True, array_like=True):
    """A registered target, as the leader has read it.

    :param state: ``ready`` or ``draining``.
    :param born: start of its process, milliseconds since the epoch.
    """

    target_id: str
    service: str
    address: str
    zone: str
    slots: int
    state: str
    born: int


class ConfigurationCopy(PeerMessage, frozen=True):
    """The configuration in force, for an instance with an older one.

    :param spec: JSON, as the platform's store holds it.
    """

    spec: bytes


class LeaderView(PeerMessage, frozen=True):
    """State of a leader, for one instance.

    :param fencing: of the leader's lease.
    :param sequence: grows with each view of a leader.
    :param base: sequence to which ``engines`` adds; 0 for all engines.
    :param stamp: of the report that this answers; 0 for none.
    :param engines: changed since ``base``.
    :param gone: ids of engines that left since ``base``.
    :param members: instances that reported lately.
    :param generation: of the configuration in force at the leader.
    :param proof_offset: seconds from ``stamp`` to the moment at which the
        leader's configuration is known to have been the latest; negative for
        an earlier moment, ``None`` without a stamp.
    :param registry_revision: of the leader's list of targets.
    :param targets: registered or changed since the member's revision.
    :param targets_gone: ids of those that left since.
    :param lease_version: of the lease object as the leader last wrote it.
    :param lease_left: seconds for which the leader goes on without renewing
        its lease; 0 when it has stopped leading.
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
    targets: tuple[TargetView, ...] = ()
    targets_gone: tuple[str, ...] = ()
    lease_version: int | None = None
    lease_left: float = 0


class CreditAsk(PeerMessage, frozen=True):
    """An instance asks for tokens of an organisation.

    :param tokens: wanted beyond what it holds.
    :param number: of the question, repeated in its answer.
    """

    instance_id: str
    organisation: str
    tokens: float
    number: int = 0


class CreditAnswer(PeerMessage, frozen=True):
    """Tokens that an instance may spend.

    :param tokens: granted; 0 when there are none.
    :param seconds: after which the tokens may be used, or, without any, after
        which there will be as many as were asked for.
    """

    fencing: int
    organisation: str
    tokens: float
    seconds: float = 0
    number: int = 0


GatewayMessage = (
    MemberReport | LeaderView | CreditAsk | CreditAnswer | ConfigurationCopy
)
