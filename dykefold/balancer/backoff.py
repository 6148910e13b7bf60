"""Exponential growth of delays, for any number of steps."""

from __future__ import annotations

# A float overflows at 1024 doublings; a counter of failures may go far beyond that in a long outage.
MAX_DOUBLINGS = 60


def exponential(base: float, doublings: int, maximum: float) -> float:
    """Return a value that doubles with each step, up to a maximum.

    Args:
        base: Value without doublings.
        doublings: Number of steps; any number from 0.
        maximum: Upper bound of the result.
    """
    return min(base * 2.0 ** min(doublings, MAX_DOUBLINGS), maximum)
