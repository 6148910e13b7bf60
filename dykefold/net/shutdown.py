"""Graceful shutdown of a sidecar: its steps and their times.

Every accepted request gets its response before the platform may kill the process. Requests are accepted for
as long as there is time to answer them before that.
"""

from __future__ import annotations

import asyncio
import logging
import math
from typing import Any, NamedTuple, Protocol

from ..admission.clients import ClientConnections
from ..admission.listener import Listener
from .clock import NS_PER_S
from .service.pool import Pool

log = logging.getLogger("dykefold")

# New connections are accepted for this time after the shutdown begins.
ACCEPT_AFTER_TERM_S = 0.5
# After that, requests on the remaining connections are accepted until none has arrived for this time.
QUIET_AFTER_TERM_S = 0.3
# The platform may kill the process this time after the longest deadline has passed (PROTOCOL, figures).
KILL_AFTER_DEADLINE_S = 0.7
MAX_DEADLINE_S = 3.0  # Longer deadlines are capped to this one.
# Every request that is still pending is answered this time before the platform may kill the process.
ANSWER_BEFORE_KILL_S = 0.4
# Requests are accepted until this time before every pending request is answered.
LAST_ANSWERS_S = 1.0
# Minimum time for which a closing listener accepts the clients in its backlog.
MIN_LISTENER_CLOSE_S = 0.1
# Clients have this time to read the last responses. The remaining time until the kill allows for a late loop.
FLUSH_S = 0.2
# Answers that are being streamed at the end have this time more.
LAST_STREAMS_S = 0.15
# Interval between checks for clients with an incomplete message, once every request is answered.
REJECT_INTERVAL_S = 0.05


class ShutdownTimes(NamedTuple):
    """Times of the steps of a graceful shutdown, in seconds after it begins.

    Attributes:
        stop_requests_s: Time from which no more requests are accepted.
        answer_s: Time at which every request that is still pending is answered.
        stop_s: Time at which the process ends.
    """

    stop_requests_s: float
    answer_s: float
    stop_s: float


def shutdown_times(longest_s: float) -> ShutdownTimes:
    """Compute the times of the steps of a graceful shutdown.

    All steps are due before the platform may kill the process, since requests pending at the kill are lost.

    Args:
        longest_s: Longest deadline of a request class in the configuration, in seconds.

    Returns:
        Times of the steps, in seconds after the shutdown begins.
    """
    answer_s = min(longest_s, MAX_DEADLINE_S) + KILL_AFTER_DEADLINE_S - ANSWER_BEFORE_KILL_S
    stop_requests_s = max(answer_s - LAST_ANSWERS_S, ACCEPT_AFTER_TERM_S)
    return ShutdownTimes(stop_requests_s, answer_s, answer_s + FLUSH_S)


class DrainedServer(Protocol):
    """Interface of the server that the graceful shutdown uses.

    Attributes:
        draining: Whether the graceful shutdown has begun.
        handing_over: Whether a newer process takes over the clients.
        accepting_requests: Whether requests are still accepted.
        all_answered: Whether every pending request has been answered, and each new one is rejected.
        listener: Listening socket; None without one.
        clients: Connections of clients.
        pools: Pools that are active or retiring.
        stopped: Future that completes when the process may exit.
    """

    draining: bool
    handing_over: bool
    accepting_requests: bool
    all_answered: bool
    listener: Listener | None
    clients: ClientConnections
    pools: dict[Pool, None]
    stopped: asyncio.Future[Any]

    def monotonic(self) -> float:
        """Return the time of the monotonic clock, in seconds."""
        ...


class GracefulShutdown:
    """Runs the steps of one server's shutdown, and records its progress in the server's attributes.

    Args:
        loop: Event loop on which the steps are scheduled.
        server: Server that shuts down.

    Attributes:
        answer_at_s: Time at which every pending request is answered, seconds of the monotonic clock; infinity
            before the shutdown begins.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, server: DrainedServer) -> None:
        self.loop = loop
        self.server = server
        self.answer_at_s = math.inf

    def begin(self) -> None:
        """Begin the graceful shutdown; a second call has no effect."""
        server = self.server
        if server.draining:
            return
        server.draining = True
        pending = sum(len(pool.pending) for pool in server.pools)
        log.info("sidecar began graceful shutdown: pending_requests=%d", pending)
        self.loop.call_later(ACCEPT_AFTER_TERM_S, self.stop_accepting)
        times = shutdown_times(self._longest_deadline_ns() / NS_PER_S)
        self.answer_at_s = server.monotonic() + times.answer_s
        self.loop.call_later(times.stop_requests_s, self.stop_requests)
        self.loop.call_later(times.answer_s, self.answer_all)
        self.loop.call_later(times.stop_s, self._stop_unless_streaming)

    def _longest_deadline_ns(self) -> int:
        """Return the longest deadline in the configuration, by which the platform times the kill.

        Retired classes and retiring pools are no longer in it, although requests may still belong to them.
        """
        return max((pool.longest_deadline_ns() for pool in self.server.pools if not pool.retiring), default=0)

    def stop_accepting(self) -> None:
        """Stop accepting connections; requests on existing connections are still accepted.

        The client has no other sidecar, and the platform decides when the next process starts. So requests
        are served for as long as the platform lets this process live.
        """
        self.close_listener()
        self.stop_if_done()
        # Clients that a newer process takes over disconnect by themselves, each after its next response.
        if not self.server.handing_over:
            self.loop.call_later(QUIET_AFTER_TERM_S, self._stop_requests_if_quiet, self._accepted_requests())

    def _stop_requests_if_quiet(self, previous_count: int) -> None:
        if not self.server.accepting_requests:
            return
        accepted = self._accepted_requests()
        if accepted == previous_count:
            self.stop_requests()
        else:
            self.loop.call_later(QUIET_AFTER_TERM_S, self._stop_requests_if_quiet, accepted)

    def _accepted_requests(self) -> int:
        """Return a count that grows with each request that a pool accepts."""
        return sum(pool.next_id for pool in self.server.pools)

    def stop_requests(self) -> None:
        """Stop accepting requests, and close the connections without a pending one."""
        server = self.server
        if not server.accepting_requests:
            return
        server.accepting_requests = False
        self.close_listener()
        for connection in list(server.clients.open_connections.values()):
            # A client that has begun to send a request is answered, even if nothing of it was read yet.
            if connection.idle and not connection.message_unfinished:
                connection.close_when_idle()
        self.stop_if_done()

    def answer_all(self) -> None:
        """Answer every pending request now, and reject later ones."""
        self.server.all_answered = True
        for pool in self.server.pools:
            pool.answer_all_pending()
        self._reject_unfinished()

    def _reject_unfinished(self) -> None:
        """Reject incomplete messages, since their clients may wait for a response."""
        for connection in list(self.server.clients.open_connections.values()):
            if not connection.has_unread_input():  # Unread input may complete the message.
                connection.reject_unfinished("this sidecar ends")
        self.loop.call_later(REJECT_INTERVAL_S, self._reject_unfinished)

    def close_listener(self) -> None:
        """Close the listener after the clients in its backlog have been accepted."""
        server = self.server
        if server.listener is not None and not server.listener.closing:
            remaining_s = min(self.answer_at_s, server.monotonic() + MAX_DEADLINE_S) - server.monotonic()
            server.listener.shut_down(max(remaining_s, MIN_LISTENER_CLOSE_S), self._on_listener_closed)

    def _on_listener_closed(self) -> None:
        self.server.listener = None
        if self.server.draining:
            self.stop_if_done()

    def stop_if_done(self) -> None:
        """Stop if no client is connected: every response has been flushed then."""
        if self.server.listener is None and not self.server.clients.open_connections:
            self._stop()

    def _stop_unless_streaming(self) -> None:
        """Stop, or a moment before the platform may kill the process while answers are being streamed."""
        if any(request.streaming_answer for pool in self.server.pools for request in pool.pending.values()):
            self.loop.call_later(LAST_STREAMS_S, self._stop)
        else:
            self._stop()

    def _stop(self) -> None:
        if not self.server.stopped.done():
            self.server.stopped.set_result(None)
