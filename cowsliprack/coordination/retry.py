"""When a request may be sent again, and how long to wait before."""

import random
from dataclasses import dataclass

from cowsliprack.exceptions import Ran

# A request is sent to at most this many targets.
MAX_ATTEMPTS = 3
# Seconds before the deadline at which a new attempt is no longer useful.
SHORTEST_ATTEMPT = 0.02
# Exponent above which the backoff has reached any sensible cap; it keeps the
# power of two within a float.
_LARGEST_EXPONENT = 32

# Instances that share a limit, at least; fewer are known at first.
_LEAST_INSTANCES = 8
# Part of the tolerated repeats that is used. Instances that start anew, or
# that have just been told of others, have saved up too many.
_LIMIT_SHARE = 0.6


@dataclass(slots=True)
class RetryBudget:
    """Tokens that retries spend; owned by one entry task.

    Requests earn a tenth of a retry each. When most targets fail, retries
    therefore add at most a tenth to the load. The floor lets an instance with
    little traffic retry at all.

    :param ratio: retries earned by one request.
    :param floor_per_second: retries earned by time.
    :param capacity: retries that can be saved up.
    """

    ratio: float = 0.1
    floor_per_second: float = 1
    capacity: float = 20
    tokens: float = 10
    updated_at: float | None = None

    def earn(self, now: float) -> None:
        """Count one new request, not a retry.

        :param now: seconds.
        """
        self._refill(now)
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def spend(self, now: float) -> bool:
        """Take one retry and return whether there was one.

        :param now: seconds.
        """
        self._refill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _refill(self, now: float) -> None:
        last = now if self.updated_at is None else self.updated_at
        earned = max(now - last, 0) * self.floor_per_second
        self.tokens = min(self.capacity, self.tokens + earned)
        self.updated_at = now


@dataclass(frozen=True, slots=True)
class RetryLimit:
    """Repeats that all instances together may send to a service.

    In any window they may send ``ratio`` times the requests, and ``slack``.

    :param window: seconds.
    """

    ratio: float
    slack: float
    window: float


def size_budget(
    budget: RetryBudget,
    limit: RetryLimit,
    instances: int,
) -> None:
    """Give an instance its part of the repeats that all may send.

    :param budget: of the instance.
    :param limit: for all instances together.
    :param instances: that share the limit.
    """
    shared_by = max(instances, _LEAST_INSTANCES)
    slack = limit.slack * _LIMIT_SHARE / shared_by
    budget.ratio = limit.ratio * _LIMIT_SHARE
    # Half of the slack comes with time, half may be saved up. A repeat can
    # only be saved up as a whole.
    budget.floor_per_second = slack / limit.window / 2
    budget.capacity = max(slack / 2, 1)


@dataclass(frozen=True, slots=True)
class RetryVerdict:
    """Whether to send a request again.

    :param retry: send it to another target.
    :param ran: what an error must say when it is not sent again.
    :param reason: short stable phrase for the log line.
    """

    retry: bool
    ran: Ran
    reason: str


def execution_status(sent_bytes: int, *, refused: bool) -> Ran:
    """Return what is true about one failed attempt.

    Only two observations prove that a request did not run: no byte of it was
    handed to the connection, or the target itself answered that it refused
    it. A reset or a timeout after the first byte proves nothing.

    :param sent_bytes: bytes of the request, head included, that were handed
        to an open connection.
    :param refused: the target answered that it did not run the request.
    """
    if refused or sent_bytes == 0:
        return Ran.not_run
    return Ran.may_have_run


def combine(earlier: Ran, later: Ran) -> Ran:
    """Return what is true about a request after two attempts.

    A refused second attempt does not undo a first one that may have run.

    :param earlier: status of the attempts so far.
    :param later: status of the last attempt.
    """
    if Ran.may_have_run in {earlier, later}:
        return Ran.may_have_run
    return Ran.not_run


def may_retry(
    ran: Ran,
    repeatable: bool,
    sent_bytes: int,
    attempts: int,
    deadline: float,
    now: float,
    budget: RetryBudget,
) -> RetryVerdict:
    """Return whether a failed request may be sent to another target.

    A request that may not be repeated is never sent again after its first
    byte has been sent, not even when a target answered that it refused it:
    the refusal may come from a component in front of the process that ran it.

    :param ran: status over all attempts, see ``combine``.
    :param repeatable: running it twice does no harm.
    :param sent_bytes: bytes sent over all attempts.
    :param attempts: attempts made so far, at least 1.
    :param deadline: seconds, on the clock of ``now``.
    :param now: seconds.
    :param budget: a retry is taken from it only when the answer is yes.
    """
    if not repeatable and sent_bytes > 0:
        return RetryVerdict(False, ran, 'sent and not repeatable')
    if not repeatable and ran is not Ran.not_run:
        return RetryVerdict(False, ran, 'may have run and not repeatable')
    if attempts >= MAX_ATTEMPTS:
        return RetryVerdict(False, ran, 'attempts used up')
    if now + SHORTEST_ATTEMPT >= deadline:
        return RetryVerdict(False, ran, 'deadline reached')
    if not budget.spend(now):
        return RetryVerdict(False, ran, 'retry budget empty')
    return RetryVerdict(True, ran, 'retry')


def full_jitter(
    attempt: int,
    base: float,
    cap: float,
    rng: random.Random,
) -> float:
    """Return a wait between zero and the exponential backoff.

    :param attempt: number of failed attempts before, from 0.
    :param base: longest wait after the first failure, seconds.
    :param cap: longest wait of all, seconds.
    :param rng: source of the jitter.
    :returns: seconds.
    """
    exponent = min(max(attempt, 0), _LARGEST_EXPONENT)
    return rng.uniform(0, min(cap, base * 2**exponent))
