"""Carries requests of routes to targets and the answers back."""

import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import httpx

from cowsliprack.coordination.fleet_view import FleetView
from cowsliprack.coordination.retry import RetryBudget
from cowsliprack.coordination.target_selector import TargetSelector
from cowsliprack.exceptions import ErrorKind, Ran, ServingError, TargetError
from cowsliprack.logs import log_decision
from cowsliprack.protocol.dialect import Dialect, ForwardingMetadata
from cowsliprack.state.routing_table import RoutingTable
from cowsliprack.state.target_registry import TargetRecord
from cowsliprack.transport.route_job import RouteJob
from cowsliprack.transport.target_client import SendTrace
from cowsliprack.transport.target_finder import TargetFinder, shutting_down

# Shortest time in which a target can do anything useful, seconds.
_SHORTEST_RUN = 0.03
# Sends of one request at most, refusals of targets included.
_MOST_SENDS = 6
# Pause before a request goes to the same target again that refused it, for
# instance because a load has just not ended, seconds.
_REFUSED_PAUSE = 0.015
# A request that may be sent again leaves a silent target after this multiple
# of its latency target, so that a second target can still answer in time.
_SILENCE_FACTOR = 2.5
_SERVER_ERROR = 500
_OK = 200


class _NotRunError(TargetError):
    """A target refused a request without running it."""


class _FailedAnswerError(TargetError):
    """A target answered with a failure; the next send is paid for."""


@dataclass(slots=True)
class RouteRelay:
    """Sends requests of one instance and passes on what comes back.

    :param finder: finds the targets.
    :param apply_retry_limit: sets what a budget of repeats admits, which
        changes with the number of instances.
    :param table: returns the configuration in force.
    :param demand_changed: called when a request begins to wait, and when the
        first one of a model begins to run on a target or the last one ends.
    :param clock: seconds; goes on during suspension.
    """

    client: httpx.AsyncClient
    dialect: Dialect
    fleet: FleetView
    choice: TargetSelector
    finder: TargetFinder
    apply_retry_limit: Callable[[RetryBudget], None]
    table: Callable[[], RoutingTable]
    demand_changed: Callable[[], None]
    clock: Callable[[], float]
    rng: random.Random = field(default_factory=random.Random)
    budgets_by_service: dict[str, RetryBudget] = field(default_factory=dict)
    ended: bool = False
    _scopes: set[anyio.CancelScope] = field(default_factory=set)

    def end_requests(self) -> None:
        """Give every request its final answer now: the instance stops."""
        self.ended = True
        for scope in self._scopes:
            scope.cancel()

    async def serve(self, job: RouteJob) -> None:
        """Serve one request to its end.

        :param job: admitted request.
        :raises ServingError: the answer is an error; when it has been begun,
            it must end as incomplete.
        """
        self._budget(job).deposit(self.clock())
        try:
            await self._serve_in_time(job)
        except ServingError as error:
            if error.ran is Ran.not_run and job.is_in_doubt():
                # An earlier send may have run, whatever ended the last one.
                raise ServingError(
                    ErrorKind.target_failed,
                    error.detail,
                ) from error
            raise

    async def _serve_in_time(self, job: RouteJob) -> None:
        scope = anyio.move_on_after(job.deadline - self.clock())
        self._scopes.add(scope)
        try:
            with scope:
                await self._serve_attempts(job)
                return
        finally:
            self._scopes.discard(scope)
        if job.is_in_doubt():
            raise ServingError(
                ErrorKind.answer_timeout,
                'the target has not answered in time',
            )
        if self.ended:
            raise shutting_down()
        raise ServingError(
            ErrorKind.deadline_passed,
            'no target was free in time',
            retry_after=1,
        )

    async def _serve_attempts(self, job: RouteJob) -> None:
        while True:
            target = await self.finder.find(job)
            try:
                await self._attempt(job, target)
            except TargetError as failure:
                await self._after_failure(job, target, failure)
            else:
                return

    async def _after_failure(
        self,
        job: RouteJob,
        target: TargetRecord,
        failure: TargetError,
    ) -> None:
        """Return if the request shall be sent again, else raise."""
        now = self.clock()
        job.trace = None
        if failure.ran is Ran.may_have_run:
            job.may_have_run = True
            job.ran_on.add(target.target_id)
            job.runs += 1
        if failure.unreachable:
            self.choice.record_unreachable(target.target_id, now)
        else:
            self.choice.record_failure(target.target_id, now)
        retry, reason = self._may_retry(job, failure, now)
        log_decision(
            'retry',
            'send again' if retry else 'give up',
            reason,
            request_id=job.metadata.request_id,
            target=target.target_id,
            failure=str(failure),
            ran=failure.ran.value,
            sends=job.sends,
        )
        if not retry:
            raise self._final_error(job, failure)
        if isinstance(failure, _NotRunError):
            await anyio.sleep(_REFUSED_PAUSE)

    def _may_retry(
        self,
        job: RouteJob,
        failure: TargetError,
        now: float,
    ) -> tuple[bool, str]:
        if job.sends >= _MOST_SENDS:
            return False, 'sent too often'
        if job.deadline - now < _SHORTEST_RUN:
            return False, 'deadline reached'
        if failure.ran is Ran.may_have_run and not job.is_repeatable():
            return False, 'may have run'
        if failure.unreachable:
            return True, 'never reached the target'
        if job.runs >= job.route.max_attempts:
            return False, 'attempts are used up'
        is_paid = isinstance(failure, _FailedAnswerError)
        if not is_paid and not self._budget(job).try_spend(now):
            return False, 'retry budget is spent'
        return True, 'retry'

    def _budget(self, job: RouteJob) -> RetryBudget:
        """Return the budget of a service; it is counted for each apart."""
        budget = self.budgets_by_service.get(job.service)
        if budget is not None:
            self.apply_retry_limit(budget)
            return budget
        budget = RetryBudget()
        self.apply_retry_limit(budget)
        budget.tokens = budget.capacity
        self.budgets_by_service[job.service] = budget
        return budget

    def _final_error(self, job: RouteJob, failure: TargetError) -> ServingError:
        if job.exchange.started:
            return ServingError(ErrorKind.stream_broken, str(failure))
        if job.may_have_run and not job.is_repeatable():
            return ServingError(ErrorKind.target_failed, str(failure))
        if isinstance(failure, _NotRunError) or not job.may_have_run:
            return ServingError(
                ErrorKind.target_refused,
                str(failure),
                retry_after=self.rng.uniform(0.3, 0.8),
            )
        return ServingError(ErrorKind.target_failed, str(failure))

    async def _attempt(self, job: RouteJob, target: TargetRecord) -> None:
        now = self.clock()
        job.sends += 1
        if target.target_id not in job.tried:
            job.tried.append(target.target_id)
        log_decision(
            'routing',
            target.target_id,
            'least loaded target that holds the model',
            request_id=job.metadata.request_id,
            route=job.route.name,
            model=job.metadata.model,
            adapter=job.metadata.adapter,
            running=round(self.choice.running(target.target_id), 1),
            waited_ms=round((now - job.arrived_at) * 1000),
            view_age_ms=round(min(now - self.fleet.updated_at, 1e4) * 1000),
            configuration=self.table().generation,
            registry=self.fleet.registry.revision,
        )
        model = job.metadata.model
        self.choice.start(target.target_id, model, job.metadata.adapter, now)
        # The leader must know at once whether an engine can give up a model.
        if self.choice.own_running(target.target_id, model) == 1:
            self.demand_changed()
        try:
            await self._exchange(job, target, now)
        finally:
            self.choice.end(target.target_id, model, job.metadata.adapter)
            if model and not self.choice.own_running(target.target_id, model):
                self.demand_changed()

    async def _exchange(
        self,
        job: RouteJob,
        target: TargetRecord,
        sent_at: float,
    ) -> None:
        trace = SendTrace()
        job.trace = trace
        request = self._build(job, target, sent_at, trace)
        try:
            patience = self._patience(job, target, sent_at)
            async with self._opened(request, patience) as answer:
                await self._take_answer(job, target, answer, sent_at)
        except (httpx.HTTPError, TimeoutError) as failure:
            raise TargetError(
                f'{type(failure).__name__}: {failure}',
                trace.ran(),
                unreachable=not trace.sent,
            ) from failure

    @asynccontextmanager
    async def _opened(
        self,
        request: httpx.Request,
        patience: float | None,
    ) -> AsyncIterator[httpx.Response]:
        with anyio.fail_after(patience):
            answer = await self.client.send(request, stream=True)
        try:
            yield answer
        finally:
            with anyio.CancelScope(shield=True):
                await answer.aclose()

    def _build(
        self,
        job: RouteJob,
        target: TargetRecord,
        sent_at: float,
        trace: SendTrace,
    ) -> httpx.Request:
        exchange = job.exchange
        headers = self.dialect.forwarded_headers(
            exchange.headers,
            ForwardingMetadata(
                target_id=target.target_id,
                seconds_left=job.deadline - sent_at,
                organisation=job.organisation_name(),
                resume_after=job.resume_after(),
                priority=job.priority() if job.metadata.model else None,
            ),
        )
        if job.body or exchange.method not in {'GET', 'HEAD', 'DELETE'}:
            headers.append((b'content-length', str(len(job.body)).encode()))
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
            stream=httpx.ByteStream(job.body),
            extensions={'trace': trace},
        )

    def _patience(
        self,
        job: RouteJob,
        target: TargetRecord,
        now: float,
    ) -> float | None:
        """Return how long a target may say nothing, in seconds."""
        if not (job.is_repeatable() and job.may_leave(target.target_id)):
            return None
        patience = job.route.latency_target * _SILENCE_FACTOR
        return patience if now + patience < job.deadline else None

    async def _take_answer(
        self,
        job: RouteJob,
        target: TargetRecord,
        answer: httpx.Response,
        sent_at: float,
    ) -> None:
        headers = answer.headers.raw
        status = answer.status_code
        self.choice.record_bytes(target.target_id, self.clock())
        if not self.dialect.is_response_to(headers, job.metadata.request_id):
            raise TargetError(
                'the answer belongs to another request',
                Ran.may_have_run,
            )
        if self.dialect.is_not_run_response(status, headers):
            if self.dialect.is_misdirected(status):
                self.fleet.mark_missing(
                    target.target_id,
                    job.metadata.model,
                    job.metadata.adapter,
                )
            raise _NotRunError(f'refused with status {status}', Ran.not_run)
        job.may_have_run = True
        if job.route.streams and status == _OK:
            await self._pass_stream(job, target, answer, sent_at)
            return
        body = await answer.aread()
        if status >= _SERVER_ERROR and self._may_try_other(job, target):
            raise _FailedAnswerError(f'status {status}', Ran.may_have_run)
        self._note_first_byte(job, target, sent_at)
        await self._pass_whole(job, answer, body)

    def _may_try_other(self, job: RouteJob, target: TargetRecord) -> bool:
        # Without a further send the failure is the caller's answer.
        return (
            job.is_repeatable()
            and job.may_leave(target.target_id)
            and job.runs + 1 < job.route.max_attempts
            and self._budget(job).try_spend(self.clock())
        )

    async def _pass_whole(
        self,
        job: RouteJob,
        answer: httpx.Response,
        body: bytes,
    ) -> None:
        if job.exchange.started:
            raise TargetError(
                f'status {answer.status_code} on resuming',
                Ran.may_have_run,
            )
        returned = self.dialect.returned_headers(answer.headers.raw)
        returned.append((b'content-length', str(len(body)).encode()))
        await job.exchange.start_raw(answer.status_code, returned)
        await job.exchange.write(body, more=False)

    async def _pass_stream(
        self,
        job: RouteJob,
        target: TargetRecord,
        answer: httpx.Response,
        sent_at: float,
    ) -> None:
        exchange = job.exchange
        job.splitter.buffer.clear()
        returned = self.dialect.returned_headers(answer.headers.raw)
        async for chunk in answer.aiter_raw():
            self.choice.record_bytes(target.target_id, self.clock())
            whole = job.splitter.feed(chunk)
            if not whole:
                continue
            if not job.first_byte_at:
                self._note_first_byte(job, target, sent_at)
            if not exchange.started:
                await exchange.start_raw(answer.status_code, returned)
            await exchange.write(whole)
        if not exchange.started:
            await exchange.start_raw(answer.status_code, returned)
        await exchange.write(bytes(job.splitter.buffer), more=False)

    def _note_first_byte(
        self,
        job: RouteJob,
        target: TargetRecord,
        sent_at: float,
    ) -> None:
        now = self.clock()
        job.first_byte_at = now
        self.choice.record_success(target.target_id, now - sent_at)
