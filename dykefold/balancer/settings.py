"""Settings of a balancer: request classes, tenants, capabilities and prices.

Durations are integer nanoseconds. Class, tenant, zone and kind are positions in the lists of `Settings`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Effect(IntEnum):
    """How often a request may run."""

    SAFE = 0  # Any number of times.
    KEYED = 1  # Any number of times within the scope and window of its idempotency key.
    UNSAFE = 2  # At most once.


class Scope(IntEnum):
    """Which endpoints deduplicate requests with the same idempotency key."""

    ALL = 0
    ZONE = 1
    CELL = 2


@dataclass(slots=True)
class RequestClass:
    """A class of requests.

    Attributes:
        name: Unique name; estimates are kept under it when settings change.
        objective_ns: Latency objective, counted from the client's first attempt.
        deadline_ns: Time that a client waits, counted from its first attempt.
        priority_weight: Weight of an answer within the objective.
        late_weight_fraction: Fraction of `priority_weight` that a later answer still has.
        effect: How often a request of the class may run.
        scope: Endpoints that deduplicate requests with the same idempotency key.
        window_ns: Time for which these endpoints remember a key.
        stream: True if the transfer of responses may take long.
    """

    name: str
    objective_ns: int
    deadline_ns: int
    priority_weight: float
    late_weight_fraction: float
    effect: Effect
    scope: Scope = Scope.ALL
    window_ns: int = 0
    stream: bool = False


@dataclass(slots=True)
class Tenant:
    """A tenant and its quota.

    Attributes:
        name: Unique name.
        share: Configured fraction of the total.
        quota_per_s: First attempts per second at all sidecars together; 0 for no quota.
    """

    name: str
    share: float
    quota_per_s: float


@dataclass(slots=True)
class Settings:
    """Settings of a balancer until a `SettingsChanged` event.

    Attributes:
        classes: Request classes, by number.
        zones: Names of zones, by number.
        zone: Number of the local zone, which is the one of this sidecar.
        tenants: Tenants, by number.
        over_quota_weight_fraction: Fraction of its priority weight that a request over quota retains.
        weight_per_work: True if priority weights are per unit of work rather than per request.
        index: Number of this sidecar.
        fleet_size: Number of sidecars; it is used if there is no membership.
        tick_ns: Resolution of the caller's time.
        poll_required: True if discovery answers only when polled.
        max_poll_interval_ns: Maximum time between two polls of a sidecar.
        drain_grace_ns: Grace period in which a draining endpoint may still get requests.
        answer_slack_ns: Time after a deadline during which an answer still counts.
        start_capacity: Fraction of its full capacity that an endpoint has when it starts.
        warm_within_ns: Time from its start until it has its full capacity.
        overload_factor: Load, as a multiple of its capacity, that is fatal to an endpoint that is warming up.
        overload_for_ns: Time for which that load has to last to be fatal.
        max_attempts: Number of attempts that a request may have.
        can_hedge: True if hedged requests are allowed.
        can_cancel: True if attempts can be cancelled.
        can_probe: True if health checks can be sent.
        can_message_peers: True if messages to peers can be sent.
        retry_after: True if a rejection may advise the client when to retry.
        max_retry_after_ns: Maximum of that time.
        connect_timeout_ns: Timeout of a connection attempt; 0 for none.
        report_columns: Names of the columns of load reports.
        weighted: True if the weights in the endpoint list are valid.
        goal_worst_class: Weight of the worst-served class in the goal of the service.
        price_cross_zone: Price of a request to another zone, relative to the priority weight of one request.
        price_waste: Price of work whose result is not used.
        price_probe: Price of a health check.
        price_peer: Price of a message to a peer.
    """

    classes: list[RequestClass]
    zones: list[str]
    zone: int = 0
    tenants: list[Tenant] = field(default_factory=list)
    over_quota_weight_fraction: float = 1.0
    weight_per_work: bool = False
    index: int = 0
    fleet_size: int = 1
    tick_ns: int = 5_000_000
    poll_required: bool = False
    max_poll_interval_ns: int = 10_000_000_000
    drain_grace_ns: int = 0
    answer_slack_ns: int = 0
    start_capacity: float = 1.0
    warm_within_ns: int = 0
    overload_factor: float = 3.0
    overload_for_ns: int = 3_000_000_000
    max_attempts: int = 1
    can_hedge: bool = False
    can_cancel: bool = False
    can_probe: bool = False
    can_message_peers: bool = False
    retry_after: bool = False
    max_retry_after_ns: int = 0
    connect_timeout_ns: int = 0
    report_columns: tuple[str, ...] = ()
    weighted: bool = False
    goal_worst_class: float = 0.0
    price_cross_zone: float = 0.0
    price_waste: float = 0.0
    price_probe: float = 0.0
    price_peer: float = 0.0
