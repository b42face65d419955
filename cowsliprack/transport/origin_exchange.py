"""Exchanges the origins of streams between the instances of a region."""

from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import anyio
import structlog

from cowsliprack.coordination.route_history import RouteHistory
from cowsliprack.coordination.stream_origins import (
    StreamOrigins,
    VersionHistory,
    keepers,
)
from cowsliprack.logs import log_decision
from cowsliprack.protocol.gateway_messages import (
    LeaderView,
    OriginAnswer,
    OriginQuestion,
    PeerView,
    StreamsBegun,
)
from cowsliprack.protocol.peer import AnyPeerMessage
from cowsliprack.state.routing_table import Route, RoutingTable
from cowsliprack.state.stream_origin import FoundOrigin, StreamOrigin
from cowsliprack.state.target_registry import TargetRegistry
from cowsliprack.transport.origin_recorder import (
    OriginRecorder,
    begun_messages,
)

# Longest wait for the answers of keepers; a round trip takes milliseconds, and
# an instance that does not answer in this time is frozen, gone or cut off.
_ANSWER_SECONDS = 0.25
# Time after which a leader to which nobody has reported is alone; others report
# several times a second.
_ALONE_SECONDS = 3
# Age of the streams that are recorded again when earlier ones may be missing:
# the time without a leader, or the age of a copy of the store.
_RECENT_SECONDS = 15

# Instances that a log line names at most.
_MAX_LOGGED_PEERS = 20

_log = structlog.get_logger('cowsliprack.region')

Deliver = Callable[[str, str, AnyPeerMessage], None]


@dataclass(slots=True)
class _Question:
    """A question to keepers.

    :param open_ids: keepers that have not answered yet.
    :param origins: of the stream, as those say that know one.
    """

    open_ids: set[str]
    origins: set[StreamOrigin] = field(default_factory=set)
    changed: anyio.Event = field(default_factory=anyio.Event)


@dataclass(slots=True)
class OriginExchange:
    """Records which version began a stream, and finds it out for others.

    :param instance_id: id of this instance.
    :param address: address at which other instances reach this one.
    :param deliver: sends a message to an instance (id, address, message).
    :param recorder: keeps the origins in the store.
    :param clock: seconds; must keep running during suspension.
    :param is_isolated: returns whether the list of targets may be out of date.
    :param peers: instances of the region, ordered by id.
    :param peers_digest: digest of ``peers``; 0 before the first list.
    :param peers_at: time of that list, seconds.
    """

    instance_id: str
    address: str
    deliver: Deliver
    recorder: OriginRecorder
    clock: Callable[[], float]
    is_isolated: Callable[[], bool] = bool
    origins: StreamOrigins = field(default_factory=StreamOrigins)
    history: VersionHistory = field(default_factory=VersionHistory)
    route_history: RouteHistory = field(default_factory=RouteHistory)
    peers: tuple[PeerView, ...] = ()
    peers_digest: int = 0
    peers_at: float = 0
    _inherited_attempt: str | None = None
    _announced_services: set[str] = field(default_factory=set)
    _last_number: int = 0
    _question_by_number: dict[int, _Question] = field(default_factory=dict)

    def begin(self, key: str, origin: StreamOrigin) -> None:
        """Record the target to which a new stream is sent.

        :param key: see ``origin_key``.
        :param origin: service and version of the target.
        """
        now = self.clock()
        if self.origins.find_own(key, now) == origin:
            return
        self.origins.record(key, origin, now, is_own=True)
        if origin.service in self._announced_services:
            self._announce([(key, origin)])
            self.recorder.add(key, origin)

    def is_own(self, key: str) -> bool:
        """Return whether this instance began a stream.

        :param key: see ``origin_key``.
        """
        return self.origins.find_own(key, self.clock()) is not None

    def forget(self, key: str) -> None:
        """Forget a stream that another instance is about to begin instead.

        That instance announces what begins it; announcing the own origin again,
        for example to new instances, would replace that.

        :param key: see ``origin_key``.
        """
        self.origins.forget(key)
        self.recorder.forget(key)

    def registry_changed(self, registry: TargetRegistry) -> None:
        """Apply a new list of targets.

        :param registry: all registered targets.
        """
        self.history.observe(registry, self.clock())
        self.update_announced()

    def configuration_changed(self, table: RoutingTable) -> None:
        """Apply a new configuration.

        :param table: its routes.
        """
        self.route_history.observe(table, self.clock())
        self.update_announced()

    def update_announced(self) -> None:
        """Announce the streams of services that can no longer be guessed."""
        now = self.clock()
        versions_by_service = self.history.versions(now)
        announced = self.route_history.split_services(now) | {
            service
            for service, versions in versions_by_service.items()
            if len(versions) > 1
        }
        if announced == self._announced_services:
            return
        log_decision(
            'announced_services',
            sorted(announced),
            'several software versions or services may have begun a stream',
            versions={
                service: sorted(versions_by_service.get(service, ()))
                for service in announced
            },
        )
        new = announced - self._announced_services
        self._announced_services = announced
        self._announce_own(new)
        for service in new:
            for key, origin in self.origins.own(service, now):
                self.recorder.add(key, origin)

    def apply_peers(self, view: LeaderView) -> None:
        """Apply a new list of instances; new ones learn the own streams.

        :param view: of the leader; one without a list changes nothing.
        """
        if not view.peers or view.peers_digest == self.peers_digest:
            return
        self.peers = view.peers
        self.peers_digest = view.peers_digest
        _log.info(
            'peers',
            peers=[peer.instance_id for peer in view.peers[:_MAX_LOGGED_PEERS]],
            count=len(view.peers),
            leader=view.instance_id,
        )
        self.peers_at = self.clock()
        # A leader that has just started may not know which versions have left.
        if view.version_ages and view.instance_id != self.instance_id:
            self.history.join(view.version_ages, self.peers_at)
        self.update_announced()
        self._announce_own(self._announced_services)
        self.recorder.leader_found()

    def inherit(
        self, inherited: tuple[str, Mapping[str, dict[str, float]]] | None
    ) -> None:
        """Include the history that a leader has left in the store, once.

        Its ages are as of the write, so that a version that has left counts as
        seen for longer.

        :param inherited: see ``Lease.inherited``.
        """
        if inherited is None or inherited[0] == self._inherited_attempt:
            return
        attempt, version_ages = inherited
        self._inherited_attempt = attempt
        self.history.join(version_ages, self.clock())
        self.update_announced()

    def leader_changed(self) -> None:
        """Send the latest own streams, which the last leader may have lost."""
        for key, origin in self.recent(only_own=True):
            self.recorder.add(key, origin)
        self.recorder.leader_found()

    def recent(self, *, only_own: bool) -> list[tuple[str, StreamOrigin]]:
        """Return the announced streams that began lately.

        :param only_own: whether to leave out those of other instances.
        """
        if not self._announced_services:
            return []
        return self.origins.begun_since(
            self._announced_services,
            self.clock() - _RECENT_SECONDS,
            only_own=only_own,
        )

    async def find(self, key: str, route: Route) -> FoundOrigin:
        """Find out what may go on with a stream.

        :param key: see ``origin_key``.
        :param route: of the stream.
        """
        known = self.origins.find_settled(key, self.clock())
        if known is not None:
            return FoundOrigin(known, 'known here')
        guess = self._guess(route)
        if guess is not None:
            return FoundOrigin(guess, 'only version')
        question = await self._ask(key)
        kept = self._find_current(key, self.clock())
        if kept is not None:
            question.origins.add(kept)
        if len(question.origins) > 1:
            return FoundOrigin(None, 'different answers')
        if question.origins:
            source = 'known here' if kept else 'other instance'
            return FoundOrigin(question.origins.pop(), source)
        guess = self._guess(route)
        if guess is not None:
            return FoundOrigin(guess, 'only version')
        recorded = await self._find_recorded(key, route)
        return FoundOrigin(recorded, 'store' if recorded else 'unknown')

    async def _find_recorded(
        self, key: str, route: Route
    ) -> StreamOrigin | None:
        services = self.route_history.services(route, self.clock())
        if self._announced_services.isdisjoint(services):
            return None
        recorded = await self.recorder.find(key)
        if recorded is not None:
            self.origins.record(
                key, recorded, self.clock(), is_own=False, is_final=True
            )
        return recorded

    def _find_current(self, key: str, now: float) -> StreamOrigin | None:
        """Return a known origin unless a later send may have replaced it.

        Only keepers are told of later sends. An instance that has led or kept
        the stream before may know an earlier one.
        """
        settled = self.origins.find_settled(key, now)
        if settled is not None:
            return settled
        kept_by = {peer.instance_id for peer in keepers(key, self.peers)}
        is_keeper = self.instance_id in kept_by
        return self.origins.find(key, now) if is_keeper else None

    def _guess(self, route: Route) -> StreamOrigin | None:
        """Return the only possible origin of streams; ``None`` if unsure."""
        now = self.clock()
        is_alone = (
            len(self.peers) == 1 and now - self.peers_at >= _ALONE_SECONDS
        )
        is_complete = is_alone or self.history.is_complete(now)
        if self.is_isolated() or not is_complete:
            return None
        versions_by_service = self.history.versions(now)
        possible = [
            StreamOrigin(service, version)
            for service in self.route_history.services(route, now)
            for version in versions_by_service.get(service) or ('',)
        ]
        return possible[0] if len(possible) == 1 else None

    def version_ages(self) -> dict[str, dict[str, float]]:
        """Return the seconds since each version of each service was seen.

        :returns: empty while this instance may not know all of them.
        """
        now = self.clock()
        return self.history.ages(now) if self.history.is_complete(now) else {}

    def handle(
        self, message: StreamsBegun | OriginQuestion | OriginAnswer
    ) -> None:
        """Handle a message of another instance.

        :param message: about the origin of streams.
        """
        match message:
            case StreamsBegun():
                self.apply_begun(message)
            case OriginQuestion():
                self.answer(message)
            case OriginAnswer():
                self.apply_answer(message)

    def apply_begun(self, message: StreamsBegun) -> None:
        """Keep the origins that another instance has sent.

        :param message: of the instance that began the streams.
        """
        origin = StreamOrigin(message.service, message.software_version)
        now = self.clock()
        is_leading = self.recorder.is_leading()
        for key in message.keys:
            if self.is_own(key):
                # Begun here since: a late message of an earlier send.
                continue
            if self.origins.find(key, now) != origin:
                self.origins.record(key, origin, now, is_own=False)
            if is_leading:
                self.recorder.add(key, origin)

    def answer(self, question: OriginQuestion) -> None:
        """Answer the question of another instance.

        :param question: of the instance that a caller asks to go on.
        """
        now = self.clock()
        origin = self._find_current(question.key, now)
        reply = OriginAnswer(
            instance_id=self.instance_id,
            number=question.number,
            is_known=origin is not None,
            service=origin.service if origin else '',
            software_version=origin.software_version if origin else '',
            version_ages=self.version_ages(),
        )
        self.deliver(question.instance_id, question.address, reply)

    def apply_answer(self, answer: OriginAnswer) -> None:
        """Apply the answer of a keeper.

        :param answer: ignored if its question has been given up.
        """
        question = self._question_by_number.get(answer.number)
        if question is None:
            return
        question.open_ids.discard(answer.instance_id)
        if answer.version_ages:
            self.history.join(answer.version_ages, self.clock())
        if answer.is_known:
            question.origins.add(
                StreamOrigin(answer.service, answer.software_version)
            )
        question.changed.set()
        question.changed = anyio.Event()

    async def _ask(self, key: str) -> _Question:
        """Ask all keepers, as one may have missed or misread a change."""
        asked = [
            peer
            for peer in keepers(key, self.peers)
            if peer.instance_id != self.instance_id
        ]
        question = _Question({peer.instance_id for peer in asked})
        self._last_number += 1
        number = self._last_number
        self._question_by_number[number] = question
        message = OriginQuestion(self.instance_id, self.address, number, key)
        try:
            for peer in asked:
                self.deliver(peer.instance_id, peer.address, message)
            with anyio.move_on_after(_ANSWER_SECONDS):
                while question.open_ids:
                    await question.changed.wait()
        finally:
            self._question_by_number.pop(number)
        return question

    def _announce_own(self, services: set[str]) -> None:
        now = self.clock()
        for service in services:
            self._announce(self.origins.own(service, now))

    def _announce(self, begun: list[tuple[str, StreamOrigin]]) -> None:
        begun_by_receiver: defaultdict[
            PeerView, list[tuple[str, StreamOrigin]]
        ] = defaultdict(list)
        for key, origin in begun:
            for peer in keepers(key, self.peers):
                if peer.instance_id != self.instance_id:
                    begun_by_receiver[peer].append((key, origin))
        for peer, kept in begun_by_receiver.items():
            for message in begun_messages(kept):
                self.deliver(peer.instance_id, peer.address, message)
