"""Rate of requests for each model, from what instances report."""

import math
from dataclasses import dataclass, field

# Seconds over which the rate is averaged. Demand moves between models within
# some seconds, so a longer memory would keep models that nobody asks for.
_AVERAGE_SECONDS = 5.0


@dataclass(slots=True)
class DemandRates:
    """Exponentially averaged requests a second by model.

    :param rate_by_model: as of ``updated_at_by_model``.
    """

    rate_by_model: dict[str, float] = field(default_factory=dict)
    updated_at_by_model: dict[str, float] = field(default_factory=dict)

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
