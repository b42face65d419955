"""Which models in use should get a second copy before their engine is lost.

Pattern of load: a model that is requested many times a second lies on one
engine alone, and that engine leaves. Until the weight store has loaded it
again, its requests cost more than those of many rare models.
"""

from dataclasses import dataclass

from cowsliprack.coordination.demand_rates import (
    MEAN_RUN_SECONDS,
    DemandRates,
)
from cowsliprack.coordination.engine_index import EngineIndex
from cowsliprack.state.routing_table import EngineSpec

# Requests that are expected to wait for the weight store, if one engine of the
# service leaves, from which a second copy is worth a load. A load of a missing
# model serves about as many.
_MIN_EXPECTED_LOSS = 3.0
# Share of the engines that a load of a second copy may keep from other orders.
_MAX_ENGINE_SHARE = 0.1


@dataclass(slots=True)
class SpareCopies:
    """Decides on second copies for one service.

    :param was_last_spare: whether the last load from the weight store that was
        assigned to an engine is a second copy.
    """

    was_last_spare: bool = False

    def expected_losses(
        self,
        index: EngineIndex,
        spec: EngineSpec,
        rates: DemandRates,
        now: float,
    ) -> dict[str, float]:
        """Return the models that should get a second copy.

        :param index: of the engines.
        :param spec: of the service.
        :param rates: requests per second by model.
        :param now: seconds.
        :returns: by model, the requests that are expected to wait for the
            weight store without a second copy.
        """
        is_large = len(index.usable) * _MAX_ENGINE_SHARE >= 1
        if not is_large or not rates.is_established(now):
            return {}
        # What one engine has no slots for is refused with or without it, and
        # its repeats count as demand again.
        most = spec.slots / MEAN_RUN_SECONDS
        expected = {
            name: min(rates.rate(name, now), most)
            * model.cold_seconds
            / len(index.usable)
            for name, model in spec.models_by_name.items()
            if name in rates.rate_by_model
            and name not in index.pending_models
            and len(index.holders(name)) == 1
        }
        return {
            name: lost
            for name, lost in expected.items()
            if lost >= _MIN_EXPECTED_LOSS
        }

    def may_load(self) -> bool:
        """Return whether a second copy may go before models without a copy.

        They take turns, so that spare copies do not keep the weight store from
        models that requests wait for.
        """
        return not self.was_last_spare
