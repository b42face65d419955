"""Which targets can run a request, as one instance knows them.

Targets register themselves; what engines hold changes more often than they
register it, so what the leader says goes before it while the leader is heard.
"""

from dataclasses import dataclass, field

from cowsliprack.protocol.gateway_messages import EngineView
from cowsliprack.state.target_registry import TargetRecord, TargetRegistry

# Seconds without a view of the leader after which the registered holdings
# count. A leader's lease lapses at about the same time.
_TRUST_SECONDS = 5.0


@dataclass(slots=True)
class FleetView:
    """Targets and what the leader has engines hold.

    :param heard_at: when the last view came, seconds.
    """

    registry: TargetRegistry = field(default_factory=TargetRegistry)
    views_by_id: dict[str, EngineView] = field(default_factory=dict)
    heard_at: float = float('-inf')
    _missing: set[tuple[str, str, str]] = field(default_factory=set)

    def take(
        self,
        engines: tuple[EngineView, ...],
        gone: tuple[str, ...],
        now: float,
        *,
        whole: bool,
    ) -> None:
        """Take what the leader says.

        :param engines: new or changed.
        :param gone: ids of engines that left.
        :param now: seconds.
        :param whole: every engine is among them.
        """
        self.heard_at = now
        if whole:
            self.views_by_id.clear()
            self._missing.clear()
        for target_id in gone:
            self.views_by_id.pop(target_id, None)
        changed = {view.target_id: view for view in engines}
        self.views_by_id.update(changed)
        self._missing = {
            entry for entry in self._missing if entry[0] not in changed
        }

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
            if self._holds(record, model, adapter, now)
        ]

    def mark_missing(self, target_id: str, model: str, adapter: str) -> None:
        """Note that an engine said it lacks a model or adapter.

        Holds until the leader says something new of that engine.

        :param target_id: of the engine.
        :param model: its name.
        :param adapter: empty for the model itself.
        """
        self._missing.add((target_id, model, adapter))

    def _holds(
        self,
        record: TargetRecord,
        model: str,
        adapter: str,
        now: float,
    ) -> bool:
        if (record.target_id, model, adapter) in self._missing:
            return False
        view = self.views_by_id.get(record.target_id)
        trusted = now - self.heard_at < _TRUST_SECONDS
        if view is not None and trusted and view.born == record.born:
            adapters = view.adapters_by_model.get(model)
            return adapters is not None and (not adapter or adapter in adapters)
        holding = record.holdings_by_model.get(model)
        if holding is None:
            return False
        return not adapter or adapter in holding.adapters
