"""Crashes of targets on the request path: counts, notices and log lines."""

from collections.abc import Callable
from dataclasses import dataclass, field

from cowsliprack.coordination.poison import PoisonTracker
from cowsliprack.logs import log_decision
from cowsliprack.protocol.peer import (
    AnyPoisonNotice,
    PoisonNotice,
    SoundNotice,
    TrialNotice,
)
from cowsliprack.state.target_registry import TargetRecord, TargetRegistry
from cowsliprack.transport.crash_watch import CrashWatch

# Digests that a log line names at most.
_MAX_LOGGED_DIGESTS = 20


def _announce_nothing(_notice: AnyPoisonNotice) -> None:
    """Ignore a notice until the region is connected."""


@dataclass(slots=True)
class PoisonWatch:
    """Applies crashes and complete answers of all instances to a tracker.

    :param registry: registered targets.
    :param clock: seconds; must keep running during suspension.
    :param announce: sends a notice to the other instances.
    """

    registry: TargetRegistry
    clock: Callable[[], float]
    tracker: PoisonTracker = field(default_factory=PoisonTracker)
    announce: Callable[[AnyPoisonNotice], None] = _announce_nothing
    _crash_watch: CrashWatch = field(init=False)

    def __post_init__(self) -> None:
        """Create the check of targets."""
        self._crash_watch = CrashWatch(self.registry, self._on_crash)

    async def check_target(self, target: TargetRecord) -> bool:
        """Count a crash if a target has ended together with a connection.

        :param target: target whose connection ended.
        :returns: whether the target has crashed.
        """
        return await self._crash_watch.check(target)

    def on_send(self, digests: tuple[str, ...], target_id: str) -> int:
        """Record that a request is about to be sent to a target.

        :param digests: of the request and of the shared parts of its prompt, in
            order.
        :param target_id: id of the target.
        :returns: id of the send for the tracker.
        """
        now = self.clock()
        for notice in self.tracker.begin_trials(digests, now):
            log_decision(
                'poison_trial',
                target_id,
                'one request is sent to find out whether targets still crash',
                digest=notice.digest,
            )
            self.announce(notice)
        digest, *parts = digests
        return self.tracker.add_in_flight(digest, target_id, tuple(parts))

    def on_events(self, in_flight_id: int) -> None:
        """Record that events of an answer have arrived.

        :param in_flight_id: returned by ``on_send``.
        """
        self._announce_sound(
            self.tracker.record_answer(in_flight_id, self.clock())
        )

    def on_answered(self, digests: tuple[str, ...], sent_at: float) -> None:
        """Record that a target has answered a request to its end.

        :param digests: of the request and of the shared parts of its prompt.
        :param sent_at: when the request was sent to the target, seconds.
        """
        self._announce_sound(
            self.tracker.on_answered(digests, sent_at, self.clock())
        )

    def apply(self, notice: AnyPoisonNotice) -> bool:
        """Apply a notice and reply if its sender does not know of an answer.

        :param notice: from another instance.
        :returns: whether it was not known yet, so that a leader relays it once.
        """
        now = self.clock()
        reply = self.tracker.reply(notice, now)
        if reply is not None:
            self.announce(reply)
        if isinstance(notice, TrialNotice):
            return self.tracker.on_trial_notice(notice, now)
        if isinstance(notice, PoisonNotice):
            is_new = self.tracker.on_notice(notice, now)
            if is_new:
                self._log_poison(notice.digest)
            return is_new
        is_new = self.tracker.on_sound_notice(notice, now)
        if is_new and _disproves_crashes(notice):
            self._log_sound(notice.digest, 'answered at another instance')
        return is_new

    def _on_crash(self, target: TargetRecord, crash: str) -> None:
        notices = self.tracker.on_crash(target.target_id, crash, self.clock())
        log_decision(
            'target_crashed',
            target.target_id,
            'a connection ended during a run and new ones are refused',
            crash=crash,
            service=target.service,
            suspects=[
                notice.digest for notice in notices[:_MAX_LOGGED_DIGESTS]
            ],
            suspect_count=len(notices),
        )
        for notice in notices:
            self._log_poison(notice.digest)
            self.announce(notice)

    def _announce_sound(self, notices: list[SoundNotice]) -> None:
        for notice in notices:
            self._log_sound(notice.digest, 'answered here')
            self.announce(notice)

    def _log_poison(self, digest: str) -> None:
        now = self.clock()
        if not self.tracker.is_refused(digest, now):
            return
        log_decision(
            'poison',
            digest,
            'targets crashed on it and none has answered it',
            crashes=self.tracker.crash_count(digest, now),
        )

    def _log_sound(self, digest: str, reason: str) -> None:
        log_decision('poison_cleared', digest, reason)


def _disproves_crashes(notice: SoundNotice) -> bool:
    return notice.crash_ids is None or bool(notice.crash_ids)
