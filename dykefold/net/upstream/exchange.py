"""An exchange: one request on its way to one endpoint, until its one end.

An exchange is written once and ends once. The exchange never retries: the balancer judges what may have
run and whether to retry, so the end of each exchange says exactly what is known.

States, and what an end in each of them proves:

========================  ================================================================  ===============
state                     in the attributes                                                 the request ...
========================  ================================================================  ===============
waiting for a connection  `connection` is None, `done` is set                               never ran
being written             `connection` is set, `connection.incomplete` is true              never ran
written                   `connection.incomplete` is false: its last byte was released      may have run
ended                     `done` is None
========================  ================================================================  ===============

The line between "never ran" and "may have run" is the last byte of the request. An endpoint cannot have run
a request whose last byte it never got, so that byte is withheld until all bytes before it have left this
process. The statuses `NOT_ATTEMPTED` and `CONNECT_FAILED` mean that the request never ran: with the first one
the endpoint has no part in it, with the second one it did not accept the connection or the bytes. `RESET` and
`TIMEOUT` of a written exchange mean that it may have run. With a whole response, `classify` decides.
"""

from __future__ import annotations

import asyncio
import inspect
from collections.abc import Callable

from ...balancer.events import Status
from ..streaming import Upload
from ..timer_wheel import Timed, TimerWheel
from .classify import HttpProfile, Response
from .protocols import ExchangeConnection

# Seconds more for a response that waits unread at the time limit: a late loop runs timers before sockets.
READ_GRACE_S = 0.004

Done = Callable[["Exchange", Status, Response | None], None]


class Exchange(Timed):
    """One request on its way to one endpoint, until its one end.

    Args:
        payload: Bytes of the request, or of its head if `upload` brings the body.
        done: Callback at the end, with the exchange, its status and the response, if there is a whole one.
        max_response_bytes: Maximum of a buffered response body, in bytes.

    Attributes:
        done: The callback; None once the exchange has ended.
        max_streamed_bytes: Maximum of a response body that is streamed, in bytes; with 0 none is.
        upload: Body that follows the payload as its client sends it.
        profile: Rules by which the response is classified.
        connection: Connection that carries the exchange, once the first byte has been written.
        opening: Task that makes a connection for the exchange, as long as the task may be cancelled.
        timer_wheel: Wheel on which the time limit runs.
        read_grace_s: Seconds for which a response that waits in its socket at the time limit is awaited.
    """

    __slots__ = (
        "connection",
        "done",
        "max_response_bytes",
        "max_streamed_bytes",
        "opening",
        "payload",
        "profile",
        "timer_wheel",
        "upload",
    )
    read_grace_s = READ_GRACE_S

    def __init__(self, payload: bytes, done: Done, max_response_bytes: int) -> None:
        self.tick = 0
        self.payload = payload
        self.done: Done | None = done
        self.max_response_bytes = max_response_bytes
        self.max_streamed_bytes = 0
        self.upload: Upload | None = None
        self.profile = HttpProfile.PLATFORM
        self.connection: ExchangeConnection | None = None
        self.opening: asyncio.Task[None] | None = None
        self.timer_wheel: TimerWheel | None = None

    @property
    def ended(self) -> bool:
        """Whether the end of the exchange was reported."""
        return self.done is None

    def end(self, status: Status, response: Response | None = None) -> None:
        """Report the end; a second call does nothing.

        Args:
            status: What is known of the request.
            response: The whole response, if there is one.
        """
        # The callback refers to this exchange: without it no cycle is left to the garbage collector.
        done, self.done = self.done, None
        if done is None:
            return
        if self.tick and self.timer_wheel is not None:
            self.timer_wheel.stop(self)
        if self.upload is not None:
            self.upload.detach()
        done(self, status, response)

    def expire(self) -> None:
        """Give up at the time limit, unless the response is there and only this loop is late."""
        if not self.read_first():
            self.give_up(Status.TIMEOUT)

    def read_first(self) -> bool:
        """Give a response that waits in its socket the time to be read.

        In a late loop timers fire before sockets are read, and a request that was served would be reported
        as failed. The time is extended once: after the first byte of a response has been read it is not.

        Returns:
            Whether there is such a response; its time limit then starts again, with `read_grace_s` seconds.
        """
        connection = self.connection
        if (
            connection is None
            or connection.size
            or self.timer_wheel is None
            or not connection.readiness.poll(0)
        ):
            return False
        self.timer_wheel.stop(self)
        self.timer_wheel.start(self, self.read_grace_s, connection.monotonic())
        return True

    def wanted(self) -> bool:
        """Return whether the exchange may still be written, now that a connection is there."""
        return True

    def compose(self) -> bytes:
        """Return the bytes to write, now that a connection is there."""
        return self.payload

    def upload_begins(self) -> None:
        """Handle the begin of the upload: the request can't be sent a second time."""

    def begin_response(
        self, code: int, headers: list[tuple[bytes, bytes]], length: int | None, load: bytes
    ) -> bool:
        """Handle the head of a response that is too long to be buffered whole.

        Args:
            code: Status code.
            headers: Names and values, without the hop-by-hop ones.
            length: Bytes of the body; None if the length is not known.
            load: Load report of the endpoint.

        Returns:
            Whether the exchange accepts the body piece by piece.
        """
        return False

    def send_response_piece(self, data: bytes) -> None:
        """Handle the next bytes of a streamed response body."""

    def cancel_connect(self) -> None:
        """Stop the connect for this exchange, if there is one.

        A task that is cancelled before its first step never runs, and nobody would close its socket. Such
        a task is not cancelled: its connect checks by itself whether it is still needed.
        """
        task = self.opening
        if task is not None and inspect.getcoroutinestate(task.get_coro()) != inspect.CORO_CREATED:  # type: ignore[arg-type]
            task.cancel()

    def give_up(self, status: Status) -> None:
        """Stop waiting, with a connection closed first, so that no later attempt overlaps with this one.

        Args:
            status: Status to report if the request may have run; else `CONNECT_FAILED` is reported.
        """
        if self.ended:
            return
        self.cancel_connect()
        connection = self.connection
        if connection is None or connection.incomplete:
            status = Status.CONNECT_FAILED  # its last byte was never written: it cannot have run
        if connection is not None:
            connection.detach_exchange()
            connection.close(discard=True)
        self.end(status)
