"""Versions of stored objects, ordered across the histories of a store.

A store may come back from an older copy. Its revisions then go back and are
given out again, and it states a higher era. A version is therefore the era
with the revision below it.
"""

# Far above any revision; a version with an era of 20 bits fits into 64 bits.
_REVISION_BITS = 40
MAX_ERA = 2**20 - 1


def join_version(era: int, revision: int) -> int:
    """Return the version of a revision.

    :param era: number of the store's history, at most ``MAX_ERA``.
    :param revision: of the store in that history.
    """
    return era << _REVISION_BITS | revision


def era_of(version: int) -> int:
    """Return the era of a version; -1 for the version -1, which is none.

    :param version: see :func:`join_version`.
    """
    return version >> _REVISION_BITS


def revision_of(version: int) -> int:
    """Return the revision of a version within its era.

    :param version: see :func:`join_version`.
    """
    return version & (1 << _REVISION_BITS) - 1
