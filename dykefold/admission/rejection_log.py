"""Log of rejections, at most one line per limit in `LOG_INTERVAL_S`."""

from __future__ import annotations

import logging
from collections.abc import Callable

from .decision import RejectionReason

log = logging.getLogger("dykefold.admission")

LOG_INTERVAL_S = 10.0  # Between two log lines about the same limit.


class RejectionLog:
    """Logs rejections, and counts those not logged yet.

    Args:
        monotonic: Returns the monotonic time in seconds.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self._monotonic = monotonic
        self._not_logged = dict.fromkeys(RejectionReason, 0)
        self._logged_at_s = dict.fromkeys(RejectionReason, -LOG_INTERVAL_S)

    def add(self, reason: RejectionReason, host: str) -> None:
        """Count a rejection, and log the count if the last line is at least `LOG_INTERVAL_S` old.

        Args:
            reason: Limit that rejected the connection or request.
            host: The client's address as text.
        """
        self._not_logged[reason] += 1
        now_s = self._monotonic()
        if now_s - self._logged_at_s[reason] >= LOG_INTERVAL_S:
            self._logged_at_s[reason] = now_s
            log.warning(
                "sidecar rejected clients: limit=%s rejections=%d last_address=%s",
                reason.value,
                self._not_logged[reason],
                host,
            )
            self._not_logged[reason] = 0
