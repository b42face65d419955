"""The clock of an instance."""

import time


def read_clock() -> float:
    """Return seconds on a monotonic clock that advances during suspension.

    The lease of a suspended holder must expire, which ``time.monotonic`` would
    not show because it stops during suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
