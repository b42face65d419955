"""Targets in the view that a leader sends to instances."""

from typing import Any

from cowsliprack.protocol.gateway_messages import LeaderView, TargetView
from cowsliprack.state.target_registry import (
    TargetRecord,
    TargetRegistry,
    TargetState,
)


def registry_changes(registry: TargetRegistry, revision: int) -> dict[str, Any]:
    """Return the fields of a view that bring a member's targets up to date.

    :param registry: targets as the leader has read them.
    :param revision: revision of the member's targets.
    """
    is_complete = not registry.shares_history(revision)
    changed, gone = registry.changes_since(-1 if is_complete else revision)
    return {
        'registry_revision': registry.revision,
        'targets': tuple(_target_view(record) for record in changed),
        'targets_gone': () if is_complete else tuple(gone),
        'targets_complete': is_complete,
    }


def apply_relayed_targets(registry: TargetRegistry, view: LeaderView) -> bool:
    """Apply the targets of a leader's view; return whether they were accepted.

    :param registry: targets of this instance.
    :param view: sent by the leader.
    """
    relayed = [_relayed_record(target) for target in view.targets]
    if view.targets_complete:
        return registry.replace(relayed, view.registry_revision)
    return registry.apply(
        relayed, list(view.targets_gone), view.registry_revision
    )


def _target_view(record: TargetRecord) -> TargetView:
    """Return the view of a target that is sent to instances.

    :param record: the target as read from the store.
    """
    return TargetView(
        target_id=record.target_id,
        service=record.service,
        address=record.address,
        zone=record.zone,
        slots=record.slots,
        state=record.state.value,
        born=record.born,
    )


def _relayed_record(view: TargetView) -> TargetRecord:
    """Return the record of a relayed target; its models are sent separately.

    :param view: the view sent by the leader.
    """
    return TargetRecord(
        target_id=view.target_id,
        service=view.service,
        address=view.address,
        zone=view.zone,
        slots=view.slots,
        state=TargetState(view.state),
        born=view.born,
    )
