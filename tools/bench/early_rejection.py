"""What instances know of absent models in a simulation, and their callers.

Instances reject a request as soon as its model is known to be loaded too late.
Its caller comes back in the time that it has left.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from cowsliprack.coordination.absent_models import AbsenceLedger, KnownAbsences
from cowsliprack.coordination.load_queue import (
    KnownLoadsDue,
    LoadsDueLedger,
    may_begin_waiting,
    seconds_until_usable,
)
from cowsliprack.coordination.model_scheduler import ModelScheduler

_SERVICE = 's'
# Share of its remaining time for which a caller obeys a Retry-After.
_MAX_RETRY_SHARE = 1 / 3

Request = TypeVar('Request')


@dataclass(slots=True)
class AbsenceNews:
    """Absent models as a leader tells them to its instances.

    Has the tolerances of the real messages, but no delay.
    """

    _absence_ledger: AbsenceLedger = field(default_factory=AbsenceLedger)
    _due_ledger: LoadsDueLedger = field(default_factory=LoadsDueLedger)
    _absences: KnownAbsences = field(default_factory=KnownAbsences)
    _loads_due: KnownLoadsDue = field(default_factory=KnownLoadsDue)
    _sequence: int = 0

    def tell(self, scheduler: ModelScheduler, now: float) -> None:
        """Tell the instances what has changed with a plan.

        :param scheduler: that has just planned.
        :param now: seconds.
        """
        base = self._sequence
        self._sequence += 1
        loaded_at_by_model = scheduler.absent.loaded_at_by_model
        self._absence_ledger.update(
            _by_name(dict(loaded_at_by_model)), self._sequence
        )
        self._due_ledger.update(
            _by_name(scheduler.loads_due(now)), self._sequence, now
        )
        self._absences.apply(
            self._absence_ledger.changes_since(base, now), now, is_full=False
        )
        self._loads_due.apply(
            self._due_ledger.changes_since(base, now), now, is_full=False
        )

    def seconds_until_usable(
        self, model: str, cold_seconds: float, now: float
    ) -> float:
        """Return when an instance expects that a request can start.

        :param model: its name.
        :param cold_seconds: duration of a load from the weight store.
        :param now: seconds.
        """
        return seconds_until_usable(
            self._absences.seconds_until_loaded(_SERVICE, model, now),
            self._loads_due.seconds_until_due(_SERVICE, model, now),
            cold_seconds,
        )

    def may_begin_waiting(
        self, model: str, cold_seconds: float, seconds_left: float, now: float
    ) -> bool:
        """Return whether an instance lets a new request wait for a load.

        :param model: its name.
        :param cold_seconds: duration of a load from the weight store.
        :param seconds_left: until the request is given up.
        :param now: seconds.
        """
        return may_begin_waiting(
            self._absences.seconds_until_loaded(_SERVICE, model, now),
            self.seconds_until_usable(model, cold_seconds, now),
            cold_seconds,
            seconds_left,
        )


@dataclass(slots=True)
class RejectedCallers(Generic[Request]):
    """Requests that were rejected and whose callers come back."""

    _returning: list[tuple[float, Request]] = field(default_factory=list)
    _reported: list[tuple[float, Request]] = field(default_factory=list)

    def add(
        self,
        request: Request,
        retry_after: float,
        seconds_left: float,
        cold_seconds: float,
        now: float,
    ) -> None:
        """Add a rejected request.

        :param request: that was rejected.
        :param retry_after: seconds.
        :param seconds_left: until its deadline.
        :param cold_seconds: for which it is reported to the leader.
        :param now: seconds.
        """
        self._reported.append((now + cold_seconds, request))
        pause = min(retry_after, seconds_left * _MAX_RETRY_SHARE)
        self._returning.append((now + pause, request))

    def pop_returning(self, now: float) -> Iterator[Request]:
        """Yield and remove the requests whose callers are back.

        :param now: seconds.
        """
        entries = self._returning
        self._returning = _after(entries, now)
        yield from (request for moment, request in entries if moment <= now)

    def reported(self, now: float) -> list[Request]:
        """Return the requests that the leader still plans for.

        :param now: seconds.
        """
        self._reported = _after(self._reported, now)
        return [request for _, request in self._reported]


def _after(
    entries: list[tuple[float, Request]], now: float
) -> list[tuple[float, Request]]:
    return [entry for entry in entries if entry[0] > now]


def _by_name(
    seconds_by_model: dict[str, float],
) -> dict[tuple[str, str], float]:
    return {
        (_SERVICE, model): seconds
        for model, seconds in seconds_by_model.items()
    }
