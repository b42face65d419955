"""Requests of an instance that wait for the load of a model or adapter."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import NamedTuple

import anyio

from cowsliprack.protocol.gateway_messages import WaitingGroup


class GroupKey(NamedTuple):
    """What requests wait for.

    :param adapter: empty for the model itself.
    :param software_version: version of the engine; empty for any.
    """

    service: str
    model: str
    adapter: str
    software_version: str = ''


@dataclass(slots=True, eq=False)
class Waiter:
    """One waiting request.

    :param since: when it started to wait, seconds.
    :param target_at: its latency target, seconds.
    :param gives_up_at: when it times out, seconds.
    :param changed: set when it should look for a target again.
    :param may_return: whether its caller is expected to come back, and to wait
        again, once it is rejected.
    """

    key: GroupKey
    since: float
    target_at: float
    gives_up_at: float
    changed: anyio.Event = field(default_factory=anyio.Event)
    may_return: bool = True


def _ignore_change() -> None:
    """Do nothing; used before a queue is attached."""


@dataclass(slots=True)
class WaitingRequests:
    """Waiting requests by what they wait for.

    :param closed: whether the instance is shutting down and no request may
        wait.
    :param changed: called before the requests are woken.
    """

    waiters_by_key: dict[GroupKey, set[Waiter]] = field(default_factory=dict)
    closed: bool = False
    changed: Callable[[], None] = _ignore_change
    _returning: list[Waiter] = field(default_factory=list)

    @contextmanager
    def registered(self, waiter: Waiter) -> Iterator[Waiter]:
        """Register a request for the duration of the context.

        :param waiter: the request.
        """
        group = self.waiters_by_key.setdefault(waiter.key, set())
        group.add(waiter)
        try:
            yield waiter
        finally:
            group.discard(waiter)
            if not group:
                self.waiters_by_key.pop(waiter.key, None)

    def is_registered(self, waiter: Waiter) -> bool:
        """Return whether a request waits for a load.

        :param waiter: the request.
        """
        return waiter in self.waiters_by_key.get(waiter.key, ())

    def expect_return(self, waiter: Waiter) -> None:
        """Report a rejected request until its caller is due to come back.

        The leader would not learn of the demand for a model otherwise.

        :param waiter: request; ``gives_up_at`` is when its caller comes back,
            or would have done so.
        """
        self._returning.append(waiter)

    def close(self) -> None:
        """Wake all requests for a last look; none may wait again."""
        self.closed = True
        self.notify_all()

    def notify_all(self) -> None:
        """Wake all requests, so that they look for a target again."""
        self.changed()
        for group in self.waiters_by_key.values():
            for waiter in group:
                waiter.changed.set()
                waiter.changed = anyio.Event()

    def group_summaries(self, now: float) -> tuple[WaitingGroup, ...]:
        """Return the summary of each group for the report to the leader.

        :param now: seconds.
        """
        self._returning = [
            waiter for waiter in self._returning if waiter.gives_up_at > now
        ]
        groups = {key: set(group) for key, group in self.waiters_by_key.items()}
        for waiter in self._returning:
            groups.setdefault(waiter.key, set()).add(waiter)
        return tuple(
            _summarise(key, group, now)
            for key, group in groups.items()
            if group
        )


def _summarise(
    key: GroupKey,
    group: set[Waiter],
    now: float,
) -> WaitingGroup:
    in_time = [
        waiter.target_at - now for waiter in group if waiter.target_at > now
    ]
    return WaitingGroup(
        **key._asdict(),
        count=len(group),
        target_in=min(in_time) if in_time else -1,
        patience=max(
            waiter.gives_up_at - now if waiter.may_return else 0
            for waiter in group
        ),
        late=len(group) - len(in_time),
        waited=now - min(waiter.since for waiter in group),
    )
