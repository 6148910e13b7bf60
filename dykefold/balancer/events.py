"""Events that a balancer handles, and the endpoint records in them.

All times are integer nanoseconds of the caller's monotonic clock. Class, tenant, zone and kind are positions
in the lists of `Settings`.
"""

from __future__ import annotations

from collections.abc import Mapping, Set
from dataclasses import dataclass, field
from enum import IntEnum

from .settings import Settings


class Status(IntEnum):
    """Result of an attempt or of a health check."""

    OK = 0
    ERROR = 1  # The endpoint returned an error; the attempt may have run.
    FULL = 2  # The endpoint rejected the attempt before it ran.
    TIMEOUT = 3  # No answer arrived in time; the attempt may have run, or may still be running.
    CONNECT_FAILED = 4  # No connection was established.
    RESET = 5  # The connection broke; the attempt may have run.
    CANCELLED = 6  # This sidecar cancelled the attempt; it may have run.
    NOT_ATTEMPTED = 7  # The attempt was never sent.


class State(IntEnum):
    """State of an endpoint according to the endpoint list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """Content of an update of the endpoint list."""

    DELTA = 0  # Only the changed entries.
    FULL = 1  # The complete list.
    CACHED = 2  # The last known complete list, which may be outdated.
    FAILED = 3  # No entries, because a poll or the watch failed.
    LOCAL = 4  # The entries that operators changed; the watch did not deliver them.


@dataclass(slots=True)
class Endpoint:
    """An entry of the endpoint list.

    Attributes:
        number: Number of the endpoint.
        zone: Number of the endpoint's zone.
        kind: Number of its machine type.
        cell: Number of the group of endpoints that share idempotency keys.
        state: State of the endpoint.
        weight: Capacity relative to other endpoints, if `Settings.weighted` is set.
        started_ns: Time of its start; 0 for long ago. A changed value means a restart.
        slow_start_began_ns: Time at which its slow start began; 0 for `started_ns`, which is on the same
            clock.
    """

    number: int
    zone: int
    kind: int
    cell: int
    state: State
    weight: float = 1.0
    started_ns: int = 0
    slow_start_began_ns: int = 0


@dataclass(slots=True)
class EndpointListUpdate:
    """An update of the endpoint list.

    Attributes:
        kind: Kind of the update.
        version: Version of the list.
        entries: All endpoints or only the changed ones, depending on `kind`.
        watching: Whether a watch is open or its next call is scheduled; otherwise the update came in another
            way, and the next poll is still to be requested.
    """

    kind: ListKind
    version: int
    entries: list[Endpoint]
    watching: bool = True


@dataclass(slots=True)
class Request:
    """A request of a client.

    Attributes:
        id: Number of the request, unique among pending requests.
        class_number: Number of its class.
        tenant: Number of its tenant.
        deadline_ns: Time at which the client gives up.
        key: Idempotency key; 0 for none.
        cost_ns: Expected work in nanoseconds; 0 while unknown.
        is_retry: True if the client marks it as a retry.
        is_write: True if it modifies data.
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
        id: Number of the request.
        attempt: Number of the attempt, from 0.
        endpoint_number: Number of the endpoint.
        status: Result of the attempt.
        duration_ns: Time from its sending to its end.
        final: True if the request has its final answer, from this attempt or an earlier one.
        report: Load report of the response, by column.
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
    """The transfer of a body has begun: a response, which ends the attempt, or (NOT_ATTEMPTED) a request.

    Attributes:
        id: Number of the request.
        attempt: Number of the attempt, from 0.
        endpoint_number: Number of the endpoint.
        duration_ns: Time from the sending of the attempt to the start of the transfer.
        status: Result of the attempt.
        report: Load report of the response, by column.
    """

    id: int
    attempt: int
    endpoint_number: int
    duration_ns: int
    status: Status = Status.OK
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class BodySent:
    """An endpoint has received a streamed request body completely, and now processes the request.

    Attributes:
        id: Number of the request.
        attempt: Number of the attempt, from 0.
        endpoint_number: Number of the endpoint.
    """

    id: int
    attempt: int
    endpoint_number: int


@dataclass(slots=True)
class ClientDisconnected:
    """The client of a request has disconnected.

    Attributes:
        id: Number of the request.
    """

    id: int


@dataclass(slots=True)
class ProbeResult:
    """The end of a health check.

    Attributes:
        endpoint_number: Number of the endpoint.
        status: Result of the health check.
        duration_ns: Time from its sending to its end.
        report: Load report of the response, by column.
    """

    endpoint_number: int
    status: Status
    duration_ns: int
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessage:
    """A message of another sidecar.

    Attributes:
        sender: Number of that sidecar.
        data: Content of the `SendToPeer` action of its balancer.
    """

    sender: int
    data: bytes


@dataclass(slots=True)
class MembershipChanged:
    """The membership of the sidecars, and shared observations; see docs/design/view.md.

    Attributes:
        live_sidecars: Number of sidecars that carry traffic, or may do so again soon, this one included.
        ranks: Rank of this sidecar among those of its zone, by endpoint, from 0, below 1; all are different.
        max_remote_rank: Upper bound (exclusive) on the rank of endpoints of other zones to sample.
        failing_endpoints: Endpoints that several other sidecars have ejected recently.
        answering_endpoints: Endpoints that have since answered several other sidecars.
        typical_latency_ns: Typical latency by class that others report to a newly started sidecar.
    """

    live_sidecars: int
    ranks: Mapping[int, float]
    max_remote_rank: float = 1.0
    failing_endpoints: Set[int] = frozenset()
    answering_endpoints: Set[int] = frozenset()
    typical_latency_ns: Mapping[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class Timer:
    """The timer of a `SetTimer` action has expired.

    Attributes:
        token: Token of the `SetTimer` action.
    """

    token: int


@dataclass(slots=True)
class SettingsChanged:
    """The settings have changed.

    Attributes:
        settings: New settings; class numbers of pending requests keep their meaning.
        retired: Numbers of classes that no new request will have.
    """

    settings: Settings
    retired: frozenset[int] = frozenset()


Event = (
    EndpointListUpdate
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
