"""Wires the components of a gateway instance and runs its tasks."""

from dataclasses import dataclass, field
from typing import Any

import anyio
import httpx
import msgspec
import structlog

from cowsliprack.coordination.fleet_view import FleetView
from cowsliprack.coordination.freshness import Freshness, StoreHistory
from cowsliprack.coordination.retry import RetryLimit, apply_retry_limit
from cowsliprack.coordination.target_selector import TargetSelector
from cowsliprack.coordination.token_credit import TokenCredit
from cowsliprack.coordination.waiting_requests import WaitingRequests
from cowsliprack.exceptions import (
    ConfigurationError,
    PeerMessageError,
    ServingError,
)
from cowsliprack.metrics import Metrics
from cowsliprack.protocol.platform_bindings import PlatformBindings
from cowsliprack.state.gateway_settings import GatewaySettings
from cowsliprack.state.routing_table import RoutingTable
from cowsliprack.state.store_version import era_of, revision_of
from cowsliprack.transport.caller_watch import CallerWatch, watch_callers
from cowsliprack.transport.clock import read_clock
from cowsliprack.transport.exchange import (
    Exchange,
    Receive,
    Send,
    exchange_from_scope,
)
from cowsliprack.transport.peer_sockets import PeerSockets
from cowsliprack.transport.poison_watch import PoisonWatch
from cowsliprack.transport.region import (
    Region,
    RegionContext,
    wait_released,
)
from cowsliprack.transport.route_explanation import (
    EXPLAIN_PATH,
    RouteExplainer,
    answer_question,
)
from cowsliprack.transport.route_relay import RouteRelay
from cowsliprack.transport.route_server import RouteServer
from cowsliprack.transport.running_time import RunningTime
from cowsliprack.transport.signals import handle_signals
from cowsliprack.transport.store_reader import KindReader, KindReading
from cowsliprack.transport.target_feed import TargetFeed
from cowsliprack.transport.target_finder import TargetFinder

# Time that the load balancer needs, after the readiness check fails, to stop
# sending connections.
_BALANCER_UPDATE_SECONDS = 2.5
# Share of the grace period (SIGTERM to SIGKILL) reserved for shutting down; the
# platform allows requests to be cut off only in the last sixth of the period.
_GRACE_MARGIN_SHARE = 0.15
# Part of that reserve for the error responses of requests that did not finish.
_FINAL_RESPONSE_SECONDS = 0.4
# Time in which the last messages to other instances leave.
_MESSAGE_SECONDS = 0.05
# Largest question of an operator about routing.
_MAX_QUESTION_BYTES = 65_536
# Target changes within this time are handled as one batch.
_TARGET_BATCH_SECONDS = 0.2

_log = structlog.get_logger('cowsliprack.gateway')


@dataclass(slots=True)
class Gateway:
    """Components of one gateway instance.

    :param settings: settings of the instance.
    :param bindings: implementation of the platform's protocols.
    :param client: HTTP client for requests to targets.
    :param fleet_secret: secret that the instances share.
    :param running_time: extends timeouts while the event loop is late.
    :param draining: whether a graceful shutdown is in progress.
    """

    settings: GatewaySettings
    bindings: PlatformBindings
    client: httpx.AsyncClient
    sockets: PeerSockets
    fleet_secret: str
    running_time: RunningTime = field(default_factory=RunningTime)
    metrics: Metrics = field(default_factory=Metrics)
    table: RoutingTable = field(default_factory=RoutingTable)
    draining: bool = False
    fleet: FleetView = field(default_factory=FleetView)
    waiting_requests: WaitingRequests = field(default_factory=WaitingRequests)
    _configuration_copy: bytes = b''
    _store_returned: anyio.Event = field(default_factory=anyio.Event)
    _listeners_closed: anyio.Event = field(default_factory=anyio.Event)
    store_history: StoreHistory = field(default_factory=StoreHistory)
    freshness: Freshness = field(init=False)
    region: Region = field(init=False)
    target_feed: TargetFeed = field(init=False)
    server: RouteServer = field(init=False)
    callers: CallerWatch = field(init=False)

    def __post_init__(self) -> None:
        """Create the components without starting them."""
        settings = self.settings
        self.freshness = Freshness(settings.freshness_seconds)
        target_selector = TargetSelector(settings.zone)
        credit = TokenCredit(
            settings.quota_slack,
            settings.quota_window_seconds,
            overrun=settings.quota_overrun,
            started_at=read_clock(),
        )
        poison = PoisonWatch(self.fleet.registry, read_clock)
        self.target_feed = TargetFeed(
            self.fleet.registry,
            self.bindings.decode_target,
            self._on_targets_changed,
            read_clock,
            lambda record, left: self.region.conditions.record_cold(
                record, left
            ),
        )
        self.region = Region(
            RegionContext(
                instance_id=settings.instance_id,
                zone=settings.zone,
                region=settings.region,
                address=self.sockets.address,
                lease_seconds=settings.lease_seconds,
                first_start=settings.first_start,
                cores=settings.cores,
                link_megabits=settings.link_megabits,
                max_relay_age_seconds=settings.max_relay_age_seconds,
                store=self.bindings.store,
                engines=self.bindings.engines,
                client=self.client,
                running_time=self.running_time,
                sockets=self.sockets,
                fleet=self.fleet,
                target_selector=target_selector,
                waiting_requests=self.waiting_requests,
                credit=credit,
                freshness=self.freshness,
                poison=poison,
                table=self.current_table,
                configuration_copy=self._copy_configuration,
                apply_configuration_copy=self._apply_configuration_copy,
                apply_relayed_targets=self.target_feed.apply_view,
                read_notice=self.bindings.dialect.read_notice,
                clock=read_clock,
            ),
        )
        retry_limit = RetryLimit(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_seconds,
        )
        finder = TargetFinder(
            fleet=self.fleet,
            target_selector=target_selector,
            waiting_requests=self.waiting_requests,
            freshness=self.freshness,
            table=self.current_table,
            demand_changed=self.region.demand_changed,
            clock=read_clock,
            poison=poison.tracker,
            is_cut_off=self.region.reach_watch.reachability.is_cut_off,
            instances=lambda: credit.instances,
            counts=lambda decision: self.metrics.queue.decisions.inc(
                {'decision': decision}
            ),
        )
        self.callers = watch_callers(
            settings.memory_megabytes, settings.max_descriptors, self.metrics
        )
        relay = RouteRelay(
            client=self.client,
            dialect=self.bindings.dialect,
            fleet=self.fleet,
            target_selector=target_selector,
            finder=finder,
            poison=poison,
            origins=self.region.origins,
            passing=self.region.passing,
            apply_retry_limit=lambda budget: apply_retry_limit(
                budget,
                retry_limit,
                credit.instances,
            ),
            table=self.current_table,
            demand_changed=self.region.demand_changed,
            clock=read_clock,
            instances=lambda: credit.instances,
            cold_found=self.region.conditions.record_cold,
            run_ended=finder.end_run,
            answers=self.callers.answers,
        )
        self.server = RouteServer(
            dialect=self.bindings.dialect,
            relay=relay,
            freshness=self.freshness,
            credit=credit,
            metrics=self.metrics,
            table=self.current_table,
            reserve=self.region.credit_asks.reserve,
            closing=self.is_draining,
            stopped=self.is_stopped,
            clock=read_clock,
            memory=self.callers.memory,
        )
        self.region.passing.serve = self.server.serve_passed

    def current_table(self) -> RoutingTable:
        """Return the active routing table."""
        return self.table

    def is_draining(self) -> bool:
        """Return whether a graceful shutdown is in progress."""
        return self.draining

    def is_stopped(self) -> bool:
        """Return whether idle connections are being closed."""
        return self.waiting_requests.closed

    def is_ready(self) -> bool:
        """Return whether the load balancer should send connections here."""
        # Without the list of targets every request would be rejected.
        knows_targets = self.fleet.registry.revision >= 0
        if self.bindings.evacuations_kind:
            feed = self.region.conditions.evacuation_feed
            knows_targets = knows_targets and feed.is_known()
        knows_routes = self.table.generation > 0
        return not self.draining and knows_routes and knows_targets

    async def run(self) -> None:
        """Run until a stop signal arrives, then shut down gracefully."""
        stop = anyio.Event()
        stopped = anyio.Event()
        bindings = self.bindings
        async with anyio.create_task_group() as tasks:
            await tasks.start(handle_signals, stop)
            tasks.start_soon(self.running_time.run)
            tasks.start_soon(
                KindReader(
                    bindings.store,
                    bindings.configuration_kind,
                    bindings.configuration_watch_seconds,
                    self._on_configuration_reading,
                    self.region.reads_store,
                ).run,
            )
            tasks.start_soon(
                KindReader(
                    bindings.store,
                    bindings.targets_kind,
                    bindings.targets_watch_seconds,
                    self.target_feed.apply_reading,
                    self.region.reads_store,
                    _TARGET_BATCH_SECONDS,
                ).run,
            )
            if bindings.evacuations_kind:
                tasks.start_soon(
                    KindReader(
                        bindings.store,
                        bindings.evacuations_kind,
                        bindings.evacuations_watch_seconds,
                        self.region.conditions.evacuation_feed.apply_reading,
                        self.region.conditions.reads_evacuations,
                    ).run,
                )
            tasks.start_soon(self._restore_secret)
            tasks.start_soon(self.region.run)
            tasks.start_soon(self._serve_http, stopped)
            _log.info(
                'started',
                instance_id=self.settings.instance_id,
                zone=self.settings.zone,
                front=self.settings.front_address,
                peers=self.sockets.address,
            )
            await stop.wait()
            await self._drain(stopped)
            tasks.cancel_scope.cancel()
        _log.info('stopped', instance_id=self.settings.instance_id)

    async def _drain(self, stopped: anyio.Event) -> None:
        """Shut down gracefully.

        Requests are served while the load balancer still sends connections.
        Then idle connections are closed, so that no request is accepted that
        could not finish before the process is killed, and requests that wait
        for a model are rejected, since other instances can still serve them.
        """
        self.draining = True
        self.region.leaving = True
        _log.info('draining', requests=self.server.open_requests)
        released_by = anyio.current_time() + self._releasing_seconds()
        await self.region.release()
        await anyio.sleep(_BALANCER_UPDATE_SECONDS)
        stopped.set()
        self.waiting_requests.close()
        await self._wait_closed(self._closing_seconds())
        _log.info('drained', requests=self.server.open_requests)
        self.server.relay.end_requests()
        await self._wait_closed(_FINAL_RESPONSE_SECONDS)
        await wait_released(self.region, released_by - anyio.current_time())

    async def _wait_closed(self, seconds: float) -> None:
        with anyio.move_on_after(seconds):
            await self._listeners_closed.wait()
            await self.region.passing.wait_idle()
            await anyio.sleep(_MESSAGE_SECONDS)

    def _closing_seconds(self) -> float:
        """Return how long open requests may run once listeners close."""
        running = self.settings.grace_seconds * (1 - _GRACE_MARGIN_SHARE)
        return max(running - _BALANCER_UPDATE_SECONDS, 0)

    def _releasing_seconds(self) -> float:
        """Return how long the release may wait for orders without an answer."""
        running = self.settings.grace_seconds * (1 - _GRACE_MARGIN_SHARE)
        waiting = self.settings.lease_seconds + _FINAL_RESPONSE_SECONDS
        return min(running, waiting)

    async def _serve_http(self, stopped: anyio.Event) -> None:
        settings = self.settings
        addresses = [
            settings.front_address,
            settings.ready_address,
            settings.metrics_address,
        ]
        await self.callers.serve(
            self._handle,
            addresses,
            stopped,
            self._closing_seconds() + _FINAL_RESPONSE_SECONDS,
        )
        self._listeners_closed.set()

    async def _handle(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        host, port = scope['server']
        address = f'{host}:{port}'
        if address == self.settings.front_address:
            await self.server(scope, receive, send)
        elif address == self.settings.ready_address:
            await self._answer_ready(exchange_from_scope(scope, receive, send))
        else:
            await self._answer_operator(
                exchange_from_scope(scope, receive, send)
            )

    async def _answer_ready(self, exchange: Exchange) -> None:
        ready = exchange.path == self.bindings.ready_path and self.is_ready()
        await exchange.answer(b'{}', status=200 if ready else 503)

    async def _answer_operator(self, exchange: Exchange) -> None:
        if exchange.path != EXPLAIN_PATH:
            await self._answer_metrics(exchange)
            return
        try:
            body = await exchange.read_body(_MAX_QUESTION_BYTES)
        except ServingError as error:
            await exchange.answer_error(error)
            return
        explainer = RouteExplainer(
            self.server,
            self.server.relay.finder,
            self.region.context.credit,
            read_clock,
        )
        status, answer = await answer_question(explainer, body)
        await exchange.answer(answer, status=status)

    async def _answer_metrics(self, exchange: Exchange) -> None:
        self.metrics.generation.set({}, self.table.generation)
        self.metrics.leader.set({}, int(self.region.is_leading()))
        self.metrics.running.set({}, self.server.open_requests)
        self.metrics.queue.waiting.set({}, len(self.server.relay.finder.turns))
        selector = self.region.context.target_selector
        now = read_clock()
        self.metrics.targets.update(
            len(self.fleet.registry.evacuations.zones),
            selector.limits.cold.count(now),
            selector.paces.count(now),
            len(self.fleet.absences.loaded_at_by_name),
        )
        term = self.region.term
        self.metrics.placement.update(
            selector.outcomes.late_by_model.total(),
            selector.outcomes.paused_by_model.total(),
            term.state.further_replicas() if term else 0,
        )
        self.callers.update_metrics()
        loans = self.region.credit_loans
        for outcome, count in loans.counts.items():
            self.metrics.charged_alone.set({'outcome': outcome}, count)
        self.metrics.loop_late.set({}, self.running_time.late_seconds)
        text, headers = self.metrics.render(['text/plain'])
        content_type = headers.get('Content-Type', 'text/plain')
        await exchange.answer(text, content_type)

    def _on_configuration_reading(
        self, reading: KindReading, whole: bool
    ) -> None:
        spec = reading.specs_by_name.get(self.bindings.configuration_name)
        generation = 0 if whole else None
        if spec is not None:
            generation = self._apply_configuration(spec, reading.revision)
        now = read_clock()
        if self.store_history.record(era_of(reading.revision), generation, now):
            self.metrics.store_returns.inc({})
            self._store_returned.set()
        if self.store_history.proves_latest(self.table.generation, now):
            self.freshness.prove(reading.asked_at)

    async def _restore_secret(self) -> None:
        """Write the fleet's secret again when the store may have lost it."""
        store = self.bindings.store
        while True:
            await self._store_returned.wait()
            self._store_returned = anyio.Event()
            await self.bindings.restore_fleet_secret(store, self.fleet_secret)

    def _apply_configuration_copy(self, copy: bytes) -> None:
        try:
            spec = msgspec.json.decode(copy)
        except msgspec.DecodeError as error:
            raise PeerMessageError(f'configuration: {error}') from error
        self._apply_configuration(spec, None)

    def _copy_configuration(self) -> bytes:
        return self._configuration_copy

    def _apply_configuration(
        self, spec: Any, revision: int | None
    ) -> int | None:
        """Apply a configuration unless it is malformed or not newer.

        :param spec: the configuration as stored.
        :param revision: at which it was read; ``None`` if the leader sent it.
        :returns: its generation; ``None`` if it is malformed.
        """
        try:
            table = self.bindings.decode_table(spec)
        except ConfigurationError as error:
            _log.error('configuration_malformed', problems=error.problems)
            return None
        if table.generation <= self.table.generation:
            return table.generation
        self.table = table
        self._configuration_copy = msgspec.json.encode(spec)
        _log.info(
            'configuration_in_force',
            generation=table.generation,
            revision=None if revision is None else revision_of(revision),
            source='leader' if revision is None else 'store',
            bytes=len(self._configuration_copy),
            limits={
                name: (organisation.rate, organisation.burst)
                for name, organisation in table.organisations_by_name.items()
            },
        )
        self.region.configuration_changed()
        self.waiting_requests.notify_all()
        return table.generation

    def _on_targets_changed(self) -> None:
        self.region.registry_changed()
