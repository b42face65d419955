"""Targets in the view that a leader sends to instances."""

from typing import Any

from cowsliprack.protocol.gateway_messages import (
    LeaderView,
    MemberReport,
    TargetView,
)
from cowsliprack.protocol.message_level import OVERLOAD_LEVEL, message_level
from cowsliprack.state.evacuations import Evacuations
from cowsliprack.state.store_version import era_of, join_version, revision_of
from cowsliprack.state.target_registry import (
    TargetRecord,
    TargetRegistry,
    TargetState,
)


def stated_version(registry: TargetRegistry) -> dict[str, int]:
    """Return the fields of a message that state the version of the targets.

    Era and revision are two fields, as instances of earlier builds know the
    revision only.

    :param registry: targets of the sender.
    """
    if registry.revision < 0:
        return {'registry_revision': -1, 'registry_era': -1}
    return {
        'registry_revision': revision_of(registry.revision),
        'registry_era': era_of(registry.revision),
    }


def registry_changes(
    registry: TargetRegistry, report: MemberReport
) -> dict[str, Any]:
    """Return the fields of a view that bring a member's targets up to date.

    :param registry: targets as the leader has read them.
    :param report: of the member.
    """
    revision = _read_version(registry, report)
    is_complete = not registry.shares_history(revision)
    changed, gone = registry.changes_since(-1 if is_complete else revision)
    return {
        **stated_version(registry),
        'targets': tuple(_target_view(record) for record in changed),
        'targets_gone': () if is_complete else tuple(gone),
        'targets_complete': is_complete,
        **_relayed_evacuations(registry.evacuations, report),
    }


def _relayed_evacuations(
    evacuations: Evacuations, report: MemberReport
) -> dict[str, Any]:
    is_known = message_level(report.boot) >= OVERLOAD_LEVEL
    if not is_known or evacuations.revision < 0:
        return {}
    return {
        'evacuations_revision': revision_of(evacuations.revision),
        'evacuations_era': era_of(evacuations.revision),
        'evacuated_zones': tuple(sorted(evacuations.zones)),
    }


def apply_relayed_targets(registry: TargetRegistry, view: LeaderView) -> bool:
    """Apply the targets of a leader's view; return whether they were accepted.

    :param registry: targets of this instance.
    :param view: sent by the leader.
    """
    relayed = [_relayed_record(target) for target in view.targets]
    version = _read_version(registry, view)
    if view.targets_complete:
        return registry.replace(relayed, version)
    return registry.apply(relayed, list(view.targets_gone), version)


def _read_version(
    registry: TargetRegistry, message: MemberReport | LeaderView
) -> int:
    """Return the version that a message states.

    One that states no era is of an earlier build and counts as of the era that
    is known here.
    """
    if message.registry_revision < 0:
        return -1
    era = message.registry_era
    if era < 0:
        era = max(era_of(registry.revision), 0)
    return join_version(era, message.registry_revision)


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
        software_version=record.software_version,
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
        software_version=view.software_version,
    )
