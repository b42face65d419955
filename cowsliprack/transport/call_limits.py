"""Rate limit and backoff for the calls of one client to the platform."""

import random
from dataclasses import dataclass, field

# The cap is below the lease duration, so that a leader retries before its lease
# expires.
BACKOFF_BASE_SECONDS = 0.1
BACKOFF_CAP_SECONDS = 2.0


@dataclass(slots=True)
class CallBudget:
    """Token bucket that limits the rate of calls.

    :param rate: calls per second.
    :param burst: calls that may be made at once.
    :param level: calls available at ``updated_at``.
    """

    rate: float
    burst: float
    level: float = field(init=False)
    updated_at: float | None = field(init=False, default=None)

    def __post_init__(self) -> None:
        """Start with a full bucket."""
        self.level = self.burst

    def reserve(self, now: float, longest_wait: float) -> float | None:
        """Take one call and return how long to wait before making it.

        :param now: current time, seconds.
        :param longest_wait: limit of the wait, seconds.
        :returns: seconds, or ``None`` when the wait would exceed the limit;
            then no call is taken.
        """
        if self.updated_at is not None:
            gained = (now - self.updated_at) * self.rate
            self.level = min(self.burst, self.level + gained)
        self.updated_at = now
        wait = max(0, (1 - self.level) / self.rate)
        if wait > longest_wait:
            return None
        self.level -= 1
        return wait


@dataclass(slots=True)
class Backoff:
    """Exponential backoff with full jitter.

    Failures of concurrent calls count once, so that concurrency does not
    lengthen the delay.

    :param failures: number of consecutive failures.
    :param retry_at: no call is made before this time, seconds.
    """

    rng: random.Random
    base: float = BACKOFF_BASE_SECONDS
    cap: float = BACKOFF_CAP_SECONDS
    failures: int = 0
    retry_at: float = 0

    def wait(self, now: float) -> float:
        """Return the seconds until the next call may be made."""
        return max(0, self.retry_at - now)

    def record_failure(self, now: float, failures_at_start: int) -> None:
        """Count a failed call.

        :param now: current time, seconds.
        :param failures_at_start: ``failures`` when the call was made.
        """
        if failures_at_start != self.failures:
            return
        ceiling = min(self.cap, self.base * 2 ** min(self.failures, 16))
        self.failures += 1
        self.retry_at = now + self.rng.uniform(0, ceiling)

    def record_success(self) -> None:
        """Reset the backoff."""
        self.failures = 0
        self.retry_at = 0
