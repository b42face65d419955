"""Order in which the instances of a region compete for its free lease.

A leader plans for all engines and answers all instances, so those with enough
processor time compete first. The others follow one after the other: a region
without a larger instance gets a leader soon, and without a call of each
instance to the store.
"""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from cowsliprack.protocol.gateway_messages import (
    LeaderView,
    MemberReport,
    PeerView,
)
from cowsliprack.protocol.message_level import REST_LEVEL, message_level
from cowsliprack.protocol.peer import AnyPeerMessage

# Processor time of an instance that leads a region well, in cores.
_MIN_LEADER_CORES = 1.0
# Seconds from the end of a lease to the first attempt of a smaller instance,
# and between the attempts of two; a write to the store takes milliseconds.
_SMALL_INSTANCE_SECONDS = 0.6
_TURN_SECONDS = 0.2
# Time after an outage of the store in which calls made during the outage may
# still hold a larger instance up, in seconds: the timeout of a call.
_HELD_UP_SECONDS = 1.0
# Time after which an instance that is not heard of has left the region.
_FORGOTTEN_AFTER_SECONDS = 60.0
# Longest delay. Applies also to instances that reach no engine.
_MAX_DELAY_SECONDS = 4.0


@dataclass(slots=True)
class PastLeaders:
    """Until when each instance may have led, by what another one knows."""

    _leader_id: str = ''
    _fencing: int = 0
    _ended_at_by_id: dict[str, float] = field(default_factory=dict)

    def note(self, leader_id: str, fencing: int, now: float) -> None:
        """Record a leader; the one before has ended its term.

        :param leader_id: its id.
        :param fencing: its fencing number.
        :param now: seconds.
        """
        if fencing <= self._fencing:
            return
        if self._leader_id and leader_id != self._leader_id:
            self._ended_at_by_id[self._leader_id] = now
        self._leader_id = leader_id
        self._fencing = fencing

    def ended_after(self, oldest: float) -> set[str]:
        """Return the instances that may have led later than that.

        :param oldest: seconds.
        """
        return {
            instance_id
            for instance_id, ended_at in self._ended_at_by_id.items()
            if ended_at > oldest
        }


@dataclass(slots=True)
class KnownBuilds:
    """Which of the instances heard of lately rest between two terms."""

    # Message level and when it was last heard of, seconds.
    _level_by_id: dict[str, tuple[int, float]] = field(default_factory=dict)
    _peers: tuple[PeerView, ...] = ()

    def observe(self, message: AnyPeerMessage, now: float) -> None:
        """Record the instances that a message names.

        :param message: received, of any kind.
        :param now: seconds.
        """
        if isinstance(message, MemberReport):
            self._note(message, now)
        elif isinstance(message, LeaderView) and message.peers:
            # A new leader may not have heard of all instances yet.
            for peer in (*self._peers, *message.peers):
                self._note(peer, now)
            self._peers = message.peers

    def all_rest(self, now: float) -> bool:
        """Return whether all instances rest between two terms.

        :param now: seconds.
        """
        levels = [message_level(peer.boot) for peer in self._peers]
        levels.extend(
            level
            for level, heard_at in self._level_by_id.values()
            if now - heard_at < _FORGOTTEN_AFTER_SECONDS
        )
        return min(levels, default=REST_LEVEL) >= REST_LEVEL

    def _note(self, instance: MemberReport | PeerView, now: float) -> None:
        level = message_level(instance.boot)
        self._level_by_id[instance.instance_id] = (level, now)


def leads_well(cores: float) -> bool:
    """Return whether an instance has enough processor time to lead a region.

    :param cores: processor time of the instance.
    """
    return cores >= _MIN_LEADER_CORES


def seconds_before_turn(
    instance_id: str,
    peer_ids: Iterable[str],
    fencing: int,
    cores: float,
    *,
    has_lost_engines: bool,
) -> float:
    """Return how long an instance leaves a free lease to others, in seconds.

    :param instance_id: its id.
    :param peer_ids: all instances of the region, as far as known.
    :param fencing: fencing number of the last leader. The order is another one
        after each term, so that one instance that fails delays only one term.
    :param cores: processor time of the instance.
    :param has_lost_engines: whether it reaches no engine of some service.
    """
    if has_lost_engines:
        return _MAX_DELAY_SECONDS
    if leads_well(cores):
        return 0
    in_order = sorted(
        {instance_id, *peer_ids}, key=lambda one: _turn_key(one, fencing)
    )
    turn = in_order.index(instance_id)
    return min(
        _SMALL_INSTANCE_SECONDS + turn * _TURN_SECONDS, _MAX_DELAY_SECONDS
    )


def turns_begin(free_at: float, store_regained_at: float) -> float:
    """Return the time from which instances count the delays of their turns.

    The turns that pass while the store is out are lost: with the first answer
    all instances would compete at once, and those that lead well may wait for
    calls that the store does not answer any more.

    :param free_at: when the lease became free or the instance has started,
        seconds.
    :param store_regained_at: time of the store's first answer after its last
        outage, seconds.
    """
    return max(free_at, store_regained_at + _HELD_UP_SECONDS)


def _turn_key(instance_id: str, fencing: int) -> tuple[int, str]:
    return zlib.crc32(f'{fencing} {instance_id}'.encode()), instance_id
