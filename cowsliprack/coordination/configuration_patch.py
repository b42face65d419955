"""Patches between generations of the configuration, entry by entry.

A change touches a few entries, while a shard holds hundreds. Instances that
are only a few generations behind are sent the changed entries and check the
result by the digest of the shard.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cowsliprack.protocol.configuration_codec import Body

# Patches kept for instances that missed some. With one change in six seconds
# at target size, 64 patches cover about six minutes.
MAX_PATCHES = 64
# Entries in one patch above which whole shards are sent instead.
MAX_PATCH_ENTRIES = 500


@dataclass(frozen=True, slots=True)
class Patch:
    """Difference between two generations.

    :param digests: of changed shards by number; empty for a removed one.
    :param entries: changed entries by shard, section and name; ``None`` for
        a removed one.
    """

    base: int
    generation: int
    digests: Mapping[int, str]
    entries: Mapping[int, Body]


@dataclass(slots=True)
class PatchHistory:
    """Patches of the last generations up to the one in force."""

    patches: deque[Patch] = field(
        default_factory=lambda: deque(maxlen=MAX_PATCHES),
    )

    def add(self, patch: Patch) -> None:
        """Add the patch to the generation that has come into force.

        :param patch: one above the limit clears the history, so that whole
            shards are sent.
        """
        count = sum(
            len(names)
            for sections in patch.entries.values()
            for names in sections.values()
        )
        if count > MAX_PATCH_ENTRIES:
            self.patches.clear()
        else:
            self.patches.append(patch)

    def since(self, generation: int) -> Patch | None:
        """Return one patch from a generation to the one in force.

        :param generation: that a peer holds.
        :returns: ``None`` if the history does not reach back to it.
        """
        digests: dict[int, str] = {}
        entries: dict[int, Body] = {}
        reached = generation
        for patch in self.patches:
            if patch.base != reached:
                continue
            reached = patch.generation
            digests.update(patch.digests)
            for number, sections in patch.entries.items():
                entries[number] = _merge(entries.get(number, {}), sections)
        if reached == generation:
            return None
        return Patch(generation, reached, digests, entries)


def compare_shards(old: Body, new: Body) -> Body:
    """Return the entries that differ; removed ones are ``None``.

    :param old: body of a shard; empty if it did not exist.
    :param new: body of the same shard in a later generation.
    """
    changed: Body = {}
    for section in _sorted_keys((old, new)):
        before = old.get(section, {})
        after = new.get(section, {})
        names = {
            name: after.get(name)
            for name in _sorted_keys((before, after))
            if before.get(name) != after.get(name)
        }
        if names:
            changed[section] = names
    return changed


def apply_entries(old: Body, changed: Body) -> Body:
    """Return the body of a shard after a change.

    :param old: body of the shard; empty if it did not exist.
    :param changed: result of ``compare_shards``.
    """
    merged = _merge(old, changed)
    present = {
        section: {
            name: entry for name, entry in names.items() if entry is not None
        }
        for section, names in merged.items()
    }
    return {section: names for section, names in present.items() if names}


def _merge(old: Body, changed: Body) -> Body:
    return {
        section: {**old.get(section, {}), **changed.get(section, {})}
        for section in _sorted_keys((old, changed))
    }


def _sorted_keys(mappings: Iterable[Body]) -> list[str]:
    return sorted({name for mapping in mappings for name in mapping})
