"""Decides whether an instance reaches any target of a service.

An instance may lose its paths to all targets while its callers and the other
instances still reach it. Single targets that crash or fall silent are no such
loss, so the loss is concluded only when a sample of the targets is checked.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from cowsliprack.coordination.target_selector import TargetSelector
from cowsliprack.state.target_registry import TargetRecord, TargetRegistry

# Seconds without a response from which a target is taken as a sign of a lost
# path. Streams send events many times a second.
_SUSPICIOUS_SILENCE_SECONDS = 0.5
# Number of targets that are checked at once.
_SAMPLE_SIZE = 3


@dataclass(slots=True)
class Reachability:
    """Services of which an instance reaches no target.

    :param selector: health of the targets as requests show it.
    :param cut_off_since_by_service: when the loss was found, seconds.
    """

    registry: TargetRegistry
    selector: TargetSelector
    rng: random.Random = field(default_factory=random.Random)
    cut_off_since_by_service: dict[str, float] = field(default_factory=dict)

    def is_cut_off(self, service: str) -> bool:
        """Return whether no target of a service is reached.

        :param service: its name.
        """
        return service in self.cut_off_since_by_service

    def cut_off_services(self) -> frozenset[str]:
        """Return the services of which no target is reached."""
        return frozenset(self.cut_off_since_by_service)

    def targets_to_check(self, service: str, now: float) -> list[TargetRecord]:
        """Return the targets to check now; none while there is no suspicion.

        :param service: its name.
        :param now: seconds.
        """
        ready = self.registry.ready_targets(service)
        if not self.is_cut_off(service) and not any(
            self._is_suspicious(record, now) for record in ready
        ):
            return []
        return self.rng.sample(ready, min(len(ready), _SAMPLE_SIZE))

    def record_checks(
        self,
        service: str,
        reached_ids: set[str],
        since: float,
        now: float,
    ) -> bool:
        """Apply the results of checks; return whether the state has changed.

        :param service: its name.
        :param reached_ids: checked targets that answered.
        :param since: when the checks began, seconds.
        :param now: seconds.
        """
        # No answer says nothing of a single target: a busy one lets a check
        # wait like any request.
        for target_id in reached_ids:
            self.selector.record_reached(target_id)
        is_reached = bool(reached_ids) or any(
            self.selector.has_answered_since(target.target_id, since)
            for target in self.registry.ready_targets(service)
        )
        if is_reached:
            return self.cut_off_since_by_service.pop(service, None) is not None
        is_new = service not in self.cut_off_since_by_service
        self.cut_off_since_by_service.setdefault(service, now)
        return is_new

    def forget(self, services: Iterable[str]) -> None:
        """Forget services that are no longer configured.

        :param services: the configured ones.
        """
        for service in set(self.cut_off_since_by_service) - set(services):
            self.cut_off_since_by_service.pop(service)

    def _is_suspicious(self, record: TargetRecord, now: float) -> bool:
        silence = self.selector.silence(record.target_id, now)
        return silence > _SUSPICIOUS_SILENCE_SECONDS or (
            self.selector.has_failed(record.target_id, now)
        )
