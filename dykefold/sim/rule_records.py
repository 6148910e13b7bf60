"""Records on which the rules are checked. Times are nanoseconds of the world's clock."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated rule: its time, its name, and a description of what happened."""

    at_ns: int
    rule: str
    text: str


@dataclass(slots=True)
class Attempt:
    """An attempt as observed on the network.

    Attributes:
        group: Group of servers that share idempotency keys, to which its server belongs.
        written: Whether its last byte was passed to the kernel, so that it may have run.
        in_flight: Whether neither an answer nor the close of its connection has arrived.
        streamed: Whether its body is too long to be buffered.
        body_begun: Whether part of a streamed body has been sent to the server.
        proved_not_run: Whether an answer that states that it never ran has arrived.
        server_ended: Whether the server's close or reset arrived before its answer was complete.
    """

    server: str
    group: int
    began_ns: int
    written: bool = False
    in_flight: bool = True
    streamed: bool = False
    body_begun: bool = False
    proved_not_run: bool = False
    server_ended: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have started to run the request."""
        return self.written and not self.proved_not_run


@dataclass(slots=True)
class RequestTrace:
    """Everything observed of a request that a client sent to a sidecar.

    Attributes:
        class_number: Number of its class in the settings.
        effects: Server and time of each run.
        left_ns: Time in nanoseconds at which its client closed the connection; negative while it waits.
        allowed_ns: Nanoseconds for which its client waits in all; negative if unknown.
        due_ns: Time in nanoseconds at which the client stops waiting.
        awaited_events: Number of events until its deadline starts: its head is read, the answer ahead of
            it has arrived.
    """

    class_number: int
    attempts: list[Attempt] = field(default_factory=list)
    effects: list[tuple[str, int]] = field(default_factory=list)
    answers: int = 0
    left_ns: int = -1
    allowed_ns: int = -1
    due_ns: int = -1
    awaited_events: int = 0


@dataclass(frozen=True, slots=True)
class WarmUp:
    """The warm-up of a server after its start.

    Attributes:
        full_per_s: Capacity of the warm server in requests per second.
        start_share: Fraction of that capacity at its start.
        warm_ns: Nanoseconds from its start until it is warm.
        since_ms: Its start in Unix milliseconds, as discovery reports it; wall clocks may be wrong.
    """

    started_ns: int
    full_per_s: float
    start_share: float
    warm_ns: int
    since_ms: int = 0

    def capacity(self, at_ns: int) -> float:
        """Return its capacity in requests per second at a time."""
        progress = min(max((at_ns - self.started_ns) / self.warm_ns, 0.0), 1.0)
        return self.full_per_s * (self.start_share + (1.0 - self.start_share) * progress)


@dataclass(frozen=True, slots=True)
class AttemptStart:
    """The start of an attempt: its first byte was passed to the kernel.

    Attributes:
        group: Group of servers that share idempotency keys, to which its server belongs.
        announced_ns: Nanoseconds that the attempt announces to the server; 0 if it announces none.
    """

    at_ns: int
    sidecar: str
    ident: str
    server: str
    group: int
    announced_ns: int = 0
