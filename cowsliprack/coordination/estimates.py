"""Early refusals of requests that cannot meet their deadline."""

import math

from cowsliprack.coordination import outcomes
from cowsliprack.coordination.capacity import Capacity
from cowsliprack.coordination.fair_queue import FairQueue, QueuedRequest
from cowsliprack.coordination.serving import ServingRequest
from cowsliprack.exceptions import ErrorKind, ServingError

# Upper bound of the retry time in a refusal.
_MAX_RETRY_AFTER_SECONDS = 60.0


def queue_entry(request: ServingRequest, now: float) -> QueuedRequest:
    """Return the entry of a request in the queue of its instance.

    Callers state their priority themselves, so it decides within their
    organisation only; all requests have the same level.

    :param request: that has passed admission.
    :param now: seconds.
    """
    return QueuedRequest(
        request_id=request.request_id,
        organisation=request.organisation,
        deployment=request.resource,
        tokens=request.tokens,
        priority=request.priority,
        deadline=request.deadline,
        enqueued_at=now,
    )


def estimate_refusal(
    request: ServingRequest,
    capacity: Capacity,
    queue: FairQueue,
    now: float,
) -> ServingError | None:
    """Return a refusal when a request cannot meet its deadline.

    :param request: that has passed admission.
    :param capacity: of this instance.
    :param queue: of this instance.
    :param now: seconds.
    """
    return (
        refusal_for_rate(request, capacity, queue, now)
        or refusal_for_cold_start(request, capacity, now)
        or refusal_for_wait(request, capacity, queue, now)
    )


def refusal_for_rate(
    request: ServingRequest,
    capacity: Capacity,
    queue: FairQueue,
    now: float,
) -> ServingError | None:
    """Return a refusal when credit cannot be granted before the deadline.

    :param request: that has passed admission.
    :param capacity: of this instance.
    :param queue: of this instance.
    :param now: seconds.
    """
    if not request.organisation:
        return None
    organisations_by_id = capacity.configuration.organisations_by_id
    organisation = organisations_by_id[request.organisation]
    if request.tokens > organisation.burst:
        return outcomes.burst_error(request.tokens, organisation.burst)
    wait = capacity.credit.retry_after(
        request.organisation,
        request.tokens + queue.tokens_for_organisation(request.organisation),
        now,
    )
    # An infinite wait means that the rate is not known yet.
    if math.isinf(wait) or now + wait <= request.deadline:
        return None
    return ServingError(
        ErrorKind.rate_limited,
        'the organisation is at its rate',
        retry_after=min(wait, _MAX_RETRY_AFTER_SECONDS),
    )


def refusal_for_cold_start(
    request: ServingRequest,
    capacity: Capacity,
    now: float,
) -> ServingError | None:
    """Return a refusal when the leader has refused the cold start.

    :param request: that has passed admission.
    :param capacity: of this instance.
    :param now: seconds.
    """
    if not request.is_model or capacity.is_ready(request.resource):
        return None
    return capacity.demand.refusal(request.resource, request.deadline, now)


def refusal_for_wait(
    request: ServingRequest,
    capacity: Capacity,
    queue: FairQueue,
    now: float,
) -> ServingError | None:
    """Return a refusal when the expected queue wait exceeds the deadline.

    :param request: that has passed admission.
    :param capacity: of this instance.
    :param queue: of this instance.
    :param now: seconds.
    """
    slots = sum(status.slots for status in capacity.candidates(request))
    if not slots:
        return None
    if not queue.count_for_deployment(request.resource):
        return None
    places_per_second = slots / capacity.demand.service_seconds(
        request.resource
    )
    wait = queue.seconds_until_turn(
        queue_entry(request, now),
        lambda deployment: deployment == request.resource,
        places_per_second,
        now,
    )
    if now + wait <= request.deadline:
        return None
    return ServingError(
        ErrorKind.deadline_unreachable,
        'the queue is longer than the deadline allows',
        retry_after=queue.promise_retry(wait, places_per_second, now),
    )
