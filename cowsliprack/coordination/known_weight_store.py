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

_StoreLimits = dict[str, Annotated[int, msgspec.Meta(ge=1)]]


@dataclass(frozen=True, slots=True)
class WeightStoreRecord:
    """What the lease object states of the weight store.

    :param limits: by service, concurrent loads that it serves at full speed,
        as far as that has been measured.
    """

    limits: Mapping[str, int] = field(default_factory=dict)

    def fields(self) -> dict[str, object]:
        """Return the fields of the lease object."""
        return {'store_limits': dict(self.limits)} if self.limits else {}


def parse_weight_store(body: Mapping[str, object]) -> WeightStoreRecord:
    """Return what a lease object states of the weight store.

    :param body: body of the lease object.
    """
    try:
        limits = msgspec.convert(body.get('store_limits', {}), _StoreLimits)
    except msgspec.ValidationError as error:
        _log.warning('lease_weight_store_malformed', error=str(error))
        return WeightStoreRecord()
    return WeightStoreRecord(limits)


@dataclass(slots=True)
class KnownWeightStore:
    """What an instance knows from views, before these from the lease object.

    :param limits: see ``WeightStoreRecord``, but with limits that have not
        been measured.
    """

    limits: Mapping[str, int] = field(default_factory=dict)
    _is_viewed: bool = False

    def apply_view(self, limits: Mapping[str, int]) -> None:
        """Apply the limits that a view names.

        :param limits: empty in views of earlier builds.
        """
        self.limits = limits or self.limits
        self._is_viewed = True

    def inherit(self, record: WeightStoreRecord) -> None:
        """Apply what the lease object states, until the first view.

        :param record: as last read.
        """
        if self._is_viewed or not record.limits:
            return
        if record.limits != self.limits:
            _log.info('weight_store_inherited', limits=dict(record.limits))
        self.limits = record.limits

    def to_record(self) -> WeightStoreRecord:
        """Return what the lease object states of the weight store.

        A leader that begins with the initial limit may lower it at once, one
        that has inherited a limit not before the loads of the last leader have
        ended. So the initial limit is not recorded.
        """
        return WeightStoreRecord(
            {
                service: limit
                for service, limit in self.limits.items()
                if limit != INITIAL_COLD_LOADS
            }
        )
