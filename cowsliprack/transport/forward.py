"""Forwards callers' requests to targets and relays the answers."""

import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import structlog
from anyio.streams.memory import MemoryObjectReceiveStream

from cowsliprack.coordination.idempotency import Claim, RecordedAnswer
from cowsliprack.coordination.poison import crash_id
from cowsliprack.coordination.serving import (
    AttemptFailure,
    Dispatch,
    Refuse,
    ServingRequest,
)
from cowsliprack.exceptions import ErrorKind, Ran, ServingError, TargetError
from cowsliprack.metrics import Metrics
from cowsliprack.protocol.credentials import HeaderList
from cowsliprack.protocol.sse import format_error
from cowsliprack.transport.answer_relay import AnswerRelay, NotRunError
from cowsliprack.transport.bounded_body import AnswerMemory
from cowsliprack.transport.dispatch_loop import DispatchLoop, Reply
from cowsliprack.transport.exchange import (
    Exchange,
    dropped_in_doubt,
    memory_full,
    request_dropper,
)
from cowsliprack.transport.keyed_runs import KeyedRequest, KeyedRuns
from cowsliprack.transport.target_client import TargetClient, TargetRequest

# Silence after which a stream is resumed at another target; far above the time
# between two tokens.
_STREAM_TIMEOUT_SECONDS = 10.0
# Minimum timeout of an attempt close to the request's deadline.
_MIN_ATTEMPT_SECONDS = 0.2
# Checks after a failed attempt whether the target process has ended.
_CRASH_CHECKS = 3
_CRASH_CHECK_INTERVAL_SECONDS = 0.05
# Crashes of a plain service within one period count as one.
_CRASH_PERIOD_SECONDS = 10
_log = structlog.get_logger('cowsliprack.forward')


@dataclass(slots=True)
class ForwardJob:
    """A caller's request that is being forwarded.

    :param headers: without the caller's key.
    :param path: with the query, without the caller's key.
    :param streams: the caller requested server-sent events.
    :param claim: of the idempotency key.
    """

    exchange: Exchange
    request: ServingRequest
    method: str
    path: str
    headers: HeaderList
    body: bytes
    streams: bool = False
    prompt_tokens: int = 0
    idempotency_key: str | None = None
    claim: Claim | None = None


@dataclass(slots=True)
class _DecisionReceiver:
    """Receives the dispatcher's decisions on one request.

    :param changed: set when a decision has arrived.
    """

    replies: MemoryObjectReceiveStream[Reply]
    dispatch: Dispatch | None = None
    refusal: ServingError | None = None
    changed: anyio.Event = field(default_factory=anyio.Event)
    attempt_scope: anyio.CancelScope | None = None

    async def receive(self) -> None:
        """Receive replies until cancelled; a refusal cancels the attempt."""
        async for reply in self.replies:
            if isinstance(reply, Refuse):
                self.refusal = reply.error
                if self.attempt_scope is not None:
                    self.attempt_scope.cancel()
            else:
                self.dispatch = reply
            self.changed.set()

    async def next_dispatch(self) -> Dispatch:
        """Return the next dispatch.

        :raises ServingError: the request was refused or stopped.
        """
        while self.dispatch is None and self.refusal is None:
            await self.changed.wait()
            self.changed = anyio.Event()
        if self.refusal is not None:
            raise self.refusal
        dispatch = self.dispatch
        self.dispatch = None
        if dispatch is None:
            raise RuntimeError('the dispatcher sent no decision')
        return dispatch


@dataclass(slots=True)
class Forwarder:
    """Admits requests, sends them to targets and retries them.

    :param clock: monotonic, seconds.
    :param answers: the unfinished answers of all requests.
    """

    dispatch_loop: DispatchLoop
    client: TargetClient
    keyed_runs: KeyedRuns
    metrics: Metrics
    clock: Callable[[], float]
    answers: AnswerMemory = field(default_factory=AnswerMemory)

    async def forward(self, job: ForwardJob) -> None:
        """Serve one request to completion.

        :param job: of a caller.
        :raises ServingError: the request failed before any part of an answer
            was sent to the caller.
        """
        if job.idempotency_key is None or job.request.repeatable:
            await self._serve(job, _new_relay(job, self.answers))
            return
        claim_or_answer = await self.keyed_runs.claim(_keyed_request(job))
        if isinstance(claim_or_answer, RecordedAnswer):
            await job.exchange.answer(
                claim_or_answer.body,
                claim_or_answer.content_type,
                claim_or_answer.status,
                [('idempotency-replayed', 'true')],
            )
            return
        job.claim = claim_or_answer
        await self._serve_claimed(job, claim_or_answer)

    async def _serve_claimed(self, job: ForwardJob, claim: Claim) -> None:
        not_run = False
        try:
            await self._serve(job, _new_relay(job, self.answers))
        except ServingError as error:
            not_run = error.ran is Ran.not_run
            raise
        finally:
            # Without an attempt nothing was sent to a target.
            if not_run or not job.request.attempts:
                with anyio.CancelScope(shield=True):
                    await self.keyed_runs.release(claim)

    async def _serve(self, job: ForwardJob, relay: AnswerRelay) -> None:
        request = job.request
        try:
            async with self.dispatch_loop.submit(request) as replies:
                await self._run_attempts(job, relay, _DecisionReceiver(replies))
        finally:
            await self._finish(job, relay)

    async def _finish(self, job: ForwardJob, relay: AnswerRelay) -> None:
        request = job.request
        used_tokens: float = job.prompt_tokens + relay.output_tokens
        if not request.attempts:
            used_tokens = 0
        elif not request.is_model:
            used_tokens = request.tokens
        await self.dispatch_loop.report_finished(
            request.request_id, used_tokens
        )
        self.metrics.tokens.add(
            {'organisation': request.organisation or 'open'},
            used_tokens,
        )

    async def _run_attempts(
        self,
        job: ForwardJob,
        relay: AnswerRelay,
        decisions: _DecisionReceiver,
    ) -> None:
        error: ServingError | None = None
        holding = job.exchange.holding
        async with anyio.create_task_group() as tasks:
            if holding.is_dropped:
                tasks.cancel_scope.cancel()
            holding.is_spared = lambda: bool(job.request.attempts)
            holding.drop = _dropper(job, tasks.cancel_scope)
            tasks.start_soon(decisions.receive)
            tasks.start_soon(_cancel_on_disconnect, job, tasks.cancel_scope)
            try:
                await self._attempt_until_complete(job, relay, decisions)
            except ServingError as failure:
                error = failure
            tasks.cancel_scope.cancel()
        if error is None and holding.is_dropped and not relay.complete:
            was_sent = bool(job.request.attempts)
            error = dropped_in_doubt() if was_sent else memory_full()
        if error is not None:
            await self._end_with_error(job, error)
        elif relay.complete:
            self.metrics.requests.inc({'kind': 'ok'})

    async def _attempt_until_complete(
        self,
        job: ForwardJob,
        relay: AnswerRelay,
        decisions: _DecisionReceiver,
    ) -> None:
        while not relay.complete:
            dispatch = await decisions.next_dispatch()
            failure: AttemptFailure | None = None
            with anyio.CancelScope() as scope:
                decisions.attempt_scope = scope
                if decisions.refusal is not None:
                    scope.cancel()
                failure = await self._attempt(job, relay, dispatch)
            decisions.attempt_scope = None
            if failure is not None:
                await self.dispatch_loop.report_failure(failure)
            elif relay.complete:
                await self._record_answer(job, relay)
                await relay.finish()

    async def _attempt(
        self,
        job: ForwardJob,
        relay: AnswerRelay,
        dispatch: Dispatch,
    ) -> AttemptFailure | None:
        target_request = _build_target_request(
            job, relay, dispatch, self.clock()
        )
        try:
            async with self.client.request(target_request) as response:
                await relay.relay(response, job.request.request_id)
                self._observe_first_byte(job, relay)
        except NotRunError as error:
            return _attempt_failure(job, relay, str(error), Ran.not_run)
        except TargetError as error:
            found_crash_id = ''
            if error.ran is Ran.may_have_run and not error.timed_out:
                found_crash_id = await self._find_crash(job, dispatch)
            failure = _attempt_failure(job, relay, str(error), error.ran)
            failure.crash_id = found_crash_id
            failure.sent = error.ran is Ran.may_have_run
            failure.unreachable = error.unreachable
            failure.was_pooled = failure.sent and target_request.reuse
            return failure
        return None

    async def _find_crash(self, job: ForwardJob, dispatch: Dispatch) -> str:
        """Return the id of the crash that broke an attempt, else empty."""
        if not job.request.is_model:
            return await self._find_service_crash(dispatch)
        found_crash_id = crash_id(
            dispatch.target_id, dispatch.boot_id or 'unknown'
        )
        for _ in range(_CRASH_CHECKS):
            # Uses a new connection: the pooled ones ended with the crash.
            if await self.client.is_down(dispatch.url):
                return found_crash_id
            with contextlib.suppress(TargetError):
                report = await self.client.read_report(dispatch.url)
                is_new = dispatch.boot_id not in {'', report.boot_id}
                return found_crash_id if is_new else ''
            # A process that is exiting may still accept a connection.
            await anyio.sleep(_CRASH_CHECK_INTERVAL_SECONDS)
        return ''

    async def _find_service_crash(self, dispatch: Dispatch) -> str:
        for _ in range(_CRASH_CHECKS):
            if await self.client.is_down(dispatch.url):
                # A plain service has no boot id. Instances whose requests fail
                # in the same crash detect it at almost the same time.
                period = int(time.time() / _CRASH_PERIOD_SECONDS)
                return crash_id(dispatch.target_id, f'period-{period}')
            await anyio.sleep(_CRASH_CHECK_INTERVAL_SECONDS)
        return ''

    async def _record_answer(self, job: ForwardJob, relay: AnswerRelay) -> None:
        if job.claim is None:
            return
        with anyio.CancelScope(shield=True):
            await self.keyed_runs.finish(
                job.claim,
                RecordedAnswer(relay.status, relay.content_type, relay.body),
            )

    async def _end_with_error(
        self,
        job: ForwardJob,
        error: ServingError,
    ) -> None:
        if not job.exchange.started:
            raise error
        self.metrics.requests.inc({'kind': error.kind.value})
        _log.info(
            'stream_ended_with_error',
            request_id=job.request.request_id,
            kind=error.kind.value,
            detail=error.detail,
        )
        # No end marker, so that the caller sees the answer is incomplete.
        await job.exchange.write(format_error(error), more=False)

    def _observe_first_byte(self, job: ForwardJob, relay: AnswerRelay) -> None:
        if relay.first_byte_at is not None:
            seconds = relay.first_byte_at - job.request.received_at
            self.metrics.first_byte.observe({}, seconds)


async def _cancel_on_disconnect(
    job: ForwardJob, scope: anyio.CancelScope
) -> None:
    await job.exchange.wait_for_disconnect()
    if _may_cancel(job):
        scope.cancel()


def _may_cancel(job: ForwardJob) -> bool:
    """Return whether a request may end without its answer.

    A keyed request that was sent continues: its answer is recorded for a retry
    of the caller.
    """
    return job.claim is None or not job.request.attempts


def _dropper(job: ForwardJob, scope: anyio.CancelScope) -> Callable[[], None]:
    """Return a function that ends a request whose bytes are dropped."""
    drop = request_dropper(job.exchange, scope)
    return lambda: drop() if _may_cancel(job) else None


def _new_relay(job: ForwardJob, answers: AnswerMemory) -> AnswerRelay:
    return AnswerRelay(job.exchange, answers, job.streams, job.request.is_model)


def _attempt_failure(
    job: ForwardJob,
    relay: AnswerRelay,
    detail: str,
    ran: Ran,
) -> AttemptFailure:
    return AttemptFailure(
        request_id=job.request.request_id,
        detail=detail,
        ran=ran,
        resumable=job.request.is_model and relay.is_resumable(),
        answer_started=job.exchange.started,
    )


def _build_target_request(
    job: ForwardJob,
    relay: AnswerRelay,
    dispatch: Dispatch,
    now: float,
) -> TargetRequest:
    headers = [
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in job.headers
        if name.lower() not in _OVERWRITTEN_HEADERS
    ]
    headers.append(('x-request-id', job.request.request_id))
    headers.append(('x-priority', str(job.request.priority)))
    headers.extend(relay.resume_headers())
    remaining = max(job.request.deadline - now, _MIN_ATTEMPT_SECONDS)
    header_timeout_seconds = remaining
    read_timeout_seconds = max(remaining, _STREAM_TIMEOUT_SECONDS)
    if job.streams:
        # Reserve half of the time for another target.
        header_timeout_seconds = min(remaining / 2, _STREAM_TIMEOUT_SECONDS)
        read_timeout_seconds = _STREAM_TIMEOUT_SECONDS
    return TargetRequest(
        method=job.method,
        url=f'{dispatch.url}{job.path}',
        headers=tuple(headers),
        body=job.body,
        # A plain service does not return the request id, so a stale answer on
        # a pooled connection could not be detected. After a failure the pool
        # may hold more connections with the same fault.
        reuse=job.request.is_model and job.request.attempts == 1,
        header_timeout_seconds=header_timeout_seconds,
        read_timeout_seconds=read_timeout_seconds,
    )


# Set by this instance; values sent by the caller are dropped.
_OVERWRITTEN_HEADERS = frozenset(
    (
        b'x-request-id',
        b'x-priority',
        b'x-request-deadline-ms',
        b'last-event-id',
        b'accept-encoding',
    )
)


def _keyed_request(job: ForwardJob) -> KeyedRequest:
    if job.idempotency_key is None:
        raise ServingError(ErrorKind.bad_request, 'no idempotency key')
    return KeyedRequest(
        organisation=job.request.organisation,
        route=job.request.resource,
        idempotency_key=job.idempotency_key,
        method=job.method,
        path=job.path,
        body=job.body,
    )
