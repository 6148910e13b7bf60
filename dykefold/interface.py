"""What goes into a balancer and what comes out: settings, events, actions. No decisions, no wire.

All times are integer nanoseconds of the caller's monotonic clock. Class, tenant, zone and kind are
positions in the lists of `Settings`.
"""

from __future__ import annotations

from collections.abc import Mapping, Set
from dataclasses import dataclass, field
from enum import IntEnum


class Effect(IntEnum):
    """Whether a request may run more than once."""

    SAFE = 0  # any number of times
    KEYED = 1  # repeats are dropped inside a group of servers for a while
    UNSAFE = 2  # never twice


class Scope(IntEnum):
    """Which servers drop a keyed repeat."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Status(IntEnum):
    """How an attempt ended."""

    OK = 0
    ERROR = 1  # the server answered with an error; may have run
    FULL = 2  # rejected unseen
    TIMEOUT = 3  # no answer in time; may have run, or run still
    CONNECT_FAILED = 4  # no connection was made
    RESET = 5  # the connection broke; may have run
    CANCELLED = 6  # called off; may have run
    MOOT = 7  # never sent


class State(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    DELTA = 0  # only what changed
    FULL = 1  # complete
    CACHED = 2  # complete, as last held; may be old
    FAILED = 3  # a call failed or the subscription broke; no entries
    LOCAL = 4  # only what changed, by operators: it says nothing of the subscription


@dataclass(slots=True)
class RequestClass:
    name: str
    objective_ns: int
    deadline_ns: int
    worth: float
    late_worth: float
    effect: Effect
    scope: Scope = Scope.ALL
    window_ns: int = 0
    stream: bool = False


@dataclass(slots=True)
class Tenant:
    name: str
    share: float
    quota_per_s: float


@dataclass(slots=True)
class Settings:
    classes: list[RequestClass]
    zones: list[str]
    zone: int = 0
    tenants: list[Tenant] = field(default_factory=list)
    over_share_worth: float = 1.0
    worth_by_work: bool = False
    index: int = 0
    fleet_size: int = 1
    tick_ns: int = 5_000_000
    must_ask: bool = False  # discovery answers only when asked
    must_ask_in_ns: int = 10_000_000_000
    drain_grace_ns: int = 0
    answer_slack_ns: int = 0
    start_capacity: float = 1.0
    warm_within_ns: int = 0
    overload_factor: float = 3.0
    overload_for_ns: int = 3_000_000_000
    max_attempts: int = 1
    second_copies: bool = False
    can_cancel: bool = False
    can_probe: bool = False
    can_tell: bool = False
    retry_after: bool = False
    max_retry_after_ns: int = 0
    connect_timeout_ns: int = 0
    report_columns: tuple[str, ...] = ()
    weighted: bool = False  # whether listed weights mean anything
    goal_worst_class: float = 0.0  # weight of the worst-served class in what the service is judged by
    price_cross_zone: float = 0.0
    price_waste: float = 0.0
    price_probe: float = 0.0
    price_peer: float = 0.0


@dataclass(slots=True)
class Endpoint:
    server: int
    zone: int
    kind: int
    cell: int
    state: State
    weight: float = 1.0
    started_ns: int = 0  # 0: long ago; another value is another start
    ramp_from_ns: int = 0  # from when its slow start counts; 0: from started_ns, which is of the same clock


# Events


@dataclass(slots=True)
class Membership:
    """News of the server list."""

    kind: ListKind
    version: int
    entries: list[Endpoint]


@dataclass(slots=True)
class Request:
    id: int
    cls: int
    tenant: int
    deadline_ns: int  # on the clock
    key: int = 0
    cost_ns: int = 0  # expected work; 0: not told
    is_retry: bool = False
    is_write: bool = False


@dataclass(slots=True)
class Outcome:
    id: int
    attempt: int
    server: int
    status: Status
    duration_ns: int
    final: bool  # the request has ended
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class StreamStarted:
    """A body has begun to flow: an answer, which is the attempt's service; or, as MOOT, the request's."""

    id: int
    attempt: int
    server: int
    duration_ns: int
    status: Status = Status.OK
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class BodySent:
    """A request's body that flowed has reached its server whole: from now on it works on it."""

    id: int
    attempt: int
    server: int


@dataclass(slots=True)
class Dropped:
    id: int


@dataclass(slots=True)
class ProbeResult:
    server: int
    status: Status
    duration_ns: int
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessage:
    sender: int
    data: bytes


@dataclass(slots=True)
class Fleet:
    """What the fleet's view tells; see docs/design/view.md.

    Attributes:
        live: sidecars that carry traffic, or may be about to again, this one among them.
        ranks: by server, the own place among sidecars of the own zone, from 0, below 1; each has another one.
        part: ranks of servers of other zones below this are to be sampled.
        failing: servers that several others gave up on lately.
        answering: servers that several others had an answer of after that.
        usual: by class, the usual latency that others tell one that starts anew, nanoseconds.
    """

    live: int
    ranks: Mapping[int, float]
    part: float = 1.0
    failing: Set[int] = frozenset()
    answering: Set[int] = frozenset()
    usual: Mapping[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class Timer:
    token: int


@dataclass(slots=True)
class Retune:
    """Other settings from now on.

    Attributes:
        settings: with the classes by number: a number that a request may still hold has its class as before.
        retired: numbers that no new request is of.
    """

    settings: Settings
    retired: frozenset[int] = frozenset()


# Actions


@dataclass(slots=True)
class Send:
    id: int
    server: int
    timeout_ns: int = 0  # 0: until the client gives up


@dataclass(slots=True)
class Refuse:
    """Final: surely had no harmful effect, a new try does no harm."""

    id: int
    retry_after_ns: int = 0


@dataclass(slots=True)
class Fail:
    """Final: promises nothing."""

    id: int


@dataclass(slots=True)
class Cancel:
    id: int
    attempt: int


@dataclass(slots=True)
class Probe:
    server: int


@dataclass(slots=True)
class CloseIdle:
    server: int


@dataclass(slots=True)
class Tell:
    data: bytes
    peer: int | None = None  # None: every peer


@dataclass(slots=True)
class Hint:
    """Tell the fleet that a server is given up on, or that it answers again."""

    server: int
    answers: bool


@dataclass(slots=True)
class Watch:
    on: bool = True


@dataclass(slots=True)
class Fetch:
    pass


@dataclass(slots=True)
class SetTimer:
    after_ns: int
    token: int


@dataclass(slots=True)
class Log:
    text: str


Event = (
    Membership
    | Request
    | Outcome
    | StreamStarted
    | BodySent
    | Dropped
    | ProbeResult
    | PeerMessage
    | Timer
    | Retune
    | Fleet
)
Action = Send | Refuse | Fail | Cancel | Probe | CloseIdle | Tell | Hint | Watch | Fetch | SetTimer | Log
