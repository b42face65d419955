"""Keeps an error in the handling of one message from ending the process."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
import structlog

from cowsliprack.exceptions import CowsliprackError

# A peer that keeps sending such messages must not flood the log.
_LOG_INTERVAL_SECONDS = 1.0

_log = structlog.get_logger('cowsliprack.messages')


@dataclass(slots=True)
class MessageGuard:
    """Calls the handlers of one source of messages.

    :param failures: messages that a handler could not apply.
    """

    failures: int = 0
    _logged_at: float = float('-inf')

    def handle(
        self, handler: Callable[..., None], sender: str, *message: Any
    ) -> None:
        """Handle one message; an error is logged.

        :param handler: of the message.
        :param sender: id of the peer, or name of the source.
        :param message: arguments of the handler.
        """
        try:
            handler(*message)
        except CowsliprackError as error:
            if self._may_log():
                _log.warning(
                    'message_refused',
                    sender=sender,
                    error=str(error),
                    failures=self.failures,
                )
        except Exception:
            if self._may_log():
                _log.exception(
                    'message_failed', sender=sender, failures=self.failures
                )

    def _may_log(self) -> bool:
        self.failures += 1
        now = anyio.current_time()
        if now - self._logged_at < _LOG_INTERVAL_SECONDS:
            return False
        self._logged_at = now
        return True
