"""State machine of one instance's request path, without I/O.

Each method takes an event and the current time, and returns the dispatches,
refusals, log lines and messages to the zone leader that follow from it.
"""

from dataclasses import dataclass, field

from cowsliprack.coordination import admission, estimates, outcomes
from cowsliprack.coordination.capacity import Capacity
from cowsliprack.coordination.fair_queue import FairQueue
from cowsliprack.coordination.next_start import StartCheck, next_startable
from cowsliprack.coordination.retry import RetryBudget
from cowsliprack.coordination.serving import (
    AttemptFailure,
    Dispatch,
    Phase,
    Refuse,
    ServingAction,
    ServingRequest,
    ToLeader,
)
from cowsliprack.exceptions import ErrorKind, Ran, ServingError
from cowsliprack.protocol.peer import (
    AnyPeerMessage,
    ColdStartRefusal,
    CreditGrant,
    PoisonNotice,
    ReplicaView,
    TargetLeaving,
)
from cowsliprack.state.configuration import Configuration

# Time that a resumed stream has at least to reach another target.
_MIN_RESUME_SECONDS = 10.0


@dataclass(slots=True)
class Dispatcher:
    """Admits, queues, dispatches and retries the requests of one instance.

    :param capacity: targets and credit of the instance.
    :param max_queue: maximum number of queued requests.
    :param retry_budget: limits the retries of the instance.
    :param draining: new requests are refused.
    :param requests_by_id: queued and running requests.
    """

    capacity: Capacity
    max_queue: int = 1000
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    draining: bool = False
    requests_by_id: dict[str, ServingRequest] = field(default_factory=dict)
    queue: FairQueue = field(init=False)

    def __post_init__(self) -> None:
        """Start with an empty queue."""
        self.queue = FairQueue(self.max_queue)

    def queued_count(self) -> int:
        """Return the number of queued requests."""
        return len(self.queue)

    def running_count(self) -> int:
        """Return the number of requests in flight to targets."""
        return len(self.requests_by_id) - len(self.queue)

    def drain(self) -> None:
        """Refuse new requests; those already admitted are served."""
        self.draining = True

    def is_drained(self) -> bool:
        """Return whether the instance drains and no request is left."""
        return self.draining and not self.requests_by_id

    def submit(
        self,
        request: ServingRequest,
        now: float,
    ) -> list[ServingAction]:
        """Admit a new request and dispatch it if possible, or refuse it.

        :param request: of a caller.
        :param now: seconds.
        """
        error = self._admission_error(request, now)
        if error is not None:
            return self._refuse(request, error, now)
        self.retry_budget.deposit(now)
        self.requests_by_id[request.request_id] = request
        try:
            self._enqueue(request, now)
        except ServingError as queue_error:
            return self._refuse(request, queue_error, now)
        actions = self._dispatch_startable(now)
        if request.phase is Phase.queued:
            actions.extend(self._leader_messages(now))
        return actions

    def on_finished(
        self,
        request_id: str,
        used_tokens: float,
        now: float,
    ) -> list[ServingAction]:
        """Remove a request that has ended or whose caller disconnected.

        :param request_id: of the request; unknown ids are ignored.
        :param used_tokens: prompt plus generated tokens.
        :param now: seconds.
        """
        request = self.requests_by_id.get(request_id)
        if request is None:
            return []
        if request.phase is Phase.running:
            self.capacity.release(request)
            self.capacity.record_success(request, now)
        self._remove(request, used_tokens, now)
        return self._dispatch_startable(now)

    def on_attempt_failed(
        self,
        failure: AttemptFailure,
        now: float,
    ) -> list[ServingAction]:
        """Retry a failed attempt on another target, or refuse the request.

        :param failure: outcome of the attempt.
        :param now: seconds.
        """
        request = self.requests_by_id.get(failure.request_id)
        if request is None or request.phase is not Phase.running:
            return []
        notices = self.capacity.record_failure(request, failure, now)
        actions: list[ServingAction] = [ToLeader(notice) for notice in notices]
        self.capacity.release(request)
        outcomes.record_failure(request, failure)
        if failure.resumable and failure.answer_started:
            request.deadline = max(request.deadline, now + _MIN_RESUME_SECONDS)
        error = self._final_error(request, failure, now)
        if error is None:
            actions.append(outcomes.retry_line(request, failure))
            error = self._requeue(request, now)
        if error is not None:
            actions.extend(self._refuse(request, error, now))
        for notice in notices:
            actions.extend(self._refuse_poison(notice.digest, now))
        return [*actions, *self._dispatch_startable(now)]

    def on_message(
        self,
        message: AnyPeerMessage,
        now: float,
    ) -> list[ServingAction]:
        """Handle a message of the zone leader or of a peer.

        :param message: of any kind; kinds that do not concern the request
            path are ignored.
        :param now: seconds.
        """
        actions: list[ServingAction] = []
        match message:
            case ReplicaView():
                self.capacity.views.apply(self.capacity.fleet, message, now)
            case CreditGrant():
                self.capacity.credit.accept(message, now)
            case ColdStartRefusal():
                actions = self._on_cold_start_refusal(message, now)
            case PoisonNotice():
                actions = self._on_poison_notice(message, now)
            case TargetLeaving(target_id):
                self.capacity.mark_leaving(target_id)
        return [*actions, *self._dispatch_startable(now)]

    def on_configuration(
        self,
        configuration: Configuration,
        now: float,
    ) -> list[ServingAction]:
        """Apply a configuration and check all requests against it.

        :param configuration: ignored unless its generation is higher than
            that of the current one.
        :param now: seconds.
        """
        current = self.capacity.configuration.generation
        if configuration.generation <= current:
            return []
        self.capacity.apply_configuration(configuration)
        return [*self._recheck_requests(now), *self._dispatch_startable(now)]

    def on_isolation(self, isolated_for: float) -> None:
        """Set the time for which no source of configuration has answered.

        :param isolated_for: seconds.
        """
        self.capacity.isolated_for = isolated_for

    def tick(self, now: float) -> list[ServingAction]:
        """Expire deadlines, ask for credit and report demand.

        :param now: seconds.
        """
        self.capacity.reset_old_failures(now)
        actions: list[ServingAction] = []
        for entry in self.queue.expire(now):
            # The request may have ended after the queue found it overdue.
            request = self.requests_by_id.get(entry.request_id)
            if request is None:
                continue
            is_ready = self.capacity.is_ready(request.resource)
            error = outcomes.expired_error(request, is_ready)
            actions.extend(self._refuse(request, error, now))
        if self.capacity.isolated_for > admission.ISOLATION_GRACE_SECONDS:
            actions.extend(self._recheck_requests(now))
        actions.extend(self._dispatch_startable(now))
        actions.extend(self._leader_messages(now))
        for credit_return in self.capacity.credit.returns_due(now):
            actions.append(ToLeader(credit_return))
        return actions

    def _admission_error(
        self,
        request: ServingRequest,
        now: float,
    ) -> ServingError | None:
        if self.draining:
            return ServingError(
                ErrorKind.shutting_down,
                'the instance is shutting down',
            )
        if self.capacity.poison.is_refused(request.digest, now):
            return outcomes.poison_error(request)
        error = self.capacity.check(request)
        if error is not None:
            return error
        return estimates.estimate_refusal(
            request,
            self.capacity,
            self.queue,
            now,
        )

    def _final_error(
        self,
        request: ServingRequest,
        failure: AttemptFailure,
        now: float,
    ) -> ServingError | None:
        if self.capacity.poison.is_refused(request.digest, now):
            return outcomes.poison_error(request)
        error = self.capacity.check(request)
        if error is not None:
            return error
        return outcomes.error_unless_retried(
            request,
            failure,
            self.retry_budget,
            now,
            has_other_target=self.capacity.has_other_target(request),
        )

    def _enqueue(self, request: ServingRequest, now: float) -> None:
        request.phase = Phase.queued
        self.queue.push(estimates.queue_entry(request, now))

    def _requeue(
        self,
        request: ServingRequest,
        now: float,
    ) -> ServingError | None:
        try:
            self._enqueue(request, now)
        except ServingError as queue_error:
            queue_error.ran = request.ran
            return queue_error
        return None

    def _dispatch_startable(self, now: float) -> list[ServingAction]:
        actions: list[ServingAction] = []
        can_start = StartCheck(self.capacity, self.requests_by_id, now)
        entry = next_startable(self.queue, can_start)
        while entry is not None:
            request = self.requests_by_id[entry.request_id]
            decision, target = self.capacity.start(request, now)
            actions.append(outcomes.routing_line(request, decision, now))
            actions.append(
                Dispatch(
                    request.request_id,
                    target.target_id,
                    target.url,
                    request.attempts,
                    self.capacity.boot_id(target.target_id),
                ),
            )
            entry = next_startable(self.queue, can_start)
        return actions

    def _refuse(
        self,
        request: ServingRequest,
        error: ServingError,
        now: float,
    ) -> list[ServingAction]:
        self._remove(request, 0, now)
        return [
            outcomes.refusal_line(request, error),
            Refuse(request.request_id, error),
        ]

    def _remove(
        self,
        request: ServingRequest,
        used_tokens: float,
        now: float,
    ) -> None:
        self.queue.remove(request.request_id)
        self.requests_by_id.pop(request.request_id, None)
        self.capacity.settle(request, used_tokens, now)

    def _leader_messages(self, now: float) -> list[ServingAction]:
        reports = self.capacity.demand.due_reports(
            self.queue.waiting_by_deployment(),
            now,
        )
        deployments_by_name = self.capacity.configuration.deployments_by_name
        requests = self.capacity.credit.requests_due(
            now,
            self.queue.waiting_by_organisation(self.capacity.is_ready),
        )
        return [
            *(
                ToLeader(report)
                for report in reports
                if report.deployment in deployments_by_name
            ),
            *(ToLeader(request) for request in requests),
        ]

    def _on_cold_start_refusal(
        self,
        refusal: ColdStartRefusal,
        now: float,
    ) -> list[ServingAction]:
        self.capacity.demand.record_refusal(refusal, now)
        actions: list[ServingAction] = []
        for request in self._queued_requests():
            if request.resource != refusal.deployment:
                continue
            error = estimates.refusal_for_cold_start(
                request,
                self.capacity,
                now,
            )
            if error is not None:
                error.ran = request.ran
                actions.extend(self._refuse(request, error, now))
        return actions

    def _on_poison_notice(
        self,
        notice: PoisonNotice,
        now: float,
    ) -> list[ServingAction]:
        self.capacity.poison.on_notice(notice, now)
        return self._refuse_poison(notice.digest, now)

    def _refuse_poison(self, digest: str, now: float) -> list[ServingAction]:
        if not self.capacity.poison.is_refused(digest, now):
            return []
        actions: list[ServingAction] = []
        for request in self._queued_requests():
            if request.digest == digest:
                error = outcomes.poison_error(request)
                actions.extend(self._refuse(request, error, now))
        return actions

    def _queued_requests(self) -> list[ServingRequest]:
        return [
            request
            for request in self.requests_by_id.values()
            if request.phase is Phase.queued
        ]

    def _recheck_requests(self, now: float) -> list[ServingAction]:
        actions: list[ServingAction] = []
        for request in list(self.requests_by_id.values()):
            error = self.capacity.check(request)
            if error is None:
                continue
            if request.phase is Phase.running:
                self.capacity.release(request)
                request.ran = Ran.may_have_run
                error.ran = Ran.may_have_run
            actions.extend(self._refuse(request, error, now))
        return actions
