"""Pending requests: accepted, and answered exactly once.

Each request gets its one final answer from an attempt, from the balancer (refused or failed), or from the
last guard shortly before its deadline, whatever the balancer still plans.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...balancer.actions import Fail, Refuse
from ...balancer.events import ClientDisconnected, Request, Status
from ..clock import MS, SECOND
from ..downstream.request_parser import ParsedRequest
from ..timer_wheel import Timed
from ..upstream.classify import Response
from ..upstream.exchange import READ_WITHIN, Exchange
from .http_encoding import header_lines, retry_after
from .protocols import ResponseSink

if TYPE_CHECKING:
    from .pool import Pool

ATTEMPT_MARGIN_NS = 15 * MS  # before the client's deadline the last attempt is given up
GUARD_MARGIN_NS = 8 * MS  # before the deadline a request that still has no final answer gets one
FIRST_ERROR_CODE = 400  # HTTP status codes from here on do not count as served


class PendingRequest(Timed):
    """An accepted request. Its timer is the last guard on its final answer.

    Args:
        request_id: Unique in the pool.
        call: As the client sent it.
        sink: Takes the final answer.
        pool: Serves it.
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
        "pool",
        "reservations",
        "sink",
        "streaming_answer",
    )

    def __init__(self, request_id: int, call: ParsedRequest, sink: ResponseSink, pool: Pool) -> None:
        self.tick = 0
        self.id = request_id
        self.parsed = call
        self.sink = sink
        self.pool = pool
        self.attempt_count = 0
        self.max_attempts = pool.settings.max_attempts  # as when accepted, whatever settings say later
        self.attempts_in_flight = 0  # attempts in flight
        self.reservations = 1  # descriptors reserved for it
        self.may_have_run = False  # an attempt has ended without proof that the endpoint did not run it
        self.first_run_ns = 0  # when the first such attempt began
        self.awaiting_answer = True
        self.streaming_answer = False  # the final answer has begun to be passed on
        self.error_response: Response | None = None  # the endpoint's own error, where it may be passed on

    def expire(self) -> None:
        """Give the final answer now: the deadline is near."""
        self.pool.requests.answer_now(self)

    def on_body_complete(self) -> None:
        """Start the deadline: it counts from the last byte of the body (PROTOCOL, figures)."""
        self.pool.requests.start_deadline(self)

    def ended(self, attempt: Exchange, status: Status, answer: Response | None) -> None:
        """Pass on that one of its attempts has ended."""
        self.pool.end_attempt(self, attempt, status, answer)  # type: ignore[arg-type]


class PendingRequests:
    """The pending requests of one pool."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.by_id: dict[int, PendingRequest] = {}
        self.next_id = 1

    def accept(self, sink: ResponseSink, call: ParsedRequest) -> None:
        """Accept an admitted request: from here on it gets one final answer."""
        pool = self.pool
        request = PendingRequest(self.next_id, call, sink, pool)
        call.ticket = request.id
        self.next_id += 1
        self.by_id[request.id] = request
        if call.upload is not None and not call.upload.ended:
            call.upload.on_whole = request.on_body_complete
        else:
            if call.upload is not None:
                call.deadline_ns = call.upload.whole_ns + call.wait_ns
            self._start_guard(request)
        pool.post(
            Request(
                request.id,
                call.class_number,
                call.tenant,
                call.deadline_ns,
                call.key,
                call.cost_ns,
                call.is_retry,
                call.method == b"POST",
            )
        )

    def _start_guard(self, request: PendingRequest) -> None:
        pool = self.pool
        now_s = pool.monotonic()
        left_ns = max(request.parsed.deadline_ns - GUARD_MARGIN_NS - pool.host.clock.at(now_s), 0)
        pool.host.timer_wheel.start(request, left_ns / SECOND, now_s)

    def start_deadline(self, request: PendingRequest) -> None:
        """Give a request whose streamed body is complete the time that its client stated."""
        if not request.awaiting_answer or request.streaming_answer:
            return
        call = request.parsed
        assert call.upload is not None
        call.deadline_ns = call.upload.whole_ns + call.wait_ns
        self._start_guard(request)
        left_ns = call.deadline_ns - self.pool.now()
        for attempt in self.pool.attempt_runner.of(request):
            attempt.expires_ns = call.deadline_ns - ATTEMPT_MARGIN_NS
            attempt.restart_timer(max(left_ns - ATTEMPT_MARGIN_NS, MS) / SECOND)
            if call.upload.begun:
                attempt.body_sent()

    # Final answers

    def answer_now(self, request: PendingRequest) -> None:
        """Give the final answer now, unless an endpoint's answer only waits to be read."""
        if not request.awaiting_answer:
            return
        pool = self.pool
        attempts = list(pool.attempt_runner.of(request))
        answers_waiting = [attempt.read_first() for attempt in attempts]
        if any(answers_waiting):
            pool.host.timer_wheel.stop(request)
            pool.host.timer_wheel.start(request, READ_WITHIN, pool.monotonic())
            return
        for attempt in attempts:
            attempt.give_up(Status.TIMEOUT)
        if request.awaiting_answer:
            self._answer_out_of_time(request)
            pool.post(ClientDisconnected(request.id))

    def answer_all(self) -> None:
        """Give every pending request its final answer now."""
        for request in list(self.by_id.values()):
            self.answer_now(request)

    def refuse(self, action: Refuse) -> None:
        """Answer a request that the balancer refuses: it has had no effect."""
        request = self.by_id.get(action.id)
        if request is None:
            return
        headers = b""
        if action.retry_after_ns > 0:
            headers = retry_after(action.retry_after_ns)
        self._answer(request, 503, headers, b"refused\n")

    def fail(self, action: Fail) -> None:
        """Answer a request that the balancer gives up."""
        request = self.by_id.get(action.id)
        if request is None:
            return
        if request.error_response is not None:
            self.forward(request, request.error_response)
        else:
            self._answer(request, 502, b"", b"failed\n")

    def forward(self, request: PendingRequest, response: Response) -> None:
        """Answer with what an endpoint has answered."""
        self._answer(request, response.code, header_lines(response.headers), response.body)

    def end_streamed(self, request: PendingRequest, status: Status) -> None:
        """End a request whose body or answer was streamed: its one attempt has ended."""
        upload = request.parsed.upload
        if request.streaming_answer:
            complete = status is Status.OK
            self._settle(request, served=complete)
            request.sink.end_response(request.parsed, complete)
        elif upload is not None and upload.problem is not None:
            self._answer(request, upload.problem[0], b"", upload.problem[1])
        elif status in (Status.FULL, Status.CONNECT_FAILED, Status.NOT_ATTEMPTED):
            self._answer(request, 503, b"", b"refused\n")
        elif request.error_response is not None:
            self.forward(request, request.error_response)
        elif status is Status.TIMEOUT:
            self._answer_out_of_time(request)
        else:
            self._answer(request, 502, b"", b"failed\n")

    def _answer_out_of_time(self, request: PendingRequest) -> None:
        if request.may_have_run:
            self._answer(request, 504, b"", b"failed: out of time\n")
        else:
            self._answer(request, 503, b"", b"refused: out of time\n")

    def _answer(self, request: PendingRequest, code: int, headers: bytes, body: bytes) -> None:
        """Give the one final answer."""
        self._settle(request, served=code < FIRST_ERROR_CODE)
        request.sink.respond(request.parsed, code, headers, body)

    def _settle(self, request: PendingRequest, served: bool = False) -> None:
        """Take a request off the pending ones, before its final answer is written."""
        pool = self.pool
        request.awaiting_answer = False
        self.release_descriptors(request)
        self.by_id.pop(request.id, None)
        pool.host.timer_wheel.stop(request)
        pool.host.on_request_end(request.sink, request.parsed, served)
        if pool.on_retired is not None:
            pool.loop.call_soon(pool.close_if_finished)

    # Descriptors

    def reserve_descriptor(self, request: PendingRequest) -> bool:
        """Reserve a descriptor for one more attempt where it needs one; False if none is left."""
        if request.reservations < request.attempts_in_flight:
            if not self.pool.budget.reserve():
                return False
            request.reservations += 1
        return True

    def release_descriptors(self, request: PendingRequest) -> None:
        """Release what no attempt can need any more; an attempt in flight keeps its own."""
        needed = request.attempts_in_flight or request.awaiting_answer
        while request.reservations > needed:
            request.reservations -= 1
            self.pool.budget.release()

    # Disconnected clients

    def drop(self, call: ParsedRequest) -> bool:
        """End a request whose client has disconnected; the balancer may cancel its attempts.

        Returns:
            Whether the request was pending.
        """
        request = self.by_id.get(call.ticket)
        if request is None:
            return False
        pool = self.pool
        streamed = call.upload is not None or request.streaming_answer
        self._settle(request)
        # Attempts not written whole yet are withdrawn first, so that the balancer learns their true end.
        for attempt in pool.attempt_runner.of(request):
            pool.upstreams.abandon(attempt.endpoint_number, attempt)
        pool.post(ClientDisconnected(request.id))
        if streamed:
            # Nobody sends the body or reads the answer any more, so the attempt would never end by itself.
            for attempt in pool.attempt_runner.of(request):
                attempt.give_up(Status.CANCELLED)
        return True
