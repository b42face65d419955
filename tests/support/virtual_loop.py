"""Event loop on a virtual clock, so that all its tasks can be paused."""

import asyncio
import selectors


class _NullSelector(selectors.SelectSelector):
    """Returns at once, as the loop has no sockets to wait for."""

    def select(self, timeout=None):
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs only in ``run_due`` and takes its time from the test.

    :param clock: returns the virtual time, seconds.
    """

    def __init__(self, clock):
        super().__init__(_NullSelector())
        self.time = clock
        # A simulated crash leaves unfinished tasks, which are not errors.
        self.set_exception_handler(_raise_assertions)

    def next_due(self):
        """Return the time of the next callback; ``None`` without one."""
        if self._ready:
            return self.time()
        return self._scheduled[0]._when if self._scheduled else None

    def run_due(self):
        """Run callbacks until none is due at the current time."""
        while self.next_due() is not None and self.next_due() <= self.time():
            self.call_soon(self.stop)
            self.run_forever()


def _raise_assertions(loop, context):
    error = context.get('exception')
    if isinstance(error, AssertionError):
        raise error
