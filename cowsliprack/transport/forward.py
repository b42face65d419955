"""Carries callers' requests to targets and the answers back."""

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
from cowsliprack.transport.answers import AnswerRelay, NotRunError
from cowsliprack.transport.dispatch_loop import DispatchLoop, Reply
from cowsliprack.transport.keyed_runs import KeyedRequest, KeyedRuns
from cowsliprack.transport.responses import Exchange
from cowsliprack.transport.target_client import Outgoing, TargetClient

# A stream whose target says nothing for this time is taken to another one,
# seconds; it is far above the time between two tokens.
_LONGEST_SILENCE = 10.0
# Seconds that an attempt gets at least.
_SHORTEST_WAIT = 0.2
# Checks whether a target crashed, and the seconds between them.
_CRASH_CHECKS = 3
_CRASH_PAUSE = 0.05
# Crashes of a plain service within such a period count as one, seconds.
_CRASH_PERIOD = 10
_log = structlog.get_logger('cowsliprack.forward')


@dataclass(slots=True)
class ForwardJob:
    """A caller's request on its way.

    :param headers: without the caller's key.
    :param path: with the query, without the caller's key.
    :param streams: the caller asked for server-sent events.
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
class _Conversation:
    """What the entry task has decided on one request so far."""

    replies: MemoryObjectReceiveStream[Reply]
    dispatch: Dispatch | None = None
    refusal: ServingError | None = None
    changed: anyio.Event = field(default_factory=anyio.Event)
    attempt_scope: anyio.CancelScope | None = None

    async def listen(self) -> None:
        """Take replies until cancelled; a refusal ends a running attempt."""
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
            raise RuntimeError('woken without a decision')
        return dispatch


@dataclass(slots=True)
class Forwarder:
    """Takes requests through admission, targets and retries.

    :param clock: seconds, monotonic.
    """

    dispatch_loop: DispatchLoop
    client: TargetClient
    keyed_runs: KeyedRuns
    metrics: Metrics
    clock: Callable[[], float]

    async def forward(self, job: ForwardJob) -> None:
        """Serve one request to its end.

        :param job: of a caller.
        :raises ServingError: nothing has been sent to the caller yet.
        """
        if job.idempotency_key is None or job.request.repeatable:
            await self._serve(job, _relay_of(job))
            return
        claimed = await self.keyed_runs.claim(_keyed(job))
        if isinstance(claimed, RecordedAnswer):
            await job.exchange.answer(
                claimed.body,
                claimed.content_type,
                claimed.status,
                [('idempotency-replayed', 'true')],
            )
            return
        job.claim = claimed
        await self._serve_claimed(job, claimed)

    async def _serve_claimed(self, job: ForwardJob, claim: Claim) -> None:
        is_not_run = False
        try:
            await self._serve(job, _relay_of(job))
        except ServingError as error:
            is_not_run = error.ran is Ran.not_run
            raise
        finally:
            # Without an attempt nothing was sent, whatever ended the request.
            if is_not_run or not job.request.attempts:
                with anyio.CancelScope(shield=True):
                    await self.keyed_runs.release(claim)

    async def _serve(self, job: ForwardJob, relay: AnswerRelay) -> None:
        request = job.request
        try:
            async with self.dispatch_loop.submit(request) as replies:
                await self._converse(job, relay, _Conversation(replies))
        finally:
            await self._finish(job, relay)

    async def _finish(self, job: ForwardJob, relay: AnswerRelay) -> None:
        request = job.request
        used: float = job.prompt_tokens + relay.generated
        if not request.attempts:
            used = 0
        elif not request.is_model:
            used = request.tokens
        await self.dispatch_loop.report_finished(request.request_id, used)
        self.metrics.tokens.add(
            {'organisation': request.organisation or 'open'},
            used,
        )

    async def _converse(
        self,
        job: ForwardJob,
        relay: AnswerRelay,
        conversation: _Conversation,
    ) -> None:
        error: ServingError | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(conversation.listen)
            tasks.start_soon(_watch_caller, job, tasks.cancel_scope)
            try:
                await self._attempt_until_done(job, relay, conversation)
            except ServingError as failure:
                error = failure
            tasks.cancel_scope.cancel()
        if error is not None:
            await self._end_with_error(job, error)
        elif relay.complete:
            self.metrics.requests.inc({'kind': 'ok'})

    async def _attempt_until_done(
        self,
        job: ForwardJob,
        relay: AnswerRelay,
        conversation: _Conversation,
    ) -> None:
        while not relay.complete:
            dispatch = await conversation.next_dispatch()
            failure: AttemptFailure | None = None
            with anyio.CancelScope() as scope:
                conversation.attempt_scope = scope
                if conversation.refusal is not None:
                    scope.cancel()
                failure = await self._attempt(job, relay, dispatch)
            conversation.attempt_scope = None
            if failure is not None:
                await self.dispatch_loop.report_failure(failure)
            elif relay.complete:
                await self._record(job, relay)
                await relay.finish()

    async def _attempt(
        self,
        job: ForwardJob,
        relay: AnswerRelay,
        dispatch: Dispatch,
    ) -> AttemptFailure | None:
        outgoing = _outgoing(job, relay, dispatch, self.clock())
        try:
            async with self.client.request(outgoing) as incoming:
                await relay.relay(incoming, job.request.request_id)
                self._observe_first_byte(job, relay)
        except NotRunError as refused:
            return _failure(job, relay, str(refused), Ran.not_run)
        except TargetError as broken:
            crash = ''
            if broken.ran is Ran.may_have_run and not broken.silent:
                crash = await self._find_crash(job, dispatch)
            failure = _failure(job, relay, str(broken), broken.ran)
            failure.crash_id = crash
            failure.sent = broken.ran is Ran.may_have_run
            failure.unreachable = broken.unreachable
            failure.was_pooled = failure.sent and outgoing.reuse
            return failure
        return None

    async def _find_crash(self, job: ForwardJob, dispatch: Dispatch) -> str:
        """Return the id of the crash that broke an attempt, or nothing."""
        if not job.request.is_model:
            return await self._find_service_crash(dispatch)
        crash = crash_id(dispatch.target_id, dispatch.boot_id or 'unknown')
        for _ in range(_CRASH_CHECKS):
            # Asked on a new connection: the pooled ones ended with the crash.
            if await self.client.is_down(dispatch.url):
                return crash
            with contextlib.suppress(TargetError):
                report = await self.client.read_report(dispatch.url)
                is_new = dispatch.boot_id not in {'', report.boot_id}
                return crash if is_new else ''
            # A process that is ending may still take a connection.
            await anyio.sleep(_CRASH_PAUSE)
        return ''

    async def _find_service_crash(self, dispatch: Dispatch) -> str:
        for _ in range(_CRASH_CHECKS):
            if await self.client.is_down(dispatch.url):
                # A plain service has no boot id. Instances that lose requests
                # in the same crash find it at almost the same time.
                period = int(time.time() / _CRASH_PERIOD)
                return crash_id(dispatch.target_id, f'period-{period}')
            await anyio.sleep(_CRASH_PAUSE)
        return ''

    async def _record(self, job: ForwardJob, relay: AnswerRelay) -> None:
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
        # No end marker: the caller must see that the answer is incomplete.
        await job.exchange.write(format_error(error), more=False)

    def _observe_first_byte(self, job: ForwardJob, relay: AnswerRelay) -> None:
        if relay.first_byte_at is not None:
            waited = relay.first_byte_at - job.request.received_at
            self.metrics.first_byte.observe({}, waited)


async def _watch_caller(job: ForwardJob, scope: anyio.CancelScope) -> None:
    await job.exchange.wait_for_disconnect()
    # A keyed request that was sent goes on: its answer is recorded for the
    # next try of its caller.
    if job.claim is None or not job.request.attempts:
        scope.cancel()


def _relay_of(job: ForwardJob) -> AnswerRelay:
    return AnswerRelay(job.exchange, job.streams, job.request.is_model)


def _failure(
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


def _outgoing(
    job: ForwardJob,
    relay: AnswerRelay,
    dispatch: Dispatch,
    now: float,
) -> Outgoing:
    headers = [
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in job.headers
        if name.lower() not in _OWN_HEADERS
    ]
    headers.append(('x-request-id', job.request.request_id))
    headers.append(('x-priority', str(job.request.priority)))
    headers.extend(relay.resume_headers())
    remaining = max(job.request.deadline - now, _SHORTEST_WAIT)
    answer_seconds = remaining
    silence_seconds = max(remaining, _LONGEST_SILENCE)
    if job.streams:
        # Half of the time is left for another target.
        answer_seconds = min(remaining / 2, _LONGEST_SILENCE)
        silence_seconds = _LONGEST_SILENCE
    return Outgoing(
        method=job.method,
        url=f'{dispatch.url}{job.path}',
        headers=tuple(headers),
        body=job.body,
        # A plain service does not repeat the request's id, so an answer that
        # was left on a pooled connection could not be recognised; and after
        # a failure the pool may hold more connections of the same fault.
        reuse=job.request.is_model and job.request.attempts == 1,
        answer_seconds=answer_seconds,
        silence_seconds=silence_seconds,
    )


# Set by this instance; what the caller sent under these names is its own.
_OWN_HEADERS = frozenset(
    (
        b'x-request-id',
        b'x-priority',
        b'x-request-deadline-ms',
        b'last-event-id',
        b'accept-encoding',
    )
)


def _keyed(job: ForwardJob) -> KeyedRequest:
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
