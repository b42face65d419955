"""Explains which models and adapters of a played day were never served.

Reads the structured logs of all instances, each line as TIME INSTANCE JSON with
the time in seconds after traffic starts.

    python -m tools.bench.starved_names FILE --store_from=-14.5
"""

import json
import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import fire

# A name counts as asked for throughout a day from this many requests on, over
# more than this many seconds.
_LASTING_REQUESTS = 4
_LASTING_SECONDS = 8.0
# Seconds for which a request waits for the load of its model.
_HOLD_SECONDS = 7.4
# Words of a log line: time, instance and JSON.
_WORDS = 3
_UNKNOWN = '?'
_ANSWERED = 'answered'
_SUCCESSES = range(200, 300)


@dataclass(slots=True)
class Load:
    """A load that an engine has accepted.

    :param is_cold: whether it is from the weight store.
    :param end: seconds, or a question mark if no line tells of its end.
    """

    target: str
    began_at: float
    is_cold: bool
    end: str = _UNKNOWN


@dataclass(slots=True)
class NameHistory:
    """Requests for one model or adapter, and the loads of it.

    :param requested_at: arrival of each request, seconds.
    :param outcomes: how often each outcome ended a request.
    :param lost_at: when the leader saw that no engine has a copy any more,
        seconds.
    :param first_answer_at: end of the first request that was served, seconds.
    """

    requested_at: list[float] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    loads: list[Load] = field(default_factory=list)
    lost_at: list[float] = field(default_factory=list)
    first_answer_at: float = math.inf

    def is_lasting(self) -> bool:
        """Return whether it was asked for throughout the day."""
        times = self.requested_at
        if len(times) < _LASTING_REQUESTS:
            return False
        return max(times) - min(times) > _LASTING_SECONDS

    def is_served(self) -> bool:
        """Return whether any of its requests was answered."""
        return self.outcomes[_ANSWERED] > 0

    def needed_store(self) -> bool:
        """Return whether only a load from the weight store could serve it."""
        cold = [load.began_at for load in self.loads if load.is_cold]
        is_served_before = self.first_answer_at < min(cold, default=math.inf)
        return self.is_lasting() and not is_served_before


@dataclass(slots=True)
class DayHistory:
    """What the logs of a day say of its models and adapters."""

    history_by_name: dict[str, NameHistory] = field(
        default_factory=lambda: defaultdict(NameHistory)
    )

    def starved(self) -> dict[str, NameHistory]:
        """Return the names asked for throughout the day, but never served."""
        return {
            name: history
            for name, history in sorted(self.history_by_name.items())
            if history.is_lasting() and not history.is_served()
        }

    def cold_loads(self) -> list[tuple[float, str, str]]:
        """Return start, end and model of the loads from the weight store."""
        return sorted(
            (load.began_at, load.end, name)
            for name, history in self.history_by_name.items()
            for load in history.loads
            if load.is_cold
        )

    def load_uses(self) -> Counter[str]:
        """Return how many loads from the weight store served what.

        Only the first load of a model that had not been served can lower the
        number of names never served.
        """
        uses: Counter[str] = Counter()
        for history in self.history_by_name.values():
            cold = sorted(
                load.began_at for load in history.loads if load.is_cold
            )
            for number, began_at in enumerate(cold):
                uses[_load_use(history, began_at, is_first=not number)] += 1
        return uses

    def last_chances(self) -> list[float]:
        """Return when the last caller of each name that needed the store left.

        :returns: seconds.
        """
        return [
            max(history.requested_at) + _HOLD_SECONDS
            for history in self.history_by_name.values()
            if history.needed_store()
        ]

    def add(self, at: float, entry: dict[str, Any]) -> None:
        """Add a line of a log.

        :param at: its time, seconds.
        :param entry: its fields.
        """
        if entry.get('event') == 'request':
            self._add_request(at, entry)
            return
        match entry.get('decision'):
            case 'placement':
                self._add_placement(at, entry)
            case 'cold_load_ended':
                self._end_load(at, entry)
            case 'weights_missing':
                for name in entry['lost_models']:
                    self.history_by_name[name].lost_at.append(at)

    def _add_request(self, at: float, entry: dict[str, Any]) -> None:
        model, adapter = entry.get('model'), entry.get('adapter')
        if not model:
            return
        names = [model, f'{model}/{adapter}'] if adapter else [model]
        for name in names:
            history = self.history_by_name[name]
            history.requested_at.append(at - entry['total_ms'] / 1000)
            history.outcomes[_outcome(entry)] += 1
            if history.is_served():
                history.first_answer_at = min(history.first_answer_at, at)

    def _add_placement(self, at: float, entry: dict[str, Any]) -> None:
        kind, *name = entry['choice'].split()
        if kind == 'load' and entry['reason'] in {'accepted', 'holds'}:
            self.history_by_name['/'.join(name)].loads.append(
                Load(entry['target'], at, entry['is_cold'])
            )

    def _end_load(self, at: float, entry: dict[str, Any]) -> None:
        for load in self.history_by_name[entry['choice']].loads:
            if load.target == entry['target'] and load.end == _UNKNOWN:
                load.end = f'{at:.1f}'


def read_day(lines: Iterable[str]) -> DayHistory:
    """Collect the requests, loads and losses from the logs of a day.

    :param lines: TIME INSTANCE JSON; others are passed over.
    """
    day = DayHistory()
    for at, entry in _entries(lines):
        day.add(at, entry)
    return day


def most_served(
    last_chances: Iterable[float],
    first_end: float,
    seconds_a_load: float,
) -> int:
    """Return how many models the weight store can load in time at best.

    The model whose last caller leaves first is loaded first. All loads take the
    same time, so no other order serves more.

    :param last_chances: when the last caller of each model leaves, seconds.
    :param first_end: when the first load can end, seconds.
    :param seconds_a_load: time between the ends of two loads.
    """
    loads = 0
    for last_chance in sorted(last_chances):
        if first_end + loads * seconds_a_load <= last_chance:
            loads += 1
    return loads


def _load_use(history: NameHistory, began_at: float, *, is_first: bool) -> str:
    if history.first_answer_at <= began_at:
        return 'model served before'
    if not history.is_served():
        return 'model never served'
    return 'new model' if is_first else 'model loaded before'


def _outcome(entry: dict[str, Any]) -> str:
    """Return the outcome; answers passed on may be failures."""
    outcome, status = entry['outcome'], entry['status']
    is_failure = outcome == _ANSWERED and status not in _SUCCESSES
    return f'answered {status}' if is_failure else outcome


def _entries(lines: Iterable[str]) -> Iterator[tuple[float, dict[str, Any]]]:
    for line in lines:
        words = line.split(maxsplit=_WORDS - 1)
        if len(words) == _WORDS and words[-1].startswith('{'):
            yield float(words[0]), json.loads(words[-1])


def _describe(name: str, history: NameHistory) -> str:
    outcomes = ', '.join(
        f'{count} {outcome}'
        for outcome, count in sorted(history.outcomes.items())
    )
    loads = '; '.join(
        f'{"store" if load.is_cold else "disk"} {load.began_at:.1f} to '
        f'{load.end} on {load.target}'
        for load in history.loads
    )
    lost = ', '.join(f'{at:.1f}' for at in history.lost_at)
    return (
        f'{name}: requests {min(history.requested_at):.1f} to '
        f'{max(history.requested_at):.1f} ({outcomes}); '
        f'lost at {lost or "-"}; loads {loads or "none"}'
    )


def main(
    path: str,
    store_from: float,
    stated: float = 7.8,
    full_speed_loads: int = 2,
) -> None:
    """Print the names never served, the loads, and the best possible figure.

    :param path: file with the logs.
    :param store_from: when the first load could have begun, seconds.
    :param stated: seconds of a load at full speed.
    :param full_speed_loads: loads that the store serves at once at full speed.
    """
    with Path(path).open(encoding='utf-8') as lines:
        day = read_day(lines)
    starved = day.starved()
    for starved_name, history in starved.items():
        print(_describe(starved_name, history))
    for began_at, end, model in day.cold_loads():
        note = ' (never served)' if model in starved else ''
        print(f'store {began_at:.1f} to {end} {model}{note}')
    uses = day.load_uses()
    print(', '.join(f'{uses[use]} loads: {use}' for use in sorted(uses)))
    histories = day.history_by_name.values()
    lasting = sum(one.is_lasting() for one in histories)
    chances = day.last_chances()
    most = most_served(chances, store_from + stated, stated / full_speed_loads)
    print(
        f'{len(starved)} of {lasting} names never served; {len(chances)} '
        f'needed the store, {len(chances) - most} are left at best'
    )


if __name__ == '__main__':
    fire.Fire(main)
