"""How the requests of each model fare, counted since the process started."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from cowsliprack.protocol.overload_messages import OutcomeCount


@dataclass(slots=True)
class RequestOutcomes:
    """Late and paused requests of one instance, by model.

    Counters, not rates: a leader that misses a report loses nothing, and a new
    one needs no history. Requests begun are counted by ``TargetSelector``.

    :param late_by_model: requests without a first event by their latency
        target.
    :param paused_by_model: streams with a pause above the route's limit.
    """

    late_by_model: Counter[str] = field(default_factory=Counter)
    paused_by_model: Counter[str] = field(default_factory=Counter)

    def record_first_event(
        self, model: str, first_event_at: float, target_at: float
    ) -> None:
        """Count a request whose first event came, or that ended without one.

        :param model: empty for a plain service.
        :param first_event_at: time of the event or of the end, seconds.
        :param target_at: time of the latency target, seconds.
        """
        if model and first_event_at > target_at:
            self.late_by_model[model] += 1

    def record_pause(
        self, model: str, before: float, longest: float, limit: float
    ) -> None:
        """Count a stream whose longest pause has become too long.

        :param model: empty for a plain service.
        :param before: longest pause before the last events, seconds.
        :param longest: longest pause with them, seconds.
        :param limit: longest permitted pause, seconds; 0 for none.
        """
        if model and limit and before <= limit < longest:
            self.paused_by_model[model] += 1

    def counts(self) -> tuple[OutcomeCount, ...]:
        """Return the counters of the models with late or paused requests."""
        models = self.late_by_model.keys() | self.paused_by_model.keys()
        return tuple(
            OutcomeCount(
                model, self.late_by_model[model], self.paused_by_model[model]
            )
            for model in sorted(models)
        )


def new_troubles(
    before: Iterable[OutcomeCount], after: Iterable[OutcomeCount]
) -> dict[str, int]:
    """Return the late and paused requests between two reports of a process.

    :param before: counters of the earlier report.
    :param after: counters of the later report.
    :returns: count by model; none that is 0.
    """
    known = {count.model: count.late + count.paused for count in before}
    added = {
        count.model: count.late + count.paused - known.get(count.model, 0)
        for count in after
    }
    return {model: count for model, count in added.items() if count > 0}
