"""What a pool uses of its surroundings, and what its parts use of the pool.

Surroundings are the client connection, the process and its descriptors. A part names exactly what it uses, so
that it can be made without a pool.
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
    """Receives the one final answer of each of a client's requests.

    Attributes:
        client: Client whose requests are answered.
    """

    client: Client

    def client_has_closed(self) -> bool:
        """Return whether the client has closed, even if the event loop has not reported it yet."""
        ...

    def respond(self, request: ParsedRequest, code: int, headers: bytes, body: bytes) -> None:
        """Give the complete final answer; a second answer to the same request has no effect."""
        ...

    def begin_response(
        self, request: ParsedRequest, code: int, headers: bytes, length: int | None, paced: FlowControlled
    ) -> bool:
        """Begin a streamed final answer.

        Args:
            request: The request that is answered.
            code: HTTP status code.
            headers: Complete header lines, each ended by CRLF.
            length: Bytes of the body; None if it is not known.
            paced: Source of the answer; it is blocked while the client takes no more bytes.

        Returns:
            Whether this client can be given a streamed answer; if not, nothing was written.
        """
        ...

    def send_response_piece(self, request: ParsedRequest, data: bytes) -> None:
        """Pass on the next bytes of a streamed answer's body."""
        ...

    def end_response(self, request: ParsedRequest, whole: bool) -> None:
        """End a streamed answer; if it is incomplete, its end shows that to the client."""
        ...


class PoolHost(Protocol):
    """What all pools of one process share.

    Attributes:
        loop: Event loop of the process.
        system: Clocks and sockets of the machine.
        clock: Clock in nanoseconds.
        budget: Descriptors of the process.
        memory: Bytes of messages that the process may hold.
        read_scheduler: Connections whose input waits to be parsed.
        timer_wheel: Time limits of requests and attempts.
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
        """Log the exception that is being handled, at a limited rate."""
        ...

    def on_request_end(self, sink: ResponseSink, request: ParsedRequest, served: bool) -> None:
        """Account for a request that is no longer pending; its final answer, if any, follows this call."""
        ...


class DescriptorReservations(Protocol):
    """The file descriptors that a pool may reserve for its connections.

    Attributes:
        upstreams: Allowance of connections to endpoints.
    """

    upstreams: DescriptorAllowance

    def reserve(self) -> bool:
        """Reserve one descriptor; False if none is left."""
        ...

    def release(self) -> None:
        """Release one reserved descriptor."""
        ...


class AttemptHost(Protocol):
    """What an attempt uses of its pool.

    Attributes:
        timer_wheel: Time limits of requests and attempts.
        reports: Parser of load reports, by the current settings.
    """

    timer_wheel: TimerWheel
    reports: LoadReportParser

    def now(self) -> int:
        """Return the time on the clock, in nanoseconds."""
        ...

    def monotonic(self) -> float:
        """Return the time of the monotonic clock, in seconds."""
        ...

    def message(self, request: ParsedRequest, time_left_ns: int, /) -> bytes:
        """Encode a request that has this much time left for an endpoint."""
        ...

    def post(self, event: Event) -> None:
        """Give the balancer an event, and carry out its actions."""
        ...


class AttemptRunnerHost(AttemptHost, Protocol):
    """What starting and ending attempts uses of the pool.

    Attributes:
        settings: Current settings of the balancer.
        on_attempt_end: Callback for the end of each attempt. Its arguments are the endpoint's number, the
            status, the duration and the latency objective in nanoseconds.
        retiring: Whether the pool closes once nothing is pending or in flight.
    """

    settings: Settings
    on_attempt_end: Callable[[int, Status, int, int], None] | None
    retiring: bool

    def close_soon_if_finished(self) -> None:
        """Close the pool in the next turn of the loop if nothing is pending or in flight then."""
        ...


class RequestHost(Protocol):
    """What pending requests use of their pool.

    Attributes:
        settings: Current settings of the balancer.
        retiring: Whether the pool closes once nothing is pending or in flight.
    """

    settings: Settings
    retiring: bool

    def post(self, event: Event) -> None:
        """Give the balancer an event, and carry out its actions."""
        ...

    def close_soon_if_finished(self) -> None:
        """Close the pool in the next turn of the loop if nothing is pending or in flight then."""
        ...


class EndpointHost(Protocol):
    """What the endpoint registry uses of its pool.

    Attributes:
        version: Version of the latest endpoint list, as discovery counts.
        closed: Whether the pool has closed its sockets.
        reports: Parser of load reports, by the current settings.
        budget: Descriptors that the pool may reserve.
        upstreams: Connections to the endpoints.
        discovery: Calls of discovery; None if the endpoint list is only ever given.
    """

    version: int
    closed: bool
    reports: LoadReportParser
    budget: DescriptorReservations
    upstreams: ConnectionPool
    discovery: DiscoveryClient | None

    def post(self, event: Event) -> None:
        """Give the balancer an event, and carry out its actions."""
        ...
