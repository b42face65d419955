"""Log lines of the leader's decisions on replicas."""

from cowsliprack.coordination.busy_models import ReplicaDecision
from cowsliprack.coordination.region_state import RegionState
from cowsliprack.logs import log_decision


def log_replica_decisions(state: RegionState) -> None:
    """Write a line for each decision since the last call.

    :param state: of the leader.
    """
    for service, scheduler in state.schedulers_by_service.items():
        for decision in scheduler.busy_models.take_decisions():
            _log(service, decision)


def _log(service: str, decision: ReplicaDecision) -> None:
    log_decision(
        'replicas',
        decision.replicas,
        decision.reason,
        service=service,
        model=decision.model,
        before=decision.before,
        running=round(decision.running, 1),
        least_load=round(decision.least_load, 1),
        mean_load=round(decision.mean_load, 1),
        troubles=round(decision.troubles, 2),
        by_zone=dict(decision.by_zone),
    )
