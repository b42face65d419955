"""Preloads deployments for demand that recurs each week."""

from cowsliprack.coordination.idle import Costs, idle_costs
from cowsliprack.coordination.loads import plan_preload
from cowsliprack.coordination.zone_actions import ZoneAction
from cowsliprack.coordination.zone_state import ZoneState
from cowsliprack.state.configuration import Deployment

# Preloads start this long before the hour in which demand is expected.
_PRELOAD_LEAD_SECONDS = 120.0
# A preloaded replica waits half of the hour for its first use on average.
_EXPECTED_IDLE_SECONDS = 1800.0
_FORECAST_INTERVAL_SECONDS = 30.0


def plan_recurring_preloads(state: ZoneState, now: float) -> list[ZoneAction]:
    """Plan preloads for demand that earlier weeks had at this time.

    :param state: state of this term.
    :param now: seconds.
    """
    if now - state.forecast_checked_at < _FORECAST_INTERVAL_SECONDS:
        return []
    state.forecast_checked_at = now
    wall_time = now + state.wall_clock_offset
    state.usage.weekly.advance(wall_time)
    actions: list[ZoneAction] = []
    probabilities = state.usage.weekly.usage_probabilities(
        wall_time + _PRELOAD_LEAD_SECONDS
    )
    for name, probability in sorted(probabilities.items()):
        deployment = state.configuration.deployments_by_name.get(name)
        if deployment is None or state.orders.table.of_deployment(name):
            continue
        if is_preload_worthwhile(probability, _costs(state, deployment)):
            actions.extend(plan_preload(state, deployment, 'weekly', now))
    return actions


def is_preload_worthwhile(probability: float, costs: Costs) -> bool:
    """Return whether a preload costs less than the cold start it avoids.

    :param probability: fraction of weeks with a use in that hour.
    :param costs: costs of the deployment.
    """
    return probability * costs.cold_start > costs.idle * _EXPECTED_IDLE_SECONDS


def _costs(state: ZoneState, deployment: Deployment) -> Costs:
    accelerators = [
        state.accelerators_used(engine_status.target, deployment.memory)
        for engine_status in state.engine_statuses.by_target.values()
        if engine_status.target.pool == deployment.pool
    ]
    fewest = min(accelerators, default=1)
    return idle_costs(deployment, state.configuration.policy, fewest)
