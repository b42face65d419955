"""Interface of the platform store.

Each store protocol is implemented by one module; the coordination code
depends only on this interface.
"""

import uuid
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

# The platform refuses larger values.
MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the platform store.

    :param version: of the last write; increases across the store, also when
        it comes back from an older copy.
    :param body: JSON-compatible mapping; ``attempt`` is the id of the write.
    """

    key: str
    version: int
    body: dict[str, object]


@dataclass(frozen=True, slots=True)
class StoreEvent:
    """A change or progress notification from a watch.

    :param body: ``None`` for a deleted object and for a progress notification.
    :param progress: whether this is a progress notification: every change up
        to ``version`` has been delivered.
    """

    key: str
    version: int
    body: dict[str, object] | None
    progress: bool = False


class ObjectStore(Protocol):
    """Versioned objects with conditional writes and watches.

    Each method raises ``StoreUnavailableError`` when there is no response.
    Each write raises ``StoreConflictError`` when its condition does not hold.

    :param era: number of the store's history as of its last answer. It rises
        when the store comes back from an older copy, which lacks the last
        writes.
    :param regained_at: time of its first answer after its last outage on the
        client's clock, seconds; negative infinity if it had none.
    """

    era: int
    regained_at: float

    async def read(self, key: str) -> StoredObject | None:
        """Return an object, ``None`` if it does not exist."""

    async def create(self, key: str, body: dict[str, object]) -> StoredObject:
        """Create an object that must not exist yet."""

    async def update(
        self,
        key: str,
        body: dict[str, object],
        expected_version: int,
    ) -> StoredObject:
        """Replace an object that must have the expected version."""

    async def delete(self, key: str, expected_version: int) -> None:
        """Delete an object that must have the expected version."""

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose key starts with a prefix."""

    def watch(self, prefix: str, since: int) -> AsyncIterator[StoreEvent]:
        """Yield the changes after a version, and progress notifications."""


def new_attempt_id() -> str:
    """Return a unique id for one attempt to write.

    If the response is lost, the writer reads the object and recognises its
    own write by this id.
    """
    return uuid.uuid4().hex
