"""Which messages and fields a process of another build understands.

Builds run side by side while instances are replaced. The level is the last part
of the id of a process. All builds relay this id unchanged, so the level also
reaches instances whose leader is of an earlier build.
"""

import uuid
from collections.abc import Iterable

from cowsliprack.protocol.gateway_messages import PeerView

# Raised with each message or field that earlier builds do not know:
# 1: models that lie on no engine, in the views of a leader;
# 2: when loads of such models that have not begun are due;
# 3: the announcement of a new leader, compressed configurations, and parts of
#    the organisations' limits by demand;
# 4: streams that members begin, sent to the leader to be recorded.
# Also raised with what an instance does:
# 5: it rests between two terms as leader.
# Again with messages and fields:
# 6: evacuated zones, cold targets and the leader's division of their limits,
#    paces of targets, and late and paused requests by model.
MESSAGE_LEVEL = 6
ABSENCES_LEVEL = 1
LOADS_DUE_LEVEL = 2
ANNOUNCEMENT_LEVEL = 3
CREDIT_SHARES_LEVEL = 3
COMPRESSED_CONFIGURATION_LEVEL = 3
RECORDED_STREAMS_LEVEL = 4
REST_LEVEL = 5
OVERLOAD_LEVEL = 6
_SEPARATOR = '.'
_ID_LENGTH = 12


def new_process_id(level: int = MESSAGE_LEVEL) -> str:
    """Return an id for this process, with the level that it understands.

    :param level: of the build.
    """
    return f'{uuid.uuid4().hex[:_ID_LENGTH]}{_SEPARATOR}{level}'


def message_level(boot: str) -> int:
    """Return the level that a process understands; 0 for earlier builds.

    :param boot: id of the process, as received.
    """
    _, separator, level = boot.rpartition(_SEPARATOR)
    is_stated = bool(separator) and level.isascii() and level.isdecimal()
    return int(level) if is_stated else 0


def knows_announcements(peers: Iterable[PeerView]) -> bool:
    """Return whether any of the other instances would announce that it leads.

    :param peers: the instances of the region; none if they are unknown.
    """
    levels = [message_level(peer.boot) for peer in peers]
    return len(levels) > 1 and min(levels) >= ANNOUNCEMENT_LEVEL
