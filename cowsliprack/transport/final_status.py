"""Statuses that the final response to a request may have."""

# RFC 9110, section 15: responses below are interim; clients treat others as
# invalid.
_MIN_FINAL_STATUS = 200
_MAX_STATUS = 599


def is_final_status(status: int) -> bool:
    """Return whether a final response may have a status.

    :param status: status of a response.
    """
    return _MIN_FINAL_STATUS <= status <= _MAX_STATUS
