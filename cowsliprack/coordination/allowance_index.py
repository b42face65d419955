"""Index of deployments by shard of the allowance records.

At target size a leader knows 54,000 deployments. The index spares it from
checking all of them in each tick: a deployment is checked again only when its
configuration or its rows change.
"""

from collections.abc import Callable, Iterable

_NO_NAMES: frozenset[str] = frozenset()


class ShardIndex:
    """Deployments by shard, and which of them may need a change of a row.

    :param shard_of: returns the shard of a deployment.
    """

    def __init__(self, shard_of: Callable[[str], int]) -> None:
        """Start without deployments."""
        self._shard_of = shard_of
        self._names_by_shard: dict[int, set[str]] = {}
        self._pending_by_shard: dict[int, set[str]] = {}

    def names(self, shard: int) -> Iterable[str]:
        """Return the deployments of one shard.

        :param shard: number of the shard.
        """
        return self._names_by_shard.get(shard, _NO_NAMES)

    def pending_names(self) -> Iterable[tuple[int, Iterable[str]]]:
        """Return the shards with the deployments that may need a change."""
        return self._pending_by_shard.items()

    def update(
        self, name: str, *, is_known: bool, may_need_change: bool
    ) -> None:
        """Add a deployment to the index or remove it.

        :param name: name of the deployment.
        :param is_known: whether it is configured or has rows.
        :param may_need_change: whether one of its rows may need a change.
        """
        shard = self._shard_of(name)
        _set_member(self._names_by_shard, shard, name, member=is_known)
        _set_member(self._pending_by_shard, shard, name, member=may_need_change)


def _set_member(
    names_by_shard: dict[int, set[str]],
    shard: int,
    name: str,
    *,
    member: bool,
) -> None:
    if member:
        names_by_shard.setdefault(shard, set()).add(name)
        return
    names = names_by_shard.get(shard, set())
    names.discard(name)
    if not names:
        names_by_shard.pop(shard, None)
