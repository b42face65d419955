"""Forwards routed requests to targets and their responses to callers."""

import math
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import httpx

from cowsliprack.coordination.fleet_view import FleetView
from cowsliprack.coordination.retry import RetryBudget
from cowsliprack.coordination.target_selector import TargetSelector
from cowsliprack.exceptions import (
    ErrorKind,
    Ran,
    ServingError,
    TargetError,
    TargetsUnreachableError,
)
from cowsliprack.logs import log_decision
from cowsliprack.protocol.dialect import (
    Dialect,
    ForwardingMetadata,
    HeaderPairs,
)
from cowsliprack.protocol.event_splitter import EventSplitter, disordered_id
from cowsliprack.protocol.sse import MAX_EVENT_BYTES
from cowsliprack.state.routing_table import RoutingTable
from cowsliprack.state.store_version import revision_of
from cowsliprack.state.stream_origin import StreamOrigin
from cowsliprack.state.target_registry import TargetRecord
from cowsliprack.transport.bounded_body import (
    MAX_ANSWER_BYTES,
    AnswerMemory,
    AnswerReader,
    read_body,
)
from cowsliprack.transport.origin_exchange import OriginExchange
from cowsliprack.transport.poison_watch import PoisonWatch
from cowsliprack.transport.request_passing import RequestPassing
from cowsliprack.transport.routed_request import RoutedRequest
from cowsliprack.transport.target_client import SendTrace
from cowsliprack.transport.target_feed import ignore_cold
from cowsliprack.transport.target_finder import TargetFinder, shutting_down

# A target can do nothing useful in less time than this.
_MIN_RUN_SECONDS = 0.03
# Sends of one request, including those that targets refuse.
_MAX_SENDS = 6
# Delay before a refused request is sent again, possibly to the same target, for
# example because a model load is about to finish there.
_REFUSAL_RETRY_SECONDS = 0.015
# A repeatable request leaves a silent target after this multiple of its latency
# target, so that a second target can still respond in time.
_SILENCE_TIMEOUT_FACTOR = 2.5
_MIN_SERVER_ERROR_STATUS = 500
_STATUS_OK = 200
# Statuses of answers that never have a body.
_EMPTY_STATUSES = frozenset((204, 304))


class _NotRunError(TargetError):
    """A target refused a request without running it."""


class _ServerFailureError(TargetError):
    """Server error of a target; its retry is already charged to the budget."""


RunEnded = Callable[[RoutedRequest, TargetRecord, float], None]


def _ignore_end(
    _request: RoutedRequest, _target: TargetRecord, _now: float
) -> None:
    """Do nothing; used without a queue."""


@dataclass(slots=True)
class RouteRelay:
    """Forwards the requests of one instance and retries failed sends.

    :param finder: chooses the target of each send.
    :param poison: counts crashes against requests and prompt parts.
    :param passing: has other instances serve requests.
    :param origins: knows which software version began a stream.
    :param apply_retry_limit: sets the limit of a retry budget, which depends
        on the number of instances.
    :param table: returns the active routing table.
    :param demand_changed: called when a target starts its first request of a
        model or ends its last one.
    :param clock: seconds; must keep running during suspension.
    :param instances: returns the number of instances that may send to the same
        targets.
    :param answers: the unfinished answers of all requests.
    :param cold_found: called with a target and the seconds for which it says
        that it stays cold; 0 if it does not say.
    :param run_ended: called with a request, its target and the time, seconds,
        when the request no longer runs there.
    :param ended: whether the instance stops and no request may go on.
    """

    client: httpx.AsyncClient
    dialect: Dialect
    fleet: FleetView
    target_selector: TargetSelector
    finder: TargetFinder
    poison: PoisonWatch
    origins: OriginExchange
    passing: RequestPassing
    apply_retry_limit: Callable[[RetryBudget], None]
    table: Callable[[], RoutingTable]
    demand_changed: Callable[[], None]
    clock: Callable[[], float]
    instances: Callable[[], int] = int
    rng: random.Random = field(default_factory=random.Random)
    budgets_by_service: dict[str, RetryBudget] = field(default_factory=dict)
    answers: AnswerMemory = field(default_factory=AnswerMemory)
    cold_found: Callable[[TargetRecord, float], None] = ignore_cold
    run_ended: RunEnded = _ignore_end
    ended: bool = False
    _scopes: set[anyio.CancelScope] = field(default_factory=set)

    def end_requests(self) -> None:
        """End every open request with an error; the instance stops."""
        self.ended = True
        for scope in self._scopes:
            scope.cancel()

    async def serve(self, request: RoutedRequest) -> None:
        """Serve one request.

        :param request: admitted request.
        :raises ServingError: the request failed; a response that has already
            started must be ended as incomplete.
        """
        self._budget(request).deposit(self.clock())
        try:
            await self._serve_until_deadline(request)
        except ServingError as error:
            if error.ran is Ran.not_run and request.is_in_doubt():
                # An earlier send may have run, even if the last one did not.
                raise ServingError(
                    ErrorKind.target_failed,
                    error.detail,
                ) from error
            raise
        finally:
            if request.sends and not request.first_byte_at:
                # It ends without a first byte.
                self.target_selector.outcomes.record_first_event(
                    request.metadata.model, self.clock(), request.target_at
                )

    async def _serve_until_deadline(self, request: RoutedRequest) -> None:
        scope = anyio.move_on_after(request.deadline - self.clock())
        self._scopes.add(scope)
        try:
            with scope:
                await self._serve_attempts(request)
                return
        finally:
            self._scopes.discard(scope)
        if request.is_in_doubt():
            raise ServingError(
                ErrorKind.answer_timeout,
                'the target did not respond in time',
            )
        if self.ended:
            raise shutting_down()
        raise ServingError(
            ErrorKind.deadline_passed,
            'no target became available before the deadline',
            retry_after=1,
        )

    async def _serve_attempts(self, request: RoutedRequest) -> None:
        if request.metadata.resume_after and request.may_be_taken_up():
            await self._take_up(request)
        while True:
            try:
                target = await self.finder.find(request)
            except TargetsUnreachableError:
                if await self._pass_on(request):
                    return
                continue
            try:
                await self._attempt(request, target)
            except TargetError as failure:
                await self._handle_failure(request, target, failure)
            else:
                return

    async def _pass_on(self, request: RoutedRequest) -> bool:
        """Return whether another instance has served the request."""
        request.may_pass_on = False
        if request.is_in_doubt() and not request.is_repeatable():
            return False
        if request.may_be_taken_up() and not request.resume_after():
            self.origins.forget(request.origin_key(request.metadata.request_id))
        return await self.passing.pass_on(request)

    async def _take_up(self, request: RoutedRequest) -> None:
        """Find out where a stream may go on that a caller takes up again."""
        found = await self.origins.find(
            request.origin_key(request.metadata.continued_id),
            request.route,
        )
        origin = found.origin
        log_decision(
            'stream_origin',
            origin.software_version if origin else None,
            'a caller goes on with a stream',
            request_id=request.metadata.request_id,
            continued_id=request.metadata.continued_id,
            service=origin.service if origin else request.service,
            source=found.source,
            waited_ms=round((self.clock() - request.arrived_at) * 1000),
        )
        if origin is None:
            raise ServingError(
                ErrorKind.version_unknown,
                'the software version that began the stream is not known',
                retry_after=self.rng.uniform(0.3, 0.8),
            )
        request.service = origin.service
        request.begun_version = origin.software_version

    async def _handle_failure(
        self,
        request: RoutedRequest,
        target: TargetRecord,
        failure: TargetError,
    ) -> None:
        """Return if the request may be sent again, else raise."""
        now = self.clock()
        request.trace = None
        if failure.ran is Ran.may_have_run:
            request.may_have_run = True
            request.ran_on.add(target.target_id)
            request.runs += 1
        _record_failure(self.target_selector, target, failure, now)
        retry, reason = self._may_retry(request, failure, now)
        log_decision(
            'retry',
            'send again' if retry else 'give up',
            reason,
            request_id=request.metadata.request_id,
            target=target.target_id,
            failure=str(failure),
            ran=failure.ran.value,
            sends=request.sends,
            prompt_parts=[part for part, _ in request.metadata.prompt_parts],
            digest=request.digest,
            first_ms=request.first_byte_ms(),
        )
        if not retry:
            raise self._final_error(request, failure)
        if isinstance(failure, _NotRunError):
            await anyio.sleep(_REFUSAL_RETRY_SECONDS)

    def _may_retry(
        self,
        request: RoutedRequest,
        failure: TargetError,
        now: float,
    ) -> tuple[bool, str]:
        obstacle = self._retry_obstacle(request, failure, now)
        if obstacle:
            return False, obstacle
        if failure.unreachable:
            return True, 'target was not reached'
        if request.runs >= request.route.max_attempts:
            return False, 'attempt limit reached'
        is_already_charged = isinstance(failure, _ServerFailureError)
        if not is_already_charged and not self._budget(request).try_spend(now):
            return False, 'retry budget is spent'
        return True, 'retry'

    def _retry_obstacle(
        self,
        request: RoutedRequest,
        failure: TargetError,
        now: float,
    ) -> str:
        """Return why no target may get the request again; empty if one may."""
        if request.sends >= _MAX_SENDS:
            return 'send limit reached'
        if request.deadline - now < _MIN_RUN_SECONDS:
            return 'deadline reached'
        if failure.ran is Ran.not_run:
            return ''
        if not request.is_repeatable():
            return 'may have run'
        if self.poison.tracker.seconds_refused(request.digests, now):
            return 'targets crashed on it'
        return ''

    def _budget(self, request: RoutedRequest) -> RetryBudget:
        """Return the retry budget of the request's service."""
        budget = self.budgets_by_service.get(request.service)
        if budget is not None:
            self.apply_retry_limit(budget)
            return budget
        budget = RetryBudget()
        self.apply_retry_limit(budget)
        budget.tokens = budget.capacity
        self.budgets_by_service[request.service] = budget
        return budget

    def _final_error(
        self, request: RoutedRequest, failure: TargetError
    ) -> ServingError:
        if request.exchange.started:
            return ServingError(ErrorKind.stream_broken, str(failure))
        if request.may_have_run and not request.is_repeatable():
            return ServingError(ErrorKind.target_failed, str(failure))
        if isinstance(failure, _NotRunError) or not request.may_have_run:
            return ServingError(
                ErrorKind.target_refused,
                str(failure),
                retry_after=self.rng.uniform(0.3, 0.8),
            )
        return ServingError(ErrorKind.target_failed, str(failure))

    async def _attempt(
        self, request: RoutedRequest, target: TargetRecord
    ) -> None:
        now = self.clock()
        request.sends += 1
        request.sent_at = now
        if target.target_id not in request.tried:
            request.tried.append(target.target_id)
        log_decision(
            'routing',
            target.target_id,
            'least loaded target that holds the model',
            request_id=request.metadata.request_id,
            route=request.route.name,
            model=request.metadata.model,
            adapter=request.metadata.adapter,
            software_version=target.software_version,
            state=target.state.value,
            resume_after=request.resume_after(),
            continued_id=request.metadata.continued_id,
            running=round(self.target_selector.running(target.target_id), 1),
            waited_ms=round((now - request.arrived_at) * 1000),
            view_age_ms=round(min(now - self.fleet.updated_at, 1e4) * 1000),
            configuration=self.table().generation,
            registry=revision_of(self.fleet.registry.revision),
        )
        model = request.metadata.model
        self.target_selector.start(
            target.target_id, model, request.metadata.adapter, now
        )
        # The leader must know at once whether an engine can unload a model.
        if self.target_selector.own_running(target.target_id, model) == 1:
            self.demand_changed()
        if request.may_be_taken_up() and not request.resume_after():
            self.origins.begin(
                request.origin_key(request.metadata.request_id),
                StreamOrigin(request.service, target.software_version),
            )
        request.in_flight_id = self.poison.on_send(
            request.digests, target.target_id
        )
        try:
            await self._exchange(request, target, now)
            self.target_selector.paces.record_answer(
                target.target_id,
                target.slots,
                self.clock(),
                is_late=request.was_answered_late(),
            )
        finally:
            self.poison.tracker.remove_in_flight(request.in_flight_id)
            self._record_end(request, target)

    def _record_end(self, request: RoutedRequest, target: TargetRecord) -> None:
        model = request.metadata.model
        self.target_selector.end(
            target.target_id, model, request.metadata.adapter
        )
        if model and not self.target_selector.own_running(
            target.target_id, model
        ):
            self.demand_changed()
        self.run_ended(request, target, self.clock())

    async def _exchange(
        self,
        request: RoutedRequest,
        target: TargetRecord,
        sent_at: float,
    ) -> None:
        trace = SendTrace()
        request.trace = trace
        try:
            outgoing = self._build_outgoing(request, target, sent_at, trace)
        except (httpx.InvalidURL, ValueError) as invalid:
            raise TargetError(
                f'{type(invalid).__name__}: {invalid}',
                Ran.not_run,
                unreachable=True,
            ) from invalid
        try:
            silence_timeout = self._silence_timeout(request, target, sent_at)
            async with self._open_response(
                outgoing, silence_timeout
            ) as response:
                await self._handle_response(request, target, response, sent_at)
        except (httpx.HTTPError, TimeoutError) as failure:
            if trace.sent and not isinstance(failure, TimeoutError):
                await self.poison.check_target(target)
            raise TargetError(
                f'{type(failure).__name__}: {failure}',
                trace.ran(),
                unreachable=not trace.sent,
            ) from failure

    @asynccontextmanager
    async def _open_response(
        self,
        outgoing: httpx.Request,
        silence_timeout: float | None,
    ) -> AsyncIterator[httpx.Response]:
        with anyio.fail_after(silence_timeout):
            response = await self.client.send(outgoing, stream=True)
        try:
            yield response
        finally:
            with anyio.CancelScope(shield=True):
                await response.aclose()

    def _build_outgoing(
        self,
        request: RoutedRequest,
        target: TargetRecord,
        sent_at: float,
        trace: SendTrace,
    ) -> httpx.Request:
        exchange = request.exchange
        headers = self.dialect.forwarded_headers(
            exchange.headers,
            ForwardingMetadata(
                target_id=target.target_id,
                seconds_left=request.deadline - sent_at,
                organisation=request.organisation_name(),
                resume_after=request.resume_after(),
                priority=request.priority() if request.metadata.model else None,
            ),
        )
        if request.body or exchange.method not in {'GET', 'HEAD', 'DELETE'}:
            headers.append((b'content-length', str(len(request.body)).encode()))
        raw_path = exchange.raw_path.encode('latin-1')
        if exchange.query:
            raw_path = b'%s?%s' % (raw_path, exchange.query)
        url = httpx.URL(
            scheme='http',
            host=target.address.rpartition(':')[0],
            port=int(target.address.rpartition(':')[2]),
            raw_path=raw_path,
        )
        return httpx.Request(
            exchange.method,
            url,
            headers=headers,
            stream=httpx.ByteStream(request.body),
            extensions={'trace': trace},
        )

    def _silence_timeout(
        self,
        request: RoutedRequest,
        target: TargetRecord,
        now: float,
    ) -> float | None:
        """Return how long to wait for a response head, in seconds."""
        if not (
            request.is_repeatable()
            and request.may_use_another_target(target.target_id)
        ):
            return None
        silence_timeout = request.route.latency_target * _SILENCE_TIMEOUT_FACTOR
        return (
            silence_timeout
            if now + silence_timeout < request.deadline
            else None
        )

    async def _handle_response(
        self,
        request: RoutedRequest,
        target: TargetRecord,
        response: httpx.Response,
        sent_at: float,
    ) -> None:
        headers = response.headers.raw
        status = response.status_code
        self.target_selector.record_bytes(
            target.target_id, self.clock(), sent_at
        )
        if not self.dialect.is_response_to(
            headers, request.metadata.request_id
        ):
            raise TargetError(
                'the answer belongs to another request',
                Ran.may_have_run,
            )
        self._record_limit(target, headers)
        self._record_notice(target, status, headers, request.metadata.model)
        if self.dialect.is_not_run_response(status, headers):
            if self.dialect.is_misdirected(status):
                self.fleet.mark_missing(
                    target.target_id,
                    request.metadata.model,
                    request.metadata.adapter,
                )
            raise _NotRunError(f'refused with status {status}', Ran.not_run)
        request.may_have_run = True
        if request.route.streams and status == _STATUS_OK:
            await self._forward_stream(request, target, response, sent_at)
            # Without a length or chunks, a crash looks like the end.
            if _has_framing(response):
                self.poison.on_answered(request.digests, sent_at)
            return
        body = await _read_answer(
            request.exchange.method, response, self.answers
        )
        if not _is_end_known(request.exchange.method, response):
            await _raise_if_crashed(self.poison, target)
        if status >= _MIN_SERVER_ERROR_STATUS and self._may_retry_elsewhere(
            request, target
        ):
            raise _ServerFailureError(f'status {status}', Ran.may_have_run)
        self._record_first_byte(request, target, sent_at)
        await self._forward_whole(request, response, body)
        if status < _MIN_SERVER_ERROR_STATUS:
            self.poison.on_answered(request.digests, sent_at)

    def _record_limit(self, target: TargetRecord, headers: HeaderPairs) -> None:
        rate = self.dialect.stated_limit(headers)
        limits = self.target_selector.limits
        if limits.record_answer(target.target_id, rate, self.clock()):
            log_decision(
                'target_limit',
                target.target_id,
                'an answer names another limit than the last one',
                rate=rate,
                service=target.service,
            )

    def _record_notice(
        self,
        target: TargetRecord,
        status: int,
        headers: HeaderPairs,
        model: str,
    ) -> None:
        """Apply what a target says of itself."""
        notice = self.dialect.read_notice(status, headers)
        if notice.is_leaving and self.fleet.registry.mark_leaving(
            target.target_id
        ):
            log_decision(
                'target_leaving',
                target.target_id,
                'an answer says that the target is about to end',
                service=target.service,
            )
        if notice.retry_after:
            log_decision(
                'target_pause',
                target.target_id,
                'the target wants no requests for this time',
                seconds=notice.retry_after,
                service=target.service,
            )
        self.cold_found(target, notice.cold_seconds)
        now = self.clock()
        pauses = self.target_selector.pauses
        pauses.record_answer(target.target_id, notice.brittle_rate, now)
        is_rejected = self.dialect.is_not_run_response(status, headers) and (
            not self.dialect.is_misdirected(status)
        )
        if is_rejected:
            selector = self.target_selector
            running = math.inf
            if model:
                running = selector.running(target.target_id)
            selector.paces.record_refusal(
                target.target_id, target.slots, running, now
            )
        if is_rejected or notice.retry_after:
            pauses.record_rejection(
                target.target_id, notice.retry_after, self.instances(), now
            )

    def _may_retry_elsewhere(
        self, request: RoutedRequest, target: TargetRecord
    ) -> bool:
        # If it is not sent again, the caller gets the server error as it is.
        return (
            request.is_repeatable()
            and request.may_use_another_target(target.target_id)
            and request.runs + 1 < request.route.max_attempts
            and self._budget(request).try_spend(self.clock())
        )

    async def _forward_whole(
        self,
        request: RoutedRequest,
        response: httpx.Response,
        body: bytes,
    ) -> None:
        if request.exchange.started:
            raise TargetError(
                f'status {response.status_code} on resuming',
                Ran.may_have_run,
            )
        returned = self.dialect.returned_headers(response.headers.raw)
        returned.append((b'content-length', str(len(body)).encode()))
        await request.exchange.start_raw(response.status_code, returned)
        await request.exchange.write(body, more=False)

    async def _forward_stream(
        self,
        request: RoutedRequest,
        target: TargetRecord,
        response: httpx.Response,
        sent_at: float,
    ) -> None:
        exchange = request.exchange
        splitter = request.splitter
        splitter.buffer.clear()
        returned = self.dialect.returned_headers(response.headers.raw)
        content_type = response.headers.get('content-type', '')
        if exchange.started and content_type != request.content_type:
            raise TargetError(
                f'the stream goes on as {content_type or "unknown content"}',
                Ran.may_have_run,
            )
        request.content_type = content_type
        has_events = False
        with self.answers.reading() as reader:
            async for complete_events in self._whole_events(
                response, splitter, reader
            ):
                has_events = True
                _check_order(complete_events, request.resume_after())
                self._record_events(request, target, sent_at)
                request.begun_version = target.software_version
                if not exchange.started:
                    await exchange.start_raw(response.status_code, returned)
                await exchange.write(complete_events)
                splitter.record_written(complete_events)
        if splitter.buffer or not (has_events or _has_framing(response)):
            raise httpx.ReadError('the stream ended inside an event')
        if not _has_framing(response):
            await _raise_if_crashed(self.poison, target)
        if not exchange.started:
            await exchange.start_raw(response.status_code, returned)
        await exchange.write(b'', more=False)

    async def _whole_events(
        self,
        response: httpx.Response,
        splitter: EventSplitter,
        reader: AnswerReader,
    ) -> AsyncIterator[bytes]:
        """Yield the bytes of whole events of a stream as they arrive."""
        async for chunk in response.aiter_raw():
            complete_events = splitter.feed(chunk)
            if len(splitter.buffer) > MAX_EVENT_BYTES:
                raise TargetError(
                    f'an event is larger than {MAX_EVENT_BYTES} bytes',
                    Ran.may_have_run,
                )
            self.answers.keep(reader, len(splitter.buffer))
            if complete_events:
                yield complete_events

    def _record_events(
        self,
        request: RoutedRequest,
        target: TargetRecord,
        sent_at: float,
    ) -> None:
        """Record progress; bytes that complete no event are none."""
        now = self.clock()
        self.target_selector.record_bytes(target.target_id, now, sent_at)
        self.poison.on_events(request.in_flight_id)
        longest = request.longest_pause
        request.record_events(now)
        self.target_selector.outcomes.record_pause(
            request.metadata.model,
            longest,
            request.longest_pause,
            request.route.max_event_gap,
        )
        if not request.first_byte_at:
            self._record_first_byte(request, target, sent_at)

    def _record_first_byte(
        self,
        request: RoutedRequest,
        target: TargetRecord,
        sent_at: float,
    ) -> None:
        now = self.clock()
        request.first_byte_at = now
        request.answered_in = now - sent_at
        self.target_selector.outcomes.record_first_event(
            request.metadata.model, now, request.target_at
        )
        self.target_selector.record_success(target.target_id, now - sent_at)


def _record_failure(
    selector: TargetSelector,
    target: TargetRecord,
    failure: TargetError,
    now: float,
) -> None:
    if failure.unreachable:
        # The path to the target may have failed rather than the target.
        selector.record_unreachable(target.target_id, now)
        return
    selector.record_failure(target.target_id, now)
    if not isinstance(failure, _NotRunError | _ServerFailureError):
        selector.paces.record_broken(target.target_id, target.slots, now)


def _check_order(events: bytes, last_event_id: str) -> None:
    """Check that events go on where the caller's stream has got to.

    :raises TargetError: the target sends an earlier event, for example because
        it has begun the stream anew.
    """
    number = disordered_id(events, last_event_id)
    if number is not None:
        raise TargetError(
            f'event {number} does not follow event {last_event_id or "?"}',
            Ran.may_have_run,
        )


def _has_framing(response: httpx.Response) -> bool:
    """Return whether the end of a response can be told from a broken one."""
    return bool(
        response.headers.keys() & {'content-length', 'transfer-encoding'}
    )


def _is_end_known(method: str, response: httpx.Response) -> bool:
    """Return whether the end of a response needs no end of its connection."""
    has_no_body = method == 'HEAD' or response.status_code in _EMPTY_STATUSES
    return has_no_body or _has_framing(response)


async def _raise_if_crashed(poison: PoisonWatch, target: TargetRecord) -> None:
    """Raise if the end of a process may have ended its answer.

    The system closes the connections of a process that has crashed, as a target
    closes the connection of an answer without a length.

    :raises httpx.ReadError: the target has crashed.
    """
    if await poison.check_target(target):
        raise httpx.ReadError('the target crashed as its answer ended')


async def _read_answer(
    method: str, response: httpx.Response, answers: AnswerMemory
) -> bytes:
    """Return the whole body of an answer that is not a stream.

    An answer without a length ends with its connection, so nothing but the
    missing body tells that its target has stopped after the head.

    :raises httpx.ReadError: the answer ended early.
    """
    body = await read_body(response, MAX_ANSWER_BYTES, answers)
    if not (body or _is_end_known(method, response)):
        raise httpx.ReadError('the answer ended before its body')
    return body
