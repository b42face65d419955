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


class PaceUse(msgspec.Struct, frozen=True, array_like=True):
    """Answers of a target that an instance has counted since its start.

    :param in_time: answers without a late first byte or a long pause.
    :param late: the others.
    :param refused: requests that it turned away for want of room.
    :param broken: requests whose connection failed.
    :param running: requests of the instance that the target runs now.
    :param is_recovering: whether it has just started or failed, as far as the
        instance knows.
    """

    target_id: str
    in_time: int
    late: int
    refused: int
    broken: int
    running: int
    is_recovering: bool = False


class PaceView(msgspec.Struct, frozen=True, array_like=True):
    """Pace of a target that is not well, as the leader has found it.

    :param state: see :class:`cowsliprack.coordination.target_pace.PaceState`.
    :param places: requests of all instances that it should run at a time.
    :param answered_age: seconds since any instance had an answer in time;
        negative if none had.
    """

    target_id: str
    state: str
    places: float
    answered_age: float


class OutcomeCount(msgspec.Struct, frozen=True, array_like=True):
    """Requests of a model that fared badly since the process started.

    :param late: requests without a first event by their latency target.
    :param paused: streams with a pause above the route's limit.
    """

    model: str
    late: int
    paused: int
