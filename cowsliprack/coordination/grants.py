"""Divides a ledger's bucket between the instances that request credit.

Tokens that a request needs to start are granted first, in the order in which
instances were refused, so that many small requests never starve a large one.
"""

import math
from dataclasses import dataclass, field

from cowsliprack.coordination.bucket import TOKEN_EPSILON, Bucket
from cowsliprack.coordination.loans import EMPTY_PORTION, Portion
from cowsliprack.protocol.peer import CreditRequest

# Estimate for a request that no refill can meet.
NO_ESTIMATE_SECONDS = 60.0
# Estimate while a loan may still cover a request above the cap, and the time
# after which no loan is expected any more.
_LOAN_ESTIMATE_SECONDS = 1.0
_LOAN_WAIT_SECONDS = 3.0
# A refused instance stays queued for this time after its estimated retry.
_QUEUE_GRACE_SECONDS = 1.0
# An instance counts as active for this time after a request.
_ACTIVE_SECONDS = 3.0
# Time constant of the smoothed rate of grants.
_SMOOTHING_SECONDS = 2.0
# A lender keeps this multiple of its own grant rate, and tokens for this time
# of that rate.
_RESERVE_FACTOR = 1.2
_RESERVE_SECONDS = 2.0
# Demand that the zone's own refill meets within this time needs no loan.
_BORROW_AFTER_SECONDS = 0.5
# A loan is renewed while more than this fraction of the share is granted.
_RENEW_ABOVE_FRACTION = 0.8


@dataclass(slots=True)
class InstanceDemand:
    """Demand of an instance as of its last request.

    :param needed: tokens that it was refused; 0 after a grant.
    :param unmet: tokens that it wanted and did not get.
    :param queued_since: since when it waits for ``needed``, seconds.
    :param queued_until: until when its place in the queue is kept, seconds.
    :param above_cap_since: since when it needs more than the cap, seconds.
    """

    last_request_at: float
    needed: float = 0
    unmet: float = 0
    queued_since: float = 0
    queued_until: float = -math.inf
    above_cap_since: float = math.inf


@dataclass(slots=True)
class LedgerAccount:
    """Bucket of one organisation and the demand of the instances.

    :param resource: name of the rate in loans.
    :param share: share of the zone, in tokens a second and tokens.
    """

    resource: str
    bucket: Bucket
    share: Portion = EMPTY_PORTION
    demand_by_instance: dict[str, InstanceDemand] = field(default_factory=dict)
    granted_rate: float = 0
    granted_at: float = 0


def record_request(
    account: LedgerAccount, instance_id: str, now: float
) -> InstanceDemand:
    """Return the demand of an instance and drop that of inactive ones.

    :param instance_id: instance that asks now.
    :param now: seconds.
    """
    demand_by_instance = account.demand_by_instance
    demand = demand_by_instance.setdefault(instance_id, InstanceDemand(now))
    demand.last_request_at = now
    inactive = [
        instance
        for instance, record in demand_by_instance.items()
        if max(record.last_request_at + _ACTIVE_SECONDS, record.queued_until)
        <= now
    ]
    for instance in inactive:
        demand_by_instance.pop(instance)
    return demand


def decide_grant(
    account: LedgerAccount,
    request: CreditRequest,
    demand: InstanceDemand,
    now: float,
) -> tuple[float, float]:
    """Decide how many tokens an instance is granted.

    :param demand: demand of the instance; updated.
    :param now: seconds.
    :returns: tokens, and seconds until what was needed may be granted.
    """
    bucket = account.bucket
    needed = max(0, request.needed)
    ahead, others = _needed_by_others(account, demand, now)
    if needed and bucket.level + TOKEN_EPSILON < ahead + needed:
        demand.needed = needed
        demand.unmet = max(needed, request.wanted)
        return 0, _queue_refused(bucket, demand, ahead, now)
    demand.needed = 0
    demand.queued_until = -math.inf
    demand.above_cap_since = math.inf
    spare = max(0, bucket.level - needed - others)
    extra = min(
        max(0, request.wanted - needed),
        spare / len(account.demand_by_instance),
    )
    tokens = min(bucket.level, needed + extra)
    demand.unmet = max(0, request.wanted - tokens)
    if tokens > 0:
        return tokens, 0
    return 0, _estimate_wait(bucket, others, request.wanted)


def find_lendable(
    account: LedgerAccount, lendable: Portion, now: float
) -> Portion:
    """Return what a zone can lend without lacking it itself.

    :param lendable: upper bound of what may be lent beyond earlier loans.
    :param now: seconds.
    """
    own_rate = _granted_rate(account, now)
    bucket = account.bucket
    unused = Portion(
        max(0, bucket.rate - own_rate * _RESERVE_FACTOR),
        max(0, bucket.level - own_rate * _RESERVE_SECONDS),
    )
    return lendable.at_most(unused)


def find_shortfall(account: LedgerAccount, now: float) -> Portion:
    """Return the demand that the zone's own refill does not meet soon.

    :param now: seconds.
    """
    recent = [
        demand
        for demand in account.demand_by_instance.values()
        if demand.last_request_at > now - _BORROW_AFTER_SECONDS
    ]
    unmet = sum(demand.unmet for demand in recent)
    largest = max((demand.needed for demand in recent), default=0)
    beyond = max(0, unmet - account.bucket.rate * _BORROW_AFTER_SECONDS)
    return Portion(beyond, max(beyond, largest - account.bucket.cap))


def uses_most_of_share(account: LedgerAccount, now: float) -> bool:
    """Return whether the zone grants most of its share or more.

    :param now: seconds.
    """
    return (
        _granted_rate(account, now)
        > account.share.amount * _RENEW_ABOVE_FRACTION
    )


def record_grant(account: LedgerAccount, tokens: float, now: float) -> None:
    """Add a grant to the smoothed rate.

    :param tokens: tokens granted.
    :param now: seconds.
    """
    rate = _granted_rate(account, now)
    account.granted_rate = rate + tokens / _SMOOTHING_SECONDS
    account.granted_at = now


def _granted_rate(account: LedgerAccount, now: float) -> float:
    elapsed = max(0, now - account.granted_at)
    return account.granted_rate * math.exp(-elapsed / _SMOOTHING_SECONDS)


def _needed_by_others(
    account: LedgerAccount,
    demand: InstanceDemand,
    now: float,
) -> tuple[float, float]:
    """Return the tokens queued ahead of an instance, and by all others."""
    ahead: float = 0
    others: float = 0
    is_queued = demand.queued_until > now
    for record in account.demand_by_instance.values():
        if record is demand or record.queued_until <= now:
            continue
        others += record.needed
        if not is_queued or record.queued_since < demand.queued_since:
            ahead += record.needed
    return ahead, others


def _queue_refused(
    bucket: Bucket,
    demand: InstanceDemand,
    ahead: float,
    now: float,
) -> float:
    """Queue a refused instance and return its estimated wait."""
    if demand.needed > bucket.cap:
        # Not queued: it must not delay others for tokens that no refill can
        # provide.
        demand.queued_until = -math.inf
        demand.above_cap_since = min(demand.above_cap_since, now)
        may_get_loan = now < demand.above_cap_since + _LOAN_WAIT_SECONDS
        return _LOAN_ESTIMATE_SECONDS if may_get_loan else NO_ESTIMATE_SECONDS
    if demand.queued_until <= now:
        demand.queued_since = now
    retry_after = _estimate_wait(bucket, ahead, demand.needed)
    demand.queued_until = now + retry_after + _QUEUE_GRACE_SECONDS
    return retry_after


def _estimate_wait(bucket: Bucket, ahead: float, needed: float) -> float:
    """Return the seconds until the refill covers the queue and the need."""
    if needed > bucket.cap or bucket.rate <= 0:
        return NO_ESTIMATE_SECONDS
    at_once = min(bucket.cap, ahead + needed)
    # Tokens above the cap are refilled after the first ones were granted.
    excess_seconds = (ahead + needed - at_once) / bucket.rate
    return bucket.seconds_until(at_once) + excess_seconds
