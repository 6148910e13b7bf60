"""Attempts of pending requests: starting, the deadline announced to the endpoint, streams, and their ends.

An attempt is written once and ends once. Its end states what is known of whether the endpoint ran it; whether
to retry is decided by the balancer.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from ...balancer.actions import Cancel, Send
from ...balancer.events import BodySent, Outcome, Status, StreamStarted
from ...balancer.settings import Effect
from ..clock import MS, SECOND
from ..downstream.request_parser import MAX_BUFFERED_BODY_BYTES, ParsedRequest
from ..streaming import Upload
from ..upstream.classify import HttpProfile, Response
from ..upstream.exchange import Exchange
from .http_encoding import header_lines
from .pending_requests import ATTEMPT_MARGIN_NS, PendingRequest

if TYPE_CHECKING:
    from .pool import Pool

STALL_S = (
    3.0  # seconds in which a streamed body or answer must progress, where the endpoint is the one to act
)
MAX_OVERSTATED_NS = 50 * MS  # by which the announced time may exceed what is left when the last byte goes out
MIN_WRITE_NS = MS  # left of its time, or an attempt is not written: the shortest time that can be announced
# What an end that proves that a request never ran means where the endpoint may act on a part of a body.
MAY_HAVE_ACTED = {Status.CONNECT_FAILED: Status.RESET, Status.NOT_ATTEMPTED: Status.CANCELLED}
STREAM_MARGIN_DIVISOR = 4  # one part in this many of the client's time is not announced for a streamed body


class Attempt(Exchange):
    """One transmission of a pending request to one endpoint.

    Args:
        request: The request that it belongs to.
        number: Counts the attempts of the request, from 0.
        server: The endpoint's number.
        sent_ns: When the balancer sent it, nanoseconds on the clock.
    """

    __slots__ = (
        "announced_ns",
        "answer_began_ns",
        "endpoint_number",
        "expires_ns",
        "last_progress",
        "number",
        "request",
        "sent_ns",
        "write_by_ns",
    )

    def __init__(self, request: PendingRequest, number: int, server: int, sent_ns: int) -> None:
        """Prepare an attempt; `AttemptRunner.start` sends it."""
        super().__init__(b"", request.ended, MAX_BUFFERED_BODY_BYTES)
        self.profile = request.parsed.profile
        self.max_streamed_bytes = request.parsed.max_response_bytes
        self.upload = request.parsed.upload
        self.request = request
        self.number = number
        self.endpoint_number = server
        self.sent_ns = sent_ns
        self.answer_began_ns = 0  # when a streamed answer began; 0: none has
        self.last_progress = -1  # bytes streamed when progress was last checked
        self.announced_ns = 0  # the time left, as announced to the endpoint
        self.expires_ns = 0  # when it is given up; 0: its body is still arriving
        self.write_by_ns = 0  # it is not written later than this; 0: no such bound

    def expire(self) -> None:
        """Give the attempt up, unless its body or answer is being streamed and has progressed.

        A long stream may outlast any deadline. Only one that stalls is given up, as its client
        would wait for ever for the rest.
        """
        if not self._streaming() or not self._has_progressed():
            super().expire()
        elif self.timer_wheel is not None:
            self.timer_wheel.start(self, STALL_S, self.request.pool.monotonic())

    def _streaming(self) -> bool:
        return self.answer_began_ns > 0 or (self.upload is not None and not self.upload.ended)

    def _has_progressed(self) -> bool:
        """Return whether bytes were streamed since the last check, or the client is the one to act."""
        if self.connection is None:
            return False  # nothing is written yet, and the time allowed for connecting is over
        before, self.last_progress = self.last_progress, self.connection.moved()
        if self.answer_began_ns:
            return self.connection.blocked or self.last_progress != before
        return not self.connection.unwritten or self.last_progress != before

    def wanted(self) -> bool:
        """Return whether the attempt may still be written."""
        now = self.request.pool.now()
        if self.write_by_ns and now >= self.write_by_ns:
            return (
                False  # the endpoint no longer remembers the idempotency key: this would be a second effect
            )
        if self.expires_ns and now > self.expires_ns - MIN_WRITE_NS:
            return False  # nobody would hear an answer, and the request may have an effect
        return not self._announced_too_much(now) and not self.request.sink.client_has_closed()

    def _announced_too_much(self, now: int) -> bool:
        """Return whether the head, which is written, announced more time than the client has left now.

        The platform's endpoints begin with a request when its last byte has arrived (PROTOCOL, sidecars to
        servers), and a slow socket can delay that byte.
        """
        if self.connection is None or self.profile is not HttpProfile.PLATFORM:
            return False
        return now + self.announced_ns > self.request.parsed.deadline_ns + MAX_OVERSTATED_NS

    def compose(self) -> bytes:
        """Return the message to write; if connecting took long, it announces the time that is left now."""
        now = self.request.pool.now()
        if now - self.sent_ns >= MS:
            self.announce(
                self.expires_ns - now if self.expires_ns else stream_time_ns(self.request.parsed, now)
            )
        return self.payload

    def announce(self, left_ns: int) -> None:
        """Encode the message for an endpoint that has so many nanoseconds."""
        self.announced_ns = left_ns
        self.payload = self.request.pool.message(self.request.parsed, left_ns)

    def restart_timer(self, after_s: float) -> None:
        """Replace the time limit of an attempt in flight, in seconds from now."""
        if self.timer_wheel is not None and not self.ended:
            self.timer_wheel.stop(self)
            self.timer_wheel.start(self, after_s, self.request.pool.monotonic())

    def upload_begins(self) -> None:
        """Notify the balancer that the body is being streamed: the request can't be retried any more."""
        request = self.request
        request.pool.post(
            StreamStarted(request.id, self.number, self.endpoint_number, 0, Status.NOT_ATTEMPTED)
        )
        if request.parsed.upload is not None and request.parsed.upload.ended:
            self.body_sent()

    def body_sent(self) -> None:
        """Notify the balancer that the streamed body is complete: the endpoint is the one to act."""
        self.request.pool.post(BodySent(self.request.id, self.number, self.endpoint_number))

    def begin_response(
        self, code: int, headers: list[tuple[bytes, bytes]], length: int | None, load: bytes
    ) -> bool:
        """Begin to stream the answer to the client.

        Args:
            code: HTTP status code.
            headers: Header fields to pass on.
            length: Bytes of the body; None if unknown.
            load: The endpoint's load report; empty without one.

        Returns:
            Whether the answer is passed on.
        """
        request = self.request
        if not request.awaiting_answer or request.streaming_answer:
            return False
        request.streaming_answer = request.sink.begin_response(
            request.parsed, code, header_lines(headers), length, self
        )
        if request.streaming_answer:
            pool, self.answer_began_ns = request.pool, request.pool.now()
            pool.host.timer_wheel.stop(request)  # its final answer has begun in time
            took_ns = self.answer_began_ns - max(
                self.sent_ns, self.upload.whole_ns if self.upload is not None else 0
            )
            report = pool.reports.read(load) if load and pool.reports.columns else ()
            pool.post(
                StreamStarted(
                    request.id, self.number, self.endpoint_number, max(took_ns, 0), Status.OK, report
                )
            )
        return request.streaming_answer

    def send_response_piece(self, data: bytes) -> None:
        """Pass on the next bytes of a streamed answer."""
        self.request.sink.send_response_piece(self.request.parsed, data)

    def block(self, on: bool) -> None:
        """Pause or resume reading from the endpoint, as the client can take bytes."""
        if self.connection is not None:
            self.connection.block(on)


class AttemptRunner:
    """Starts, cancels and ends the attempts of one pool."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        # By request and number; an attempt may outlive its request.
        self.in_flight: dict[tuple[int, int], Attempt] = {}

    def of(self, request: PendingRequest) -> Iterator[Attempt]:
        """Iterate over the attempts of a request that are in flight when their turn comes."""
        for number in range(request.attempt_count):
            attempt = self.in_flight.get((request.id, number))
            if attempt is not None:
                yield attempt

    def start(self, action: Send) -> None:
        """Start the next attempt of a request, if there is still time, a client and a descriptor."""
        pool = self.pool
        request = pool.requests.by_id.get(action.id)
        if request is None:
            return  # no longer pending: the balancer was notified, or will be by an event in the queue
        now = pool.now()
        attempt = Attempt(request, request.attempt_count, action.endpoint_number, now)
        request.attempt_count += 1
        self.in_flight[request.id, attempt.number] = attempt
        request.attempts_in_flight += 1
        upload = request.parsed.upload
        body_arriving = upload is not None and not upload.ended  # the deadline starts when it is complete
        last = (
            int(STALL_S * SECOND) if body_arriving else request.parsed.deadline_ns - ATTEMPT_MARGIN_NS - now
        )
        # The balancer's time-out does not allow for a body that is still arriving.
        bounded = action.timeout_ns > 0 and upload is None
        wait = min(action.timeout_ns, last) if bounded else last
        if request.may_have_run or request.attempts_in_flight > 1:
            attempt.write_by_ns = self._idempotency_window_end(request, attempt)
        if (
            request.attempt_count > request.max_attempts
            or wait <= 0
            or not attempt.wanted()
            or not pool.requests.reserve_descriptor(request)
        ):
            attempt.end(Status.NOT_ATTEMPTED)
            return
        attempt.expires_ns = 0 if body_arriving else now + wait
        # The time of a streamed body counts from its last byte, which the endpoint gets later than this.
        attempt.announce(stream_time_ns(request.parsed, now) if body_arriving else wait)
        pool.upstreams.start(action.endpoint_number, attempt, wait / SECOND)

    def _idempotency_window_end(self, request: PendingRequest, attempt: Attempt) -> int:
        """Return when the request's idempotency key may be forgotten; 0 if it has none.

        The window counts from the first attempt that may have run. A retry that is decided on in time could
        otherwise be written after it, when its connection comes up late.
        """
        settings = self.pool.settings
        request_class = settings.classes[request.parsed.class_number]
        if request_class.effect is not Effect.KEYED:
            return 0
        earlier_ns = [other.sent_ns for other in self.of(request) if other is not attempt]
        first_ns = min(earlier_ns, default=request.first_run_ns)
        if request.first_run_ns:
            first_ns = min(first_ns, request.first_run_ns)
        return first_ns + request_class.window_ns - settings.tick_ns

    def cancel(self, action: Cancel) -> None:
        """Cancel an attempt, unless it streams the final answer's or the request's only body."""
        attempt = self.in_flight.get((action.id, action.attempt))
        if attempt is None:
            return
        request, upload = attempt.request, attempt.upload
        streamed = request.streaming_answer or (upload is not None and upload.begun)
        # A streamed attempt of a pending request can't be retried: it ends by itself or at its time limit.
        if not (streamed and request.awaiting_answer):
            attempt.give_up(Status.CANCELLED)

    def end(
        self, request: PendingRequest, attempt: Attempt, status: Status, response: Response | None
    ) -> None:
        """Account for the end of an attempt: pass on an answer to the client, and notify the balancer.

        Args:
            request: The request that it belongs to, which need not be pending any more.
            attempt: Which has ended.
            status: How, before a partly sent body is taken into account.
            response: The endpoint's complete response, if one came.
        """
        pool = self.pool
        self.in_flight.pop((request.id, attempt.number), None)
        request.attempts_in_flight -= 1
        pool.requests.release_descriptors(request)
        upload = request.parsed.upload
        if upload is not None and upload.begun:
            status = _status_of_streamed(request, upload, status)
        if status is Status.NOT_ATTEMPTED:
            request.max_attempts += 1  # it does not count as an attempt
        if status not in (Status.FULL, Status.CONNECT_FAILED, Status.NOT_ATTEMPTED):
            request.may_have_run = True
            request.first_run_ns = min(request.first_run_ns or attempt.sent_ns, attempt.sent_ns)
        report = self._take_response(request, status, response) if response is not None else ()
        if request.awaiting_answer and (request.streaming_answer or (upload is not None and upload.begun)):
            pool.requests.end_streamed(request, status)
        # While a body was streamed its client set the pace, so the endpoint's time counts from its end.
        took_ns = pool.now() - max(attempt.sent_ns, upload.whole_ns if upload is not None else 0)
        if pool.on_attempt_end is not None:
            objective_ns = pool.settings.classes[request.parsed.class_number].objective_ns
            pool.on_attempt_end(attempt.endpoint_number, status, took_ns, objective_ns)
        request_over = not request.awaiting_answer
        pool.post(
            Outcome(
                request.id, attempt.number, attempt.endpoint_number, status, took_ns, request_over, report
            )
        )
        if pool.on_retired is not None:
            pool.loop.call_soon(pool.close_if_finished)

    def _take_response(
        self, request: PendingRequest, status: Status, response: Response
    ) -> tuple[float, ...]:
        """Answer the request with a served response, or keep an error; return the load report."""
        pool = self.pool
        report: tuple[float, ...] = ()
        if response.load and pool.reports.columns:
            report = pool.reports.read(response.load)
        if status is Status.OK and request.awaiting_answer and not request.streaming_answer:
            pool.requests.forward(request, response)
        elif status is Status.ERROR and request.parsed.profile is not HttpProfile.PLATFORM:
            request.error_response = response
        return report


def stream_time_ns(call: ParsedRequest, now: int) -> int:
    """Return the nanoseconds to announce for a streamed body, at most what is left since its head was read.

    The client's time starts with its last byte, which may have arrived already and wait to be read. Part of
    the time is not announced, since a slow socket may delay the last byte.
    """
    announced_ns = call.wait_ns - call.wait_ns // STREAM_MARGIN_DIVISOR
    return max(min(announced_ns, call.deadline_ns - now), MS)


def _status_of_streamed(request: PendingRequest, upload: Upload, status: Status) -> Status:
    """Return what the end of an attempt proves when part of the body was sent.

    The platform's endpoints begin with a request when its last byte has arrived (PROTOCOL, sidecars to
    servers); others may act on a part.
    """
    if request.parsed.profile is not HttpProfile.PLATFORM:
        return MAY_HAVE_ACTED.get(status, status)
    if not upload.sent and status in (Status.RESET, Status.TIMEOUT, Status.CANCELLED):
        return Status.CONNECT_FAILED
    return status
