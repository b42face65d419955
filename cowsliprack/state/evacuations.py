"""Availability zones whose targets must get no requests for now."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from cowsliprack.state.store_version import era_of


@dataclass(slots=True)
class Evacuations:
    """Evacuated zones; older data never replaces newer data.

    :param zones: names of the zones.
    :param revision: version of the store at the last read, see
        :mod:`.store_version`; -1 before the first.
    """

    zones: frozenset[str] = field(default_factory=frozenset)
    revision: int = -1

    def replace(self, zones: Iterable[str], revision: int) -> bool:
        """Replace all zones; return whether the list was accepted.

        :param zones: all evacuated zones.
        :param revision: version of the list; an older one is ignored.
        """
        if revision < self.revision:
            return False
        self.zones = frozenset(zones)
        self.revision = revision
        return True

    def apply(
        self, begun: Iterable[str], ended: Iterable[str], revision: int
    ) -> bool:
        """Apply changes since the last read; return whether accepted.

        Changes in another history of the store are ignored, since they do not
        say what else differs there.

        :param begun: zones that are evacuated now.
        :param ended: zones that are taken back.
        :param revision: version of the changes; an older one is ignored.
        """
        is_same_history = era_of(revision) == era_of(self.revision)
        if self.revision < 0 or not is_same_history:
            return False
        return self.replace(self.zones.union(begun).difference(ended), revision)
