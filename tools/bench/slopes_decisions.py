"""Processor time of decisions in an instance and in a zone leader."""

from cowsliprack.coordination.allowance import AllowanceRecord
from cowsliprack.coordination.dispatcher import Dispatcher
from cowsliprack.coordination.serving import Dispatch
from cowsliprack.coordination.zone import ZoneController
from cowsliprack.coordination.zone_actions import ReviseAllowances
from cowsliprack.protocol.peer import DemandReport
from cowsliprack.protocol.target import ReplicaReport, TargetReport
from cowsliprack.state.configuration import Configuration
from tools.bench import samples
from tools.bench.measure import Row, processor_microseconds

_TARGET_COUNTS = (23, 230, 690)
_QUEUE_LENGTHS = (10, 100, 1000)
_ADAPTER_COUNTS = (600, 6000, 54_000)
# Sizes that stay fixed while the other one varies.
_DEFAULT_ADAPTERS = 100
_DEFAULT_TARGETS = 230
_TICK_SECONDS = 0.05
_ZONE_TICK_SECONDS = 0.25
_TOKENS_PER_REQUEST = 300
_LOADED_MODEL = 'model-0'
_UNLOADED_MODEL = 'model-1'


def decision_rows() -> list[Row]:
    """Return the cost of each decision at three sizes."""
    rows = [_serve_row(count) for count in _TARGET_COUNTS]
    rows.extend(_tick_row(length) for length in _QUEUE_LENGTHS)
    rows.extend(_configuration_row(count) for count in _ADAPTER_COUNTS)
    rows.extend(
        _zone_row(count, _DEFAULT_ADAPTERS, 'targets', count)
        for count in _TARGET_COUNTS
    )
    rows.extend(
        _zone_row(_DEFAULT_TARGETS, count, 'adapters', count)
        for count in _ADAPTER_COUNTS
    )
    rows.extend(_report_row(count) for count in _TARGET_COUNTS)
    return rows


class _Server:
    """Serves one request at a time with credit that never runs out."""

    def __init__(self, targets: int) -> None:
        self.dispatcher = samples.make_dispatcher(targets)
        self._number = 0
        self._now = float(0)

    def serve_one(self) -> None:
        self._number += 1
        self._now += _TICK_SECONDS
        request = samples.make_request(self._number, _LOADED_MODEL, self._now)
        grant_credit(self.dispatcher, request.organisation, self._now)
        actions = self.dispatcher.submit(request, self._now)
        dispatches = [
            action for action in actions if isinstance(action, Dispatch)
        ]
        # Stands in for the replica view that reports the target as idle again.
        fleet = self.dispatcher.capacity.fleet
        fleet.targets_by_id[dispatches[0].target_id].apply_report(0, self._now)
        self.dispatcher.on_finished(
            request.request_id,
            _TOKENS_PER_REQUEST,
            self._now,
        )


def grant_credit(
    dispatcher: Dispatcher,
    organisation: str,
    now: float,
) -> None:
    """Grant an instance more credit than it can spend.

    :param dispatcher: dispatcher of the instance.
    :param organisation: id of the organisation.
    :param now: current time, seconds.
    """
    credit = dispatcher.capacity.credit
    if credit.available(organisation, now) > samples.EFFECTIVELY_INFINITE / 2:
        return
    waiting = {organisation: samples.LARGE_NEED}
    for request in credit.requests_due(now, waiting):
        if request.organisation == organisation:
            credit.accept(samples.make_grant(request), now)


def _serve_row(targets: int) -> Row:
    server = _Server(targets)
    return Row(
        'dispatcher: admit, route and end one request',
        'targets with the deployment',
        targets,
        processor_microseconds(server.serve_one),
    )


class _QueueTicker:
    """Ticks a dispatcher whose queue waits for a model that is not loaded."""

    def __init__(self, queue_length: int) -> None:
        self._dispatcher = samples.make_dispatcher(_DEFAULT_TARGETS)
        for number in range(queue_length):
            request = samples.make_request(number, _UNLOADED_MODEL, 0)
            request.deadline = samples.EFFECTIVELY_INFINITE
            self._dispatcher.submit(request, 0)
        self._now = float(0)

    def tick(self) -> None:
        self._now += _TICK_SECONDS
        self._dispatcher.tick(self._now)


def _tick_row(queue_length: int) -> Row:
    return Row(
        'dispatcher: one tick (20 a second)',
        'requests that wait',
        queue_length,
        processor_microseconds(_QueueTicker(queue_length).tick),
    )


class _ConfigurationApplier:
    """Applies the same configuration again and again."""

    def __init__(self, adapters: int) -> None:
        self._dispatcher = samples.make_dispatcher(_DEFAULT_TARGETS)
        configuration = samples.make_configuration(adapters, _DEFAULT_TARGETS)
        self._configuration = configuration
        self._dispatcher.on_configuration(configuration, 0)

    def apply(self) -> None:
        self._dispatcher.capacity.apply_configuration(self._configuration)


def _configuration_row(adapters: int) -> Row:
    return Row(
        'dispatcher: bring a generation into force',
        'adapters',
        adapters,
        processor_microseconds(_ConfigurationApplier(adapters).apply),
    )


class _ZoneLeader:
    """A leader with reports of all targets and written allowances."""

    def __init__(self, targets: int, adapters: int) -> None:
        configuration = samples.make_configuration(adapters, targets)
        self.controller = ZoneController(samples.ZONE, 1, configuration, 0, 0)
        self.controller.on_journal_claimed([], 0)
        self.reports = [
            _make_report(index, configuration) for index in range(targets)
        ]
        self.now = float(0)
        for (
            engine_status
        ) in self.controller.state.engine_statuses.by_target.values():
            engine_status.fenced_at = 0
        self.report_all()
        self._write_allowances()

    def report_all(self) -> None:
        for report in self.reports:
            self.controller.on_report(report, self.now)

    def report_one(self) -> None:
        self.now += 0.001
        report = self.reports[int(self.now * 1000) % len(self.reports)]
        self.controller.on_report(report, self.now)

    def tick(self) -> None:
        """Run one tick with waiting demand and up-to-date target statuses."""
        self.now += _ZONE_TICK_SECONDS
        for (
            engine_status
        ) in self.controller.state.engine_statuses.by_target.values():
            engine_status.asked_at = self.now
        report = DemandReport(_LOADED_MODEL, 1, 30, served=1)
        self.controller.on_demand(report, 'instance-1', self.now)
        self.controller.tick(self.now)

    def _write_allowances(self) -> None:
        for action in self.controller.tick(self.now):
            if isinstance(action, ReviseAllowances):
                self._revise_shard(action.shard)

    def _revise_shard(self, shard: int) -> None:
        allowances = self.controller.state.allowances
        empty = AllowanceRecord(0, {})
        record = allowances.revise(shard, empty, {}) or empty
        allowances.apply_record(shard, record)


def _make_report(index: int, configuration: Configuration) -> TargetReport:
    names = samples.resident_names(index)
    deployments = configuration.deployments_by_name
    replicas = tuple(
        ReplicaReport(name, 'loaded', deployments[name].memory)
        for name in names
        if name in deployments
    )
    return TargetReport(
        f't{index}',
        f'b{index}',
        4,
        0,
        sum(replica.memory for replica in replicas),
        80_000,
        highest_fencing=1,
        replicas=replicas,
    )


def _zone_row(targets: int, adapters: int, against: str, size: int) -> Row:
    leader = _ZoneLeader(targets, adapters)
    return Row(
        'zone leader: one tick (10 a second)',
        against,
        size,
        processor_microseconds(leader.tick),
    )


def _report_row(targets: int) -> Row:
    leader = _ZoneLeader(targets, _DEFAULT_ADAPTERS)
    return Row(
        'zone leader: take one report of a target',
        'targets',
        targets,
        processor_microseconds(leader.report_one),
    )
