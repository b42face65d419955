"""Times in which targets want no requests, or only as many as they have room.

A target that turns a request away may say for how long it wants no further one.
A brittle target fails when it has to turn away too many in a second, whichever
instance they come from.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from cowsliprack.state.target_registry import TargetRecord

# Targets that stop saying that they are brittle answer within this time.
_BRITTLE_SECONDS = 3.0
# Lowest rate of rejections that is assumed, per second.
_MIN_BRITTLE_RATE = 0.1


@dataclass(slots=True)
class TargetPauses:
    """Pauses of the requests of this instance, by target.

    :param until_by_id: end of the pause, seconds.
    :param brittle_by_id: rejections per second before the target fails, and
        when it last said so, seconds.
    """

    until_by_id: dict[str, float] = field(default_factory=dict)
    brittle_by_id: dict[str, tuple[float, float]] = field(default_factory=dict)

    def record_answer(
        self, target_id: str, brittle_rate: float | None, now: float
    ) -> None:
        """Apply whether an answer says that its target is brittle.

        :param target_id: id of the target.
        :param brittle_rate: ``None`` if it is not.
        :param now: seconds.
        """
        if brittle_rate is None:
            self.brittle_by_id.pop(target_id, None)
        else:
            self.brittle_by_id[target_id] = (brittle_rate, now)

    def record_rejection(
        self, target_id: str, retry_after: float, instances: int, now: float
    ) -> None:
        """Begin a pause after a target has turned a request away.

        :param target_id: id of the target.
        :param retry_after: seconds that it has named; 0 for none.
        :param instances: instances that may send to it.
        :param now: seconds.
        """
        seconds = retry_after
        brittle = self.brittle_by_id.get(target_id)
        if brittle is not None:
            # One rejection of each instance in this time keeps to the rate.
            rate = max(brittle[0], _MIN_BRITTLE_RATE)
            seconds = max(seconds, instances / rate)
        if seconds:
            until = self.until_by_id.get(target_id, now)
            self.until_by_id[target_id] = max(until, now + seconds)

    def may_send(
        self, record: TargetRecord, running: float, now: float
    ) -> bool:
        """Return whether a target may get a request now.

        :param record: the target.
        :param running: estimated requests that it runs.
        :param now: seconds.
        """
        if self.seconds_left(record.target_id, now) > 0:
            return False
        brittle = self.brittle_by_id.get(record.target_id)
        if brittle is None or now - brittle[1] > _BRITTLE_SECONDS:
            return True
        return running < record.slots

    def seconds_left(self, target_id: str, now: float) -> float:
        """Return how long the pause of a target lasts, in seconds.

        :param target_id: id of the target.
        :param now: seconds.
        """
        return max(self.until_by_id.get(target_id, now) - now, 0)

    def prune(self, kept: Iterable[str]) -> None:
        """Remove the state of targets that no longer exist.

        :param kept: ids of the others.
        """
        for state_by_id in (self.until_by_id, self.brittle_by_id):
            for target_id in set(state_by_id).difference(kept):
                state_by_id.pop(target_id, None)
