"""What instances know of the weight store before one of them leads.

The views of a leader tell its members. The lease object records the same, as
nothing else states it after a loss of all instances.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated

import msgspec
import structlog

from cowsliprack.coordination.cold_loads import INITIAL_COLD_LOADS

_log = structlog.get_logger('cowsliprack.region')

# Expected ends of loads, seconds on the own clock, by service and model.
LoadEnds = Mapping[tuple[str, str], float]

# Largest list of loads in the lease, as JSON: about 100 loads. Longer ones are
# left out, as the store refuses large objects.
_MAX_LOADS_BYTES = 4_000

_Limit = Annotated[int, msgspec.Meta(ge=1)]
_Seconds = Annotated[float, msgspec.Meta(ge=0)]


@dataclass(frozen=True, slots=True)
class WeightStoreRecord:
    """What the lease object states of the weight store.

    :param limits: by service, concurrent loads that it serves at full speed,
        as far as that has been measured.
    :param loads: by service and model, seconds until the loads under way are
        expected to end.
    """

    limits: Mapping[str, int] = field(default_factory=dict)
    loads: Mapping[str, Mapping[str, float]] = field(default_factory=dict)

    def fields(self) -> dict[str, object]:
        """Return the fields of the lease object."""
        fields: dict[str, object] = {}
        if self.limits:
            fields['store_limits'] = self.limits
        size = len(msgspec.json.encode(self.loads))
        if self.loads and size <= _MAX_LOADS_BYTES:
            fields['store_loads'] = self.loads
        return fields


def parse_weight_store(body: Mapping[str, object]) -> WeightStoreRecord:
    """Return what a lease object states of the weight store.

    :param body: body of the lease object.
    """
    try:
        return WeightStoreRecord(
            msgspec.convert(body.get('store_limits', {}), dict[str, _Limit]),
            msgspec.convert(
                body.get('store_loads', {}), dict[str, dict[str, _Seconds]]
            ),
        )
    except msgspec.ValidationError as error:
        _log.warning('lease_weight_store_malformed', error=str(error))
        return WeightStoreRecord()


@dataclass(slots=True)
class KnownWeightStore:
    """What an instance knows from views, before these from the lease object.

    :param limits: see ``WeightStoreRecord``, but with limits that have not
        been measured.
    :param recorded_loads: loads that only the lease object names; they may
        have ended long ago.
    """

    limits: Mapping[str, int] = field(default_factory=dict)
    recorded_loads: LoadEnds = field(default_factory=dict)
    _inherited: WeightStoreRecord = WeightStoreRecord()
    _is_viewed: bool = False

    def apply_view(self, limits: Mapping[str, int]) -> None:
        """Apply the limits that a view names.

        :param limits: empty in views of earlier builds.
        """
        self.limits = limits or self.limits
        self.recorded_loads = {}
        self._is_viewed = True

    def inherit(self, record: WeightStoreRecord, now: float) -> None:
        """Apply what the lease object states, until the first view.

        :param record: as last read.
        :param now: seconds.
        """
        if self._is_viewed or record == self._inherited:
            return
        self._inherited = record
        self.limits = record.limits or self.limits
        self.recorded_loads = {
            (service, model): now + seconds
            for service, loads in record.loads.items()
            for model, seconds in loads.items()
        }
        _log.info(
            'weight_store_inherited',
            limits=dict(record.limits),
            loads={service: list(one) for service, one in record.loads.items()},
        )

    def to_record(self, loads: LoadEnds, now: float) -> WeightStoreRecord:
        """Return what the lease object states of the weight store.

        A leader that begins with the initial limit may lower it at once, one
        that has inherited a limit not before the loads of the last leader have
        ended. So the initial limit is not recorded.

        :param loads: loads under way that views have told of.
        :param now: seconds.
        """
        limits = {
            service: limit
            for service, limit in self.limits.items()
            if limit != INITIAL_COLD_LOADS
        }
        ends = {**self.recorded_loads, **loads}
        return WeightStoreRecord(limits, _seconds_by_service(ends, now))


def _seconds_by_service(
    ends: LoadEnds, now: float
) -> dict[str, dict[str, float]]:
    by_service: dict[str, dict[str, float]] = {}
    for (service, model), ends_at in ends.items():
        seconds = round(ends_at - now, 3)
        if seconds > 0:
            by_service.setdefault(service, {})[model] = seconds
    return by_service
