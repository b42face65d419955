"""Rate of requests for each model, from what instances report."""

import math
from dataclasses import dataclass, field

# Seconds over which the rate is averaged. Demand moves between models within
# some seconds, so a longer memory would keep models that nobody asks for.
_AVERAGE_SECONDS = 5.0
# Requests a second for all models below which there is no demand.
_QUIET_RATE = 0.2
# Seconds of demand after which it is known which replicas are needed; before
# that the platform's own placement stays.
_LEARNING_SECONDS = 3.0


@dataclass(slots=True)
class DemandRates:
    """Exponentially averaged requests a second by model.

    :param rate_by_model: as of ``updated_at_by_model``.
    :param quiet_until: when there was no demand last, seconds.
    """

    rate_by_model: dict[str, float] = field(default_factory=dict)
    updated_at_by_model: dict[str, float] = field(default_factory=dict)
    quiet_until: float = 0

    def add(self, model: str, count: int, now: float) -> None:
        """Count requests for a model.

        :param model: its name.
        :param count: requests since the last call.
        :param now: seconds.
        """
        self.rate_by_model[model] = (
            self.rate(model, now) + count / _AVERAGE_SECONDS
        )
        self.updated_at_by_model[model] = now

    def rate(self, model: str, now: float) -> float:
        """Return the requests a second for a model.

        :param model: its name.
        :param now: seconds.
        """
        updated_at = self.updated_at_by_model.get(model, now)
        age = max(now - updated_at, 0)
        fading = math.exp(-age / _AVERAGE_SECONDS)
        return self.rate_by_model.get(model, 0) * fading

    def total(self, now: float) -> float:
        """Return the requests a second for all models.

        :param now: seconds.
        """
        return sum(self.rate(model, now) for model in self.rate_by_model)

    def watch(self, now: float) -> None:
        """Note whether there is any demand; called with every plan.

        :param now: seconds.
        """
        if self.total(now) < _QUIET_RATE:
            self.quiet_until = now

    def is_quiet(self, now: float) -> bool:
        """Return whether no requests come.

        :param now: seconds.
        """
        return now <= self.quiet_until

    def is_known(self, now: float) -> bool:
        """Return whether there has been demand for long enough to go by it.

        :param now: seconds.
        """
        return now - self.quiet_until > _LEARNING_SECONDS
