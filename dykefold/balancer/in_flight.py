"""Attempts in flight, as `EndpointState.in_flight` records them."""

from __future__ import annotations

from .class_stats import ClassStats

AttemptKey = tuple[int, int]  # number of the request, number of the attempt


class InFlightAttempt:
    """An attempt that awaits its response.

    Args:
        sent_ns: Time at which it was sent.
        stats: Statistics of the class of its request.

    Attributes:
        sent_ns: Time at which it was sent, or at which its endpoint had received the streamed request body.
        stats: Statistics of the class of its request.
        overtaken: Number of responses to attempts that were later sent to the same endpoint.
    """

    __slots__ = ("overtaken", "sent_ns", "stats")

    def __init__(self, sent_ns: int, stats: ClassStats) -> None:
        self.sent_ns = sent_ns
        self.stats = stats
        self.overtaken = 0
