"""One pending request: the client's request, its limits, and the state of its attempts."""

from __future__ import annotations

from typing import Protocol

from ..downstream.request_parser import ParsedRequest
from ..timer_wheel import Timed
from ..upstream.classify import Response
from .protocols import ResponseSink


class RequestTimeLimits(Protocol):
    """Handles the time limits of pending requests."""

    def on_timer(self, request: PendingRequest) -> None:
        """Give the final answer if the deadline is near."""
        ...

    def start_deadline(self, request: PendingRequest) -> None:
        """Start the deadline of a request whose streamed body is complete."""
        ...


class PendingRequest(Timed):
    """An accepted request. Its timer is the fallback that gives a final answer before the deadline.

    Args:
        request_id: Number of the request, unique in its pool.
        parsed: Request as its client sent it.
        sink: Client connection that receives the final answer.
        time_limits: Handler of the request's time limits.
        max_attempts: Maximum number of attempts, by the settings at the time of acceptance.

    Attributes:
        attempt_count: Number of attempts so far, including those in flight.
        attempts_in_flight: Number of attempts that have not ended.
        reservations: Number of descriptors that are reserved for the request.
        may_have_run: Whether an attempt has ended without proof that its endpoint did not run the request.
        first_run_ns: Start of the earliest such attempt, nanoseconds on the clock; 0 without one.
        awaiting_answer: Whether the final answer has not been given yet.
        streaming_answer: Whether streaming of the final answer has begun.
        error_response: Error response of an endpoint that may be forwarded as the final answer.
    """

    __slots__ = (
        "attempt_count",
        "attempts_in_flight",
        "awaiting_answer",
        "error_response",
        "first_run_ns",
        "id",
        "max_attempts",
        "may_have_run",
        "parsed",
        "reservations",
        "sink",
        "streaming_answer",
        "time_limits",
    )

    def __init__(
        self,
        request_id: int,
        parsed: ParsedRequest,
        sink: ResponseSink,
        time_limits: RequestTimeLimits,
        max_attempts: int,
    ) -> None:
        self.tick = 0
        self.id = request_id
        self.parsed = parsed
        self.sink = sink
        self.time_limits = time_limits
        self.attempt_count = 0
        self.max_attempts = max_attempts
        self.attempts_in_flight = 0
        self.reservations = 1
        self.may_have_run = False
        self.first_run_ns = 0
        self.awaiting_answer = True
        self.streaming_answer = False
        self.error_response: Response | None = None

    def expire(self) -> None:
        """Handle the timer: the deadline is near, or the arrival of the body has to be observed."""
        self.time_limits.on_timer(self)

    def on_body_complete(self) -> None:
        """Start the deadline, which counts from the last byte of the body (PROTOCOL, figures)."""
        self.time_limits.start_deadline(self)
