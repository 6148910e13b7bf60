"""What a pool needs from its surroundings: who asked, what the process shares, and its descriptors."""

from __future__ import annotations

import asyncio
from typing import Protocol

from ...admission.budget import DescriptorAllowance, DescriptorBudget
from ...admission.client import Client
from ...system import System
from ..clock import Clock
from ..downstream.protocols import FlowControlled
from ..downstream.request_parser import ParsedRequest
from ..loop_lag import LoopLagMonitor
from ..memory_budget import MemoryBudget
from ..peers import PeerChannel
from ..read_scheduler import ReadScheduler
from ..timer_wheel import TimerWheel


class ResponseSink(Protocol):
    """Receives the one final answer of each of a client's requests."""

    client: Client

    def client_has_closed(self) -> bool:
        """Return whether the client has closed, even if the event loop has not reported it yet."""
        ...

    def respond(self, request: ParsedRequest, code: int, headers: bytes, body: bytes) -> None:
        """Give the complete final answer; a second one for the same request has no effect."""
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
            paced: Is blocked while the client takes no more bytes.

        Returns:
            Whether this client can be given a streamed answer; if not, nothing was written.
        """
        ...

    def send_response_piece(self, request: ParsedRequest, data: bytes) -> None:
        """Pass on the next bytes of a streamed answer's body."""
        ...

    def end_response(self, request: ParsedRequest, whole: bool) -> None:
        """End a streamed answer; the client is shown that it broke off unless it is complete."""
        ...


class PoolHost(Protocol):
    """What all pools of one process share."""

    loop: asyncio.AbstractEventLoop
    system: System
    clock: Clock
    budget: DescriptorBudget
    memory: MemoryBudget
    read_scheduler: ReadScheduler
    timer_wheel: TimerWheel
    lag: LoopLagMonitor
    peers: PeerChannel | None

    def log_exception(self, text: str) -> None:
        """Log the exception that is being handled, at a limited rate."""
        ...

    def on_request_end(self, sink: ResponseSink, request: ParsedRequest, served: bool) -> None:
        """Note that a request is no longer pending; its final answer, if any, follows this call."""
        ...


class DescriptorReservations(Protocol):
    """The file descriptors that a pool may reserve for its connections."""

    upstreams: DescriptorAllowance

    def reserve(self) -> bool:
        """Reserve one descriptor; False if none is left."""
        ...

    def release(self) -> None:
        """Release one reserved descriptor."""
        ...
