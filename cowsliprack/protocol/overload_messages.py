"""Parts of reports and views by which instances share limits of targets."""

import msgspec


class ColdUse(msgspec.Struct, frozen=True, array_like=True):
    """A cold target as an instance knows it, and the instance's demand.

    :param rate: requests per second that the target takes from all instances.
    :param seconds_left: time for which it stays cold.
    :param wanted: requests per second of this instance that it could run.
    :param share: requests per second that the leader has granted.
    """

    target_id: str
    rate: float
    seconds_left: float
    wanted: float = 0
    share: float = 0


class ColdShare(msgspec.Struct, frozen=True, array_like=True):
    """A cold target and the part of one instance of its limit.

    :param rate: see ``ColdUse``.
    :param seconds_left: see ``ColdUse``.
    :param share: requests per second of the instance.
    """

    target_id: str
    rate: float
    seconds_left: float
    share: float
