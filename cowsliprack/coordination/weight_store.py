"""Decides which model the weight store loads next.

Designed for workloads in which dozens of rarely used models lie on no engine
and are requested again and again, while the weight store loads one every few
seconds. A request waits for a load only if the load is expected in time, so
the order of the next loads must not change once requests wait for them.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum

from cowsliprack.coordination.cold_loads import URGENT_REQUESTS

# Seconds by which the arrival of a caller may differ between two reports of it.
_SAME_CALLER_SECONDS = 0.5

TurnKey = tuple[int, float, float]


class _Rank(IntEnum):
    """Groups of candidates for a load, the first of them goes first."""

    immediate = 0
    promised = 1
    unserved = 2
    served = 3
    too_late = 4


@dataclass(frozen=True, slots=True)
class LoadClaim:
    """Requests for a model that an engine should load.

    :param benefit: weighted number of requests that a load now serves in time.
    :param target_at: earliest latency target of the requests, seconds.
    :param outwaits_load: whether callers are expected to wait, or to be back,
        when a load from the weight store that begins now has ended.
    """

    model: str
    benefit: float
    target_at: float
    outwaits_load: bool


@dataclass(frozen=True, slots=True)
class WaitingCallers:
    """Callers that wait for a model at one moment.

    :param count: number of them.
    :param since: arrival of the first of them, seconds.
    :param leaves_at: when the last of them gives up, seconds.
    """

    model: str
    count: int
    since: float
    leaves_at: float


@dataclass(slots=True)
class StoreTurns:
    """Order of the loads from the weight store for one service.

    :param served_models: models of which a request has been sent to an engine,
        by any instance since its start.
    :param promised_places: place in the order by model, for models whose
        waiting requests are expected to be served by a load in its turn.
    :param repeated_models: missing models that several callers, or one more
        than once, have asked for.
    """

    served_models: set[str] = field(default_factory=set)
    promised_places: dict[str, int] = field(default_factory=dict)
    repeated_models: set[str] = field(default_factory=set)
    _first_caller_at: dict[str, float] = field(default_factory=dict)

    def key(
        self, claim: LoadClaim, missing_since_by_model: Mapping[str, float]
    ) -> TurnKey:
        """Return the sort key of a claim; the smallest goes first.

        Each load serves few requests of a rare model. Of the models that lie on
        no engine, the one that has been missing for longest goes first, so that
        each gets its turn; by benefit, models that lose their copies again and
        again would go before those never loaded. Models that have been served
        go after those that have not, and models whose callers will all have
        left when the load ends go last.

        :param claim: the requests for one model.
        :param missing_since_by_model: when requests first waited for each
            missing model, seconds.
        """
        since = missing_since_by_model.get(claim.model)
        if since is None or claim.benefit >= URGENT_REQUESTS:
            return (_Rank.immediate, -claim.benefit, claim.target_at)
        place = self.promised_places.get(claim.model)
        if place is not None:
            return (_Rank.promised, place, claim.target_at)
        if not claim.outwaits_load:
            return (_Rank.too_late, since, claim.target_at)
        return (self._rank(claim.model), since, claim.target_at)

    def key_if_requested(self, model: str, since: float) -> TurnKey:
        """Return the sort key that a request now would give to a model.

        :param model: without waiting requests.
        :param since: when requests first waited for it, seconds; ``inf`` if
            none has.
        """
        return (self._rank(model), since, float('inf'))

    def promise(
        self,
        due_at_by_model: Mapping[str, float],
        callers: Iterable[WaitingCallers],
    ) -> None:
        """Keep the places of the loads that requests wait for.

        Otherwise a request for a model that has been missing for longer takes
        the turn, and the requests that waited for it are rejected late.

        :param due_at_by_model: expected ends of the loads that have not begun,
            seconds, in their order.
        :param callers: those that wait.
        """
        leaves_at_by_model: dict[str, float] = {}
        for one in callers:
            leaves_at_by_model[one.model] = max(
                one.leaves_at, leaves_at_by_model.get(one.model, one.leaves_at)
            )
        in_time = [
            model
            for model, due_at in due_at_by_model.items()
            if due_at <= leaves_at_by_model.get(model, -float('inf'))
        ]
        self.promised_places = {
            model: place for place, model in enumerate(in_time)
        }

    def record_callers(
        self,
        callers: Iterable[WaitingCallers],
        missing_models: Collection[str],
    ) -> None:
        """Find the models that are asked for repeatedly.

        :param callers: those that wait.
        :param missing_models: models without a copy on any engine.
        """
        first_at = {
            model: at
            for model, at in self._first_caller_at.items()
            if model in missing_models
        }
        self.repeated_models.intersection_update(missing_models)
        for one in callers:
            if one.model not in missing_models:
                continue
            earliest = first_at.setdefault(one.model, one.since)
            is_later = one.since > earliest + _SAME_CALLER_SECONDS
            if is_later or one.count > 1:
                self.repeated_models.add(one.model)
        self._first_caller_at = first_at

    def serves_any(self, claim: LoadClaim) -> bool:
        """Return whether a load that begins now is expected to serve a request.

        :param claim: waiting requests for a model.
        """
        if claim.outwaits_load or claim.benefit >= URGENT_REQUESTS:
            return True
        # A model that only engines of another software version hold is not
        # missing, and its callers are not recorded.
        is_missing = claim.model in self._first_caller_at
        return not is_missing or claim.model in self.repeated_models

    def _rank(self, model: str) -> _Rank:
        return _Rank.served if model in self.served_models else _Rank.unserved
