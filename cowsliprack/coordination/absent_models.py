"""Models that lie on no engine, as a leader knows them and as members do.

A load from the weight store takes longer than most callers wait. While an
instance knows that a model lies on no engine and when its load will end, it can
reject at once the requests that would wait in vain.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from cowsliprack.protocol.gateway_messages import ModelAbsence
from cowsliprack.state.engine_state import EngineState

# A model counts as absent when no engine has had a copy for this long, in
# seconds: engines that crash are back with their disks after some seconds, and
# a leader learns in its first seconds what the engines hold.
_SETTLED_SECONDS = 5.0
# Models that one line of the log names at most.
_NAMES_A_LINE = 20
# Value of ``ModelAbsence.loaded_in`` without a load.
_NO_LOAD = -1.0


@dataclass(slots=True)
class AbsentModels:
    """Models of one service without a copy on any registered engine.

    Unlike ``MissingModels``, these need not have been asked for.

    :param loaded_at_by_model: by absent model, the time at which its load from
        the weight store is expected to end, seconds; ``inf`` without a load.
    """

    loaded_at_by_model: Mapping[str, float] = field(default_factory=dict)
    _since_by_model: dict[str, float] = field(default_factory=dict)
    _inherited: frozenset[str] = frozenset()

    def inherit(self, models: Iterable[str]) -> None:
        """Go on with what an earlier leader knew.

        Its models count as absent as soon as all engines have been surveyed.
        Requests for them would wait otherwise until the models count as absent
        again.

        :param models: that it knew to be absent.
        """
        self._inherited = frozenset(models)

    def update(
        self,
        models: Iterable[str],
        engines: Collection[EngineState],
        loads: Mapping[str, float],
        now: float,
        *,
        earlier_loads: int = 0,
    ) -> None:
        """Find the absent models.

        :param models: all configured models.
        :param engines: all registered engines. Those that are not surveyed yet
            or do not answer count, since they may be usable soon.
        :param loads: by model, when its load is expected to end, seconds.
        :param now: seconds.
        :param earlier_loads: number of the loads that an earlier leader has
            named.
        """
        at_hand = set().union(*(engine.models_at_hand() for engine in engines))
        self._since_by_model = {
            name: self._since_by_model.get(name, now)
            for name in models
            if name not in at_hand
        }
        if engines and not any(one.awaits_survey() for one in engines):
            known = self._inherited.intersection(self._since_by_model)
            self._since_by_model.update(dict.fromkeys(known, -math.inf))
            self._inherited = frozenset()
        # An order of an earlier leader may be the load of any of them, if it
        # is none of those that this leader has named.
        unknown_orders = sum(engine.has_unknown_order() for engine in engines)
        may_be_loading = unknown_orders > earlier_loads
        settled_since = -math.inf if may_be_loading else now - _SETTLED_SECONDS
        self.loaded_at_by_model = {
            name: loads.get(name, math.inf)
            for name, since in self._since_by_model.items()
            if since < settled_since or name in loads
        }

    def begin_loads(self, loads: Mapping[str, float]) -> None:
        """Add the loads that a plan has begun.

        Members would be told otherwise, until the next plan, that a load that
        has begun is due one turn later, and would reject its requests.

        :param loads: see ``update``.
        """
        absent = self.loaded_at_by_model
        begun = {name: loads[name] for name in loads if name in absent}
        self.loaded_at_by_model = {**absent, **begun}


@dataclass(slots=True)
class LoggedAbsences:
    """Which absent models of one service the log has named.

    :param models: absent models, as logged.
    """

    models: frozenset[str] = frozenset()

    def update(
        self, models: Iterable[str]
    ) -> tuple[list[list[str]], list[list[str]]]:
        """Return the models that have become absent, and those present again.

        :param models: those that are absent now.
        :returns: both by line of the log, in alphabetical order.
        """
        absent = frozenset(models)
        news = _by_line(absent - self.models), _by_line(self.models - absent)
        self.models = absent
        return news


@dataclass(slots=True)
class AbsenceLedger:
    """What a leader has told of absent models, and at which sequence.

    :param loaded_at_by_name: by service and model, the time at which its load
        is expected to end, seconds; ``inf`` without a load.
    :param changed_by_name: sequence of the view that told the last change.
    """

    loaded_at_by_name: dict[tuple[str, str], float] = field(
        default_factory=dict
    )
    changed_by_name: dict[tuple[str, str], int] = field(default_factory=dict)

    def update(
        self,
        loaded_at_by_name: Mapping[tuple[str, str], float],
        sequence: int,
    ) -> bool:
        """Apply the models that are absent now; return whether any changed.

        :param loaded_at_by_name: see the class.
        :param sequence: of the next view.
        """
        known = self.loaded_at_by_name
        changed = [
            name
            for name in known.keys() | loaded_at_by_name.keys()
            if known.get(name) != loaded_at_by_name.get(name)
        ]
        self.changed_by_name.update(dict.fromkeys(changed, sequence))
        self.loaded_at_by_name = dict(loaded_at_by_name)
        return bool(changed)

    def changes_since(self, base: int, now: float) -> tuple[ModelAbsence, ...]:
        """Return the changes for a member, for a message.

        :param base: sequence of the last view that it has applied.
        :param now: seconds.
        """
        return tuple(
            self._absence(name, now)
            for name, changed in self.changed_by_name.items()
            if changed > base
        )

    def _absence(self, name: tuple[str, str], now: float) -> ModelAbsence:
        loaded_at = self.loaded_at_by_name.get(name)
        if loaded_at is None:
            return ModelAbsence(*name, is_absent=False)
        if math.isinf(loaded_at):
            return ModelAbsence(*name, loaded_in=_NO_LOAD)
        return ModelAbsence(*name, loaded_in=max(loaded_at - now, 0))


@dataclass(slots=True)
class KnownAbsences:
    """Absent models that the leader has told to a member.

    :param loaded_at_by_name: see ``AbsenceLedger``.
    """

    loaded_at_by_name: dict[tuple[str, str], float] = field(
        default_factory=dict
    )

    def apply(
        self,
        absences: Iterable[ModelAbsence],
        now: float,
        *,
        is_full: bool,
    ) -> None:
        """Apply the absences of a view.

        :param absences: new or changed ones, all of them in a full view.
        :param now: seconds.
        :param is_full: replaces all earlier ones.
        """
        if is_full:
            self.loaded_at_by_name.clear()
        for absence in absences:
            name = (absence.service, absence.model)
            self.loaded_at_by_name.pop(name, None)
            if absence.is_absent:
                is_loading = absence.loaded_in >= 0
                self.loaded_at_by_name[name] = (
                    now + absence.loaded_in if is_loading else math.inf
                )

    def loads_under_way(self) -> dict[tuple[str, str], float]:
        """Return the loads of absent models, for a leader that takes over.

        :returns: by service and model, when the load is expected to end,
            seconds.
        """
        return {
            name: loaded_at
            for name, loaded_at in self.loaded_at_by_name.items()
            if math.isfinite(loaded_at)
        }

    def seconds_until_loaded(
        self, service: str, model: str, now: float
    ) -> float:
        """Return when an absent model will be loaded.

        :param service: its service.
        :param model: its name.
        :param now: seconds.
        :returns: 0 for a model that is not absent, or whose load should have
            ended; ``inf`` if none is under way.
        """
        loaded_at = self.loaded_at_by_name.get((service, model), now)
        return max(loaded_at - now, 0)


def _by_line(names: Iterable[str]) -> list[list[str]]:
    in_order = sorted(names)
    return [
        in_order[first : first + _NAMES_A_LINE]
        for first in range(0, len(in_order), _NAMES_A_LINE)
    ]
