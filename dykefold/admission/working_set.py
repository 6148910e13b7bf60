"""Estimate of the number of connections that clients can use, from the recent peak of pending requests.

The clients' machine can also open only a limited number of connections. A connection that was abandoned after
one request still counts toward that number, and the next request may need its place. Such connections are
therefore closed before any limit is reached.
"""

from __future__ import annotations

PEAK_INTERVAL_S = 2.0  # The peak of busy connections covers the current interval and the previous one.
CONNECTIONS_PER_BUSY = 2.0  # Useful connections for each busy one at the peak.
MIN_CONNECTIONS = 8  # Added to the product, for clients that rarely send requests.
USABLE_FRACTION = 0.75  # Of the connections allowed for requests; the rest is kept for bursts.


class WorkingSet:
    """Counts the connections that carry requests, and estimates how many are needed.

    Args:
        max_with_requests: Maximum number of client connections on which a request has been sent.

    Attributes:
        with_requests: Number of connections on which at least one request has been sent.
        busy: Number of connections with a pending request or a response being written.
        limit: Estimated number of connections that clients can use.
    """

    def __init__(self, max_with_requests: int) -> None:
        self.with_requests = 0
        self.busy = 0
        self._peak = 0  # Peak of `busy` in the current interval.
        self._previous_peak = 0  # Peak of `busy` in the previous interval.
        self._interval_began_at_s = 0.0
        self.limit = 0.0
        self.resize(max_with_requests)

    def resize(self, max_with_requests: int) -> None:
        """Apply a new maximum number of client connections with requests."""
        self._max_usable = USABLE_FRACTION * max_with_requests
        self._update_limit()

    def add_busy(self, now_s: float) -> None:
        """Count one more busy connection.

        Args:
            now_s: Monotonic time in seconds at which the connection became busy.
        """
        self.busy += 1
        if now_s - self._interval_began_at_s >= PEAK_INTERVAL_S:
            is_peak_outdated = now_s - self._interval_began_at_s >= 2 * PEAK_INTERVAL_S
            self._previous_peak = 0 if is_peak_outdated else self._peak
            self._peak = self.busy
            self._interval_began_at_s = now_s
            self._update_limit()
        elif self.busy > self._peak:
            self._peak = self.busy
            self._update_limit()

    def _update_limit(self) -> None:
        peak = max(self._peak, self._previous_peak)
        self.limit = min(CONNECTIONS_PER_BUSY * peak + MIN_CONNECTIONS, self._max_usable)
