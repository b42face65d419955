"""Conversion of targets for the view that a leader sends to instances."""

from cowsliprack.protocol.gateway_messages import TargetView
from cowsliprack.state.target_registry import TargetRecord, TargetState


def target_view(record: TargetRecord) -> TargetView:
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


def relayed_record(view: TargetView) -> TargetRecord:
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
