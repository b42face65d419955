"""Request rate of each model, from the reports of the instances."""

import math
from dataclasses import dataclass, field

# Demand moves between models within seconds; a longer average would keep models
# loaded that are no longer requested.
_AVERAGING_SECONDS = 5.0
# A lower rate over all models counts as no demand.
_IDLE_RATE_PER_SECOND = 0.2
# Demand must last this long before it decides which replicas are needed; until
# then the placement of the platform is kept.
_WARM_UP_SECONDS = 3.0
# Average seconds until the running requests of a model have finished.
MEAN_RUN_SECONDS = 1.5


@dataclass(slots=True)
class DemandRates:
    """Exponentially weighted average of requests per second by model.

    :param rate_by_model: rates at the times in ``updated_at_by_model``.
    :param idle_until: last time without demand, seconds.
    """

    rate_by_model: dict[str, float] = field(default_factory=dict)
    updated_at_by_model: dict[str, float] = field(default_factory=dict)
    idle_until: float = 0

    def add(self, model: str, count: int, now: float) -> None:
        """Count requests for a model.

        :param model: name of the model.
        :param count: requests since the last call.
        :param now: seconds.
        """
        self.rate_by_model[model] = (
            self.rate(model, now) + count / _AVERAGING_SECONDS
        )
        self.updated_at_by_model[model] = now

    def forget(self, model: str) -> None:
        """Remove the rate of a model.

        :param model: name of the model.
        """
        self.rate_by_model.pop(model, None)
        self.updated_at_by_model.pop(model, None)

    def rate(self, model: str, now: float) -> float:
        """Return the requests per second for a model.

        :param model: name of the model.
        :param now: seconds.
        """
        updated_at = self.updated_at_by_model.get(model, now)
        age = max(now - updated_at, 0)
        decay = math.exp(-age / _AVERAGING_SECONDS)
        return self.rate_by_model.get(model, 0) * decay

    def total(self, now: float) -> float:
        """Return the requests per second for all models.

        :param now: seconds.
        """
        return sum(self.rate(model, now) for model in self.rate_by_model)

    def update_idle(self, now: float) -> None:
        """Update ``idle_until``; called with every plan.

        :param now: seconds.
        """
        if self.total(now) < _IDLE_RATE_PER_SECOND:
            self.idle_until = now

    def is_idle(self, now: float) -> bool:
        """Return whether no requests arrive.

        :param now: seconds.
        """
        return now <= self.idle_until

    def is_established(self, now: float) -> bool:
        """Return whether demand has lasted long enough to act on it.

        :param now: seconds.
        """
        return now - self.idle_until > _WARM_UP_SECONDS
