"""Interfaces between a pool and its environment, and between a pool and its parts.

The environment is the client connection, the process and its descriptors. A part declares exactly what it
uses, so that it can be created without a pool.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from ...admission.budget import DescriptorAllowance, DescriptorBudget
from ...admission.client import Client
from ...balancer.events import Event, Status
from ...balancer.settings import Settings
from ...system import System
from ..clock import Clock
from ..discovery.client import DiscoveryClient
from ..downstream.protocols import FlowControlled
from ..downstream.request_parser import ParsedRequest
from ..loop_lag import LoopLagMonitor
from ..memory_budget import MemoryBudget
from ..peers import PeerChannel
from ..read_scheduler import ReadScheduler
from ..timer_wheel import TimerWheel
from ..upstream.connection_pool import ConnectionPool
from .load_reports import LoadReportParser


class ResponseSink(Protocol):
    """Receives the one final answer to each request of a client.

    Attributes:
        client: Client whose requests are answered.
    """

    client: Client

    def client_has_closed(self) -> bool:
        """Return whether the client has closed its connection, even if the event loop does not know yet."""
        ...

    def respond(self, request: ParsedRequest, code: int, headers: bytes, body: bytes) -> None:
        """Send the complete final answer; a second answer to the same request has no effect."""
        ...

    def begin_response(
        self, request: ParsedRequest, code: int, headers: bytes, length: int | None, source: FlowControlled
    ) -> bool:
        """Begin a streamed final answer.

        Args:
            request: Request that is answered.
            code: HTTP status code.
            headers: Encoded header lines, each terminated by CRLF.
            length: Length of the body in bytes; None if unknown.
            source: Source of the answer; it is paused while the client accepts no more bytes.

        Returns:
            Whether this client accepts a streamed answer; if not, nothing was written.
        """
        ...

    def send_response_chunk(self, request: ParsedRequest, data: bytes) -> None:
        """Send the next bytes of the body of a streamed answer."""
        ...

    def end_response(self, request: ParsedRequest, complete: bool) -> None:
        """End a streamed answer; the client can tell from its end if it is incomplete."""
        ...


class PoolHost(Protocol):
    """What all pools of one process share.

    Attributes:
        loop: Event loop of the process.
        system: Clocks and sockets of the machine.
        clock: Clock in nanoseconds.
        budget: Descriptors of the process.
        memory: Memory budget for messages.
        read_scheduler: Queue of the connections whose input waits to be parsed.
        timer_wheel: Timers of requests and attempts.
        lag_monitor: Monitor of the event loop's delay.
        peers: Datagram channel to other sidecars; None without one.
    """

    loop: asyncio.AbstractEventLoop
    system: System
    clock: Clock
    budget: DescriptorBudget
    memory: MemoryBudget
    read_scheduler: ReadScheduler
    timer_wheel: TimerWheel
    lag_monitor: LoopLagMonitor
    peers: PeerChannel | None

    def log_exception(self, text: str) -> None:
        """Log the exception that is being handled, with a rate limit."""
        ...

    def on_request_end(self, sink: ResponseSink, request: ParsedRequest, served: bool) -> None:
        """Handle the end of a pending request; its final answer, if any, is written after this call."""
        ...


class DescriptorReservations(Protocol):
    """The file descriptors that a pool may reserve for its connections.

    Attributes:
        upstreams: Allowance for connections to endpoints.
    """

    upstreams: DescriptorAllowance

    def reserve(self) -> bool:
        """Reserve one descriptor; return False if none is left."""
        ...

    def release(self) -> None:
        """Release one reserved descriptor."""
        ...


class AttemptHost(Protocol):
    """Interface of a pool that an attempt uses.

    Attributes:
        timer_wheel: Timers of requests and attempts.
        reports: Parser of load reports, for the columns of the current settings.
    """

    timer_wheel: TimerWheel
    reports: LoadReportParser

    def now(self) -> int:
        """Return the time on the clock, in nanoseconds."""
        ...

    def monotonic(self) -> float:
        """Return the time of the monotonic clock, in seconds."""
        ...

    def encode_request(self, request: ParsedRequest, remaining_ns: int, /) -> bytes:
        """Encode a request for an endpoint, with the remaining time in nanoseconds."""
        ...

    def post(self, event: Event) -> None:
        """Pass an event to the balancer, and carry out the actions."""
        ...


class AttemptRunnerHost(AttemptHost, Protocol):
    """Interface of a pool that starting and ending attempts uses.

    Attributes:
        settings: Current settings of the balancer.
        on_attempt_end: Callback for the end of each attempt. Its arguments are the endpoint's number, the
            status, the duration and the latency objective in nanoseconds.
        retiring: Whether the pool closes as soon as nothing is pending or in flight.
    """

    settings: Settings
    on_attempt_end: Callable[[int, Status, int, int], None] | None
    retiring: bool

    def close_soon_if_finished(self) -> None:
        """Close the pool in the next loop iteration if nothing is pending or in flight by then."""
        ...


class RequestHost(Protocol):
    """Interface of a pool that its pending requests use.

    Attributes:
        settings: Current settings of the balancer.
        retiring: Whether the pool closes as soon as nothing is pending or in flight.
    """

    settings: Settings
    retiring: bool

    def post(self, event: Event) -> None:
        """Pass an event to the balancer, and carry out the actions."""
        ...

    def close_soon_if_finished(self) -> None:
        """Close the pool in the next loop iteration if nothing is pending or in flight by then."""
        ...


class EndpointHost(Protocol):
    """Interface of a pool that its endpoint registry uses.

    Attributes:
        version: Version of the latest endpoint list, as discovery counts.
        closed: Whether the pool has closed its sockets.
        reports: Parser of load reports, for the columns of the current settings.
        budget: Descriptors that the pool may reserve.
        connection_pool: Connections to the endpoints.
        discovery: Client of the discovery service; None without one.
    """

    version: int
    closed: bool
    reports: LoadReportParser
    budget: DescriptorReservations
    connection_pool: ConnectionPool
    discovery: DiscoveryClient | None

    def post(self, event: Event) -> None:
        """Pass an event to the balancer, and carry out the actions."""
        ...
