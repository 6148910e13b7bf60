"""An exchange: one request on its way to one endpoint, until its one end.

An exchange is written once and ends once. It is never written a second time by itself: what may have run,
and whether to retry, is for the balancer to judge, so the end of each exchange says exactly what is known.

States, and what an end in each of them proves:

========================  ================================================================  ===============
state                     in the attributes                                                 the request ...
========================  ================================================================  ===============
waiting for a connection  `connection` is None, `done` is set                               never ran
being written             `connection` is set, `connection.incomplete` is true              never ran
written                   `connection.incomplete` is false: its last byte was let go of     may have run
ended                     `done` is None
========================  ================================================================  ===============

The line between "never ran" and "may have run" is the last byte of the request. An endpoint cannot have run
a request whose last byte it never got, so that byte is kept back until all before it has left this process.
The statuses `NOT_ATTEMPTED` and `CONNECT_FAILED` mean that the request never ran: with the first one the
endpoint has no part in it, with the second one it did not take the connection or the bytes. `RESET` and
`TIMEOUT` of a written exchange mean that it may have run. With a whole response, `classify` decides.
"""

from __future__ import annotations

import inspect
from collections.abc import Callable
from typing import TYPE_CHECKING

from ...balancer.events import Status
from ..timer_wheel import Timed
from .classify import HttpProfile, Response

if TYPE_CHECKING:
    import asyncio

    from ..streaming import Upload
    from ..timer_wheel import TimerWheel
    from .connection import UpstreamConnection

READ_WITHIN = 0.004  # seconds more for a response that is there and was not read: sockets come after timers

Done = Callable[["Exchange", Status, Response | None], None]


class Exchange(Timed):
    """One request on its way to one endpoint, until its one end.

    Attributes:
        payload: the request as it is written, or its head if `upload` brings the body.
        done: called at the end with the exchange, its status and the response, if there is a whole one;
            None once the exchange has ended.
        max_response_bytes: bytes of a response's body that is kept until it is whole.
        max_streamed_bytes: bytes of a response's body that may be passed on as it comes; 0: none may.
        upload: the body that follows the payload as its client sends it.
        profile: how the response is understood.
        connection: the connection that carries it, once its first byte has gone out.
        opening: the task that makes a connection for it, as long as that may be cancelled.
        timer_wheel: where its time limit runs.
        read_within: seconds for which a response that waits in its socket at the time limit is awaited.
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
    read_within = READ_WITHIN

    def __init__(self, payload: bytes, done: Done, max_response_bytes: int) -> None:
        """Prepare a request; `ConnectionPool.start` sends it."""
        self.tick = 0
        self.payload = payload
        self.done: Done | None = done
        self.max_response_bytes = max_response_bytes
        self.max_streamed_bytes = 0
        self.upload: Upload | None = None
        self.profile = HttpProfile.PLATFORM
        self.connection: UpstreamConnection | None = None
        self.opening: asyncio.Task[None] | None = None
        self.timer_wheel: TimerWheel | None = None

    @property
    def ended(self) -> bool:
        """Whether its end was reported."""
        return self.done is None

    def end(self, status: Status, answer: Response | None = None) -> None:
        """Report the end; a second call does nothing.

        Args:
            status: what is known of the request.
            answer: the whole response, if there is one.
        """
        # Whoever waits refers to this exchange: without the callback no cycle is left to the collector.
        done, self.done = self.done, None
        if done is None:
            return
        if self.tick and self.timer_wheel is not None:
            self.timer_wheel.stop(self)
        if self.upload is not None:
            self.upload.detach()
        done(self, status, answer)

    def expire(self) -> None:
        """Give up at the time limit, unless the response is there and only this loop is late."""
        if not self.read_first():
            self.give_up(Status.TIMEOUT)

    def read_first(self) -> bool:
        """Give a response that waits in its socket the time to be read.

        In a late loop timers fire before sockets are read, and a request that was served would be reported
        as failed. This is done once, as what has been read of a response rules it out.

        Returns:
            Whether there is such a response; its time limit then runs anew, for `read_within` seconds.
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
        self.timer_wheel.start(self, self.read_within, connection.monotonic())
        return True

    def wanted(self) -> bool:
        """Return whether it may still be written, now that a connection is there."""
        return True

    def compose(self) -> bytes:
        """Return what is written, now that a connection is there."""
        return self.payload

    def upload_begins(self) -> None:
        """Learn that its body has begun to flow: it can't be sent a second time."""

    def begin_response(
        self, code: int, headers: list[tuple[bytes, bytes]], length: int | None, load: bytes
    ) -> bool:
        """Learn that a response begins that is too long to be kept until it is whole.

        Args:
            code: the status code.
            headers: names and values, without the hop-by-hop ones.
            length: bytes of its body; None if it is not known.
            load: the load report of the endpoint.

        Returns:
            Whether its pieces are wanted as they come.
        """
        return False

    def send_response_piece(self, data: bytes) -> None:
        """Take the next bytes of such a response."""

    def cancel_connect(self) -> None:
        """Stop the connect for it, if there is one.

        A task that is cancelled before its first step never runs, and nobody would close its socket: such
        a connect finds by itself that it is not wanted.
        """
        task = self.opening
        if task is not None and inspect.getcoroutinestate(task.get_coro()) != inspect.CORO_CREATED:  # type: ignore[arg-type]
            task.cancel()

    def give_up(self, status: Status) -> None:
        """Stop waiting, with a connection closed first, so that no later attempt overlaps with this one.

        Args:
            status: reported if the request may have run; else `CONNECT_FAILED` is.
        """
        if self.ended:
            return
        self.cancel_connect()
        connection = self.connection
        if connection is None or connection.incomplete:
            status = Status.CONNECT_FAILED  # its last byte was never written: it cannot have run
        if connection is not None:
            connection.exchange = None
            connection.close(discard=True)
        self.end(status)
