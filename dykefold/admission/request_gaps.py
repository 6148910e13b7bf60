"""Estimate of the time for which clients leave a connection idle between two requests.

Uses the estimator of the TCP retransmission timeout (RFC 6298 section 2): a smoothed mean plus four mean
deviations.
"""

from __future__ import annotations

MEAN_GAIN = 1 / 8  # RFC 6298
DEVIATION_GAIN = 1 / 4  # RFC 6298
DEVIATION_FACTOR = 4.0  # RFC 6298
INITIAL_GAP_S = 0.1
MIN_TIMEOUT_S = 0.02


class RequestGaps:
    """Estimator of the idle time between two requests.

    Attributes:
        mean_s: Smoothed mean of the gaps, in seconds.
        deviation_s: Smoothed mean deviation of the gaps, in seconds.
    """

    def __init__(self) -> None:
        self.mean_s = INITIAL_GAP_S
        self.deviation_s = INITIAL_GAP_S / 2

    def record(self, gap_s: float) -> None:
        """Add one idle time, in seconds, to the estimate."""
        self.deviation_s += DEVIATION_GAIN * (abs(gap_s - self.mean_s) - self.deviation_s)
        self.mean_s += MEAN_GAIN * (gap_s - self.mean_s)

    def timeout_s(self) -> float:
        """Return the idle time in seconds after which another request is unlikely."""
        return max(self.mean_s + DEVIATION_FACTOR * self.deviation_s, MIN_TIMEOUT_S)
