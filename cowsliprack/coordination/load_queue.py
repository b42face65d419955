"""When models that lie on no engine are expected to be loaded, in their turn.

The weight store serves a few loads at a time, so a model waits for those before
it. Callers of rejected requests are told when their model is expected.
"""

import heapq
import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from cowsliprack.protocol.gateway_messages import LoadDue
from cowsliprack.state.engine_state import EngineState

# Seconds by which an expectation must change to be told again, and the same as
# a share of the time left; the larger one applies. Each change goes to all
# members, and one more model in the queue shifts all those behind it.
_TOLERANCE_SECONDS = 3.0
_TOLERANCE_SHARE = 0.25
# Time from the turn of a load to its begin, as a share of its stated time: room
# is made on an engine first. 0.2 to 0.5 s were logged for loads of 7.8 s.
_BEGIN_SHARE = 0.03
# Seconds by which a load may end later than the leader that began it expected.
_EARLIER_LOAD_MARGIN_SECONDS = 1.0


def expected_ends(
    queue: Iterable[str],
    seconds_by_model: Mapping[str, float],
    running_ends: Iterable[float],
    concurrent_loads: int,
    now: float,
    unrequested: Collection[str] = (),
) -> dict[str, float]:
    """Return when the loads of absent models are expected to end, seconds.

    :param queue: models in the order of their loads.
    :param seconds_by_model: time of a load at full speed.
    :param running_ends: when the running loads are expected to end, seconds.
    :param concurrent_loads: loads that may run at the same time.
    :param now: seconds.
    :param unrequested: models of the queue that no request waits for. Each is
        due as if a request for it came now; none delays the others.
    """
    ends = [max(end, now) for end in running_ends]
    free = [now for _ in range(concurrent_loads - len(ends))]
    # Of more running loads than the store serves, the last to end free it.
    slots = heapq.nlargest(concurrent_loads, ends) + free
    heapq.heapify(slots)
    expected = {}
    for model in queue:
        expected[model] = slots[0] + seconds_by_model[model]
        if model not in unrequested:
            heapq.heapreplace(slots, expected[model])
    return expected


def ongoing_loads(
    earlier_loads: Mapping[str, float],
    unconfirmed: Collection[str],
    engines: Collection[EngineState],
    now: float,
) -> dict[str, float]:
    """Return the loads of an earlier leader that may still go on.

    :param earlier_loads: by model, when its load is expected to end, seconds.
    :param unconfirmed: models whose load may have ended long ago, which is
        certain if no engine carries out an order of an earlier leader.
    :param engines: all engines of the service.
    :param now: seconds.
    """
    may_go_on = not engines or any(
        engine.awaits_survey() or engine.has_unknown_order()
        for engine in engines
    )
    return {
        model: ends_at
        for model, ends_at in earlier_loads.items()
        if now < ends_at + _EARLIER_LOAD_MARGIN_SECONDS
        and (may_go_on or model not in unconfirmed)
    }


def seconds_until_usable(
    seconds_until_loaded: float,
    seconds_until_due: float,
    cold_seconds: float,
) -> float:
    """Return when a request for a model can start, as far as known.

    :param seconds_until_loaded: end of a load that is under way; 0 if the model
        is not absent, ``inf`` if it is and no load has begun.
    :param seconds_until_due: expected end of a load that has not begun, in its
        turn; 0 if that is unknown.
    :param cold_seconds: duration of a load from the weight store.
    """
    if math.isinf(seconds_until_loaded):
        return max(seconds_until_due, cold_seconds)
    return seconds_until_loaded


def may_begin_waiting(
    seconds_until_loaded: float,
    seconds_until_start: float,
    cold_seconds: float,
    seconds_left: float,
) -> bool:
    """Return whether a request that has just arrived should wait for a model.

    A load that ends with no time to spare for its begin ends too late, and the
    request would be rejected after a wait.

    :param seconds_until_loaded: see ``seconds_until_usable``.
    :param seconds_until_start: result of that function.
    :param cold_seconds: duration of a load from the weight store.
    :param seconds_left: until the request times out.
    """
    is_begun = math.isfinite(seconds_until_loaded)
    begin_seconds = 0 if is_begun else cold_seconds * _BEGIN_SHARE
    return seconds_until_start + begin_seconds <= seconds_left


@dataclass(slots=True)
class LoadsDueLedger:
    """What a leader has told of loads that have not begun.

    :param due_at_by_name: by service and model, seconds.
    :param changed_by_name: sequence of the view that told the last change.
    """

    due_at_by_name: dict[tuple[str, str], float] = field(default_factory=dict)
    changed_by_name: dict[tuple[str, str], int] = field(default_factory=dict)

    def update(
        self,
        due_at_by_name: Mapping[tuple[str, str], float],
        sequence: int,
        now: float,
    ) -> bool:
        """Apply new expectations; return whether any must be told.

        :param due_at_by_name: see the class.
        :param sequence: of the next view.
        :param now: seconds.
        """
        known = self.due_at_by_name
        changed = [
            name
            for name in known.keys() | due_at_by_name.keys()
            if _differ(known.get(name), due_at_by_name.get(name), now)
        ]
        self.changed_by_name.update(dict.fromkeys(changed, sequence))
        unchanged = known.keys() - set(changed)
        self.due_at_by_name = {
            name: known[name] if name in unchanged else due_at
            for name, due_at in due_at_by_name.items()
        }
        return bool(changed)

    def changes_since(self, base: int, now: float) -> tuple[LoadDue, ...]:
        """Return the changes for a member, for a message.

        :param base: sequence of the last view that it has applied.
        :param now: seconds.
        """
        return tuple(
            self._due(name, now)
            for name, changed in self.changed_by_name.items()
            if changed > base
        )

    def _due(self, name: tuple[str, str], now: float) -> LoadDue:
        due_at = self.due_at_by_name.get(name)
        if due_at is None:
            return LoadDue(*name)
        return LoadDue(*name, due_in=max(due_at - now, 0))


@dataclass(slots=True)
class KnownLoadsDue:
    """Loads that have not begun, as the leader has told a member.

    :param due_at_by_name: by service and model, seconds.
    """

    due_at_by_name: dict[tuple[str, str], float] = field(default_factory=dict)

    def apply(
        self, loads_due: Iterable[LoadDue], now: float, *, is_full: bool
    ) -> None:
        """Apply the loads of a view.

        :param loads_due: new or changed ones, all of them in a full view.
        :param now: seconds.
        :param is_full: replaces all earlier ones.
        """
        if is_full:
            self.due_at_by_name.clear()
        for load in loads_due:
            name = (load.service, load.model)
            self.due_at_by_name.pop(name, None)
            if load.due_in >= 0:
                self.due_at_by_name[name] = now + load.due_in

    def seconds_until_due(self, service: str, model: str, now: float) -> float:
        """Return when a load that has not begun is expected to end.

        :param service: its service.
        :param model: its name.
        :param now: seconds.
        :returns: 0 if that is unknown.
        """
        due_at = self.due_at_by_name.get((service, model), now)
        return max(due_at - now, 0)


def _differ(known: float | None, due_at: float | None, now: float) -> bool:
    if known is None or due_at is None:
        return known is not due_at
    tolerance = max(_TOLERANCE_SECONDS, (due_at - now) * _TOLERANCE_SHARE)
    return abs(known - due_at) > tolerance
