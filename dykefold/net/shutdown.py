"""The graceful shutdown of a sidecar: its steps, and when each is due.

Every accepted request gets its response before the platform may kill the process, and clients have somebody
to send requests to for as long as that leaves room.
"""

from __future__ import annotations

import asyncio
import logging
import math
from typing import TYPE_CHECKING, NamedTuple

from .clock import SECOND

if TYPE_CHECKING:
    from .sidecar import SidecarServer

log = logging.getLogger("dykefold")

ACCEPT_AFTER_TERM_S = 0.5  # for which new connections are still accepted
QUIET_AFTER_TERM_S = 0.3  # without a request, after which no more is awaited
KILL_AFTER_DEADLINE_S = 0.7  # beyond the longest deadline, after which the platform may kill, and ...
MAX_DEADLINE_S = 3.0  # ... as which a longer deadline counts for that (PROTOCOL, figures)
ANSWER_BEFORE_KILL_S = 0.4  # before the kill, when every pending request is answered
LAST_ANSWERS_S = 1.0  # that are left for the responses to what was accepted last
MIN_LISTENER_CLOSE_S = 0.1  # for which a closing listener goes on accepting clients that wait already
FLUSH_S = 0.2  # for clients to read the last responses; the rest is for a loop that is late by 0.15 s
REJECT_INTERVAL_S = 0.05  # from then on, between looks at clients that have begun a message


class ShutdownTimes(NamedTuple):
    """When a graceful shutdown takes its steps, in seconds after its beginning.

    Attributes:
        stop_requests_s: no more requests are accepted.
        answer_s: every request that is still pending is answered.
        stop_s: the process ends.
    """

    stop_requests_s: float
    answer_s: float
    stop_s: float


def shutdown_times(longest_s: float) -> ShutdownTimes:
    """Compute when a graceful shutdown takes its steps.

    All are due before the platform may kill the process, since requests pending then would be lost.

    Args:
        longest_s: the longest deadline of a request class, in seconds.

    Returns:
        The times, in seconds after the beginning.
    """
    answer_s = min(longest_s, MAX_DEADLINE_S) + KILL_AFTER_DEADLINE_S - ANSWER_BEFORE_KILL_S
    stop_requests_s = max(answer_s - LAST_ANSWERS_S, ACCEPT_AFTER_TERM_S)
    return ShutdownTimes(stop_requests_s, answer_s, answer_s + FLUSH_S)


class GracefulShutdown:
    """Takes the steps of one server's shutdown; how far it is stands in the server's `draining` and so on.

    Attributes:
        answer_at: when every pending request is answered, in seconds of the monotonic clock; infinity
            before the shutdown begins.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, server: SidecarServer) -> None:
        self.loop = loop
        self.server = server
        self.answer_at = math.inf

    def begin(self) -> None:
        """Begin, once: answer what is pending and what still comes for a moment, then stop."""
        server = self.server
        if server.draining:
            return
        server.draining = True
        pending = sum(len(pool.pending) for pool in server.pools)
        log.info("sidecar began graceful shutdown: pending_requests=%d", pending)
        self.loop.call_later(ACCEPT_AFTER_TERM_S, self.stop_accepting)
        longest_ns = max(
            (spec.deadline_ns for pool in server.pools for spec in pool.settings.classes), default=0
        )
        times = shutdown_times(longest_ns / SECOND)
        self.answer_at = server.monotonic() + times.answer_s
        self.loop.call_later(times.stop_requests_s, self.stop_requests)
        self.loop.call_later(times.answer_s, self.answer_all)
        self.loop.call_later(times.stop_s, self._stop)

    def stop_accepting(self) -> None:
        """Accept no more connections, but still requests on those that clients have.

        The application has no other sidecar, and the next process comes at the platform's time, not when
        this one ends; so its requests are served for as long as the platform lets this process live.
        """
        self.close_listener()
        self.end_if_done()
        # With a newer process to go to, clients leave by themselves, each behind its next response.
        if not self.server.handing_over:
            self.loop.call_later(QUIET_AFTER_TERM_S, self._await_quiet, self._accepted_requests())

    def _await_quiet(self, before: int) -> None:
        if not self.server.accepting_requests:
            return
        accepted = self._accepted_requests()
        if accepted == before:
            self.stop_requests()
        else:
            self.loop.call_later(QUIET_AFTER_TERM_S, self._await_quiet, accepted)

    def _accepted_requests(self) -> int:
        """Return how many requests the pools have accepted so far."""
        return sum(pool.next_id for pool in self.server.pools)

    def stop_requests(self) -> None:
        """Accept no more requests, and close the connections that have none."""
        server = self.server
        if not server.accepting_requests:
            return
        server.accepting_requests = False
        self.close_listener()
        for connection in list(server.clients.all.values()):
            # One that has begun a request is answered; so is one whose request is there and was not read.
            if connection.idle and not connection.message_unfinished:
                connection.close_when_idle()
        self.end_if_done()

    def answer_all(self) -> None:
        """Answer every pending request now; from here on each new one is rejected."""
        self.server.all_answered = True
        for pool in self.server.pools:
            pool.answer_all_pending()
        self._reject_unfinished()

    def _reject_unfinished(self) -> None:
        """Reject messages that have come in part: their clients may wait for a response to what they sent."""
        for connection in list(self.server.clients.all.values()):
            if not connection.has_unread_input():  # what has come of it is read first
                connection.reject_unfinished("this sidecar ends")
        self.loop.call_later(REJECT_INTERVAL_S, self._reject_unfinished)

    def close_listener(self) -> None:
        """Close the listener once the clients that wait already have been accepted."""
        server = self.server
        if server.listener is not None and not server.listener.closing:
            left_s = min(self.answer_at, server.monotonic() + MAX_DEADLINE_S) - server.monotonic()
            server.listener.shut_down(max(left_s, MIN_LISTENER_CLOSE_S), self._on_listener_closed)

    def _on_listener_closed(self) -> None:
        self.server.listener = None
        if self.server.draining:
            self.end_if_done()

    def end_if_done(self) -> None:
        """Stop if nobody is connected any more: then every response has been flushed."""
        if self.server.listener is None and not self.server.clients.all:
            self._stop()

    def _stop(self) -> None:
        if not self.server.stopped.done():
            self.server.stopped.set_result(None)
