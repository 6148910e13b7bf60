"""Events that a balancer takes, with the endpoint records they carry.

All times are integer nanoseconds of the caller's monotonic clock. Class, tenant, zone and kind are positions
in the lists of `Settings`.
"""

from __future__ import annotations

from collections.abc import Mapping, Set
from dataclasses import dataclass, field
from enum import IntEnum

from .settings import Settings


class Status(IntEnum):
    """How an attempt or a health check ended."""

    OK = 0
    ERROR = 1  # the endpoint answered with an error; may have run
    FULL = 2  # rejected before it ran
    TIMEOUT = 3  # no answer in time; may have run, or run still
    CONNECT_FAILED = 4  # no connection was made
    RESET = 5  # the connection broke; may have run
    CANCELLED = 6  # cancelled; may have run
    NOT_ATTEMPTED = 7  # never sent


class State(IntEnum):
    """What the endpoint list says of an endpoint."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """What an update of the endpoint list holds."""

    DELTA = 0  # only what changed
    FULL = 1  # complete
    CACHED = 2  # complete, as last known; may be old
    FAILED = 3  # a poll failed or the watch broke; no entries
    LOCAL = 4  # only what changed, by operators: it says nothing of the watch


@dataclass(slots=True)
class Endpoint:
    """An entry of the endpoint list.

    Attributes:
        number: number of the endpoint.
        zone: where it is.
        kind: which kind of machine it is.
        cell: group of endpoints that know each other's idempotency keys.
        state: whether it takes requests.
        weight: capacity against others, where settings say that weights mean anything.
        started_ns: when it started; 0: long ago. Another value is another start.
        ramp_from_ns: from when its slow start counts; 0: from `started_ns`, which is of the same clock.
    """

    number: int
    zone: int
    kind: int
    cell: int
    state: State
    weight: float = 1.0
    started_ns: int = 0
    ramp_from_ns: int = 0


@dataclass(slots=True)
class Membership:
    """An update of the endpoint list.

    Attributes:
        kind: what it holds.
        version: of the list.
        entries: all endpoints, or those that changed.
    """

    kind: ListKind
    version: int
    entries: list[Endpoint]


@dataclass(slots=True)
class Request:
    """A request of a client.

    Attributes:
        id: unique among pending requests.
        class_number: number of its class.
        tenant: number of its tenant.
        deadline_ns: when the client gives up.
        key: idempotency key; 0: none.
        cost_ns: expected work; 0: unknown.
        is_retry: whether the client marks it as a retry.
        is_write: whether it changes anything.
    """

    id: int
    class_number: int
    tenant: int
    deadline_ns: int
    key: int = 0
    cost_ns: int = 0
    is_retry: bool = False
    is_write: bool = False


@dataclass(slots=True)
class Outcome:
    """The end of an attempt.

    Attributes:
        id: request.
        attempt: number of the attempt, from 0.
        endpoint_number: endpoint.
        status: how it ended.
        duration_ns: from its sending.
        final: whether the request has ended with it or before.
        report: load report that came with it, by column.
    """

    id: int
    attempt: int
    endpoint_number: int
    status: Status
    duration_ns: int
    final: bool
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class StreamStarted:
    """A body has begun to flow: a response, which ends the attempt, or (NOT_ATTEMPTED) a request.

    Attributes: as those of `Outcome`.
    """

    id: int
    attempt: int
    endpoint_number: int
    duration_ns: int
    status: Status = Status.OK
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class BodySent:
    """A request's body that flowed has reached its endpoint whole: from now on that works on it."""

    id: int
    attempt: int
    endpoint_number: int


@dataclass(slots=True)
class ClientDisconnected:
    """The client of a request has gone."""

    id: int


@dataclass(slots=True)
class ProbeResult:
    """The end of a health check.

    Attributes:
        endpoint_number: endpoint.
        status: how it ended.
        duration_ns: from its sending.
        report: load report that came with it, by column.
    """

    endpoint_number: int
    status: Status
    duration_ns: int
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessage:
    """A message of another sidecar.

    Attributes:
        sender: number of the sidecar.
        data: as its balancer gave it to be sent.
    """

    sender: int
    data: bytes


@dataclass(slots=True)
class MembershipChanged:
    """What the membership of the sidecars tells; see docs/design/view.md.

    Attributes:
        live_sidecars: sidecars that carry traffic, or may be about to again, this one among them.
        ranks: by endpoint, the own place among sidecars of the own zone, from 0, below 1; each has another.
        max_remote_rank: ranks of endpoints of other zones below this are to be sampled.
        failing_endpoints: endpoints that several others gave up on lately.
        answering_endpoints: endpoints that several others had an answer of after that.
        typical_latency_ns: by class, the typical latency that others tell one that starts anew, nanoseconds.
    """

    live_sidecars: int
    ranks: Mapping[int, float]
    max_remote_rank: float = 1.0
    failing_endpoints: Set[int] = frozenset()
    answering_endpoints: Set[int] = frozenset()
    typical_latency_ns: Mapping[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class Timer:
    """The timer of a `SetTimer` action rang."""

    token: int


@dataclass(slots=True)
class SettingsChanged:
    """Other settings from now on.

    Attributes:
        settings: with the classes by number: a number that a request may still hold has its class as before.
        retired: numbers that no new request is of.
    """

    settings: Settings
    retired: frozenset[int] = frozenset()


Event = (
    Membership
    | Request
    | Outcome
    | StreamStarted
    | BodySent
    | ClientDisconnected
    | ProbeResult
    | PeerMessage
    | Timer
    | SettingsChanged
    | MembershipChanged
)
