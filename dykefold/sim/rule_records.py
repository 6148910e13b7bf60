"""Records that the judge of the four rules works on. Times are nanoseconds of the world's clock."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule: when, which one, and what happened."""

    at_ns: int
    rule: str
    text: str


@dataclass(slots=True)
class Attempt:
    """An attempt, as it was on the wire.

    Attributes:
        group: Group of the server, whose members share idempotency keys.
        written: Whether its last byte was passed to the kernel, so that it may have run.
        in_flight: Whether neither an answer nor the end of its connection has arrived.
        streamed: Whether its body is too long to be buffered.
        body_begun: Whether a part of a streamed body has been sent to the server.
        proved_not_run: Whether the server's answer that it never ran has arrived.
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
        """Whether the server may have begun its work."""
        return self.written and not self.proved_not_run


@dataclass(slots=True)
class RequestTrace:
    """What has happened to a request that one sidecar was given.

    Attributes:
        class_number: Number of its class in the settings.
        effects: Server and time of each run.
        left_ns: Time in nanoseconds at which its client closed the connection; negative while it waits.
        allowed_ns: Nanoseconds for which its client waits in all; negative if unknown.
        due_ns: Time in nanoseconds at which the client stops waiting.
        awaited_events: Number of events before its time starts: its head is read, the answer before it
            arrived.
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
    """A server that has just started, and what it can do.

    Attributes:
        full_per_s: Requests per second that the warm server can serve.
        start_share: Fraction of that at its start.
        warm_ns: Nanoseconds from its start until it is warm.
        since_ms: Its start in Unix milliseconds, as discovery reports it; wall clocks may be wrong.
    """

    started_ns: int
    full_per_s: float
    start_share: float
    warm_ns: int
    since_ms: int = 0

    def capacity(self, at_ns: int) -> float:
        """Return the requests a second that it can do at a time."""
        progress = min(max((at_ns - self.started_ns) / self.warm_ns, 0.0), 1.0)
        return self.full_per_s * (self.start_share + (1.0 - self.start_share) * progress)


@dataclass(frozen=True, slots=True)
class AttemptStart:
    """The first byte of an attempt has gone to a server.

    Attributes:
        group: Group of the server, whose members share idempotency keys.
        announced_ns: Nanoseconds that the attempt announces to the server; 0 if it announces none.
    """

    at_ns: int
    sidecar: str
    ident: str
    server: str
    group: int
    announced_ns: int = 0
