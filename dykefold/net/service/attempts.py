"""Starts, cancels and ends the attempts of pending requests.

The status of an ended attempt states what is known about whether the endpoint ran it. The balancer decides
whether to retry.
"""

from __future__ import annotations

from ...balancer.actions import Cancel, Send
from ...balancer.events import Outcome, Status
from ...balancer.settings import Effect
from ..clock import NS_PER_S
from ..streaming import Upload
from ..upstream.classify import HttpProfile, Response
from ..upstream.connection_pool import ConnectionPool
from .attempt import ATTEMPT_MARGIN_NS, Attempt, AttemptsInFlight, announced_stream_time_ns
from .pending_request import PendingRequest
from .pending_requests import PendingRequests
from .protocols import AttemptRunnerHost

# Replacement statuses for endpoints that act on partial bodies: they may have run the request nevertheless.
STATUS_IF_PARTIAL_BODY_SENT = {Status.CONNECT_FAILED: Status.RESET, Status.NOT_ATTEMPTED: Status.CANCELLED}


class AttemptRunner:
    """Starts, cancels and ends the attempts of one pool.

    Args:
        host: Interface of the pool that the attempts and their runner use.
        requests: Pending requests of the pool.
        attempts: Attempts of the pool that are in flight.
        connection_pool: Connections to the endpoints.
    """

    def __init__(
        self,
        host: AttemptRunnerHost,
        requests: PendingRequests,
        attempts: AttemptsInFlight,
        connection_pool: ConnectionPool,
    ) -> None:
        self.host = host
        self.now = host.now
        self.requests = requests
        self.pending = requests.by_id
        self.attempts = attempts
        self.in_flight = attempts.by_number
        self.connection_pool = connection_pool

    def start(self, action: Send) -> None:
        """Start the next attempt of a request, if there is time, a client and a descriptor left."""
        request = self.pending.get(action.id)
        if request is None:
            return  # no longer pending: the balancer was notified, or will be by a queued event
        now_ns = self.now()
        attempt = Attempt(request, self.host, action.endpoint_number, now_ns, self.end)
        request.attempt_count += 1
        self.in_flight[request.id, attempt.number] = attempt
        request.attempts_in_flight += 1
        parsed = request.parsed
        upload = parsed.upload
        body_arriving = upload is not None and not upload.ended  # its deadline starts on completion
        remaining_ns = (
            attempt.stall_timeout_ns() if body_arriving else parsed.deadline_ns - ATTEMPT_MARGIN_NS - now_ns
        )
        # The balancer's timeout does not include the time in which a body arrives.
        has_timeout = action.timeout_ns > 0 and upload is None
        timeout_ns = min(action.timeout_ns, remaining_ns) if has_timeout else remaining_ns
        if request.may_have_run or request.attempts_in_flight > 1:
            attempt.limit_write(self._idempotency_window_end(request, attempt))
        if (
            request.attempt_count > request.max_attempts
            or timeout_ns <= 0
            or not attempt.should_send()
            or not self.requests.reserve_descriptor(request)
        ):
            attempt.end(Status.NOT_ATTEMPTED)
            return
        attempt.expires_ns = 0 if body_arriving else now_ns + timeout_ns
        # The deadline of a streamed body counts from its last byte, which reaches the endpoint later.
        attempt.announce(announced_stream_time_ns(parsed, now_ns) if body_arriving else timeout_ns)
        if request.attempts_in_flight > 1:
            self._limit_waiting_attempts(request, attempt)
        self.connection_pool.start(action.endpoint_number, attempt, timeout_ns / NS_PER_S)

    def _limit_waiting_attempts(self, request: PendingRequest, started: Attempt) -> None:
        """Limit earlier attempts, which may be waiting for a connection, to the window of a started one.

        The later attempt may run first, so the window in which endpoints remember the key may begin with it.
        """
        window_end_ns = self._window_end(request, started.sent_ns)
        for other in self.attempts.of(request):
            if other is not started:
                other.limit_write(window_end_ns)

    def _idempotency_window_end(self, request: PendingRequest, attempt: Attempt) -> int:
        """Return the time from which endpoints may have forgotten the idempotency key; 0 without a key.

        The window starts with the first attempt that may have run. A retry that is decided on within the
        window could be written after its end if connecting takes long.
        """
        sent_times_ns = [other.sent_ns for other in self.attempts.of(request) if other is not attempt]
        window_start_ns = min(sent_times_ns, default=request.first_run_ns)
        if request.first_run_ns:
            window_start_ns = min(window_start_ns, request.first_run_ns)
        return self._window_end(request, window_start_ns)

    def _window_end(self, request: PendingRequest, start_ns: int) -> int:
        """Return the end of the idempotency window that begins at a time; 0 for a class without keys."""
        settings = self.host.settings
        request_class = settings.classes[request.parsed.class_number]
        if request_class.effect is not Effect.KEYED:
            return 0
        return start_ns + request_class.window_ns - settings.tick_ns

    def cancel(self, action: Cancel) -> None:
        """Cancel an attempt, unless it streams the body of the request, or an answer has begun."""
        attempt = self.in_flight.get((action.id, action.attempt))
        if attempt is None:
            return
        request, upload = attempt.request, attempt.upload
        uploads = upload is not None and upload.started
        streamed = request.streaming_answer or uploads or attempt.response_flows
        # A streamed attempt of a pending request can't be retried: it runs to its end or to its time limit.
        if not (streamed and request.awaiting_answer):
            attempt.give_up(Status.CANCELLED)

    def end(self, attempt: Attempt, status: Status, response: Response | None) -> None:
        """Handle the end of an attempt: forward a response to the client, and notify the balancer.

        Args:
            attempt: Attempt that has ended; its request may no longer be pending.
            status: Status of the attempt, before a partly sent body is taken into account.
            response: Complete response of the endpoint; None without one.
        """
        request, host = attempt.request, self.host
        self.in_flight.pop((request.id, attempt.number), None)
        request.attempts_in_flight -= 1
        self.requests.release_descriptors(request)
        upload = request.parsed.upload
        if upload is not None and upload.started:
            status = _status_of_streamed_attempt(request, upload, status)
        if status is Status.NOT_ATTEMPTED:
            request.max_attempts += 1  # it does not count as an attempt
        if status not in (Status.FULL, Status.CONNECT_FAILED, Status.NOT_ATTEMPTED):
            request.may_have_run = True
            request.first_run_ns = min(request.first_run_ns or attempt.sent_ns, attempt.sent_ns)
        report = self._handle_response(request, status, response) if response is not None else ()
        if request.awaiting_answer and (request.streaming_answer or (upload is not None and upload.started)):
            self.requests.end_streamed(request, status)
        # The client sets the pace of a streamed body, so the endpoint's time starts at the end of the body.
        duration_ns = self.now() - max(attempt.sent_ns, upload.completed_ns if upload is not None else 0)
        if host.on_attempt_end is not None:
            objective_ns = host.settings.classes[request.parsed.class_number].objective_ns
            host.on_attempt_end(attempt.endpoint_number, status, duration_ns, objective_ns)
        request_over = not request.awaiting_answer
        host.post(
            Outcome(
                request.id, attempt.number, attempt.endpoint_number, status, duration_ns, request_over, report
            )
        )
        if host.retiring:
            host.close_soon_if_finished()

    def _handle_response(
        self, request: PendingRequest, status: Status, response: Response
    ) -> tuple[float, ...]:
        """Answer the request with a successful response, or keep an error; return the load report."""
        reports = self.host.reports
        report: tuple[float, ...] = ()
        if response.load and reports.columns:
            report = reports.parse(response.load)
        if status is Status.OK and request.awaiting_answer and not request.streaming_answer:
            self.requests.forward(request, response)
        elif status is Status.ERROR and request.parsed.profile is not HttpProfile.PLATFORM:
            request.error_response = response
        return report


def _status_of_streamed_attempt(request: PendingRequest, upload: Upload, status: Status) -> Status:
    """Return the status of an attempt of which part of the body was sent.

    The platform's endpoints start to process a request when its last byte has arrived (PROTOCOL, sidecars to
    servers); others may act on a partial body.
    """
    if request.parsed.profile is not HttpProfile.PLATFORM:
        return STATUS_IF_PARTIAL_BODY_SENT.get(status, status)
    if not upload.sent and status in (Status.RESET, Status.TIMEOUT, Status.CANCELLED):
        return Status.CONNECT_FAILED
    return status
