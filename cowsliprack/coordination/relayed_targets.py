"""Registered targets as a leader tells them to the instances of its region."""

from cowsliprack.protocol.gateway_messages import TargetView
from cowsliprack.state.target_registry import TargetRecord, TargetState


def target_view(record: TargetRecord) -> TargetView:
    """Return what is told of a target.

    :param record: as read from the store.
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


def relayed_record(view: TargetView) -> TargetRecord:
    """Return a target as it was told; what it holds is told separately.

    :param view: of the leader.
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
