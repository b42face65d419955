"""Task that writes the order journal of one leadership term."""

from collections.abc import Callable

import anyio

from cowsliprack.coordination.zone import ZoneController
from cowsliprack.coordination.zone_actions import (
    ClearIntent,
    ObserveFencing,
    WriteIntent,
    ZoneAction,
)
from cowsliprack.exceptions import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from cowsliprack.transport.journal import Journal, JournalLostError

_STORE_RETRY_DELAY_SECONDS = 0.5
# Intents of finished orders are removed by the next write, at the latest after
# this time.
_CLEANUP_INTERVAL_SECONDS = 2.0


class JournalWriter:
    """Writes intents in batches, one write at a time.

    :param journal: journal to write.
    :param controller: decides which actions follow from a write.
    :param apply: executes these actions.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        journal: Journal,
        controller: ZoneController,
        apply: Callable[[list[ZoneAction]], None],
        clock: Callable[[], float],
    ) -> None:
        """Start with an unclaimed journal."""
        self._journal = journal
        self._controller = controller
        self._apply = apply
        self._clock = clock
        self._unsaved_ids: list[str] = []
        self._has_removed = False
        self._has_unsaved = anyio.Event()

    def write(self, action: WriteIntent) -> None:
        """Write an intent with the next batch.

        :param action: names the order.
        """
        order = action.order
        self._journal.intents_by_id[order.order_id] = order
        self._unsaved_ids.append(order.order_id)
        self._has_unsaved.set()

    def clear(self, action: ClearIntent) -> None:
        """Remove an intent with a later write.

        :param action: names the order.
        """
        removed = self._journal.intents_by_id.pop(action.order_id, None)
        self._has_removed = self._has_removed or removed is not None

    async def run(self, started_at: float) -> None:
        """Claim the journal, then write each change of the intents.

        :param started_at: time at which the lease was acquired; after it no
            earlier leader sent an order to a target that ignores fencing.
        """
        await self._claim(started_at)
        while True:
            with anyio.move_on_after(_CLEANUP_INTERVAL_SECONDS):
                await self._has_unsaved.wait()
            self._has_unsaved = anyio.Event()
            if self._unsaved_ids or self._has_removed:
                await self._save()

    async def _claim(self, started_at: float) -> None:
        while True:
            try:
                intents = await self._journal.claim()
            except (StoreUnavailableError, StoreConflictError):
                await anyio.sleep(_STORE_RETRY_DELAY_SECONDS)
            except JournalLostError as lost:
                self._apply([ObserveFencing(lost.fencing)])
                return
            else:
                break
        self._apply(self._controller.on_journal_claimed(intents, started_at))

    async def _save(self) -> None:
        batch = self._unsaved_ids
        self._unsaved_ids = []
        self._has_removed = False
        is_saved = False
        try:
            await self._journal.save()
        except JournalLostError as lost:
            self._apply([ObserveFencing(lost.fencing)])
        except StoreError:
            self._has_removed = True
        else:
            is_saved = True
        now = self._clock()
        for order_id in batch:
            if not is_saved:
                self._journal.intents_by_id.pop(order_id, None)
            self._apply(
                self._controller.on_intent_written(order_id, now, ok=is_saved),
            )
