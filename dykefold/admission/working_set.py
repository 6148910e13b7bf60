"""How many connections clients can make use of, by how many requests were open at once of late.

The machine of the clients can open only so many connections for requests as well. A connection that sent one
request and stays idle for good takes one of these from the next request, so such connections are closed
before anything is full.
"""

from __future__ import annotations

PEAK_INTERVAL_S = 2.0  # over which the most requests open at once are remembered, and at most twice that
PEAK_FACTOR = 2.0  # times that peak: connections that clients can make use of
MIN_CONNECTIONS = 8  # in addition, for clients that rarely send requests
USABLE_FRACTION = 0.75  # of what clients may hold for requests; the rest is left for bursts


class WorkingSet:
    """Counts the connections that carry requests, and estimates how many are of use.

    Args:
        max_with_requests: connections that clients can hold for requests.

    Attributes:
        with_requests: connections that have sent one request at least.
        busy: connections with a request open, or a response on its way to the client.
        limit: connections that clients can make use of.
    """

    def __init__(self, max_with_requests: int) -> None:
        self.with_requests = 0
        self.busy = 0
        self._peak = 0  # of `busy` in this interval
        self._previous_peak = 0  # ... and in the one before
        self._interval_began_at_s = 0.0
        self.limit = 0.0
        self.resize(max_with_requests)

    def resize(self, max_with_requests: int) -> None:
        """Take another number of connections that clients can hold for requests."""
        self._usable = USABLE_FRACTION * max_with_requests
        self._update_limit()

    def add_busy(self, now_s: float) -> None:
        """Count a connection that has become busy, at a time in seconds of the monotonic clock."""
        self.busy += 1
        if now_s - self._interval_began_at_s >= PEAK_INTERVAL_S:
            stale = now_s - self._interval_began_at_s >= 2 * PEAK_INTERVAL_S
            self._previous_peak = 0 if stale else self._peak
            self._peak = self.busy
            self._interval_began_at_s = now_s
            self._update_limit()
        elif self.busy > self._peak:
            self._peak = self.busy
            self._update_limit()

    def _update_limit(self) -> None:
        peak = max(self._peak, self._previous_peak)
        self.limit = min(PEAK_FACTOR * peak + MIN_CONNECTIONS, self._usable)
