"""An exchange: one request sent to one endpoint, with exactly one result.

An exchange is written at most once and ends once. It never retries: the balancer decides whether the request
may have run and whether to retry it, so the status of each ended exchange says exactly what is known.

States, and what is known of the request if the exchange ends in each of them:

========================  ================================================================  ===============
state                     attributes                                                        the request ...
========================  ================================================================  ===============
waiting for a connection  `connection` is None, `done` is set                               never ran
being written             `connection` is set, `connection.incomplete` is true              never ran
written                   `connection.incomplete` is false: its last byte was released      may have run
ended                     `done` is None
========================  ================================================================  ===============

The line between "never ran" and "may have run" is the last byte of the request. An endpoint cannot have run
a request whose last byte it never received, so that byte is withheld until all bytes before it have left this
process. The statuses `NOT_ATTEMPTED` and `CONNECT_FAILED` mean that the request never ran: with the former
the endpoint is not at fault, with the latter it did not accept the connection or the bytes. `RESET` and
`TIMEOUT` of a written exchange mean that it may have run. For a complete response, `classify` decides.
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

# Extension of the timeout while a response is waiting unread in the socket: a late event loop runs timers
# before it reads sockets.
UNREAD_RESPONSE_EXTENSION_S = 0.004

# Maximum time without a byte of a response that has begun; endpoints write a response once it is ready.
MAX_STALL_S = 0.5

Done = Callable[["Exchange", Status, Response | None], None]


class Exchange(Timed):
    """One request sent to one endpoint, with exactly one result.

    Args:
        payload: Bytes of the request, or of its head if `upload` provides the body.
        done: Callback at the end, called with the exchange, its status and the complete response or None.
        max_response_bytes: Maximum size of a buffered response body, in bytes.

    Attributes:
        done: The callback; None once the exchange has ended.
        max_streamed_bytes: Maximum size of a streamed response body, in bytes; 0 disables streaming.
        upload: Body that is streamed after the payload while the client sends it; None if there is none.
        profile: Rules by which the response is classified.
        connection: Connection that carries the exchange; None until the first byte is written.
        connect_task: Task that opens a connection for the exchange; None once it must not be cancelled.
        timer_wheel: Timer wheel of the timeout; None before the exchange is started.
        unread_response_extension_s: Extension of the timeout, in seconds, while a response is waiting
            unread in the socket.
        max_stall_s: Maximum time without a byte of a response that has begun, in seconds.
    """

    __slots__ = (
        "connect_task",
        "connection",
        "done",
        "max_response_bytes",
        "max_streamed_bytes",
        "payload",
        "profile",
        "timer_wheel",
        "upload",
    )
    unread_response_extension_s = UNREAD_RESPONSE_EXTENSION_S
    max_stall_s = MAX_STALL_S

    def __init__(self, payload: bytes, done: Done, max_response_bytes: int) -> None:
        self.tick = 0
        self.payload = payload
        self.done: Done | None = done
        self.max_response_bytes = max_response_bytes
        self.max_streamed_bytes = 0
        self.upload: Upload | None = None
        self.profile = HttpProfile.PLATFORM
        self.connection: ExchangeConnection | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.timer_wheel: TimerWheel | None = None

    @property
    def ended(self) -> bool:
        """Whether the end of the exchange has been reported."""
        return self.done is None

    def end(self, status: Status, response: Response | None = None) -> None:
        """Report the end of the exchange; a second call has no effect.

        Args:
            status: What is known of the request.
            response: The complete response; None if there is none.
        """
        # The callback refers to this exchange: clearing it breaks a reference cycle, which would otherwise be
        # left to the garbage collector.
        done, self.done = self.done, None
        if done is None:
            return
        if self.tick and self.timer_wheel is not None:
            self.timer_wheel.stop(self)
        if self.upload is not None:
            self.upload.detach()
        done(self, status, response)

    def expire(self) -> None:
        """Handle the timeout: give up, unless a response is waiting unread because the event loop is late."""
        if not self.extend_for_unread_response():
            self.give_up(Status.TIMEOUT)

    def extend_for_unread_response(self) -> bool:
        """Extend the timeout if a response is waiting unread in the socket.

        A late event loop runs timers before it reads sockets, so a request that was served would be reported
        as failed. The timeout is not extended any more after the first byte of the response has been read.

        Returns:
            Whether the timeout was extended; it then expires in `unread_response_extension_s` seconds.
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
        self.timer_wheel.start(self, self.unread_response_extension_s, connection.monotonic())
        return True

    def should_send(self) -> bool:
        """Return whether the exchange is still to be sent, now that a connection is available."""
        return True

    def compose(self) -> bytes:
        """Return the bytes to write, now that a connection is available."""
        return self.payload

    def on_upload_begin(self) -> None:
        """Handle the start of the upload: from here on the request can't be sent again."""

    def begin_response(
        self, code: int, headers: list[tuple[bytes, bytes]], length: int | None, load: bytes
    ) -> bool:
        """Handle the head of a response that is too long to be buffered.

        Args:
            code: Status code.
            headers: Names and values, without hop-by-hop headers.
            length: Length of the body in bytes; None if unknown.
            load: Load report of the endpoint.

        Returns:
            Whether the exchange accepts a streamed body.
        """
        return False

    def send_response_chunk(self, data: bytes) -> None:
        """Handle the next bytes of a streamed response body."""

    def cancel_connect(self) -> None:
        """Cancel the connect for this exchange, if one is running.

        A task that is cancelled before its first step never runs, and its socket would stay open. Such a task
        is not cancelled; it checks whether its connection is still needed before it connects.
        """
        task = self.connect_task
        if task is not None and inspect.getcoroutinestate(task.get_coro()) != inspect.CORO_CREATED:  # type: ignore[arg-type]
            task.cancel()

    def give_up(self, status: Status) -> None:
        """End the exchange early, after closing its connection so that no later attempt overlaps with it.

        Args:
            status: Status to report if the request may have run; otherwise `CONNECT_FAILED` is reported.
        """
        if self.ended:
            return
        self.cancel_connect()
        connection = self.connection
        if connection is None or connection.incomplete:
            status = Status.CONNECT_FAILED  # Its last byte was never written: it cannot have run.
        if connection is not None:
            connection.detach_exchange()
            connection.close(discard=True)
        self.end(status)
