"""Conditions of targets that limit the requests of all instances together.

An instance learns of them from the store, from answers and from its leader.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from cowsliprack.coordination.target_selector import TargetSelector
from cowsliprack.logs import log_decision
from cowsliprack.protocol.dialect import HeaderPairs, TargetNotice
from cowsliprack.protocol.gateway_messages import LeaderView
from cowsliprack.state.routing_table import RoutingTable
from cowsliprack.state.target_registry import TargetRecord, TargetRegistry
from cowsliprack.transport.evacuation_feed import EvacuationFeed


@dataclass(slots=True)
class TargetConditions:
    """Cold targets and evacuated zones, as one instance knows them.

    :param table: returns the active routing table.
    :param read_notice: returns what a target's response (status, headers) says
        of the target.
    :param changed: called after each change of the evacuated zones.
    :param reads_evacuations: returns whether this instance must read the
        evacuated zones itself; a leader of an earlier build does not relay
        them.
    :param report_due: called when the leader should learn of a cold target.
    :param clock: seconds; must keep running during suspension.
    """

    registry: TargetRegistry
    selector: TargetSelector
    table: Callable[[], RoutingTable]
    read_notice: Callable[[int, HeaderPairs], TargetNotice]
    changed: Callable[[], None]
    reads_evacuations: Callable[[], bool]
    report_due: Callable[[], None]
    clock: Callable[[], float]
    evacuation_feed: EvacuationFeed = field(init=False)
    _born_by_id: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Begin without a reading."""
        self.evacuation_feed = EvacuationFeed(
            self.registry, self._apply_return, self.changed
        )

    def record_cold(self, record: TargetRecord, seconds: float) -> None:
        """Limit the requests to a target for the time in which it is cold.

        :param record: the target.
        :param seconds: time for which it says that it stays cold; 0 if it does
            not say.
        """
        service = self.table().services_by_name.get(record.service)
        if service is None:
            return
        is_new = self.selector.limits.cold.record(
            record.target_id, service.cold_rate, seconds, self.clock()
        )
        if is_new:
            self.selector.paces.record_start(
                record.target_id, record.slots, self.clock()
            )
            self.report_due()
            log_decision(
                'target_cold',
                record.target_id,
                'its requests are limited while it is cold',
                service=record.service,
                seconds=round(seconds, 3),
                rate=service.cold_rate,
            )

    def record_health(
        self, record: TargetRecord, status: int, headers: HeaderPairs
    ) -> None:
        """Apply what the answer to a health check says.

        :param record: the target that was checked.
        :param status: of the answer.
        :param headers: of the answer.
        """
        notice = self.read_notice(status, headers)
        self.record_cold(record, notice.cold_seconds)

    def apply_view(self, view: LeaderView) -> None:
        """Apply the division of limits, and the zones that the leader relays.

        :param view: view of the leader.
        """
        limits = self.selector.limits
        now = self.clock()
        limits.apply_division(view.limits, view.members, now)
        limits.cold.apply_division(view.cold, now)
        answered = self.selector.paces.apply_views(
            view.paces, view.members, now
        )
        for pace in answered:
            self.selector.record_answered_elsewhere(pace.target_id)
        self.evacuation_feed.apply_view(view)

    def registry_changed(self) -> None:
        """Begin with few requests to targets that have started since."""
        now = self.clock()
        known = self._born_by_id
        self._born_by_id = {
            record.target_id: record.born
            for record in self.registry.records_by_id.values()
        }
        # What was there before this instance is taken to be well.
        started = [
            target_id
            for target_id, born in self._born_by_id.items()
            if known and known.get(target_id) != born
        ]
        for target_id in started:
            slots = self.registry.records_by_id[target_id].slots
            self.selector.paces.record_start(target_id, slots, now)

    def report_fields(self) -> dict[str, Any]:
        """Return the fields of a report for leaders of ``OVERLOAD_LEVEL``."""
        limits = self.selector.limits
        now = self.clock()
        return {
            'cold': limits.cold.uses(limits.wanted, now),
            'paces': self.selector.paces.uses(self.selector.own_by_id, now),
            'outcomes': self.selector.outcomes.counts(),
        }

    def _apply_return(self, record: TargetRecord) -> None:
        """Count a target of a zone that is taken back as cold.

        It may have become cold just before, and says so with its next heartbeat
        only.
        """
        service = self.table().services_by_name.get(record.service)
        if service is not None:
            self.record_cold(record, service.cold_seconds)
