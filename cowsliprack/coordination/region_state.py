"""State that the leader of a region keeps: engines, demand and members."""

import zlib
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

import msgspec

from cowsliprack.coordination.absent_models import AbsenceLedger
from cowsliprack.coordination.known_weight_store import LoadEnds
from cowsliprack.coordination.load_queue import LoadsDueLedger
from cowsliprack.coordination.model_scheduler import GroupDemand, ModelScheduler
from cowsliprack.coordination.request_outcomes import new_troubles
from cowsliprack.coordination.target_limits import (
    AVOIDED_SECONDS,
    ReportedUses,
    divide_cold_limits,
    divide_limits,
    newest_limits,
)
from cowsliprack.coordination.target_pace import RegionPaces
from cowsliprack.protocol.engine import EngineSurvey
from cowsliprack.protocol.gateway_messages import (
    EngineView,
    LeaderView,
    LoadDue,
    MemberReport,
    ModelAbsence,
    PeerView,
    WaitingGroup,
)
from cowsliprack.protocol.message_level import (
    ABSENCES_LEVEL,
    LOADS_DUE_LEVEL,
    OVERLOAD_LEVEL,
    message_level,
)
from cowsliprack.protocol.overload_messages import ColdShare, PaceView
from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.engine_state import EngineOrder, EngineState
from cowsliprack.state.routing_table import RoutingTable
from cowsliprack.state.target_registry import TargetRecord, TargetRegistry

# Seconds without a report after which the demand of an instance is ignored.
_MEMBER_TIMEOUT_SECONDS = 2.0
# Seconds without a byte from an engine after which it is probed; streams send
# events many times a second.
_SUSPECT_SECONDS = 0.5
# Seconds between two probes of an engine.
_CHECK_INTERVAL_SECONDS = 1.0
# Seconds for which a silent instance keeps its share of divided limits, since
# it may still run behind a network partition.
_LIMIT_SHARE_SECONDS = 60.0
# Seconds after which a configuration is sent again to an instance that has not
# reported it; longer than the interval of reports. Copies sent with each view
# would fill the leader's link, since acknowledgements take longer than a plan.
_COPY_INTERVAL_SECONDS = 0.5
# Largest number of members that are told at once of each change of an engine's
# load.
_MAX_TOLD_OF_LOAD = 16
# Placeholder for a latency target that has been missed.
_MISSED_TARGET = float('-inf')


@dataclass(slots=True)
class Member:
    """An instance that reports to this leader.

    :param seen_at: time of its last report, seconds.
    :param stamp: stamp of the last unanswered report; 0 for none.
    :param copied_generation: generation of the last configuration sent to it.
    :param copied_at: when that was sent, seconds.
    :param told_at: when the last view was sent to it, seconds.
    :param is_view_due: whether there is news that no view sent to it holds.
    """

    report: MemberReport
    seen_at: float
    stamp: float = 0
    copied_generation: int = 0
    copied_at: float = float('-inf')
    told_at: float = float('-inf')
    is_view_due: bool = False

    def needs_copy(self, generation: int, now: float) -> bool:
        """Return whether the configuration is due to be sent to it.

        :param generation: generation of the configuration in force.
        :param now: seconds.
        """
        if self.report.generation >= generation:
            return False
        is_sent = self.copied_generation >= generation
        return not is_sent or now - self.copied_at >= _COPY_INTERVAL_SECONDS

    def record_copy(self, generation: int, now: float) -> None:
        """Record that the configuration is sent to it.

        :param generation: generation of the configuration.
        :param now: seconds.
        """
        self.copied_generation = generation
        self.copied_at = now


@dataclass(slots=True)
class RegionState:
    """State of one term of a leader, owned by the task of the term.

    :param fencing: fencing token of the lease.
    :param rotations_by_service: decisions for each service with engines.
    :param first_store_limits: by service, concurrent loads that the weight
        store serves at full speed, as far as earlier leaders knew.
    :param first_loads: by service and model, when a load that the last leader
        has begun is expected to end, seconds.
    :param recorded_loads: such loads that only the lease object names.
    :param first_turns: by service and model, when the last leader expected the
        end of a load that had not begun, seconds.
    :param sequence: incremented with each change of an engine view.
    :param paces: how many requests targets should run at a time.
    """

    fencing: int
    instance_id: str
    address: str
    schedulers_by_service: dict[str, ModelScheduler] = field(
        default_factory=dict
    )
    members_by_id: dict[str, Member] = field(default_factory=dict)
    first_store_limits: Mapping[str, int] = field(default_factory=dict)
    first_loads: Mapping[tuple[str, str], float] = field(default_factory=dict)
    recorded_loads: LoadEnds = field(default_factory=dict)
    first_turns: Mapping[tuple[str, str], float] = field(default_factory=dict)
    sequence: int = 1
    paces: RegionPaces = field(default_factory=RegionPaces)
    _views_by_id: dict[str, EngineView] = field(default_factory=dict)
    _changed_by_id: dict[str, int] = field(default_factory=dict)
    _gone_by_id: dict[str, int] = field(default_factory=dict)
    _absences: AbsenceLedger = field(default_factory=AbsenceLedger)
    _loads_due: LoadsDueLedger = field(default_factory=LoadsDueLedger)
    _limit_reports: list[ReportedUses] = field(default_factory=list)
    _cold_ids: frozenset[str] = frozenset()
    _slots_by_id: dict[str, int] = field(default_factory=dict)
    _peers: tuple[PeerView, ...] = ()
    _peers_digest: int = 0

    def apply_routing_table(self, table: RoutingTable) -> None:
        """Apply the current configuration.

        :param table: the configuration.
        """
        for service in table.services_by_name.values():
            if service.engine is None:
                continue
            scheduler = self.schedulers_by_service.get(service.name)
            if scheduler is None:
                scheduler = ModelScheduler(service.engine)
                limit = self.first_store_limits.get(service.name)
                if limit is not None:
                    scheduler.cold_loads.inherit(limit)
                recorded = _of_service(service.name, self.recorded_loads)
                scheduler.unconfirmed_loads = frozenset(recorded)
                scheduler.earlier_loads = {
                    **recorded,
                    **_of_service(service.name, self.first_loads),
                }
                scheduler.earlier_turns = _of_service(
                    service.name, self.first_turns
                )
                self.schedulers_by_service[service.name] = scheduler
            scheduler.spec = service.engine
        for name in set(self.schedulers_by_service) - set(
            table.services_by_name,
        ):
            self.schedulers_by_service.pop(name)

    def store_limits(self) -> dict[str, int]:
        """Return what is known of the weight store, for the next leader."""
        return {
            service: scheduler.cold_loads.store_limit
            for service, scheduler in self.schedulers_by_service.items()
        }

    def further_replicas(self) -> int:
        """Return the replicas wanted of busy models, beyond one each."""
        return sum(
            scheduler.busy_models.further_replicas()
            for scheduler in self.schedulers_by_service.values()
        )

    def apply_registry(self, registry: TargetRegistry) -> list[EngineState]:
        """Apply the target registry; return the engines to survey.

        :param registry: the registry as last read.
        """
        unknown = []
        self._slots_by_id = {
            target_id: record.slots
            for target_id, record in registry.records_by_id.items()
        }
        self.paces.prune(self._slots_by_id)
        for service, scheduler in self.schedulers_by_service.items():
            records_by_id = {
                record.target_id: record
                for record in registry.service_targets(service)
            }
            for target_id in set(scheduler.engines_by_id) - set(records_by_id):
                scheduler.engines_by_id.pop(target_id)
            for record in records_by_id.values():
                engine = _update_engine(scheduler, record)
                engine.is_evacuated = record.zone in registry.evacuations.zones
                is_open = not engine.surveyed and not engine.surveying
                if is_open and not engine.is_evacuated:
                    unknown.append(engine)
        return unknown

    def apply_report(self, report: MemberReport, now: float) -> bool:
        """Apply the report of an instance; return whether it was new.

        :param report: the report.
        :param now: seconds.
        """
        previous = self.members_by_id.get(report.instance_id)
        if previous is not None and previous.report.boot == report.boot:
            if previous.report.sequence >= report.sequence:
                return False
        self._count_started(previous, report, now)
        self.paces.apply_report(
            report.boot,
            report.paces,
            self._slots_by_id,
            now,
        )
        self._count_outcomes(previous, report, now)
        member = previous or Member(report, now)
        member.report = report
        member.seen_at = now
        member.stamp = report.stamp
        self.members_by_id[report.instance_id] = member
        return True

    def groups(self, service: str, now: float) -> list[GroupDemand]:
        """Return the requests that wait for the engines of a service.

        :param service: its name.
        :param now: seconds.
        """
        by_key: dict[tuple[str, str, str], GroupDemand] = {}
        for member in self._live_members(now):
            age = now - member.seen_at
            for group in member.report.waiting:
                if group.service != service:
                    continue
                key = (group.model, group.adapter, group.software_version)
                by_key[key] = _merge_demand(
                    by_key.get(key),
                    _group_demand(group, now, age),
                )
        return list(by_key.values())

    def member_count(self, now: float) -> int:
        """Return the number of instances among which limits are divided.

        :param now: seconds.
        """
        return max(
            1,
            sum(
                now - member.seen_at < _LIMIT_SHARE_SECONDS
                for member in self.members_by_id.values()
            ),
        )

    def suspects(self, now: float) -> list[EngineState]:
        """Return the suspected engines that are due for a probe.

        :param now: seconds.
        """
        return [
            engine
            for scheduler in self.schedulers_by_service.values()
            for engine in scheduler.engines_by_id.values()
            if engine.suspected
            and not engine.is_evacuated
            and engine.may_be_probed()
            and now - engine.probed_at > _CHECK_INTERVAL_SECONDS
        ]

    def refresh_peers(self, now: float) -> bool:
        """Update the list of instances; return whether it has changed.

        :param now: seconds.
        """
        reports = sorted(
            (
                member.report
                for member in self._live_members(now)
                if not member.report.leaving
            ),
            key=lambda report: report.instance_id,
        )
        peers = tuple(
            PeerView(
                report.instance_id, report.address, report.zone, report.boot
            )
            for report in reports
        )
        if peers == self._peers:
            return False
        self._peers = peers
        self._peers_digest = zlib.crc32(msgspec.msgpack.encode(peers))
        return True

    def refresh_views(self, now: float) -> bool:
        """Update the engine views; return whether to tell all members now.

        In a large region, members learn with the answers to their reports how
        busy engines are: it changes with each plan, and views of all engines
        for all members would fill the link of the leader.

        :param now: seconds.
        """
        current = {
            engine.target_id: _engine_view(engine)
            for scheduler in self.schedulers_by_service.values()
            for engine in scheduler.engines_by_id.values()
            if engine.surveyed
        }
        changed = [
            target_id
            for target_id, view in current.items()
            if not _is_unchanged(self._views_by_id.get(target_id), view)
        ]
        gone = set(self._views_by_id) - set(current)
        if not changed and not gone:
            return False
        self.sequence += 1
        is_urgent = bool(gone) or any(
            not _holds_same(
                self._views_by_id.get(target_id), current[target_id]
            )
            for target_id in changed
        )
        for target_id in changed:
            self._changed_by_id[target_id] = self.sequence
            self._views_by_id[target_id] = current[target_id]
        for target_id in gone:
            self._views_by_id.pop(target_id)
            self._changed_by_id.pop(target_id)
            self._gone_by_id[target_id] = self.sequence
        return is_urgent or len(self.members_by_id) <= _MAX_TOLD_OF_LOAD

    def refresh_absences(self, now: float) -> bool:
        """Update the models that lie on no engine, as of the last plan.

        :param now: seconds.
        :returns: whether any has changed.
        """
        loaded_at_by_name = {
            (service, model): loaded_at
            for service, scheduler in self.schedulers_by_service.items()
            for model, loaded_at in scheduler.absent.loaded_at_by_model.items()
        }
        due_at_by_name = {
            (service, model): due_at
            for service, scheduler in self.schedulers_by_service.items()
            for model, due_at in scheduler.loads_due(now).items()
        }
        sequence = self.sequence + 1
        changes = (
            self._absences.update(loaded_at_by_name, sequence),
            self._loads_due.update(due_at_by_name, sequence, now),
        )
        if not any(changes):
            return False
        self.sequence = sequence
        return True

    def view_for(self, member: Member, now: float) -> LeaderView:
        """Return the changes that an instance has not received yet.

        :param member: the instance.
        :param now: seconds.
        """
        report = member.report
        is_current_term = report.view_fencing == self.fencing
        base = report.view_sequence if is_current_term else 0
        stamp = member.stamp
        member.stamp = 0
        digest = self._peers_digest
        level = message_level(report.boot)
        absences: tuple[ModelAbsence, ...] = ()
        if level >= ABSENCES_LEVEL:
            absences = self._absences.changes_since(base, now)
        loads_due: tuple[LoadDue, ...] = ()
        if level >= LOADS_DUE_LEVEL:
            loads_due = self._loads_due.changes_since(base, now)
        cold: tuple[ColdShare, ...] = ()
        paces: tuple[PaceView, ...] = ()
        if level >= OVERLOAD_LEVEL:
            paces = self.paces.views(now)
            cold = divide_cold_limits(
                report.instance_id,
                self._limit_reports,
                self.member_count(now),
            )
        return LeaderView(
            fencing=self.fencing,
            sequence=self.sequence,
            instance_id=self.instance_id,
            address=self.address,
            base=base,
            stamp=stamp,
            engines=tuple(
                self._views_by_id[target_id]
                for target_id, changed in self._changed_by_id.items()
                if changed > base
            ),
            gone=tuple(
                target_id
                for target_id, changed in self._gone_by_id.items()
                if changed > base
            ),
            members=self.member_count(now),
            limits=divide_limits(report.instance_id, self._limit_reports),
            peers=() if report.peers_digest == digest else self._peers,
            peers_digest=digest,
            absences=absences,
            loads_due=loads_due,
            cold=cold,
            paces=paces,
        )

    def apply_limits(self, now: float) -> bool:
        """Apply the limits of targets, for the next views.

        :param now: seconds.
        :returns: whether a target has become cold since the last call.
        """
        self._limit_reports = [
            ReportedUses(
                member.report.instance_id,
                member.report.limits,
                now - member.seen_at,
                member.report.cold,
            )
            for member in self._live_members(now)
            if member.report.limits or member.report.cold
        ]
        newest = newest_limits(self._limit_reports)
        for scheduler in self.schedulers_by_service.values():
            for engine in scheduler.engines_by_id.values():
                stated = newest.get(engine.target_id)
                engine.is_limited = (
                    stated is not None
                    and stated.rate is not None
                    and stated.age < AVOIDED_SECONDS
                )
        known = self._cold_ids
        self._cold_ids = frozenset(
            use.target_id for one in self._limit_reports for use in one.cold
        )
        return not self._cold_ids <= known

    def successors(self, now: float) -> list[str]:
        """Return the other instances that reach the engines.

        :param now: seconds.
        """
        return [
            member.report.instance_id
            for member in self._live_members(now)
            if member.report.instance_id != self.instance_id
            and not member.report.cut_off
            and not member.report.leaving
        ]

    def _live_members(self, now: float) -> list[Member]:
        return [
            member
            for member in self.members_by_id.values()
            if now - member.seen_at < _MEMBER_TIMEOUT_SECONDS
        ]

    def _count_started(
        self,
        previous: Member | None,
        report: MemberReport,
        now: float,
    ) -> None:
        before = {}
        if previous is not None and previous.report.boot == report.boot:
            before = previous.report.started_by_model
        for model, started in report.started_by_model.items():
            count = started - before.get(model, 0)
            self._record_served(model)
            if previous is None or count <= 0:
                continue
            for scheduler in self.schedulers_by_service.values():
                if model in scheduler.spec.models_by_name:
                    scheduler.rates.add(model, count, now)
                    scheduler.busy_models.add_started(
                        model, report.zone, count, now
                    )

    def _count_outcomes(
        self,
        previous: Member | None,
        report: MemberReport,
        now: float,
    ) -> None:
        """Count late and paused requests since the previous report.

        The first report of a process, or to this leader, counts nothing: it is
        not known when its requests were late.
        """
        if previous is None or previous.report.boot != report.boot:
            return
        before = previous.report.outcomes
        if before is None or report.outcomes is None:
            return
        troubles = new_troubles(before, report.outcomes)
        for scheduler in self.schedulers_by_service.values():
            known = scheduler.spec.models_by_name.keys() & troubles.keys()
            for model in known:
                scheduler.busy_models.troubles.add(model, troubles[model], now)

    def _record_served(self, model: str) -> None:
        # Members count since their start, so that a new leader learns at once
        # what requests have been sent before its term.
        for scheduler in self.schedulers_by_service.values():
            if model in scheduler.spec.models_by_name:
                scheduler.turns.served_models.add(model)

    def count_running(self, now: float) -> None:
        """Sum up the running requests on each engine.

        :param now: seconds.
        """
        counts: dict[str, Counter[str]] = {}
        # An engine that answers any instance is running, so the shortest
        # silence counts.
        silences: dict[str, float] = {}
        for member in self._live_members(now):
            for use in member.report.engines:
                silences[use.target_id] = min(
                    silences.get(use.target_id, use.silence),
                    use.silence,
                )
                counts.setdefault(use.target_id, Counter()).update(
                    use.running_by_name,
                )
        for scheduler in self.schedulers_by_service.values():
            for engine in scheduler.engines_by_id.values():
                running = counts.get(engine.target_id, Counter())
                engine.running = running
                silence = silences.get(engine.target_id, 0)
                engine.suspected = silence > _SUSPECT_SECONDS
                for name in running:
                    engine.used_at_by_name[name] = now


def _of_service(
    service: str, seconds_by_name: Mapping[tuple[str, str], float]
) -> dict[str, float]:
    return {
        model: seconds
        for (name, model), seconds in seconds_by_name.items()
        if name == service
    }


def apply_survey(engine: EngineState, survey: EngineSurvey) -> None:
    """Apply the answer of an engine to a survey.

    :param engine: the surveyed engine.
    :param survey: its answer.
    """
    engine.order_count = survey.order_count
    engine.adapters_by_model = {
        model: set(holding.adapters)
        for model, holding in survey.loaded_models_by_name.items()
    }
    engine.draining_models &= set(engine.adapters_by_model)
    engine.surveyed = True
    if survey.in_memory or survey.on_disk:
        # Targets that a leader knows as a member say nothing of their disks.
        engine.record = replace(
            engine.record,
            in_memory=survey.in_memory,
            on_disk=survey.on_disk,
        )


def _update_engine(
    scheduler: ModelScheduler, record: TargetRecord
) -> EngineState:
    """Apply a registry entry; a restarted engine replaces the old one."""
    engine = scheduler.engines_by_id.get(record.target_id)
    if engine is None or engine.record.born != record.born:
        engine = EngineState(record)
        scheduler.engines_by_id[record.target_id] = engine
    if not (record.in_memory or record.on_disk):
        record = replace(
            record,
            in_memory=engine.record.in_memory,
            on_disk=engine.record.on_disk,
        )
    # The models of the entry are not applied to the state: an engine may write
    # it during a load, and the completed orders determine what it holds.
    engine.record = record
    return engine


def finish_order(engine: EngineState, order: EngineOrder, now: float) -> None:
    """Apply a completed order to the state of its engine.

    :param engine: the engine that executed the order.
    :param order: the order.
    :param now: seconds.
    """
    engine.order = None
    adapters = engine.adapters_by_model
    if order.adapter:
        held = adapters.setdefault(order.model, set())
        if order.kind is OrderKind.load:
            held.add(order.adapter)
            engine.used_at_by_name[f'{order.model}/{order.adapter}'] = now
        else:
            held.discard(order.adapter)
    elif order.kind is OrderKind.load:
        adapters[order.model] = set()
        engine.loaded_at_by_model[order.model] = now
        engine.draining_models.discard(order.model)
    else:
        adapters.pop(order.model, None)
        engine.draining_models.discard(order.model)


def _engine_view(engine: EngineState) -> EngineView:
    return EngineView(
        target_id=engine.target_id,
        born=engine.record.born,
        adapters_by_model={
            model: tuple(sorted(adapters))
            for model, adapters in engine.adapters_by_model.items()
            if model not in engine.draining_models
        },
        running=engine.running_count(),
    )


def _is_unchanged(previous: EngineView | None, view: EngineView) -> bool:
    """Compare two views; small changes of the load are too frequent to send."""
    return (
        previous is not None
        and _holds_same(previous, view)
        and abs(previous.running - view.running) < 3
    )


def _holds_same(previous: EngineView | None, view: EngineView) -> bool:
    return (
        previous is not None
        and previous.born == view.born
        and previous.adapters_by_model == view.adapters_by_model
    )


def _group_demand(group: WaitingGroup, now: float, age: float) -> GroupDemand:
    return GroupDemand(
        service=group.service,
        model=group.model,
        adapter=group.adapter,
        count=group.count,
        target_at=now + group.target_in - age
        if group.target_in > 0
        else _MISSED_TARGET,
        gives_up_at=now + group.patience - age,
        since=now - group.waited - age,
        late=group.late,
        software_version=group.software_version,
    )


def _merge_demand(
    previous: GroupDemand | None, other: GroupDemand
) -> GroupDemand:
    if previous is None:
        return other
    return GroupDemand(
        service=previous.service,
        model=previous.model,
        adapter=previous.adapter,
        count=previous.count + other.count,
        target_at=_earlier_target(previous, other),
        gives_up_at=max(previous.gives_up_at, other.gives_up_at),
        since=min(previous.since, other.since),
        late=previous.late + other.late,
        software_version=previous.software_version,
    )


def _earlier_target(previous: GroupDemand, other: GroupDemand) -> float:
    targets = [
        group.target_at
        for group in (previous, other)
        if group.target_at > _MISSED_TARGET
    ]
    return min(targets, default=_MISSED_TARGET)
