"""Final errors and log lines of the request path."""

from cowsliprack.coordination import retry
from cowsliprack.coordination.routing import RoutingDecision
from cowsliprack.coordination.serving import (
    AttemptFailure,
    LogDecision,
    ServingRequest,
)
from cowsliprack.exceptions import ErrorKind, Ran, ServingError


def poison_error(request: ServingRequest) -> ServingError:
    """Return the error of a request that has crashed two targets.

    :param request: of a caller.
    """
    return ServingError(
        ErrorKind.poison_request,
        'the request crashed the targets that ran it and is not run again',
        ran=request.ran,
    )


def burst_error(tokens: float, burst: float) -> ServingError:
    """Return the error of a request that needs more tokens than the burst.

    :param tokens: of the request.
    :param burst: of the organisation.
    """
    return ServingError(
        ErrorKind.exceeds_burst,
        f'the request may take {tokens:.0f} tokens; the burst is {burst:.0f}',
    )


def expired_error(request: ServingRequest, is_loaded: bool) -> ServingError:
    """Return the error of a request whose deadline passed in the queue.

    :param request: of a caller.
    :param is_loaded: whether its deployment is loaded on any target.
    """
    detail = (
        'the deadline passed in the queue'
        if is_loaded
        else 'the deadline passed before a target was ready'
    )
    return ServingError(
        ErrorKind.deadline_passed,
        detail,
        ran=request.ran,
    )


def record_failure(request: ServingRequest, failure: AttemptFailure) -> None:
    """Update the status and excluded targets of a request after a failure.

    :param request: of a caller.
    :param failure: of its last attempt.
    """
    request.ran = retry.combine_status(request.ran, failure.ran)
    request.was_sent = request.was_sent or failure.sent
    # A pooled connection may have failed on its own; the next attempt opens a
    # new one and may go to the same target.
    is_connection_fault = failure.was_pooled and not failure.crash_id
    if not is_connection_fault:
        request.excluded_targets.add(request.target_id)


def error_unless_retried(
    request: ServingRequest,
    failure: AttemptFailure,
    budget: retry.RetryBudget,
    now: float,
    *,
    has_other_target: bool,
) -> ServingError | None:
    """Return the final error of a failed attempt, ``None`` to retry it.

    :param request: already updated by ``record_failure``.
    :param failure: of its last attempt.
    :param budget: charged when the request is retried.
    :param has_other_target: whether an untried target is left.
    :param now: seconds.
    """
    if failure.answer_started and not failure.resumable:
        return ServingError(
            ErrorKind.stream_broken,
            failure.detail,
            ran=Ran.may_have_run,
        )
    if not has_other_target:
        return _attempt_error(failure, request.ran, 'no other target')
    decision = retry.decide_retry(
        request.ran,
        request.repeatable,
        int(request.was_sent),
        request.attempts,
        request.deadline,
        now,
        budget,
    )
    if decision.retry:
        return None
    return _attempt_error(failure, decision.ran, decision.reason)


def _attempt_error(
    failure: AttemptFailure,
    ran: Ran,
    reason: str,
) -> ServingError:
    kind = ErrorKind.target_failed
    if ran is Ran.not_run:
        kind = ErrorKind.target_unreachable
    elif failure.answer_started:
        kind = ErrorKind.stream_broken
    return ServingError(kind, f'{failure.detail}; {reason}', ran=ran)


def routing_line(
    request: ServingRequest,
    decision: RoutingDecision,
    now: float,
) -> LogDecision:
    """Return the log line of a routing decision.

    :param request: of a caller.
    :param decision: with the reason and its inputs.
    :param now: seconds.
    """
    return LogDecision(
        'routing',
        decision.target_id,
        decision.reason,
        {
            'request_id': request.request_id,
            'organisation': request.organisation,
            'resource': request.resource,
            'attempt': request.attempts,
            'waited': round(now - request.received_at, 4),
            **decision.inputs,
        },
    )


def retry_line(
    request: ServingRequest,
    failure: AttemptFailure,
) -> LogDecision:
    """Return the log line of a retry.

    :param request: of a caller.
    :param failure: of its last attempt.
    """
    return LogDecision(
        'retry',
        'another target',
        failure.detail,
        {
            'request_id': request.request_id,
            'target_id': request.target_id,
            'attempt': request.attempts,
            'ran': request.ran.value,
            'resumed': failure.resumable,
        },
    )


def refusal_line(request: ServingRequest, error: ServingError) -> LogDecision:
    """Return the log line of a refusal.

    :param request: of a caller.
    :param error: sent to the caller.
    """
    return LogDecision(
        'admission',
        'refuse',
        error.kind.value,
        {
            'request_id': request.request_id,
            'organisation': request.organisation,
            'resource': request.resource,
            'detail': error.detail,
            'ran': error.ran.value,
            'retry_after': error.retry_after,
        },
    )
