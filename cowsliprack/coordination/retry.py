"""Retry decisions, retry budgets and backoff."""

import random
from dataclasses import dataclass

from cowsliprack.exceptions import Ran

# Attempts per request, the first one included.
MAX_ATTEMPTS = 3
# Time that must be left before the deadline for another attempt.
MIN_ATTEMPT_SECONDS = 0.02
# Larger exponents would overflow a float; the backoff has reached its cap long
# before.
_MAX_BACKOFF_EXPONENT = 32

# Minimum number of instances by which a limit is divided; an instance that
# starts knows too few of the others.
_MIN_INSTANCES = 8
# Share of the allowed retries that is used. Instances that have just started,
# or have just learned of others, may have saved more than their share.
_USED_LIMIT_SHARE = 0.6


@dataclass(slots=True)
class RetryBudget:
    """Token bucket that limits retries; one token allows one retry.

    Each request adds a tenth of a token, so retries add at most a tenth to the
    load when most targets fail. The refill over time lets an instance with
    little traffic retry as well. Not safe for concurrent use.

    :param ratio: tokens added by one request.
    :param refill_per_second: tokens added over time.
    :param capacity: maximum number of tokens.
    """

    ratio: float = 0.1
    refill_per_second: float = 1
    capacity: float = 20
    tokens: float = 10
    updated_at: float | None = None

    def deposit(self, now: float) -> None:
        """Add the tokens of one new request, not of a retry.

        :param now: seconds.
        """
        self._refill(now)
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def try_spend(self, now: float) -> bool:
        """Take the token of one retry and return whether there was one.

        :param now: seconds.
        """
        self._refill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _refill(self, now: float) -> None:
        last_refill_at = now if self.updated_at is None else self.updated_at
        refilled = max(now - last_refill_at, 0) * self.refill_per_second
        self.tokens = min(self.capacity, self.tokens + refilled)
        self.updated_at = now


@dataclass(frozen=True, slots=True)
class RetryLimit:
    """Limit on the retries that all instances send to a service.

    In any window they may send ``ratio`` times the number of requests plus
    ``slack`` retries.

    :param window: seconds.
    """

    ratio: float
    slack: float
    window: float


def apply_retry_limit(
    budget: RetryBudget,
    limit: RetryLimit,
    instances: int,
) -> None:
    """Set a budget to one instance's share of a limit for all instances.

    :param budget: of the instance.
    :param limit: for all instances together.
    :param instances: number of instances that share the limit.
    """
    sharing_instances = max(instances, _MIN_INSTANCES)
    slack = limit.slack * _USED_LIMIT_SHARE / sharing_instances
    budget.ratio = limit.ratio * _USED_LIMIT_SHARE
    # Half of the slack is refilled over time, half may be saved. The capacity
    # is at least one token, because a retry takes a whole one.
    budget.refill_per_second = slack / limit.window / 2
    budget.capacity = max(slack / 2, 1)


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether a failed request is sent to another target.

    :param retry: send it to another target.
    :param ran: status for the error when it is not retried.
    :param reason: short stable phrase for the log line.
    """

    retry: bool
    ran: Ran
    reason: str


def execution_status(sent_bytes: int, *, refused: bool) -> Ran:
    """Return whether a request may have run in one failed attempt.

    Only two observations prove that it did not run: no byte of it was written
    to the connection, or the target itself answered that it refused it. A
    reset or a timeout after the first byte proves nothing.

    :param sent_bytes: bytes of the request, head included, that were written
        to an open connection.
    :param refused: the target answered that it did not run the request.
    """
    if refused or sent_bytes == 0:
        return Ran.not_run
    return Ran.may_have_run


def combine_status(earlier: Ran, later: Ran) -> Ran:
    """Return whether a request may have run in either of two attempts.

    A refused second attempt does not change that the first may have run.

    :param earlier: status of the attempts so far.
    :param later: status of the last attempt.
    """
    if Ran.may_have_run in {earlier, later}:
        return Ran.may_have_run
    return Ran.not_run


def decide_retry(
    ran: Ran,
    repeatable: bool,
    sent_bytes: int,
    attempts: int,
    deadline: float,
    now: float,
    budget: RetryBudget,
) -> RetryDecision:
    """Decide whether a failed request may be sent to another target.

    A request that is not repeatable is never sent again after its first byte
    has been sent, not even when a target answered that it refused it: the
    refusal may come from a component in front of the process that ran it.

    :param ran: status over all attempts, see ``combine_status``.
    :param repeatable: whether running it twice does no harm.
    :param sent_bytes: bytes sent over all attempts.
    :param attempts: attempts made so far, at least 1.
    :param deadline: seconds, on the clock of ``now``.
    :param now: seconds.
    :param budget: charged only when the request is retried.
    """
    if not repeatable and sent_bytes > 0:
        return RetryDecision(False, ran, 'sent and not repeatable')
    if not repeatable and ran is not Ran.not_run:
        return RetryDecision(False, ran, 'may have run and not repeatable')
    if attempts >= MAX_ATTEMPTS:
        return RetryDecision(False, ran, 'attempts used up')
    if now + MIN_ATTEMPT_SECONDS >= deadline:
        return RetryDecision(False, ran, 'deadline reached')
    if not budget.try_spend(now):
        return RetryDecision(False, ran, 'retry budget empty')
    return RetryDecision(True, ran, 'retry')


def full_jitter(
    attempt: int,
    base: float,
    cap: float,
    rng: random.Random,
) -> float:
    """Return a random delay between zero and the exponential backoff.

    :param attempt: number of failed attempts before, from 0.
    :param base: maximum delay after the first failure, seconds.
    :param cap: maximum delay after any failure, seconds.
    :param rng: source of the jitter.
    :returns: seconds.
    """
    exponent = min(max(attempt, 0), _MAX_BACKOFF_EXPONENT)
    return rng.uniform(0, min(cap, base * 2**exponent))
