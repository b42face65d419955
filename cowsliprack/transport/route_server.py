"""Callers' requests of routes: admission, and one answer for each."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec
import structlog

from cowsliprack.coordination.freshness import Freshness
from cowsliprack.coordination.token_credit import TokenCredit
from cowsliprack.exceptions import ErrorKind, ServingError
from cowsliprack.logs import log_decision
from cowsliprack.metrics import Metrics
from cowsliprack.protocol.dialect import Dialect, RequestMetadata
from cowsliprack.protocol.sse import error_body
from cowsliprack.state.routing_table import (
    OrganisationLimits,
    Route,
    RoutingTable,
)
from cowsliprack.transport.exchange import (
    Exchange,
    Receive,
    Send,
    exchange_from_scope,
)
from cowsliprack.transport.route_job import RouteJob
from cowsliprack.transport.route_relay import RouteRelay
from cowsliprack.transport.target_finder import pick_service

# A stream's caller leaves after the longest of these without an event: a
# time in seconds, and multiples of the latency target and the longest pause.
_LEAST_PATIENCE = 2.0
_TARGET_PATIENCE = 4.0
_PAUSE_PATIENCE = 8.0
# A first event later than this part of the patience comes too late.
_PATIENCE_SHARE = 0.92
# Kept of a caller's time so that a refusal still reaches it, seconds.
_ANSWER_SECONDS = 0.08
_HOST = b'host'
_log = structlog.get_logger('cowsliprack.request')


@dataclass(slots=True)
class RouteServer:
    """ASGI application for the requests of routes.

    :param reserve: takes an organisation's tokens for a request; returns
        ``None`` or the seconds after which to come back.
    :param closing: whether connections shall be closed after their answer.
    """

    dialect: Dialect
    relay: RouteRelay
    freshness: Freshness
    credit: TokenCredit
    metrics: Metrics
    table: Callable[[], RoutingTable]
    reserve: Callable[[OrganisationLimits, float], Awaitable[float | None]]
    closing: Callable[[], bool]
    clock: Callable[[], float]
    rng: random.Random = field(default_factory=random.Random)
    open_requests: int = 0

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request.

        :param scope: of the ASGI protocol.
        :param receive: of the ASGI protocol.
        :param send: of the ASGI protocol.
        """
        exchange = exchange_from_scope(scope, receive, send, self.closing)
        self.open_requests += 1
        try:
            await self._handle(exchange)
        finally:
            self.open_requests -= 1

    async def _handle(self, exchange: Exchange) -> None:
        arrived_at = self.clock()
        metadata = self.dialect.read_request(exchange.headers)
        job: RouteJob | None = None
        outcome = 'answered'
        try:
            job = await self._admit(exchange, metadata, arrived_at)
            outcome = await self._serve(job)
        except ServingError as error:
            outcome = error.kind.value
            await self._refuse(exchange, metadata, job, error)
        except Exception:
            outcome = ErrorKind.internal.value
            _log.exception(
                'request_handler_failed', request_id=metadata.request_id
            )
            if not exchange.started:
                await self._answer_error(
                    exchange,
                    ServingError(ErrorKind.internal, 'internal error'),
                )
        self._note(exchange, metadata, job, outcome, arrived_at)

    async def _admit(
        self,
        exchange: Exchange,
        metadata: RequestMetadata,
        arrived_at: float,
    ) -> RouteJob:
        table = self.table()
        host = _host(exchange)
        if not table.generation:
            raise ServingError(
                ErrorKind.configuration_stale,
                'no configuration is known yet',
                retry_after=1,
            )
        body = await exchange.read_body(table.max_body_bytes)
        route = self._find_route(table, host, exchange.raw_path, arrived_at)
        organisation = self._find_organisation(table, route, metadata)
        if not metadata.request_id:
            raise ServingError(ErrorKind.bad_request, 'the request has no id')
        tokens = await self._charge(organisation, metadata)
        limit = route.time_limit
        if metadata.seconds_left is not None:
            limit = min(limit, metadata.seconds_left)
        return RouteJob(
            exchange=exchange,
            metadata=metadata,
            host=host,
            path=exchange.raw_path,
            route=route,
            service=pick_service(route.services, self.rng),
            organisation=organisation,
            tokens=tokens,
            arrived_at=arrived_at,
            deadline=arrived_at + limit,
            first_by=arrived_at + _patience(route, limit),
            body=body,
        )

    def _find_route(
        self,
        table: RoutingTable,
        host: str,
        path: str,
        now: float,
    ) -> Route:
        route = table.find_route(host, path)
        if route is not None:
            return route
        if not self.freshness.is_fresh(now):
            raise ServingError(
                ErrorKind.configuration_stale,
                'whether there is such a route is not known',
                retry_after=1,
            )
        raise ServingError(ErrorKind.unknown_route, 'there is no such route')

    def _find_organisation(
        self,
        table: RoutingTable,
        route: Route,
        metadata: RequestMetadata,
    ) -> OrganisationLimits | None:
        if route.open_to_all or not table.requires_keys:
            return None
        organisation = table.organisations_by_key.get(metadata.key)
        is_fresh = self.freshness.is_fresh(self.clock())
        if not is_fresh:
            raise ServingError(
                ErrorKind.configuration_stale,
                'whether the key is still valid is not known',
                retry_after=1,
            )
        if organisation is None:
            kind = (
                ErrorKind.key_unknown if metadata.key else ErrorKind.key_missing
            )
            raise ServingError(kind, 'the key is not known')
        return organisation

    async def _charge(
        self,
        organisation: OrganisationLimits | None,
        metadata: RequestMetadata,
    ) -> float:
        if organisation is None or not organisation.rate:
            return 0
        tokens: float = 1
        if organisation.counts_tokens:
            tokens = organisation.default_tokens
            if metadata.has_token_counts:
                tokens = metadata.prompt_tokens + metadata.output_tokens
        retry_after = await self.reserve(organisation, tokens)
        if retry_after is None:
            return tokens
        raise ServingError(
            ErrorKind.rate_limited,
            f'{organisation.name} is above its rate: {tokens} tokens',
            retry_after=retry_after * self.rng.uniform(1, 1.3) + 0.05,
        )

    async def _serve(self, job: RouteJob) -> str:
        outcome = 'caller_left'
        failures: list[ServingError] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_when_left, job, tasks.cancel_scope)
            try:
                await self.relay.serve(job)
                outcome = 'answered'
            except ServingError as error:
                failures.append(error)
            tasks.cancel_scope.cancel()
        if failures:
            raise failures[0]
        return outcome

    async def _refuse(
        self,
        exchange: Exchange,
        metadata: RequestMetadata,
        job: RouteJob | None,
        error: ServingError,
    ) -> None:
        if job is not None and job.organisation and not job.is_in_doubt():
            self.credit.give_back(job.organisation, job.tokens, self.clock())
        log_decision(
            'refusal',
            error.kind.value,
            error.detail,
            request_id=metadata.request_id,
            retry_after=error.retry_after,
            ran=error.ran.value,
        )
        if not exchange.started:
            await self._answer_error(exchange, error)

    async def _answer_error(
        self,
        exchange: Exchange,
        error: ServingError,
    ) -> None:
        headers = []
        if error.retry_after is not None:
            headers.append(('retry-after', f'{error.retry_after:.2f}'))
        await exchange.answer(
            msgspec.json.encode(error_body(error)),
            status=error.status,
            headers=headers,
        )

    def _note(
        self,
        exchange: Exchange,
        metadata: RequestMetadata,
        job: RouteJob | None,
        outcome: str,
        arrived_at: float,
    ) -> None:
        now = self.clock()
        self.metrics.requests.inc({'kind': outcome})
        first_ms = None
        if job is not None and job.first_byte_at:
            first = job.first_byte_at - arrived_at
            first_ms = round(first * 1000)
            self.metrics.first_byte.observe({}, first)
        _log.info(
            'request',
            request_id=metadata.request_id,
            outcome=outcome,
            status=exchange.status,
            route=job.route.name if job else '',
            organisation=(
                job.organisation.name if job and job.organisation else ''
            ),
            model=metadata.model,
            adapter=metadata.adapter,
            targets=job.tried if job else [],
            sends=job.sends if job else 0,
            may_have_run=job.is_in_doubt() if job else False,
            first_ms=first_ms,
            total_ms=round((now - arrived_at) * 1000),
            configuration=self.table().generation,
            proof_age_ms=round(min(self.freshness.age(now), 1e4) * 1000),
        )


async def _cancel_when_left(job: RouteJob, scope: anyio.CancelScope) -> None:
    await job.exchange.wait_for_disconnect()
    scope.cancel()


def _host(exchange: Exchange) -> str:
    for name, text in exchange.headers:
        if name == _HOST:
            return text.decode('latin-1')
    return ''


def _patience(route: Route, limit: float) -> float:
    """Return how long a caller waits for the first event, in seconds."""
    if not route.streams:
        return limit
    patience = max(
        _LEAST_PATIENCE,
        route.latency_target * _TARGET_PATIENCE,
        route.max_event_gap * _PAUSE_PATIENCE,
    )
    return min(patience * _PATIENCE_SHARE, limit - _ANSWER_SECONDS)
