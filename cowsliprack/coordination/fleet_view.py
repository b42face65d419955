"""Targets that can run a request, as known to one instance.

Targets register themselves. The models loaded on an engine change more often
than its registration, so the leader's view has precedence while it is fresh.
"""

import math
from dataclasses import dataclass, field

from cowsliprack.coordination.absent_models import KnownAbsences
from cowsliprack.coordination.freshness import Freshness
from cowsliprack.coordination.known_weight_store import (
    KnownWeightStore,
    WeightStoreRecord,
)
from cowsliprack.coordination.load_queue import KnownLoadsDue
from cowsliprack.protocol.gateway_messages import EngineView, LeaderView
from cowsliprack.state.target_registry import (
    TargetRecord,
    TargetRegistry,
    TargetState,
)

# Age of the leader's last view from which the registrations are used instead.
# A leader's lease lapses at about the same time.
_VIEW_LIFETIME_SECONDS = 5.0
# Seconds for which an engine may still get requests after its announcement that
# it leaves was seen. It serves for 2 s at least after the announcement, which
# may have taken some tenths of a second to arrive.
_LAST_USE_SECONDS = 0.8
# An instance counts as isolated after this time without a leader's view and
# without a read of the store: no model will be loaded for its requests, and its
# list of targets may be out of date.
_ISOLATED_AFTER_SECONDS = 2.0


@dataclass(slots=True)
class FleetView:
    """Registered targets and the leader's view of the engines.

    :param updated_at: time of the leader's last view, seconds.
    :param absences: models that lie on no engine.
    :param loads_due: when loads of such models that have not begun are due.
    :param weight_store: what is known of the store that they come from.
    :param ready_ids: targets that were ready when the registry last changed.
    :param draining_since_by_id: when targets that had been ready before were
        first seen draining, seconds.
    """

    registry: TargetRegistry = field(default_factory=TargetRegistry)
    views_by_id: dict[str, EngineView] = field(default_factory=dict)
    updated_at: float = float('-inf')
    absences: KnownAbsences = field(default_factory=KnownAbsences)
    loads_due: KnownLoadsDue = field(default_factory=KnownLoadsDue)
    weight_store: KnownWeightStore = field(default_factory=KnownWeightStore)
    ready_ids: set[str] = field(default_factory=set)
    draining_since_by_id: dict[str, float] = field(default_factory=dict)
    _rejected: set[tuple[str, str, str]] = field(default_factory=set)

    def apply_view(
        self,
        engines: tuple[EngineView, ...],
        removed_ids: tuple[str, ...],
        now: float,
        *,
        is_full: bool,
    ) -> None:
        """Apply a full view or a change of the leader's view.

        :param engines: new or changed ones, all of them in a full view.
        :param removed_ids: ids of removed engines.
        :param now: seconds.
        :param is_full: replaces all earlier views.
        """
        self.updated_at = now
        if is_full:
            self.views_by_id.clear()
            self._rejected.clear()
        for target_id in removed_ids:
            self.views_by_id.pop(target_id, None)
        changed = {view.target_id: view for view in engines}
        self.views_by_id.update(changed)
        self._rejected = {
            entry for entry in self._rejected if entry[0] not in changed
        }

    def apply_loads(self, view: LeaderView, now: float) -> None:
        """Apply what a view tells of the weight store and of loads from it.

        :param view: of a leader.
        :param now: seconds.
        """
        is_full = not view.base
        self.absences.apply(view.absences, now, is_full=is_full)
        self.loads_due.apply(view.loads_due, now, is_full=is_full)
        self.weight_store.apply_view(view.store_limits)

    def weight_store_record(self, now: float) -> WeightStoreRecord:
        """Return what the lease object states of the weight store.

        :param now: seconds.
        """
        loads = self.absences.loads_under_way()
        return self.weight_store.to_record(loads, now)

    def candidates(
        self,
        service: str,
        model: str,
        adapter: str,
        now: float,
    ) -> list[TargetRecord]:
        """Return the targets that can run a request now.

        :param service: of the route.
        :param model: empty for a plain service.
        :param adapter: empty for the model itself.
        :param now: seconds.
        """
        ready = self.registry.ready_targets(service)
        if not model:
            return ready
        return [
            record
            for record in ready
            if self._has_model(record, model, adapter, now)
        ]

    def may_run(
        self,
        target_id: str,
        service: str,
        model: str,
        adapter: str,
        now: float,
    ) -> bool:
        """Return whether a target is of a service and holds a model.

        Unlike :meth:`candidates` this does not tell whether it is ready.

        :param target_id: id of the target.
        :param service: of the route.
        :param model: empty for a plain service.
        :param adapter: empty for the model itself.
        :param now: seconds.
        """
        record = self.registry.records_by_id.get(target_id)
        if record is None or record.service != service:
            return False
        return not model or self._has_model(record, model, adapter, now)

    def leaving_candidates(
        self,
        service: str,
        model: str,
        adapter: str,
        now: float,
    ) -> list[TargetRecord]:
        """Return the engines that have just announced that they leave.

        :param service: of the route.
        :param model: that they hold.
        :param adapter: empty for the model itself.
        :param now: seconds.
        """
        return [
            record
            for record in self.registry.draining_targets(service)
            if self._may_use_last(record, now)
            and self._has_model(record, model, adapter, now)
        ]

    def registry_changed(self, now: float) -> None:
        """Record which targets have begun to drain.

        Of a target that was not seen ready, it is unknown for how long it has
        been draining.

        :param now: seconds.
        """
        states_by_id = {
            target_id: record.state
            for target_id, record in self.registry.records_by_id.items()
        }
        draining_ids = {
            target_id
            for target_id, state in states_by_id.items()
            if state is TargetState.draining
        }
        known = self.draining_since_by_id
        self.draining_since_by_id = {
            target_id: known.get(target_id, now)
            for target_id in draining_ids
            if target_id in known or target_id in self.ready_ids
        }
        self.ready_ids = set(states_by_id) - draining_ids

    def seconds_until_loaded(
        self, service: str, model: str, now: float
    ) -> float:
        """Return when a model that lies on no engine will be loaded.

        :param service: of the route.
        :param model: its name.
        :param now: seconds.
        :returns: 0 for other models, and while the leader is silent; ``inf``
            if no load is under way.
        """
        if now - self.updated_at >= _VIEW_LIFETIME_SECONDS:
            return 0
        return self.absences.seconds_until_loaded(service, model, now)

    def mark_missing(self, target_id: str, model: str, adapter: str) -> None:
        """Exclude an engine that answered that it lacks a model or adapter.

        Applies until the leader sends a new view of that engine.

        :param target_id: of the engine.
        :param model: its name.
        :param adapter: empty for the model itself.
        """
        self._rejected.add((target_id, model, adapter))

    def _may_use_last(self, record: TargetRecord, now: float) -> bool:
        since = self.draining_since_by_id.get(record.target_id, -math.inf)
        return now - since < _LAST_USE_SECONDS

    def _has_model(
        self,
        record: TargetRecord,
        model: str,
        adapter: str,
        now: float,
    ) -> bool:
        if (record.target_id, model, adapter) in self._rejected:
            return False
        view = self.views_by_id.get(record.target_id)
        is_fresh = now - self.updated_at < _VIEW_LIFETIME_SECONDS
        if view is not None and is_fresh and view.born == record.born:
            adapters = view.adapters_by_model.get(model)
            return adapters is not None and (not adapter or adapter in adapters)
        holding = record.loaded_models_by_name.get(model)
        if holding is None:
            return False
        return not adapter or adapter in holding.adapters


def is_isolated(fleet: FleetView, freshness: Freshness, now: float) -> bool:
    """Return whether an instance has neither a leader nor the store.

    :param fleet: targets as the instance knows them.
    :param freshness: age of its last read of the store.
    :param now: seconds.
    """
    since_leader = now - fleet.updated_at
    return min(since_leader, freshness.age(now)) > _ISOLATED_AFTER_SECONDS
