"""Pending requests: accepted, and answered exactly once.

Each request gets its one final answer from an attempt, from the balancer (refused or failed), or from its
fallback timer: shortly before the deadline it is answered even if the balancer plans another attempt.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from ...balancer.actions import Fail, Reject
from ...balancer.events import ClientDisconnected, Request, Status
from ..clock import NS_PER_MS, NS_PER_S
from ..downstream.request_parser import ParsedRequest
from ..streaming import Upload
from ..upstream.classify import Response
from ..upstream.exchange import UNREAD_RESPONSE_EXTENSION_S, Exchange
from .attempt import ATTEMPT_MARGIN_NS, AttemptsInFlight
from .http_encoding import header_lines, retry_after
from .pending_request import PendingRequest
from .protocols import DescriptorReservations, PoolHost, RequestHost, ResponseSink

log = logging.getLogger("dykefold")

# A request that still has no final answer gets one this long before its deadline.
FALLBACK_MARGIN_NS = 8 * NS_PER_MS
# Interval between observations of a body that is arriving.
ARRIVAL_CHECK_S = 0.1
MIN_ERROR_CODE = 400  # HTTP status codes from this one on do not count as served


class PendingRequests:
    """The pending requests of one pool.

    Args:
        host: What the requests use of their pool.
        process: What all pools of the process share.
        budget: Descriptors that the pool may reserve.
        attempts: Attempts of the pool that are in flight.
        withdraw: Callback that withdraws an attempt that is not fully written yet. Its arguments are the
            endpoint's number and the attempt.

    Attributes:
        by_id: Pending requests by their id.
        next_id: Id of the next request.
    """

    def __init__(
        self,
        host: RequestHost,
        process: PoolHost,
        budget: DescriptorReservations,
        attempts: AttemptsInFlight,
        withdraw: Callable[[int, Exchange], None],
    ) -> None:
        self.host = host
        self.post = host.post
        self.monotonic = process.system.monotonic
        self.clock = process.clock
        self.timer_wheel = process.timer_wheel
        self.on_request_end = process.on_request_end
        self.budget = budget
        self.attempts = attempts
        self.withdraw = withdraw
        self.by_id: dict[int, PendingRequest] = {}
        self.next_id = 1

    def accept(self, sink: ResponseSink, parsed: ParsedRequest) -> None:
        """Accept an admitted request; an accepted request always gets one final answer."""
        request = PendingRequest(self.next_id, parsed, sink, self, self.host.settings.max_attempts)
        parsed.request_id = request.id
        self.next_id += 1
        self.by_id[request.id] = request
        if parsed.upload is not None and not parsed.upload.ended:
            parsed.upload.on_complete = request.on_body_complete
            self.timer_wheel.start(request, ARRIVAL_CHECK_S, self.monotonic())
        else:
            if parsed.upload is not None:
                parsed.deadline_ns = parsed.upload.completed_ns + parsed.wait_ns
            self._start_fallback_timer(request)
        self.post(
            Request(
                request.id,
                parsed.class_number,
                parsed.tenant,
                parsed.deadline_ns,
                parsed.key,
                parsed.cost_ns,
                parsed.is_retry,
                parsed.method == b"POST",
            )
        )

    def _start_fallback_timer(self, request: PendingRequest) -> None:
        now_s = self.monotonic()
        remaining_ns = max(
            request.parsed.deadline_ns - FALLBACK_MARGIN_NS - self.clock.from_monotonic(now_s), 0
        )
        self.timer_wheel.start(request, remaining_ns / NS_PER_S, now_s)

    def start_deadline(self, request: PendingRequest) -> None:
        """Start the deadline of a request whose streamed body is complete: the time its client stated."""
        if not request.awaiting_answer or request.streaming_answer:
            return
        parsed = request.parsed
        assert parsed.upload is not None
        parsed.deadline_ns = parsed.upload.completed_ns + parsed.wait_ns
        self.timer_wheel.stop(request)
        self._start_fallback_timer(request)
        remaining_ns = parsed.deadline_ns - self.clock.now()
        for attempt in self.attempts.of(request):
            attempt.expires_ns = parsed.deadline_ns - ATTEMPT_MARGIN_NS
            attempt.restart_timer(max(remaining_ns - ATTEMPT_MARGIN_NS, NS_PER_MS) / NS_PER_S)
            if parsed.upload.started:
                attempt.body_sent()

    # Final answers

    def on_timer(self, request: PendingRequest) -> None:
        """Give the final answer, unless the client is still sending the body."""
        upload = request.parsed.upload
        if upload is None or upload.ended or not self._await_body(request, upload):
            self.answer_now(request)

    def _await_body(self, request: PendingRequest, upload: Upload) -> bool:
        """Restart the timer if the client is still sending, or has time left; return whether it is so."""
        if upload.observe is not None:
            upload.observe()
        now_s = self.monotonic()
        due_ns = upload.unfinished_ns + request.parsed.wait_ns - FALLBACK_MARGIN_NS
        remaining_s = (due_ns - self.clock.from_monotonic(now_s)) / NS_PER_S
        if remaining_s <= 0:
            return False
        self.timer_wheel.start(request, min(remaining_s, ARRIVAL_CHECK_S), now_s)
        return True

    def answer_now(self, request: PendingRequest) -> None:
        """Give the final answer now, unless an unread response of an endpoint waits in a socket.

        A response that flows becomes the final answer, of which the rest follows.
        """
        if not request.awaiting_answer:
            return
        attempts = list(self.attempts.of(request))
        if any(attempt.stream_response() for attempt in attempts):
            return
        unread_responses = [attempt.extend_for_unread_response() for attempt in attempts]
        if any(unread_responses):
            self.timer_wheel.stop(request)
            self.timer_wheel.start(request, UNREAD_RESPONSE_EXTENSION_S, self.monotonic())
            return
        for attempt in attempts:
            attempt.give_up(Status.TIMEOUT)
        if request.awaiting_answer:
            self._answer_deadline_exceeded(request)
            self.post(ClientDisconnected(request.id))

    def answer_all(self) -> None:
        """Give each pending request its final answer immediately; an answer that is streamed goes on."""
        for request in list(self.by_id.values()):
            if not request.streaming_answer:
                self.answer_now(request)

    def reject(self, action: Reject) -> None:
        """Answer a request that the balancer refuses: the request has had no effect."""
        request = self.by_id.get(action.id)
        if request is None:
            return
        headers = b""
        if action.retry_after_ns > 0:
            headers = retry_after(action.retry_after_ns)
        self._answer(request, 503, headers, b"refused\n")

    def fail(self, action: Fail) -> None:
        """Answer a request for which the balancer makes no more attempts."""
        request = self.by_id.get(action.id)
        if request is None:
            return
        if request.error_response is not None:
            self.forward(request, request.error_response)
        else:
            self._answer(request, 502, b"", b"failed\n")

    def forward(self, request: PendingRequest, response: Response) -> None:
        """Answer a request with the response of an endpoint."""
        self._answer(request, response.code, header_lines(response.headers), response.body)

    def end_streamed(self, request: PendingRequest, status: Status) -> None:
        """End a request whose body or answer was streamed, once its only attempt has ended."""
        upload = request.parsed.upload
        if request.streaming_answer:
            complete = status is Status.OK
            if not complete:
                request_id = request.parsed.x_request_id.decode("latin-1")
                log.warning("streamed answer ended early: request_id=%s status=%s", request_id, status.name)
            self._remove_pending(request, served=complete)
            request.sink.end_response(request.parsed, complete)
        elif upload is not None and upload.rejection is not None:
            self._answer(request, upload.rejection[0], b"", upload.rejection[1])
        elif status in (Status.FULL, Status.CONNECT_FAILED, Status.NOT_ATTEMPTED):
            self._answer(request, 503, b"", b"refused\n")
        elif request.error_response is not None:
            self.forward(request, request.error_response)
        elif status is Status.TIMEOUT:
            self._answer_deadline_exceeded(request)
        else:
            self._answer(request, 502, b"", b"failed\n")

    def _answer_deadline_exceeded(self, request: PendingRequest) -> None:
        if request.may_have_run:
            self._answer(request, 504, b"", b"failed: out of time\n")
        else:
            self._answer(request, 503, b"", b"refused: out of time\n")

    def _answer(self, request: PendingRequest, code: int, headers: bytes, body: bytes) -> None:
        """Give the one final answer."""
        self._remove_pending(request, served=code < MIN_ERROR_CODE)
        request.sink.respond(request.parsed, code, headers, body)

    def _remove_pending(self, request: PendingRequest, served: bool = False) -> None:
        """Remove a request from the pending ones; its final answer is written afterwards."""
        request.awaiting_answer = False
        self.release_descriptors(request)
        self.by_id.pop(request.id, None)
        self.timer_wheel.stop(request)
        self.on_request_end(request.sink, request.parsed, served)
        if self.host.retiring:
            self.host.close_soon_if_finished()

    # Descriptors

    def reserve_descriptor(self, request: PendingRequest) -> bool:
        """Reserve a descriptor for another attempt if it needs one; return False if none is left."""
        if request.reservations < request.attempts_in_flight:
            if not self.budget.reserve():
                return False
            request.reservations += 1
        return True

    def release_descriptors(self, request: PendingRequest) -> None:
        """Release the descriptors that no attempt will need; each attempt in flight needs one."""
        needed = request.attempts_in_flight or request.awaiting_answer
        while request.reservations > needed:
            request.reservations -= 1
            self.budget.release()

    # Disconnected clients

    def drop(self, parsed: ParsedRequest) -> bool:
        """End a request whose client has disconnected; the balancer may cancel its attempts.

        Returns:
            Whether the request was pending.
        """
        request = self.by_id.get(parsed.request_id)
        if request is None:
            return False
        streamed = parsed.upload is not None or request.streaming_answer
        self._remove_pending(request)
        # Attempts not fully written yet are withdrawn first, so that the balancer gets their actual status.
        for attempt in self.attempts.of(request):
            self.withdraw(attempt.endpoint_number, attempt)
        self.post(ClientDisconnected(request.id))
        if streamed:
            # The client no longer sends the body or reads the answer, so the attempt would not end otherwise.
            for attempt in self.attempts.of(request):
                attempt.give_up(Status.CANCELLED)
        return True
