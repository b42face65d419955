"""Exchange of poison notices between the leader of a region and its members.

A notice is sent once and again only if it is not acknowledged in time, so that
a lost message or a change of the leader loses none. The leader relays what it
did not know yet to every member.
"""

import math
from collections import deque
from dataclasses import dataclass, field
from itertools import islice

from cowsliprack.protocol.peer import AnyPoisonNotice, PoisonNotices

# Seconds after which unacknowledged notices are sent again; much longer than a
# round trip between two instances.
_REPEAT_SECONDS = 0.5
# Notices in one message, about 20 KB.
_MAX_BATCH = 200
# Notices that a log keeps; older ones are lost for instances that lag behind.
_MAX_NOTICES = 20_000


@dataclass(slots=True)
class NoticeLog:
    """Notices of one term in the order in which they were added.

    :param end: number of notices ever added.
    """

    end: int = 0
    _notices: deque[AnyPoisonNotice] = field(
        default_factory=lambda: deque(maxlen=_MAX_NOTICES)
    )

    @property
    def oldest(self) -> int:
        """Return the number of the oldest notice that is kept."""
        return self.end - len(self._notices)

    def add(self, notice: AnyPoisonNotice) -> None:
        """Add a notice.

        :param notice: to send to the other side.
        """
        self._notices.append(notice)
        self.end += 1

    def batch(self, first: int) -> tuple[AnyPoisonNotice, ...]:
        """Return notices from a number on, as many as one message holds.

        :param first: number of the first one; not below ``oldest``.
        """
        begin = first - self.oldest
        return tuple(islice(self._notices, begin, begin + _MAX_BATCH))


@dataclass(slots=True)
class NoticeLink:
    """What one side has sent to and received from the other in a term.

    :param acknowledged: number of notices that the other side has received.
    :param sent: number of notices that have been sent.
    :param sent_at: time of the last message with notices, seconds.
    :param received: number of notices received from the other side.
    :param owes_acknowledgement: whether notices came since the last message.
    """

    acknowledged: int = 0
    sent: int = 0
    sent_at: float = -math.inf
    received: int = 0
    owes_acknowledgement: bool = False

    def outgoing(
        self,
        log: NoticeLog,
        envelope: PoisonNotices,
        now: float,
    ) -> PoisonNotices | None:
        """Return the message that is due, if any.

        :param log: notices of this side.
        :param envelope: message with the ids of the two sides.
        :param now: seconds.
        """
        if now - self.sent_at >= _REPEAT_SECONDS:
            self.sent = self.acknowledged
        first = max(self.sent, log.oldest)
        notices = log.batch(first)
        if not notices and not self.owes_acknowledgement:
            return None
        self.owes_acknowledgement = False
        if notices:
            self.sent = first + len(notices)
            self.sent_at = now
        return PoisonNotices(
            instance_id=envelope.instance_id,
            boot=envelope.boot,
            fencing=envelope.fencing,
            first=first,
            oldest=log.oldest,
            received=self.received,
            notices=notices,
        )

    def accept(self, message: PoisonNotices) -> tuple[AnyPoisonNotice, ...]:
        """Return the notices of a message that have not been received yet.

        :param message: from the other side; after a gap its notices are
            ignored, because they will be sent again from the gap on.
        """
        self.acknowledged = max(self.acknowledged, message.received)
        if not message.notices:
            return ()
        self.owes_acknowledgement = True
        received = max(self.received, message.oldest)
        if message.first > received:
            return ()
        self.received = max(received, message.first + len(message.notices))
        return message.notices[received - message.first :]


@dataclass(slots=True)
class MemberNotices:
    """Notices that a member sends to and receives from its leader.

    :param fencing: fencing number of the leader; 0 before the first one.
    """

    instance_id: str
    boot: str
    fencing: int = 0
    _log: NoticeLog = field(default_factory=NoticeLog)
    _link: NoticeLink = field(default_factory=NoticeLink)

    def follow(self, fencing: int, known: list[AnyPoisonNotice]) -> None:
        """Send all known notices to a new leader.

        :param fencing: fencing number of its lease.
        :param known: notices that are in force at this instance.
        """
        self.fencing = fencing
        self._log = NoticeLog()
        self._link = NoticeLink()
        for notice in known:
            self._log.add(notice)

    def add(self, notice: AnyPoisonNotice) -> None:
        """Add a notice for the leader.

        :param notice: of a crash or an answer at this instance.
        """
        self._log.add(notice)

    def outgoing(self, now: float) -> PoisonNotices | None:
        """Return the message to the leader that is due, if any.

        :param now: seconds.
        """
        if not self.fencing:
            return None
        envelope = PoisonNotices(self.instance_id, self.boot, self.fencing)
        return self._link.outgoing(self._log, envelope, now)

    def accept(self, message: PoisonNotices) -> tuple[AnyPoisonNotice, ...]:
        """Return the new notices of a message of the leader.

        :param message: ignored unless it belongs to this term and process.
        """
        if (message.fencing, message.boot) != (self.fencing, self.boot):
            return ()
        return self._link.accept(message)


@dataclass(slots=True)
class LeaderNotices:
    """Notices that a leader relays to the members of its region."""

    instance_id: str
    fencing: int
    _log: NoticeLog = field(default_factory=NoticeLog)
    _link_by_process: dict[tuple[str, str], NoticeLink] = field(
        default_factory=dict
    )

    def add(self, notice: AnyPoisonNotice) -> None:
        """Add a notice for all members.

        :param notice: that the leader did not know before.
        """
        self._log.add(notice)

    def outgoing(
        self,
        member_id: str,
        boot: str,
        now: float,
    ) -> PoisonNotices | None:
        """Return the message to a member that is due, if any.

        :param member_id: id of the member.
        :param boot: its process.
        :param now: seconds.
        """
        envelope = PoisonNotices(self.instance_id, boot, self.fencing)
        link = self._link(member_id, boot)
        return link.outgoing(self._log, envelope, now)

    def accept(self, message: PoisonNotices) -> tuple[AnyPoisonNotice, ...]:
        """Return the new notices of a message of a member.

        :param message: ignored unless it belongs to this term.
        """
        if message.fencing != self.fencing:
            return ()
        link = self._link(message.instance_id, message.boot)
        return link.accept(message)

    def _link(self, member_id: str, boot: str) -> NoticeLink:
        process = (member_id, boot)
        link = self._link_by_process.get(process)
        if link is None:
            # A restarted member has received nothing yet.
            self._link_by_process = {
                known: other
                for known, other in self._link_by_process.items()
                if known[0] != member_id
            }
            link = NoticeLink()
            self._link_by_process[process] = link
        return link
