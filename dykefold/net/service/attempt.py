"""One attempt of a pending request: its announced deadline, its streaming and its time limit.

An attempt is written once and ends once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from ...balancer.events import BodySent, Status, StreamStarted
from ..clock import NS_PER_MS, NS_PER_S
from ..downstream.request_parser import MAX_BUFFERED_BODY_BYTES, ParsedRequest
from ..upstream.classify import HttpProfile, Response, is_premature
from ..upstream.exchange import Exchange
from .http_encoding import header_lines
from .pending_request import PendingRequest
from .protocols import AttemptHost

# The last attempt is given up this long before the client's deadline.
ATTEMPT_MARGIN_NS = 15 * NS_PER_MS
# A streamed body or answer must progress within this time while it depends on the endpoint.
STREAM_STALL_TIMEOUT_S = 3.0
# Maximum excess of the announced time over the client's remaining time when the last byte is written.
MAX_ANNOUNCED_EXCESS_NS = 50 * NS_PER_MS
# The shortest time that can be announced; an attempt with less time left is not written.
MIN_ANNOUNCED_NS = NS_PER_MS
# For a streamed body, one part in this many of the client's time is withheld from the announced time.
STREAM_MARGIN_DIVISOR = 4


class Attempt(Exchange):
    """One transmission of a pending request to one endpoint.

    Args:
        request: Request that the attempt belongs to; the attempt may outlive it.
        host: Interface of the pool that the attempt uses.
        endpoint_number: Number of the endpoint.
        sent_ns: Time at which the balancer started the attempt, nanoseconds on the clock.
        on_end: Callback that is called once at the end. Its arguments are the attempt, its status, and the
            endpoint's complete response or None.

    Attributes:
        number: Number of the attempt within its request, from 0.
        announced_ns: Remaining time that was announced to the endpoint, in nanoseconds.
        answer_began_ns: Time at which a streamed answer began, nanoseconds on the clock; 0 before that.
        expires_ns: Time at which the attempt is given up, nanoseconds on the clock; 0 while the body arrives.
        write_deadline_ns: Time from which the attempt must not be written, nanoseconds on the clock; 0 for
            no limit.
        last_progress: Bytes streamed at the latest check of progress; None before the first check.
    """

    __slots__ = (
        "announced_ns",
        "answer_began_ns",
        "endpoint_number",
        "expires_ns",
        "host",
        "last_progress",
        "number",
        "request",
        "sent_ns",
        "write_deadline_ns",
    )

    def __init__(
        self,
        request: PendingRequest,
        host: AttemptHost,
        endpoint_number: int,
        sent_ns: int,
        on_end: Callable[[Attempt, Status, Response | None], None],
    ) -> None:
        super().__init__(b"", on_end, MAX_BUFFERED_BODY_BYTES)  # type: ignore[arg-type]  # Exchange passes itself
        self.profile = request.parsed.profile
        self.max_streamed_bytes = request.parsed.max_response_bytes
        self.upload = request.parsed.upload
        self.request = request
        self.host = host
        self.number = request.attempt_count
        self.endpoint_number = endpoint_number
        self.sent_ns = sent_ns
        # Timestamps on the path of each request: 0 stands for "none".
        self.answer_began_ns = 0
        self.announced_ns = 0
        self.expires_ns = 0
        self.write_deadline_ns = 0
        self.last_progress: int | None = None

    def stall_timeout_ns(self) -> int:
        """Return the time within which a body that is still arriving must progress, in nanoseconds."""
        return int(STREAM_STALL_TIMEOUT_S * NS_PER_S)

    def expire(self) -> None:
        """Give the attempt up, unless its body or answer is being streamed and has progressed.

        A long stream may outlast any deadline. Only a stalled stream is given up, since its client would
        otherwise wait forever.
        """
        if self._streaming():
            if self._has_progressed():
                self._restart_stall_timer()
            else:
                super().expire()
        elif not self._await_flowing_response():
            super().expire()

    def _restart_stall_timer(self) -> None:
        if self.timer_wheel is not None:
            self.timer_wheel.start(self, STREAM_STALL_TIMEOUT_S, self.host.monotonic())

    @property
    def response_flows(self) -> bool:
        """Whether a successful response of unknown length has begun; it must not be cut off."""
        return self.connection is not None and self.connection.response_flows

    def _await_flowing_response(self) -> bool:
        """Go on with a response that flows: buffered until the deadline is near, and streamed from then on.

        Returns:
            Whether there is such a response.
        """
        if not self.response_flows or self.timer_wheel is None:
            return False
        remaining_ns = self.request.parsed.deadline_ns - ATTEMPT_MARGIN_NS - self.host.now()
        if remaining_ns <= 0:
            return self.stream_response()
        self.timer_wheel.start(self, remaining_ns / NS_PER_S, self.host.monotonic())
        return True

    def stream_response(self) -> bool:
        """Begin the final answer with a response that flows; return whether that was possible."""
        if self.connection is None or not self.connection.stream_response():
            return False
        if self.timer_wheel is not None and not self.ended:
            self.timer_wheel.stop(self)
            self._restart_stall_timer()
        return True

    def _streaming(self) -> bool:
        return self.answer_began_ns > 0 or (self.upload is not None and not self.upload.ended)

    def _has_progressed(self) -> bool:
        """Return whether bytes were streamed since the last check, or the stream waits for the client."""
        if self.connection is None:
            return False  # nothing is written yet, and the time for making a connection has passed
        previous, self.last_progress = self.last_progress, self.connection.transferred_bytes()
        if self.answer_began_ns:
            return self.connection.blocked or self.last_progress != previous
        return not self.connection.unwritten or self.last_progress != previous

    def should_send(self) -> bool:
        """Return whether the attempt may still be written."""
        if not self.request.awaiting_answer or self.request.streaming_answer:
            return False  # another attempt has given the final answer, or has begun to
        now_ns = self.host.now()
        if self.write_deadline_ns and now_ns >= self.write_deadline_ns:
            # The endpoint no longer remembers the idempotency key: the attempt would have a second effect.
            return False
        if self.expires_ns and now_ns > self.expires_ns - MIN_ANNOUNCED_NS:
            return False  # the response would be too late, but the request may have an effect
        return not self._announced_exceeds_remaining(now_ns) and not self.request.sink.client_has_closed()

    def limit_write(self, deadline_ns: int) -> None:
        """Apply a time from which the attempt must not be written, unless an earlier one applies.

        Args:
            deadline_ns: Time in nanoseconds on the clock; 0 for no limit.
        """
        if deadline_ns:
            self.write_deadline_ns = min(self.write_deadline_ns or deadline_ns, deadline_ns)

    def _announced_exceeds_remaining(self, now_ns: int) -> bool:
        """Return whether the written head announced more time than the client has left now.

        The platform's endpoints start to process a request when its last byte has arrived (PROTOCOL, sidecars
        to servers), and a slow socket can delay that byte.
        """
        if self.connection is None or self.profile is not HttpProfile.PLATFORM:
            return False
        return now_ns + self.announced_ns > self.request.parsed.deadline_ns + MAX_ANNOUNCED_EXCESS_NS

    def compose(self) -> bytes:
        """Return the message to write; after a slow connect it announces the time that is left now."""
        now_ns = self.host.now()
        if now_ns - self.sent_ns >= NS_PER_MS:
            self.announce(
                self.expires_ns - now_ns
                if self.expires_ns
                else announced_stream_time_ns(self.request.parsed, now_ns)
            )
        return self.payload

    def announce(self, remaining_ns: int) -> None:
        """Encode the message with the remaining time, in nanoseconds, that the endpoint has to respond."""
        self.announced_ns = remaining_ns
        self.payload = self.host.encode_request(self.request.parsed, remaining_ns)

    def restart_timer(self, timeout_s: float) -> None:
        """Replace the time limit of an attempt in flight, in seconds from now."""
        if self.timer_wheel is not None and not self.ended:
            self.timer_wheel.stop(self)
            self.timer_wheel.start(self, timeout_s, self.host.monotonic())

    def on_upload_begin(self) -> None:
        """Notify the balancer that the body is being streamed: the request can no longer be retried."""
        request = self.request
        self.host.post(StreamStarted(request.id, self.number, self.endpoint_number, 0, Status.NOT_ATTEMPTED))
        if request.parsed.upload is not None and request.parsed.upload.ended:
            self.body_sent()

    def body_sent(self) -> None:
        """Notify the balancer that the streamed body is complete and the endpoint has to respond."""
        self.host.post(BodySent(self.request.id, self.number, self.endpoint_number))

    def begin_response(
        self, code: int, headers: list[tuple[bytes, bytes]], length: int | None, load: bytes
    ) -> bool:
        """Begin to stream the response to the client as the final answer.

        Args:
            code: HTTP status code.
            headers: Header fields to forward.
            length: Length of the body in bytes; None if unknown.
            load: Load report of the endpoint; empty without one.

        Returns:
            Whether the response is forwarded.
        """
        request = self.request
        if not request.awaiting_answer or request.streaming_answer:
            return False
        if self.connection is None or (self.connection.incomplete and is_premature(code, self.profile)):
            return False
        request.streaming_answer = request.sink.begin_response(
            request.parsed, code, header_lines(headers), length, self
        )
        if request.streaming_answer:
            host, self.answer_began_ns = self.host, self.host.now()
            host.timer_wheel.stop(request)  # its final answer has begun in time
            duration_ns = self.answer_began_ns - max(
                self.sent_ns, self.upload.completed_ns if self.upload is not None else 0
            )
            report = host.reports.parse(load) if load and host.reports.columns else ()
            host.post(
                StreamStarted(
                    request.id, self.number, self.endpoint_number, max(duration_ns, 0), Status.OK, report
                )
            )
        return request.streaming_answer

    def send_response_chunk(self, data: bytes) -> None:
        """Forward the next bytes of a streamed answer."""
        self.request.sink.send_response_chunk(self.request.parsed, data)

    def set_paused(self, on: bool) -> None:
        """Pause or resume reading from the endpoint, depending on whether the client accepts bytes."""
        if self.connection is not None:
            self.connection.set_paused(on)


class AttemptsInFlight:
    """The attempts of one pool that have not ended; an attempt may outlive its request.

    Attributes:
        by_number: Attempts by request id and attempt number.
    """

    def __init__(self) -> None:
        self.by_number: dict[tuple[int, int], Attempt] = {}

    def of(self, request: PendingRequest) -> Iterator[Attempt]:
        """Iterate over the attempts of a request; an attempt that ends during the iteration is skipped."""
        for number in range(request.attempt_count):
            attempt = self.by_number.get((request.id, number))
            if attempt is not None:
                yield attempt


def announced_stream_time_ns(request: ParsedRequest, now_ns: int) -> int:
    """Return the nanoseconds to announce for a streamed body, at most those left since its head was read.

    The client's time starts with its last byte, which may already have arrived and not been read yet. Part of
    the time is withheld, since a slow socket may delay the last byte.
    """
    announced_ns = request.wait_ns - request.wait_ns // STREAM_MARGIN_DIVISOR
    return max(min(announced_ns, request.deadline_ns - now_ns), NS_PER_MS)
