"""Forwards demand for deployments that only other zones can load."""

from cowsliprack.coordination.loads import refuse
from cowsliprack.coordination.placement import Refusal
from cowsliprack.coordination.zone_actions import ForwardDemand, ZoneAction
from cowsliprack.coordination.zone_demand import Demand
from cowsliprack.coordination.zone_state import ZoneState
from cowsliprack.exceptions import ErrorKind
from cowsliprack.protocol.peer import DemandReport

_FORWARD_INTERVAL_SECONDS = 0.5
# A zone whose leader sends nothing for this long counts as unreachable.
_ZONE_TIMEOUT_SECONDS = 5.0
_RETRY_DELAY_SECONDS = 5.0
# Requests wait at most this long for the allowance of a new deployment.
_MAX_PENDING_WAIT_SECONDS = 3.0
_NEVER = float('-inf')
# Prefix of the sender of forwarded demand, which is not forwarded again.
FORWARDED_SENDER_PREFIX = 'zone:'


class DemandForwarder:
    """Forwards demand to a zone that may load the deployment.

    :param state: state of this term.
    """

    def __init__(self, state: ZoneState) -> None:
        """Start without contact to any zone."""
        self._state = state
        self._last_contact_by_zone: dict[str, float] = {}
        self._forwarded_at_by_deployment: dict[str, float] = {}

    def record_contact(self, zone: str, now: float) -> None:
        """Record a message from the leader of another zone.

        :param zone: zone of the sender.
        :param now: seconds.
        """
        self._last_contact_by_zone[zone] = now

    def forward(self, now: float) -> list[ZoneAction]:
        """Forward or refuse the demand that this zone cannot meet.

        :param now: seconds.
        """
        actions: list[ZoneAction] = []
        for demand in self._state.demand.every():
            actions.extend(self._forward(demand, now))
        return actions

    def _forward(self, demand: Demand, now: float) -> list[ZoneAction]:
        state = self._state
        name = demand.deployment
        deployment = state.configuration.deployments_by_name.get(name)
        if deployment is None:
            refusal = Refusal(
                ErrorKind.cold_start_unavailable,
                'deployment unknown to the leader',
                1,
            )
            return refuse(state, demand, refusal)
        if state.may_load(deployment, now):
            return []
        has_allowance = state.allowances.allowed(deployment) > 0
        if not has_allowance and state.orders.table.of_deployment(name):
            return []
        forwarded_at = self._forwarded_at_by_deployment.get(name, _NEVER)
        if now - forwarded_at < _FORWARD_INTERVAL_SECONDS:
            return []
        zones = [
            zone
            for zone in state.allowances.other_zones(deployment)
            if now - self._last_contact(zone) < _ZONE_TIMEOUT_SECONDS
        ]
        if not zones or _is_from_other_zones(demand):
            # The allowances of a new deployment may not be written yet.
            pending = state.allowances.is_pending(deployment)
            may_wait = (
                demand.waited < _MAX_PENDING_WAIT_SECONDS and not state.degraded
            )
            if pending and may_wait:
                return []
            refusal = Refusal(
                ErrorKind.cold_start_unavailable,
                'no reachable zone may load it',
                _RETRY_DELAY_SECONDS,
            )
            return refuse(state, demand, refusal)
        self._forwarded_at_by_deployment[name] = now
        report = DemandReport(
            name,
            demand.waiting,
            max(0, demand.deadline - now),
            demand.waited,
            priority=demand.priority,
        )
        return [ForwardDemand(zones[0], report)]

    def _last_contact(self, zone: str) -> float:
        return self._last_contact_by_zone.get(zone, _NEVER)


def _is_from_other_zones(demand: Demand) -> bool:
    return all(
        sender.startswith(FORWARDED_SENDER_PREFIX) for sender in demand.senders
    )
