"""Loads ahead of demand that recurs each week."""

from cowsliprack.coordination.idle import Costs, costs_of
from cowsliprack.coordination.loads import plan_ahead
from cowsliprack.coordination.zone_actions import ZoneAction
from cowsliprack.coordination.zone_state import ZoneState
from cowsliprack.state.configuration import Deployment

# Seconds before the hour at which loads for it may begin.
_LEAD_SECONDS = 120.0
# A replica that is loaded ahead waits half of the hour on average.
_EXPECTED_WAIT_SECONDS = 1800.0
# Seconds between looks at the forecast.
_PAUSE_SECONDS = 30.0


def load_ahead(state: ZoneState, now: float) -> list[ZoneAction]:
    """Return loads for demand that other weeks had at this time.

    :param state: of this term.
    :param now: seconds.
    """
    if now - state.forecast_at < _PAUSE_SECONDS:
        return []
    state.forecast_at = now
    wall_time = now + state.wall_offset
    state.usage.weekly.advance(wall_time)
    actions: list[ZoneAction] = []
    expected = state.usage.weekly.expected(wall_time + _LEAD_SECONDS)
    for name, chance in sorted(expected.items()):
        deployment = state.configuration.deployments_by_name.get(name)
        if deployment is None or state.orders.table.of_deployment(name):
            continue
        if is_worth_it(chance, _costs(state, deployment)):
            actions.extend(plan_ahead(state, deployment, 'weekly', now))
    return actions


def is_worth_it(chance: float, costs: Costs) -> bool:
    """Return whether a load ahead costs less than the cold start it saves.

    :param chance: part of weeks with a use in that hour.
    :param costs: of the deployment.
    """
    return chance * costs.cold_start > costs.idle * _EXPECTED_WAIT_SECONDS


def _costs(state: ZoneState, deployment: Deployment) -> Costs:
    parts = [
        state.accelerator_part(engine_status.target, deployment.memory)
        for engine_status in state.engine_statuses.by_target.values()
        if engine_status.target.pool == deployment.pool
    ]
    part = min(parts, default=1)
    return costs_of(deployment, state.configuration.policy, part)
